//! Chooses the seed that a node reports to.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of answers of each seed before seeds are compared by latency: the first call also sets up the
/// connection, and may meet a seed that is still starting.
const PROBES: u32 = 3;
/// Time after which a seed that didn't answer is tried again.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A seed as seen from this node.
#[derive(Debug)]
struct Seed {
    address: SocketAddr,
    /// Number of its answers.
    answers: u32,
    /// Shortest time from a report to its answer; zero before the first answer.
    latency: Duration,
    /// When it is tried again after it didn't answer; none if it did.
    retry_at: Option<Instant>,
}

/// The seeds that this node may report to. Settings don't say which of them is in the node's region, and
/// traffic to another region is paid for by volume. The seed with the lowest latency is taken for the nearest.
#[derive(Debug)]
pub(crate) struct Seeds(Vec<Seed>);

impl Seeds {
    pub(crate) fn new(seeds: Vec<SocketAddr>) -> Self {
        let seed = |address| Seed { address, answers: 0, latency: Duration::ZERO, retry_at: None };
        Seeds(seeds.into_iter().map(seed).collect())
    }

    /// The seed to report to: one that has fewer than [`PROBES`] answers, else the nearest. Seeds that didn't
    /// answer come last, the one that is tried again first before the others; none if there are no seeds.
    pub(crate) fn select(&self, now: Instant) -> Option<SocketAddr> {
        let order = |seed: &&Seed| {
            let unresponsive = seed.retry_at.filter(|until| now < *until);
            (unresponsive, seed.answers.min(PROBES), seed.latency)
        };
        self.0.iter().min_by_key(order).map(|seed| seed.address)
    }

    /// The nearest of the seeds that have answered often enough to be compared, also if it missed the last report: it
    /// may just be sending its list to hundreds of nodes. None while others that answer are still to be compared.
    pub(crate) fn nearest(&self) -> Option<SocketAddr> {
        let compared = |seed: &&Seed| seed.answers >= PROBES;
        let comparing = self.0.iter().any(|seed| seed.retry_at.is_none() && !compared(&seed));
        let nearest = self.0.iter().filter(compared).min_by_key(|seed| seed.latency);
        nearest.filter(|_| !comparing).map(|seed| seed.address)
    }

    /// Records the time that a seed took to answer; none if it didn't answer.
    pub(crate) fn record_answer(
        &mut self,
        address: SocketAddr,
        latency: Option<Duration>,
        now: Instant,
    ) {
        let Some(seed) = self.0.iter_mut().find(|seed| seed.address == address) else { return };
        seed.retry_at = latency.is_none().then_some(now + RETRY_AFTER);
        if let Some(latency) = latency {
            seed.answers = seed.answers.saturating_add(1);
            seed.latency = if seed.latency.is_zero() { latency } else { latency.min(seed.latency) };
        }
    }
}

#[cfg(test)]
mod tests;
