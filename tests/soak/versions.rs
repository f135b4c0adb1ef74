//! Servers that are replaced by those of another version while they send streams, and callers that take these up.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use fakes::versions::{Caller, RESUMED, rest, written_by};
use fakes::{Raw, Step};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fixture::{API_KEY, ATTEMPT_ID, STREAM_HEAD, server_entry};
use crate::stores::Stores;

/// Service of these servers.
const SERVICE: &str = "versions";
/// Servers of each version.
const SERVERS: usize = 2;
/// Versions that serve side by side.
const VERSIONS: usize = 2;
/// Time for which a server that leaves serves on.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Tries of a caller for one stream.
const TRIES: usize = 4;
/// A caller gives a try up after this.
const PATIENCE: Duration = Duration::from_secs(3);
/// Streams taken up from which on the share that goes on is judged.
const MIN_TAKEN_UP: u32 = 12;
/// Streams that may hold events of two versions.
const MAX_JOINED: u32 = 2;

struct Server {
    raw: Raw,
    name: String,
}

/// The servers of the service, and what became of its streams.
#[derive(Default)]
pub struct Versions {
    servers: RefCell<Vec<Vec<Server>>>,
    leaving: RefCell<Vec<Server>>,
    started: Cell<usize>,
    new: Cell<u32>,
    begun: Cell<u32>,
    taken_up: Cell<u32>,
    went_on: Cell<u32>,
    /// Of those taken up.
    refused: Cell<u32>,
    joined: Cell<u32>,
}

fn add(count: &Cell<u32>) {
    count.set(count.get() + 1);
}

impl Versions {
    pub async fn start(stores: &Stores) -> Self {
        let versions = Versions::default();
        for _ in 0..VERSIONS {
            versions.add_version(stores).await;
        }
        versions
    }

    /// Starts the servers of the next version.
    async fn add_version(&self, stores: &Stores) {
        let version = self.started.replace(self.started.get() + 1);
        let mut servers = vec![];
        for index in 0..SERVERS {
            let (number, name) = (Cell::new(0_u64), format!("v{version}"));
            let raw = Raw::named(ATTEMPT_ID, move |_| {
                let count = number.replace(number.get() + 1);
                let end = if count % 4 == 3 { Step::Reset } else { Step::Write(rest(&name)) };
                let wait = Step::Wait(Duration::from_millis(50 * (count % 5)));
                fakes::versions::steps(STREAM_HEAD, &name, vec![wait, end])
            });
            let server = Server { raw: raw.await.unwrap(), name: format!("v-{version}-{index}") };
            list(stores, &server, version, "ready");
            servers.push(server);
        }
        self.servers.borrow_mut().push(servers);
    }

    /// Replaces the servers of the oldest version by those of the next one. Sometimes a server starts again under its
    /// old name as the new version.
    pub async fn release(&self, stores: &Stores, rng: &mut SmallRng) {
        while self.servers.borrow().len() <= VERSIONS {
            self.add_version(stores).await;
        }
        let version = self.started.get() - self.servers.borrow().len();
        let oldest = self.servers.borrow_mut().remove(0);
        let reused = rng.random_range(0..3) == 0;
        for (index, server) in oldest.into_iter().enumerate() {
            if reused && index == 0 {
                let mut servers = self.servers.borrow_mut();
                let newest = servers.last_mut().expect("a version");
                let successor = &mut newest[0];
                stores.delete(&format!("servers/{}", successor.name));
                successor.name.clone_from(&server.name);
                list(stores, successor, self.started.get() - 1, "ready");
                drop(server);
                continue;
            }
            list(stores, &server, version, "draining");
            self.leaving.borrow_mut().push(server);
        }
        tokio::time::sleep(DRAIN).await;
        for server in self.leaving.take() {
            stores.delete(&format!("servers/{}", server.name));
        }
    }

