//! Ejects backend servers that fail for a while, and takes them back after a probe.
//!
//! Load patterns: a backend server crashes and refuses connections at once. It looks idle, so without
//! ejection the least-loaded choice sends everything there, and requests run out of attempts.
//!
//! A server fails some of its requests. It never fails often enough in a row to be ejected, and a request
//! that may not be repeated, such as a charge, is lost for good; so its recent failure rate counts against it
//! beside its load.
//!
//! A server has started again under another name, and the list of servers is old: each request for the former
//! one is declined by the present one at once.
//!
//! A server stalls. Its attempts end only as callers give up, and what these attempts showed is lost with
//! them; so one that ends this way counts as a failure and ejects the server.

use std::time::{Duration, Instant};

/// Consecutive failures that eject a server: one may be chance, two at a server that worked before rarely are.
const MAX_FAILURES: u32 = 2;
/// First ejection time; a process restarts in about that time.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection time, so that a server that is back is used again within ten seconds.
const LONGEST_EJECTION: Duration = Duration::from_secs(8);

/// Weight of one outcome in the failure rate: ten attempts show a change.
const WEIGHT: f64 = 0.1;
/// Half-life of the failure rate, so that a server that has recovered is used again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// The health of one backend server, by the outcomes of its attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    /// When it was last ejected.
    ejected_at: Option<Instant>,
    /// Its address belonged to another server at the last attempt.
    misdirecting: bool,
    /// Failure rate at the last outcome, from 0 to 1.
    failure_rate: f64,
    last_outcome: Option<Instant>,
}

impl Health {
    /// Records that an attempt got a response, which ends an ejection.
    pub(crate) fn record_response(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = None;
        self.misdirecting = false;
    }

    /// Records the outcome of an attempt in the failure rate.
    pub(crate) fn record_outcome(&mut self, success: bool, now: Instant) {
        let rate = self.failure_rate(now);
        let sample = if success { 0.0 } else { 1.0 };
        self.failure_rate = rate + (sample - rate) * WEIGHT;
        self.last_outcome = Some(now);
    }

    /// The fraction of recent attempts that failed, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        let Some(last) = self.last_outcome else { return 0.0 };
        let age = now.saturating_duration_since(last).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * (-age).exp2()
    }

    /// Records a failed attempt, and ejects the server after several in a row. `jitter` is from 0 to 1 and
    /// keeps nodes from probing the server at the same time.
    pub(crate) fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < MAX_FAILURES {
            return;
        }
        let doublings = (self.consecutive_failures - MAX_FAILURES).min(8);
        let time = (FIRST_EJECTION * (1 << doublings)).min(LONGEST_EJECTION);
        self.ejected_until = Some(now + time.mul_f64(0.75 + jitter / 2.0));
        self.ejected_at = Some(now);
    }

    /// Records that the caller of an attempt that was sent at `sent` gave up, while the server has begun no
    /// answer since. That is no coincidence, so it ejects the server at once. Of several such attempts that were
    /// there together only the first counts: the others show the same stall.
    pub(crate) fn record_stall(&mut self, sent: Instant, now: Instant, jitter: f64) {
        if self.ejected_at.is_some_and(|ejected| sent < ejected) {
            return;
        }
        self.consecutive_failures = self.consecutive_failures.max(MAX_FAILURES - 1);
        self.record_failure(now, jitter);
    }

    /// Records that another server has its address, as an attempt showed that was sent at `sent`. This is certain,
    /// so it ejects the server at once; of attempts that were sent together only the first counts.
    pub(crate) fn record_misdirected(&mut self, sent: Instant, now: Instant, jitter: f64) {
        self.misdirecting = true;
        self.record_stall(sent, now, jitter);
    }

    /// Whether its address belonged to another server at the last attempt.
    pub(crate) fn is_misdirecting(&self) -> bool {
        self.misdirecting
    }

    /// Whether the server is ejected now.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the server was ejected and no attempt got a response since: it gets one request at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }
}

#[cfg(test)]
mod tests;
