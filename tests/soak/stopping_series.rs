//! Planned stops of all nodes of a fleet, one after the other, while callers send on connections that they keep.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fakes::{Raw, Step};
use futures_util::future::join_all;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::fixture::{
    API_KEY, ATTEMPT_ID, CONFIGURATION, KINDS, Kind, ROUTES, Reply, configuration, server_entry,
    success_response,
};
use crate::nodes::Node;
use crate::stores::Stores;

/// Names the files of its nodes.
const SEED: u64 = 4 << 32;
const NODES: usize = 4;
const SERVERS: usize = 2;
const CALLERS: usize = 24;
/// Times in ms that servers take.
const WORK_MS: [u64; 4] = [5, 20, 100, 1_000];
/// Time without a stop, whose share is printed beside that of the stops.
const CALM: Duration = Duration::from_secs(4);
/// Pause of a caller after a request, and after a connection that was refused.
const PACE: Duration = Duration::from_millis(20);
/// A caller gives up after this, and a node that serves nothing for so long fails the play.
const PATIENCE: Duration = Duration::from_secs(60);

/// What happens to a node in its stop, beside SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stop {
    Plain,
    /// SIGHUP follows.
    Reload,
    /// A version of the settings is published.
    Release,
    /// A second SIGTERM follows, after which servers are no longer waited for.
    Twice,
}

/// The stops of the nodes, in turn.
const STOPS: [Stop; NODES] = [Stop::Plain, Stop::Reload, Stop::Release, Stop::Twice];

/// A request that was sent, and what came back.
struct Sent {
    id: String,
    kind: Kind,
    node: usize,
    at: Instant,
    reply: Reply,
}

/// The fleet and its servers.
struct Play {
    stores: Stores,
    servers: Vec<Raw>,
    nodes: Vec<Node>,
    sent: RefCell<Vec<Sent>>,
    over: Cell<bool>,
}

/// Plays stops of all nodes. Fails if a request that ran is lost, runs twice, or is said not to have run.
pub async fn play() {
    let play = Play::start().await;
    let begun = Instant::now();
    let rolling = Cell::new(begun);
    let mut spans = vec![];
    let stops = async {
        tokio::time::sleep(CALM).await;
        rolling.set(Instant::now());
        for (node, stop) in STOPS.into_iter().enumerate() {
            spans.push(play.stop(node, stop).await);
        }
        play.over.set(true);
    };
    tokio::join!(stops, join_all((0..CALLERS).map(|caller| play.call_until_over(caller))));
    play.check(begun, rolling.get(), &spans);
}

impl Play {
    async fn start() -> Self {
        let stores = Stores::start(NODES).await;
        let mut servers = vec![];
        for index in 0..SERVERS {
            let server = Raw::named(ATTEMPT_ID, |_| script()).await.unwrap();
            let entry = server_entry(&server.address(), "ready");
            let entry = entry.replace("\"slots\":8", "\"slots\":100");
            stores.put(&format!("servers/i-{index}"), &entry);
            servers.push(server);
        }
        stores.put(CONFIGURATION, &configuration(1, ROUTES, &[API_KEY]));
        let addresses: Vec<_> = (0..NODES).map(|node| stores.address(node)).collect();
        let nodes = Node::fleet(SEED, &addresses, false);
        let play =
            Play { stores, servers, nodes, sent: RefCell::default(), over: Cell::new(false) };
        join_all((0..NODES).map(|node| play.wait_until_served(node))).await;
        play
    }

    /// Stops a node and starts it again; returns when it was asked to stop and when it had ended.
    async fn stop(&self, number: usize, stop: Stop) -> (Instant, Instant) {
        let node = &self.nodes[number];
        let begun = Instant::now();
        node.signal(Signal::TERM);
        match stop {
            Stop::Plain => {}
            Stop::Reload => node.signal(Signal::HUP),
            Stop::Release => self.stores.put(CONFIGURATION, &configuration(2, ROUTES, &[API_KEY])),
            Stop::Twice => {
                tokio::time::sleep(PACE).await;
                node.signal(Signal::TERM);
            }
        }
        node.ended().await;
        let ended = Instant::now();
        node.start();
        self.wait_until_served(number).await;
        (begun, ended)
    }

    /// Asks a node until it serves.
    async fn wait_until_served(&self, number: usize) {
        let served = async {
            for question in 0.. {
                let id = format!("ready-{number}-{question}");
                let text = Kind::Read.request(&id).replace("x=%2F1", &work_query(0));
                if let Ok(mut stream) = TcpStream::connect(self.nodes[number].callers).await {
                    let reply = exchange(&mut stream, &text).await;
                    if reply.status == 200 {
                        return;
                    }
                }
                tokio::time::sleep(PACE).await;
            }
        };
        let served = tokio::time::timeout(PATIENCE, served).await;
        assert!(served.is_ok(), "node {number} serves nothing");
    }