    /// Replaces the servers of all versions by those of the next one, which is the only one then.
    pub async fn release_to_all(&self, stores: &Stores) {
        self.add_version(stores).await;
        let newest = self.servers.borrow_mut().pop().expect("a version");
        let first = self.started.get() - 1 - self.servers.borrow().len();
        let former = self.servers.replace(vec![newest]);
        for (index, servers) in former.into_iter().enumerate() {
            for server in servers {
                list(stores, &server, first + index, "draining");
                self.leaving.borrow_mut().push(server);
            }
        }
        tokio::time::sleep(DRAIN).await;
        for server in self.leaving.take() {
            stores.delete(&format!("servers/{}", server.name));
        }
    }

    /// Sends a stream and takes it up at other nodes until it ends, as often as a caller does.
    pub async fn call(&self, nodes: &[SocketAddr], id: &str, rng: &mut SmallRng) {
        let (mut text, mut began) = (String::new(), None);
        for number in 0..TRIES {
            let node = nodes[rng.random_range(0..nodes.len())];
            let leaves = rng.random_range(0..3) == 0;
            let own = format!("{id}-{number}");
            let asked = request(id, &own, began.as_deref());
            let sent = exchange(node, &asked, leaves && began.is_none());
            let got = tokio::time::timeout(PATIENCE, sent).await.unwrap_or_default();
            let events = written_by(&got).len();
            if began.is_some() {
                add(&self.taken_up);
                self.went_on.set(self.went_on.get() + u32::from(events > 0));
                self.refused.set(self.refused.get() + u32::from(got.contains(" 503 ")));
            } else {
                add(&self.new);
                self.begun.set(self.begun.get() + u32::from(events > 0));
            }
            if events > 0 {
                text.push_str(&got);
                began.get_or_insert(own);
            }
            if text.contains("w2-") {
                break;
            }
        }
        let versions = written_by(&text);
        if versions.windows(2).any(|pair| pair[0] != pair[1]) {
            add(&self.joined);
            eprintln!("{id} holds events of versions {versions:?}");
        }
    }

    /// Checks that streams kept to their versions, and that enough of them went on.
    pub fn check(&self) -> String {
        let [new, begun, taken_up, went_on] =
            [&self.new, &self.begun, &self.taken_up, &self.went_on].map(Cell::get);
        let (refused, joined) = (self.refused.get(), self.joined.get());
        let told = format!(
            "{begun} of {new} tries began a stream, {went_on} of {taken_up} took one up, {refused} refused"
        );
        assert!(joined <= MAX_JOINED, "{joined} streams of two versions; {told}");
        let share = |part: u32, all: u32| f64::from(part) / f64::from(all.max(1));
        let enough = share(went_on, taken_up) >= share(begun, new) / 2.0;
        assert!(enough || taken_up < MIN_TAKEN_UP, "{told}");
        told
    }
}

fn list(stores: &Stores, server: &Server, version: usize, state: &str) {
    let text = server_entry(&server.raw.address(), state);
    let text = text.replace("\"plain\"", &format!("\"{SERVICE}\""));
    let text = text.replace("\"v1\"", &format!("\"v{version}\""));
    stores.put(&format!("servers/{}", server.name), &text);
}

/// The try `own` of a stream, which takes it up if another try began it.
fn request(id: &str, own: &str, began: Option<&str>) -> String {
    let resumes = |began| format!("resumes: {began}\r\n{RESUMED}");
    let resumes = began.map(resumes).unwrap_or_default();
    format!(
        "POST /versions/a?x={id} HTTP/1.1\r\nhost: desk.example\r\n{ATTEMPT_ID}: {own}\r\n\
         x-deadline-ms: 4000\r\napi-key: {API_KEY}\r\n{resumes}content-length: 0\r\n\
         connection: close\r\n\r\n"
    )
}

/// Sends a request and reads its answer, or only up to its first event if the caller `leaves` then.
async fn exchange(node: SocketAddr, request: &str, leaves: bool) -> String {
    let Some(mut caller) = Caller::send(node, request).await else { return String::new() };
    if leaves {
        caller.read_event().await;
    } else {
        caller.read_to_end().await;
    }
    caller.text
}
