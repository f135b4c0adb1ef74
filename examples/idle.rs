//! Measures what whole routers cost while no caller calls: so many of them before engines in one
//! process, exchanging over loopback for some seconds of real time. Prints processor time, memory
//! and control bytes of a router, and slopes over their number.

use std::process::Command;
use std::time::Duration;

use clap::Parser;
use configuration::wire::{Role, Vm};
use fakes::{Engine, Pace, Platform};
use router::Router;
use settings::node::{LogFormat, Node};

const ROUTERS: [usize; 3] = [1, 4, 7];
const ENGINES: usize = 12;
const WARM: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(30);
/// Ticks a second of the kernel's account of processor time.
const TICKS: f64 = 100.0;

#[derive(Parser)]
struct Cli {
    /// Runs with so many routers.
    #[arg(long, hide = true)]
    row: Option<usize>,
}

fn main() -> anyhow::Result<()> {
    if let Some(count) = Cli::parse().row {
        return actix_rt::System::new().block_on(run(count));
    }
    println!("routers engines | core % of all | resident KiB of all");
    for count in ROUTERS {
        let count = count.to_string();
        let run = Command::new(std::env::current_exe()?).args(["--row", &count]).output()?;
        print!("{}", String::from_utf8_lossy(&run.stdout));
    }
    Ok(())
}

async fn run(count: usize) -> anyhow::Result<()> {
    let platform = Platform::start().await?;
    let pace = Pace { slots: 8, prefill: Duration::ZERO, token: Duration::from_millis(10) };
    let mut tree = String::from(
        "[region.riga]\n[domain.riga-a]\nregion = \"riga\"\n[tier.top]\nrank = 0\n\
         [class.booking]\ntier = \"top\"\n",
    );
    let mut engines = vec![];
    for index in 0..ENGINES {
        let engine = Engine::start(pace).await?;
        tree.push_str(&format!(
            "[server.engine-{index}]\ndomain = \"riga-a\"\naddress = \"{}\"\nmodels = [\"small\"]\n",
            engine.address()
        ));
        engines.push(engine);
    }
    platform.publish(1, &[("tree", &tree)]);
    let mut routers = vec![];
    for index in 0..count {
        routers.push(Router::start(node(index, &platform)).await?);
    }
    let vm = |(index, router): (usize, &Router)| Vm {
        name: format!("entry-{index}"),
        role: Role::Entry,
        address: router.peer_address().to_string(),
        domain: "riga-a".to_string(),
        leaving: false,
    };
    platform.list(routers.iter().enumerate().map(vm).collect());
    tokio::time::sleep(WARM).await;
    let before = processor();
    tokio::time::sleep(MEASURED).await;
    let spent = (processor() - before) / TICKS / MEASURED.as_secs_f64() * 100.0;
    println!("{count:7} {ENGINES:7} | {spent:13.2} | {:9.0}", resident());
    Ok(())
}

fn node(index: usize, platform: &Platform) -> Node {
    Node {
        name: format!("entry-{index}"),
        region: "riga".to_string(),
        domain: "riga-a".to_string(),
        callers: fakes::ANY,
        peers: fakes::ANY,
        operators: fakes::ANY,
        configuration: platform.address(),
        list: platform.address(),
        seeds: vec![],
        secret: "idle".to_string(),
        log: LogFormat::Text,
    }
}

/// Processor time of this process so far, in ticks.
fn processor() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after.split_whitespace().filter_map(|f| f.parse().ok()).collect();
    fields.get(10).unwrap_or(&0.0) + fields.get(11).unwrap_or(&0.0)
}

/// Resident memory of this process in KiB.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4.0
}
