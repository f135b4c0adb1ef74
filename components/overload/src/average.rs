//! Sums whose parts lose weight with age.

use std::time::Instant;

use crate::HALF_LIFE;

/// An exponentially decaying sum.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Average {
    sum: f64,
    at: Option<Instant>,
}

impl Average {
    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        *self = Average { sum: self.sum(now) + amount, at: Some(now) };
    }

    /// The sum, decayed up to `now`.
    pub(crate) fn sum(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.sum * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// The recent amount per second.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.sum(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}
