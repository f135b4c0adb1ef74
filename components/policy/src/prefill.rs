//! Estimates how long a prompt waits at an engine until its prefill starts.
//!
//! Load pattern: prompts of different lengths. An engine prefills prompts one after the other between the
//! tokens of its streams, so its count of requests says little: one long prompt delays a first token as much
//! as dozens of short ones. Without this, the server with the fewest requests is often the one with the most
//! prefill ahead.
//!
//! The estimate is the sum of two times: the prefill that is known to be queued, and the recent wait that
//! the known queue doesn't explain. The second is derived from the times to the first tokens.

use std::time::{Duration, Instant};

use crate::priority::{PRIORITIES, PerPriority};

/// Weight of a new wait in the moving average: three in a row show a change.
const WEIGHT: f64 = 0.3;
/// Half-life of an observed wait, in seconds: the prompts that caused it have been prefilled by then.
const HALF_LIFE_SECONDS: f64 = 0.5;
/// Fraction by which the base latency may rise with each first token, to follow an engine whose batch
/// fills.
const BASE_LATENCY_RISE: f64 = 0.01;

/// Age up to which reports of other nodes count: several intervals between them.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// The first token of a prompt that this node sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstToken {
    pub(crate) priority: u8,
    /// Estimated seconds of the prompt's prefill.
    pub(crate) prefill: f64,
    /// Seconds of other prompts that were known to be prefilled before it.
    pub(crate) queued_ahead: f64,
    /// Seconds from the send to the first token.
    pub(crate) took: f64,
}

/// What other nodes reported of their requests at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peers {
    /// Seconds of prefill that is queued or runs.
    pub(crate) queued: PerPriority,
    /// Seconds by which the most overdue of them waits too long for its first token.
    pub(crate) overdue: PerPriority,
    /// Slots that they occupy or wait for.
    pub(crate) occupied: PerPriority,
    /// When one of them last received a first token.
    pub(crate) last_first_token: Option<Instant>,
}

/// An exponential moving average of waits, which decays while none is observed.
#[derive(Clone, Copy, Debug, Default)]
struct Wait {
    seconds: f64,
    observed: Option<Instant>,
}

impl Wait {
    fn record(&mut self, seconds: f64, now: Instant) {
        let current = self.current(now);
        *self = Wait { seconds: current + (seconds - current) * WEIGHT, observed: Some(now) };
    }

    fn current(&self, now: Instant) -> f64 {
        let Some(observed) = self.observed else { return 0.0 };
        let age = now.saturating_duration_since(observed).as_secs_f64();
        self.seconds * (-age / HALF_LIFE_SECONDS).exp2()
    }
}

/// Estimates of the prefill at one engine; all times in seconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimator {
    /// Prefill of this node's prompts without a first token yet.
    own_queued: PerPriority,
    /// What other nodes reported, and when that was received.
    peers: Option<(Peers, Instant)>,
    /// When another node last received a first token.
    last_peer_first_token: Option<Instant>,
    /// Waits beyond what was known to be queued, by priority of the prompt.
    waits: [Wait; PRIORITIES],
    /// When this node last received a first token.
    last_own_first_token: Option<Instant>,
    /// Least time from a send to a first token beyond the prompt's own prefill.
    base_latency: Option<f64>,
}

impl Estimator {
    /// Adds a prompt with its estimated prefill time.
    pub(crate) fn prompt_sent(&mut self, priority: u8, seconds: f64) {
        self.own_queued.add(priority, seconds);
    }

    /// Removes a prompt that was sent, once it is prefilled or its attempt has ended.
    pub(crate) fn prompt_done(&mut self, priority: u8, seconds: f64) {
        self.own_queued.add(priority, -seconds);
    }

    /// Prefill of this node's prompts that is queued or runs.
    pub(crate) fn own_queued(&self) -> PerPriority {
        self.own_queued
    }

    /// Takes in what other nodes reported.
    pub(crate) fn set_peers(&mut self, peers: Peers, now: Instant) {
        self.last_peer_first_token = self.last_peer_first_token.max(peers.last_first_token);
        self.peers = Some((peers, now));
    }

    fn current_peers(&self, now: Instant) -> Option<Peers> {
        self.peers.filter(|(_, received)| now < *received + MAX_REPORT_AGE).map(|(peers, _)| peers)
    }

    /// Time since other nodes last reported of the engine; none if they reported nothing.
    pub(crate) fn peers_age(&self, now: Instant) -> Option<Duration> {
        self.peers.map(|(_, received)| now.saturating_duration_since(received))
    }

    /// Seconds by which other nodes' most overdue prompt of a priority or a higher one waits too long.
    pub(crate) fn peer_overdue(&self, priority: u8, now: Instant) -> f64 {
        self.current_peers(now).map_or(0.0, |peers| peers.overdue.max_up_to(priority))
    }

    /// Slots that other nodes' requests of a priority or a higher one occupy or wait for.
    pub(crate) fn peer_occupied(&self, priority: u8, now: Instant) -> f64 {
        self.current_peers(now).map_or(0.0, |peers| peers.occupied.sum_up_to(priority))
    }

    /// Slots that other nodes' requests of the marked priorities occupy or wait for.
    pub(crate) fn peer_occupied_by(&self, marked: [bool; PRIORITIES], now: Instant) -> f64 {
        self.current_peers(now).map_or(0.0, |peers| peers.occupied.sum_of(marked))
    }

    /// When the engine last sent a first token, as far as any node reported.
    pub(crate) fn last_first_token(&self) -> Option<Instant> {
        self.last_own_first_token.max(self.last_peer_first_token)
    }

    /// Records the first token of a prompt: what it waited beyond its own prefill and the queue that was
    /// known ahead of it updates the estimates.
    pub(crate) fn record_first_token(&mut self, prompt: FirstToken, now: Instant) {
        let FirstToken { priority, prefill, queued_ahead, took } = prompt;
        self.prompt_done(priority, prefill);
        let rest = (took - prefill).max(0.0);
        let base =
            self.base_latency.map_or(rest, |base| (base * (1.0 + BASE_LATENCY_RISE)).min(rest));
        self.base_latency = Some(base);
        let unexplained = (rest - base - queued_ahead).max(0.0);
        self.waits[usize::from(priority).min(PRIORITIES - 1)].record(unexplained, now);
        self.last_own_first_token = Some(now);
    }

    /// When this node last received a first token.
    pub(crate) fn last_own_first_token(&self) -> Option<Instant> {
        self.last_own_first_token
    }

    /// Recent wait that the known queue doesn't explain, of prompts of a priority or a higher one. Prompts
    /// of lower priority are left out: they are prefilled later, so their waits say nothing about this one.
    fn recent_wait(&self, priority: u8, now: Instant) -> f64 {
        let up_to = self.waits.iter().take(usize::from(priority) + 1);
        up_to.map(|wait| wait.current(now)).fold(0.0, f64::max)
    }

    /// Prefill that is known to be queued before a prompt of a priority sent now.
    pub(crate) fn queued_ahead(&self, priority: u8, now: Instant) -> f64 {
        self.own_queued.sum_up_to(priority)
            + self.current_peers(now).map_or(0.0, |peers| peers.queued.sum_up_to(priority))
    }

    /// Expected time until the prefill of a prompt of a priority sent now starts.
    pub(crate) fn backlog(&self, priority: u8, now: Instant) -> f64 {
        self.queued_ahead(priority, now) + self.recent_wait(priority, now)
    }

    /// Least time from a send to a first token beyond the prompt's own prefill.
    pub(crate) fn base_latency(&self) -> f64 {
        self.base_latency.unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests;
