//! A token bucket, refilled by time or by events, whose balance may become negative.

use std::time::Instant;

/// A balance up to a capacity.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    balance: f64,
    capacity: f64,
    last_refill: Option<Instant>,
}

impl Bucket {
    /// A full bucket.
    pub(crate) fn new(capacity: f64) -> Self {
        Bucket { balance: capacity, capacity, last_refill: None }
    }

    /// An empty bucket.
    pub(crate) fn empty(capacity: f64) -> Self {
        Bucket { balance: 0.0, capacity, last_refill: None }
    }

    /// Changes the capacity; a balance above it is lost.
    pub(crate) fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.balance = self.balance.min(capacity);
    }

    /// Adds an amount, up to the capacity; returns how much was added.
    pub(crate) fn add(&mut self, amount: f64) -> f64 {
        let before = self.balance;
        self.balance = (before + amount).min(self.capacity);
        self.balance - before
    }

    /// Adds the amount due since the last refill; `rate` is per second.
    pub(crate) fn refill(&mut self, rate: f64, now: Instant) {
        let last = self.last_refill.replace(now).unwrap_or(now);
        self.add(rate * now.saturating_duration_since(last).as_secs_f64());
    }

    /// The balance as a fraction of the capacity.
    pub(crate) fn fill_ratio(&self) -> f64 {
        if self.capacity > 0.0 { self.balance / self.capacity } else { 0.0 }
    }

    /// The balance.
    pub(crate) fn balance(&self) -> f64 {
        self.balance
    }

    /// Takes an amount if the balance covers it; returns whether it did.
    pub(crate) fn try_take(&mut self, amount: f64) -> bool {
        if self.balance < amount {
            return false;
        }
        self.balance -= amount;
        true
    }

    /// Takes an amount that was already spent, whatever the balance, down to minus the capacity.
    pub(crate) fn overdraw(&mut self, amount: f64) {
        self.balance = (self.balance - amount).max(-self.capacity);
    }
}
