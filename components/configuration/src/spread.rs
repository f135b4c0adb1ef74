//! Who reads the configuration service and who hears from whom.
//!
//! Load pattern: 36,000 changes a day, one a second in bursts, each due on 850 nodes within
//! seconds, while the service bears about 2,000 calls a second over all readers and counts a
//! waiting watch. If every node watched, a burst would cost 850 manifests and 850 values a second,
//! and a service that comes back would meet all of them at once. So [`WATCHERS`] nodes of each
//! failure domain watch; each other node holds a watch at one node of its domain that stands before
//! it, [`FAN`] to a node, so a change passes down a tree of a few hops and no node sends it more than
//! [`FAN`] times. The order is a hash of the published list, the same on each node without a word
//! between them; where lists differ for a while, a node may wait at one that hears nothing, and the
//! rare direct read of [`EVERY`] node brings the change in; it reaches the rest by frames.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::wire::{Role, Vm};

/// Watchers in a failure domain: two, so that the loss of one leaves the domain's tree a root.
pub const WATCHERS: usize = 2;
/// Nodes that hear from one node: two keeps what a node sends at twice what it receives, and seven
/// hops carry a change through a domain of 250 nodes.
pub const FAN: usize = 2;
/// Mean time between two direct reads of a node that hears from peers: at 850 nodes 14 calls a
/// second, and in a domain of 94 nodes one of them sees what its watchers missed in under a second.
pub const EVERY: Duration = Duration::from_secs(60);
/// Mean pause before a direct read while no peer answers: if all 850 nodes lose each other at once,
/// they make 425 calls a second, a quarter of what the service bears.
pub const ALONE: Duration = Duration::from_secs(2);

derives::data! {
    /// A node's place in the spread.
    #[derive(Eq)]
    pub enum Place {
        /// Watches the service.
        Watcher,
        /// Hears from peers: the one to ask first, then those to ask when it is silent.
        Listener(Vec<SocketAddr>),
    }
}

/// The place of a node by the published list. A node that isn't listed yet listens to the watchers
/// of its domain; one without any listed peer there watches.
///
/// ```
/// use configuration::spread::{Place, place};
/// assert_eq!(place(&[], "entry-0", "riga-a"), Place::Watcher);
/// ```
pub fn place(list: &[Vm], name: &str, domain: &str) -> Place {
    let entries = list.iter().filter(|vm| vm.role == Role::Entry && !vm.leaving);
    let mut order: Vec<_> = entries.filter(|vm| vm.domain == domain).collect();
    order.sort_by_key(|vm| (xxh3_64(vm.name.as_bytes()), vm.name.as_str()));
    let mine = order.iter().position(|vm| vm.name == name);
    let index = mine.unwrap_or(order.len());
    if order.is_empty() || mine.is_some_and(|index| index < WATCHERS) {
        return Place::Watcher;
    }
    // Behind the one ahead in the tree come the roots, which hear of a change first.
    let ahead = if mine.is_some() { (index - WATCHERS) / FAN } else { 0 };
    let mut before = vec![ahead];
    before.extend((0..WATCHERS.min(order.len())).filter(|root| *root != ahead));
    let addresses = before.into_iter().filter_map(|at| order[at].address.parse().ok());
    Place::Listener(addresses.collect())
}

/// A pause around `mean`, by a number from 0 to 1: half of it to one and a half of it, so that
/// nodes that began together don't stay together.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(configuration::spread::jittered(Duration::from_secs(2), 0.5), Duration::from_secs(2));
/// ```
pub fn jittered(mean: Duration, random: f64) -> Duration {
    mean.mul_f64(0.5 + random.clamp(0.0, 1.0))
}

#[cfg(test)]
mod tests;
