//! The decisions of one node, put together.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SecondaryMap, SlotMap};

use crate::action::{Action, Ending, Policy, Refusal};
use crate::bucket::Bucket;
use crate::cache;
use crate::fair::{self, Counters};
use crate::isolation::GROUPS;
use crate::length::Lengths;
use crate::mechanism::{Disabled, Mechanism};
use crate::need::Needs;
use crate::pending::{Expected, Pending, Stage};
use crate::pick::Candidate;
use crate::pool::{Key, Member, Pool};
use crate::prefill::FirstToken;
use crate::server;
use crate::slots;
use crate::terms::{Class, Demand, Fetch, Limits, Report, Request, Server, Share, Workspace};
use crate::throttle::Permits;

/// Retries that may come at once, over what fresh work has earned: those of one server that crashes
/// with its places full.
pub const RETRY_BURST: u32 = 16;
/// Bytes of the link that may be sent at once: two seconds' worth.
const LINK_SECONDS: f64 = 2.0;

/// A class that waits to be served ahead of its turn.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    /// When a request of it came that found none served since.
    pub(crate) since: Option<Instant>,
}

/// Admission, queue and choice of backend server for one node.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) classes: SecondaryMap<ids::Class, Class>,
    pub(crate) workspaces: SecondaryMap<ids::Workspace, Workspace>,
    pub(crate) servers: SecondaryMap<ids::Server, server::State>,
    pub(crate) jobs: SlotMap<ids::Job, Pending>,
    pub(crate) pools: SlotMap<Key, Pool>,
    pub(crate) index: HashMap<(ids::Model, Vec<ids::Server>), Key>,
    pub(crate) turns: SecondaryMap<ids::Class, Turn>,
    pub(crate) in_flight: SecondaryMap<ids::Workspace, u32>,
    pub(crate) fair: Counters,
    pub(crate) lengths: Lengths,
    /// By what is asked for: retries at one service must not be paid for by work at another.
    pub(crate) retries: SecondaryMap<ids::Model, Bucket>,
    pub(crate) link: Bucket,
    pub(crate) limits: Limits,
    pub(crate) prefixes: cache::Index,
    /// At what rate this node sends to engines, and others do.
    pub(crate) send_rate: slots::SendRate,
    pub(crate) peer_send_rate: slots::PeerRate,
    pub(crate) timers: BTreeSet<(Instant, ids::Job)>,
    pub(crate) refused: Vec<(ids::Job, Refusal, Duration)>,
    pub(crate) scratch: Vec<Candidate>,
    pub(crate) waiting: usize,
    /// Requests that wait for their next attempt, by tier.
    pub(crate) parked: BTreeSet<(u8, ids::Job)>,
    pub(crate) epoch: u64,
    pub(crate) ticked: Option<Instant>,
    pub(crate) needs: Needs,
    /// Strictest target between tokens among the classes, in seconds.
    pub(crate) strictest: f64,
    /// Rank of the highest tier that has a class.
    pub(crate) top: u8,
    pub(crate) rng: SmallRng,
    pub(crate) jitter: slots::Jitter,
    pub(crate) disabled: Disabled,
    /// A session may have its home in another region.
    pub(crate) cross_region: bool,
}

impl Default for Scheduler {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl Scheduler {
    /// A scheduler that knows of nothing yet.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::new();
    /// assert_eq!(scheduler.waiting(), 0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with a seed for its random choices, so that a run can be repeated.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::with_seed(7);
    /// assert_eq!(scheduler.waiting(), 0);
    /// ```
    pub fn with_seed(seed: u64) -> Self {
        Scheduler {
            classes: SecondaryMap::new(),
            workspaces: SecondaryMap::new(),
            servers: SecondaryMap::new(),
            jobs: SlotMap::with_key(),
            pools: SlotMap::with_key(),
            index: HashMap::new(),
            turns: SecondaryMap::new(),
            in_flight: SecondaryMap::new(),
            fair: Counters::default(),
            lengths: Lengths::default(),
            retries: SecondaryMap::new(),
            link: Bucket::new(0.0),
            limits: Limits { retry_percent: 10, retry_burst: RETRY_BURST, link_bytes: 1 << 20 },
            prefixes: cache::Index::default(),
            send_rate: slots::SendRate::default(),
            peer_send_rate: slots::PeerRate::default(),
            timers: BTreeSet::new(),
            refused: vec![],
            scratch: vec![],
            waiting: 0,
            parked: BTreeSet::new(),
            epoch: 1,
            ticked: None,
            needs: Needs::default(),
            strictest: f64::INFINITY,
            top: u8::MAX,
            rng: SmallRng::seed_from_u64(seed),
            jitter: slots::Jitter::new(seed),
            disabled: Disabled::default(),
            cross_region: true,
        }
        .with_limits()
    }

