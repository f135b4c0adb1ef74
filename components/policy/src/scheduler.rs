//! Defines [`Scheduler`], which holds the scheduling state of one node and implements [`Policy`].

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SecondaryMap, SlotMap};

use crate::action::{Action, Ending, Policy, Refusal};
use crate::bucket::Bucket;
use crate::cache;
use crate::demand::Averages;
use crate::fair::{self, Counters};
use crate::isolation::GROUPS;
use crate::length::Lengths;
use crate::mechanism::{Mechanism, Switches};
use crate::notices::Notices;
use crate::overload::Overload;
use crate::pending::{Expected, Pending, Stage};
use crate::pick::Candidate;
use crate::pool::{Key, Pool, Scope};
use crate::prefill::FirstToken;
use crate::prefilling;
use crate::retries::Retries;
use crate::server;
use crate::slots;
use crate::speed;
use crate::terms::{Class, Demand, Fetch, Limits, Report, Request, Share, Workspace};
use crate::throttle::{PERMIT_LIFETIME, Permits};

/// Retries allowed at once beyond the percentage of first attempts: as many as one server loses that
/// crashes with all slots occupied.
pub const RETRY_BURST: u32 = 16;
/// Burst allowed on the link between regions, in seconds of its rate.
const LINK_BURST_SECONDS: f64 = 2.0;

/// Tracks how long a class has waited without a request being sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unserved {
    /// Start of that wait: the last send if requests of the class still waited then, otherwise the first
    /// arrival after it.
    pub(crate) since: Option<Instant>,
}

/// Admits, queues and routes the requests of one node.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) classes: SecondaryMap<ids::Class, Class>,
    pub(crate) workspaces: SecondaryMap<ids::Workspace, Workspace>,
    pub(crate) servers: SecondaryMap<ids::Server, server::State>,
    pub(crate) notices: Notices,
    /// Number of nodes in the fleet, at least 1.
    pub(crate) fleet_nodes: u32,
    pub(crate) jobs: SlotMap<ids::Job, Pending>,
    pub(crate) pools: SlotMap<Key, Pool>,
    pub(crate) pool_index: HashMap<Scope, Key>,
    pub(crate) unserved: SecondaryMap<ids::Class, Unserved>,
    pub(crate) in_flight: SecondaryMap<ids::Workspace, u32>,
    pub(crate) fair: Counters,
    pub(crate) lengths: Lengths,
    /// By model, so that requests to one service don't earn retries at another.
    pub(crate) retries: Retries,
    pub(crate) link_budget: Bucket,
    pub(crate) limits: Limits,
    pub(crate) prefixes: cache::Index,
    /// Rate at which this node sends to engines.
    pub(crate) send_rate: slots::SendRate,
    /// Rate at which its peers do.
    pub(crate) peer_send_rate: slots::PeerRate,
    pub(crate) timers: BTreeSet<(Instant, ids::Job)>,
    pub(crate) refused: Vec<(ids::Job, Refusal, Duration)>,
    pub(crate) scratch: Vec<Candidate>,
    pub(crate) waiting: usize,
    /// Requests that wait out the backoff before their next attempt, by tier.
    pub(crate) backing_off: BTreeSet<(u8, ids::Job)>,
    /// Incremented by every change that may let a blocked request be sent.
    pub(crate) epoch: u64,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) demand: Averages,
    /// Shortest target between tokens of any class, in seconds.
    pub(crate) min_token_interval: f64,
    /// Highest tier that has a class; lower numbers are higher.
    pub(crate) highest_tier: u8,
    pub(crate) rng: SmallRng,
    pub(crate) jitter: slots::Jitter,
    pub(crate) switches: Switches,
    /// A session's preferred engine may be in another region.
    pub(crate) cross_region: bool,
    pub(crate) servers_examined: u64,
    /// Servers that may have a permit.
    pub(crate) permitted: BTreeSet<ids::Server>,
    /// Servers to which this node has an idle connection, or had one a short time ago.
    pub(crate) connected: BTreeSet<ids::Server>,
    /// Engines at which other nodes last reported a backlog.
    pub(crate) peer_loaded: Vec<ids::Server>,
    /// Measured prefill rates that wait to be reported.
    pub(crate) rate_samples: speed::Samples,
    /// Times between tokens at engines that prefill all the time, as measured by this node.
    pub(crate) prefilling: prefilling::Samples,
    /// The one that applies, in seconds.
    pub(crate) prefilling_seconds: f64,
    /// The longest that the fleet has measured.
    pub(crate) prefilling_held: prefilling::Held,
    pub(crate) overload: Overload,
}

