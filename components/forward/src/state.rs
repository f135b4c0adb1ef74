//! What the tasks of a forwarding node share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::{Book, Freshness, Roster};
use clock::Clock;
use link::{Kept, Pool};
use policy::{Mechanism, Scheduler};
use slab::Slab;
use telemetry::Metrics;
use tokio::sync::{Notify, watch};
use turns::{Crashes, Turns};
use wire::updates::Work;

use crate::crossing::Crossing;
use crate::gossip::Gossip;
use crate::limits::{self, Limits};
use crate::mechanism::{Mechanism as Own, Without};
use crate::names::Names;
use crate::node::Node;
use crate::replica::Replica;
use crate::site::{Dialects, Site};
use crate::source::{Delegates, Sources};
use crate::updates::{self, WorkReports};

/// Idle connections kept to one server. Servers take a limited number from all nodes together.
const KEPT: usize = 24;
/// Time that an idle connection is kept to a server that doesn't say for how long it does.
const IDLE: Duration = Duration::from_millis(800);

/// When something happened, by the clock of the runtime and by one that counts suspension.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Moment {
    pub(crate) at: Instant,
    awake: Duration,
}

/// Repeats that a node may make at once at one service, over what its fresh requests have earned.
/// What all nodes make together is bounded by their fresh requests and by this for each node, also
/// for one that has just started anew; no node needs to know how many others there are.
const BURST: u32 = 2;
/// Bytes a second that a node may send to another region: as many as it likes. A site doesn't say how
/// wide the link is, and a budget that is too small keeps requests from the only server that is left
/// for them; what crosses is bounded by its price in the choice of servers.
const LINK: u64 = 1 << 40;

/// The limits that bound the decisions of a node.
fn limits(node: &Node) -> policy::Limits {
    let retry_percent = (node.promises.repeats * 100.0).floor() as u32;
    policy::Limits { retry_percent, retry_burst: BURST, link_bytes: LINK }
}

/// Shared state of one node.
pub(crate) struct State<S: Site> {
    node: RefCell<Rc<Node>>,
    /// Mechanisms that this node leaves out, as its settings said at its start.
    pub(crate) without: Without,
    pub(crate) clock: clock::Runtime,
    pub(crate) site: Dialects<S>,
    pub(crate) turns: Rc<Turns>,
    /// Requests that servers crashed under.
    pub(crate) crashes: Rc<Crashes>,
    pub(crate) names: RefCell<Names>,
    pub(crate) book: RefCell<Option<Rc<Book>>>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) roster: RefCell<Roster>,
    /// The newest revision can't be used, so what is held isn't the newest.
    pub(crate) unusable: Cell<bool>,
    /// Reads of the store that failed since one succeeded.
    pub(crate) failures: Cell<u32>,
    /// The last answer came from a peer.
    pub(crate) by_peer: Cell<bool>,
    /// A peer has lost the store, and nobody answered since.
    pub(crate) seeds_lost: Cell<bool>,
    /// Settings and servers were read once.
    pub(crate) loaded: Cell<bool>,
    pub(crate) region: ids::Region,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) draining: Cell<bool>,
    /// What the store holds, as far as known.
    pub(crate) replica: RefCell<Replica>,
    /// The store forgot its history, so all has to be read anew.
    pub(crate) forgotten: Cell<bool>,
    /// Something was learned that peers wait for.
    pub(crate) told: Notify,
    pub(crate) peers: awc::Client,
    /// Nodes that asked this one for what is published.
    pub(crate) callers: Delegates,
    /// Nodes of the fleet, as far as known.
    pub(crate) fleet_nodes: Cell<u32>,
    /// Work that other nodes told this one of.
    pub(crate) received: WorkReports,
    /// Work that other seeds heard of.
    pub(crate) seeds_received: WorkReports,
    /// What nodes report to each other of engines.
    pub(crate) gossip: Gossip,
    pub(crate) crossing: Crossing,
    /// Rate limits that servers have named.
    pub(crate) limits: Limits,
    /// Limits of the callers' listener.
    pub(crate) intake: watch::Sender<listen::Limits>,
    /// Bytes of bodies that are held.
    pub(crate) bytes: Cell<usize>,
    held: RefCell<Slab<String>>,
    ended: Notify,
}

