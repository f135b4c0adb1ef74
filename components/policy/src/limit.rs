//! How many requests a backend server is given at once, from the token intervals it shows.
//!
//! Pattern: a backend server that slows as its batch fills, or that others load as well. Without a
//! limit that follows, every stream on it misses the token interval of its class.
//!
//! Additive increase and multiplicative decrease: the way that converges when several nodes adapt
//! at once without talking.

use std::time::{Duration, Instant};

/// At most one change in this time: two load reports, so that a change shows before the next one.
const HOLD: Duration = Duration::from_secs(1);
/// An interval this much above the target lowers the limit; below it, the noise of batches rules.
const ABOVE: f64 = 1.1;
/// An interval below this part of the target lets the limit grow.
const BELOW: f64 = 0.9;
/// Decrease by a tenth: ten seconds from full to a third, faster than any class's deadline.
const DECREASE: f64 = 0.9;
/// Never below this part of the places, so that a server which recovers is noticed.
const FLOOR: f64 = 0.25;
/// The limit falls only while intervals are this much above the lowest that the server showed: one
/// that is slow by itself isn't mended by less work, and loses what it could still do.
const LOADED: f64 = 1.7;
/// The lowest interval is let rise by this part with each look, to follow a model that changes.
const RISE: f64 = 0.001;

/// The part of a backend server's places that is in use, between [`FLOOR`] and 1.
#[derive(Debug)]
pub(crate) struct Limit {
    part: f64,
    lowest: f64,
    changed: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Self {
        Limit { part: 1.0, lowest: f64::INFINITY, changed: None }
    }
}

impl Limit {
    /// Takes in a token interval, given the target, and the server's places.
    pub(crate) fn observe(&mut self, interval: f64, target: f64, slots: u32, now: Instant) {
        if self.changed.is_some_and(|at| now.saturating_duration_since(at) < HOLD) {
            return;
        }
        self.lowest = (self.lowest * (1.0 + RISE)).min(interval);
        if interval > target * ABOVE && interval > self.lowest * LOADED {
            self.part = (self.part * DECREASE).max(FLOOR);
            self.changed = Some(now);
        } else if interval < target * BELOW && self.part < 1.0 {
            self.part = (self.part + 1.0 / f64::from(slots.max(1))).min(1.0);
            self.changed = Some(now);
        }
    }

    /// Of so many places, those in use; at least one.
    pub(crate) fn usable_slots(&self, places: u32) -> u32 {
        if places == 0 {
            return 0;
        }
        ((f64::from(places) * self.part).round() as u32).max(1)
    }
}

#[cfg(test)]
mod tests;
