//! How long a request will wait, from the tokens ahead of it.
//!
//! Pattern: overload. Without a forecast, requests wait until they are of no use, callers learn it
//! too late to act, and places go to answers that nobody takes.

use std::time::{Duration, Instant};

/// Seconds over which flow is measured for requests that can bear little: a few lives of a stream,
/// so that one long answer doesn't pass for a change of load.
const FAST: f64 = 5.0;
/// The same for those that can bear much: a burst will have passed by then.
const SLOW: f64 = 40.0;
/// However much the tiers above take, this part is counted as left: their flow is an estimate, and
/// a class is never told that it will wait for ever.
const LEAST: f64 = 0.02;
/// Longest time told to a caller that is to try again.
const LONGEST: f64 = 60.0;
/// Shortest one: what changes sooner than this can't be told.
const SHORTEST: f64 = 0.2;

/// Tokens a second that a class is given, as exponential means.
#[derive(Debug, Default)]
pub(crate) struct Throughput {
    fast: f64,
    slow: f64,
    at: Option<Instant>,
}

impl Throughput {
    pub(crate) fn record(&mut self, tokens: u32, now: Instant) {
        let (fast, slow) = self.rates(now);
        self.fast = fast + f64::from(tokens) / FAST;
        self.slow = slow + f64::from(tokens) / SLOW;
        self.at = Some(now);
    }

    /// The rate to be expected over so many seconds.
    pub(crate) fn rate(&self, over: f64, now: Instant) -> f64 {
        let (fast, slow) = self.rates(now);
        let part = ((over - FAST) / (SLOW - FAST)).clamp(0.0, 1.0);
        fast * (1.0 - part) + slow * part
    }

    fn rates(&self, now: Instant) -> (f64, f64) {
        let Some(at) = self.at else { return (0.0, 0.0) };
        let gone = now.saturating_duration_since(at).as_secs_f64();
        (self.fast * (-gone / FAST).exp(), self.slow * (-gone / SLOW).exp())
    }
}

/// Seconds until `ahead` tokens are given places, where `above` of `rate` goes to higher tiers.
pub(crate) fn wait_seconds(ahead: u64, rate: f64, above: f64) -> f64 {
    if ahead == 0 {
        return 0.0;
    }
    ahead as f64 / (rate - above).max(rate * LEAST).max(1.0)
}

/// When a caller may try again: once the forecast fits what the request can bear. `jitter` from 0 to
/// 1 keeps callers that were refused together from coming back together.
pub(crate) fn retry_after(wait: f64, bearable: f64, jitter: f64) -> Duration {
    let excess = (wait - bearable.max(0.0)).max(SHORTEST);
    Duration::from_secs_f64((excess * (1.0 + jitter * 0.25)).min(LONGEST))
}
