//! Preempts running streams: stops one of a lower tier to free its slot for a request of a higher tier.
//!
//! Load pattern: long answers of a low tier occupy every slot when a burst of a high tier arrives. Slots
//! come free only as answers end, and by then the burst has missed its first-token target.
//!
//! The stopped stream's prompt and the tokens produced so far must be prefilled again where it resumes.
//! So a stream is stopped only if all servers it may resume on can continue a partial answer, if the
//! target is at risk but can still be met, and at a server that is full. Among those, the stream that
//! costs least is stopped.

use std::time::Instant;

use crate::action::Action;
use crate::dispatch::STRAGGLER_RATIO;
use crate::pending::{Pending, Stage};
use crate::pool::Key;
use crate::scheduler::Scheduler;
use crate::server;

/// Part of the first-token target after which a waiting request is at risk. Slots come free many times
/// within it unless long answers occupy all of them.
const AT_RISK_PART: f64 = 0.1;
/// Most stops of one stream, which bounds how often it is prefilled again. With 2, the top tier meets
/// 0.989 of its targets in a burst instead of 0.993, since too few streams may be stopped.
const MAX_STOPS: u8 = 3;
/// A stream is stopped only if the time to its deadline is more than this many times what its remaining
/// answer takes, so that it has time to wait and resume.
const TIME_MARGIN: f64 = 1.5;

/// Most stops per pool and tick, so that a burst doesn't stop all streams of a pool at once.
const MAX_STOPS_PER_POOL: usize = 2;
/// Most stops per tick for requests that were already sent, so that no call takes long.
const MAX_ENGINE_QUEUE_STOPS: usize = 16;
/// A sent request without a token after this part of its target is taken to wait in the engine's queue,
/// because the server was fuller than known. First tokens usually arrive in about half that time.
const ENGINE_QUEUE_PART: f64 = 0.25;

