//! Admits requests to the queue, displaces others when it is full, and refuses those that would be late.
//!
//! Load pattern: overload in all tiers. A bounded first-come-first-served queue refuses requests of high
//! tiers because requests of low tiers arrived earlier; in an unbounded one, all requests wait until
//! their answers are useless.
//!
//! A request that finds the queue full displaces one of the lowest tier, first one that has missed its
//! first-token target, else one of the workspace with the most requests in the queue. Within its own
//! tier it displaces one of that workspace too, if it has fewer itself. It is refused if there is no
//! such request. A request that can't be served in time is refused at once.

use std::time::{Duration, Instant};

use crate::action::Refusal;
use crate::filters::Opening;
use crate::forecast;
use crate::mechanism::Mechanism;
use crate::pending::{Pending, Stage};
use crate::pool::Key;
use crate::scheduler::Scheduler;
use crate::terms::Request;

/// Retry delay for a request that no server may take: new settings arrive within seconds.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A request displaces another of its own tier only from a lane that is longer than its own by more than
/// this, so that two workspaces don't displace each other in turn.
const LANE_LENGTH_MARGIN: usize = 1;

/// A request counts as late once less than this many times the median time to a first token is left of
/// its target. The margin is about the spread of prompt lengths.
const FIRST_TOKEN_MARGIN: f64 = 2.0;

/// Quantile of the answer length that must fit before the deadline when a request is sent. In overload
/// requests are sent about as late as this allows, since the longest waiting go first; at the median,
/// half of them would miss their deadline.
pub(crate) const LENGTH_QUANTILE: f64 = 0.8;
/// A request is refused early only if its forecast wait is more than this many times the time it has
/// left. A forecast that is too long costs an answer; one that is too short costs only the caller's time.
pub(crate) const FORECAST_MARGIN: f64 = 2.5;

impl Scheduler {
    /// Adds a request: puts it into its queue, or records its refusal.
    pub(crate) fn admit(&mut self, request: Request, now: Instant) -> ids::Job {
        let (class, workspace, prior) = (request.class, request.workspace, request.prior);
        let terms = self.classes.get(class);
        let tier = terms.map_or(u8::MAX, |class| class.tier);
        let priority = terms.map_or(u8::MAX, |class| class.priority);
        let pool = self.get_or_create_pool(&request, now);
        let jitter = self.jitter.next();
        self.pools[pool].jobs += 1;
        if let Some(unserved) = self.unserved.get_mut(class) {
            unserved.since.get_or_insert(now);
        }
        let pending = Pending {
            latest_send: request.deadline,
            request,
            tier,
            priority,
            jitter,
            pool,
            stage: Stage::Unqueued,
            attempts: prior.attempts,
            earned: prior.reached.then_some(0.0),
            reached: prior.reached,
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
            held: None,
            expected: None,
            sent_at: now,
            send_by: None,
            last_token: None,
            busy_engine: false,
            returning: false,
            continued: false,
        };
        let job = self.jobs.insert(pending);
        self.last_tick.get_or_insert(now);
        let configured =
            self.classes.contains_key(class) && self.workspaces.contains_key(workspace);
        let opening = self.opening(&self.jobs[job], now);
        if !configured || opening == Opening::Never {
            self.refused.push((job, Refusal::NoServer, NO_SERVER_RETRY_AFTER));
            return job;
        }
        if let Some(left) = self.rest_beyond_deadline(&self.jobs[job], opening, now) {
            self.refused.push((job, Refusal::Resting, left));
            return job;
        }
        self.update_estimates(job);
        if let Some((refusal, retry_after)) = self.overload_refusal(job, now) {
            self.refused.push((job, refusal, retry_after));
        } else if let Some(retry_after) = self.late_retry_after(job, now) {
            self.refused.push((job, Refusal::Late, retry_after));
        } else if self.make_room(job, now) {
            self.enqueue(job, now);
        } else {
            let retry_after = self.retry_after(job, now);
            self.refused.push((job, Refusal::Full, retry_after));
        }
        job
    }

    /// Time left until the first server takes a request, if all rest for so long that its answer would be late.
    pub(crate) fn rest_beyond_deadline(
        &self,
        pending: &Pending,
        opening: Opening,
        now: Instant,
    ) -> Option<Duration> {
        let Opening::At(at) = opening else { return None };
        let begins = at + Duration::from_secs_f64(self.pools[pending.pool].first_token_time);
        let late = begins > pending.request.deadline;
        late.then(|| at.saturating_duration_since(now))
    }

    /// Tokens still to come of an answer, at a quantile of the length estimate.
    pub(crate) fn remaining_tokens(&self, pending: &Pending, quantile: f64) -> u32 {
        let request = &pending.request;
        let limit = request.max_tokens.unwrap_or(u32::MAX).saturating_sub(pending.produced).max(1);
        if !self.switches.is_on(Mechanism::LengthEstimates) {
            return 128.min(limit);
        }
        let (class, workspace) = (request.class, request.workspace);
        self.lengths.remaining(class, workspace, pending.produced, quantile).min(limit)
    }

