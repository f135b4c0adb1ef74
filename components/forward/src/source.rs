//! Whom a node asks for what is published: the store itself, or a peer that reads it.
//!
//! Pattern: a fleet of hundreds of nodes and a store whose calls are limited and paid for. If each
//! node read it, every change would cost as many calls as there are nodes. So the few nodes that all
//! know from their settings, the seeds, read the store, and the others ask one of them; who asks
//! whom follows from a hash, so that each seed is asked by its part.
//!
//! A node that starts asks its seed too, since the list of all servers may be long and the link to the
//! store narrow: nodes of a region that read it there all at once keep everything else from passing
//! for as long as it takes.
//!
//! A seed may be stale, down or itself turned away: what it says carries the age of its proof, and a
//! node that gets no young answer goes on to the next seed and in the end to the store.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// A node that had to leave its first source goes back to it after this, and after twice as long each
/// time that it finds it no better: a seed that starts anew is gone for a second or two, and all that
/// is asked elsewhere meanwhile may cross a narrow link.
const BACK: Duration = Duration::from_secs(1);
/// The longest such time.
const LONGEST: Duration = Duration::from_secs(5);
/// A node that starts gives its first source so long to start as well.
const STARTING: Duration = Duration::from_secs(1);
/// As long as nothing was read it gives it only this, and only if the seed's VM is there: it had better
/// read a short list itself than keep its callers waiting.
const MOMENT: Duration = Duration::from_millis(150);
/// A list of servers that is longer than this, in bytes, is left to peers that have it: some 150
/// servers. A hundred nodes that start behind a link of 30 Mbit/s take 18 ms of it each for as much.
const SHORT: usize = 64 << 10;
/// A node that starts where the list is long waits so long for a seed that has it. One that starts at
/// the same time has it within a second.
const SEEDS: Duration = Duration::from_secs(3);

derives::value! {
    /// Whom to ask.
    pub(crate) enum Source {
        /// A peer's listener.
        Peer(SocketAddr),
        /// The store.
        Store,
    }
}

/// The sources of one node, in the order in which it tries them.
#[derive(Debug)]
pub(crate) struct Sources {
    /// Seeds, the one of the own network first; the store is the last.
    order: Vec<Source>,
    turn: usize,
    left: Option<Instant>,
    /// How often in a row the first source gave no answer.
    misses: u32,
    started: Instant,
    /// Something was read.
    read: bool,
    /// The list of servers was found to be long.
    long: bool,
}

impl Sources {
    /// The sources of the node `name` that listens for peers at `own` and starts now.
    pub(crate) fn new(name: &str, own: SocketAddr, seeds: &[SocketAddr], now: Instant) -> Self {
        let mut order: Vec<_> = nearest(name, own, seeds).into_iter().map(Source::Peer).collect();
        if seeds.contains(&own) {
            order.clear();
        }
        order.push(Source::Store);
        Sources { order, turn: 0, left: None, misses: 0, started: now, read: false, long: false }
    }

    /// Whom to ask now.
    pub(crate) fn now(&mut self, now: Instant) -> Source {
        let back = (BACK * (1 << self.misses.saturating_sub(1).min(8))).min(LONGEST);
        if self.left.is_some_and(|left| now >= left + back) {
            (self.turn, self.left) = (0, None);
        }
        self.order[self.turn]
    }

    /// Bytes of the store's list of servers that this node reads itself; without a limit if none.
    pub(crate) fn most(&self, now: Instant) -> Option<usize> {
        let seeds = self.order.len() > 1 && !self.read && now < self.started + SEEDS;
        seeds.then_some(SHORT)
    }

    /// The list is too long to be read here.
    pub(crate) fn found_long(&mut self) {
        (self.long, self.turn, self.left) = (true, 0, None);
    }

    /// The one asked answered.
    pub(crate) fn answered(&mut self) {
        self.read = true;
        if self.turn == 0 {
            self.misses = 0;
        }
    }

    /// The one asked gave no answer that can be used; `refused` if its VM is there and it isn't.
    /// Returns whether to pause before the next: all have been tried in turn, or the first may only be
    /// starting.
    pub(crate) fn failed(&mut self, now: Instant, refused: bool) -> bool {
        let store = self.order.len() - 1;
        let impatient = !self.read && !self.long;
        if self.turn == 0 && store > 0 {
            let starting = if impatient { MOMENT } else { STARTING };
            if now < self.started + starting && (refused || !impatient) {
                return true;
            }
            self.misses += 1;
        }
        let next = (self.turn + 1) % self.order.len();
        self.turn = if impatient && self.turn == 0 { store } else { next };
        if self.turn == store && self.long && self.most(now).is_some() {
            self.turn = 0;
        }
        self.left = (self.turn != 0).then_some(now);
        self.turn == 0
    }
}

/// The seeds but `own`: that of the own network first, then by a hash that differs by node.
pub(crate) fn nearest(name: &str, own: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut peers: Vec<_> = seeds.iter().copied().filter(|seed| *seed != own).collect();
    peers.sort_by_key(|seed| {
        let hash = xxh3_64(format!("{name} {seed}").as_bytes());
        (network(seed.ip()) != network(own.ip()), hash)
    });
    peers
}

/// The network of an address, as far as can be told from it: a failure domain mostly has one of its
/// own. What is published crosses to another domain once for its seed, not for each of its nodes.
fn network(address: IpAddr) -> [u8; 2] {
    match address {
        IpAddr::V4(address) => [address.octets()[0], address.octets()[1]],
        IpAddr::V6(address) => [address.octets()[4], address.octets()[5]],
    }
}

#[cfg(test)]
mod tests;