impl Default for Scheduler {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl Scheduler {
    /// A scheduler without classes, workspaces or servers.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::new();
    /// assert_eq!(scheduler.waiting(), 0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// A scheduler without classes, workspaces or servers, with a fixed seed for its random choices so that
    /// a run can be repeated.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::with_seed(7);
    /// assert_eq!(scheduler.waiting(), 0);
    /// ```
    pub fn with_seed(seed: u64) -> Self {
        let limits = Limits { retry_percent: 10, retry_burst: RETRY_BURST, link_bytes: 1 << 20 };
        Scheduler {
            classes: SecondaryMap::new(),
            workspaces: SecondaryMap::new(),
            servers: SecondaryMap::new(),
            notices: Notices::default(),
            fleet_nodes: 1,
            jobs: SlotMap::with_key(),
            pools: SlotMap::with_key(),
            pool_index: HashMap::new(),
            unserved: SecondaryMap::new(),
            in_flight: SecondaryMap::new(),
            fair: Counters::default(),
            lengths: Lengths::default(),
            retries: Retries::new(&limits),
            link_budget: Bucket::new(0.0),
            limits,
            prefixes: cache::Index::default(),
            send_rate: slots::SendRate::default(),
            peer_send_rate: slots::PeerRate::default(),
            timers: BTreeSet::new(),
            refused: vec![],
            scratch: vec![],
            waiting: 0,
            backing_off: BTreeSet::new(),
            epoch: 1,
            last_tick: None,
            demand: Averages::default(),
            min_token_interval: f64::INFINITY,
            highest_tier: u8::MAX,
            rng: SmallRng::seed_from_u64(seed),
            jitter: slots::Jitter::new(seed),
            switches: Switches::default(),
            cross_region: true,
            servers_examined: 0,
            permitted: BTreeSet::new(),
            connected: BTreeSet::new(),
            peer_loaded: vec![],
            rate_samples: speed::Samples::default(),
            prefilling: prefilling::Samples::default(),
            prefilling_seconds: prefilling::ASSUMED_SECONDS,
            prefilling_held: prefilling::Held::default(),
            overload: Overload::new(seed),
        }
        .with_limits()
    }

    fn with_limits(mut self) -> Self {
        self.set_limits(self.limits);
        self
    }

    /// Disables a mechanism, so that its effect can be measured.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::with_seed(7).with_disabled(policy::Mechanism::Fairness);
    /// assert_eq!(scheduler.waiting(), 0);
    /// ```
    pub fn with_disabled(mut self, mechanism: Mechanism) -> Self {
        self.switches.turn_off(mechanism);
        self
    }

    /// Sets the limits of the deployment. A change refills the link budget, and a change of the retry
    /// burst refills the retry budgets.
    pub fn set_limits(&mut self, limits: Limits) {
        self.retries.set_limits(&limits);
        if limits != self.limits || self.link_budget.fill_ratio() == 0.0 {
            self.link_budget = Bucket::new(limits.link_bytes as f64 * LINK_BURST_SECONDS);
        }
        self.limits = limits;
    }

    /// Adds or updates a class. Requests already submitted keep their tier.
    pub fn set_class(&mut self, key: ids::Class, class: Class) {
        self.classes.insert(key, class);
        self.unserved.entry(key).map(|entry| entry.or_default());
        self.update_class_bounds();
    }

    /// Updates what depends on all classes: the shortest token interval and the highest tier.
    fn update_class_bounds(&mut self) {
        let targets = self.classes.values().map(|class| class.token_interval.as_secs_f64());
        self.min_token_interval = targets.fold(f64::INFINITY, f64::min);
        self.highest_tier = self.classes.values().map(|class| class.tier).min().unwrap_or(u8::MAX);
    }

    /// Adds or updates a workspace.
    pub fn set_workspace(&mut self, key: ids::Workspace, workspace: Workspace) {
        self.workspaces.insert(key, workspace);
        self.update_lanes(key);
        self.epoch += 1;
    }

