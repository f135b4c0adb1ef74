//! Nodes as processes, and the signals that reach them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fakes::{Closed, Repeats};
use rustix::process::{Pid, Signal, kill_process, test_kill_process};

/// What the nodes may send again to a service.
pub const ALLOWED: Repeats = Repeats { ratio: 0.2, slack: 31.0, window: Duration::from_secs(10) };
/// Variable of the environment that names another build of the nodes' program, to compare the two.
const PROGRAM: &str = "SOAK_NODE";
/// Nodes that read the store for the others.
pub const SEEDS: usize = 2;
/// A process that was asked to stop is killed after this.
const GRACE: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(20);

/// Whether a process is gone.
pub fn ended(pid: i32) -> bool {
    let pid = Pid::from_raw(pid).expect("ids of processes are above zero");
    test_kill_process(pid).is_err()
}

/// Ends a process that outlived its soak; it may be gone already.
pub fn end(pid: i32) {
    let pid = Pid::from_raw(pid).expect("ids of processes are above zero");
    let _ = kill_process(pid, Signal::KILL);
}

/// One node: its addresses, its settings and its process.
pub struct Node {
    pub callers: SocketAddr,
    operators: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    child: RefCell<Option<Child>>,
    /// Keep its ports from being handed out again, to another node or a stand-in, while it isn't
    /// running or hasn't started yet.
    _ports: [Closed; 3],
}

impl Node {
    /// Nodes of one fleet, each with its own way to the store; the first ones are its seeds. If `own_stores`, each
    /// reads its store itself.
    pub fn fleet(seed: u64, stores: &[SocketAddr], own_stores: bool) -> Vec<Node> {
        Self::fleet_with_ways(seed, stores, own_stores, |_, seed| seed)
    }

    /// As [`Node::fleet`]; `way` gives the address at which a node reaches another one that is a seed.
    pub fn fleet_with_ways(
        seed: u64,
        stores: &[SocketAddr],
        own_stores: bool,
        mut way: impl FnMut(usize, SocketAddr) -> SocketAddr,
    ) -> Vec<Node> {
        let without = if own_stores { "without = [\"seeds\"]\n" } else { "" };
        let mut nodes = vec![];
        for index in 0..stores.len() {
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
            let settings = folder.join(format!("soak-{}-{seed}-{index}.toml", std::process::id()));
            let ports = [(); 3].map(|()| Closed::open().unwrap());
            let [callers, operators, peers] = ports.each_ref().map(|port| port.address().unwrap());
            let child = RefCell::default();
            nodes.push(Node { callers, operators, peers, settings, child, _ports: ports });
        }
        let seeds: Vec<_> = nodes.iter().take(SEEDS).map(|node| node.peers).collect();
        for (index, (node, store)) in nodes.iter().zip(stores).enumerate() {
            let Node { callers, operators, peers, .. } = node;
            let ways = seeds.iter().map(|to| if to == peers { *to } else { way(index, *to) });
            let ways: Vec<_> = ways.map(|address| format!("\"{address}\"")).collect();
            let text = format!(
                "adapter = \"platform\"\nname = \"node-{index}\"\ndomain = \"riga-a\"\n\
                 callers = \"{callers}\"\noperators = \"{operators}\"\npeers = \"{peers}\"\n\
                 seeds = [{}]\nstore = \"{store}\"\n{without}[domains]\nriga-a = \"riga\"\n\
                 [room]\nmemory_mb = 110\ndescriptors = 1000\n\
                 [promises]\nrevocation_ms = 5000\ngrace_s = 4\nrepeats = 0.2\nretry_slack = {}\ndrain_ms = 2500\n",
                ways.join(", "),
                ALLOWED.slack
            );
            std::fs::write(&node.settings, text).unwrap();
            node.start();
        }
        nodes
    }

    /// Starts its process, unless it runs.
    pub fn start(&self) {
        if self.child.borrow().is_some() {
            return;
        }
        // A soak that is killed can't end its nodes: they would run on beside the next one. The kernel ends them
        // with the process that asked for it, which becomes the node.
        let mut command = Command::new("setpriv");
        let program = std::env::var(PROGRAM);
        let program = program.unwrap_or(env!("CARGO_BIN_EXE_godwitleverd").to_string());
        command.args(["--pdeathsig", "KILL", "--", &program]);
        command.arg("--settings").arg(&self.settings).stdout(Stdio::null());
        *self.child.borrow_mut() = Some(command.spawn().unwrap());
    }

    /// Its process, if it runs.
    pub fn process(&self) -> Option<u32> {
        self.child.borrow().as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &*self.child.borrow() {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended, and kills it if that takes too long.
    pub async fn ended(&self) {
        let ends = tokio::time::Instant::now() + GRACE;
        loop {
            let over = match self.child.borrow_mut().as_mut() {
                Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
                None => true,
            };
            if over || tokio::time::Instant::now() > ends {
                self.kill();
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}
