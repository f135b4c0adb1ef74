//! Picks the next waiting request to send, and the server to send it to.
//!
//! Load pattern: servers with all slots occupied. Classes are served in the order of their tiers, and
//! within a tier by their fairness counters. A class that has gone unserved for its longest wait is
//! served first, with one request, so each class takes at most one slot per longest wait and node from
//! the classes above it.

use std::time::{Duration, Instant};

use crate::action::{Action, Refusal};
use crate::admit::{FORECAST_MARGIN, LENGTH_QUANTILE};
use crate::fair;
use crate::filters::Opening;
use crate::mechanism::Mechanism;
use crate::pending::{Pending, Stage};
use crate::pick::{self, Candidate};
use crate::pool::{Key, Queue};
use crate::scheduler::Scheduler;
use crate::server::{self, DEFAULT_FIRST_TOKEN_SECONDS, DEFAULT_TOKEN_SECONDS};

/// Interval at which forecasts and other time-dependent state are updated while the scheduler has
/// requests: well under every first-token target, and a tenth of the interval between load reports.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Most requests of a queue refused in one tick, so that no call takes long.
const MAX_REFUSALS_PER_QUEUE: usize = 64;
/// A server is a straggler if its token interval is more than this many times the median of its pool.
/// Differences in batch size alone stay below it.
pub(crate) const STRAGGLER_RATIO: f64 = 2.0;
/// Quantile of the answer length that must fit before the deadline at a straggler. It is stricter than
/// elsewhere, so a straggler's slots are used, but only by requests that will end in time.
const STRAGGLER_LENGTH_QUANTILE: f64 = 0.9;
/// Part of the first-token target that a request waits for a slot in its own region before it may cross
/// the link. A local slot comes free within that time unless the region is full, and the rest of the
/// target is enough for the crossing.
const CROSSING_DELAY: f64 = 0.1;
/// Part of the link budget reserved for each tier above that of a request.
const LINK_RESERVE_PER_TIER: f64 = 0.2;
/// Bytes sent over the link per prompt token, and per event with one answer token.
const PROMPT_TOKEN_BYTES: u32 = 4;
const ANSWER_TOKEN_BYTES: u32 = 200;

/// The expected time at a server is multiplied by one plus this times its failure rate. A server that
/// fails a tenth of its requests counts as twice as slow, so any other with ordinary load is preferred.
const FAILURE_PENALTY: f64 = 10.0;
/// Tokens of a typical answer, from which the wait for a slot at a full server is estimated. Only the
/// order of magnitude matters: the wait must outweigh the differences between servers with free slots.
const TYPICAL_ANSWER_TOKENS: u32 = 100;

/// The outcome of looking for a server for a request.
enum Choice {
    Server(ids::Server),
    /// No server can take this request now.
    Busy,
    /// No server has a free slot for this node, so only a request that may exceed its share can be sent.
    Full,
    /// All servers are leaving, or there are none.
    NoServer,
}

/// A queue by its pool and index, and whether its class is served ahead of its turn.
type QueueChoice = (Key, usize, bool);

impl Scheduler {
    /// Updates time-dependent state if a tick is due; returns whether it was.
    pub(crate) fn run_tick(&mut self, now: Instant) -> bool {
        if self.last_tick.is_some_and(|at| now.saturating_duration_since(at) < TICK) {
            return false;
        }
        let last = self.last_tick.replace(now).unwrap_or(now);
        let queues = self.pools.values().flat_map(|pool| &pool.queues);
        let waiting = queues.map(|queue| (queue.class, queue.len()));
        let sent = self.servers.values().flat_map(|state| &state.jobs);
        let sent = sent.filter_map(|job| self.jobs.get(*job)).map(|pending| pending.request.class);
        self.demand.add_sample(waiting, sent, now.saturating_duration_since(last));
        self.epoch += 1;
        self.link_budget.refill(self.limits.link_bytes as f64, now);
        for key in self.pools.keys().collect::<Vec<_>>() {
            self.pools[key].update_groups(self.prefilling_seconds, now);
            if self.pools[key].is_statistics_tick() {
                self.update_pool_statistics(key);
            }
            if self.switches.is_on(Mechanism::EarlyRefusal) {
                self.refuse_late(key, now);
            }
            self.refuse_beyond_rest(key, now);
        }
        true
    }

