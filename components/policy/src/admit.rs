//! Whom there is room for.
//!
//! Pattern: overload in all tiers. With one bounded queue in order of arrival, requests of high
//! tiers are turned away for those of low ones that came before; with an unbounded one, all wait
//! until they are of no use.
//!
//! A request that finds the queue full takes the place of one of the lowest tier held, the one
//! that is latest to make its target; within its own tier, of the workspace that holds most. It is
//! refused only if neither stands below it. One that can't be served in time is refused at once.

use std::time::{Duration, Instant};

use crate::action::Refusal;
use crate::forecast;
use crate::mechanism::Mechanism;
use crate::pending::{Pending, Stage};
use crate::pool::Key;
use crate::scheduler::Scheduler;
use crate::terms::Request;

/// Told to a caller for whom there is no server at all: settings change within seconds.
const NO_SERVER: Duration = Duration::from_secs(1);
/// A victim of its own tier must come from a lane this much longer, so that two workspaces don't
/// displace each other in turn.
const LONGER: usize = 1;

/// Times that the usual way to a first token must fit into what is left of its target: prompts
/// differ in length by about as much.
const READING: f64 = 2.0;

/// Quantile of an answer's length that must fit before its deadline when it is sent. What waits
/// longest is sent first, so in overload all that is sent is as late as may be: at the median half
/// of it would be wasted.
pub(crate) const SURE: f64 = 0.8;
/// A request is given up early only if its forecast is this much over what it can bear. A forecast
/// that is too long costs an answer, one that is too short only the caller's time.
pub(crate) const CONFIDENT: f64 = 2.5;

impl Scheduler {
    /// Takes a request in: it waits, or it is noted as refused.
    pub(crate) fn admit(&mut self, request: Request, now: Instant) -> ids::Job {
        let (class, workspace) = (request.class, request.workspace);
        let terms = self.classes.get(class);
        let tier = terms.map_or(u8::MAX, |class| class.tier);
        let priority = terms.map_or(u8::MAX, |class| class.priority);
        let pool = self.pool(&request, now);
        let jitter = self.jitter.next();
        self.pools[pool].jobs += 1;
        if let Some(turn) = self.turns.get_mut(class) {
            turn.since.get_or_insert(now);
        }
        let pending = Pending {
            latest_send: request.deadline,
            request,
            tier,
            priority,
            jitter,
            pool,
            stage: Stage::Over,
            attempts: 0,
            stops: 0,
            stopping: false,
            ahead_of_turn: false,
            produced: 0,
            charged: 0,
            tokens: 0,
            timer: None,
            avoid: None,
            prefill: 0.0,
            ahead: 0.0,
            expected: None,
            sent_at: now,
            last_token: None,
        };
        let job = self.jobs.insert(pending);
        self.ticked.get_or_insert(now);
        let known = self.classes.contains_key(class) && self.workspaces.contains_key(workspace);
        if !known || !self.staffed(pool) {
            self.refused.push((job, Refusal::NoServer, NO_SERVER));
            return job;
        }
        self.estimate(job);
        if let Some(again) = self.hopeless(job, now) {
            self.refused.push((job, Refusal::Late, again));
        } else if self.make_room(job, now) {
            self.enqueue(job, now);
        } else {
            let again = self.again_after(job, now);
            self.refused.push((job, Refusal::Full, again));
        }
        job
    }

    /// Whether any server of a pool takes new work.
    pub(crate) fn staffed(&self, pool: Key) -> bool {
        self.pools[pool].servers.iter().any(|key| !self.servers[*key].leaving())
    }

    /// Tokens that an answer will still take, at a quantile.
    pub(crate) fn rest(&self, pending: &Pending, part: f64) -> u32 {
        let request = &pending.request;
        let most = request.max_tokens.unwrap_or(u32::MAX).saturating_sub(pending.produced).max(1);
        if !self.disabled.lacks(Mechanism::LengthEstimates) {
            return 128.min(most);
        }
        let (class, workspace) = (request.class, request.workspace);
        self.lengths.remaining(class, workspace, pending.produced, part).min(most)
    }

    /// Works out what a request stands for while it waits, and when it is too late to send it.
    fn estimate(&mut self, job: ids::Job) {
        let pending = &self.jobs[job];
        let rest = self.rest(pending, 0.5);
        let time = self.pools[pending.pool].service_seconds(self.rest(pending, SURE));
        let fit = self.disabled.lacks(Mechanism::DeadlineFit);
        let pending = &mut self.jobs[job];
        pending.tokens = rest;
        let deadline = pending.request.deadline;
        let call = deadline.checked_sub(Duration::from_secs_f64(time.min(3_600.0)));
        pending.latest_send = call.filter(|_| fit).unwrap_or(deadline);
    }