    fn with_limits(mut self) -> Self {
        self.set_limits(self.limits);
        self
    }

    /// Leaves a mechanism out, to measure what it buys.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::with_seed(7).with_disabled(policy::Mechanism::Fairness);
    /// assert_eq!(scheduler.waiting(), 0);
    /// ```
    pub fn with_disabled(mut self, mechanism: Mechanism) -> Self {
        self.disabled.disable(mechanism);
        self
    }

    /// Sets the limits of the deployment.
    pub fn set_limits(&mut self, limits: Limits) {
        if limits.retry_burst != self.limits.retry_burst {
            self.retries.clear();
        }
        if limits != self.limits || self.link.fill_ratio() == 0.0 {
            self.link = Bucket::new(limits.link_bytes as f64 * LINK_SECONDS);
        }
        self.limits = limits;
    }

    /// Sets the terms of a class. What waits keeps the tier it came with.
    pub fn set_class(&mut self, key: ids::Class, class: Class) {
        self.classes.insert(key, class);
        self.turns.entry(key).map(|entry| entry.or_default());
        self.set_pace();
    }

    fn set_pace(&mut self) {
        let targets = self.classes.values().map(|class| class.token_interval.as_secs_f64());
        self.strictest = targets.fold(f64::INFINITY, f64::min);
        self.top = self.classes.values().map(|class| class.tier).min().unwrap_or(u8::MAX);
    }

    /// Sets the terms of a workspace.
    pub fn set_workspace(&mut self, key: ids::Workspace, workspace: Workspace) {
        self.workspaces.insert(key, workspace);
        self.set_open(key);
        self.epoch += 1;
    }

    /// Sets the terms of a backend server; what is known of its load is kept.
    pub fn set_server(&mut self, key: ids::Server, terms: Server) {
        match self.servers.get_mut(key) {
            Some(known) => known.terms = terms,
            None => {
                self.servers.insert(key, server::State::new(terms));
            }
        }
        self.refresh();
    }

    /// Says how a backend server takes over prompts from others.
    pub fn set_fetch(&mut self, key: ids::Server, fetch: Option<Fetch>) {
        if let Some(known) = self.servers.get_mut(key) {
            known.terms.fetch = fetch;
        }
    }

    /// Says whether a backend server has named a rate limit. From then on it is sent nothing without a
    /// permit of [`Scheduler::add_permits`].
    pub fn set_rate_limited(&mut self, key: ids::Server, limited: bool) {
        let Some(known) = self.servers.get_mut(key) else { return };
        if known.permits.is_some() != limited {
            known.permits = limited.then(Permits::default);
            self.epoch += 1;
        }
    }

    /// Permits so many requests to a server that has named a rate limit, for a while.
    pub fn add_permits(&mut self, key: ids::Server, count: u32, now: Instant) {
        let known = self.servers.get_mut(key);
        if let Some(permits) = known.and_then(|known| known.permits.as_mut()) {
            permits.add(count, now);
            self.epoch += 1;
        }
    }

    /// Forgets a class that the settings no longer name.
    pub fn remove_class(&mut self, key: ids::Class) {
        self.classes.remove(key);
        self.turns.remove(key);
        self.needs.remove_class(key);
        self.fair.remove_class(key);
        self.lengths.remove_class(key);
        self.set_pace();
    }

    /// Forgets a workspace that the settings no longer name.
    pub fn remove_workspace(&mut self, key: ids::Workspace) {
        self.workspaces.remove(key);
        self.fair.remove_workspace(key);
        self.lengths.remove_workspace(key);
    }

    /// Gives a backend server that the settings no longer name no new work.
    pub fn remove_server(&mut self, key: ids::Server) {
        self.servers.remove(key);
        self.prefixes.remove_server(key);
        self.refresh();
    }

