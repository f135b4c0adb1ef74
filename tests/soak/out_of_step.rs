//! Nodes that are out of step while servers of another version join: suspended, or cut off from all others or from some. Callers
//! take up there streams that the new version began at other nodes, and that these can't tell of any more.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fakes::versions::{Caller, RESUMED, written_by};
use fakes::{Cut, Path, Raw, Step};
use origins::{Members, Stream};
use rustix::process::Signal;
use wire::gossip::Peer;

use crate::fixture::{
    API_KEY, ATTEMPT_ID, CONFIGURATION, STREAM_HEAD, VERSIONS_ROUTE, configuration, server_entry,
};
use crate::nodes::Node;
use crate::stores::Stores;

/// Apart from the seeds of soaks, which name files by them.
const SEED: u64 = 2 << 32;
/// Time limit of a stream.
const LIMIT_MS: u64 = 2_000;
/// A stream began at most so long before its caller takes it up.
const MAX_LIFE: Duration = Duration::from_millis(500);
/// Streams of the new version in each round.
const STREAMS: usize = 4;
/// Streams begun until there are as many of the new version.
const MAX_BEGUN: usize = 100;
/// Pause before more streams begin.
const PAUSE: Duration = Duration::from_millis(10);
/// A caller gives a try up after this.
const PATIENCE: Duration = Duration::from_secs(3);
/// A suspended node goes on this long after it was sent the requests of callers that take streams up.
const QUEUED: Duration = Duration::from_millis(30);
/// Time in which all nodes have settings, and have followed the list of servers for longer than a stream lives.
const SETTLED: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(200);

/// How a node gets out of step.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// It doesn't, but can't be asked when streams are taken up.
    Silence,
    /// Its process stands still, and goes on when streams are taken up there.
    Suspension,
    /// It is cut off.
    Cut { store: Cut, seeds: Cut },
}

/// The faults of the nodes. The first two nodes are the seeds, of which one loses the store.
const FAULTS: [Fault; 10] = [
    Fault::Silence,
    Fault::Cut { store: Cut::Silent, seeds: Cut::None },
    Fault::Silence,
    Fault::Silence,
    Fault::Silence,
    Fault::Suspension,
    Fault::Cut { store: Cut::Silent, seeds: Cut::Silent },
    Fault::Cut { store: Cut::Resetting, seeds: Cut::Resetting },
    Fault::Cut { store: Cut::Silent, seeds: Cut::None },
    Fault::Cut { store: Cut::None, seeds: Cut::Silent },
];

/// Why nodes that are in step can't be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Silence {
    Suspended,
    Killed,
}

impl Silence {
    pub const ALL: [Silence; 2] = [Silence::Suspended, Silence::Killed];
}

/// What became of streams that were taken up at one node.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    went_on: u32,
    refused: u32,
    /// Neither, for example because the answer broke off.
    failed: u32,
    joined: u32,
}

/// A service, whose server of the new version joins in one round.
struct Service {
    name: String,
    old: Raw,
    new: Raw,
}

impl Service {
    async fn start(stores: &Stores, name: String) -> Self {
        let server = |version: &'static str| {
            Raw::named(ATTEMPT_ID, move |_| {
                fakes::versions::steps(STREAM_HEAD, version, vec![Step::Hang])
            })
        };
        let service =
            Service { name, old: server("v1").await.unwrap(), new: server("v2").await.unwrap() };
        service.list(stores, &service.old, "v1", "ready");
        service
    }

    /// Its server of the new version joins, and the old one leaves.
    fn release(&self, stores: &Stores) {
        self.list(stores, &self.new, "v2", "ready");
        self.list(stores, &self.old, "v1", "draining");
    }

    fn list(&self, stores: &Stores, server: &Raw, version: &str, state: &str) {
        let text = server_entry(&server.address(), state);
        let text = text.replace("\"plain\"", &format!("\"{}\"", self.name));
        let text = text.replace("\"v1\"", &format!("\"{version}\""));
        stores.put(&format!("servers/{}-{version}", self.name), &text);
    }

    fn route(&self) -> String {
        let route = VERSIONS_ROUTE.trim_start_matches(",\n").replace("versions", &self.name);
        let route = route.replace("\"timeoutMs\":6000", &format!("\"timeoutMs\":{LIMIT_MS}"));
        route.replace("\"eventGapMs\":300", &format!("\"eventGapMs\":{LIMIT_MS}"))
    }

    /// The try `own` of the stream that the try `began` began, if it is another one.
    fn request(&self, own: &str, began: &str) -> String {
        let resumes = format!("resumes: {began}\r\n{RESUMED}");
        format!(
            "POST /{}/a?x={began} HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT_ID}: {own}\r\n\
             x-deadline-ms: {LIMIT_MS}\r\napi-key: {API_KEY}\r\n{}content-length: 0\r\n\
             connection: close\r\n\r\n",
            self.name,
            if own == began { "" } else { &resumes }
        )
    }
}

