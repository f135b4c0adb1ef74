//! Holds the state that the tasks of a router share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use clock::Clock;
use driver::{Crashes, Driver};
use policy::Scheduler;
use settings::Effective;
use settings::node::Node;
use slab::Slab;
use stopping::{Durations, Pending, Sample, Verdict};
use telemetry::Metrics;
use tokio::sync::{Notify, watch};

use crate::revisions::Revisions;
use crate::scheduler;

/// Connect and idle timeouts of the engine client until there are settings. Connecting normally takes
/// about a millisecond.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes per second for gossip frames until there are settings.
const DEFAULT_FRAME_RATE: u32 = 1_200;

/// Seed of the scheduler's random choices. It differs between nodes, so that they don't all choose the
/// same server at the same time, and is the same in each run of a node, so that a run can be repeated.
fn scheduler_seed(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Shared state of one router.
pub(crate) struct State {
    pub(crate) node: Node,
    pub(crate) clock: clock::Runtime,
    /// Start time of the process in milliseconds since 1970; tells its peers one start from another.
    pub(crate) incarnation: u64,
    pub(crate) settings: RefCell<Option<Rc<Effective>>>,
    /// Why the newest revision was rejected, until a valid one is in force.
    pub(crate) refusal: RefCell<Option<String>>,
    pub(crate) revisions: Revisions,
    pub(crate) driver: Rc<Driver>,
    /// Requests during which servers crashed.
    pub(crate) crashes: Rc<Crashes>,
    pub(crate) view: RefCell<fleet::View>,
    pub(crate) exchange: RefCell<fleet::exchange::Exchange>,
    /// What this node reported of itself over the last seconds.
    pub(crate) history: RefCell<fleet::share::History<fleet::exchange::LocalState>>,
    pub(crate) cells: RefCell<crate::cells::Cells>,
    /// Servers, by the key of their name, that get no new requests until they have the version and
    /// adapters that the settings name.
    pub(crate) unroutable: RefCell<std::collections::BTreeSet<u32>>,
    /// Address of this node's listener for peers.
    pub(crate) peer_address: RefCell<String>,
    /// Addresses of backend servers that the list of VMs marks as leaving.
    pub(crate) leaving_addresses: RefCell<BTreeSet<String>>,
    /// This node's records as the owner of idempotency keys.
    pub(crate) key_owner: RefCell<idempotency::Owner>,
    pub(crate) engine_client: RefCell<engine::Client>,
    pub(crate) peer_client: awc::Client,
    pub(crate) metrics: Metrics,
    pub(crate) draining: Cell<bool>,
    /// The grace period is about to end, and servers are no longer waited for.
    responding: watch::Sender<bool>,
    /// Until when servers are waited for; none while the node isn't stopping.
    pub(crate) waiting_until: Cell<Option<Instant>>,
    /// How long requests took, by class and model.
    durations: RefCell<Durations<(ids::Class, ids::Model)>>,
    /// Limits of the listener for callers.
    pub(crate) listener_limits: watch::Sender<listen::Limits>,
    open_requests: RefCell<Slab<ids::Request>>,
    request_ended: Notify,
}

impl State {
    pub(crate) fn new(node: Node) -> Rc<Self> {
        let clock = clock::Runtime::new();
        let since = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let seed = scheduler_seed(&node.name);
        let scheduler = Scheduler::with_seed(seed);
        let key_owner = idempotency::Owner::new(idempotency::Member {
            name: node.name.clone(),
            address: String::new(),
        });
        Rc::new(State {
            node,
            clock,
            incarnation: since.as_millis() as u64,
            settings: RefCell::default(),
            refusal: RefCell::default(),
            revisions: Revisions::new(),
            driver: Driver::new(scheduler, clock),
            crashes: Crashes::new(seed, clock),
            view: RefCell::new(fleet::View::new()),
            exchange: RefCell::new(fleet::exchange::Exchange::new(DEFAULT_FRAME_RATE, clock.now())),
            history: RefCell::default(),
            cells: RefCell::default(),
            unroutable: RefCell::default(),
            peer_address: RefCell::default(),
            leaving_addresses: RefCell::default(),
            key_owner: RefCell::new(key_owner),
            engine_client: RefCell::new(engine::Client::new(
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_IDLE_TIMEOUT,
            )),
            peer_client: awc::Client::default(),
            metrics: Metrics::new(),
            draining: Cell::new(false),
            responding: watch::channel(false).0,
            waiting_until: Cell::default(),
            durations: RefCell::default(),
            listener_limits: watch::channel(listen::Limits::default()).0,
            open_requests: RefCell::default(),
            request_ended: Notify::new(),
        })
    }

    /// Whether the node can serve callers: it has settings that aren't in doubt after a pause of the
    /// process, and isn't draining.
    pub(crate) fn is_ready(&self) -> bool {
        self.settings.borrow().is_some() && !self.draining.get() && !self.revisions.is_catching_up()
    }

    pub(crate) fn settings(&self) -> Option<Rc<Effective>> {
        self.settings.borrow().clone()
    }

    /// Time of day for idempotency keys. The monotonic clock stops while a VM is suspended, and the time
    /// of day may be set back; the later of the two does neither.
    pub(crate) fn key_time(&self) -> SystemTime {
        self.clock.wall().max(SystemTime::now())
    }

    /// Number of requests that were received and haven't been answered completely.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.borrow().len()
    }

    /// Ids of the open requests.
    pub(crate) fn open_request_ids(&self) -> Vec<ids::Request> {
        self.open_requests.borrow().iter().map(|(_, id)| *id).collect()
    }

    /// Waits until no request is open.
    pub(crate) async fn wait_until_idle(&self) {
        while self.open_requests() > 0 {
            self.request_ended.notified().await;
        }
    }

    /// Whether a request may be sent to a server: the node isn't stopping, or the answer is likely to end before.
    pub(crate) fn accepts(&self, request: &policy::Request) -> bool {
        let Some(until) = self.waiting_until.get() else { return true };
        let now = self.clock.now();
        let room = until.saturating_duration_since(now);
        let repeatable = request.idempotent;
        // A request that must not run twice goes on after its deadline.
        let deadline = request.deadline.saturating_duration_since(now);
        let limit = if repeatable { deadline } else { Duration::MAX };
        let pending = Pending { room, limit, repeatable };
        let workload = (request.class, request.service);
        self.durations.borrow().decide(&workload, pending, []) == Verdict::Accept
    }

    /// Records how long a request took.
    pub(crate) fn record_duration(&self, request: &policy::Request, ended: bool) {
        let sample = Sample { time: self.clock.now() - request.arrived, ended };
        self.durations.borrow_mut().record((request.class, request.service), sample);
    }

    /// Ends all waiting for servers.
    pub(crate) fn end_waiting(&self) {
        self.responding.send_replace(true);
    }

    /// Waits for a future; none if servers are no longer waited for before it is ready.
    pub(crate) async fn until_responding<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut responding = self.responding.subscribe();
        tokio::select! {
            biased;
            output = future => Some(output),
            _ = responding.wait_for(|responding| *responding) => None,
        }
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn open_request(self: &Rc<Self>, id: ids::Request) -> OpenRequest {
        let key = self.open_requests.borrow_mut().insert(id);
        OpenRequest { state: self.clone(), key }
    }

    /// Puts a revision of the settings in force; one that isn't newer changes nothing.
    pub(crate) fn apply_settings(&self, effective: Effective) {
        if !self.revisions.record_in_force(&effective) {
            return;
        }
        let last = self.settings();
        scheduler::apply_settings(
            &mut self.driver.scheduler.borrow_mut(),
            last.as_deref(),
            &effective,
        );
        let leaving = self.leaving_addresses.borrow().clone();
        scheduler::apply_leaving(
            &mut self.driver.scheduler.borrow_mut(),
            &effective,
            &leaving,
            &leaving,
        );
        let limits = &effective.limits;
        let timeouts = |limits: &settings::Limits| (limits.connect, limits.idle_stream);
        if last.is_none_or(|last| timeouts(&last.limits) != timeouts(limits)) {
            *self.engine_client.borrow_mut() =
                engine::Client::new(limits.connect, limits.idle_stream);
        }
        self.listener_limits.send_replace(listener_limits(limits));
        log::info!(revision = effective.revision; "settings in force");
        self.metrics.settings.count_event("accepted");
        self.metrics.settings.set_revision(effective.revision);
        self.metrics.settings.set_conflict(false);
        *self.refusal.borrow_mut() = None;
        *self.settings.borrow_mut() = Some(Rc::new(effective));
        self.driver.run_actions();
    }
}

/// Limits of the listener for callers by these settings.
fn listener_limits(limits: &settings::Limits) -> listen::Limits {
    listen::Limits {
        max_connections: limits.connections,
        head_timeout: limits.head_time,
        write_timeout: limits.slow_reader,
        ..listen::Limits::default()
    }
}

/// A guard that counts one request as open.
pub(crate) struct OpenRequest {
    state: Rc<State>,
    key: usize,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.borrow_mut().remove(self.key);
        self.state.request_ended.notify_waiters();
    }
}