    /// Retries that requests for a model may spend.
    pub(crate) fn retries(&mut self, model: ids::Model) -> &mut Bucket {
        let burst = f64::from(self.limits.retry_burst);
        if !self.retries.contains_key(model) {
            self.retries.insert(model, Bucket::new(burst));
        }
        &mut self.retries[model]
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// What was expected of the engine that a request was sent to; none if it went to none whose
    /// reading is known.
    pub fn expected(&self, job: ids::Job) -> Option<Expected> {
        self.jobs.get(job)?.expected
    }

    /// Requests that a server runs at once; none if it isn't known.
    pub fn slots(&self, server: ids::Server) -> Option<u32> {
        self.servers.get(server).map(server::State::slots)
    }

    /// Number of requests sent to a server that haven't ended.
    pub fn in_flight_at(&self, server: ids::Server) -> u32 {
        self.servers.get(server).map_or(0, |known| known.sent)
    }

    /// Engine time of late by isolation group, the least tolerant first, in seconds, where engines are
    /// known to read. All fade in the same way, so those of several nodes can be added.
    ///
    /// ```
    /// assert_eq!(policy::Scheduler::new().recent_engine_seconds(), [0.0; policy::GROUPS]);
    /// ```
    pub fn recent_engine_seconds(&self) -> [f64; GROUPS] {
        let all = self.pools.values().map(|pool| pool.isolation.recent_seconds());
        all.fold([0.0; GROUPS], |sum, own| std::array::from_fn(|group| sum[group] + own[group]))
    }

    /// Says whether a session may have its home in another region than its caller's.
    pub fn set_cross_region(&mut self, crosses: bool) {
        self.cross_region = crosses;
    }

    /// Takes in the sum of [`Scheduler::recent_engine_seconds`] over all nodes.
    pub fn set_fleet_engine_seconds(&mut self, seconds: [f64; GROUPS], now: Instant) {
        if !self.disabled.lacks(Mechanism::FleetWork) {
            return;
        }
        for pool in self.pools.values_mut() {
            pool.isolation.set_fleet_work(seconds, now);
        }
    }

    /// Work by class, for peers: a mean over the last seconds.
    pub fn demand(&self) -> Vec<Demand> {
        self.needs.demand()
    }

    /// Works out again which servers belong to which pool, and drops pools that nobody uses.
    fn refresh(&mut self) {
        for pool in self.pools.values_mut() {
            pool.servers = members(&self.servers, pool.model, &pool.allowed);
            pool.members = ranked(&self.servers, &pool.servers);
        }
        self.epoch += 1;
        let Scheduler { pools, index, ticked, .. } = self;
        // One that stands empty for a moment still knows what its engines were used for of late.
        let of_late = |pool: &Pool| ticked.is_some_and(|now| pool.isolation.recently_active(now));
        pools.retain(|_, pool| pool.jobs > 0 || of_late(pool));
        index.retain(|_, key| pools.contains_key(*key));
    }

    /// The pool of a request.
    pub(crate) fn pool(&mut self, request: &Request, now: Instant) -> Key {
        let allowed = self.workspaces.get(request.workspace).map(|w| w.servers.clone());
        let allowed = allowed.unwrap_or_default();
        if let Some(key) = self.index.get(&(request.model, allowed.clone())) {
            return *key;
        }
        let mut pool = Pool::new(request.model, allowed.clone());
        pool.servers = members(&self.servers, request.model, &allowed);
        pool.members = ranked(&self.servers, &pool.servers);
        let key = self.pools.insert(pool);
        self.index.insert((request.model, allowed), key);
        self.part(key, now);
        self.measure(key);
        key
    }

    /// The lane of a workspace; a single one for all when turns are left out.
    pub(crate) fn lane(&self, workspace: ids::Workspace) -> ids::Workspace {
        if self.disabled.lacks(Mechanism::Fairness) { workspace } else { ids::Workspace::default() }
    }

    /// Charges tokens to a workspace and puts its lanes where they belong.
    pub(crate) fn charge(&mut self, class: ids::Class, workspace: ids::Workspace, tokens: i64) {
        if tokens == 0 || !self.disabled.lacks(Mechanism::Fairness) {
            return;
        }
        let class_weight = self.classes.get(class).map_or(1, |class| class.weight);
        let weight = self.workspaces.get(workspace).map_or(1, |w| w.weight);
        self.fair.charge((class, class_weight), (workspace, weight), tokens);
        let counter = self.fair.workspace_counter(class, workspace);
        for line in self.pools.values_mut().flat_map(|pool| &mut pool.queues) {
            if line.class == class {
                line.on_time.set_counter(workspace, counter);
                line.late.set_counter(workspace, counter);
            }
        }
    }

    /// Whether a workspace may have one more request in flight.
    pub(crate) fn open(&self, workspace: ids::Workspace) -> bool {
        let most = self.workspaces.get(workspace).map_or(u32::MAX, |w| w.in_flight);
        self.in_flight.get(workspace).copied().unwrap_or(0) < most
    }

    pub(crate) fn set_open(&mut self, workspace: ids::Workspace) {
        let (open, lane) = (self.open(workspace), self.lane(workspace));
        if lane != workspace {
            return;
        }
        for line in self.pools.values_mut().flat_map(|pool| &mut pool.queues) {
            line.on_time.set_open(workspace, open);
            line.late.set_open(workspace, open);
        }
    }

    /// Forgets a request.
    pub(crate) fn forget(&mut self, job: ids::Job) -> Option<Pending> {
        self.unqueue(job);
        let pending = self.jobs.remove(job)?;
        if let Some(pool) = self.pools.get_mut(pending.pool) {
            pool.jobs -= 1;
        }
        Some(pending)
    }
}

/// The servers that hold a model and are among those allowed.
fn members(
    servers: &SecondaryMap<ids::Server, server::State>,
    model: ids::Model,
    allowed: &[ids::Server],
) -> Vec<ids::Server> {
    let may = |key: &ids::Server| allowed.is_empty() || allowed.contains(key);
    let able = servers.iter().filter(|(_, known)| known.terms.models.contains(&model));
    able.map(|(key, _)| key).filter(may).collect()
}

/// Those of the servers that take new work, each with its rank in its region.
fn ranked(servers: &SecondaryMap<ids::Server, server::State>, pool: &[ids::Server]) -> Vec<Member> {
    let open = pool.iter().filter(|key| !servers[**key].leaving());
    let mut open: Vec<_> = open.map(|key| (&servers[*key].terms, *key)).collect();
    open.sort_by_key(|(terms, _)| (terms.region, crate::pick::mix64(terms.salt)));
    let mut ranked: Vec<Member> = vec![];
    for (terms, server) in open {
        let last = ranked.last().filter(|last| last.region == terms.region);
        let rank = last.map_or(0, |last| last.rank + 1);
        ranked.push(Member { server, region: terms.region, rank });
    }
    ranked
}

impl Policy for Scheduler {
    fn submit(&mut self, request: Request, now: Instant) -> ids::Job {
        self.admit(request, now)
    }

    fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ticks = self.tick(now);
        self.expire(now);
        self.dispatch(now, actions);
        if ticks && self.disabled.lacks(Mechanism::Preemption) {
            self.stop(now, actions);
            self.rescue(now, actions);
        }
        for (job, refusal, retry_after) in std::mem::take(&mut self.refused) {
            if self.forget(job).is_some() {
                actions.push(Action::Refuse { job, refusal, retry_after });
            }
        }
    }

    fn next_due(&self) -> Option<Instant> {
        if !self.refused.is_empty() {
            return self.ticked;
        }
        let timer = self.timers.first().map(|(at, _)| *at);
        let tick =
            self.ticked.filter(|_| !self.jobs.is_empty()).map(|at| at + crate::dispatch::TICK);
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
        if let Some(known) = self.servers.get_mut(server) {
            known.health.record_response();
            match last {
                None => {
                    let took = now.saturating_duration_since(sent);
                    self.prefixes.record_prefill(&pending.request, server, now);
                    known.record_first_token(took);
                    let begun = FirstToken {
                        priority: pending.priority,
                        prefill: pending.prefill,
                        queued_ahead: pending.ahead,
                        took: took.as_secs_f64(),
                    };
                    known.prefill.record_first_token(begun, now);
                    pending.prefill = 0.0;
                }
                Some(last) => known.record_token_interval((now - last) / count.max(1)),
            }
            if last.is_some() {
                let (interval, slots) = (known.token_interval(), known.slots());
                known.limit.observe(interval, self.strictest, slots, now);
            }
        }
        self.charge(class, workspace, i64::from(more));
    }

    fn attempt_ended(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool {
        self.conclude(job, ending, now)
    }

    fn withdraw(&mut self, job: ids::Job, _now: Instant) {
        self.forget(job);
    }

    fn record_report(&mut self, server: ids::Server, report: Report, now: Instant) {
        let Some(known) = self.servers.get_mut(server) else { return };
        let (interval, slots) = (report.token_interval.as_secs_f64(), known.slots());
        known.apply_report(report, now);
        if interval > 0.0 {
            known.limit.observe(interval, self.strictest, slots, now);
        }
        self.epoch += 1;
    }

    fn set_share(&mut self, server: ids::Server, share: Share, _now: Instant) {
        let Some(known) = self.servers.get_mut(server) else { return };
        if known.share != Some(share) {
            known.share = Some(share);
            self.epoch += 1;
        }
    }

    fn demand(&self) -> Vec<Demand> {
        Scheduler::demand(self)
    }
}
