//! State shared by the tasks of a node, and how new settings and servers are applied to it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use attribution::Outcome;
use buffers::Budget;
use catalog::{Membership, Settings};
use clock::Clock;
use driver::{Crashes, Driver};
use http_client::{Pool, PoolLimits};
use policy::{Interval, Mechanism, Reach, Scheduler};
use replica::Replica;
use slab::Slab;
use telemetry::Metrics;
use tokio::sync::{Notify, watch};
use upstream::{Delegates, Sources};
use wire::updates::Work;

use crate::adapter::{Adapter, Protocols};
use crate::brittle;
use crate::cold;
use crate::contact::Contact;
use crate::crossing::Crossing;
use crate::effects;
use crate::evacuation::Evacuations;
use crate::events::Numberings;
use crate::gossip::Gossip;
use crate::limits::{self, Limits};
use crate::mechanism::{Mechanism as Own, Switches};
use crate::node::Node;
use crate::peers::Peers;
use crate::registry::Registry;
use crate::resumption::Resumption;
use crate::standing;
use crate::stop::{Stop, Workload};
use crate::survival::Survival;
use crate::updates::{self, WorkReports};

/// Idle connections kept to one server. Servers accept a limited number from all nodes together.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Time that an idle connection is kept if the server doesn't state its own limit.
const IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// A point in time, by the runtime's clock and by one that also counts while the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timestamp {
    pub(crate) at: Instant,
    pub(crate) boot_time: Duration,
}

/// Retries that a node may send at once to one service, beyond those that its first attempts have
/// earned, if its settings don't state the slack of all nodes together.
const RETRY_BURST: u32 = 2;
/// Bytes per second that a node may send to another region: practically unlimited. The platform doesn't
/// state the link's bandwidth, and a budget that is too small would keep requests from the only
/// server left for them. Traffic between regions is bounded by its cost in the choice of servers.
const REGION_LINK_BYTES: u64 = 1 << 40;

/// The scheduler's limits for a node.
fn scheduler_limits(node: &Node) -> policy::Limits {
    let retry_percent = (node.promises.repeats * 100.0).floor() as u32;
    policy::Limits { retry_percent, retry_burst: RETRY_BURST, link_bytes: REGION_LINK_BYTES }
}

/// Units on the wire of a second between two tokens.
const INTERVAL_UNITS: f64 = 10_000.0;

/// The number of measured intervals, and their sum, as they are sent.
fn interval_to_wire(interval: Interval) -> (u32, u32) {
    let sum = interval.seconds * f64::from(interval.samples) * INTERVAL_UNITS;
    (interval.samples, sum.round() as u32)
}

/// The mean over all nodes.
fn interval_from_wire(work: Work) -> Interval {
    let samples = f64::from(work.intervals.max(1));
    let seconds = f64::from(work.interval_sum) / samples / INTERVAL_UNITS;
    Interval { seconds, samples: work.intervals }
}

/// Time that tasks may wait for the processor before new connections are closed unread.
const MAX_TASK_DELAY: Duration = Duration::from_millis(80);

/// Shared state of one node.
pub(crate) struct State<A: Adapter> {
    node: RefCell<Rc<Node>>,
    /// Which mechanisms are on, by the node's settings when it started.
    pub(crate) switches: Switches,
    pub(crate) clock: clock::Runtime,
    pub(crate) adapter: Protocols<A>,
    pub(crate) driver: Rc<Driver>,
    /// Requests during which servers crashed.
    pub(crate) crashes: Rc<Crashes>,
    pub(crate) registry: RefCell<Registry>,
    /// Services whose servers are brittle.
    pub(crate) brittle: brittle::Services,
    /// Whether this node reaches the servers of each service.
    pub(crate) reach: RefCell<Reach>,
    /// The settings in force; none before the first were read.
    pub(crate) settings: RefCell<Option<Rc<Settings>>>,
    pub(crate) membership: RefCell<Membership>,
    /// The newest revision of the settings is invalid, so an older one is in force.
    pub(crate) newest_invalid: Cell<bool>,
    pub(crate) region: ids::Region,
    pub(crate) pool: Pool,
    pub(crate) metrics: Rc<Metrics>,
    /// Whether servers still run whose connections have ended.
    pub(crate) survival: Rc<Survival>,
    pub(crate) numberings: Numberings,
    pub(crate) draining: Cell<bool>,
    pub(crate) stop: Stop,
    /// Copy of the store's items.
    pub(crate) replica: RefCell<Replica>,
    pub(crate) contact: Contact,
    pub(crate) standing: standing::Exchange,
    pub(crate) peer_client: awc::Client,
    /// Peers to which requests can be passed on.
    pub(crate) peers: Peers,
    /// The seed that answers this node's reports in the shortest time; none before it is known.
    pub(crate) nearest_seed: Cell<Option<SocketAddr>>,
    /// Candidates for this seed's delegate, and whether this node is the delegate of another seed.
    pub(crate) delegates: Delegates,
    /// Number of nodes in the fleet, as last reported; at least 1.
    pub(crate) fleet_nodes: Cell<u32>,
    /// Work that other nodes reported to this one.
    pub(crate) work_reports: WorkReports,
    /// Work that the other seeds reported for themselves and their nodes.
    pub(crate) seed_work_reports: WorkReports,
    /// Exchange of engine loads between nodes.
    pub(crate) gossip: Gossip,
    /// The versions that began streams.
    pub(crate) resumption: Resumption,
    pub(crate) crossing: Crossing,
    /// Rate limits that servers have stated.
    pub(crate) rate_limits: Limits,
    /// Permits for requests to cold servers.
    pub(crate) cold_permits: cold::Permits,
    /// Failure domains that operators have evacuated.
    pub(crate) evacuations: Evacuations,
    /// Limits of the callers' listener.
    pub(crate) listener_limits: watch::Sender<listen::Limits>,
    /// What servers, peers and callers have sent that is buffered until it is whole or written.
    pub(crate) buffers: Rc<Budget>,
    /// Bytes of the bodies of open requests.
    pub(crate) body_bytes: Cell<usize>,
    open_requests: RefCell<Slab<Open>>,
    /// Notified when an open request ends.
    request_ended: Notify,
}