impl Scheduler {
    /// Stops streams in each pool where the next request of the highest waiting tier is at risk.
    pub(crate) fn stop_for_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for key in self.pools.keys().collect::<Vec<_>>() {
            for _ in 0..MAX_STOPS_PER_POOL {
                let Some(victim) = self.victim_in_pool(key, now) else { break };
                self.jobs[victim].stopping = true;
                actions.push(Action::Stop { job: victim });
            }
        }
    }

    /// Stops streams at servers where a sent request waits because peers had filled them without this node
    /// knowing. Engines serve by tier, so the request gets the slot that comes free.
    pub(crate) fn stop_for_engine_queue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let sent = self.servers.values().flat_map(|state| &state.jobs);
        let sent = sent.filter_map(|job| self.jobs.get(*job));
        let queued = sent.filter_map(|pending| self.queued_at_engine(pending, now));
        let queued: Vec<_> = queued.take(MAX_ENGINE_QUEUE_STOPS).collect();
        for (server, pool, tier) in queued {
            if let Some(victim) = self.cheapest_victim(pool, tier, Some(server), now).0 {
                self.jobs[victim].stopping = true;
                actions.push(Action::Stop { job: victim });
            }
        }
    }

    /// The server, pool and tier of a sent request that waits in the engine's queue and can still meet its
    /// target.
    fn queued_at_engine(&self, pending: &Pending, now: Instant) -> Option<(ids::Server, Key, u8)> {
        let Stage::Sent(server) = pending.stage else { return None };
        let class = self.classes.get(pending.request.class)?;
        let waited = now.saturating_duration_since(pending.sent_at);
        let queued =
            pending.produced == 0 && waited >= class.first_token.mul_f64(ENGINE_QUEUE_PART);
        let reachable =
            self.target_seconds_left(pending, now) > self.pools[pending.pool].first_token_time;
        (queued && reachable).then_some((server, pending.pool, pending.tier))
    }

    /// The stream to stop for the next request that waits for a pool, if that request is at risk.
    fn victim_in_pool(&self, key: Key, now: Instant) -> Option<ids::Job> {
        let queue = self.pools[key].queues.iter().find(|queue| queue.on_time.peek().is_some())?;
        let pending = &self.jobs[queue.on_time.peek()?];
        if !self.target_at_risk(pending, now) {
            return None;
        }
        let (best, stopping) = self.cheapest_victim(key, pending.tier, None, now);
        // At most one stop per waiting request.
        best.filter(|_| stopping < queue.on_time.len())
    }

    /// The stream of a tier below `tier` that costs least to stop, at one server or any server of a pool,
    /// and how many streams are being stopped there. At one server, none while another is being stopped.
    fn cheapest_victim(
        &self,
        key: Key,
        tier: u8,
        at: Option<ids::Server>,
        now: Instant,
    ) -> (Option<ids::Job>, usize) {
        let mut best: Option<(u8, u32, ids::Job)> = None;
        let mut stopping = 0;
        for (job, other) in &self.jobs {
            let Stage::Sent(server) = other.stage else { continue };
            let is_here = at.map_or_else(|| self.pools[key].has_server(server), |s| s == server);
            if !is_here {
                continue;
            }
            stopping += usize::from(other.stopping);
            if other.tier <= tier || !self.can_be_stopped(other, server, now) {
                continue;
            }
            let cost = other.request.prompt_tokens.saturating_add(other.produced);
            let better = |(tier, least, _): &(u8, u32, ids::Job)| {
                (other.tier, u32::MAX - cost) > (*tier, u32::MAX - *least)
            };
            if best.as_ref().is_none_or(better) {
                best = Some((other.tier, cost, job));
            }
        }
        let already_stopping = at.is_some() && stopping > 0;
        (best.filter(|_| !already_stopping).map(|(_, _, job)| job), stopping)
    }

    /// Seconds left until a request misses its first-token target; zero after that.
    fn target_seconds_left(&self, pending: &Pending, now: Instant) -> f64 {
        let target = self.classes.get(pending.request.class).map(|class| class.first_token);
        let waited = now.saturating_duration_since(pending.request.arrived);
        target.unwrap_or_default().saturating_sub(waited).as_secs_f64()
    }

    /// Whether a request has waited at least [`AT_RISK_PART`] of its first-token target, but would still meet
    /// it if sent now.
    pub(crate) fn target_at_risk(&self, pending: &Pending, now: Instant) -> bool {
        let Some(class) = self.classes.get(pending.request.class) else { return false };
        let waited = now.saturating_duration_since(pending.request.arrived);
        let late = waited >= class.first_token.mul_f64(AT_RISK_PART);
        late && self.target_seconds_left(pending, now) > self.pools[pending.pool].first_token_time
    }

    /// Whether a server probably has no free slot for this node.
    fn is_filled(&self, state: &server::State, now: Instant) -> bool {
        let share_used = state.share.is_some() && state.sent >= state.node_slots(self.switches);
        share_used
            || state.is_full()
            || state.load(now, self.switches) + 1.0 > f64::from(state.slots())
    }

    /// Whether stopping a stream frees a useful slot, and the stream can resume wherever it is sent next
    /// and still end in time.
    fn can_be_stopped(&self, pending: &Pending, server: ids::Server, now: Instant) -> bool {
        let state = self.servers.get(server);
        // A slot at a straggler is too slow to meet a target.
        let max_interval = self.pools[pending.pool].token_interval * STRAGGLER_RATIO;
        let is_useful = |state: &server::State| {
            state.token_interval() <= max_interval && self.is_filled(state, now)
        };
        let left = pending.request.deadline.saturating_duration_since(now).as_secs_f64();
        let needed = self.pools[pending.pool].service_seconds(self.remaining_tokens(pending, 0.5))
            * TIME_MARGIN;
        // A request sent because of its class's longest wait runs to its end: the class may get no other.
        let stoppable = !pending.stopping
            && !pending.ahead_of_turn
            && pending.stops < MAX_STOPS
            && needed < left;
        stoppable && state.is_some_and(is_useful) && self.can_resume_anywhere(pending)
    }

    /// Whether a stream may be interrupted and any server it could be sent to next can continue it. Sent
    /// to one that can't, it would end as an incomplete answer although nothing failed.
    fn can_resume_anywhere(&self, pending: &Pending) -> bool {
        let servers = self.pools[pending.pool].servers.iter().map(|key| &self.servers[*key]);
        let mut open = servers.filter(|state| !state.leaving());
        pending.request.idempotent && open.all(|state| state.terms.resumes)
    }
}
