//! What a change of settings costs the service and how long it takes to be in force on each node,
//! on virtual time over loopback: it shows the waits of the protocol, not of processors or links.
//!
//! `cargo run --release --example spread`

use std::time::Duration;

use configuration::wire::{Role, Vm};
use fakes::Platform;
use router::Router;
use settings::node::{LogFormat, Node};
use tokio::time::Instant;

/// Changes of one burst, one a second.
const CHANGES: u64 = 60;
/// How often it is looked at whether a change is in force.
const LOOK: Duration = Duration::from_millis(5);

fn node(index: usize, platform: &Platform) -> Node {
    Node {
        name: format!("entry-{index}"),
        region: "main".to_string(),
        domain: format!("main-{}", index % 3),
        callers: fakes::ANY,
        peers: fakes::ANY,
        operators: fakes::ANY,
        configuration: platform.address(),
        list: platform.address(),
        seeds: vec![],
        secret: "example".to_string(),
        log: LogFormat::Text,
    }
}

fn publish(platform: &Platform, revision: u64) {
    let structure = "[region.main]\n[domain.main-0]\nregion = \"main\"\n[tier.top]\nrank = 0\n";
    let text = format!("[class.one]\ntier = \"top\"\nweight = {}\n", revision + 1);
    platform.publish(revision, &[("structure", structure), ("class", &text)]);
}

async fn wait_for(routers: &[Router], revision: u64) {
    while !routers.iter().all(|router| router.revision() == Some(revision)) {
        tokio::time::sleep(LOOK).await;
    }
}

async fn burst(nodes: usize) {
    let platform = Platform::start().await.expect("a free port");
    publish(&platform, 1);
    let mut routers = vec![];
    for index in 0..nodes {
        routers.push(Router::start(node(index, &platform)).await.expect("a free port"));
    }
    let vm = |(index, router): (usize, &Router)| Vm {
        name: format!("entry-{index}"),
        role: Role::Entry,
        address: router.peer_address().to_string(),
        domain: format!("main-{}", index % 3),
        leaving: false,
    };
    platform.list(routers.iter().enumerate().map(vm).collect());
    wait_for(&routers, 1).await;
    tokio::time::sleep(Duration::from_secs(120)).await;
    let (calls, bytes) = (platform.calls() - platform.lists(), platform.bytes());
    let mut times = vec![];
    for revision in 2..2 + CHANGES {
        let start = Instant::now();
        publish(&platform, revision);
        wait_for(&routers, revision).await;
        times.push(start.elapsed());
        tokio::time::sleep_until(start + Duration::from_secs(1)).await;
    }
    let calls = platform.calls() - platform.lists() - calls;
    times.sort_unstable();
    println!(
        "{nodes} {:.1} {:.0} {:.0} {:.0}",
        calls as f64 / CHANGES as f64,
        (platform.bytes() - bytes) as f64 / CHANGES as f64,
        times[times.len() / 2].as_secs_f64() * 1e3,
        times[times.len() - 1].as_secs_f64() * 1e3,
    );
}

fn main() {
    println!("nodes settings_calls_a_second service_bytes_a_second median_ms longest_ms");
    for nodes in [7, 14, 28, 56] {
        actix_rt::System::new().block_on(async {
            tokio::time::pause();
            burst(nodes).await;
        });
    }
}