impl<A: Adapter> State<A> {
    pub(crate) fn new(node: Node, adapter: Protocols<A>) -> Rc<Self> {
        let clock = clock::Runtime::new();
        let seed = xxhash_rust::xxh3::xxh3_64(node.name.as_bytes());
        let mut scheduler = Scheduler::with_seed(seed)
            .with_disabled(Mechanism::DeadlineFit)
            .with_disabled(Mechanism::EarlyRefusal)
            .with_disabled(Mechanism::Preemption);
        scheduler.set_limits(scheduler_limits(&node));
        scheduler.set_drain_time(node.drain_time());
        let switches = node.switches();
        if !node.fair_shares {
            scheduler = scheduler.with_disabled(Mechanism::Overload);
        }
        for mechanism in &switches.policy_off {
            scheduler = scheduler.with_disabled(*mechanism);
        }
        let mut registry = Registry::default();
        let region = registry.region_key(node.region());
        registry.issues_permits = switches.is_on(Own::LoadGossip);
        let listener_limits = listen::Limits {
            max_connections: (node.room.descriptors / 2) as usize,
            max_task_delay: switches.is_on(Own::Shedding).then_some(MAX_TASK_DELAY),
            ..listen::Limits::default()
        };
        let gossip = Gossip::new(rand::random(), node.room.link_bytes_per_second());
        let max_proof_age = node.max_proof_age();
        let buffers = Budget::new(node.room.buffer_bytes());
        let pool =
            Pool::new(PoolLimits { max_idle: MAX_IDLE_CONNECTIONS, idle_timeout: IDLE_TIMEOUT });
        let metrics = Rc::new(Metrics::new());
        let (servers, own) = (adapter.servers.clone(), metrics.clone());
        let survival = Survival::new(servers, pool.clone(), own, buffers.clone());
        let state = Rc::new(State {
            node: RefCell::new(Rc::new(node)),
            switches,
            clock,
            adapter,
            driver: Driver::new(scheduler, clock),
            crashes: Crashes::new(seed, clock),
            registry: RefCell::new(registry),
            reach: RefCell::default(),
            brittle: brittle::Services::default(),
            settings: RefCell::default(),
            membership: RefCell::default(),
            newest_invalid: Cell::new(false),
            region,
            pool,
            metrics,
            survival,
            numberings: Numberings::default(),
            draining: Cell::new(false),
            stop: Stop::default(),
            replica: RefCell::new(Replica::new(max_proof_age)),
            contact: Contact::new(clock.now()),
            standing: standing::Exchange::default(),
            peer_client: updates::peer_client(),
            peers: Peers::default(),
            nearest_seed: Cell::new(None),
            delegates: Delegates::default(),
            fleet_nodes: Cell::new(1),
            work_reports: WorkReports::default(),
            seed_work_reports: WorkReports::default(),
            gossip,
            resumption: Resumption::new(clock.now()),
            crossing: Crossing::new(clock.now()),
            rate_limits: Limits::default(),
            cold_permits: cold::Permits::new(Timestamp {
                at: clock.now(),
                boot_time: clock.boot_time(),
            }),
            evacuations: Evacuations::default(),
            listener_limits: watch::channel(listener_limits).0,
            buffers,
            body_bytes: Cell::new(0),
            open_requests: RefCell::default(),
            request_ended: Notify::new(),
        });
        state.apply_fleet_size();
        state
    }

