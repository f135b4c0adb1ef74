//! How often nodes may report to a seed.
//!
//! Load pattern: a seed that stands on a small VM, and hundreds of nodes that each want an answer several
//! times a second. Without a bound the answers fill its link, and requests that it forwards wait behind
//! them. So the pause grows with the nodes and with the bytes that an answer was seen to take.

use std::time::Duration;

/// Part of the link that answers may take.
const LINK_PART: f64 = 0.2;
/// Time that a seed spends on a report and its answer, as a part of all its time over all nodes.
const EACH: Duration = Duration::from_micros(1_500);
/// Bytes of an answer before any was seen, headers included.
const FIRST_BYTES: f64 = 2_000.0;
/// Bytes of headers of a report and its answer.
const HEADERS: f64 = 400.0;
/// Weight of an answer in the running mean of their size.
const WEIGHT: f64 = 0.02;

/// The pace of one seed.
#[derive(Debug)]
pub(crate) struct Pace {
    least: Duration,
    /// Bytes a second that answers may take.
    budget: f64,
    /// Mean bytes of an answer.
    bytes: f64,
}

impl Pace {
    /// The pace of a seed whose link carries so many bytes a second, for pauses of `least` or more.
    pub(crate) fn new(least: Duration, link_bytes: f64) -> Self {
        Pace { least, budget: link_bytes * LINK_PART, bytes: FIRST_BYTES }
    }

    /// An answer of so many bytes was sent.
    pub(crate) fn answered(&mut self, bytes: usize) {
        self.bytes += (bytes as f64 + HEADERS - self.bytes) * WEIGHT;
    }

    /// Time between two reports of each of so many nodes.
    pub(crate) fn pause(&self, nodes: usize) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let link = Duration::from_secs_f64(f64::from(nodes) * self.bytes / self.budget.max(1.0));
        self.least.max(EACH.saturating_mul(nodes)).max(link)
    }
}

#[cfg(test)]
mod tests;
