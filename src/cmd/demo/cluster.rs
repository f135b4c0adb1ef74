//! Runs the routers of the demo and the simulated servers around them.

use std::net::SocketAddr;
use std::time::Duration;

use configuration::wire::{Role, Vm};
use fakes::{Engine, Pace, Plain, Platform};
use router::Router;
use settings::node::{LogFormat, Node};

use super::call::Record;
use super::mix::{CLASS_SETTINGS, Kind};

const ROUTER_COUNT: usize = 3;
const ENGINE_COUNT: usize = 3;
/// Slots of each engine.
const SLOTS: u32 = 4;
const ENGINE_PACE: Pace =
    Pace { slots: SLOTS, prefill: Duration::from_millis(40), token: Duration::from_millis(10) };
/// Time that the plain service takes for a call.
const DESK_LATENCY: Duration = Duration::from_millis(20);
/// Time between two checks for the routers' readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const DOMAIN: &str = "riga-a";

/// The routers of the demo with their simulated backend servers, configuration service and list of
/// VMs.
pub struct Cluster {
    platform: Platform,
    pub engines: Vec<Engine>,
    pub desk: Plain,
    routers: Vec<Router>,
}

impl Cluster {
    /// Starts all servers and routers and waits until every router is ready.
    pub async fn start() -> anyhow::Result<Self> {
        let platform = Platform::start().await?;
        let desk = Plain::start().await?;
        desk.set_pace(DESK_LATENCY);
        let mut cluster = Cluster { platform, engines: vec![], desk, routers: vec![] };
        for _ in 0..ENGINE_COUNT {
            cluster.engines.push(Engine::start(ENGINE_PACE).await?);
        }
        cluster.platform.publish(1, &[("tree", &cluster.settings())]);
        for index in 0..ROUTER_COUNT {
            let router = Router::start(cluster.node_settings(index)).await?;
            cluster.routers.push(router);
        }
        let entries = cluster.routers.iter().enumerate();
        cluster.platform.list(entries.map(|(index, router)| listed_vm(index, router)).collect());
        while !cluster.routers.iter().all(Router::is_ready) {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(cluster)
    }

    /// Returns a router's address for callers; indices beyond the last router wrap around.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.routers[index % self.routers.len()].caller_address()
    }

    /// Returns how often the backend servers ran the request of a record.
    pub fn run_count(&self, record: &Record) -> u32 {
        match record.class.kind {
            Kind::Charge => self.desk.runs(&record.id),
            _ => self.engines.iter().map(|engine| engine.runs(&record.id)).sum(),
        }
    }

    /// Returns how many tokens the engines generated.
    pub fn generated_tokens(&self) -> u64 {
        self.engines.iter().map(Engine::tokens).sum()
    }

    /// Describes what runs, for the operator.
    pub fn describe(&self) -> String {
        format!(
            "{ROUTER_COUNT} routers before {ENGINE_COUNT} engines of {SLOTS} places and a desk; status at \
             http://{}/status",
            self.routers[0].operator_address()
        )
    }

    /// Returns a `curl` command that sends a call to the first router.
    pub fn curl_command(&self) -> String {
        let address = self.caller_address(0);
        format!(
            "curl -N -H 'authorization: Bearer demo-key' -H 'content-type: application/json' \\\n  \
             -d '{{\"model\":\"small\",\"stream\":true}}' http://{address}/v1/completions"
        )
    }

    /// Returns the tree of settings with the addresses of the backend servers.
    fn settings(&self) -> String {
        let mut tree = CLASS_SETTINGS.to_string();
        for (index, engine) in self.engines.iter().enumerate() {
            let address = engine.address();
            tree.push_str(&format!(
                "[server.engine-{index}]\ndomain = \"{DOMAIN}\"\naddress = \"{address}\"\n\
                 models = [\"small\"]\nslots = {SLOTS}\n"
            ));
        }
        let address = self.desk.address();
        tree.push_str(&format!(
            "[server.desk]\nkind = \"plain\"\ndomain = \"{DOMAIN}\"\npath = \"/desk\"\n\
             address = \"{address}\"\n"
        ));
        tree
    }

    /// Returns a router's own settings.
    fn node_settings(&self, index: usize) -> Node {
        Node {
            name: node_name(index),
            region: "riga".to_string(),
            domain: DOMAIN.to_string(),
            callers: fakes::ANY,
            peers: fakes::ANY,
            operators: fakes::ANY,
            configuration: self.platform.address(),
            list: self.platform.address(),
            seeds: vec![],
            secret: "demo".to_string(),
            log: LogFormat::Text,
        }
    }
}

/// Returns the name of a router's node.
fn node_name(index: usize) -> String {
    format!("entry-{index}")
}

/// Returns a router's entry in the list of VMs.
fn listed_vm(index: usize, router: &Router) -> Vm {
    let address = router.peer_address().to_string();
    Vm {
        name: node_name(index),
        role: Role::Entry,
        address,
        domain: DOMAIN.to_string(),
        leaving: false,
    }
}