    /// Updates a pool's token rate, and its median times between tokens and to the first token.
    pub(crate) fn update_pool_statistics(&mut self, key: Key) {
        let others = self.pools.iter().filter(|(other, pool)| *other != key && pool.waiting() > 0);
        let others: Vec<_> = others.map(|(_, pool)| pool).collect();
        self.servers_examined += self.pools[key].servers.len() as u64;
        let (mut rate, mut intervals, mut known, mut firsts) = (0.0, vec![], vec![], vec![]);
        for server in &self.pools[key].servers {
            let state = &self.servers[*server];
            if self.leaves(state) {
                continue;
            }
            let users = 1 + others.iter().filter(|pool| pool.has_server(*server)).count();
            let node_slots = f64::from(state.node_slots(self.switches));
            rate += node_slots / state.token_interval() / users as f64;
            intervals.push(state.token_interval());
            known.extend(state.known_token_interval());
            firsts.extend(state.first_token_time());
        }
        let pool = &mut self.pools[key];
        pool.token_rate = rate;
        pool.token_interval = median(&mut intervals).unwrap_or(DEFAULT_TOKEN_SECONDS);
        pool.known_token_interval = median(&mut known);
        pool.first_token_time = median(&mut firsts).unwrap_or(DEFAULT_FIRST_TOKEN_SECONDS);
    }

    /// Refuses requests whose forecast wait is too long, from the end of each queue.
    fn refuse_late(&mut self, key: Key, now: Instant) {
        for index in 0..self.pools[key].queues.len() {
            for _ in 0..MAX_REFUSALS_PER_QUEUE {
                let queue = &self.pools[key].queues[index];
                let Some(job) = queue.late.victim().or_else(|| queue.on_time.victim()) else {
                    break;
                };
                let pending = &self.jobs[job];
                let wait = self.forecast_wait(pending, None, now);
                let left = pending.latest_send.saturating_duration_since(now).as_secs_f64();
                if wait <= left * FORECAST_MARGIN || self.served_by_longest_wait(pending) {
                    break;
                }
                self.refuse(job, Refusal::Late, now);
            }
        }
    }

    /// Refuses the requests of a pool whose answers would be late because all servers rest for so long.
    fn refuse_beyond_rest(&mut self, key: Key, now: Instant) {
        let queues = &self.pools[key].queues;
        let Some(next) = queues.iter().find_map(Queue::peek) else { return };
        if !matches!(self.opening(&self.jobs[next], now), Opening::At(_)) {
            return;
        }
        let waiting = self.jobs.iter().filter(|(_, pending)| {
            pending.pool == key && matches!(pending.stage, Stage::Waiting { .. })
        });
        let beyond = |(job, pending): (ids::Job, &Pending)| {
            let opening = self.opening(pending, now);
            Some((job, self.rest_beyond_deadline(pending, opening, now)?))
        };
        let late: Vec<_> = waiting.filter_map(beyond).collect();
        for (job, left) in late {
            self.dequeue(job);
            self.refused.push((job, Refusal::Resting, left));
        }
    }

