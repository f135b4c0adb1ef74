//! Adapts the number of requests that a backend server runs at once to its token intervals.
//!
//! Load pattern: a backend server that slows down as its batch fills, or that other callers load as well.
//! Without an adaptive limit, every stream on it misses the token interval of its class.
//!
//! The limit follows additive increase and multiplicative decrease, which converges when several nodes adapt
//! at once without communicating.

use std::time::{Duration, Instant};

/// Least time between two changes: two load reports, so that the effect of one shows before the next.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Token intervals above this multiple of the target lower the limit; smaller excesses are batching noise.
const DECREASE_ABOVE: f64 = 1.1;
/// Token intervals below this multiple of the target raise the limit.
const INCREASE_BELOW: f64 = 0.9;
/// Factor of one decrease: the limit falls from all slots to a third in ten seconds, sooner than the deadline
/// of any class.
const DECREASE: f64 = 0.9;
/// Least fraction of the slots in use, so that a server's recovery is noticed.
const MIN_FRACTION: f64 = 0.25;
/// The limit falls only while token intervals are above this multiple of the server's lowest one: a server
/// that is slow by itself gets no faster with less work, and would only serve fewer streams.
const UNDER_LOAD: f64 = 1.7;
/// Relative rise of the lowest token interval with each observation, to follow a server whose model changes.
const LOWEST_RISE: f64 = 0.001;

/// The fraction of a backend server's slots that is in use, from [`MIN_FRACTION`] to 1.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    fraction: f64,
    /// Lowest token interval, in seconds.
    lowest_interval: f64,
    last_change: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Limit { fraction: 1.0, lowest_interval: f64::INFINITY, last_change: None }
    }
}

impl Limit {
    /// Adapts the limit to a token interval and its target, both in seconds, at a server with so many slots.
    pub(crate) fn observe(&mut self, interval: f64, target: f64, slots: u32, now: Instant) {
        if self.last_change.is_some_and(|at| now.saturating_duration_since(at) < CHANGE_INTERVAL) {
            return;
        }
        self.lowest_interval = (self.lowest_interval * (1.0 + LOWEST_RISE)).min(interval);
        if interval > target * DECREASE_ABOVE && interval > self.lowest_interval * UNDER_LOAD {
            self.fraction = (self.fraction * DECREASE).max(MIN_FRACTION);
            self.last_change = Some(now);
        } else if interval < target * INCREASE_BELOW && self.fraction < 1.0 {
            self.fraction = (self.fraction + 1.0 / f64::from(slots.max(1))).min(1.0);
            self.last_change = Some(now);
        }
    }

    /// The number of usable slots out of so many; at least one unless there are none.
    pub(crate) fn usable_slots(&self, slots: u32) -> u32 {
        if slots == 0 {
            return 0;
        }
        ((f64::from(slots) * self.fraction).round() as u32).max(1)
    }
}

#[cfg(test)]
mod tests;
