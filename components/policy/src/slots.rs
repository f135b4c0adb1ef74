//! Estimates how long a request waits for a slot at an engine.
//!
//! Load pattern: a burst of top-priority streams over the capacity of their isolation group. With only local
//! counts every node sends to engines that are full, and learns it from a request that waits too long; then
//! all leave together for the engine whose slots came free, and fill it twice over between two reports.
//!
//! Nodes report how many slots their requests occupy at each engine. Reports are some tenths of a second old,
//! in which the fleet sends more than the slots that seem free: so each request counts a random part of what
//! can't have been reported yet as before it.

use std::time::{Duration, Instant};

use crate::candidates::Candidates;
use crate::isolation::Group;
use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::pick::mix64;
use crate::pool::Member;
use crate::priority::PerPriority;
use crate::scheduler::Scheduler;
use crate::server;

/// Half-life of a request in the send rate, in seconds: several report intervals, and short enough to
/// show a burst at once.
const HALF_LIFE_SECONDS: f64 = 1.0;
/// Increment of the sequence of [`Jitter`], as in splitmix64.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Age up to which reports of other nodes count: several intervals between them.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Rate of requests sent, by priority, as an exponential moving average.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendRate {
    recent: PerPriority,
    updated: Option<Instant>,
}

impl SendRate {
    /// Counts a request sent.
    pub(crate) fn record_send(&mut self, priority: u8, now: Instant) {
        self.recent = self.decayed(now);
        self.recent.add(priority, 1.0);
        self.updated = Some(now);
    }

    /// Number of requests sent, each weighted by its age.
    fn decayed(&self, now: Instant) -> PerPriority {
        let age = self.updated.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.recent.scaled((-age / HALF_LIFE_SECONDS).exp2())
    }

    /// Requests a second.
    pub(crate) fn per_second(&self, now: Instant) -> PerPriority {
        self.decayed(now).scaled(std::f64::consts::LN_2 / HALF_LIFE_SECONDS)
    }
}

/// Pseudorandom numbers by which requests that know the same choose differently. The sequence is separate
/// from the scheduler's other random numbers, so that disabling slot counts doesn't change those.
#[derive(Clone, Debug)]
pub(crate) struct Jitter(u64);

impl Jitter {
    pub(crate) fn new(seed: u64) -> Self {
        Jitter(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(INCREMENT);
        mix64(self.0)
    }
}

/// Rate at which other nodes send requests to engines, as reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerRate {
    /// Requests a second.
    rate: PerPriority,
    received: Option<Instant>,
    /// Time between the last two reports.
    interval: Duration,
}

impl PeerRate {
    /// Requests of a priority or a higher one that other nodes may have sent since their last reports.
    fn unreported(&self, priority: u8, now: Instant) -> f64 {
        let Some(received) = self.received else { return 0.0 };
        let age = now.saturating_duration_since(received);
        if age > MAX_REPORT_AGE {
            return 0.0;
        }
        // Reports are already one interval old when they arrive.
        self.rate.sum_up_to(priority) * (self.interval + age).as_secs_f64()
    }
}

/// Requests that a request counts as before it at engines though no node has reported them yet: a random
/// part of all that other nodes may have sent. They fill the free slots of the isolation group, and those
/// that find none are spread evenly over its engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unreported {
    /// Requests before it.
    before: f64,
    /// Free slots in the group.
    free: f64,
    /// Engines of the group.
    engines: f64,
}

impl Unreported {
    /// The number of them at an engine with so many free slots.
    fn at_engine(self, free: f64) -> f64 {
        let part = if self.free > 0.0 { free / self.free } else { 0.0 };
        let waiting = (self.before - self.free).max(0.0) / self.engines.max(1.0);
        self.before.min(self.free) * part + waiting
    }
}

impl Scheduler {
    /// Requests a second that this node sends to engines, by priority.
    ///
    /// ```
    /// let rates = policy::Scheduler::new().send_rates(std::time::Instant::now());
    /// assert!(rates.iter().all(|rate| *rate == 0.0));
    /// ```
    pub fn send_rates(&self, now: Instant) -> Vec<f64> {
        self.send_rate.per_second(now).to_vec()
    }

    /// Sets the sum of [`Scheduler::send_rates`] over all other nodes.
    pub fn set_peer_send_rates(&mut self, rates: &[f64], now: Instant) {
        let interval =
            self.peer_send_rate.received.map_or(Duration::ZERO, |received| now - received);
        self.peer_send_rate = PeerRate {
            rate: rates.into(),
            received: Some(now),
            interval: interval.min(MAX_REPORT_AGE),
        };
    }

    /// Requests that count as before this one at the engines of its isolation group, beyond those
    /// reported.
    pub(crate) fn unreported_requests(
        &self,
        pending: &Pending,
        candidates: &Candidates<'_>,
        group: Option<Group>,
        now: Instant,
    ) -> Unreported {
        let unreported = self.peer_send_rate.unreported(pending.priority, now);
        if unreported == 0.0 {
            return Unreported::default();
        }
        let pool = &self.pools[pending.pool];
        let in_group = |member: &&Member| {
            pool.engine_group(member).is_some_and(|engine| group.is_none_or(|own| engine == own))
        };
        let drawn = candidates.drawn().filter(in_group);
        let free = drawn.map(|member| self.free_slots(pending, &self.servers[member.server], now));
        let (free, drawn) = free.fold((0.0, 0.0), |(sum, count), free| (sum + free, count + 1.0));
        let engines = pool.group_size(group) as f64;
        let free = free * engines / f64::max(drawn, 1.0);
        let part = pending.jitter as f64 / u64::MAX as f64;
        Unreported { before: unreported * part, free, engines }
    }

    /// Slots of an engine that aren't occupied by requests of this one's priority or a higher one, as
    /// far as known.
    pub(crate) fn free_slots(&self, pending: &Pending, state: &server::State, now: Instant) -> f64 {
        (f64::from(state.slots()) - self.occupied_slots(state, pending.priority, now)).max(0.0)
    }

    /// Slots of an engine that requests of a priority or a higher one occupy or wait for, as far as
    /// known.
    pub(crate) fn occupied_slots(&self, state: &server::State, priority: u8, now: Instant) -> f64 {
        state.occupied.sum_up_to(priority) + state.prefill.peer_occupied(priority, now)
    }

    /// Seconds until a request gets a slot at an engine, and memory. Engines give a slot that comes free to the request of
    /// the highest priority. So requests of lower priority aren't counted: they delay this one only until one of
    /// them ends.
    pub(crate) fn slot_wait(
        &self,
        pending: &Pending,
        state: &server::State,
        unreported: Unreported,
        now: Instant,
    ) -> f64 {
        let memory_wait = self.memory_wait(pending, state, now);
        if !self.switches.is_on(Mechanism::SlotCounts) {
            return memory_wait;
        }
        let slots = f64::from(state.slots().max(1));
        let unreported = unreported.at_engine(self.free_slots(pending, state, now));
        let before = self.occupied_slots(state, pending.priority, now) + unreported;
        let behind = (before + 1.0 - slots).max(0.0);
        let slot_wait = behind * f64::from(pending.tokens) * state.token_interval() / slots;
        slot_wait.max(memory_wait)
    }
}
