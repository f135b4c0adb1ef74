//! Refuses requests on arrival while the fleet is offered more than its engines can process.
//!
//! Load pattern: bursts of twice what the engines can do, for seconds, and workspaces that send several times their usual
//! load. Without this, each node knows only its own part: queues fill, engines work on answers whose callers leave before the
//! end, and the workspace that sends most gets most.
//!
//! What is decided is in the crate `overload`. This module measures what requests cost and what the engines can do. It
//! applies only where prefill rates are known and the fleet's shares were received within the last seconds.

use std::time::{Duration, Instant};

use overload::{Ask, NODE_ROWS, Row, Shares, TIERS, Verdict};
use slotmap::SecondaryMap;

use crate::action::Refusal;
use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::pick::mix64;
use crate::pool::Pool;
use crate::prefix;
use crate::scheduler::Scheduler;

/// Utilization of the engines from which what is offered is reported to other nodes. Below it, even a burst of twice the
/// load doesn't overload them before the next report.
const REPORTED_FROM: f64 = 0.5;
/// Time for which the capacity of all engines is kept while requests may be refused by it: computing it examines thousands
/// of engines.
const CAPACITY_LIFETIME: Duration = Duration::from_millis(250);
/// Least such time for each engine. Computing it for 6,000 engines takes about 1 ms, which mustn't add much to the mean time
/// of a decision.
const CAPACITY_LIFETIME_PER_ENGINE: Duration = Duration::from_micros(200);
/// [`CAPACITY_LIFETIME`] while none are, and it only decides whether rows are reported.
const IDLE_CAPACITY_LIFETIME: Duration = Duration::from_secs(1);
/// What is left of the weight of a request's cost once another one of its class is sent: the mean is over some fifty.
const COST_DECAY: f64 = 0.98;

/// Relative rise of the decoding time with each request, to follow a service whose model changes: it doubles within minutes.
const DECODING_RISE: f64 = 0.000_5;

/// The mean of a ratio over the last requests.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    seconds: f64,
    amount: f64,
}

impl Ratio {
    fn add(&mut self, seconds: f64, amount: f64) {
        self.seconds = self.seconds * COST_DECAY + seconds;
        self.amount = self.amount * COST_DECAY + amount;
    }

    fn mean(&self) -> Option<f64> {
        (self.amount > 0.0).then(|| self.seconds / self.amount)
    }
}

/// What this node knows of the load of the fleet's engines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overload {
    shares: Shares,
    /// Keys of the workspaces, the same on all nodes.
    keys: SecondaryMap<ids::Workspace, u32>,
    /// Prefill that requests of a class took, relative to prefilling their whole prompts: the rest was cached.
    prefill: SecondaryMap<ids::Class, Ratio>,
    /// Lowest engine seconds per token of an answer. While an engine prefills, the time between tokens contains prefill, which
    /// would be counted twice: a loaded fleet would seem overloaded.
    decoding: Option<f64>,
    /// What the engines can process, and when that was computed.
    capacity: Option<(f64, Instant)>,
    /// Random number that changes with each report.
    reports: u64,
}

impl Scheduler {
    /// Sets the key of a workspace by which nodes tell each other what it offers. Those without one are counted only in the
    /// totals.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// scheduler.set_workspace_key(ids::Workspace::default(), 7);
    /// ```
    pub fn set_workspace_key(&mut self, workspace: ids::Workspace, key: u32) {
        self.overload.keys.insert(workspace, key);
    }

