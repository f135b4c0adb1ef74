//! Measures the time between tokens at engines that prefill all the time.
//!
//! Load pattern: classes that tolerate pauses of different lengths, at engines of any kind. Between two tokens of a stream an
//! engine prefills one chunk of a prompt, so how long a stream waits for its next token beside long prompts depends on the
//! size of the chunks and on the engine. A class that tolerates that wait can share engines with long prompts; one that
//! doesn't needs engines of its own. With the figure of one kind of engine for all, classes are kept apart that needn't be:
//! some engines are full while others have time to spare, and borders between groups move with each wave.
//!
//! Intervals count while the engine has prefill queued, from one token to the next. What is queued is only known as of the
//! last reports, so some of them are from engines that prefilled for a part of the time or were idle. They are left out: the
//! figure is the median of the longer ones.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::mechanism::Mechanism;
use crate::scheduler::Scheduler;

/// Assumed seconds between tokens at an engine that prefills all the time.
pub(crate) const ASSUMED_SECONDS: f64 = 0.075;
/// Bounds of a measured interval, as a multiple of the assumed one, between which the assumed one applies. Classes whose
/// tolerance is near it would otherwise change their group with each new measurement.
const NEAR_ASSUMED: std::ops::RangeInclusive<f64> = 0.75..=1.33;
/// Change of the interval, as a part of it, that is applied: a smaller one isn't worth the move of a class.
const NOTICEABLE_CHANGE: f64 = 0.1;
/// Prefill that an engine must have queued to count as prefilling all the time, in seconds: several chunks.
const BUSY_SECONDS: f64 = 0.15;
/// Time for which an interval counts.
const LIFETIME: Duration = Duration::from_secs(10);
/// Intervals that a node keeps.
const MAX_SAMPLES: usize = 128;
/// Intervals over all nodes from which on their mean counts.
const MIN_FLEET_SAMPLES: u32 = 300;
/// Quantile of the intervals that counts as a long one.
const LONG_QUANTILE: f64 = 0.9;
/// Intervals of at least this part of a long one are from engines that prefilled all the time.
const LONG_PART: f64 = 0.5;
/// Time for which a longer interval applies after it was last measured: engines may have been idle since.
const HELD_FOR: Duration = Duration::from_secs(60);

derives::data! {
    /// The time between tokens at engines that prefill all the time, as measured by one or more nodes.
    #[derive(Copy, Default)]
    pub struct Interval {
        /// Seconds between tokens at an engine of median speed.
        pub seconds: f64,
        /// Number of measurements.
        pub samples: u32,
    }
}

/// The intervals that this node has measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples(VecDeque<(Instant, f64)>);

impl Samples {
    fn record(&mut self, seconds: f64, now: Instant) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back((now, seconds));
    }

    /// The median of the long ones among those that count.
    fn typical(&self, now: Instant) -> Interval {
        let recent = self.0.iter().filter(|(at, _)| now < *at + LIFETIME);
        let mut recent: Vec<f64> = recent.map(|(_, seconds)| *seconds).collect();
        if recent.is_empty() {
            return Interval::default();
        }
        recent.sort_unstable_by(f64::total_cmp);
        let long = recent[(recent.len() as f64 * LONG_QUANTILE) as usize];
        let first = recent.partition_point(|seconds| *seconds < long * LONG_PART);
        let seconds = recent[(first + recent.len()) / 2];
        Interval { seconds, samples: recent.len() as u32 }
    }
}

/// The longest interval that was measured in the last time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    seconds: f64,
    measured: Option<Instant>,
}

impl Held {
    fn update(&mut self, seconds: f64, now: Instant) {
        let expired = self.measured.is_none_or(|measured| now >= measured + HELD_FOR);
        if seconds >= self.seconds || expired {
            *self = Held { seconds, measured: Some(now) };
        }
    }

    /// The interval that applies, in seconds.
    fn effective_seconds(self) -> f64 {
        let near = NEAR_ASSUMED.contains(&(self.seconds / ASSUMED_SECONDS));
        if near { ASSUMED_SECONDS } else { self.seconds }
    }
}

impl Scheduler {
    /// The time between tokens at engines that prefill all the time, as this node has measured it, to report it.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// assert_eq!(policy::Scheduler::new().prefilling_interval(now).samples, 0);
    /// ```
    pub fn prefilling_interval(&self, now: Instant) -> Interval {
        self.prefilling.typical(now)
    }

    /// Sets the mean of [`Scheduler::prefilling_interval`] over all nodes, weighted by their samples. Returns the seconds
    /// that apply from now on if they changed by more than a tenth.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// let interval = policy::Interval { seconds: 0.03, samples: 500 };
    /// let now = std::time::Instant::now();
    /// assert_eq!(scheduler.set_prefilling_interval(interval, now), Some(0.03));
    /// assert_eq!(scheduler.set_prefilling_interval(interval, now), None);
    /// ```
    pub fn set_prefilling_interval(&mut self, interval: Interval, now: Instant) -> Option<f64> {
        if !self.switches.is_on(Mechanism::MeasuredRates) || interval.samples < MIN_FLEET_SAMPLES {
            return None;
        }
        let applied = self.prefilling_seconds;
        self.prefilling_held.update(interval.seconds, now);
        let seconds = self.prefilling_held.effective_seconds();
        if (seconds / applied - 1.0).abs() <= NOTICEABLE_CHANGE {
            return None;
        }
        self.prefilling_seconds = seconds;
        Some(seconds)
    }

    /// Records the time between two tokens of a request, if its engine had prefill queued all the while.
    pub(crate) fn record_prefilling_interval(
        &mut self,
        job: ids::Job,
        server: ids::Server,
        interval: Duration,
        now: Instant,
    ) {
        let Some(state) = self.servers.get(server) else { return };
        let queued = state.prefill.queued_ahead(u8::MAX, now);
        let busy = state.terms.is_measured && queued >= BUSY_SECONDS;
        let Some(pending) = self.jobs.get_mut(job) else { return };
        let was_busy = std::mem::replace(&mut pending.busy_engine, busy);
        let pool = &self.pools[pending.pool];
        if busy && was_busy && self.switches.is_on(Mechanism::MeasuredRates) {
            let seconds = interval.as_secs_f64() * pool.speeds.of(state);
            self.prefilling.record(seconds, now);
        }
    }
}

#[cfg(test)]
mod tests;
