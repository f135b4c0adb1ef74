//! Which backend servers are left out for a while, and how they come back.
//!
//! Patterns: a backend server that crashes and refuses connections at once. It looks idle, so without
//! this the least loaded choice sends everything to it, and attempts run out. And one that fails a
//! part of its requests: it never fails often enough in a row to be left out, and a charge that it
//! loses is lost for good; so the part that failed of late counts against it beside its load. And one
//! that hangs: its attempts end only as callers lose patience, and what was known by them goes too.

use std::time::{Duration, Instant};

/// Failures in a row that leave a server out: one may be chance, two at a place that served before
/// rarely are.
const FAILURES: u32 = 2;
/// First time out; a process restarts in about that time.
const FIRST: Duration = Duration::from_millis(500);
/// Longest time out, so that a server which is back is found within ten seconds.
const LONGEST: Duration = Duration::from_secs(8);

/// Weight of an attempt's end in the part that failed: ten attempts show a change.
const WEIGHT: f64 = 0.1;
/// The part that failed counts half after this time, so that a server which is well again is found.
const HALF: Duration = Duration::from_secs(3);

/// What attempts at one backend server tell of it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    until: Option<Instant>,
    /// When it was left out last.
    since: Option<Instant>,
    /// Part of the attempts of late that failed.
    part: f64,
    ended: Option<Instant>,
}

impl Health {
    /// An attempt got an answer.
    pub(crate) fn record_response(&mut self) {
        self.failures = 0;
        self.until = None;
    }

    /// An attempt ended, well or not.
    pub(crate) fn record_outcome(&mut self, well: bool, now: Instant) {
        let held = self.failure_rate(now);
        let sample = if well { 0.0 } else { 1.0 };
        self.part = held + (sample - held) * WEIGHT;
        self.ended = Some(now);
    }

    /// Part of the attempts of late that failed.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        let Some(ended) = self.ended else { return 0.0 };
        let age = now.saturating_duration_since(ended).as_secs_f64() / HALF.as_secs_f64();
        self.part * (-age).exp2()
    }

    /// An attempt failed. `jitter` is from 0 to 1 and keeps nodes from probing in step.
    pub(crate) fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILURES {
            return;
        }
        let doublings = (self.failures - FAILURES).min(8);
        let time = (FIRST * (1 << doublings)).min(LONGEST);
        self.until = Some(now + time.mul_f64(0.75 + jitter / 2.0));
        self.since = Some(now);
    }

    /// An attempt sent at `sent` was given up, and the server has begun nothing since. That is no
    /// chance; of several that were there at once only the first says something new.
    pub(crate) fn record_stall(&mut self, sent: Instant, now: Instant, jitter: f64) {
        if self.since.is_some_and(|since| sent < since) {
            return;
        }
        self.failures = self.failures.max(FAILURES - 1);
        self.record_failure(now, jitter);
    }

    /// Left out now.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Back on probation: one request at a time until one is answered.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.until.is_some()
    }
}

#[cfg(test)]
mod tests;