impl<S: Site> State<S> {
    pub(crate) fn new(node: Node, site: Dialects<S>) -> Rc<Self> {
        let clock = clock::Runtime::new();
        let seed = xxhash_rust::xxh3::xxh3_64(node.name.as_bytes());
        let mut scheduler = Scheduler::with_seed(seed)
            .with_disabled(Mechanism::DeadlineFit)
            .with_disabled(Mechanism::EarlyRefusal)
            .with_disabled(Mechanism::Preemption);
        scheduler.set_limits(limits(&node));
        let without = node.left_out();
        for mechanism in &without.decisions {
            scheduler = scheduler.with_disabled(*mechanism);
        }
        let mut names = Names::default();
        let region = names.region(node.region());
        let intake = listen::Limits {
            connections: (node.room.descriptors / 2) as usize,
            ..listen::Limits::default()
        };
        let gossip = Gossip::new(rand::random(), node.room.link_bytes());
        Rc::new(State {
            freshness: RefCell::new(Freshness::new(node.proof())),
            node: RefCell::new(Rc::new(node)),
            without,
            clock,
            site,
            turns: Turns::new(scheduler, clock),
            crashes: Crashes::new(seed, clock),
            names: RefCell::new(names),
            book: RefCell::default(),
            roster: RefCell::default(),
            unusable: Cell::new(false),
            failures: Cell::new(0),
            by_peer: Cell::new(false),
            seeds_lost: Cell::new(false),
            loaded: Cell::new(false),
            region,
            pool: Pool::new(Kept { most: KEPT, idle: IDLE }),
            metrics: Metrics::new(),
            draining: Cell::new(false),
            replica: RefCell::default(),
            forgotten: Cell::new(false),
            told: Notify::new(),
            peers: updates::peer_client(),
            callers: Delegates::default(),
            fleet_nodes: Cell::new(1),
            received: WorkReports::default(),
            seeds_received: WorkReports::default(),
            gossip,
            crossing: Crossing::new(clock.now()),
            limits: Limits::default(),
            intake: watch::channel(intake).0,
            bytes: Cell::new(0),
            held: RefCell::default(),
            ended: Notify::new(),
        })
    }

    /// The node's own settings.
    pub(crate) fn node(&self) -> Rc<Node> {
        self.node.borrow().clone()
    }

    /// Puts the node's own settings, read again, in force; where it listens stays as it is.
    pub(crate) fn reload(&self, node: Node) {
        self.freshness.borrow_mut().set_bound(node.proof());
        *self.node.borrow_mut() = Rc::new(node);
        let all = self.roster.borrow().iter().map(|entry| entry.name.clone()).collect();
        self.changed(all);
    }

    /// Whom this node asks for what is published.
    pub(crate) fn sources(&self) -> Sources {
        let node = self.node();
        let seeds = if self.without.has(Own::Seeds) { &node.seeds[..] } else { &[] };
        Sources::new(&node.name, node.peers, seeds, self.clock.now())
    }

    /// Whether this node is a seed.
    pub(crate) fn is_seed(&self) -> bool {
        let node = self.node();
        node.seeds.contains(&node.peers)
    }

