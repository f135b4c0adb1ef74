//! Measures how fast engines prefill, and applies what the fleet has measured.
//!
//! Load pattern: engines of one service that differ in speed. If all count as equal, slow ones are sent as much as fast ones,
//! and streams that tolerate only short pauses run where each step takes longest. Without this, a seventh of the streams of
//! the strictest class pause for too long on a day without any disturbance, nearly all of them at slow engines.
//!
//! A prompt whose prefill is known and that nothing waits ahead of shows its engine's rate. Waits that the node doesn't know
//! of make a sample too slow, never too fast, so the estimate is taken from the fastest samples (`calibration`).
//!
//! Engines of a kind whose rate is known aren't measured (`Server::is_measured`): while they are busy all the time, no prompt
//! is prefilled without a wait, and what is measured then is worse than what is known.
//!
//! The assumed rate applies to engines near it, and engines of nearly equal speed count as equal: neither their order nor what
//! is weighed then changes with each new estimate.

use std::time::{Duration, Instant};

use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::pool::Pool;
use crate::prefix;
use crate::scheduler::Scheduler;
use crate::server;

/// Ratio of two rates up to which they count as equal. Engines of one kind differ by up to a third, and a sample
/// contains some ms that aren't prefill.
const NEARLY_EQUAL: f64 = 1.4;
/// Shortest prefill of a sample in tokens: below it, round trips outweigh the prefill.
const MIN_SAMPLE_TOKENS: u32 = 1_000;
/// Largest part of a sample's tokens of which it isn't known whether the engine had cached them.
const MAX_UNCERTAIN_PART: f64 = 0.25;
/// Age up to which a part that an engine has prefilled counts as certainly cached.
const SURELY_CACHED_FOR: Duration = Duration::from_secs(2);
/// Time from a send to the first token that isn't prefill: round trips, and the decoding step.
const OVERHEAD_SECONDS: f64 = 0.01;
/// Prefill known to be ahead of a prompt up to which its sample counts, in seconds.
const MAX_AHEAD_SECONDS: f64 = 0.002;
/// Samples kept until they are taken; more than a node gets between two reports.
const MAX_SAMPLES: usize = 64;

derives::data! {
    /// The rate at which an engine prefilled one prompt.
    #[derive(Copy, Eq)]
    pub struct RateSample {
        /// The engine.
        pub server: ids::Server,
        /// Prompt tokens per second.
        pub tokens_per_second: u32,
    }
}

/// What a first token showed of its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub(crate) server: ids::Server,
    /// Seconds from the send to the first token.
    pub(crate) took: f64,
    /// Seconds of prefill known to be ahead of the prompt when it was sent.
    pub(crate) ahead: f64,
}

/// Samples that wait to be taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples(Vec<RateSample>);

impl Samples {
    fn push(&mut self, sample: RateSample) {
        if self.0.len() < MAX_SAMPLES {
            self.0.push(sample);
        }
    }
}

impl server::State {
    /// Prompt tokens that the engine prefills per second: the measured rate if it differs clearly from the assumed one;
    /// none for a server without prefill.
    pub(crate) fn prefill_rate(&self) -> Option<f64> {
        let assumed = f64::from(self.terms.prefill_rate?.max(1));
        let measured = self.measured_rate.map_or(assumed, f64::from);
        Some(if nearly_equal(measured, assumed) { assumed } else { measured })
    }
}

fn nearly_equal(a: f64, b: f64) -> bool {
    a / b <= NEARLY_EQUAL && b / a <= NEARLY_EQUAL
}

/// Speeds of the engines of a pool, relative to their median. All are 1 where they are nearly equal.
#[derive(Clone, Debug)]
pub(crate) struct Speeds {
    pub(crate) median: f64,
    /// Whether any engine's speed isn't 1.
    pub(crate) differ: bool,
}

impl Speeds {
    /// The speeds of engines with the given prefill rates.
    pub(crate) fn new(rates: impl Iterator<Item = f64>) -> Self {
        let mut rates: Vec<f64> = rates.collect();
        if rates.is_empty() {
            return Speeds { median: 1.0, differ: false };
        }
        let middle = rates.len() / 2;
        let median = *rates.select_nth_unstable_by(middle, f64::total_cmp).1;
        let differ = rates.iter().any(|rate| !nearly_equal(*rate, median));
        Speeds { median, differ }
    }