    /// The node's own settings.
    pub(crate) fn node(&self) -> Rc<Node> {
        self.node.borrow().clone()
    }

    /// Applies the node's own settings after they were read again, except for its addresses.
    pub(crate) fn reload(&self, node: Node) {
        self.replica.borrow_mut().freshness_mut().set_max_age(node.max_proof_age());
        self.driver.scheduler.borrow_mut().set_drain_time(node.drain_time());
        self.buffers.set_capacity(node.room.buffer_bytes());
        *self.node.borrow_mut() = Rc::new(node);
        self.apply_fleet_size();
        let all = self.membership.borrow().iter().map(|entry| entry.name.clone()).collect();
        effects::register_servers(self, all);
        self.driver.run_actions();
    }

    /// The sources that this node asks for settings and servers.
    pub(crate) fn sources(&self) -> Sources {
        let node = self.node();
        let seeds = if self.switches.is_on(Own::Seeds) { &node.seeds[..] } else { &[] };
        Sources::new(&node.name, node.peers, seeds, self.clock.now())
    }

    /// Whether this node is a seed.
    pub(crate) fn is_seed(&self) -> bool {
        let node = self.node();
        node.seeds.contains(&node.peers)
    }

    /// Whether a failure domain is in this node's region.
    pub(crate) fn is_in_own_region(&self, domain: &str) -> bool {
        let node = self.node();
        node.domains.get(domain).is_some_and(|region| *region == node.region())
    }

