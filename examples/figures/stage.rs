//! Engines, platform and a router, each on a thread of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;

use fakes::{Engine, Pace, Platform};
use router::Router;
use settings::node::{LogFormat, Node};

use crate::machine;

/// All that callers reach. Its threads live until the process ends.
pub struct Stage {
    pub engines: Vec<SocketAddr>,
    pub router: SocketAddr,
    thread: PathBuf,
}

impl Stage {
    pub fn start(engines: usize, pace: Pace) -> Self {
        let engines: Vec<_> = (0..engines).map(|_| engine(pace)).collect();
        let platform = platform(&tree(&engines, pace.slots));
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                let router = Router::start(node(platform)).await.expect("free ports");
                while !router.is_ready() {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                let _ = sender.send((router.caller_address(), machine::this_thread()));
                std::future::pending::<()>().await;
            });
        });
        let (router, thread) = receiver.recv().expect("the router starts");
        Stage { engines, router, thread }
    }

    /// Processor time that the router took so far.
    pub fn router_time(&self) -> Duration {
        machine::time(&self.thread)
    }
}

fn engine(pace: Pace) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let engine = Engine::start(pace).await.expect("a free port");
            let _ = sender.send(engine.address().parse().expect("an address"));
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the engine starts")
}

fn platform(tree: &str) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    let tree = tree.to_string();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let platform = Platform::start().await.expect("a free port");
            platform.publish(1, &[("tree", &tree)]);
            let _ = sender.send(platform.address());
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the platform starts")
}

fn tree(engines: &[SocketAddr], slots: u32) -> String {
    let mut tree = String::from(
        "[region.riga]\n[domain.riga-a]\nregion = \"riga\"\n[tier.top]\nrank = 0\n\
         deadline = \"1h\"\n[class.booking]\ntier = \"top\"\nqueue = 10000\n\
         [workspace.choir]\nclass = \"booking\"\nkey_digest = \"ca996a5a3528d4cdc107f77dad7698b379cfccebca10138b352c0dd3d1b4ce3b\"\n",
    );
    for (index, address) in engines.iter().enumerate() {
        tree.push_str(&format!(
            "[server.engine-{index}]\ndomain = \"riga-a\"\naddress = \"{address}\"\n\
             models = [\"small\"]\nslots = {slots}\n"
        ));
    }
    tree
}

fn node(platform: SocketAddr) -> Node {
    Node {
        name: "entry-0".to_string(),
        region: "riga".to_string(),
        domain: "riga-a".to_string(),
        callers: fakes::ANY,
        peers: fakes::ANY,
        operators: fakes::ANY,
        configuration: platform,
        list: platform,
        seeds: vec![],
        secret: "secret".to_string(),
        log: LogFormat::Text,
    }
}
