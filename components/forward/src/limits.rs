//! Tracks the rate limits that backend servers name in their answers, and the permits of this node under them.
//!
//! Seeds issue the permits (`gossip`). A node that no seed answers issues itself a small part of each limit.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use catalog::Entry;
use clock::Clock;
use policy::{Issuer, RateLimit, Throttle};

use crate::adapter::{Adapter, StatedLimit};
use crate::mechanism::Mechanism;
use crate::state::State;

/// Time without an answer of a seed after which a node issues permits to itself.
const SEED_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of a limit that all nodes without a seed use together at most, in addition to what seeds issue.
const PART_WITHOUT_SEEDS: f64 = 0.5;
/// Number of nodes assumed for a fleet of unknown size.
const UNKNOWN_FLEET_NODES: u32 = 100;

/// The rate limits that servers have named, and this node's permits under them.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    pub(crate) throttle: RefCell<Throttle>,
    issuer: RefCell<Issuer>,
    /// When a seed last answered.
    seed_answered: Cell<Option<Instant>>,
}

impl Limits {
    /// Records that a seed has answered, and so issues permits to this node.
    pub(crate) fn record_seed_answer(&self, now: Instant) {
        self.seed_answered.set(Some(now));
    }

    /// Whether no seed has answered for so long that this node must do without permits of theirs.
    pub(crate) fn seeds_silent(&self, now: Instant) -> bool {
        self.seed_answered.get().is_none_or(|answered| now >= answered + SEED_TIMEOUT)
    }

    /// Issues permits to one of the `nodes` that get theirs from this node: the key of a server's name, and
    /// how many requests it may be sent. So many `issuers` share each limit equally.
    pub(crate) fn issue(&self, issuers: f64, nodes: usize, now: Instant) -> Vec<(u32, u32)> {
        let throttle = self.throttle.borrow();
        self.issuer.borrow_mut().issue(throttle.limits(), issuers, nodes, now)
    }
}

/// Records the limit in the head of an answer to a request that was sent at `sent`.
pub(crate) fn record_answer<A: Adapter>(
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
            log::warn!(
                server = server.name.as_str(), limit = text.as_str();
                "ignoring a server's rate limit that can't be parsed"
            );
            return;
        }
    };
    state.rate_limits.throttle.borrow_mut().record_response(key, rate, sent, now);
    let after = state.rate_limits.throttle.borrow().rate(key);
    if before.is_some() != after.is_some() {
        log::info!(server = server.name.as_str(), rate_per_s = after; "server's rate limit");
        apply_to_scheduler(state);
    }
}

/// Merges the limits that other nodes report. Servers that aren't listed are left out.
pub(crate) fn merge_reported<A: Adapter>(
    state: &State<A>,
    limits: impl Iterator<Item = RateLimit>,
) {
    let before = state.rate_limits.throttle.borrow().version();
    for limit in
        limits.filter(|limit| state.registry.borrow().server_by_wire_key(limit.server).is_some())
    {
        state.rate_limits.throttle.borrow_mut().merge(limit);
    }
    if state.rate_limits.throttle.borrow().version() > before {
        apply_to_scheduler(state);
    }
}

/// Sets in the scheduler which servers have named a limit, and so need permits. Does nothing while gossip is
/// disabled: without it no permits are issued, and the scheduler would never send these servers a request.
pub(crate) fn apply_to_scheduler<A: Adapter>(state: &State<A>) {
    if !state.switches.is_on(Mechanism::LoadGossip) {
        return;
    }
    let registry = state.registry.borrow();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    for limit in state.rate_limits.throttle.borrow().limits() {
        if let Some(server) = registry.server_by_wire_key(limit.server) {
            scheduler.set_rate_limited(server, limit.rate.is_some());
        }
    }
}

/// Hands permits to the scheduler: the key of a server's name, and how many requests it may be sent.
pub(crate) fn add_permits<A: Adapter>(state: &State<A>, permits: &[(u32, u32)]) {
    let now = state.clock.now();
    let registry = state.registry.borrow();
    for (server, count) in permits {
        if let Some(server) = registry.server_by_wire_key(*server) {
            state.driver.scheduler.borrow_mut().add_permits(server, *count, now);
        }
    }
    drop(registry);
    if !permits.is_empty() {
        state.driver.run_actions();
    }
}

/// Number of nodes in the fleet; many if it isn't known yet.
pub(crate) fn assumed_nodes<A: Adapter>(state: &State<A>) -> u32 {
    match state.fleet_nodes.get() {
        0 | 1 if !state.node().seeds.is_empty() => UNKNOWN_FLEET_NODES,
        nodes => nodes.max(1),
    }
}

/// Issues permits to this node itself if no seed has answered within [`SEED_TIMEOUT`].
pub(crate) fn issue_without_seeds<A: Adapter>(state: &State<A>) {
    let now = state.clock.now();
    if !state.rate_limits.seeds_silent(now) {
        return;
    }
    let nodes = assumed_nodes(state);
    let permits = state.rate_limits.issue(f64::from(nodes) / PART_WITHOUT_SEEDS, 1, now);
    add_permits(state, &permits);
}