    /// What this node is offered, to report it to others: its largest workspaces, and the totals by tier. None while the
    /// engines of the fleet are idle for half of the time or their rates are unknown.
    ///
    /// ```
    /// assert!(policy::Scheduler::new().offered(std::time::Instant::now()).is_none());
    /// ```
    pub fn offered(&mut self, now: Instant) -> Option<(Vec<Row>, [f64; TIERS])> {
        if !self.switches.is_on(Mechanism::Overload) {
            return None;
        }
        let totals = self.overload.shares.totals(now);
        let own: f64 = totals.iter().sum();
        if own == 0.0 && !self.overload.shares.is_fresh(now) {
            return None;
        }
        let capacity = self.engine_capacity(now);
        let works = self.pools.values().map(|pool| pool.isolation.work_per_second(now));
        let work = works.fold(0.0, f64::max);
        let known = self.overload.shares.utilization(capacity, now).unwrap_or_default() * capacity;
        let fleet = work.max(known).max(own * f64::from(self.fleet_nodes));
        if capacity == 0.0 || fleet < capacity * REPORTED_FROM {
            return None;
        }
        self.overload.reports = self.overload.reports.wrapping_add(1);
        let salt = mix64(self.overload.reports);
        Some((self.overload.shares.top(NODE_ROWS, salt, now), totals))
    }

    /// Sets what all nodes are offered: the largest workspaces, and the totals by tier.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// scheduler.set_fleet_offered(vec![], [0.0; 9], std::time::Instant::now());
    /// ```
    pub fn set_fleet_offered(&mut self, rows: Vec<Row>, totals: [f64; TIERS], now: Instant) {
        if !self.switches.is_on(Mechanism::Overload) {
            return;
        }
        let weighted =
            rows.into_iter().map(|row| Row { weight: self.weight(row.workspace), ..row });
        let weighted = weighted.collect();
        self.overload.shares.set_fleet(weighted, totals, now);
    }

    /// Engine time that the fleet is offered, as a fraction of what its engines can process; none if it isn't known.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// assert_eq!(scheduler.fleet_utilization(std::time::Instant::now()), None);
    /// ```
    pub fn fleet_utilization(&mut self, now: Instant) -> Option<f64> {
        if !self.overload.shares.is_fresh(now) {
            return None;
        }
        let capacity = self.engine_capacity(now);
        self.overload.shares.utilization(capacity, now)
    }

    /// Weight of the workspace with a key; 1 if this node doesn't know it.
    fn weight(&self, key: u32) -> f64 {
        let known = self.overload.keys.iter().find(|(_, own)| **own == key);
        let workspace = known.and_then(|(workspace, _)| self.workspaces.get(workspace));
        workspace.map_or(1.0, |workspace| f64::from(workspace.weight.max(1)))
    }

    /// Counts a request as offered. Returns why and for how long it is refused, if it is.
    pub(crate) fn overload_refusal(
        &mut self,
        job: ids::Job,
        now: Instant,
    ) -> Option<(Refusal, Duration)> {
        let pending = &self.jobs[job];
        if !self.switches.is_on(Mechanism::Overload) || !self.prefill_rates_known(pending) {
            return None;
        }
        let request = &pending.request;
        let seconds = self.offered_seconds(pending);
        // What has run at a server before isn't refused: its caller couldn't be told that it hasn't.
        let begun = request.prior != crate::terms::Prior::default() || request.version.is_some();
        let ask = Ask {
            workspace: self.overload.keys.get(request.workspace).copied(),
            tier: pending.tier,
            returning: false,
            chance: 1.0,
            draw: uniform(pending.jitter),
            left: request.deadline.saturating_duration_since(now),
        };
        self.overload.shares.record(ask.workspace, ask.tier, seconds, now);
        if begun || !self.overload.shares.is_fresh(now) {
            return None;
        }
        let capacity = self.engine_capacity(now);
        match self.overload.shares.decide(ask, capacity, now) {
            Verdict::Admit => None,
            Verdict::Refuse { after, reason: overload::Reason::OverShare } => {
                Some((Refusal::OverShare, after))
            }
            Verdict::Refuse { after, reason: overload::Reason::Overload } => {
                Some((Refusal::Overloaded, after))
            }
        }
    }