    /// Updates a request's estimated tokens, and the latest time at which it can be sent.
    fn update_estimates(&mut self, job: ids::Job) {
        let pending = &self.jobs[job];
        let tokens = self.remaining_tokens(pending, 0.5);
        let service = self.pools[pending.pool]
            .service_seconds(self.remaining_tokens(pending, LENGTH_QUANTILE));
        let fit = self.switches.is_on(Mechanism::DeadlineFit);
        let pending = &mut self.jobs[job];
        pending.tokens = tokens;
        let deadline = pending.request.deadline;
        let latest = deadline.checked_sub(Duration::from_secs_f64(service.min(3_600.0)));
        pending.latest_send = latest.filter(|_| fit).unwrap_or(deadline);
    }

    /// Puts a request into its queue.
    pub(crate) fn enqueue(&mut self, job: ids::Job, now: Instant) {
        self.update_estimates(job);
        let pending = &self.jobs[job];
        let (class, workspace) = (pending.request.class, pending.request.workspace);
        let (tier, pool) = (pending.tier, pending.pool);
        let has_tokens = pending.produced > 0;
        let target = self.classes.get(class).map_or(Duration::ZERO, |class| class.first_token);
        let margin =
            Duration::from_secs_f64(self.pools[pool].first_token_time * FIRST_TOKEN_MARGIN);
        let late_at = pending.request.arrived + target.saturating_sub(margin);
        let late = !has_tokens && late_at <= now && self.switches.is_on(Mechanism::Yielding);
        let lane = self.lane_key(workspace);
        let counter = self.raise_counters(pool, tier, class, lane);
        let open = self.has_in_flight_room(workspace);
        let entry = self.jobs[job].queue_entry(job, lane);
        let queue = self.pools[pool].queue_mut(tier, class);
        queue.lanes_mut(late).push(entry, counter, open);
        queue.blocked_epoch = 0;
        let pending = &mut self.jobs[job];
        pending.stage = Stage::Waiting { late };
        let yields = !late && !has_tokens && self.switches.is_on(Mechanism::Yielding);
        let timer = if yields { late_at.min(pending.latest_send) } else { pending.latest_send };
        pending.timer = Some(timer);
        self.timers.insert((timer, job));
        self.waiting += 1;
    }

    /// Raises the fairness counters of a class and a lane that were idle to the lowest of those that
    /// weren't; returns the lane's counter.
    fn raise_counters(
        &mut self,
        pool: Key,
        tier: u8,
        class: ids::Class,
        lane: ids::Workspace,
    ) -> u64 {
        if !self.switches.is_on(Mechanism::Fairness) {
            return 0;
        }
        let busy = |class: ids::Class| {
            let queues = self.pools.values().flat_map(|pool| &pool.queues);
            queues.filter(|queue| queue.class == class).any(|queue| queue.len() > 0)
        };
        if !busy(class) {
            let other_queues = self.pools.values().flat_map(|pool| &pool.queues);
            let others = other_queues.filter(|queue| queue.tier == tier && queue.len() > 0);
            let floor = others.map(|queue| self.fair.class_counter(queue.class)).min().unwrap_or(0);
            self.fair.lift_class(class, floor);
        }
        let queue = self.pools[pool].queue_mut(tier, class);
        let first =
            queue.on_time.lowest_counter().into_iter().chain(queue.late.lowest_counter()).min();
        let floor = first.unwrap_or(queue.last_counter);
        self.fair.lift_workspace(class, lane, floor)
    }

    /// Removes a request from its queue or from its backoff.
    pub(crate) fn dequeue(&mut self, job: ids::Job) {
        let Some(pending) = self.jobs.get_mut(job) else { return };
        if let Some(at) = pending.timer.take() {
            self.timers.remove(&(at, job));
        }
        self.backing_off.remove(&(pending.tier, job));
        let Stage::Waiting { late } = pending.stage else { return };
        pending.stage = Stage::Unqueued;
        let pending = &self.jobs[job];
        let entry = pending.queue_entry(job, self.lane_key(pending.request.workspace));
        let (tier, class) = (pending.tier, pending.request.class);
        if self.pools[pending.pool].queue_mut(tier, class).lanes_mut(late).remove(entry) {
            self.waiting -= 1;
        }
    }

    /// Refuses a waiting request; the next poll reports it to the driver.
    pub(crate) fn refuse(&mut self, job: ids::Job, refusal: Refusal, now: Instant) {
        let retry_after = self.retry_after(job, now);
        self.dequeue(job);
        self.refused.push((job, refusal, retry_after));
    }