    /// Handles the timers that are due: ends backoffs, marks late requests, and refuses those that can no
    /// longer be sent in time.
    pub(crate) fn run_timers(&mut self, now: Instant) {
        while let Some((at, job)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, job));
            let Some(pending) = self.jobs.get_mut(job) else { continue };
            pending.timer = None;
            match pending.stage {
                Stage::BackingOff => {
                    self.dequeue(job);
                    self.enqueue(job, now);
                }
                Stage::Waiting { .. } if now >= pending.latest_send => {
                    self.refuse(job, Refusal::Late, now);
                }
                Stage::Waiting { .. } => {
                    self.dequeue(job);
                    self.enqueue(job, now);
                }
                Stage::Sent(_) | Stage::Unqueued => {}
            }
        }
    }

    /// Sends waiting requests, in order, to servers that can take them.
    pub(crate) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((pool, index, overdue)) = self.next_queue(now) {
            let queue = &mut self.pools[pool].queues[index];
            let Some(job) = queue.peek() else { break };
            queue.blocked_epoch = self.epoch;
            match self.choose_server(job, overdue, now) {
                Choice::Busy => {}
                Choice::Full => self.pools[pool].full_epoch = self.epoch,
                Choice::NoServer => self.refuse(job, Refusal::NoServer, now),
                Choice::Server(server) => {
                    self.jobs[job].ahead_of_turn |= overdue;
                    self.send_to(job, server, now);
                    self.pools[pool].queues[index].blocked_epoch = 0;
                    actions.push(Action::Send { job, server });
                }
            }
        }
    }

    /// The queue to serve next, among those that may find a slot.
    fn next_queue(&self, now: Instant) -> Option<QueueChoice> {
        let mut best: Option<((bool, u8, u64), QueueChoice)> = None;
        for (key, pool) in &self.pools {
            for (index, queue) in pool.queues.iter().enumerate() {
                let full = pool.full_epoch == self.epoch && queue.tier != self.highest_tier;
                if full || queue.blocked_epoch == self.epoch || queue.peek().is_none() {
                    continue;
                }
                let overdue = self.is_overdue(queue, now);
                let order = (!overdue, queue.tier, self.fair.class_counter(queue.class));
                if best.as_ref().is_none_or(|(first, ..)| order < *first) {
                    best = Some((order, (key, index, overdue)));
                }
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Whether the class of a queue has gone unserved for its longest wait.
    fn is_overdue(&self, queue: &Queue, now: Instant) -> bool {
        if !self.switches.is_on(Mechanism::LongestWait) {
            return false;
        }
        let since = self.unserved.get(queue.class).and_then(|unserved| unserved.since);
        let longest = self.classes.get(queue.class).map(|class| class.longest_wait);
        since.zip(longest).is_some_and(|(since, longest)| now >= since + longest)
    }

    fn choose_server(&mut self, job: ids::Job, overdue: bool, now: Instant) -> Choice {
        match self.opening(&self.jobs[job], now) {
            Opening::Now => {}
            Opening::At(_) => return Choice::Full,
            Opening::Never => return Choice::NoServer,
        }
        if self.prefill_rates_known(&self.jobs[job]) {
            let (chosen, free) = self.select_engine(&self.jobs[job], now);
            let Some(chosen) = chosen else {
                return if free { Choice::Busy } else { Choice::Full };
            };
            self.record_engine_send(job, chosen, now);
            self.pools[self.jobs[job].pool].sends.record_send(0, now);
            return Choice::Server(chosen.server);
        }
        let mut candidates = std::mem::take(&mut self.scratch);
        let (pending, switches) = (&self.jobs[job], self.switches);
        let free = self.collect_candidates(&mut candidates, pending, overdue, now);
        let picked = pick::pick(&candidates, pending.request.prefix, &mut self.rng, switches);
        let choice = picked.map_or(if free { Choice::Busy } else { Choice::Full }, Choice::Server);
        self.pools[self.jobs[job].pool].sends.record_send(0, now);
        candidates.clear();
        self.scratch = candidates;
        choice
    }

    /// Collects the servers that can take a request now: those in its region, or else those in other
    /// regions if it may cross the link. Returns whether any server had a free slot.
    pub(crate) fn collect_candidates(
        &self,
        into: &mut Vec<Candidate>,
        pending: &Pending,
        overdue: bool,
        now: Instant,
    ) -> bool {
        let pool = &self.pools[pending.pool];
        let (tokens, straggler_tokens) = (
            self.remaining_tokens(pending, LENGTH_QUANTILE),
            self.remaining_tokens(pending, STRAGGLER_LENGTH_QUANTILE),
        );
        let left = pending.request.deadline.saturating_duration_since(now).as_secs_f64();
        let question = self.choice(pending, now);
        let mut working =
            pool.servers.iter().filter(|key| question.takes_work(&self.servers[**key]));
        // If all servers that work are ejected, the fault is more likely at this node, so none is excluded.
        let all_ejected = working.all(|key| self.is_ejected(*key, now));
        let link = self.switches.is_on(Mechanism::LinkBudget);
        let urgent = self.may_exceed_share(pending, now);
        let concentrates = pool.meets_few_connections(pool.servers.len(), now);
        let (mut near, mut far, mut free) = (false, 0, false);
        for key in &pool.servers {
            let state = &self.servers[*key];
            if question.hold(state).is_some() {
                continue;
            }
            let here = state.terms.region == pending.request.region;
            near |= here && !self.is_ejected(*key, now);
            let has_slot = state.has_free_slot(self.switches);
            free |= has_slot;
            let exceeds_share = !has_slot && urgent && state.has_spare_slots(now, self.switches);
            if !has_slot && !exceeds_share {
                continue;
            }
            if !self.accepts(state, pending, overdue)
                || (!all_ejected && self.is_excluded(*key, now))
                || self.is_misdirecting(*key, now)
            {
                continue;
            }
            let interval = state.token_interval();
            let straggles = interval > pool.token_interval * STRAGGLER_RATIO;
            let tokens = if straggles { straggler_tokens } else { tokens };
            let load = state.load(now, self.switches);
            let excess = (load + 1.0 - f64::from(state.slots())).max(0.0);
            let queue_seconds = excess * pool.service_seconds(TYPICAL_ANSWER_TOKENS)
                / f64::from(state.slots().max(1));
            let time = queue_seconds
                + state.first_token_time().unwrap_or(pool.first_token_time)
                + interval * f64::from(tokens);
            if time > left && !overdue && self.switches.is_on(Mechanism::DeadlineFit) {
                continue;
            }
            let load = load / f64::from(state.slots().max(1));
            let stall = if state.terms.prefill_rate.is_some()
                || !self.switches.is_on(Mechanism::Ejection)
            {
                0.0
            } else {
                self.longest_own_overdue(state, now)
            };
            let time = time * (1.0 + self.failure_rate(state, now) * FAILURE_PENALTY) + stall;
            let connected = concentrates && state.is_connected(now);
            let candidate =
                Candidate { server: *key, salt: state.terms.salt, load, time, connected };
            if here || !link {
                into.insert(into.len() - far, candidate);
            } else {
                into.push(candidate);
                far += 1;
            }
        }
        // A server where the last attempt failed doesn't count as a local choice.
        let just_failed = |candidate: &Candidate| Some(candidate.server) == pending.avoid;
        let only_far = into[..into.len() - far].iter().all(just_failed);
        let is_retry = pending.avoid.is_some();
        if far > 0 && !(only_far && self.may_cross_link(pending, near && !is_retry, now)) {
            into.truncate(into.len() - far);
        }
        if into.len() > 1
            && let Some(avoid) = pending.avoid
        {
            into.retain(|candidate| candidate.server != avoid);
        }
        free
    }

    /// Whether a server takes a request's tier now: no higher tier waits for it at a peer, unless the
    /// request's class is overdue.
    fn accepts(&self, state: &server::State, pending: &Pending, overdue: bool) -> bool {
        let peer_waits =
            state.peer_waiting_tier(self.switches).is_some_and(|waiting| waiting < pending.tier);
        !peer_waits || overdue
    }

    /// Whether a request may take a slot beyond this node's share: it is of the highest tier and its
    /// first-token target is at risk. Engines serve by tier, so if the slot was a peer's, a request of a
    /// lower tier is delayed instead of this one.
    fn may_exceed_share(&self, pending: &Pending, now: Instant) -> bool {
        pending.tier == self.highest_tier && self.target_at_risk(pending, now)
    }

    /// Part of a server's recent attempts that failed; zero if failure rates are disabled.
    pub(crate) fn failure_rate(&self, state: &server::State, now: Instant) -> f64 {
        let enabled =
            self.switches.is_on(Mechanism::Ejection) && self.switches.is_on(Mechanism::FailureRate);
        if enabled { state.health.failure_rate(now) } else { 0.0 }
    }

    /// Whether a server is ejected after failures, or its reports have stopped.
    pub(crate) fn is_ejected(&self, server: ids::Server, now: Instant) -> bool {
        let state = &self.servers[server];
        self.switches.is_on(Mechanism::Ejection)
            && (state.health.is_ejected(now) || state.reports_stopped(now))
    }

    /// Whether a server gets no requests: it is ejected, or it was and the one request that tests whether it
    /// has recovered is still running.
    pub(crate) fn is_excluded(&self, server: ids::Server, now: Instant) -> bool {
        let state = &self.servers[server];
        let testing = state.health.is_on_probation() && state.sent > 0;
        self.is_ejected(server, now) || (self.switches.is_on(Mechanism::Ejection) && testing)
    }

    /// Whether a server gets no requests because another one has its address, as far as is known. Unlike other
    /// failures, this can't be due to the node.
    pub(crate) fn is_misdirecting(&self, server: ids::Server, now: Instant) -> bool {
        self.servers[server].health.is_misdirecting() && self.is_excluded(server, now)
    }

    /// Whether a request may cross the link: it has no healthy server nearby or has waited long enough for
    /// one, and the budget left exceeds the reserve of the tiers above it.
    fn may_cross_link(&self, pending: &Pending, near: bool, now: Instant) -> bool {
        let target =
            self.classes.get(pending.request.class).map_or(Duration::ZERO, |c| c.first_token);
        let waited = now.saturating_duration_since(pending.request.arrived);
        let reserve = (f64::from(pending.tier) * LINK_RESERVE_PER_TIER).min(0.8);
        let affordable = self.link_budget.fill_ratio() > reserve;
        affordable && (!near || waited >= target.mul_f64(CROSSING_DELAY))
    }

    /// Records that a request is sent to a server, and charges its estimated cost.
    pub(crate) fn send_to(&mut self, job: ids::Job, server: ids::Server, now: Instant) {
        self.dequeue(job);
        let pending = &mut self.jobs[job];
        pending.stage = Stage::Sent(server);
        pending.attempts = pending.attempts.saturating_add(1);
        pending.sent_at = now;
        let (class, workspace, tier) =
            (pending.request.class, pending.request.workspace, pending.tier);
        let (pool, tokens, first) = (pending.pool, pending.tokens, pending.earned.is_none());
        let (service, priority) = (pending.request.service, pending.priority);
        let bytes =
            pending.request.prompt_tokens * PROMPT_TOKEN_BYTES + tokens * ANSWER_TOKEN_BYTES;
        let charge = fair::cost(pending.request.prompt_tokens, pending.produced + tokens);
        let more = i64::from(charge) - i64::from(pending.charged);
        pending.charged = charge;
        let far = self.servers[server].terms.region != pending.request.region;
        let send_by = self.servers[server].record_send(job, priority, now);
        self.record_returning(job, server, now);
        self.jobs[job].send_by = send_by;
        let lane = self.lane_key(workspace);
        let counter = self.fair.workspace_counter(class, lane);
        let queue = self.pools[pool].queue_mut(tier, class);
        queue.throughput.record(tokens, now);
        queue.last_counter = queue.last_counter.max(counter);
        let waits = queue.len() > 0;
        if let Some(unserved) = self.unserved.get_mut(class) {
            unserved.since = waits.then_some(now);
        }
        if far {
            self.link_budget.overdraw(f64::from(bytes));
        }
        if first {
            self.jobs[job].earned = Some(self.retries.earn(service));
        }
        if let Some(entry) = self.in_flight.entry(workspace) {
            *entry.or_default() += 1;
        }
        if !self.has_in_flight_room(workspace) {
            self.update_lanes(workspace);
        }
        self.charge_tokens(class, workspace, more);
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
