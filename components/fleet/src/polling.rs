//! Decides which node of a cell polls an engine for its load, and how often.
//!
//! If every node polled every engine twice a second, then with 850 nodes and 10,000 engines each engine
//! would answer 1,700 times a second and each node would spend megabytes. So one node of the cell polls an
//! engine, by rendezvous hashing among those alive, and reports to the others. The time between two polls
//! grows with the number of engines that a node polls, to keep to its byte budget.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a poll and its answer on the wire, HTTP heads included.
pub const POLL_BYTES: u32 = 420;
/// Shortest time between two polls of an engine; the engine's own figures lag by about as much.
const MIN_PERIOD: Duration = Duration::from_millis(500);

/// Whether `own` is the node that polls `server`, among itself and `others` that are alive. While nodes
/// disagree on who is alive, two nodes may poll, or none until a suspicion is refuted or confirmed.
///
/// ```
/// use fleet::polling::is_poller;
/// assert!(is_poller(1, [].into_iter(), 7));
/// assert_ne!(is_poller(1, [2].into_iter(), 7), is_poller(2, [1].into_iter(), 7));
/// ```
pub fn is_poller(own: u32, others: impl Iterator<Item = u32>, server: u32) -> bool {
    let own_weight = weight(own, server);
    others.filter(|node| *node != own).all(|node| weight(node, server) < own_weight)
}

/// Time between two polls of an engine, for a node that polls `engines` of them and may spend `bytes` per
/// second.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(fleet::polling::poll_period(2, 2000), Duration::from_millis(500));
/// assert_eq!(fleet::polling::poll_period(12, 840), Duration::from_secs(6));
/// ```
pub fn poll_period(engines: usize, bytes: u32) -> Duration {
    let needed = f64::from(POLL_BYTES) * engines as f64 / f64::from(bytes.max(1));
    MIN_PERIOD.max(Duration::from_secs_f64(needed))
}

/// Rendezvous weight of a node for a server.
fn weight(node: u32, server: u32) -> u64 {
    xxh3_64(&((u64::from(node) << 32) | u64::from(server)).to_le_bytes())
}