    /// Speed of an engine.
    pub(crate) fn of(&self, state: &server::State) -> f64 {
        let rate = state.measured_rate.or(state.terms.prefill_rate).map_or(self.median, f64::from);
        if nearly_equal(rate, self.median) { 1.0 } else { rate / self.median }
    }

    /// Class by which an engine is ordered, the fastest first; 0 for the median.
    pub(crate) fn class(&self, state: &server::State) -> i32 {
        -((self.of(state).ln() / NEARLY_EQUAL.ln()).trunc() as i32)
    }
}

impl Scheduler {
    /// Takes the rates that this node has measured since the last call, to report them.
    ///
    /// ```
    /// assert!(policy::Scheduler::new().take_rate_samples().is_empty());
    /// ```
    pub fn take_rate_samples(&mut self) -> Vec<RateSample> {
        std::mem::take(&mut self.rate_samples.0)
    }

    /// Sets the rates that the fleet has measured of engines; the assumed rate applies to those without one, and to those
    /// that aren't to be measured.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// scheduler.set_measured_rates([(ids::Server::default(), Some(40_000))]);
    /// ```
    pub fn set_measured_rates(
        &mut self,
        rates: impl IntoIterator<Item = (ids::Server, Option<u32>)>,
    ) {
        if !self.switches.is_on(Mechanism::MeasuredRates) {
            return;
        }
        let mut changed = false;
        for (server, rate) in rates {
            if let Some(state) = self.servers.get_mut(server) {
                let rate = rate.filter(|_| state.terms.is_measured);
                changed |= state.measured_rate != rate;
                state.measured_rate = rate;
            }
        }
        if changed {
            self.rebuild_pools();
        }
    }

    /// Speed of a server relative to the others of a pool.
    pub(crate) fn relative_speed(&self, pool: &Pool, server: ids::Server) -> f64 {
        pool.speeds.of(&self.servers[server])
    }

    /// Records the rate that the first token of a request shows, if it is certain how much its engine had to prefill and
    /// that nothing was ahead of it.
    pub(crate) fn record_rate_sample(&mut self, job: ids::Job, seen: Observation, now: Instant) {
        let Some(pending) = self.jobs.get(job) else { return };
        if !self.switches.is_on(Mechanism::MeasuredRates) {
            return;
        }
        let Some(tokens) = self.certain_prefill(pending, seen, now) else { return };
        let seconds = seen.took - OVERHEAD_SECONDS;
        if seconds > 0.0 {
            let tokens_per_second = (tokens / seconds).round() as u32;
            self.rate_samples.push(RateSample { server: seen.server, tokens_per_second });
        }
    }

    /// Tokens that an engine had to prefill for a request, with the attention to earlier tokens counted as further ones;
    /// none unless that is certain. Call it before the request's own parts are recorded as prefilled.
    fn certain_prefill(&self, pending: &Pending, seen: Observation, now: Instant) -> Option<f64> {
        let is_measured =
            self.servers.get(seen.server).is_some_and(|state| state.terms.is_measured);
        let fetched = pending.expected.is_some_and(|expected| expected.fetch.is_some());
        if !is_measured || seen.ahead > MAX_AHEAD_SECONDS || fetched {
            return None;
        }
        let (prompt, shared) = (pending.request.prompt_tokens, pending.request.shared_tokens());
        let sent = seen.took;
        let before_send = now.checked_sub(Duration::from_secs_f64(sent))?;
        let since = before_send.checked_sub(SURELY_CACHED_FOR)?;
        let cached =
            self.prefixes.surely_cached_tokens(&pending.request.shared, seen.server, since);
        let uncertain = shared.saturating_sub(cached);
        let certain = prompt.saturating_sub(shared);
        let enough = certain >= MIN_SAMPLE_TOKENS
            && f64::from(uncertain) <= f64::from(certain) * MAX_UNCERTAIN_PART;
        enough.then(|| prefix::prefill_work(shared, prompt))
    }
}

#[cfg(test)]
mod tests;