struct Fleet {
    stores: Stores,
    /// Of each round one, and one whose only version stays.
    services: Vec<Service>,
    nodes: Vec<Node>,
    /// For each node the path to the store.
    to_store: Vec<Path>,
    /// For each node the paths to other nodes that are seeds.
    to_seeds: Vec<Vec<Path>>,
    /// The list of nodes, from which the keepers of streams follow.
    members: Members,
}

impl Fleet {
    async fn start(seed: u64, rounds: usize) -> Self {
        let stores = Stores::start(1).await;
        let mut services = vec![];
        for number in 0..=rounds {
            services.push(Service::start(&stores, format!("s{number}")).await);
        }
        let routes: Vec<_> = services.iter().map(Service::route).collect();
        let names: Vec<_> =
            services.iter().map(|service| format!("\"name\":\"{}\"", service.name)).collect();
        let others = names.join(",\"healthPath\":\"/health\",\"connectionLimit\":100},{");
        let settings = configuration(1, &routes.join(",\n"), &[API_KEY]);
        let settings = settings.replace("\"name\":\"plain\"", &others);
        stores.put(CONFIGURATION, &settings);
        let to_store: Vec<_> =
            FAULTS.iter().map(|_| Path::open(stores.address(0)).unwrap()).collect();
        let addresses: Vec<_> = to_store.iter().map(|path| path.address().unwrap()).collect();
        let mut to_seeds: Vec<_> = FAULTS.iter().map(|_| vec![]).collect();
        let nodes = Node::fleet_with_ways(SEED + seed, &addresses, false, |node, to| {
            let path = Path::open(to).unwrap();
            let address = path.address().unwrap();
            to_seeds[node].push(path);
            address
        });
        let mut members = Members::default();
        let peer = |node: &Node| Peer { address: node.peers, domain: "riga-a".to_string() };
        members.apply(nodes.iter().map(peer).collect());
        Fleet { stores, services, nodes, to_store, to_seeds, members }
    }

    /// Waits until streams of the only version of a service are taken up at every node.
    async fn settles(&self) {
        let calm = self.services.last().expect("a service");
        let ends = Instant::now() + SETTLED;
        for (number, node) in self.nodes.iter().enumerate() {
            for count in 0.. {
                let began = format!("unheard-{number}-{count}");
                let text = exchange(node.callers, &calm.request("unheard", &began)).await;
                if written_by(&text) == ["v1"] {
                    break;
                }
                assert!(Instant::now() < ends, "node {number} takes up no stream: {text:?}");
                tokio::time::sleep(POLL).await;
            }
        }
    }

    async fn set(&self, number: usize, store: Cut, seeds: Cut) {
        self.to_store[number].set(store).await.unwrap();
        for path in &self.to_seeds[number] {
            path.set(seeds).await.unwrap();
        }
    }

    /// Brings nodes out of step.
    async fn part(&self) {
        for (number, fault) in FAULTS.iter().enumerate() {
            match *fault {
                Fault::Silence => {}
                Fault::Suspension => self.nodes[number].signal(Signal::STOP),
                Fault::Cut { store, seeds } => self.set(number, store, seeds).await,
            }
        }
    }

    fn silence(&self, silence: Silence) {
        for (node, fault) in self.nodes.iter().zip(FAULTS) {
            match (fault, silence) {
                (Fault::Silence, Silence::Suspended) => node.signal(Signal::STOP),
                (Fault::Silence, Silence::Killed) => node.kill(),
                _ => {}
            }
        }
    }

    async fn heal(&self) {
        // A process that is just being started still holds the listeners that a path closes.
        for number in 0..self.nodes.len() {
            self.set(number, Cut::None, Cut::None).await;
        }
        for node in &self.nodes {
            node.signal(Signal::CONT);
            node.start();
        }
    }

    /// Whether only nodes that are in step are told which version began a stream.
    fn is_told_in_step(&self, id: &str) -> bool {
        let keepers = self.members.keepers(Stream::begun_by(id));
        let in_step = self.nodes.iter().zip(FAULTS);
        let in_step: Vec<_> = in_step
            .filter(|(_, fault)| matches!(fault, Fault::Silence))
            .map(|(node, _)| node.peers)
            .collect();
        keepers.iter().all(|keeper| in_step.contains(keeper))
    }

