//! What the tasks of a router share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use clock::Clock;
use driver::{Crashes, Driver};
use policy::Scheduler;
use settings::Effective;
use settings::node::Node;
use slab::Slab;
use telemetry::Metrics;
use tokio::sync::{Notify, watch};

use crate::revisions::Revisions;
use crate::terms;

/// Connecting takes a millisecond on a fresh start; until settings say otherwise.
const CONNECT: Duration = Duration::from_secs(1);
const IDLE: Duration = Duration::from_secs(30);
/// Bytes a second for frames until settings say otherwise.
const CONTROL: u32 = 1_200;

/// Seed of the decisions' random choices: differs between nodes, so that they don't all choose the
/// same server at once, and is the same in each run, so that a run can be repeated.
fn seed(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Shared state of one router.
pub(crate) struct State {
    pub(crate) node: Node,
    pub(crate) clock: clock::Runtime,
    pub(crate) incarnation: u64,
    pub(crate) settings: RefCell<Option<Rc<Effective>>>,
    /// Why the newest revision was refused, until a good one comes.
    pub(crate) refused: RefCell<Option<String>>,
    pub(crate) revisions: Revisions,
    pub(crate) driver: Rc<Driver>,
    /// Requests that servers crashed under.
    pub(crate) crashes: Rc<Crashes>,
    pub(crate) view: RefCell<fleet::View>,
    pub(crate) exchange: RefCell<fleet::exchange::Exchange>,
    /// What this node told of itself over the last seconds.
    pub(crate) past: RefCell<fleet::share::History<fleet::exchange::LocalState>>,
    pub(crate) cells: RefCell<crate::cells::Cells>,
    /// Servers that get no new work until they show what the settings want.
    pub(crate) unfit: RefCell<std::collections::BTreeSet<u32>>,
    /// Where its peers' listener is.
    pub(crate) address: RefCell<String>,
    /// Addresses of backend servers that the list of VMs has as leaving.
    pub(crate) leaving: RefCell<BTreeSet<String>>,
    /// This node as the home of idempotency keys.
    pub(crate) home: RefCell<idempotency::Owner>,
    pub(crate) engines: RefCell<engine::Client>,
    pub(crate) http: awc::Client,
    pub(crate) metrics: Metrics,
    pub(crate) draining: Cell<bool>,
    /// Limits of the callers' listener.
    pub(crate) limits: watch::Sender<listen::Limits>,
    held: RefCell<Slab<ids::Request>>,
    ended: Notify,
}

impl State {
    pub(crate) fn new(node: Node) -> Rc<Self> {
        let clock = clock::Runtime::new();
        let since = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let seed = seed(&node.name);
        let scheduler = Scheduler::with_seed(seed);
        let home = idempotency::Owner::new(idempotency::Member {
            name: node.name.clone(),
            address: String::new(),
        });
        Rc::new(State {
            node,
            clock,
            incarnation: since.as_millis() as u64,
            settings: RefCell::default(),
            refused: RefCell::default(),
            revisions: Revisions::new(),
            driver: Driver::new(scheduler, clock),
            crashes: Crashes::new(seed, clock),
            view: RefCell::new(fleet::View::new()),
            exchange: RefCell::new(fleet::exchange::Exchange::new(CONTROL, clock.now())),
            past: RefCell::default(),
            cells: RefCell::default(),
            unfit: RefCell::default(),
            address: RefCell::default(),
            leaving: RefCell::default(),
            home: RefCell::new(home),
            engines: RefCell::new(engine::Client::new(CONNECT, IDLE)),
            http: awc::Client::default(),
            metrics: Metrics::new(),
            draining: Cell::new(false),
            limits: watch::channel(listen::Limits::default()).0,
            held: RefCell::default(),
            ended: Notify::new(),
        })
    }

    pub(crate) fn ready(&self) -> bool {
        self.settings.borrow().is_some() && !self.draining.get() && !self.revisions.woken()
    }

    pub(crate) fn settings(&self) -> Option<Rc<Effective>> {
        self.settings.borrow().clone()
    }

    /// Time of day for keys. The monotonic clock stands still while a VM is suspended, and the time
    /// of day may be set back; the later of the two does neither.
    pub(crate) fn wall(&self) -> SystemTime {
        self.clock.wall().max(SystemTime::now())
    }

    /// Requests that were received and haven't been answered to the end.
    pub(crate) fn held(&self) -> usize {
        self.held.borrow().len()
    }

    /// Their ids.
    pub(crate) fn held_ids(&self) -> Vec<ids::Request> {
        self.held.borrow().iter().map(|(_, id)| *id).collect()
    }

    /// Ends once no request is held.
    pub(crate) async fn idle(&self) {
        while self.held() > 0 {
            self.ended.notified().await;
        }
    }

    /// Counts a request as held for as long as the token lives.
    pub(crate) fn hold(self: &Rc<Self>, id: ids::Request) -> Held {
        let key = self.held.borrow_mut().insert(id);
        Held { state: self.clone(), key }
    }

    /// Puts a revision in force; one that isn't newer changes nothing.
    pub(crate) fn accept(&self, effective: Effective) {
        if !self.revisions.hold(&effective) {
            return;
        }
        let last = self.settings();
        terms::apply(&mut self.driver.scheduler.borrow_mut(), last.as_deref(), &effective);
        let leaving = self.leaving.borrow().clone();
        terms::leave(&mut self.driver.scheduler.borrow_mut(), &effective, &leaving, &leaving);
        let limits = &effective.limits;
        let waits = |limits: &settings::Limits| (limits.connect, limits.idle_stream);
        if last.is_none_or(|last| waits(&last.limits) != waits(limits)) {
            *self.engines.borrow_mut() = engine::Client::new(limits.connect, limits.idle_stream);
        }
        self.limits.send_replace(intake(limits));
        log::info!(revision = effective.revision; "settings in force");
        self.metrics.settings.event("accepted");
        self.metrics.settings.revision(effective.revision);
        self.metrics.settings.conflict(false);
        *self.refused.borrow_mut() = None;
        *self.settings.borrow_mut() = Some(Rc::new(effective));
        self.driver.run_actions();
    }
}

/// Limits of the callers' listener under these settings.
fn intake(limits: &settings::Limits) -> listen::Limits {
    listen::Limits {
        max_connections: limits.connections,
        head_timeout: limits.head_time,
        write_timeout: limits.slow_reader,
        ..listen::Limits::default()
    }
}

/// Counts one request as held.
pub(crate) struct Held {
    state: Rc<State>,
    key: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.state.held.borrow_mut().remove(self.key);
        self.state.ended.notify_waiters();
    }
}
