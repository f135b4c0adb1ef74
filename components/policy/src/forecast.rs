//! Forecasts how long a request will wait, from the tokens queued ahead of it.
//!
//! Load pattern: overload. Without a forecast, requests wait until their answers are of no use, callers learn
//! too late to act on it, and slots go to answers whose callers have left.

use std::time::{Duration, Instant};

/// Time constant, in seconds, of the throughput for requests that can wait only a short time: a few lifetimes
/// of a stream, so that one long answer isn't taken for a change of load.
const FAST_SECONDS: f64 = 5.0;
/// Time constant, in seconds, for requests that can wait a long time: a burst will have passed by then.
const SLOW_SECONDS: f64 = 40.0;
/// Least fraction of the rate that is counted as left by the higher tiers: their throughput is an estimate,
/// and the forecast wait of a class must stay finite.
const MIN_FRACTION: f64 = 0.02;
/// Longest and shortest time after which a caller is told to try again, in seconds. The forecast doesn't
/// resolve changes within less than the shortest one.
const MAX_RETRY_SECONDS: f64 = 60.0;
const MIN_RETRY_SECONDS: f64 = 0.2;

/// The tokens a second that a class is served, as exponential means.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
    fast: f64,
    slow: f64,
    updated: Option<Instant>,
}

impl Throughput {
    /// Adds the tokens of a request that is sent.
    pub(crate) fn record(&mut self, tokens: u32, now: Instant) {
        let (fast, slow) = self.rates(now);
        self.fast = fast + f64::from(tokens) / FAST_SECONDS;
        self.slow = slow + f64::from(tokens) / SLOW_SECONDS;
        self.updated = Some(now);
    }

    /// The tokens a second to expect over the next `seconds`.
    pub(crate) fn rate(&self, seconds: f64, now: Instant) -> f64 {
        let (fast, slow) = self.rates(now);
        let slow_weight =
            ((seconds - FAST_SECONDS) / (SLOW_SECONDS - FAST_SECONDS)).clamp(0.0, 1.0);
        fast * (1.0 - slow_weight) + slow * slow_weight
    }

    fn rates(&self, now: Instant) -> (f64, f64) {
        let Some(updated) = self.updated else { return (0.0, 0.0) };
        let age = now.saturating_duration_since(updated).as_secs_f64();
        (self.fast * (-age / FAST_SECONDS).exp(), self.slow * (-age / SLOW_SECONDS).exp())
    }
}

/// Seconds until `ahead` tokens have been sent, at `rate` tokens a second of which `above` go to higher
/// tiers.
pub(crate) fn wait_seconds(ahead: u64, rate: f64, above: f64) -> f64 {
    if ahead == 0 {
        return 0.0;
    }
    ahead as f64 / (rate - above).max(rate * MIN_FRACTION).max(1.0)
}

/// The time after which a caller should try again: once a forecast of `wait` seconds has fallen to the
/// `acceptable` ones. `jitter` is from 0 to 1 and keeps callers that were refused together from coming back
/// together.
pub(crate) fn retry_after(wait: f64, acceptable: f64, jitter: f64) -> Duration {
    let excess = (wait - acceptable.max(0.0)).max(MIN_RETRY_SECONDS);
    Duration::from_secs_f64((excess * (1.0 + jitter * 0.25)).min(MAX_RETRY_SECONDS))
}
