//! Rate limits that servers name in their answers: what this node knows of them, and its permits.
//!
//! Seeds hand out the permits (`gossip`). A node that no seed answers makes do with a small part of its own.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use catalog::Entry;
use clock::Clock;
use policy::{Issuer, Named, Throttle};

use crate::mechanism::Mechanism;
use crate::site::{Limit, Site};
use crate::state::State;

/// Time without an answer of a seed after which a node goes by a part of its own.
const ALONE: Duration = Duration::from_secs(2);
/// Part of a limit that nodes without a seed use together at most, beside what seeds hand out.
const ALONE_PART: f64 = 0.5;
/// Nodes of a fleet whose size isn't known.
const UNKNOWN_FLEET: u32 = 100;

/// Limits that servers have named, and this node's part in keeping to them.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    pub(crate) throttle: RefCell<Throttle>,
    issuer: RefCell<Issuer>,
    /// When a seed answered last.
    answered: Cell<Option<Instant>>,
}

impl Limits {
    /// A seed has answered, and hands out permits.
    pub(crate) fn answered(&self, now: Instant) {
        self.answered.set(Some(now));
    }

    /// Permits that this node hands to one of `nodes` which come to it, as one of so many issuers.
    pub(crate) fn issue(&self, issuers: f64, nodes: usize, now: Instant) -> Vec<(u32, u32)> {
        let throttle = self.throttle.borrow();
        self.issuer.borrow_mut().issue(throttle.all(), issuers, nodes, now)
    }
}

/// Takes in what the head of an answer says, to a request that was sent at a time.
pub(crate) fn record_answer<S: Site>(
    state: &State<S>,
    server: &Entry,
    limit: &Limit,
    sent: Instant,
) {
    let (key, now) = (wire::key(&server.name), state.clock.now());
    let before = state.limits.throttle.borrow().rate(key);
    let rate = match limit {
        Limit::Unnamed => None,
        Limit::Rate(rate) => Some(*rate),
        Limit::Unreadable(text) => {
            log::warn!(server = server.name.as_str(), limit = text.as_str(); "a rate limit can't be read");
            return;
        }
    };
    state.limits.throttle.borrow_mut().answered(key, rate, sent, now);
    let after = state.limits.throttle.borrow().rate(key);
    if before.is_some() != after.is_some() {
        log::info!(server = server.name.as_str(), rate_per_s = after; "server's rate limit");
        apply_to_scheduler(state);
    }
}

/// Takes in what other nodes know of servers that are listed.
pub(crate) fn learn<S: Site>(state: &State<S>, named: impl Iterator<Item = Named>) {
    let before = state.limits.throttle.borrow().version();
    for named in named.filter(|named| state.names.borrow().keyed(named.server).is_some()) {
        state.limits.throttle.borrow_mut().learn(named);
    }
    if state.limits.throttle.borrow().version() > before {
        apply_to_scheduler(state);
    }
}

/// Tells the decisions which servers have named a limit. Without the exchange between nodes there are no
/// permits, so there is none for them either.
pub(crate) fn apply_to_scheduler<S: Site>(state: &State<S>) {
    if !state.without.has(Mechanism::Loads) {
        return;
    }
    let names = state.names.borrow();
    let mut scheduler = state.turns.scheduler.borrow_mut();
    for named in state.limits.throttle.borrow().all() {
        if let Some(server) = names.keyed(named.server) {
            scheduler.set_limited(server, named.rate.is_some());
        }
    }
}

/// Takes in permits.
pub(crate) fn permit<S: Site>(state: &State<S>, permits: &[(u32, u32)]) {
    let now = state.clock.now();
    let names = state.names.borrow();
    for (server, count) in permits {
        if let Some(server) = names.keyed(*server) {
            state.turns.scheduler.borrow_mut().permit(server, *count, now);
        }
    }
    drop(names);
    if !permits.is_empty() {
        state.turns.pump();
    }
}

/// Permits of a node's own, where no seed has answered for a while.
pub(crate) fn alone<S: Site>(state: &State<S>) {
    let now = state.clock.now();
    if state.limits.answered.get().is_some_and(|answered| now < answered + ALONE) {
        return;
    }
    let nodes = match state.fleet_nodes.get() {
        0 | 1 if !state.node().seeds.is_empty() => UNKNOWN_FLEET,
        nodes => nodes.max(1),
    };
    let permits = state.limits.issue(f64::from(nodes) / ALONE_PART, 1, now);
    permit(state, &permits);
}