    /// Sets how fast a backend server fetches cached prefixes from others; none if it can't.
    pub fn set_fetch(&mut self, key: ids::Server, fetch: Option<Fetch>) {
        if let Some(state) = self.servers.get_mut(key) {
            state.terms.fetch = fetch;
        }
    }

    /// Sets whether the rate of a backend server is measured.
    pub fn set_measured(&mut self, key: ids::Server, is_measured: bool) {
        if let Some(state) = self.servers.get_mut(key) {
            state.terms.is_measured = is_measured;
        }
    }

    /// Sets whether a backend server can keep copies of what others run, and continue it.
    pub fn set_backups(&mut self, key: ids::Server, backups: bool) {
        if let Some(state) = self.servers.get_mut(key) {
            state.terms.backups = backups;
        }
    }

    /// Sets whether a backend server has announced a rate limit. If so, it is sent requests only on permits
    /// from [`Scheduler::add_permits`].
    pub fn set_rate_limited(&mut self, key: ids::Server, limited: bool) {
        let Some(state) = self.servers.get_mut(key) else { return };
        if state.permits.is_some() != limited {
            state.permits = limited.then(Permits::default);
            self.epoch += 1;
        }
    }

    /// Permits `count` requests to a rate-limited server; the permits expire after a short time.
    pub fn add_permits(&mut self, key: ids::Server, count: u32, now: Instant) {
        let state = self.servers.get_mut(key);
        if let Some(permits) = state.and_then(|state| state.permits.as_mut()) {
            permits.add(count, now + PERMIT_LIFETIME, now);
            self.permitted.insert(key);
            self.epoch += 1;
        }
    }

    /// Records that this node has an idle connection to a backend server, which it may use until a time.
    pub fn record_idle_connection(&mut self, key: ids::Server, until: Instant, now: Instant) {
        let servers = &self.servers;
        let is_connected =
            |other: &ids::Server| servers.get(*other).is_some_and(|other| other.is_connected(now));
        self.connected.retain(is_connected);
        if let Some(state) = self.servers.get_mut(key) {
            state.record_idle_connection(until);
            self.connected.insert(key);
        }
    }

    /// Removes a class that the settings no longer name.
    pub fn remove_class(&mut self, key: ids::Class) {
        self.classes.remove(key);
        self.unserved.remove(key);
        self.demand.remove_class(key);
        self.overload.remove_class(key);
        self.fair.remove_class(key);
        self.lengths.remove_class(key);
        self.update_class_bounds();
    }