    /// Sends requests of one kind on a connection that is kept, and goes to another node when one closes it.
    async fn call_until_over(&self, caller: usize) {
        let kind = KINDS[caller % KINDS.len()];
        let mut kept: Option<TcpStream> = None;
        let mut node = caller / KINDS.len() % NODES;
        // Callers of one node spread over the others when it stops.
        let mut elsewhere = (1..NODES).cycle().skip(caller);
        let mut number = caller;
        while !self.over.get() {
            if kept.is_none() {
                kept = connect(self.nodes[node].callers).await;
            }
            let Some(stream) = &mut kept else {
                node = (node + elsewhere.next().unwrap_or(1)) % NODES;
                tokio::time::sleep(PACE).await;
                continue;
            };
            number += 1;
            let id = format!("{caller}-{number}");
            let text = kind.request(&id).replace("connection: close\r\n", "");
            let text = text.replace("x=%2F1", &work_query(number % WORK_MS.len()));
            let at = Instant::now();
            let reply = exchange(stream, &text).await;
            let closed = reply.status == 0 || reply.header("connection") == Some("close");
            let broken = !reply.complete;
            self.sent.borrow_mut().push(Sent { id, kind, node, at, reply });
            if closed || broken {
                kept = None;
                node = (node + elsewhere.next().unwrap_or(1)) % NODES;
            }
            tokio::time::sleep(PACE).await;
        }
    }

    fn runs(&self, id: &str) -> u32 {
        self.servers.iter().map(|server| server.runs(id)).sum()
    }

    fn check(&self, begun: Instant, rolling: Instant, spans: &[(Instant, Instant)]) {
        let sent = self.sent.borrow();
        let mut faults = vec![];
        let mut counts: [BTreeMap<String, usize>; 2] = Default::default();
        for Sent { id, kind, node, at, reply } in sent.iter() {
            let runs = self.runs(id);
            let what = match reply.status {
                200 if reply.complete => "served".to_string(),
                200 if kind.streams() => format!("broken off at node {node}"),
                0 | 200 if runs > 0 => {
                    faults.push(format!("LOST: {id}, {kind:?}, node {node}: {reply:?}"));
                    "lost".to_string()
                }
                0 => "not read".to_string(),
                408 | 421 | 429 | 503 => "refused".to_string(),
                other => format!("{other} at node {node}"),
            };
            if what == "refused" && runs > 0 && !kind.repeatable() {
                faults.push(format!("REFUSED: {id}, {kind:?}, node {node}, ran: {reply:?}"));
            }
            if runs > 1 && !kind.repeatable() {
                faults.push(format!("TWICE: {id}, {kind:?}, node {node}, ran {runs} times"));
            }
            if what == "served" && !reply.is_full_success(*kind) {
                faults.push(format!("MIXED: {id}, {kind:?}, node {node}: {reply:?}"));
            }
            *counts[usize::from(*at >= rolling)].entry(what).or_default() += 1;
        }
        for (name, counts) in ["without a stop", "in a rolling stop"].iter().zip(&counts) {
            let all: usize = counts.values().sum();
            let served = counts.get("served").copied().unwrap_or(0);
            let share = 100.0 * served as f64 / all.max(1) as f64;
            println!("{name}: {share:.2}% of {all} sent were served: {counts:?}");
        }
        let times: Vec<_> = spans.iter().map(|(from, to)| (*to - *from).as_secs_f64()).collect();
        println!(
            "calm for {:.1} s, stops of {times:.1?} s, {:.1} s in all",
            (rolling - begun).as_secs_f64(),
            begun.elapsed().as_secs_f64()
        );
        assert!(faults.is_empty(), "{}:\n{}", faults.len(), faults.join("\n"));
        for counts in &counts {
            assert!(counts.contains_key("served"), "nothing was served: {counts:?}");
        }
    }
}

/// A server runs each request and answers after the time that its query names.
fn script() -> Vec<Step> {
    let mut steps = vec![Step::Run];
    for kind in KINDS {
        for (number, work) in WORK_MS.into_iter().enumerate() {
            let line = format!(" {}?{} ", kind.path(), work_query(number));
            let wait = Step::Wait(Duration::from_millis(work));
            steps.push(Step::IfHead(line, vec![wait, Step::Write(success_response(kind))]));
        }
    }
    steps
}

fn work_query(number: usize) -> String {
    format!("x=work-{number}")
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends a request and receives its answer, up to its end or that of the connection.
async fn exchange(stream: &mut TcpStream, text: &str) -> Reply {
    let mut bytes = vec![];
    let exchanged = async {
        // The node may have closed the connection meanwhile, and may have answered before.
        let _ = stream.write_all(text.as_bytes()).await;
        while stream.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {
            if Reply::parse(&String::from_utf8_lossy(&bytes)).complete {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(PATIENCE, exchanged).await;
    Reply::parse(&String::from_utf8_lossy(&bytes))
}
