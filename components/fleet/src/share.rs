//! Divides the slots of a backend server among the nodes that use it, and a workspace's limit likewise.
//!
//! Several nodes send to the same servers. Without a division each would fill a server as if it were alone,
//! up to as many times its slots as there are nodes; with a fixed division a busy node would refuse work
//! while its peers' slots are free. So each node computes the same division from what all nodes report, by
//! tier and demand, and uses its own part without asking anyone.
//!
//! Bounds on the requests that all nodes together can put on a server with `slots` slots, where `nodes` is
//! the number of nodes in the cell (`tests/share.rs` checks them):
//! - All nodes receive each other's reports: the division adds up to `slots`; with the slots that nodes may
//!   use immediately, to `slots + max(slots / 2, nodes)`.
//! - In a partition into any number of sides: once nodes count as unreachable, `slots * 1.5` and one for
//!   each side's rounding, and the slots that nodes may use immediately.
//!
//! A slot that passes to another node may still be occupied by a request of its last holder. With requests
//! of one second and a burst of twice the servers' capacity, the example `slopes` shows up to 2.4 times the
//! slots in use at a server; nodes that don't communicate put up to 13 times the slots on it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Part of an unreachable node's fair slots that the others use. With all of them, two sides of a partition
/// would each fill every server completely; with none, a fifth of the capacity would be lost when a fifth of
/// the nodes fails at once.
const RECLAIMED_PART: f64 = 0.5;
/// Part of its fair slots that a node may use in addition to the spare ones as soon as it needs them, before
/// its peers have received its report. Allowing this only for demand that peers don't know of yet would
/// reduce the goodput by 6% (from 14.4 to 13.7 answers per second and node with 28 nodes) and the largest
/// overload of a server from 2.4 to 2.25 times its slots (by the example `slopes`).
const IMMEDIATE_PART: f64 = 0.5;
/// Age that a node's demand must have before the node claims more than its fair part with it. By then its
/// peers use the same demand: in a cell of eight nodes every report arrives within about 2 s.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Period after which fractions of a slot rotate among the nodes. It spans several streams, because a slot
/// that changes hands stays unused until its last answer has ended. (With 2 s, less than one stream, the
/// pattern `overload` of `policy` has 2% less goodput, and its top tier an attainment of 0.94 instead of
/// 0.97.) A node that needs a slot and has none may use one in the meantime if any is free.
pub const ROTATION_PERIOD: Duration = Duration::from_secs(20);

derives::data! {
    /// What a node uses and needs at a server.
    pub struct Claim {
        /// [`wire::key`] of the node's name.
        pub node: u32,
        /// How fresh this knowledge is.
        pub freshness: Freshness,
        /// Slots that it could fill by tier, including those of its requests in flight.
        pub needs: Vec<Need>,
        /// Number of its requests in flight there.
        pub in_flight: u32,
        /// Rank of the highest tier that has requests queued at the node.
        pub waiting_tier: Option<u8>,
    }

    /// Slots that one tier could fill.
    #[derive(Copy)]
    pub struct Need {
        /// Rank of the tier.
        pub tier: u8,
        /// Number of slots; queued work counts in part at each server that it could go to.
        pub slots: f64,
    }

    /// A node's share of a server.
    #[derive(Copy, Eq)]
    pub struct Share {
        /// Number of slots that it may fill.
        pub slots: u32,
        /// Number of requests that its peers have in flight there.
        pub peers_in_flight: u32,
        /// Rank of the highest tier that has requests queued at a peer.
        pub waiting_tier: Option<u8>,
    }
}

derives::value! {
    /// How fresh the knowledge of a node is.
    pub enum Freshness {
        /// A report was received recently.
        Fresh,
        /// The node is alive as far as known, but its last report is old: it keeps its fair slots.
        Stale,
        /// The node is unreachable: the others use a part of its fair slots.
        Unreachable,
        /// The node has reported that it is leaving: it has no slots except those that it still fills.
        Leaving,
    }
}

/// Slots to divide, at a certain time.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// [`wire::key`] of the server or workspace.
    pub key: u32,
    /// Number of slots to divide.
    pub slots: u32,
    /// Number of the rotation period, from the time of day: the same for all nodes apart from clock skew.
    pub round: u64,
}

impl Pool {
    /// A pool of `slots` slots at a time of day.
    pub fn new(key: u32, slots: u32, since_1970: Duration) -> Self {
        Pool { key, slots, round: (since_1970.as_millis() / ROTATION_PERIOD.as_millis()) as u64 }
    }

