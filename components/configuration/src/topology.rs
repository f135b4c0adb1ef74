//! Decides which nodes watch the configuration service and which peer each other node reads from.
//!
//! Load pattern: 36,000 changes a day, in bursts one a second, each due on 850 nodes within seconds.
//! The service sustains about 2,000 calls a second from all readers, and a watch that waits counts as
//! a call. If every node watched, a burst would cost 850 manifests and 850 values a second, and a
//! service that comes back from an outage would get all of these calls at once.
//!
//! So [`WATCHERS`] nodes of each failure domain watch the service. Each other node keeps a watch open
//! at one node before it in its domain's order, at most [`FANOUT`] of them at each node, so that a
//! change passes down a tree in a few hops and no node sends it more than [`FANOUT`] times. The order
//! is a hash of the published list, which all nodes compute alike without any coordination. While the
//! lists of two nodes differ, a node may watch a peer that gets no changes itself; the rare direct
//! reads of the service, each [`DIRECT_READ_INTERVAL`], then bring a change in, and gossip frames pass
//! it on to the rest.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::wire::{Role, Vm};

/// Nodes of a failure domain that watch the service: two, so that the domain's tree still has a root
/// if one is lost.
pub const WATCHERS: usize = 2;
/// Nodes that watch one node. With two, a node sends twice what it receives, and a change needs seven
/// hops to reach a domain of 250 nodes.
pub const FANOUT: usize = 2;
/// Mean time between two direct reads of the service by a node that reads from peers. At 850 nodes this
/// costs 14 calls a second, and in a domain of 94 nodes one of them sees a change that its watchers
/// missed in under a second.
pub const DIRECT_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Mean pause before a direct read while no peer answers. If all 850 nodes lose each other at once,
/// they make 425 calls a second, a quarter of what the service sustains.
pub const ISOLATED_READ_INTERVAL: Duration = Duration::from_secs(2);

derives::data! {
    /// A node's position in the distribution tree.
    #[derive(Eq)]
    pub enum Position {
        /// Watches the service.
        Watcher,
        /// Reads from peers: first from the one first in the list, from the next if it doesn't answer.
        Follower(Vec<SocketAddr>),
    }
}

/// The position of the node `name` of `domain` by the published list. A node that isn't listed yet
/// reads from the watchers of its domain; one without any listed peer there watches the service.
///
/// ```
/// use configuration::topology::{Position, position};
/// assert_eq!(position(&[], "entry-0", "riga-a"), Position::Watcher);
/// ```
pub fn position(list: &[Vm], name: &str, domain: &str) -> Position {
    let entries = list.iter().filter(|vm| vm.role == Role::Entry && !vm.leaving);
    let mut order: Vec<_> = entries.filter(|vm| vm.domain == domain).collect();
    order.sort_by_key(|vm| (xxh3_64(vm.name.as_bytes()), vm.name.as_str()));
    let own_index = order.iter().position(|vm| vm.name == name);
    let index = own_index.unwrap_or(order.len());
    if order.is_empty() || own_index.is_some_and(|index| index < WATCHERS) {
        return Position::Watcher;
    }
    // The parent in the tree comes first, then the roots, which get a change before all others.
    let parent = if own_index.is_some() { (index - WATCHERS) / FANOUT } else { 0 };
    let mut sources = vec![parent];
    sources.extend((0..WATCHERS.min(order.len())).filter(|root| *root != parent));
    let addresses = sources.into_iter().filter_map(|at| order[at].address.parse().ok());
    Position::Follower(addresses.collect())
}

/// A pause from half of `mean` to one and a half of it, as `random` goes from 0 to 1, so that nodes
/// that started at the same time don't stay synchronized.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(configuration::topology::jittered(Duration::from_secs(2), 0.5), Duration::from_secs(2));
/// ```
pub fn jittered(mean: Duration, random: f64) -> Duration {
    mean.mul_f64(0.5 + random.clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests;
