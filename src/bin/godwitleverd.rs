//! Runs the router as a daemon that reloads its settings file and drains on a signal.

use std::path::PathBuf;
use std::pin::pin;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use forward::Proxy;
use platform::Platform;
use router::Router;
use serde::Deserialize;
use settings::node::{LogFormat, Node};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time between two checks of the settings file for changes that no signal announced.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Most time for error responses after a second signal to stop.
const RESPONSE_TIME: Duration = Duration::from_secs(1);

/// Routes language-model traffic with service levels and priorities.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The node's own settings.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// The part of the settings file that selects how the rest is parsed.
#[derive(Deserialize)]
struct AdapterChoice {
    /// Name of an adapter; `None` selects the router's own interface.
    adapter: Option<String>,
}

fn main() -> ExitCode {
    match actix_rt::System::new().block_on(run(&Cli::parse())) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(cli: &Cli) -> anyhow::Result<ExitCode> {
    let text = read_settings(cli)?;
    let choice: AdapterChoice = toml::from_str(&text).with_context(|| origin(cli))?;
    let node = match choice.adapter.as_deref() {
        None => Running::start_router(&text, &origin(cli)).await?,
        Some("platform") => Running::start_proxy(&text, &origin(cli)).await?,
        Some(other) => anyhow::bail!(
            "{} names the adapter `{other}`; leave it out, or set it to `platform`",
            origin(cli)
        ),
    };
    let mut signals = Signals::new()?;
    let mut current = text;
    loop {
        match tokio::time::timeout(RELOAD_INTERVAL, signals.next()).await {
            Ok(Request::Stop) => break,
            Ok(Request::Reload) | Err(_) => reload_if_changed(cli, &node, &mut current),
        }
    }
    log::info!(held = node.open_requests(); "draining");
    let mut drained = pin!(node.drain());
    let aborted = tokio::select! {
        aborted = &mut drained => aborted,
        () = signals.next_stop() => {
            let response_time = node.end_waiting();
            tokio::select! {
                aborted = drained => aborted,
                () = signals.next_stop() => node.abort(),
                () = tokio::time::sleep(response_time) => node.abort(),
            }
        }
    };
    log::info!(cut = aborted; "stopped");
    telemetry::flush_log();
    Ok(if aborted == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the path of the settings file, for messages.
fn origin(cli: &Cli) -> String {
    cli.settings.display().to_string()
}

fn read_settings(cli: &Cli) -> anyhow::Result<String> {
    let path = &cli.settings;
    std::fs::read_to_string(path).with_context(|| {
        format!("can't read {}; check the path and that it may be read", path.display())
    })
}

/// Applies the settings file if it changed. If it can't be read or is invalid, the last valid settings
/// stay in force.
fn reload_if_changed(cli: &Cli, node: &Running, current: &mut String) {
    let text = match read_settings(cli) {
        Ok(text) => text,
        Err(cause) => {
            log::warn!(cause:% = format!("{cause:#}"); "can't read the settings file; keeping the last settings");
            return;
        }
    };
    if text == *current {
        return;
    }
    match node.reload(&text, &origin(cli)) {
        Ok(()) => log::info!("settings read again"),
        Err(cause) => log::error!(cause:% = format!("{cause:#}"); "settings refused"),
    }
    *current = text;
}

/// A running node, with the router's own interface or with an adapter for another platform's
/// protocols.
enum Running {
    Router(Router),
    Proxy(Proxy<Platform>),
}

impl Running {
    /// Starts a node with the router's own interface.
    async fn start_router(text: &str, origin: &str) -> anyhow::Result<Self> {
        let node = Node::parse(text, origin)?;
        let format = match node.log {
            LogFormat::Text => telemetry::Format::Text,
            LogFormat::Json => telemetry::Format::Json,
        };
        telemetry::start_logging(format, log::LevelFilter::Info)?;
        let router = Router::start(node).await?;
        log::info!(callers:% = router.caller_address(), operators:% = router.operator_address(); "listening");
        Ok(Running::Router(router))
    }

    /// Starts a node with the platform's adapter.
    async fn start_proxy(text: &str, origin: &str) -> anyhow::Result<Self> {
        let node = forward::Node::parse(text, origin)?;
        telemetry::start_logging(telemetry::Format::Json, log::LevelFilter::Info)?;
        let protocols = platform::protocols(node.store);
        let name = node.name.clone();
        let proxy = Proxy::start(node, protocols).await?;
        let (callers, operators) = (proxy.caller_address(), proxy.operator_address());
        log::info!(
            node = name.as_str(), callers:% = callers, operators:% = operators; "listening"
        );
        Ok(Running::Proxy(proxy))
    }

    fn reload(&self, text: &str, origin: &str) -> anyhow::Result<()> {
        match self {
            Running::Router(_) => {
                Node::parse(text, origin)?;
                log::warn!("the node's own settings changed; restart the node to use them");
            }
            Running::Proxy(proxy) => proxy.reload(forward::Node::parse(text, origin)?),
        }
        Ok(())
    }

    /// Returns the number of requests that the node hasn't answered completely.
    fn open_requests(&self) -> usize {
        match self {
            Running::Router(router) => router.open_requests(),
            Running::Proxy(proxy) => proxy.open_requests(),
        }
    }

    /// Stops the node after its open requests have ended or the grace period is over; returns how many
    /// requests were aborted.
    async fn drain(&self) -> usize {
        match self {
            Running::Router(router) => router.drain().await.len(),
            Running::Proxy(proxy) => proxy.drain().await.len(),
        }
    }

    /// Ends the waiting for servers in [`Running::drain`]; returns the time in which open requests get error responses. With the
    /// router's own interface there is none.
    fn end_waiting(&self) -> Duration {
        match self {
            Running::Router(_) => Duration::ZERO,
            Running::Proxy(proxy) => {
                proxy.end_waiting();
                RESPONSE_TIME
            }
        }
    }

    /// Stops the node at once; returns how many requests were aborted.
    fn abort(&self) -> usize {
        match self {
            Running::Router(router) => router.abort().len(),
            Running::Proxy(proxy) => proxy.abort().len(),
        }
    }
}

/// Action that a signal requests.
enum Request {
    Stop,
    Reload,
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Self> {
        let listen = |kind| signal(kind).context("can't wait for signals");
        let (terminate, interrupt) = (SignalKind::terminate(), SignalKind::interrupt());
        Ok(Signals {
            terminate: listen(terminate)?,
            interrupt: listen(interrupt)?,
            reload: listen(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.reload.recv() => Request::Reload,
        }
    }

    /// Waits for the next signal that requests a stop.
    async fn next_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
