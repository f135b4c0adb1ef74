//! Computes how often nodes may report to a seed.
//!
//! Load pattern: a seed on a small VM, and hundreds of nodes that each ask for an answer several times a
//! second. Without a bound the answers fill the seed's link, and requests that it forwards wait behind
//! them. So the pause between reports grows with the number of nodes and with the mean size of an answer.

use std::time::Duration;

/// Part of the link's capacity that answers may take.
const LINK_PART: f64 = 0.2;
/// Time between two reports at a seed, over all nodes: bounds the time that it spends on reports and answers.
const MIN_REPORT_SPACING: Duration = Duration::from_micros(1_500);
/// Assumed size of an answer in bytes, headers included, before the first one is sent.
const INITIAL_ANSWER_BYTES: f64 = 2_000.0;
/// Size in bytes of the headers of a report and its answer.
const HEADER_BYTES: f64 = 400.0;
/// Weight of an answer in the running mean of the size.
const MEAN_WEIGHT: f64 = 0.02;

/// The pace of reports at one seed.
#[derive(Debug)]
pub(crate) struct Pace {
    min_pause: Duration,
    /// Bytes per second that answers may take.
    budget: f64,
    /// Running mean of the size of an answer in bytes.
    answer_bytes: f64,
}

impl Pace {
    /// The pace of a seed whose link carries `link_bytes` per second. Pauses are at least `min_pause`.
    pub(crate) fn new(min_pause: Duration, link_bytes: f64) -> Self {
        Pace { min_pause, budget: link_bytes * LINK_PART, answer_bytes: INITIAL_ANSWER_BYTES }
    }

    /// Records the size of an answer that was sent.
    pub(crate) fn record_answer(&mut self, bytes: usize) {
        self.answer_bytes += (bytes as f64 + HEADER_BYTES - self.answer_bytes) * MEAN_WEIGHT;
    }

    /// Time from one report of a node to its next while so many nodes report.
    pub(crate) fn pause(&self, nodes: usize) -> Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let link =
            Duration::from_secs_f64(f64::from(nodes) * self.answer_bytes / self.budget.max(1.0));
        self.min_pause.max(MIN_REPORT_SPACING.saturating_mul(nodes)).max(link)
    }
}

#[cfg(test)]
mod tests;
