//! How fast an engine reads, against what its kind is taken to.
//!
//! Pattern: engines that read half as fast as those the figures were taken from, and one of several that
//! has turned slow. Taken at its nominal speed, an engine that is five times slower seems to be through
//! with its prompts long before it is, and gets as many as all others: on a heavy day a fifth of those who
//! missed their first-token target waited for one such engine, seven seconds where one was expected.
//!
//! What is learned is the ratio of seen to expected times, as a mean of logarithms: ratios of a half and of
//! two cancel out.

use std::time::{Duration, Instant};

/// What was seen counts half after this: as long as some ten first tokens of a busy engine.
const HALF: Duration = Duration::from_secs(3);
/// An expected time of so many seconds counts as one whole observation; shorter ones say less, since
/// what can't be seen of an engine's steps makes a larger part of them.
const WHOLE: f64 = 0.2;
/// Ratios beyond this and its inverse count as it: one that hangs is known by other signs.
const MOST: f64 = 10.0;
/// Observations of an engine that weigh as much as what is known of all engines of its kind.
const PRIOR: f64 = 1.0;

/// Logarithms of ratios, weighted and fading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Pace {
    sum: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Pace {
    pub(crate) fn of(sum: f64, weight: f64, now: Instant) -> Self {
        Pace { sum, weight: weight.max(0.0), at: Some(now) }
    }

    /// Takes in a time that was seen where another was expected, in seconds.
    pub(crate) fn add(&mut self, seen: f64, expected: f64, now: Instant) {
        if expected <= 0.0 {
            return;
        }
        let weight = (expected / WHOLE).min(1.0);
        let ratio = (seen / expected).clamp(MOST.recip(), MOST);
        let (sum, held) = self.faded(now);
        *self = Pace::of(sum + ratio.ln() * weight, held + weight, now);
    }

    /// The sum and the weight, as they count now.
    pub(crate) fn faded(&self, now: Instant) -> (f64, f64) {
        let Some(at) = self.at else { return (0.0, 0.0) };
        let age = now.saturating_duration_since(at).as_secs_f64() / HALF.as_secs_f64();
        let keep = (-age).exp2();
        (self.sum * keep, self.weight * keep)
    }

    /// The ratio that follows from these observations where nothing else is known.
    pub(crate) fn alone(&self, now: Instant) -> f64 {
        let (sum, weight) = self.faded(now);
        (sum / (weight + PRIOR)).exp()
    }

    /// The ratio of an engine: what this node and others saw of it, leaning on `usual`, that of all.
    pub(crate) fn ratio(&self, others: &Pace, usual: f64, now: Instant) -> f64 {
        let ((own, seen), (heard, told)) = (self.faded(now), others.faded(now));
        ((own + heard + usual.ln() * PRIOR) / (seen + told + PRIOR)).exp()
    }
}

#[cfg(test)]
mod tests;
