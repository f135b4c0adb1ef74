//! A small deployment: a store, router processes as the deploy file starts them, and the record of a run.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{self, Channel};

/// Zones of the nodes, as at kalnins-godwit.
const ZONES: [&str; 3] = ["riga-a", "kurzeme-a", "riga-b"];
/// Time within which a node has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}

/// A router process.
pub struct Node {
    pub callers: SocketAddr,
    operators: SocketAddr,
    process: Child,
}

impl Node {
    fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.operators, Duration::from_secs(1)) else {
            return false;
        };
        let asked =
            channel.send(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        asked.is_ok()
            && channel.receive().is_ok_and(|answer| answer.is_some_and(|a| a.status() == 200))
    }
}

/// The router processes of a run, which end with it, and their settings files.
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts nodes with the program and the settings of the deploy file, each with its way to the store. The first three are
    /// the seeds.
    pub fn start(stores: &[SocketAddr]) -> Self {
        let count = stores.len();
        let folder = std::env::temp_dir().join(format!(
            "review-{}-{}",
            std::process::id(),
            stores[0].port()
        ));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let free = net::free_addresses(3 * count);
        let peers = &free[..count];
        let seeds: Vec<_> = peers.iter().take(3).map(|peer| format!("\"{peer}\"")).collect();
        let mut fleet = Fleet { nodes: vec![], folder };
        for (index, peer) in peers.iter().enumerate() {
            let (callers, operators) = (free[count + index], free[2 * count + index]);
            let (zone, store) = (ZONES[index % ZONES.len()], stores[index]);
            let settings = format!(
                "adapter = \"platform\"\nname = \"edge-{zone}-{index}\"\ndomain = \"{zone}\"\ncallers = \"{callers}\"\n\
                 operators = \"{operators}\"\npeers = \"{peer}\"\nseeds = [{}]\nstore = \"{store}\"\ncheck_in_ms = 1200\n\n\
                 [domains]\nriga-a = \"riga\"\nkurzeme-a = \"kurzeme\"\nriga-b = \"riga\"\n\n\
                 [room]\nmemory_mb = 110\ndescriptors = 4100\nlink_mbps = 1000.0\n\n\
                 [promises]\nrevocation_ms = 5000\ngrace_s = 8\nrepeats = 0.2\nretry_slack = 54\ndrain_ms = 2500\n",
                seeds.join(", ")
            );
            let path = fleet.folder.join(format!("boot-{index}.toml"));
            std::fs::write(&path, settings).expect("settings can be written");
            let log = File::create(fleet.folder.join(format!("node-{index}.log")))
                .expect("a log can be written");
            let process = Command::new("target/release/godwitleverd")
                .arg("--settings")
                .arg(&path)
                .stdout(Stdio::from(log))
                .stderr(Stdio::inherit())
                .spawn();
            let process = process.unwrap_or_else(|cause| {
                crate::give_up(&format!("the router can't be started: {cause}"))
            });
            fleet.nodes.push(Node { callers, operators, process });
        }
        let until = Instant::now() + START_TIMEOUT;
        while !fleet.nodes.iter().all(Node::is_ready) {
            if Instant::now() > until {
                drop(fleet);
                crate::give_up("a node didn't become ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        fleet
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