    /// The seeds, in the order in which this node asks them.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let node = self.node();
        upstream::seeds_by_preference(&node.name, node.peers, &node.seeds)
    }

    /// The other seeds if this node is a seed; otherwise none.
    pub(crate) fn other_seeds(&self) -> Vec<SocketAddr> {
        let node = self.node();
        let seed = self.is_seed();
        let others = node.seeds.iter().filter(|other| seed && **other != node.peers);
        others.copied().collect()
    }

    /// Recent work of this node at engines.
    pub(crate) fn own_work(&self) -> Work {
        let now = self.clock.now();
        let [strict, steady, bulk] = self.driver.scheduler.borrow().recent_engine_seconds(now);
        let millis = |seconds: f64| (seconds * 1_000.0) as u32;
        let kib_per_s = self.crossing.kib_per_s(now);
        let (strict_ms, steady_ms, bulk_ms) = (millis(strict), millis(steady), millis(bulk));
        let interval = self.driver.scheduler.borrow().prefilling_interval(now);
        let (intervals, interval_sum) = interval_to_wire(interval);
        Work { nodes: 1, strict_ms, steady_ms, bulk_ms, kib_per_s, intervals, interval_sum }
    }

    /// Work of this node and of all nodes whose reports it has received.
    pub(crate) fn fleet_work(&self) -> Work {
        let now = self.clock.now();
        self.own_work().plus(self.work_reports.sum(now)).plus(self.seed_work_reports.sum(now))
    }

    /// Applies the size of the fleet: this node's part of the retries that the nodes may make at once, if the node's
    /// settings state them, and the time over which nodes return to a server.
    fn apply_fleet_size(&self) {
        let nodes = limits::assumed_nodes(self);
        self.driver.scheduler.borrow_mut().set_fleet_nodes(nodes);
        if let Some(slack) = self.node().promises.retry_slack {
            let capacity = policy::retry_capacity(slack, nodes);
            self.driver.scheduler.borrow_mut().set_retry_capacity(capacity);
        }
    }

    /// Applies the work of all nodes, as summed by this node or the peer that it asks.
    pub(crate) fn set_fleet_work(&self, work: Work) {
        let nodes = work.nodes.max(1);
        if self.fleet_nodes.replace(nodes) != nodes {
            self.apply_fleet_size();
        }
        let bounded = self.switches.is_on(Own::RegionalAffinity);
        let crosses = !bounded || self.crossing.update_allowed(work.kib_per_s);
        self.driver.scheduler.borrow_mut().set_cross_region(crosses);
        let interval = interval_from_wire(work);
        let applied =
            self.driver.scheduler.borrow_mut().set_prefilling_interval(interval, self.clock.now());
        if let Some(seconds) = applied {
            log::info!(
                interval_ms = (seconds * 1_000.0).round(), samples = interval.samples;
                "time between tokens beside long prompts"
            );
        }
        if work.nodes > 1 {
            let groups = [work.strict_ms, work.steady_ms, work.bulk_ms];
            let seconds = groups.map(|millis| f64::from(millis) / 1_000.0);
            self.driver.scheduler.borrow_mut().set_fleet_engine_seconds(seconds, self.clock.now());
        }
    }

    /// Whether callers should use this node: it has settings, no read has failed since they were proved
    /// to be the newest, and it isn't draining.
    ///
    /// A node that the store rejects can serve for a few seconds more on its last proof. It reports at
    /// once that it isn't ready, so that the load balancer has moved its callers to other nodes before
    /// it must refuse them. If the store is down for all nodes, the balancer keeps using all of them.
    pub(crate) fn ready(&self) -> bool {
        let known = self.replica.borrow().is_loaded() && self.settings.borrow().is_some();
        let lost = self.contact.failures.get() > 0 || !self.is_fresh();
        known && !lost && !self.draining.get()
    }

    /// Whether the proof that the settings are the newest is young enough to accept keys.
    pub(crate) fn is_fresh(&self) -> bool {
        self.replica.borrow().freshness().is_fresh(self.clock.boot_time())
    }

    /// Age of the proof that the settings are the newest, in ms; none without a proof.
    pub(crate) fn proof_age_ms(&self) -> Option<u64> {
        let age = self.replica.borrow().freshness().age(self.clock.boot_time())?;
        Some(age.as_millis() as u64)
    }

    /// The current time.
    pub(crate) fn timestamp(&self) -> Timestamp {
        Timestamp { at: self.clock.now(), boot_time: self.clock.boot_time() }
    }

    /// Time elapsed since a timestamp, including any suspension of the VM.
    pub(crate) fn elapsed_since(&self, timestamp: Timestamp) -> Duration {
        self.clock.boot_time().saturating_sub(timestamp.boot_time)
    }

    /// Number of requests that were received and not yet answered to the end.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.borrow().len()
    }

    /// Ids of the open requests.
    pub(crate) fn open_request_ids(&self) -> Vec<String> {
        self.open_requests.borrow().iter().map(|(_, open)| open.id.clone()).collect()
    }

    /// For how long the other requests of a workload have been open that arrived before one that arrived at `arrived`.
    pub(crate) fn open_since(&self, workload: Workload, arrived: Timestamp) -> Vec<Duration> {
        let open = self.open_requests.borrow();
        let earlier =
            open.iter().filter_map(|(_, open)| open.sent.filter(|(of, _)| *of == workload));
        let earlier = earlier.filter(|(_, since)| since.boot_time < arrived.boot_time);
        earlier.map(|(_, since)| self.elapsed_since(since)).collect()
    }

    /// Returns once no request is open.
    pub(crate) async fn wait_until_idle(&self) {
        while self.open_requests() > 0 {
            self.request_ended.notified().await;
        }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn open_request(self: &Rc<Self>, id: &str) -> OpenRequest<A> {
        let open = Open { id: id.to_string(), sent: None };
        let key = self.open_requests.borrow_mut().insert(open);
        OpenRequest { state: self.clone(), key, bytes: 0 }
    }

    /// Keeps the connection of an answer that has ended for further requests to its server, for `keep_alive` if the
    /// server stated that.
    pub(crate) fn keep_connection(
        &self,
        server: &catalog::Entry,
        body: http_client::Body,
        outcome: Outcome,
        keep_alive: Option<Duration>,
    ) {
        let expires = self.pool.put(&server.address, body, outcome, keep_alive);
        let key = self.registry.borrow().server_by_wire_key(wire::key(&server.name));
        if let (Some(key), Some(expires)) = (key, expires) {
            let now = self.clock.now();
            let mut scheduler = self.driver.scheduler.borrow_mut();
            scheduler.record_idle_connection(key, expires.into_std(), now);
        }
    }

    /// Whether a failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.contains(domain)
    }
}

/// An open request.
struct Open {
    id: String,
    /// Its workload and when it arrived, once it was sent to a server.
    sent: Option<(Workload, Timestamp)>,
}

/// Guard that counts one request as open while it lives.
pub(crate) struct OpenRequest<A: Adapter> {
    state: Rc<State<A>>,
    key: usize,
    bytes: usize,
}

impl<A: Adapter> OpenRequest<A> {
    /// Records that it was sent to a server.
    pub(crate) fn mark_sent(&self, workload: Workload, arrived: Timestamp) {
        if let Some(open) = self.state.open_requests.borrow_mut().get_mut(self.key) {
            open.sent = Some((workload, arrived));
        }
    }

    /// Adds bytes of its body to [`State::body_bytes`] until it is dropped.
    pub(crate) fn add_body_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.state.body_bytes.set(self.state.body_bytes.get() + bytes);
    }
}

impl<A: Adapter> Drop for OpenRequest<A> {
    fn drop(&mut self) {
        self.state.open_requests.borrow_mut().remove(self.key);
        self.state.body_bytes.set(self.state.body_bytes.get() - self.bytes);
        self.state.request_ended.notify_waiters();
    }
}