    /// Removes a workspace that the settings no longer name.
    pub fn remove_workspace(&mut self, key: ids::Workspace) {
        self.workspaces.remove(key);
        self.fair.remove_workspace(key);
        self.overload.remove_workspace(key);
        self.lengths.remove_workspace(key);
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Estimates for the engine that a request was last sent to; none if it wasn't sent yet, or if the
    /// prefill rates in its pool are unknown.
    pub fn estimates(&self, job: ids::Job) -> Option<Expected> {
        self.jobs.get(job)?.expected
    }

    /// Requests that a server runs at once; none if the settings don't name it.
    pub fn slots(&self, server: ids::Server) -> Option<u32> {
        self.servers.get(server).map(server::State::slots)
    }

    /// Whether any requests that a server may get could go to an engine in reserve instead.
    pub fn has_reserve(&self, server: ids::Server) -> bool {
        self.pools.values().any(|pool| pool.has_server(server) && pool.has_reserve())
    }

    /// Requests of this node in flight at a server.
    pub fn in_flight_at(&self, server: ids::Server) -> u32 {
        self.servers.get(server).map_or(0, |state| state.sent)
    }

    /// Recent engine time by isolation group, the least pause tolerant first, in seconds. Counts only
    /// engines whose prefill rate is known. It decays at the same rate on all nodes, so the values of
    /// several nodes can be added.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// assert_eq!(policy::Scheduler::new().recent_engine_seconds(now), [0.0; policy::GROUPS]);
    /// ```
    pub fn recent_engine_seconds(&self, now: Instant) -> [f64; GROUPS] {
        let all = self.pools.values().map(|pool| pool.isolation.recent_seconds(now));
        all.fold([0.0; GROUPS], |sum, own| std::array::from_fn(|group| sum[group] + own[group]))
    }

    /// Sets whether a session's preferred engine may be in another region than its caller.
    pub fn set_cross_region(&mut self, crosses: bool) {
        self.cross_region = crosses;
    }

    /// Sets the sum of [`Scheduler::recent_engine_seconds`] over all nodes.
    pub fn set_fleet_engine_seconds(&mut self, seconds: [f64; GROUPS], now: Instant) {
        if !self.switches.is_on(Mechanism::FleetWork) {
            return;
        }
        for pool in self.pools.values_mut() {
            pool.isolation.set_fleet_work(seconds, now);
        }
    }

    /// Demand by class, averaged over the last seconds, to report to peers.
    pub fn demand(&self) -> Vec<Demand> {
        self.demand.demand()
    }

    /// Updates which servers belong to which pool, and drops unused pools.
    pub(crate) fn rebuild_pools(&mut self) {
        for pool in self.pools.values_mut() {
            pool.update_servers(&self.servers);
            self.servers_examined += self.servers.len() as u64;
        }
        self.epoch += 1;
        let Scheduler { pools, pool_index, last_tick, .. } = self;
        // A pool that is empty for a moment is kept for the recent engine time that it has recorded.
        let recently_active =
            |pool: &Pool| last_tick.is_some_and(|now| pool.isolation.recently_active(now));
        pools.retain(|_, pool| pool.jobs > 0 || recently_active(pool));
        pool_index.retain(|_, key| pools.contains_key(*key));
    }

    /// The pool of a request's model, allowed servers and allowed regions, created if needed.
    pub(crate) fn get_or_create_pool(&mut self, request: &Request, now: Instant) -> Key {
        let servers = self.workspaces.get(request.workspace).map(|w| w.servers.clone());
        let scope = Scope {
            model: request.model,
            servers: servers.unwrap_or_default(),
            regions: request.regions.clone(),
            version: request.version,
        };
        if let Some(key) = self.pool_index.get(&scope) {
            return *key;
        }
        let mut pool = Pool::new(scope.clone());
        pool.update_servers(&self.servers);
        let key = self.pools.insert(pool);
        self.pool_index.insert(scope, key);
        self.pools[key].update_groups(self.prefilling_seconds, now);
        self.update_pool_statistics(key);
        key
    }

    /// The key of a workspace's lane; all workspaces share one if fairness is disabled.
    pub(crate) fn lane_key(&self, workspace: ids::Workspace) -> ids::Workspace {
        if self.switches.is_on(Mechanism::Fairness) { workspace } else { ids::Workspace::default() }
    }

    /// Charges tokens to a workspace and reorders its lanes.
    pub(crate) fn charge_tokens(
        &mut self,
        class: ids::Class,
        workspace: ids::Workspace,
        tokens: i64,
    ) {
        if tokens == 0 || !self.switches.is_on(Mechanism::Fairness) {
            return;
        }
        let class_weight = self.classes.get(class).map_or(1, |class| class.weight);
        let weight = self.workspaces.get(workspace).map_or(1, |w| w.weight);
        self.fair.charge((class, class_weight), (workspace, weight), tokens);
        let counter = self.fair.workspace_counter(class, workspace);
        for queue in self.pools.values_mut().flat_map(|pool| &mut pool.queues) {
            if queue.class == class {
                queue.on_time.set_counter(workspace, counter);
                queue.late.set_counter(workspace, counter);
            }
        }
    }

    /// Whether a workspace may have one more request in flight.
    pub(crate) fn has_in_flight_room(&self, workspace: ids::Workspace) -> bool {
        let limit = self.workspaces.get(workspace).map_or(u32::MAX, |w| w.in_flight);
        self.in_flight.get(workspace).copied().unwrap_or(0) < limit
    }

    /// Opens or closes the lanes of a workspace by whether it may have one more request in flight.
    pub(crate) fn update_lanes(&mut self, workspace: ids::Workspace) {
        let (open, lane) = (self.has_in_flight_room(workspace), self.lane_key(workspace));
        if lane != workspace {
            return;
        }
        for queue in self.pools.values_mut().flat_map(|pool| &mut pool.queues) {
            queue.on_time.set_open(workspace, open);
            queue.late.set_open(workspace, open);
        }
    }

    /// Removes a request from the scheduler.
    pub(crate) fn remove_job(&mut self, job: ids::Job) -> Option<Pending> {
        self.dequeue(job);
        let pending = self.jobs.remove(job)?;
        if let Some(pool) = self.pools.get_mut(pending.pool) {
            pool.jobs -= 1;
        }
        Some(pending)
    }
}

impl Policy for Scheduler {
    fn submit(&mut self, request: Request, now: Instant) -> ids::Job {
        self.admit(request, now)
    }

    fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ticked = self.run_tick(now);
        self.run_timers(now);
        self.dispatch(now, actions);
        if ticked && self.switches.is_on(Mechanism::Preemption) {
            self.stop_for_waiting(now, actions);
            self.stop_for_engine_queue(now, actions);
        }
        for (job, refusal, retry_after) in std::mem::take(&mut self.refused) {
            if self.remove_job(job).is_some() {
                actions.push(Action::Refuse { job, refusal, retry_after });
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        if !self.refused.is_empty() {
            return self.last_tick;
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        let tick =
            self.last_tick.filter(|_| !self.jobs.is_empty()).map(|at| at + crate::dispatch::TICK);
        timer.into_iter().chain(tick).min()
    }

    fn record_tokens(&mut self, job: ids::Job, count: u32, now: Instant) {
        let Some(pending) = self.jobs.get_mut(job) else { return };
        let Stage::Sent(server) = pending.stage else { return };
        pending.produced = pending.produced.saturating_add(count);
        let last = pending.last_token.replace(now);
        let used = fair::cost(pending.request.prompt_tokens, pending.produced);
        let more = used.saturating_sub(pending.charged);
        pending.charged = pending.charged.max(used);
        let (class, workspace, sent) =
            (pending.request.class, pending.request.workspace, pending.sent_at);
        let first = last.is_none();
        let continued = pending.continued;
        let ahead = pending.ahead;
        if first && !continued {
            let took = now.saturating_duration_since(sent).as_secs_f64();
            self.record_rate_sample(job, speed::Observation { server, took, ahead }, now);
            self.record_inserted(job, server, now);
        }
        if let Some(last) = last {
            self.record_prefilling_interval(job, server, (now - last) / count.max(1), now);
        }
        let Some(pending) = self.jobs.get_mut(job) else { return };
        if let Some(state) = self.servers.get_mut(server) {
            state.health.record_response();
            if let Some(cold_time) = state.terms.cold_time {
                state.guard.record_answer(cold_time, now);
            }
            match last {
                None if continued => {}
                None => {
                    let took = now.saturating_duration_since(sent);
                    self.prefixes.record_prefill(&pending.request, server, now);
                    state.record_first_token(took);
                    let first_token = FirstToken {
                        priority: pending.priority,
                        prefill: pending.prefill,
                        queued_ahead: pending.ahead,
                        took: took.as_secs_f64(),
                    };
                    state.prefill.record_first_token(first_token, now);
                    pending.prefill = 0.0;
                }
                Some(last) => state.record_token_interval((now - last) / count.max(1)),
            }
            if last.is_some() {
                let (interval, slots) = (state.token_interval(), state.slots());
                state.limit.observe(interval, self.min_token_interval, slots, now);
            }
        }
        if first {
            self.end_returning(job, server, true);
        }
        self.charge_tokens(class, workspace, i64::from(more));
    }

    fn attempt_ended(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool {
        self.finish_attempt(job, ending, now)
    }

    fn withdraw(&mut self, job: ids::Job, _now: Instant) {
        self.remove_job(job);
    }

    fn record_report(&mut self, server: ids::Server, report: Report, now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let (interval, slots) = (report.token_interval.as_secs_f64(), state.slots());
        state.apply_report(report, now);
        if interval > 0.0 {
            state.limit.observe(interval, self.min_token_interval, slots, now);
        }
        self.epoch += 1;
    }

    fn set_share(&mut self, server: ids::Server, share: Share, _now: Instant) {
        let Some(state) = self.servers.get_mut(server) else { return };
        if state.share != Some(share) {
            state.share = Some(share);
            self.epoch += 1;
        }
    }

    fn demand(&self) -> Vec<Demand> {
        Scheduler::demand(self)
    }
}
