//! Estimates how long an engine's memory holds a prompt prefix that isn't in use.
//!
//! Load pattern: bursts of long prompts that fill the memory of engines. A prefix is then evicted seconds after its last
//! use, and a request that is sent to an engine for it has it prefilled again, with what it evicts in turn. With a fixed
//! retention time, the shared parts of prompts are prefilled several times as often as needed.
//!
//! An engine evicts the least recently used content, but nothing of running requests. So what was last used some time ago is
//! still there if fewer tokens were inserted since than fit beside the running requests.

use std::time::{Duration, Instant};

/// Time for which a part counts as cached after its last use where nothing is known of the engine's memory.
pub(crate) const DEFAULT_HORIZON: Duration = Duration::from_secs(10);
/// Longest time for which a part counts as cached after its last use.
const MAX_HORIZON: Duration = Duration::from_secs(30);
/// Shortest horizon. Running requests hold the parts that they use, and at an engine with full memory answers take longer
/// than this.
const MIN_HORIZON: Duration = Duration::from_secs(2);
/// A part is surely cached up to this fraction of the horizon, and surely evicted from the other one on.
const SURELY_CACHED: f64 = 0.7;
const SURELY_EVICTED: f64 = 1.3;
/// Part of the memory that running requests and what is inserted within [`DEFAULT_HORIZON`] must exceed: below it,
/// nothing is evicted within that time, also if other nodes have more than is known.
const CROWDED_PART: f64 = 0.5;
/// Part of its share of that amount from which on a node reports what it has. So what isn't reported of all nodes is at
/// most that part.
const REPORTED_PART: f64 = 0.25;
/// Half-life of inserted tokens in the estimate of their rate, in seconds.
const HALF_LIFE_SECONDS: f64 = 4.0;
/// Time over which inserted tokens are stated.
const INSERTED_SECONDS: f64 = 8.0;
/// Age up to which other nodes' running requests count: several intervals between reports.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// Tokens that decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    tokens: f64,
    at: Option<Instant>,
}

impl Decaying {
    fn current(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.tokens * (-age / HALF_LIFE_SECONDS).exp2()
    }

    fn add(&mut self, tokens: f64, now: Instant) {
        *self = Decaying { tokens: self.current(now) + tokens, at: Some(now) };
    }
}

/// The use of one engine's memory by the requests of this node and of others, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    running: u64,
    /// Inserted tokens, scaled so that a constant rate gives those of [`INSERTED_SECONDS`].
    inserted: Decaying,
    /// Running requests of other nodes, and when that was received.
    peer_running: Option<(f64, Instant)>,
    peer_inserted: Decaying,
}

impl Memory {
    /// Counts tokens that are inserted.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut memory, now) = (policy::memory::Memory::default(), Instant::now());
    /// memory.insert(1_000, now);
    /// let later = now + Duration::from_secs(4);
    /// assert_eq!(memory.inserted(later), memory.inserted(now) / 2.0);
    /// ```
    pub fn insert(&mut self, tokens: u32, now: Instant) {
        let scale = INSERTED_SECONDS * std::f64::consts::LN_2 / HALF_LIFE_SECONDS;
        self.inserted.add(f64::from(tokens) * scale, now);
    }

    /// Counts the tokens that a request adds when it begins to run.
    ///
    /// ```
    /// let mut memory = policy::memory::Memory::default();
    /// memory.run(900);
    /// memory.run(400);
    /// memory.end(900);
    /// assert_eq!(memory.running(), 400);
    /// ```
    pub fn run(&mut self, tokens: u32) {
        self.running += u64::from(tokens);
    }

    /// Counts the tokens of a request that no longer runs.
    pub fn end(&mut self, tokens: u32) {
        self.running = self.running.saturating_sub(tokens.into());
    }

    /// Sets what other nodes have reported: tokens of their running requests, and those that they inserted in 8 s.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut memory, now) = (policy::memory::Memory::default(), Instant::now());
    /// memory.set_peers(60_000.0, 0.0, now);
    /// assert_eq!(memory.room(100_000, now), 40_000.0);
    /// // The report has expired.
    /// assert_eq!(memory.room(100_000, now + Duration::from_secs(2)), 100_000.0);
    /// ```
    pub fn set_peers(&mut self, running: f64, inserted: f64, now: Instant) {
        self.peer_running = Some((running, now));
        self.peer_inserted = Decaying { tokens: inserted, at: Some(now) };
    }

    /// Tokens of this node's running requests.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Tokens that this node's requests inserted in the last 8 s, as an average that follows the rate of the last seconds.
    pub fn inserted(&self, now: Instant) -> f64 {
        self.inserted.current(now)
    }

