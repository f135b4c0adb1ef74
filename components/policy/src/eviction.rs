//! Weighs what engines evict: follows the use of their memory by requests, and what it means for the next ones.
//!
//! Load pattern: engines whose memory is full of running requests and of prefixes that others will ask for again, see
//! [`crate::memory`]. Nothing here affects engines whose memory isn't stated or isn't crowded.

use std::time::{Duration, Instant};

use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::scheduler::Scheduler;
use crate::server;

/// Horizon below which what a prompt evicts counts towards its cost: sessions ask for their prefixes again within some
/// seconds.
const SHORT_HORIZON: Duration = Duration::from_secs(5);
/// Cost of what is evicted, as a fraction of its prefill time: part of it won't be asked for again.
const EVICTION_FRACTION: f64 = 0.25;

/// What an attempt counts for in the memory of its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    /// Tokens that the request adds while it runs.
    running: u32,
    /// Prompt tokens that the engine probably had to insert.
    missing: u32,
    /// Tokens that the answer had before the attempt.
    produced_before: u32,
    /// Probability in percent that the engine still cached the prefix that it was known to have.
    pub(crate) survival: Option<u8>,
    /// Time after its last use for which the engine cached a part.
    pub(crate) horizon: Option<Duration>,
}

impl Scheduler {
    /// Tokens that the memory of an engine holds; none if that isn't stated or isn't taken into account.
    ///
    /// ```
    /// assert_eq!(policy::Scheduler::new().cache_tokens(ids::Server::default()), None);
    /// ```
    pub fn cache_tokens(&self, server: ids::Server) -> Option<u32> {
        self.capacity(self.servers.get(server)?)
    }

    fn capacity(&self, state: &server::State) -> Option<u32> {
        state.terms.cache_tokens.filter(|_| self.switches.is_on(Mechanism::CacheMemory))
    }

    /// Sets the tokens that the memory of a backend server holds; none if that is unknown.
    pub fn set_cache_tokens(&mut self, key: ids::Server, tokens: Option<u32>) {
        if let Some(state) = self.servers.get_mut(key) {
            state.terms.cache_tokens = tokens;
        }
    }

    /// Counts a request that is sent to an engine. Call it before its parts are recorded as sent there.
    pub(crate) fn begin_run(&mut self, job: ids::Job, server: ids::Server, now: Instant) {
        self.jobs[job].held = None;
        if self.cache_tokens(server).is_none() {
            return;
        }
        let pending = &self.jobs[job];
        let (prompt, shared) = (pending.request.prompt_tokens, &pending.request.shared);
        let cached = self.expected_cached_tokens(pending, server, now);
        let survival = self.prefixes.survivals(shared, server, now).last();
        let missing = prompt.saturating_sub(cached);
        let held = Held {
            // Requests that run at the same time share what is cached. Counted for each of them, it makes engines seem full,
            // and requests leave those that cache their prefixes.
            running: missing.saturating_add(pending.tokens),
            missing,
            produced_before: pending.produced,
            survival: survival.map(|(_, survival)| (survival * 100.0).round() as u8),
            horizon: self.prefixes.horizon(server),
        };
        self.jobs[job].held = Some(held);
        self.servers[server].memory.run(held.running);
        self.update_horizon(server, now);
    }

    /// Counts the prompt of a request whose first token an engine has sent.
    pub(crate) fn record_inserted(&mut self, job: ids::Job, server: ids::Server, now: Instant) {
        let held = self.jobs.get(job).and_then(|pending| pending.held);
        if let (Some(held), Some(state)) = (held, self.servers.get_mut(server)) {
            state.memory.insert(held.missing, now);
            self.update_horizon(server, now);
        }
    }

    /// Counts a request that no longer runs at an engine: the engine may evict its content from now on.
    pub(crate) fn end_run(&mut self, job: ids::Job, server: ids::Server, now: Instant) {
        let pending = &mut self.jobs[job];
        let Some(held) = pending.held.take() else { return };
        let generated = pending.produced.saturating_sub(held.produced_before);
        let Some(state) = self.servers.get_mut(server) else { return };
        state.memory.end(held.running);
        if generated > 0 {
            state.memory.insert(generated, now);
            self.prefixes.record_end(&self.jobs[job].request, server, now);
        }
        self.update_horizon(server, now);
    }

    /// Updates how long an engine caches a part.
    pub(crate) fn update_horizon(&mut self, server: ids::Server, now: Instant) {
        let Some(state) = self.servers.get(server) else {
            return self.prefixes.set_horizon(server, None);
        };
        let horizon = self.capacity(state).and_then(|capacity| state.memory.horizon(capacity, now));
        self.prefixes.set_horizon(server, horizon);
    }

    /// Updates it for all engines that evict parts early: these are cached for longer once less is inserted.
    pub(crate) fn update_horizons(&mut self, now: Instant) {
        for server in self.prefixes.servers_with_horizons() {
            self.update_horizon(server, now);
        }
    }

    /// Tokens that this node's requests occupy in the memory of an engine, and those that they inserted there in 8 s; 0 if
    /// that needn't be reported.
    pub(crate) fn memory_to_report(&self, state: &server::State, now: Instant) -> (f64, f64) {
        let memory = &state.memory;
        let reported = self
            .capacity(state)
            .filter(|capacity| memory.may_crowd(*capacity, self.fleet_nodes, now));
        reported.map_or((0.0, 0.0), |_| (memory.running() as f64, memory.inserted(now)))
    }

    /// Seconds until enough of what runs at an engine has ended that a request fits into its memory.
    pub(crate) fn memory_wait(
        &self,
        pending: &Pending,
        state: &server::State,
        now: Instant,
    ) -> f64 {
        let Some(capacity) = self.capacity(state) else { return 0.0 };
        let tokens = pending.request.prompt_tokens.saturating_add(pending.tokens);
        let answer_seconds = f64::from(pending.tokens) * state.token_interval();
        state.memory.shortage(tokens, capacity, now) * answer_seconds
    }

    /// Cost in seconds of what a prompt evicts at an engine that takes `prefill` seconds for it.
    pub(crate) fn eviction_cost(&self, server: ids::Server, prefill: f64) -> f64 {
        let evicts = self.prefixes.horizon(server).is_some_and(|horizon| horizon < SHORT_HORIZON);
        if evicts { prefill * EVICTION_FRACTION } else { 0.0 }
    }
}
