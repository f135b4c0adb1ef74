//! Simulates an engine with continuous batching: all running answers get tokens in steps, which take longer
//! the fuller the batch is. Requests without a slot wait in the order of their priority.

use std::collections::{BTreeMap, VecDeque};

use super::pattern::SLOTS;

/// Seconds between tokens for a batch of one.
const TOKEN_SECONDS: f64 = 0.020;
/// Batch size that doubles the time of a step.
const DOUBLING_BATCH: f64 = 16.0;
/// Seconds to prefill a token of a prompt, and the fraction of that if the prompt's prefix is cached.
const PREFILL_SECONDS: f64 = 0.000_25;
const CACHED_FRACTION: f64 = 0.2;
/// Number of prefixes in the cache.
const CACHE_SIZE: usize = 24;
/// Tokens of an answer in one step, which keeps the number of events low.
pub const TOKENS_PER_STEP: u32 = 4;

/// Seconds for which an answer occupies a slot of a full batch.
pub fn service_seconds(prompt: f64, tokens: f64) -> f64 {
    prompt * PREFILL_SECONDS + tokens * TOKEN_SECONDS * (1.0 + f64::from(SLOTS) / DOUBLING_BATCH)
}

/// Generated tokens that occupy a slot for as long as the prefill of a prompt does, rounded up.
pub fn prefill_cost(prompt: u32) -> u64 {
    (f64::from(prompt) * PREFILL_SECONDS / service_seconds(0.0, 1.0)).ceil() as u64
}

/// One attempt of a call at an engine.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub call: usize,
    /// Number of the attempt among those of its call.
    pub number: u32,
    pub prompt: u32,
    /// Tokens of the answer that are left.
    pub left: u32,
    pub prefix: u64,
}

/// An attempt that occupies a slot.
struct Running {
    attempt: Attempt,
    /// When its prefill ends.
    ready: f64,
}

/// An engine and its requests.
#[derive(Default)]
pub struct Engine {
    pub up: bool,
    /// Factor on all its times.
    pub slowdown: f64,
    /// Incremented by a crash; step events of earlier epochs are ignored.
    pub epoch: u64,
    /// Whether the end of a step is scheduled.
    pub stepping: bool,
    running: Vec<Running>,
    queue: BTreeMap<(u8, u64), Attempt>,
    /// Number of attempts received, the order of arrival within a priority.
    number: u64,
    /// Cached prefixes, the least recently used first.
    cache: VecDeque<u64>,
}

impl Engine {
    pub fn new(slowdown: f64) -> Self {
        Engine { up: true, slowdown, ..Engine::default() }
    }

    /// Queues an attempt, and starts it if there is a free slot.
    pub fn push(&mut self, priority: u8, attempt: Attempt, now: f64) {
        self.number += 1;
        self.queue.insert((priority, self.number), attempt);
        self.start_waiting(now);
    }

    /// Gives free slots to waiting attempts.
    fn start_waiting(&mut self, now: f64) {
        while self.running.len() < SLOTS as usize {
            let Some((_, attempt)) = self.queue.pop_first() else { return };
            let hit = self.cache.iter().position(|prefix| *prefix == attempt.prefix);
            if let Some(index) = hit {
                self.cache.remove(index);
            }
            self.cache.push_back(attempt.prefix);
            if self.cache.len() > CACHE_SIZE {
                self.cache.pop_front();
            }
            let fraction = if hit.is_some() { CACHED_FRACTION } else { 1.0 };
            let ready =
                now + f64::from(attempt.prompt) * PREFILL_SECONDS * fraction * self.slowdown;
            self.running.push(Running { attempt, ready });
        }
    }

    /// Seconds between tokens for the current batch.
    pub fn token_seconds(&self) -> f64 {
        TOKEN_SECONDS * self.slowdown * (1.0 + self.running.len() as f64 / DOUBLING_BATCH)
    }

    /// Seconds that the next step takes.
    pub fn step_seconds(&self) -> f64 {
        self.token_seconds() * f64::from(TOKENS_PER_STEP)
    }

    /// Numbers of running and of waiting attempts.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.queue.len() as u32)
    }

    /// Ends a step; returns each attempt that got tokens, their number, and whether its answer is complete.
    pub fn advance(&mut self, now: f64) -> Vec<(Attempt, u32, bool)> {
        let token = self.token_seconds();
        let mut progress = vec![];
        for running in &mut self.running {
            let time =
                ((now - running.ready) / token).floor().clamp(0.0, f64::from(TOKENS_PER_STEP));
            let count = (time as u32).min(running.attempt.left);
            running.attempt.left -= count;
            if count > 0 {
                progress.push((running.attempt, count, running.attempt.left == 0));
            }
        }
        self.running.retain(|running| running.attempt.left > 0);
        self.start_waiting(now);
        progress
    }

    /// Ends the attempt of a call before its answer is complete.
    pub fn cancel(&mut self, call: usize, now: f64) {
        self.running.retain(|running| running.attempt.call != call);
        self.queue.retain(|_, attempt| attempt.call != call);
        self.start_waiting(now);
    }

    /// Stops the engine and empties its cache; returns the attempts that were running or waiting.
    pub fn crash(&mut self) -> Vec<Attempt> {
        self.up = false;
        self.epoch += 1;
        self.stepping = false;
        self.cache.clear();
        let running = self.running.drain(..).map(|running| running.attempt);
        running.chain(std::mem::take(&mut self.queue).into_values()).collect()
    }
}
