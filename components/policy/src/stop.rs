//! Which running stream is stopped for a higher tier.
//!
//! Pattern: long answers of a low tier hold every place when a burst of a high tier comes. A place
//! comes free only as an answer ends, and the burst misses its first-token target by then.
//!
//! Stopping costs the reading of the prompt and of what was produced once more, where the stream
//! goes on. So it is done only where servers go on with a begun answer, only when the target is
//! about to be missed and can still be met, at a server that is full, and for the stream that costs
//! least.

use std::time::Instant;

use crate::action::Action;
use crate::dispatch::STRAGGLER;
use crate::pending::{Pending, Stage};
use crate::pool::Key;
use crate::scheduler::Scheduler;
use crate::server;

/// A request that has waited this part of its target is in danger: places come free many times in
/// that time unless all is held by long answers.
const DANGER: f64 = 0.1;
/// Stops of one stream in its life; the bound on what is read again for it. Two leave the top tier
/// short in a burst (0.989 of its targets met in place of 0.993), where few streams may be stopped.
const STOPS: u8 = 3;
/// A stopped stream must have this many times the time that its rest takes, to wait and go on in.
const SLACK: f64 = 1.5;

/// Stops in one look at a pool, so that a burst doesn't stop a pool's streams all at once.
const AT_ONCE: usize = 2;
/// Requests rescued in one look, so that no call takes long.
const RESCUED: usize = 16;
/// A request that was sent and has no token after this part of its target stands in the engine's
/// queue: the server was fuller than known. Usual first tokens come in about half that time.
const STUCK: f64 = 0.25;

impl Scheduler {
    /// Asks for a stop in each pool whose highest waiting tier is in danger.
    pub(crate) fn stop(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for key in self.pools.keys().collect::<Vec<_>>() {
            for _ in 0..AT_ONCE {
                let Some(victim) = self.stoppable(key, now) else { break };
                self.jobs[victim].stopping = true;
                actions.push(Action::Stop { job: victim });
            }
        }
    }

    /// Asks for stops where a request was sent to a server that peers had filled unheard; engines
    /// honour tiers, so the slot that comes free is its own.
    pub(crate) fn rescue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let sent = self.servers.values().flat_map(|known| &known.jobs);
        let sent = sent.filter_map(|job| self.jobs.get(*job));
        let stuck = sent.filter_map(|pending| self.stuck(pending, now));
        let stuck: Vec<_> = stuck.take(RESCUED).collect();
        for (server, pool, tier) in stuck {
            if let Some(victim) = self.victim_at(pool, tier, Some(server), now).0 {
                self.jobs[victim].stopping = true;
                actions.push(Action::Stop { job: victim });
            }
        }
    }

    fn stuck(&self, pending: &Pending, now: Instant) -> Option<(ids::Server, Key, u8)> {
        let Stage::Sent(server) = pending.stage else { return None };
        let class = self.classes.get(pending.request.class)?;
        let waited = now.saturating_duration_since(pending.sent_at);
        let stuck = pending.produced == 0 && waited >= class.first_token.mul_f64(STUCK);
        let met = self.left(pending, now) > self.pools[pending.pool].first_token_time;
        (stuck && met).then_some((server, pending.pool, pending.tier))
    }

    fn stoppable(&self, key: Key, now: Instant) -> Option<ids::Job> {
        let line = self.pools[key].queues.iter().find(|line| line.on_time.peek().is_some())?;
        let pending = &self.jobs[line.on_time.peek()?];
        if !self.in_danger(pending, now) {
            return None;
        }
        let (best, stopping) = self.victim_at(key, pending.tier, None, now);
        // One stop for each request that waits at most.
        best.filter(|_| stopping < line.on_time.len())
    }

    /// The stream of a tier below `tier` that costs least to stop, at one server or any of a pool;
    /// and how many are being stopped there.
    fn victim_at(
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
            let here =
                at.map_or_else(|| self.pools[key].servers.contains(&server), |s| s == server);
            if !here {
                continue;
            }
            stopping += usize::from(other.stopping);
            if other.tier <= tier || !self.bears(other, server, now) {
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
        let enough = at.is_some() && stopping > 0;
        (best.filter(|_| !enough).map(|(_, _, job)| job), stopping)
    }

    /// Seconds left of the target for the first token.
    fn left(&self, pending: &Pending, now: Instant) -> f64 {
        let target = self.classes.get(pending.request.class).map(|class| class.first_token);
        let waited = now.saturating_duration_since(pending.request.arrived);
        target.unwrap_or_default().saturating_sub(waited).as_secs_f64()
    }

    /// The target is about to be missed, and a place now would still meet it.
    pub(crate) fn in_danger(&self, pending: &Pending, now: Instant) -> bool {
        let Some(class) = self.classes.get(pending.request.class) else { return false };
        let waited = now.saturating_duration_since(pending.request.arrived);
        let late = waited >= class.first_token.mul_f64(DANGER);
        late && self.left(pending, now) > self.pools[pending.pool].first_token_time
    }

    /// Whether a server has no place left for this node, as far as can be told.
    fn filled(&self, known: &server::State, now: Instant) -> bool {
        let part = known.share.is_some() && known.sent >= known.node_slots(self.disabled);
        part || known.is_full() || known.load(now, self.disabled) + 1.0 > f64::from(known.slots())
    }

    /// The stream can be stopped, go on wherever it is sent next, and still end in time.
    fn bears(&self, pending: &Pending, server: ids::Server, now: Instant) -> bool {
        let known = self.servers.get(server);
        // A place at a straggler buys no target.
        let pace = self.pools[pending.pool].token_interval * STRAGGLER;
        let buys =
            |known: &server::State| known.token_interval() <= pace && self.filled(known, now);
        let left = pending.request.deadline.saturating_duration_since(now).as_secs_f64();
        let needed = self.pools[pending.pool].service_seconds(self.rest(pending, 0.5)) * SLACK;
        // What a class gets once in its longest wait is an answer, not the start of one.
        let spare =
            !pending.stopping && !pending.ahead_of_turn && pending.stops < STOPS && needed < left;
        spare && known.is_some_and(buys) && self.goes_on(pending)
    }

    /// Its attempt may be broken off, and any server that it could be sent to next takes it up where
    /// it stopped. Sent to one that can't, it would end as a broken answer without any fault.
    fn goes_on(&self, pending: &Pending) -> bool {
        let servers = self.pools[pending.pool].servers.iter().map(|key| &self.servers[*key]);
        let mut open = servers.filter(|known| !known.leaving());
        pending.request.idempotent && open.all(|known| known.terms.resumes)
    }
}
