//! A token bucket: an amount that fills with time or with work and is spent.

use std::time::Instant;

/// An amount up to a ceiling.
#[derive(Debug)]
pub(crate) struct Bucket {
    held: f64,
    ceiling: f64,
    filled: Option<Instant>,
}

impl Bucket {
    /// A full bucket.
    pub(crate) fn new(ceiling: f64) -> Self {
        Bucket { held: ceiling, ceiling, filled: None }
    }

    /// Adds an amount.
    pub(crate) fn add(&mut self, amount: f64) {
        self.held = (self.held + amount).min(self.ceiling);
    }

    /// Adds what has come since the last call at a rate a second.
    pub(crate) fn refill(&mut self, rate: f64, now: Instant) {
        let last = self.filled.replace(now).unwrap_or(now);
        self.add(rate * now.saturating_duration_since(last).as_secs_f64());
    }

    /// Part of the ceiling that is held.
    pub(crate) fn fill_ratio(&self) -> f64 {
        if self.ceiling > 0.0 { self.held / self.ceiling } else { 0.0 }
    }

    /// Spends an amount if it is there.
    pub(crate) fn try_take(&mut self, amount: f64) -> bool {
        if self.held < amount {
            return false;
        }
        self.held -= amount;
        true
    }

    /// Spends an amount, below zero if need be: it was found out after the fact.
    pub(crate) fn overdraw(&mut self, amount: f64) {
        self.held = (self.held - amount).max(-self.ceiling);
    }
}
