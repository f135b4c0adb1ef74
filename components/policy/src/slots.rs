//! How long a request waits for a place at an engine.
//!
//! Load pattern: a burst of top-priority streams over the capacity of their isolation group. With only local
//! counts every node sends to engines that are full, and learns it from a request that waits too long; then
//! all leave together for the engine whose slots came free, and fill it twice over between two reports.
//!
//! Nodes report what they have at each engine. Reports are some tenths of a second old, in which the fleet
//! sends more than the slots that seem free: so each request counts a random part of what can't have been
//! reported yet as before it.

use std::time::{Duration, Instant};

use crate::isolation::Group;
use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::pick::mix64;
use crate::priority::PerPriority;
use crate::scheduler::Scheduler;
use crate::server;

/// A request sent counts half after this time, in the rate at which they are: some tellings, and a burst
/// shows at once.
const HALF: f64 = 1.0;
/// Step between two numbers of [`Jitter`], as in splitmix64.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time for which reports of other nodes count: several intervals between them.
const REPORTS: Duration = Duration::from_secs(2);

/// Requests a second, by rank of urgency, as an exponential mean.
#[derive(Debug, Default)]
pub(crate) struct SendRate {
    recent: PerPriority,
    at: Option<Instant>,
}

impl SendRate {
    pub(crate) fn add(&mut self, rank: u8, now: Instant) {
        self.recent = self.recent(now);
        self.recent.add(rank, 1.0);
        self.at = Some(now);
    }

    fn recent(&self, now: Instant) -> PerPriority {
        let age = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.recent.times((-age / HALF).exp2())
    }

    fn by_rank(&self, now: Instant) -> PerPriority {
        self.recent(now).times(std::f64::consts::LN_2 / HALF)
    }
}

/// Numbers by which requests that know the same choose differently. A sequence of its own, so that whether
/// places are counted changes nothing else that is left to chance.
#[derive(Debug)]
pub(crate) struct Jitter(u64);

impl Jitter {
    pub(crate) fn new(seed: u64) -> Self {
        Jitter(seed)
    }

    /// The next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(STEP);
        mix64(self.0)
    }
}

/// At what rate other nodes send, as reported.
#[derive(Debug, Default)]
pub(crate) struct PeerRate {
    rate: PerPriority,
    received: Option<Instant>,
    /// Time between the last two reports.
    every: Duration,
}

impl PeerRate {
    /// Requests as urgent as `rank`, or more, that others may have sent since their last reports.
    fn unreported(&self, rank: u8, now: Instant) -> f64 {
        let Some(received) = self.received else { return 0.0 };
        let age = now.saturating_duration_since(received);
        if age > REPORTS {
            return 0.0;
        }
        // Reports are already one interval old when they arrive.
        self.rate.sum_up_to(rank) * (self.every + age).as_secs_f64()
    }
}

/// What a request counts as taken at engines beyond what was reported: of all requests that nobody can
/// know of yet, a random part comes before it. They take the free places of its group, and those that find
/// none wait at all of its engines alike.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unreported {
    /// Requests before it.
    before: f64,
    /// Free places that they and it may take.
    free: f64,
    /// Engines of the group.
    engines: f64,
}

impl Unreported {
    /// Those of them at an engine that has so many places free.
    fn at(self, free: f64) -> f64 {
        let part = if self.free > 0.0 { free / self.free } else { 0.0 };
        let waiting = (self.before - self.free).max(0.0) / self.engines.max(1.0);
        self.before.min(self.free) * part + waiting
    }
}

impl Scheduler {
    /// Requests a second that this node sends to engines, by rank of urgency.
    ///
    /// ```
    /// let rates = policy::Scheduler::new().send_rates(std::time::Instant::now());
    /// assert!(rates.iter().all(|rate| *rate == 0.0));
    /// ```
    pub fn send_rates(&self, now: Instant) -> Vec<f64> {
        self.send_rate.by_rank(now).to_vec()
    }

    /// Takes in the sum of [`Scheduler::send_rates`] over all other nodes.
    pub fn set_peer_send_rates(&mut self, others: &[f64], now: Instant) {
        let every = self.peer_send_rate.received.map_or(Duration::ZERO, |received| now - received);
        self.peer_send_rate =
            PeerRate { rate: others.into(), received: Some(now), every: every.min(REPORTS) };
    }

    /// What a request counts as taken beyond what was reported.
    pub(crate) fn unreported(
        &self,
        pending: &Pending,
        group: Option<Group>,
        now: Instant,
    ) -> Unreported {
        let unreported = self.peer_send_rate.unreported(pending.priority, now);
        if unreported == 0.0 {
            return Unreported::default();
        }
        let pool = &self.pools[pending.pool];
        let own =
            |region, rank| group.is_none_or(|own| pool.isolation.engine_group(region, rank) == own);
        let members = pool.members.iter().filter(|member| own(member.region, member.rank));
        let free = members.map(|member| self.free(pending, &self.servers[member.server], now));
        let (free, engines) = free.fold((0.0, 0.0), |(sum, count), free| (sum + free, count + 1.0));
        let part = pending.jitter as f64 / u64::MAX as f64;
        Unreported { before: unreported * part, free, engines }
    }

    /// Places at an engine that are free for a request, as far as reported.
    pub(crate) fn free(&self, pending: &Pending, known: &server::State, now: Instant) -> f64 {
        (f64::from(known.slots()) - self.taken(known, pending.priority, now)).max(0.0)
    }

    /// Places at an engine that requests take which are as urgent as `rank`, or more, as far as heard.
    fn taken(&self, known: &server::State, rank: u8, now: Instant) -> f64 {
        known.taken.sum_up_to(rank) + known.prefill.taken(rank, now)
    }

    /// Seconds until a request gets a place at an engine, which gives those that come free to the most
    /// urgent first: less urgent ones take none from it for longer than one of them takes to end.
    pub(crate) fn place_wait(
        &self,
        pending: &Pending,
        known: &server::State,
        unreported: Unreported,
        now: Instant,
    ) -> f64 {
        if !self.disabled.lacks(Mechanism::SlotCounts) {
            return 0.0;
        }
        let slots = f64::from(known.slots().max(1));
        let unreported = unreported.at(self.free(pending, known, now));
        let before = self.taken(known, pending.priority, now) + unreported;
        let behind = (before + 1.0 - slots).max(0.0);
        behind * f64::from(pending.tokens) * known.token_interval() / slots
    }
}