    /// Time in seconds that a request is expected to take of an engine of median speed.
    fn offered_seconds(&self, pending: &Pending) -> f64 {
        let request = &pending.request;
        let whole = whole_prefill(pending, &self.pools[pending.pool]);
        let learned = self.overload.prefill.get(request.class).and_then(Ratio::mean);
        // Until the class is known, its shared parts count as cached. That is too little rather than too much.
        let ratio = learned.unwrap_or_else(|| {
            let unshared = request.prompt_tokens.saturating_sub(request.shared_tokens());
            f64::from(unshared) / f64::from(request.prompt_tokens.max(1))
        });
        let decoding = self.overload.decoding.unwrap_or_default();
        whole * ratio + f64::from(pending.tokens) * decoding
    }

    /// Records the engine time that a request is expected to take which is sent to an engine: its prefill in seconds, all of
    /// it, and the same as `work` at an engine of median speed.
    pub(crate) fn record_cost(&mut self, job: ids::Job, prefill: f64, seconds: f64, work: f64) {
        let pending = &self.jobs[job];
        if seconds <= 0.0 || !self.switches.is_on(Mechanism::Overload) {
            return;
        }
        let speed = work / seconds;
        let whole = whole_prefill(pending, &self.pools[pending.pool]);
        let decoding = (seconds - prefill) * speed / f64::from(pending.tokens.max(1));
        let lowest = self.overload.decoding.unwrap_or(decoding) * (1.0 + DECODING_RISE);
        self.overload.decoding = Some(lowest.min(decoding));
        if let Some(entry) = self.overload.prefill.entry(pending.request.class) {
            entry.or_default().add(prefill * speed, whole);
        }
    }

    /// What the engines can process that take work, in engines of median speed. It includes engines that serve other models
    /// than a request's, since what is offered isn't known by model.
    fn engine_capacity(&mut self, now: Instant) -> f64 {
        let fresh = self.overload.shares.is_fresh(now);
        let lifetime = if fresh { CAPACITY_LIFETIME } else { IDLE_CAPACITY_LIFETIME };
        let lifetime = lifetime.max(CAPACITY_LIFETIME_PER_ENGINE * self.servers.len() as u32);
        if let Some((capacity, at)) = self.overload.capacity
            && now.saturating_duration_since(at) < lifetime
        {
            return capacity;
        }
        let mut pools: Vec<&Pool> = self.pools.values().collect();
        pools.sort_by_key(|pool| std::cmp::Reverse(pool.members.len()));
        let takes_work = |key: ids::Server| {
            let state = &self.servers[key];
            let rated = state.terms.prefill_rate.is_some();
            rated && !self.leaves(state) && !self.rests(state, now) && !self.is_excluded(key, now)
        };
        let mut speeds = SecondaryMap::new();
        for member in pools.iter().flat_map(|pool| &pool.members) {
            if !speeds.contains_key(member.server) && takes_work(member.server) {
                speeds.insert(member.server, member.speed);
            }
        }
        let others = self.servers.keys().filter(|key| !speeds.contains_key(*key));
        let others = others.filter(|key| takes_work(*key)).count();
        let capacity = speeds.values().sum::<f64>() + others as f64;
        self.overload.capacity = Some((capacity, now));
        capacity
    }
}

impl Overload {
    /// Starts the random numbers of reports, so that nodes draw their rows independently.
    pub(crate) fn new(seed: u64) -> Self {
        Overload { reports: mix64(seed), ..Overload::default() }
    }

    pub(crate) fn remove_class(&mut self, class: ids::Class) {
        self.prefill.remove(class);
    }

    pub(crate) fn remove_workspace(&mut self, workspace: ids::Workspace) {
        self.keys.remove(workspace);
    }
}

/// Seconds in which an engine of median speed prefills the whole prompt of a request.
fn whole_prefill(pending: &Pending, pool: &Pool) -> f64 {
    prefix::prefill_work(0, pending.request.prompt_tokens) / pool.speeds.median.max(1.0)
}

/// A number from 0 to 1 that is independent of the choice of an engine by the same random number.
fn uniform(random: u64) -> f64 {
    (mix64(!random) >> 11) as f64 / (1_u64 << 53) as f64
}