    /// Puts a request into its queue.
    pub(crate) fn enqueue(&mut self, job: ids::Job, now: Instant) {
        self.estimate(job);
        let pending = &self.jobs[job];
        let (class, workspace) = (pending.request.class, pending.request.workspace);
        let (tier, pool) = (pending.tier, pending.pool);
        let begun = pending.produced > 0;
        let target = self.classes.get(class).map_or(Duration::ZERO, |class| class.first_token);
        let reading = Duration::from_secs_f64(self.pools[pool].first_token_time * READING);
        let late_at = pending.request.arrived + target.saturating_sub(reading);
        let late = !begun && late_at <= now && self.disabled.lacks(Mechanism::Yielding);
        let lane = self.lane(workspace);
        let counter = self.lift(pool, tier, class, lane);
        let open = self.open(workspace);
        let entry = self.jobs[job].entry(job, lane);
        let line = self.pools[pool].queue_mut(tier, class);
        line.lanes_mut(late).push(entry, counter, open);
        line.blocked_epoch = 0;
        let pending = &mut self.jobs[job];
        pending.stage = Stage::Waiting { late };
        let yields = !late && !begun && self.disabled.lacks(Mechanism::Yielding);
        let timer = if yields { late_at.min(pending.latest_send) } else { pending.latest_send };
        pending.timer = Some(timer);
        self.timers.insert((timer, job));
        self.waiting += 1;
    }

    /// Brings counters of a class and a lane that were idle up to those that weren't.
    fn lift(&mut self, pool: Key, tier: u8, class: ids::Class, lane: ids::Workspace) -> u64 {
        if !self.disabled.lacks(Mechanism::Fairness) {
            return 0;
        }
        let busy = |class: ids::Class| {
            let lines = self.pools.values().flat_map(|pool| &pool.queues);
            lines.filter(|line| line.class == class).any(|line| line.len() > 0)
        };
        if !busy(class) {
            let others = self.pools.values().flat_map(|pool| &pool.queues);
            let others = others.filter(|line| line.tier == tier && line.len() > 0);
            let floor = others.map(|line| self.fair.class_counter(line.class)).min().unwrap_or(0);
            self.fair.lift_class(class, floor);
        }
        let line = self.pools[pool].queue_mut(tier, class);
        let first =
            line.on_time.lowest_counter().into_iter().chain(line.late.lowest_counter()).min();
        let floor = first.unwrap_or(line.last_counter);
        self.fair.lift_workspace(class, lane, floor)
    }

    /// Takes a request out of its queue, or out of its pause.
    pub(crate) fn unqueue(&mut self, job: ids::Job) {
        let Some(pending) = self.jobs.get_mut(job) else { return };
        if let Some(at) = pending.timer.take() {
            self.timers.remove(&(at, job));
        }
        self.parked.remove(&(pending.tier, job));
        let Stage::Waiting { late } = pending.stage else { return };
        pending.stage = Stage::Over;
        let pending = &self.jobs[job];
        let entry = pending.entry(job, self.lane(pending.request.workspace));
        let (tier, class) = (pending.tier, pending.request.class);
        if self.pools[pending.pool].queue_mut(tier, class).lanes_mut(late).remove(entry) {
            self.waiting -= 1;
        }
    }

    /// Gives a request up and notes it to be told at once.
    pub(crate) fn give_up(&mut self, job: ids::Job, refusal: Refusal, now: Instant) {
        let again = self.again_after(job, now);
        self.unqueue(job);
        self.refused.push((job, refusal, again));
    }

