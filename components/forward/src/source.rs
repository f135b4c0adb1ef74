//! Whom a node asks for what is published: the store itself, or a peer that reads it.
//!
//! Pattern: a fleet of hundreds of nodes and a store whose calls are limited and paid for. If each
//! node read it, every change would cost as many calls as there are nodes. So the few nodes that all
//! know from their settings, the seeds, read the store, and the others ask one of them; who asks
//! whom follows from a hash, so that each seed is asked by its part.
//!
//! A seed may be stale, down or itself turned away: what it says carries the age of its proof, and a
//! node that gets no young answer goes on to the next seed and in the end to the store.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// A node that had to leave its first source goes back to it after this.
const BACK: Duration = Duration::from_secs(5);

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
    order: Vec<Source>,
    turn: usize,
    left: Option<Instant>,
    /// Nothing was read yet.
    fresh: bool,
}

impl Sources {
    /// The sources of the node `name` that listens for peers at `own`.
    pub(crate) fn new(name: &str, own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut peers: Vec<_> = seeds.iter().copied().filter(|seed| *seed != own).collect();
        peers.sort_by_key(|seed| {
            let hash = xxh3_64(format!("{name} {seed}").as_bytes());
            (network(seed.ip()) != network(own.ip()), hash)
        });
        let mut order: Vec<_> = peers.into_iter().map(Source::Peer).collect();
        if seeds.contains(&own) {
            order.clear();
        }
        order.push(Source::Store);
        Sources { order, turn: 0, left: None, fresh: true }
    }

    /// Whom to ask now. A node that starts asks the store: where all have lost power, seeds start no
    /// sooner, and each would be waited for.
    pub(crate) fn now(&mut self, now: Instant) -> Source {
        if self.fresh {
            return Source::Store;
        }
        if self.left.is_some_and(|left| now >= left + BACK) {
            (self.turn, self.left) = (0, None);
        }
        self.order[self.turn]
    }

    /// The one asked answered.
    pub(crate) fn answered(&mut self) {
        self.fresh = false;
    }

    /// The one asked gave no answer that can be used. Returns whether all have been tried in turn.
    pub(crate) fn failed(&mut self, now: Instant) -> bool {
        if std::mem::take(&mut self.fresh) {
            return false;
        }
        self.turn = (self.turn + 1) % self.order.len();
        self.left = (self.turn != 0).then_some(now);
        self.turn == 0
    }
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
