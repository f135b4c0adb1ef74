//! Whose turn it is, and where it goes.
//!
//! Pattern: full servers. Classes stand in the order of their tiers, and within a tier by counters.
//! A class that waited for its longest wait goes first, with one request: each class costs those
//! above it at most one place in each longest wait and node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::action::{Action, Refusal};
use crate::admit::{CONFIDENT, SURE};
use crate::fair;
use crate::mechanism::Mechanism;
use crate::pending::{Pending, Stage};
use crate::pick::{self, Candidate};
use crate::pool::{Key, Queue};
use crate::scheduler::Scheduler;
use crate::server::{self, DEFAULT_FIRST_TOKEN_SECONDS, DEFAULT_TOKEN_SECONDS};

/// How often forecasts and what depends on time alone are looked at while requests wait: well under
/// every first-token target, and a tenth of the time between reports.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Requests of a line given up in one tick, so that no call takes long.
const TRIM: usize = 64;
/// Token interval against the pool's median that makes a straggler: batches differ by less.
pub(crate) const STRAGGLER: f64 = 2.0;
/// Quantile of the length that must fit at a straggler: its places are used, for what is safe there.
const SAFE: f64 = 0.9;
/// The link is crossed once this part of the first-token target was waited: a place nearby comes
/// sooner unless the region is full, and the rest is enough for the crossing.
const CROSS: f64 = 0.1;
/// Part of the link's budget that each tier leaves to those above it.
const LINK_STEP: f64 = 0.2;
/// Bytes of a token of a prompt, and of an event that carries one of an answer.
const PROMPT_BYTES: u32 = 4;
const EVENT_BYTES: u32 = 200;

/// Times its own time that a server which fails all requests seems to take: one that fails a tenth is
/// passed over for any other whose load is usual.
const FAULTY: f64 = 10.0;
/// Tokens of a usual answer, for how soon a place comes free at a full server. Only its order of
/// size matters: it must outweigh the differences between free servers.
const USUAL: u32 = 100;

/// Where a request may go.
enum Choice {
    Server(ids::Server),
    /// Nothing for this request now.
    Busy,
    /// Nothing for any request now, unless it may go beyond this node's part.
    Full,
    Nobody,
}

/// A line of a pool by its index, and whether it goes ahead of its turn.
type Place = (Key, usize, bool);