    /// Seconds until a request of a class and lane, put in its queue now, would be sent.
    pub(crate) fn forecast(
        &self,
        pending: &Pending,
        lane: Option<ids::Workspace>,
        now: Instant,
    ) -> f64 {
        let pool = &self.pools[pending.pool];
        let mut ahead = 0;
        let bearable = pending.latest_send.saturating_duration_since(now).as_secs_f64();
        let (mut above, mut tokens_above, mut weights) = (0.0, 0, 0);
        let own = self.classes.get(pending.request.class).map_or(1, |class| class.weight);
        for line in &pool.queues {
            if line.tier < pending.tier {
                above += line.throughput.rate(bearable, now);
                tokens_above += line.tokens();
            } else if line.class == pending.request.class {
                ahead = match lane {
                    Some(lane) => {
                        let (_, tokens) = line.on_time.lane_size(lane);
                        let turns = line.on_time.lane_count().max(1) as u64;
                        line.on_time.tokens().min(turns * (tokens + u64::from(pending.tokens)))
                    }
                    None => line.tokens(),
                };
            } else if line.tier == pending.tier && line.len() > 0 {
                weights += self.classes.get(line.class).map_or(1, |class| class.weight);
            }
        }
        let part = f64::from(own) / f64::from(own + weights);
        let higher = forecast::wait_seconds(tokens_above, pool.token_rate, 0.0);
        higher + forecast::wait_seconds(ahead, pool.token_rate * part, above * part)
    }

    /// Whether the longest wait of its class brings a request its turn in time.
    pub(crate) fn promised(&self, pending: &Pending) -> bool {
        if !self.disabled.lacks(Mechanism::LongestWait) {
            return false;
        }
        let class = pending.request.class;
        let lines = self.pools.values().flat_map(|pool| &pool.queues);
        let alone = lines.filter(|line| line.class == class).map(|l| l.len()).sum::<usize>() <= 1;
        let since = self.turns.get(class).and_then(|turn| turn.since);
        let longest = self.classes.get(class).map_or(Duration::MAX, |class| class.longest_wait);
        alone && since.is_some_and(|since| since + longest <= pending.latest_send)
    }

    /// When a request that can't be served in time had better be sent again.
    fn hopeless(&self, job: ids::Job, now: Instant) -> Option<Duration> {
        let pending = &self.jobs[job];
        let early = self.disabled.lacks(Mechanism::EarlyRefusal);
        let wait = self.forecast(pending, Some(self.lane(pending.request.workspace)), now);
        let bearable = pending.latest_send.saturating_duration_since(now).as_secs_f64();
        let over = wait > bearable * CONFIDENT && !self.promised(pending);
        let late = bearable == 0.0 || (early && over);
        late.then(|| self.again_after(job, now))
    }

    pub(crate) fn again_after(&self, job: ids::Job, now: Instant) -> Duration {
        let pending = &self.jobs[job];
        let wait = self.forecast(pending, None, now);
        let useful = pending.latest_send.saturating_duration_since(pending.request.arrived);
        let spread = crate::pick::mix64(slotmap::Key::data(&job).as_ffi()) as f64 / u64::MAX as f64;
        forecast::retry_after(wait, useful.as_secs_f64() / 2.0, spread)
    }

    /// Makes room for a request if the queue is full; returns whether there is any.
    fn make_room(&mut self, job: ids::Job, now: Instant) -> bool {
        let pending = &self.jobs[job];
        let room = self.classes.get(pending.request.class).map_or(0, |class| class.queue);
        if self.waiting < room {
            return true;
        }
        let (tier, class, lane) = (pending.tier, pending.request.class, pending.request.workspace);
        let own = self.pools[pending.pool].queue_mut(tier, class).on_time.lane_size(lane).0;
        let Some(victim) = self.victim(tier, own) else { return false };
        self.give_up(victim, Refusal::Displaced, now);
        true
    }

    /// The request to give up for one of `tier` whose own lane holds `own` requests.
    fn victim(&self, tier: u8, own: usize) -> Option<ids::Job> {
        let lines = || self.pools.values().flat_map(|pool| &pool.queues).filter(|l| l.len() > 0);
        let lowest = lines().map(|line| line.tier).max()?;
        if let Some((parked, job)) = self.parked.last()
            && *parked > tier.max(lowest)
        {
            return Some(*job);
        }
        if lowest < tier {
            return None;
        }
        let bands = || {
            let lines = lines().filter(|line| line.tier == lowest);
            lines.flat_map(|line| [&line.late, &line.on_time])
        };
        let late = || lines().filter(|l| l.tier == lowest).map(|l| &l.late).find(|b| b.len() > 0);
        if lowest > tier {
            let longest = bands().max_by_key(|band| band.longest_lane());
            return late().or(longest)?.victim();
        }
        if !self.disabled.lacks(Mechanism::Fairness) {
            return None;
        }
        let longest = bands().max_by_key(|band| band.longest_lane())?;
        if longest.longest_lane() > own + LONGER { longest.victim() } else { None }
    }
}
