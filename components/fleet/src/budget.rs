//! Limits the bytes per second that a sender spends on control traffic.
//!
//! Control traffic grows with the fleet, and when much changes at once. Without a budget it would take
//! the narrow link between regions from callers just when they need it most. With a budget, what peers
//! know becomes older instead, and every decision that uses it has a bound on its age.

use std::time::{Duration, Instant};

/// Largest burst, as time at the full rate. Two seconds are enough for the start of a node, when
/// everything has to be sent once to each peer of a cell of eight.
const MAX_BURST: Duration = Duration::from_secs(2);

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    tokens: f64,
    updated: Instant,
}

impl Budget {
    /// A full bucket with a rate of `rate` bytes per second.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let start = Instant::now();
    /// let mut budget = fleet::budget::Budget::new(1000, start);
    /// budget.spend(2500);
    /// assert_eq!(budget.available(start), 0);
    /// assert_eq!(budget.available(start + Duration::from_secs(1)), 500);
    /// ```
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Budget { rate, tokens: rate * MAX_BURST.as_secs_f64(), updated: now }
    }

    /// Changes the rate, in bytes per second.
    pub fn set_rate(&mut self, rate: u32) {
        self.rate = f64::from(rate);
    }

    /// Number of bytes that may be sent now.
    pub fn available(&mut self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.tokens = (self.tokens + self.rate * elapsed).min(self.rate * MAX_BURST.as_secs_f64());
        self.tokens.max(0.0) as usize
    }

    /// Records bytes that were sent. An answer that has to be given may overdraw the budget; sending then
    /// pauses until the debt is made up.
    pub fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
