//! Keeps the requests of all nodes at a brittle server within its slots.
//!
//! Load pattern: servers that fall over if they have to turn requests away. A server takes a burst into its
//! queue, declines the rest, and crashes; its requests move to the others, which crash in turn. Each node would
//! have to know what all others send at this moment to stay within the room that is left.
//!
//! Instead, each node keeps to its part of a server's slots, which needs no more than the size of the fleet.
//! Where a server has fewer slots than there are nodes, only some nodes use it, selected by hash, so that as
//! many as it has slots do on average. A node that is declined nevertheless leaves the server alone for a while.

use std::time::{Duration, Instant};

use crate::scheduler::Scheduler;

/// Time for which a node leaves a brittle server alone that declined a request.
const DECLINED_PAUSE: Duration = Duration::from_secs(1);

/// What a node may send to a brittle server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Guard {
    /// Requests that it may have there at once.
    slots: u32,
    paused_until: Option<Instant>,
}

impl Guard {
    pub(crate) fn new(slots: u32) -> Self {
        Guard { slots, paused_until: None }
    }

    /// Changes the part of the slots, but not a pause.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Whether a node that has `sent` requests there may send one more.
    pub(crate) fn admits(&self, sent: u32, now: Instant) -> bool {
        sent < self.slots && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Records that the server declined a request.
    pub(crate) fn record_declined(&mut self, now: Instant) {
        self.paused_until = Some(now + DECLINED_PAUSE);
    }
}

/// A node's part of the slots of a brittle server, for a fleet of so many nodes. `hash` is of the names of the node
/// and of the server.
///
/// ```
/// assert_eq!(policy::brittle_share(128, 7, 0), 18);
/// assert_eq!(policy::brittle_share(6, 295, u64::MAX), 0);
/// ```
pub fn brittle_share(slots: u32, nodes: u32, hash: u64) -> u32 {
    let nodes = nodes.max(1);
    if slots >= nodes {
        return slots / nodes;
    }
    let part = (u128::from(slots) << 64) / u128::from(nodes);
    u32::from(u128::from(hash) < part)
}

impl Scheduler {
    /// Sets this node's part of the slots of a brittle server; none if it isn't brittle.
    pub fn set_brittle(&mut self, key: ids::Server, share: Option<u32>) {
        let Some(state) = self.servers.get_mut(key) else { return };
        match (&mut state.brittle, share) {
            (Some(guard), Some(slots)) => guard.set_slots(slots),
            (guard, share) => *guard = share.map(Guard::new),
        }
        self.epoch += 1;
    }
}

#[cfg(test)]
mod tests;
