//! The stand-ins and routers of the demo.

use std::net::SocketAddr;
use std::time::Duration;

use configuration::wire::{Role, Vm};
use fakes::{Engine, Pace, Plain, Platform};
use router::Router;
use settings::node::{Log, Node};

use super::call::Record;
use super::mix::{Kind, TERMS};

const ROUTERS: usize = 3;
const ENGINES: usize = 3;
const SLOTS: u32 = 4;
const PACE: Pace =
    Pace { slots: SLOTS, prefill: Duration::from_millis(40), token: Duration::from_millis(10) };
const DESK: Duration = Duration::from_millis(20);
const POLL: Duration = Duration::from_millis(20);
const DOMAIN: &str = "riga-a";

/// All that runs in the demo.
pub struct Site {
    platform: Platform,
    pub engines: Vec<Engine>,
    pub desk: Plain,
    routers: Vec<Router>,
}

impl Site {
    /// Starts it and waits until every router is ready.
    pub async fn start() -> anyhow::Result<Self> {
        let platform = Platform::start().await?;
        let desk = Plain::start().await?;
        desk.set_pace(DESK);
        let mut site = Site { platform, engines: vec![], desk, routers: vec![] };
        for _ in 0..ENGINES {
            site.engines.push(Engine::start(PACE).await?);
        }
        site.platform.publish(1, &[("tree", &site.tree())]);
        for index in 0..ROUTERS {
            let router = Router::start(site.node(index)).await?;
            site.routers.push(router);
        }
        let entries = site.routers.iter().enumerate();
        site.platform.list(entries.map(|(index, router)| vm(index, router)).collect());
        while !site.routers.iter().all(Router::is_ready) {
            tokio::time::sleep(POLL).await;
        }
        Ok(site)
    }

    /// Callers' address of a router.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.routers[index % self.routers.len()].caller_address()
    }

    /// How often the stand-ins ran the request of a record.
    pub fn runs(&self, record: &Record) -> u32 {
        match record.class.kind {
            Kind::Charge => self.desk.runs(&record.id),
            _ => self.engines.iter().map(|engine| engine.runs(&record.id)).sum(),
        }
    }

    /// Tokens that the engines generated.
    pub fn tokens(&self) -> u64 {
        self.engines.iter().map(Engine::tokens).sum()
    }

    /// What runs.
    pub fn describe(&self) -> String {
        format!(
            "{ROUTERS} routers before {ENGINES} engines of {SLOTS} places and a desk; status at \
             http://{}/status",
            self.routers[0].operator_address()
        )
    }

    /// A command that reaches it from another terminal.
    pub fn curl(&self) -> String {
        let address = self.callers(0);
        format!(
            "curl -N -H 'authorization: Bearer demo-key' -H 'content-type: application/json' \\\n  \
             -d '{{\"model\":\"small\",\"stream\":true}}' http://{address}/v1/completions"
        )
    }

    fn tree(&self) -> String {
        let mut tree = TERMS.to_string();
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

    fn node(&self, index: usize) -> Node {
        Node {
            name: name(index),
            region: "riga".to_string(),
            domain: DOMAIN.to_string(),
            callers: fakes::ANY,
            peers: fakes::ANY,
            operators: fakes::ANY,
            configuration: self.platform.address(),
            list: self.platform.address(),
            seeds: vec![],
            secret: "demo".to_string(),
            log: Log::Text,
        }
    }
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

fn vm(index: usize, router: &Router) -> Vm {
    let address = router.peer_address().to_string();
    Vm { name: name(index), role: Role::Entry, address, domain: DOMAIN.to_string(), leaving: false }
}