    /// Seconds until a request would be sent if it joined its queue now. With a lane, counts only the
    /// tokens of its class that are served before that lane's turn; without one, the whole class.
    pub(crate) fn forecast_wait(
        &self,
        pending: &Pending,
        lane: Option<ids::Workspace>,
        now: Instant,
    ) -> f64 {
        let pool = &self.pools[pending.pool];
        let mut ahead = 0;
        let left = pending.latest_send.saturating_duration_since(now).as_secs_f64();
        let (mut above, mut tokens_above, mut weights) = (0.0, 0, 0);
        let own = self.classes.get(pending.request.class).map_or(1, |class| class.weight);
        for queue in &pool.queues {
            if queue.tier < pending.tier {
                above += queue.throughput.rate(left, now);
                tokens_above += queue.tokens();
            } else if queue.class == pending.request.class {
                ahead = match lane {
                    Some(lane) => {
                        let (_, tokens) = queue.on_time.lane_size(lane);
                        let lanes = queue.on_time.lane_count().max(1) as u64;
                        queue.on_time.tokens().min(lanes * (tokens + u64::from(pending.tokens)))
                    }
                    None => queue.tokens(),
                };
            } else if queue.tier == pending.tier && queue.len() > 0 {
                weights += self.classes.get(queue.class).map_or(1, |class| class.weight);
            }
        }
        let share = f64::from(own) / f64::from(own + weights);
        let higher = forecast::wait_seconds(tokens_above, pool.token_rate, 0.0);
        higher + forecast::wait_seconds(ahead, pool.token_rate * share, above * share)
    }

    /// Whether a request will be sent in time because its class reaches its longest wait: it is the only
    /// one of its class, and the longest wait ends before it must be sent.
    pub(crate) fn served_by_longest_wait(&self, pending: &Pending) -> bool {
        if !self.switches.is_on(Mechanism::LongestWait) {
            return false;
        }
        let class = pending.request.class;
        let queues = self.pools.values().flat_map(|pool| &pool.queues);
        let only_one =
            queues.filter(|queue| queue.class == class).map(|l| l.len()).sum::<usize>() <= 1;
        let since = self.unserved.get(class).and_then(|unserved| unserved.since);
        let longest = self.classes.get(class).map_or(Duration::MAX, |class| class.longest_wait);
        only_one && since.is_some_and(|since| since + longest <= pending.latest_send)
    }

    /// The retry delay for a request that can't be served in time; none if it can.
    fn late_retry_after(&self, job: ids::Job, now: Instant) -> Option<Duration> {
        let pending = &self.jobs[job];
        let early_refusal = self.switches.is_on(Mechanism::EarlyRefusal);
        let wait = self.forecast_wait(pending, Some(self.lane_key(pending.request.workspace)), now);
        let left = pending.latest_send.saturating_duration_since(now).as_secs_f64();
        let too_long = wait > left * FORECAST_MARGIN && !self.served_by_longest_wait(pending);
        let late = left == 0.0 || (early_refusal && too_long);
        late.then(|| self.retry_after(job, now))
    }

    /// Time after which a refused caller should retry, spread at random by job.
    pub(crate) fn retry_after(&self, job: ids::Job, now: Instant) -> Duration {
        let pending = &self.jobs[job];
        let wait = self.forecast_wait(pending, None, now);
        let lifetime = pending.latest_send.saturating_duration_since(pending.request.arrived);
        let spread = crate::pick::mix64(slotmap::Key::data(&job).as_ffi()) as f64 / u64::MAX as f64;
        forecast::retry_after(wait, lifetime.as_secs_f64() / 2.0, spread)
    }

    /// Displaces another request if the queue is full; returns whether there is room.
    fn make_room(&mut self, job: ids::Job, now: Instant) -> bool {
        let pending = &self.jobs[job];
        let limit = self.classes.get(pending.request.class).map_or(0, |class| class.queue);
        if self.waiting < limit {
            return true;
        }
        let (tier, class, lane) = (pending.tier, pending.request.class, pending.request.workspace);
        let own = self.pools[pending.pool].queue_mut(tier, class).on_time.lane_size(lane).0;
        let Some(victim) = self.displacement_victim(tier, own) else { return false };
        self.refuse(victim, Refusal::Displaced, now);
        true
    }

    /// The request to displace for one of `tier` whose own lane holds `own` requests.
    fn displacement_victim(&self, tier: u8, own: usize) -> Option<ids::Job> {
        let queues = || self.pools.values().flat_map(|pool| &pool.queues).filter(|l| l.len() > 0);
        let lowest = queues().map(|queue| queue.tier).max()?;
        if let Some((backoff_tier, job)) = self.backing_off.last()
            && *backoff_tier > tier.max(lowest)
        {
            return Some(*job);
        }
        if lowest < tier {
            return None;
        }
        let lanes = || {
            let queues = queues().filter(|queue| queue.tier == lowest);
            queues.flat_map(|queue| [&queue.late, &queue.on_time])
        };
        let late = || queues().filter(|l| l.tier == lowest).map(|l| &l.late).find(|b| b.len() > 0);
        if lowest > tier {
            let longest = lanes().max_by_key(|lanes| lanes.longest_lane());
            return late().or(longest)?.victim();
        }
        if !self.switches.is_on(Mechanism::Fairness) {
            return None;
        }
        let longest = lanes().max_by_key(|lanes| lanes.longest_lane())?;
        if longest.longest_lane() > own + LANE_LENGTH_MARGIN { longest.victim() } else { None }
    }
}