    /// Begins streams at the new version through a node that is in step.
    async fn begin(&self, service: &Service) -> Vec<(String, Caller)> {
        let mut begun = vec![];
        let ids = (0..).map(|number| format!("{}-{number}", service.name));
        for id in ids.filter(|id| self.is_told_in_step(id)).take(MAX_BEGUN) {
            let request = service.request(&id, &id);
            let reading = async {
                let mut caller = Caller::send(self.nodes[0].callers, &request).await?;
                caller.read_event().await;
                Some(caller)
            };
            let read = tokio::time::timeout(PATIENCE, reading).await.ok().flatten();
            if let Some(caller) = read.filter(|caller| written_by(&caller.text) == ["v2"]) {
                begun.push((id, caller));
            } else {
                tokio::time::sleep(PAUSE).await;
            }
            if begun.len() == STREAMS {
                break;
            }
        }
        assert_eq!(begun.len(), STREAMS, "{} has no new version", service.name);
        begun
    }

    /// Takes streams up at all nodes that are out of step, while all others are silent.
    async fn take_up(&self, service: &Service, begun: Vec<(String, Caller)>) -> Vec<Tally> {
        let calm = self.services.last().expect("a service");
        let streams = begun.into_iter().map(|(id, _)| (service, id, "v2"));
        // A stream of the service whose only version stays may go on where the store proves that.
        let unheard = (calm, format!("{}-unheard", service.name), "v1");
        let streams: Vec<_> = streams.chain([unheard]).collect();
        let nodes = self.nodes.iter().enumerate().map(async |(number, node)| {
            let mut tally = Tally::default();
            if matches!(FAULTS[number], Fault::Silence) {
                return tally;
            }
            let tries = streams.iter().map(|(service, id, version)| {
                let request = service.request(&format!("{id}-at-{number}"), id);
                async move { (exchange(node.callers, &request).await, *version) }
            });
            let resume = async {
                tokio::time::sleep(QUEUED).await;
                node.signal(Signal::CONT);
            };
            let (texts, ()) = tokio::join!(futures_util::future::join_all(tries), resume);
            for (text, version) in texts {
                let versions = written_by(&text);
                let count = match versions.as_slice() {
                    [] if text.contains(" 503 ") => &mut tally.refused,
                    [] => &mut tally.failed,
                    [after] if *after == version => &mut tally.went_on,
                    _ => &mut tally.joined,
                };
                *count += 1;
            }
            tally
        });
        futures_util::future::join_all(nodes).await
    }
}

/// Plays rounds, each with the time in seconds for which nodes are out of step when streams are taken up there, and why the others
/// are silent then. Fails if a stream goes on at another version than that which began it.
pub async fn play(seed: u64, rounds: &[(f64, Silence)]) {
    let fleet = Fleet::start(seed, rounds.len()).await;
    let mut tallies: BTreeMap<usize, Tally> = BTreeMap::new();
    let mut joined = vec![];
    for (service, (age, silence)) in fleet.services.iter().zip(rounds) {
        fleet.settles().await;
        let parted = Instant::now();
        fleet.part().await;
        service.release(&fleet.stores);
        let age = Duration::from_secs_f64(*age);
        tokio::time::sleep(age.saturating_sub(MAX_LIFE)).await;
        let begun = fleet.begin(service).await;
        tokio::time::sleep(age.saturating_sub(parted.elapsed())).await;
        let real_age = parted.elapsed();
        fleet.silence(*silence);
        for (number, tally) in fleet.take_up(service, begun).await.into_iter().enumerate() {
            let all = tallies.entry(number).or_default();
            all.went_on += tally.went_on;
            all.refused += tally.refused;
            all.failed += tally.failed;
            all.joined += tally.joined;
            if tally.joined > 0 {
                let fault = FAULTS[number];
                joined.push(format!(
                    "{} at node {number}, {fault:?} for {real_age:?}, others {silence:?}",
                    tally.joined
                ));
            }
        }
        fleet.heal().await;
    }
    for (number, tally) in &tallies {
        println!("node {number}, {:?}: {tally:?}", FAULTS[*number]);
    }
    let sum: u32 = tallies.values().map(|tally| tally.joined).sum();
    assert!(joined.is_empty(), "ORDER: {sum} streams of two versions:\n{}", joined.join("\n"));
    let told: u32 = tallies.values().map(|tally| tally.went_on + tally.refused).sum();
    assert!(told > 0, "no stream was taken up");
}

async fn exchange(node: SocketAddr, request: &str) -> String {
    let reading = async {
        let Some(mut caller) = Caller::send(node, request).await else { return String::new() };
        caller.read_to_end().await;
        caller.text
    };
    tokio::time::timeout(PATIENCE, reading).await.unwrap_or_default()
}
