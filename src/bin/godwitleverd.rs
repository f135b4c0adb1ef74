//! The router as a process.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::Parser;
use forward::Proxy;
use platform::Platform;
use router::Router;
use serde::Deserialize;
use settings::node::{Log, Node};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// A settings file that changes without a signal is noticed after this.
const LOOK: Duration = Duration::from_secs(5);

/// Routes language-model traffic with service levels and priorities.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The node's own settings.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Which site the node's settings are for.
#[derive(Deserialize)]
struct Kind {
    /// Name of an adapter; the router's own interface without one.
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
    let text = read(cli)?;
    let kind: Kind = toml::from_str(&text).with_context(|| origin(cli))?;
    let node = match kind.adapter.as_deref() {
        None => Running::own(&text, &origin(cli)).await?,
        Some("platform") => Running::adapted(&text, &origin(cli)).await?,
        Some(other) => anyhow::bail!(
            "{} names the adapter `{other}`; leave it out, or set it to `platform`",
            origin(cli)
        ),
    };
    let mut signals = Signals::new()?;
    let mut held = text;
    loop {
        match tokio::time::timeout(LOOK, signals.next()).await {
            Ok(Asked::Stop) => break,
            Ok(Asked::Reload) | Err(_) => reload(cli, &node, &mut held),
        }
    }
    log::info!(held = node.held(); "draining");
    let cut = tokio::select! {
        cut = node.drain() => cut,
        () = signals.stop() => node.cut(),
    };
    log::info!(cut = cut; "stopped");
    telemetry::flush();
    Ok(if cut == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn origin(cli: &Cli) -> String {
    cli.settings.display().to_string()
}

fn read(cli: &Cli) -> anyhow::Result<String> {
    let path = &cli.settings;
    std::fs::read_to_string(path).with_context(|| {
        format!("can't read {}; check the path and that it may be read", path.display())
    })
}

/// Reads the settings again; what can't be used leaves the last good in force.
fn reload(cli: &Cli, node: &Running, held: &mut String) {
    let text = match read(cli) {
        Ok(text) => text,
        Err(cause) => {
            log::warn!(cause:% = format!("{cause:#}"); "settings not read again");
            return;
        }
    };
    if text == *held {
        return;
    }
    match node.reload(&text, &origin(cli)) {
        Ok(()) => log::info!("settings read again"),
        Err(cause) => log::error!(cause:% = format!("{cause:#}"); "settings refused"),
    }
    *held = text;
}

/// A running node: at the router's own interface, or at a site that an adapter speaks for.
enum Running {
    Own(Router),
    Adapted(Proxy<Platform>),
}

impl Running {
    async fn own(text: &str, origin: &str) -> anyhow::Result<Self> {
        let node = Node::parse(text, origin)?;
        let form = match node.log {
            Log::Text => telemetry::Form::Text,
            Log::Json => telemetry::Form::Json,
        };
        telemetry::start(form, log::LevelFilter::Info)?;
        let router = Router::start(node).await?;
        log::info!(callers:% = router.caller_address(), operators:% = router.operator_address(); "listening");
        Ok(Running::Own(router))
    }

    async fn adapted(text: &str, origin: &str) -> anyhow::Result<Self> {
        let node = forward::Node::parse(text, origin)?;
        telemetry::start(telemetry::Form::Json, log::LevelFilter::Info)?;
        let protocols = platform::protocols(node.store);
        let name = node.name.clone();
        let proxy = Proxy::start(node, protocols).await?;
        let (callers, operators) = (proxy.caller_address(), proxy.operator_address());
        log::info!(
            node = name.as_str(), callers:% = callers, operators:% = operators; "listening"
        );
        Ok(Running::Adapted(proxy))
    }

    fn reload(&self, text: &str, origin: &str) -> anyhow::Result<()> {
        match self {
            Running::Own(_) => {
                Node::parse(text, origin)?;
                log::warn!("the node's own settings changed; restart the node to use them");
            }
            Running::Adapted(proxy) => proxy.reload(forward::Node::parse(text, origin)?),
        }
        Ok(())
    }

    fn held(&self) -> usize {
        match self {
            Running::Own(router) => router.open_requests(),
            Running::Adapted(proxy) => proxy.open_requests(),
        }
    }

    /// Goes down; returns how many requests were cut.
    async fn drain(&self) -> usize {
        match self {
            Running::Own(router) => router.drain().await.len(),
            Running::Adapted(proxy) => proxy.drain().await.len(),
        }
    }

    /// Ends at once; returns how many requests were cut.
    fn cut(&self) -> usize {
        match self {
            Running::Own(router) => router.abort().len(),
            Running::Adapted(proxy) => proxy.abort().len(),
        }
    }
}

/// What a signal asks for.
enum Asked {
    Stop,
    Reload,
}

/// Signals that the process acts on.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Self> {
        let open = |kind| signal(kind).context("can't wait for signals");
        let (terminate, interrupt) = (SignalKind::terminate(), SignalKind::interrupt());
        Ok(Signals {
            terminate: open(terminate)?,
            interrupt: open(interrupt)?,
            reload: open(SignalKind::hangup())?,
        })
    }

    async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Stop,
            _ = self.interrupt.recv() => Asked::Stop,
            _ = self.reload.recv() => Asked::Reload,
        }
    }

    /// Asked to stop.
    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