    /// Tokens that all nodes insert in a second.
    fn insert_rate(&self, now: Instant) -> f64 {
        (self.inserted.current(now) + self.peer_inserted.current(now)) / INSERTED_SECONDS
    }

    /// Tokens of the running requests of all nodes.
    fn all_running(&self, now: Instant) -> f64 {
        let peers = self.peer_running.filter(|(_, at)| now < *at + MAX_REPORT_AGE);
        self.running as f64 + peers.map_or(0.0, |(tokens, _)| tokens)
    }

    /// Tokens that are available in a memory of `capacity` tokens for running requests.
    pub fn room(&self, capacity: u32, now: Instant) -> f64 {
        (f64::from(capacity) - self.all_running(now)).max(0.0)
    }

    /// Fraction of the memory in use that must come free before a request of so many tokens fits; 0 if it does.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let (mut memory, now) = (policy::memory::Memory::default(), Instant::now());
    /// memory.run(80_000);
    /// assert_eq!(memory.shortage(20_000, 100_000, now), 0.0);
    /// assert_eq!(memory.shortage(60_000, 100_000, now), 0.5);
    /// ```
    pub fn shortage(&self, tokens: u32, capacity: u32, now: Instant) -> f64 {
        let (running, capacity) = (self.all_running(now), f64::from(capacity));
        let excess = running + f64::from(tokens).min(capacity) - capacity;
        if excess > 0.0 { excess / running.min(capacity) } else { 0.0 }
    }

    /// Whether this node's requests at an engine with a memory of `capacity` tokens matter to others: the memory is crowded,
    /// or may be if the other nodes of the fleet have as much there.
    pub(crate) fn may_crowd(&self, capacity: u32, nodes: u32, now: Instant) -> bool {
        let own = self.running as f64
            + self.inserted(now) / INSERTED_SECONDS * DEFAULT_HORIZON.as_secs_f64();
        let share = f64::from(capacity) * CROWDED_PART / f64::from(nodes.max(1));
        own > share * REPORTED_PART || (own > 0.0 && self.horizon(capacity, now).is_some())
    }

    /// Time since its last use after which a part is evicted from a memory of `capacity` tokens; none if so little of it is
    /// used that nothing is evicted for 10 s.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut memory, now) = (policy::memory::Memory::default(), Instant::now());
    /// memory.set_peers(100_000.0, 160_000.0, now);
    /// assert_eq!(memory.horizon(200_000, now), Some(Duration::from_secs(5)));
    /// assert_eq!(memory.horizon(800_000, now), None);
    /// ```
    pub fn horizon(&self, capacity: u32, now: Instant) -> Option<Duration> {
        let (running, rate) = (self.all_running(now), self.insert_rate(now));
        let used = running + rate * DEFAULT_HORIZON.as_secs_f64();
        if used <= f64::from(capacity) * CROWDED_PART {
            return None;
        }
        let seconds = self.room(capacity, now) / rate.max(f64::MIN_POSITIVE);
        let bounds = (MIN_HORIZON.as_secs_f64(), MAX_HORIZON.as_secs_f64());
        Some(Duration::from_secs_f64(seconds.clamp(bounds.0, bounds.1)))
    }

    /// Probability that a memory of `capacity` tokens still holds a part that was last used `age` ago.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut memory, now) = (policy::memory::Memory::default(), Instant::now());
    /// memory.set_peers(100_000.0, 160_000.0, now);
    /// let survival = |ms| memory.survival(Duration::from_millis(ms), 200_000, now);
    /// assert_eq!(survival(3_500), 1.0);
    /// assert!((survival(5_000) - 0.5).abs() < 1e-9);
    /// assert_eq!(survival(6_500), 0.0);
    /// ```
    pub fn survival(&self, age: Duration, capacity: u32, now: Instant) -> f64 {
        survival(age, self.horizon(capacity, now))
    }
}

/// Probability that a part that was last used `age` ago is still cached at an engine with a horizon.
pub(crate) fn survival(age: Duration, horizon: Option<Duration>) -> f64 {
    let Some(horizon) = horizon else { return f64::from(age < DEFAULT_HORIZON) };
    if age >= eviction_age(Some(horizon)) {
        return 0.0;
    }
    let relative = age.as_secs_f64() / horizon.as_secs_f64();
    ((SURELY_EVICTED - relative) / (SURELY_EVICTED - SURELY_CACHED)).clamp(0.0, 1.0)
}

/// Age from which a part is surely evicted.
pub(crate) fn eviction_age(horizon: Option<Duration>) -> Duration {
    let Some(horizon) = horizon else { return DEFAULT_HORIZON };
    let limit = if horizon > DEFAULT_HORIZON { MAX_HORIZON } else { DEFAULT_HORIZON };
    horizon.mul_f64(SURELY_EVICTED).min(limit)
}

#[cfg(test)]
mod tests;