    /// The share of the node whose claim [`SETTLE_TIME`] ago was `own`, and that needs `need` slots right
    /// now.
    ///
    /// ```
    /// use fleet::share::{Claim, Freshness, Pool};
    /// let own = Claim {
    ///     node: 1,
    ///     freshness: Freshness::Fresh,
    ///     needs: vec![],
    ///     in_flight: 0,
    ///     waiting_tier: None,
    /// };
    /// let pool = Pool { key: 9, slots: 4, round: 0 };
    /// assert_eq!(pool.share(&own, 0.0, &[]).slots, 4);
    /// ```
    pub fn share(&self, own: &Claim, need: f64, peers: &[Claim]) -> Share {
        let staying = peers.iter().filter(|claim| claim.freshness != Freshness::Leaving);
        let mut all: Vec<&Claim> = staying.chain([own]).collect();
        all.sort_by_cached_key(|claim| self.rounding_order(claim.node));
        let nodes = all.len() as f64;
        let fair = f64::from(self.slots) / nodes;
        let available = self.available_slots(&all, fair);
        let Parts { parts, spare } = divide_slots(&all, available);
        let me = all.iter().position(|claim| claim.node == own.node).unwrap_or(0);
        let divided = self.whole_slots(&parts, me);
        let reachable = peers.iter().filter(|claim| claim.freshness != Freshness::Unreachable);
        let peers_in_flight = reachable.clone().map(|claim| claim.in_flight).sum();
        let unused = self.slots.saturating_sub(peers_in_flight);
        let immediate = self.whole_slots(&vec![fair * IMMEDIATE_PART + spare; all.len()], me);
        let one = u32::from(unused > 0);
        let mut slots = divided.min(unused);
        if need > f64::from(slots) {
            slots = slots.max(immediate.min(need.ceil() as u32)).max(one);
        }
        Share {
            slots,
            peers_in_flight,
            waiting_tier: reachable.filter_map(|claim| claim.waiting_tier).min(),
        }
    }

    /// Number of slots that the nodes with fresh reports divide among them: their fair slots, and the part
    /// of the unreachable nodes' slots that is reclaimed.
    fn available_slots(&self, all: &[&Claim], fair: f64) -> f64 {
        let count =
            |freshness| all.iter().filter(|claim| claim.freshness == freshness).count() as f64;
        let reachable = count(Freshness::Fresh) + count(Freshness::Stale);
        let reclaimed = (count(Freshness::Unreachable) * fair * RECLAIMED_PART)
            .min(reachable * fair * RECLAIMED_PART);
        count(Freshness::Fresh) * fair + reclaimed
    }

    /// Position of a node in the order in which slots are rounded. It differs between pools, so that
    /// rounding favours no node.
    fn rounding_order(&self, node: u32) -> u64 {
        xxh3_64(&((u64::from(self.key) << 32) | u64::from(node)).to_le_bytes())
    }

    /// Rounds one node's part to whole slots. The boundaries between the nodes move by the golden ratio each
    /// round, so that a node with a part `p` of a slot has one in about `p` of the rounds, evenly spread. The
    /// whole slots of all nodes add up to the sum of their parts, rounded up or down.
    fn whole_slots(&self, parts: &[f64], me: usize) -> u32 {
        const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
        let start = f64::from(self.key) / f64::from(u32::MAX);
        let offset = (start + (self.round % (1 << 20)) as f64 * GOLDEN_RATIO).fract();
        let before: f64 = parts[..me].iter().sum::<f64>() + offset;
        // Parts that add up to a whole number must not fall short of it by a rounding error.
        const TOLERANCE: f64 = 1e-9;
        ((before + parts[me] + TOLERANCE).floor() - (before + TOLERANCE).floor()) as u32
    }
}

/// A division of slots, not yet rounded.
struct Parts {
    /// Slots of each node.
    parts: Vec<f64>,
    /// Slots that each node gets beyond its needs.
    spare: f64,
}

/// Divides slots among the nodes with fresh reports: tier by tier in proportion to their needs, then evenly
/// what is left.
fn divide_slots(all: &[&Claim], available: f64) -> Parts {
    let mut parts = vec![0.0; all.len()];
    let fresh = |claim: &Claim| claim.freshness == Freshness::Fresh;
    let needs = all.iter().filter(|claim| fresh(claim)).flat_map(|claim| &claim.needs);
    let mut tiers: Vec<u8> = needs.map(|need| need.tier).collect();
    tiers.sort_unstable();
    tiers.dedup();
    let mut left = available;
    for tier in tiers {
        let needed: Vec<f64> = all.iter().map(|claim| needed_slots(claim, tier)).collect();
        let sum: f64 = needed.iter().sum();
        let met = if sum > left { left / sum } else { 1.0 };
        parts.iter_mut().zip(&needed).for_each(|(part, needed)| *part += needed * met);
        left -= sum * met;
    }
    let count = all.iter().filter(|claim| fresh(claim)).count().max(1) as f64;
    let spare = left.max(0.0) / count;
    for (part, _) in parts.iter_mut().zip(all).filter(|(_, claim)| fresh(claim)) {
        *part += spare;
    }
    Parts { parts, spare }
}

/// Slots that a node needs for a tier; none unless its report is fresh.
fn needed_slots(claim: &Claim, tier: u8) -> f64 {
    if claim.freshness != Freshness::Fresh {
        return 0.0;
    }
    claim.needs.iter().filter(|need| need.tier == tier).map(|need| need.slots).sum()
}

/// Recent states of a node, from which it takes the one that its peers have received by now.
#[derive(Debug)]
pub struct History<T> {
    states: VecDeque<(Instant, T)>,
}

impl<T> Default for History<T> {
    fn default() -> Self {
        History { states: VecDeque::new() }
    }
}

impl<T> History<T> {
    /// Records the present state.
    pub fn record(&mut self, now: Instant, state: T) {
        self.states.push_back((now, state));
        while self.states.get(1).is_some_and(|(at, _)| now - *at >= SETTLE_TIME) {
            self.states.pop_front();
        }
    }

    /// The state as of [`SETTLE_TIME`] ago; none if the records don't go back that far.
    pub fn settled(&self, now: Instant) -> Option<&T> {
        let (at, state) = self.states.front()?;
        (now.saturating_duration_since(*at) >= SETTLE_TIME).then_some(state)
    }
}
