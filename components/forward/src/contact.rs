//! Tracks this node's contact with the store, by itself or by way of peers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::Clock;
use tokio::sync::Notify;
use upstream::{Absence, Path, Renewal, Source};

use crate::adapter::{Adapter, StoreError};
use crate::mechanism::Mechanism;
use crate::state::State;

/// Shortest time between two reads of everything, if the store has no history after the first.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Contact with the store.
pub(crate) struct Contact {
    /// Consecutive failed reads of the store or of a peer in its place.
    pub(crate) failures: Cell<u32>,
    /// The last answer came from a peer and not from the store.
    pub(crate) from_peer: Cell<bool>,
    /// The nodes between the store and the last answer.
    pub(crate) path: RefCell<Path>,
    /// When this node reads the store itself although it asks peers.
    pub(crate) renewal: Cell<Renewal>,
    /// Notified when the store is to be tried although peers answer in its place.
    pub(crate) probe: Rc<Notify>,
    /// The store answered such a read.
    pub(crate) store_answered: Cell<bool>,
    /// A read of the store with more patience is under way.
    pub(crate) reads_patiently: Cell<bool>,
    /// Notified when a seed makes this node its delegate.
    pub(crate) delegated: Notify,
    /// Notified when a node offers this seed, which has nothing, everything that is published.
    pub(crate) offered: Notify,
    /// A peer reported that it can't reach the store, and no source has answered since.
    seeds_lost_store: Cell<bool>,
    /// For how long this node has had no current settings.
    absence: RefCell<Absence>,
    /// When everything was last read from the store.
    pub(crate) listed: Cell<Option<Instant>>,
    /// Notified when the replica, its proof of freshness or the number of failures changes.
    pub(crate) updated: Notify,
}

impl Contact {
    /// That of a node which starts at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Contact {
            absence: RefCell::new(Absence::new(now)),
            failures: Cell::default(),
            from_peer: Cell::default(),
            path: RefCell::new(Path::stated(None)),
            renewal: Cell::new(Renewal::new(rand::random())),
            probe: Rc::default(),
            store_answered: Cell::default(),
            reads_patiently: Cell::default(),
            delegated: Notify::new(),
            offered: Notify::new(),
            seeds_lost_store: Cell::default(),
            listed: Cell::default(),
            updated: Notify::new(),
        }
    }

    /// Records by which path an answer came that is about to be applied.
    pub(crate) fn set_path(&self, path: Path) {
        let before = self.path.replace(path.clone());
        if before != path {
            log::info!(path:% = path, before:% = before; "settings and servers come by another path");
        }
    }

    /// Whether the last answer came from the store itself.
    pub(crate) fn is_direct(&self) -> bool {
        self.failures.get() == 0 && self.path.borrow().is_direct()
    }

    /// Pause before everything is read from the store again because it has lost its history.
    pub(crate) fn pause_before_list(&self, now: Instant) -> Duration {
        let since = self.listed.get().map(|listed| now.saturating_duration_since(listed));
        since.map_or(Duration::ZERO, |since| MIN_LIST_INTERVAL.saturating_sub(since))
    }
}

/// Records whether this node's settings are current, and logs for how long they weren't once they are again.
pub(crate) fn record_absence<A: Adapter>(state: &State<A>) {
    let current = state.settings.borrow().is_some() && state.is_fresh();
    let ended = state.contact.absence.borrow_mut().record(current, state.clock.now());
    let Some((origin, time)) = ended else { return };
    state.metrics.settings.observe_absence(origin.as_str(), time);
    log::info!(
        after = origin.as_str(), time_ms = time.as_millis() as u64,
        path:% = state.contact.path.borrow();
        "settings are current after a time without"
    );
}

/// Records that a source answered.
pub(crate) fn record_answer<A: Adapter>(state: &State<A>, source: Source) {
    let contact = &state.contact;
    contact.from_peer.set(source != Source::Store);
    contact.seeds_lost_store.set(false);
    let failures = contact.failures.take();
    if failures > 0 {
        log::info!(failures = failures; "store answers again");
    }
}

/// Records that a source gave no usable answer.
pub(crate) fn record_failure<A: Adapter>(state: &State<A>, source: Source, cause: &StoreError) {
    let contact = &state.contact;
    if source == Source::Store {
        keep_missing_servers(state);
    }
    if matches!(cause, StoreError::LostByPeer(_)) {
        contact.seeds_lost_store.set(true);
    }
    let failures = contact.failures.get() + 1;
    contact.failures.set(failures);
    contact.updated.notify_waiters();
    state.metrics.settings.count_event("unread");
    if failures.is_power_of_two() {
        let absence = contact.absence.borrow().duration(state.clock.now());
        log::warn!(
            cause:% = cause, failures = failures, age_ms = state.proof_age_ms(),
            absence_ms = absence.map(|time| time.as_millis() as u64);
            "store lost"
        );
    }
}

/// Keeps servers that will be missing when the store answers again: their entries may have expired.
pub(crate) fn keep_missing_servers<A: Adapter>(state: &State<A>) {
    if state.switches.is_on(Mechanism::OutageGrace) {
        state.membership.borrow_mut().mark_unavailable();
    }
}

/// Keeps missing servers for a while when this node turns to the store because its seeds have lost contact with
/// it. The node can't tell whether the store was down, in which case their entries may only have expired.
pub(crate) fn doubt_missing_servers<A: Adapter>(state: &State<A>) {
    if state.contact.seeds_lost_store.get() && state.contact.from_peer.get() {
        keep_missing_servers(state);
    }
}