impl Scheduler {
    /// Looks at what depends on time alone, if it is time; returns whether it was.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        if self.ticked.is_some_and(|at| now.saturating_duration_since(at) < TICK) {
            return false;
        }
        let last = self.ticked.replace(now).unwrap_or(now);
        let lines = self.pools.values().flat_map(|pool| &pool.queues);
        let waiting = lines.map(|line| (line.class, line.len()));
        let sent = self.servers.values().flat_map(|known| &known.jobs);
        let sent = sent.filter_map(|job| self.jobs.get(*job)).map(|pending| pending.request.class);
        self.needs.add(waiting, sent, now.saturating_duration_since(last));
        self.epoch += 1;
        self.link.refill(self.limits.link_bytes as f64, now);
        for key in self.pools.keys().collect::<Vec<_>>() {
            self.part(key, now);
            self.measure(key);
            if self.disabled.lacks(Mechanism::EarlyRefusal) {
                self.trim(key, now);
            }
        }
        true
    }

    /// Works out which engines of a pool are for steady streams.
    pub(crate) fn part(&mut self, key: Key, now: Instant) {
        let pool = &mut self.pools[key];
        let mut engines = HashMap::new();
        for member in &pool.members {
            *engines.entry(member.region).or_insert(0) += 1;
        }
        pool.isolation.update_borders(&engines, now);
    }

    /// Measures what a pool can do.
    pub(crate) fn measure(&mut self, key: Key) {
        let waiting = |pool: Key| pool == key || self.pools[pool].waiting() > 0;
        let users: Vec<_> = self.pools.keys().filter(|pool| waiting(*pool)).collect();
        let (mut rate, mut intervals, mut firsts) = (0.0, vec![], vec![]);
        for server in &self.pools[key].servers {
            let known = &self.servers[*server];
            if known.leaving() {
                continue;
            }
            let shared = users.iter().filter(|user| self.pools[**user].servers.contains(server));
            let places = f64::from(known.node_slots(self.disabled));
            rate += places / known.token_interval() / shared.count() as f64;
            intervals.push(known.token_interval());
            firsts.extend(known.first_token_time());
        }
        let pool = &mut self.pools[key];
        pool.token_rate = rate;
        pool.token_interval = median(&mut intervals).unwrap_or(DEFAULT_TOKEN_SECONDS);
        pool.first_token_time = median(&mut firsts).unwrap_or(DEFAULT_FIRST_TOKEN_SECONDS);
    }

    /// Gives up what can't be served in time, from the end of each line.
    fn trim(&mut self, key: Key, now: Instant) {
        for index in 0..self.pools[key].queues.len() {
            for _ in 0..TRIM {
                let line = &self.pools[key].queues[index];
                let Some(job) = line.late.victim().or_else(|| line.on_time.victim()) else { break };
                let pending = &self.jobs[job];
                let wait = self.forecast(pending, None, now);
                let bearable = pending.latest_send.saturating_duration_since(now).as_secs_f64();
                if wait <= bearable * CONFIDENT || self.promised(pending) {
                    break;
                }
                self.give_up(job, Refusal::Late, now);
            }
        }
    }

    /// Acts on timers that have come due.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((at, job)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, job));
            let Some(pending) = self.jobs.get_mut(job) else { continue };
            pending.timer = None;
            match pending.stage {
                Stage::Parked => {
                    self.unqueue(job);
                    self.enqueue(job, now);
                }
                Stage::Waiting { .. } if now >= pending.latest_send => {
                    self.give_up(job, Refusal::Late, now);
                }
                Stage::Waiting { .. } => {
                    self.unqueue(job);
                    self.enqueue(job, now);
                }
                Stage::Sent(_) | Stage::Over => {}
            }
        }
    }

    /// Sends what finds a place.
    pub(crate) fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((pool, index, overdue)) = self.next(now) {
            let line = &mut self.pools[pool].queues[index];
            let Some(job) = line.peek() else { break };
            line.blocked_epoch = self.epoch;
            match self.choose(job, overdue, now) {
                Choice::Busy => {}
                Choice::Full => self.pools[pool].full_epoch = self.epoch,
                Choice::Nobody => self.give_up(job, Refusal::NoServer, now),
                Choice::Server(server) => {
                    self.jobs[job].ahead_of_turn |= overdue;
                    self.send(job, server, now);
                    self.pools[pool].queues[index].blocked_epoch = 0;
                    actions.push(Action::Send { job, server });
                }
            }
        }
    }

    /// The line whose turn it is among those that may find a place.
    fn next(&self, now: Instant) -> Option<Place> {
        let mut best: Option<((bool, u8, u64), Place)> = None;
        for (key, pool) in &self.pools {
            for (index, line) in pool.queues.iter().enumerate() {
                let full = pool.full_epoch == self.epoch && line.tier != self.top;
                if full || line.blocked_epoch == self.epoch || line.peek().is_none() {
                    continue;
                }
                let overdue = self.overdue(line, now);
                let order = (!overdue, line.tier, self.fair.class_counter(line.class));
                if best.as_ref().is_none_or(|(first, ..)| order < *first) {
                    best = Some((order, (key, index, overdue)));
                }
            }
        }
        best.map(|(_, place)| place)
    }

    fn overdue(&self, line: &Queue, now: Instant) -> bool {
        if !self.disabled.lacks(Mechanism::LongestWait) {
            return false;
        }
        let since = self.turns.get(line.class).and_then(|turn| turn.since);
        let longest = self.classes.get(line.class).map(|class| class.longest_wait);
        since.zip(longest).is_some_and(|(since, longest)| now >= since + longest)
    }

    fn choose(&mut self, job: ids::Job, overdue: bool, now: Instant) -> Choice {
        if !self.staffed(self.jobs[job].pool) {
            return Choice::Nobody;
        }
        if self.prefill_rates_known(&self.jobs[job]) {
            let (chosen, free) = self.select_engine(&self.jobs[job], now);
            let Some(chosen) = chosen else {
                return if free { Choice::Busy } else { Choice::Full };
            };
            self.record_engine_send(job, chosen, now);
            return Choice::Server(chosen.server);
        }
        let mut candidates = std::mem::take(&mut self.scratch);
        let (pending, without) = (&self.jobs[job], self.disabled);
        let free = self.candidates(&mut candidates, pending, overdue, now);
        let picked = pick::pick(&candidates, pending.request.prefix, &mut self.rng, without);
        let choice = picked.map_or(if free { Choice::Busy } else { Choice::Full }, Choice::Server);
        candidates.clear();
        self.scratch = candidates;
        choice
    }

    /// Servers that may take a request now: near ones, else far ones if the link may be used.
    /// Returns whether any had a place.
    fn candidates(
        &self,
        into: &mut Vec<Candidate>,
        pending: &Pending,
        overdue: bool,
        now: Instant,
    ) -> bool {
        let pool = &self.pools[pending.pool];
        let (rest, safe) = (self.rest(pending, SURE), self.rest(pending, SAFE));
        let left = pending.request.deadline.saturating_duration_since(now).as_secs_f64();
        let ejected = pool.servers.iter().filter(|key| self.is_ejected(**key, now)).count();
        // All of a pool out at once says more about this node than about the servers.
        let panic = ejected == pool.servers.len();
        let link = self.disabled.lacks(Mechanism::LinkBudget);
        let urgent = self.urgent(pending, now);
        let (mut near, mut far, mut free) = (false, 0, false);
        for key in &pool.servers {
            let known = &self.servers[*key];
            if !known.has_permit(now) {
                continue;
            }
            let here = known.terms.region == pending.request.region;
            near |= here && !known.leaving() && !self.is_ejected(*key, now);
            let place = known.has_free_slot(self.disabled);
            free |= place;
            let beyond = !place && urgent && known.has_spare_slots(now, self.disabled);
            if !place && !beyond {
                continue;
            }
            if !self.takes(known, pending, overdue) || (!panic && self.is_excluded(*key, now)) {
                continue;
            }
            let interval = known.token_interval();
            let straggles = interval > pool.token_interval * STRAGGLER;
            let tokens = if straggles { safe } else { rest };
            let load = known.load(now, self.disabled);
            let over = (load + 1.0 - f64::from(known.slots())).max(0.0);
            let queue = over * pool.service_seconds(USUAL) / f64::from(known.slots().max(1));
            let time = queue
                + known.first_token_time().unwrap_or(pool.first_token_time)
                + interval * f64::from(tokens);
            if time > left && !overdue && self.disabled.lacks(Mechanism::DeadlineFit) {
                continue;
            }
            let load = load / f64::from(known.slots().max(1));
            let hangs = if known.terms.prefill_rate.is_some()
                || !self.disabled.lacks(Mechanism::Ejection)
            {
                0.0
            } else {
                self.longest_own_overdue(known, now)
            };
            let time = time * (1.0 + self.failure_rate(known, now) * FAULTY) + hangs;
            let candidate = Candidate { server: *key, salt: known.terms.salt, load, time };
            if here || !link {
                into.insert(into.len() - far, candidate);
            } else {
                into.push(candidate);
                far += 1;
            }
        }
        // A server that just failed is as good as none.
        let spent = |candidate: &Candidate| Some(candidate.server) == pending.avoid;
        let only_far = into[..into.len() - far].iter().all(spent);
        let again = pending.avoid.is_some();
        if far > 0 && !(only_far && self.may_cross_link(pending, near && !again, now)) {
            into.truncate(into.len() - far);
        }
        if into.len() > 1
            && let Some(avoid) = pending.avoid
        {
            into.retain(|candidate| candidate.server != avoid);
        }
        free
    }

    /// Whether a server takes requests of this tier now.
    fn takes(&self, known: &server::State, pending: &Pending, overdue: bool) -> bool {
        let awaited =
            known.peer_waiting_tier(self.disabled).is_some_and(|waiting| waiting < pending.tier);
        !known.leaving() && (!awaited || overdue)
    }

    /// A request of the highest tier that waits long goes beyond this node's part: engines honour
    /// tiers, so if the place is a peer's, a lower tier waits for it and not this request.
    fn urgent(&self, pending: &Pending, now: Instant) -> bool {
        pending.tier == self.top && self.in_danger(pending, now)
    }

    /// Part of its attempts of late that failed.
    pub(crate) fn failure_rate(&self, known: &server::State, now: Instant) -> f64 {
        let told =
            self.disabled.lacks(Mechanism::Ejection) && self.disabled.lacks(Mechanism::FailureRate);
        if told { known.health.failure_rate(now) } else { 0.0 }
    }

    pub(crate) fn is_ejected(&self, server: ids::Server, now: Instant) -> bool {
        let known = &self.servers[server];
        self.disabled.lacks(Mechanism::Ejection)
            && (known.health.is_ejected(now) || known.reports_stopped(now))
    }

    pub(crate) fn is_excluded(&self, server: ids::Server, now: Instant) -> bool {
        let known = &self.servers[server];
        let probed = known.health.is_on_probation() && known.sent > 0;
        self.is_ejected(server, now) || (self.disabled.lacks(Mechanism::Ejection) && probed)
    }

    /// Whether a request may cross the link: it buys a target, and the budget bears it.
    fn may_cross_link(&self, pending: &Pending, near: bool, now: Instant) -> bool {
        let target =
            self.classes.get(pending.request.class).map_or(Duration::ZERO, |c| c.first_token);
        let waited = now.saturating_duration_since(pending.request.arrived);
        let reserve = (f64::from(pending.tier) * LINK_STEP).min(0.8);
        let affordable = self.link.fill_ratio() > reserve;
        affordable && (!near || waited >= target.mul_f64(CROSS))
    }

    fn send(&mut self, job: ids::Job, server: ids::Server, now: Instant) {
        self.unqueue(job);
        let pending = &mut self.jobs[job];
        pending.stage = Stage::Sent(server);
        pending.attempts = pending.attempts.saturating_add(1);
        pending.sent_at = now;
        let (class, workspace, tier) =
            (pending.request.class, pending.request.workspace, pending.tier);
        let (pool, tokens, first) = (pending.pool, pending.tokens, pending.attempts == 1);
        let (model, urgency) = (pending.request.model, pending.priority);
        let bytes = pending.request.prompt_tokens * PROMPT_BYTES + tokens * EVENT_BYTES;
        let charge = fair::cost(pending.request.prompt_tokens, pending.produced + tokens);
        let more = i64::from(charge) - i64::from(pending.charged);
        pending.charged = charge;
        let far = self.servers[server].terms.region != pending.request.region;
        self.servers[server].record_send(job, urgency, now);
        let lane = self.lane(workspace);
        let counter = self.fair.workspace_counter(class, lane);
        let line = self.pools[pool].queue_mut(tier, class);
        line.throughput.record(tokens, now);
        line.last_counter = line.last_counter.max(counter);
        let waits = line.len() > 0;
        if let Some(turn) = self.turns.get_mut(class) {
            turn.since = waits.then_some(now);
        }
        if far {
            self.link.overdraw(f64::from(bytes));
        }
        if first {
            let part = f64::from(self.limits.retry_percent) / 100.0;
            self.retries(model).add(part);
        }
        if let Some(entry) = self.in_flight.entry(workspace) {
            *entry.or_default() += 1;
        }
        if !self.open(workspace) {
            self.set_open(workspace);
        }
        self.charge(class, workspace, more);
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
