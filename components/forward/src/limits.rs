//! Rate limits that servers name in their answers: what this node knows of them, and its permits.
//!
//! Seeds hand out the permits (`gossip`). A node that no seed answers makes do with a small part of its own.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use catalog::Entry;
use clock::Clock;
use policy::{Issuer, RateLimit, Throttle};

use crate::adapter::{Adapter, StatedLimit};
use crate::mechanism::Mechanism;
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
pub(crate) fn answered<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    limit: &StatedLimit,
    sent: Instant,
) {
    let (key, now) = (wire::key(&server.name), state.clock.now());
    let before = state.rate_limits.throttle.borrow().rate(key);
    let rate = match limit {
        StatedLimit::Unspecified => None,
        StatedLimit::PerSecond(rate) => Some(*rate),
        StatedLimit::Malformed(text) => {
            log::warn!(server = server.name.as_str(), limit = text.as_str(); "a rate limit can't be read");
            return;
        }
    };
    state.rate_limits.throttle.borrow_mut().record_response(key, rate, sent, now);
    let after = state.rate_limits.throttle.borrow().rate(key);
    if before.is_some() != after.is_some() {
        log::info!(server = server.name.as_str(), rate_per_s = after; "server's rate limit");
        apply(state);
    }
}

/// Takes in what other nodes know of servers that are listed.
pub(crate) fn learn<A: Adapter>(state: &State<A>, named: impl Iterator<Item = RateLimit>) {
    let before = state.rate_limits.throttle.borrow().version();
    for named in
        named.filter(|named| state.registry.borrow().server_by_wire_key(named.server).is_some())
    {
        state.rate_limits.throttle.borrow_mut().merge(named);
    }
    if state.rate_limits.throttle.borrow().version() > before {
        apply(state);
    }
}

/// Tells the decisions which servers have named a limit. Without the exchange between nodes there are no
/// permits, so there is none for them either.
pub(crate) fn apply<A: Adapter>(state: &State<A>) {
    if !state.disabled.is_enabled(Mechanism::LoadGossip) {
        return;
    }
    let names = state.registry.borrow();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    for named in state.rate_limits.throttle.borrow().all() {
        if let Some(server) = names.server_by_wire_key(named.server) {
            scheduler.set_rate_limited(server, named.rate.is_some());
        }
    }
}

/// Takes in permits.
pub(crate) fn permit<A: Adapter>(state: &State<A>, permits: &[(u32, u32)]) {
    let now = state.clock.now();
    let names = state.registry.borrow();
    for (server, count) in permits {
        if let Some(server) = names.server_by_wire_key(*server) {
            state.driver.scheduler.borrow_mut().add_permits(server, *count, now);
        }
    }
    drop(names);
    if !permits.is_empty() {
        state.driver.pump();
    }
}

/// Permits of a node's own, where no seed has answered for a while.
pub(crate) fn alone<A: Adapter>(state: &State<A>) {
    let now = state.clock.now();
    if state.rate_limits.answered.get().is_some_and(|answered| now < answered + ALONE) {
        return;
    }
    let nodes = match state.fleet_nodes.get() {
        0 | 1 if !state.node().seeds.is_empty() => UNKNOWN_FLEET,
        nodes => nodes.max(1),
    };
    let permits = state.rate_limits.issue(f64::from(nodes) / ALONE_PART, 1, now);
    permit(state, &permits);
}