    /// The seeds, in the order in which this node asks them.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let node = self.node();
        crate::source::seeds_by_preference(&node.name, node.peers, &node.seeds)
    }

    /// The other seeds, if this node is one.
    pub(crate) fn exchanged(&self) -> Vec<SocketAddr> {
        let node = self.node();
        let seed = self.is_seed();
        let others = node.seeds.iter().filter(|other| seed && **other != node.peers);
        others.copied().collect()
    }

    /// Work of this node at engines of late.
    pub(crate) fn own_work(&self) -> Work {
        let [strict, steady, bulk] = self.turns.scheduler.borrow().recent_engine_seconds();
        let millis = |seconds: f64| (seconds * 1_000.0) as u32;
        let kib_per_s = self.crossing.kib_per_s(self.clock.now());
        let (strict_ms, steady_ms, bulk_ms) = (millis(strict), millis(steady), millis(bulk));
        Work { nodes: 1, strict_ms, steady_ms, bulk_ms, kib_per_s }
    }

    /// Work of all nodes that this one heard of.
    pub(crate) fn fleet_work(&self) -> Work {
        let now = self.clock.now();
        self.own_work().plus(self.received.sum(now)).plus(self.seeds_received.sum(now))
    }

    /// Work of all nodes, as it is known where this node asks.
    pub(crate) fn set_fleet(&self, work: Work) {
        self.fleet_nodes.set(work.nodes.max(1));
        let bounded = self.without.has(Own::Crossing);
        let crosses = !bounded || self.crossing.update_allowed(work.kib_per_s);
        self.turns.scheduler.borrow_mut().set_cross_region(crosses);
        if work.nodes > 1 {
            let groups = [work.strict_ms, work.steady_ms, work.bulk_ms];
            let seconds = groups.map(|millis| f64::from(millis) / 1_000.0);
            self.turns.scheduler.borrow_mut().set_fleet_engine_seconds(seconds, self.clock.now());
        }
    }

    /// Whether callers had better come here: it knows what is in force, and that it is the newest.
    ///
    /// A node that the store turns away knows enough for a few seconds more. It says at once that it
    /// isn't ready, so that the balancer has moved its callers to others by the time at which it has
    /// to refuse them; where the store is away for all nodes, the balancer goes on using all.
    pub(crate) fn ready(&self) -> bool {
        let known = self.loaded.get() && self.book.borrow().is_some();
        let lost = self.failures.get() > 0 || !self.fresh();
        known && !lost && !self.draining.get()
    }

    /// Whether what is held may be believed to be the newest.
    pub(crate) fn fresh(&self) -> bool {
        self.freshness.borrow().holds(self.clock.awake())
    }

    /// Age of the proof that what is held is the newest, in ms.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        let age = self.freshness.borrow().age(self.clock.awake())?;
        Some(age.as_millis() as u64)
    }

    pub(crate) fn moment(&self) -> Moment {
        Moment { at: self.clock.now(), awake: self.clock.awake() }
    }

    /// Time since a moment, that of a suspension included.
    pub(crate) fn since(&self, moment: Moment) -> Duration {
        self.clock.awake().saturating_sub(moment.awake)
    }

    /// Requests that were received and haven't been answered to the end.
    pub(crate) fn held(&self) -> usize {
        self.held.borrow().len()
    }

    /// Their names.
    pub(crate) fn held_ids(&self) -> Vec<String> {
        self.held.borrow().iter().map(|(_, id)| id.clone()).collect()
    }

    /// Ends once no request is held.
    pub(crate) async fn idle(&self) {
        while self.held() > 0 {
            self.ended.notified().await;
        }
    }

    /// Counts a request as held for as long as the token lives.
    pub(crate) fn hold(self: &Rc<Self>, id: &str) -> Held<S> {
        let key = self.held.borrow_mut().insert(id.to_string());
        Held { state: self.clone(), key, bytes: 0 }
    }

    /// Puts a revision in force; one that isn't newer changes nothing.
    pub(crate) fn accept(&self, book: Book) {
        let last = self.book.borrow().as_ref().map(|last| last.revision);
        if last.is_some_and(|last| last >= book.revision) {
            return;
        }
        self.unusable.set(false);
        self.names.borrow_mut().apply(&mut self.turns.scheduler.borrow_mut(), &book);
        self.intake.send_modify(|limits| {
            limits.head_time = book.intake.head_time;
            // Callers use connections that were idle for nearly as long as this allows.
            limits.keep_alive = book.intake.idle;
        });
        log::info!(
            revision = book.revision, last = last, routes = book.routes().count();
            "settings in force"
        );
        self.metrics.settings.event("accepted");
        self.metrics.settings.revision(book.revision);
        *self.book.borrow_mut() = Some(Rc::new(book));
        self.turns.pump();
    }

    /// Tells the decisions of servers that changed.
    pub(crate) fn changed(&self, servers: Vec<String>) {
        if servers.is_empty() {
            return;
        }
        let roster = self.roster.borrow();
        let mut names = self.names.borrow_mut();
        let mut scheduler = self.turns.scheduler.borrow_mut();
        for name in servers {
            match roster.get(&name) {
                Some(entry) => {
                    log::info!(
                        server = name.as_str(), service = entry.service.as_str(),
                        address = entry.address.as_str(), leaving = entry.leaving;
                        "server listed"
                    );
                    names.set_server(&mut scheduler, entry, &self.node().domains);
                }
                None => {
                    log::info!(server = name.as_str(); "server gone");
                    names.remove_server(&mut scheduler, &name);
                    self.limits.throttle.borrow_mut().forget(wire::key(&name));
                }
            }
        }
        drop((roster, names, scheduler));
        limits::apply_to_scheduler(self);
        self.turns.pump();
    }
}

/// Counts one request as held.
pub(crate) struct Held<S: Site> {
    state: Rc<State<S>>,
    key: usize,
    bytes: usize,
}

impl<S: Site> Held<S> {
    /// Counts the bytes of its body as held too.
    pub(crate) fn weigh(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.state.bytes.set(self.state.bytes.get() + bytes);
    }
}

impl<S: Site> Drop for Held<S> {
    fn drop(&mut self) {
        self.state.held.borrow_mut().remove(self.key);
        self.state.bytes.set(self.state.bytes.get() - self.bytes);
        self.state.ended.notify_waiters();
    }
}
