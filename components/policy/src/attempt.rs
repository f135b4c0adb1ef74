//! Handles the end of an attempt: frees its slot, corrects its charge, and retries or removes the request.
//!
//! Load pattern: servers that refuse connections or fail. Without a retry budget, each request is tried
//! as often as its class allows while no server can answer it, and servers that recover are flooded
//! with retries. Without the idempotency check, a charge may run twice.
//!
//! Each time that a server receives a request again is paid from the budget before the request is queued again.
//! An attempt that reached no server uses nothing up: what it was sent with, as the first or as a paid retry,
//! goes to the next one.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::action::Ending;
use crate::fair;
use crate::mechanism::Mechanism;
use crate::pending::Stage;
use crate::scheduler::Scheduler;
use crate::terms::Prior;

/// Backoff before the second attempt, times a random factor from 0.5 to 1.5; doubles with each further
/// attempt. A refused connection fails within a millisecond, so the backoff only has to outlast a brief
/// cause of the refusal.
const RETRY_BACKOFF: Duration = Duration::from_millis(25);

impl Scheduler {
    /// Handles the end of an attempt; returns whether the request is queued again.
    pub(crate) fn finish_attempt(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool {
        let Some(Stage::Sent(server)) = self.jobs.get(job).map(|pending| pending.stage) else {
            return false;
        };
        self.release_slot(job, server, ending, now);
        if matches!(ending, Ending::Unreached | Ending::Held) {
            self.return_earned_retry(job);
        } else {
            self.jobs[job].reached = true;
        }
        if !self.claim_retry(job, ending, now) {
            self.remove_job(job);
            return false;
        }
        let jitter: f64 = self.rng.random();
        let pending = &mut self.jobs[job];
        if ending == Ending::Stopped {
            pending.attempts -= 1;
            pending.stops += 1;
            self.enqueue(job, now);
            return true;
        }
        if matches!(ending, Ending::Unreached | Ending::Held | Ending::Misdirected) {
            pending.attempts -= 1;
        }
        let doublings = u32::from(pending.attempts.saturating_sub(1)).min(8);
        let at = now + (RETRY_BACKOFF * (1 << doublings)).mul_f64(0.5 + jitter);
        pending.avoid = Some(server);
        pending.stage = Stage::BackingOff;
        pending.timer = Some(at);
        self.backing_off.insert((pending.tier, job));
        self.timers.insert((at, job));
        true
    }

    /// Takes back what a request added to the retry budget, if none of its attempts has reached a server.
    fn return_earned_retry(&mut self, job: ids::Job) {
        let pending = &mut self.jobs[job];
        if !pending.reached {
            let (service, earned) = (pending.request.service, pending.earned.take());
            self.retries.take_back(service, earned.unwrap_or_default());
        }
    }

    /// Whether a sent request could be tried again if its attempt were abandoned now.
    pub fn may_retry(&self, job: ids::Job, now: Instant) -> bool {
        let Some(pending) = self.jobs.get(job) else { return false };
        let class = self.classes.get(pending.request.class);
        let max_attempts = class.map_or(1, |class| class.attempts);
        let affordable = !self.switches.is_on(Mechanism::RetryBudget)
            || self.retries.balance(pending.request.service) >= 1.0;
        let allowed = pending.request.idempotent && pending.attempts < max_attempts;
        allowed && affordable && now < pending.latest_send
    }

    /// What became of a request so far, for its next submission here or at a peer.
    pub fn prior(&self, job: ids::Job) -> Prior {
        let pending = self.jobs.get(job);
        pending.map_or(Prior::default(), |pending| Prior {
            attempts: pending.attempts,
            reached: pending.reached,
        })
    }

    /// Retries that the budget for a request's service holds now, which may be a fraction; 0 if the scheduler
    /// doesn't know the request.
    pub fn retries_left(&self, job: ids::Job) -> f64 {
        self.jobs.get(job).map_or(0.0, |pending| self.retries.balance(pending.request.service))
    }

    /// Whether a request is tried again after its attempt ended; takes the retry from the budget.
    fn claim_retry(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool {
        let pending = &self.jobs[job];
        let repeatable = match ending {
            Ending::Stopped => return true,
            Ending::Unreached | Ending::Held => return now < pending.latest_send,
            Ending::NotRun | Ending::Misdirected => true,
            Ending::Failed | Ending::Broken | Ending::ServerError => pending.request.idempotent,
            Ending::Completed | Ending::Cancelled => false,
        };
        let service = pending.request.service;
        let max_attempts =
            self.classes.get(pending.request.class).map_or(1, |class| class.attempts);
        let counts = ending != Ending::Misdirected;
        let exhausted = counts && pending.attempts >= max_attempts;
        if !repeatable || exhausted || now >= pending.latest_send {
            return false;
        }
        !self.switches.is_on(Mechanism::RetryBudget) || self.retries.try_pay(service)
    }

    /// Frees the slot of an ended attempt, updates the server's health, and corrects the charge to the
    /// tokens that were produced.
    pub(crate) fn release_slot(
        &mut self,
        job: ids::Job,
        server: ids::Server,
        ending: Ending,
        now: Instant,
    ) {
        let jitter = self.rng.random();
        let answered = matches!(ending, Ending::Completed | Ending::ServerError);
        self.end_returning(job, server, answered);
        // A server that asks for rest isn't failing.
        let rests = self.servers.get(server).is_some_and(|state| self.rests(state, now));
        let turned_away = ending == Ending::NotRun && rests;
        let stalled = ending == Ending::Cancelled && self.stalled(&self.jobs[job], server, now);
        self.end_run(job, server, now);
        let pending = &mut self.jobs[job];
        let (priority, prefill) = (pending.priority, std::mem::take(&mut pending.prefill));
        let sent_at = pending.sent_at;
        if let Some(state) = self.servers.get_mut(server) {
            state.record_end(job, priority, now);
            if stalled {
                state.health.record_outcome(false, now);
                state.health.record_stall(self.jobs[job].sent_at, now, jitter);
            }
            state.prefill.prompt_done(priority, prefill);
            let untested = matches!(ending, Ending::Cancelled | Ending::Stopped | Ending::Held);
            if !untested && !turned_away {
                state.health.record_outcome(ending == Ending::Completed, now);
            }
            if ending == Ending::NotRun
                && let Some(brittle) = &mut state.brittle
            {
                brittle.record_declined(now);
            }
            match ending {
                Ending::Completed => state.health.record_response(),
                Ending::NotRun if turned_away => {}
                Ending::NotRun | Ending::Unreached | Ending::Failed | Ending::Broken => {
                    state.health.record_failure(now, jitter);
                }
                Ending::Misdirected => state.health.record_misdirected(sent_at, now, jitter),
                Ending::Cancelled | Ending::Stopped | Ending::Held | Ending::ServerError => {}
            }
        }
        match ending {
            Ending::Unreached | Ending::Misdirected | Ending::Broken => self.record_silence(server),
            Ending::Completed | Ending::NotRun | Ending::ServerError => {
                self.record_answer(server, now);
            }
            Ending::Failed | Ending::Cancelled | Ending::Stopped | Ending::Held => {}
        }
        let pending = &mut self.jobs[job];
        let (class, workspace) = (pending.request.class, pending.request.workspace);
        let used = fair::cost(pending.request.prompt_tokens, pending.produced);
        let not_run = matches!(
            ending,
            Ending::NotRun | Ending::Unreached | Ending::Misdirected | Ending::Held
        );
        let used = if not_run { 0 } else { used };
        let change = i64::from(used) - i64::from(pending.charged);
        pending.charged = used;
        pending.stopping = false;
        pending.last_token = None;
        let produced = pending.produced;
        self.charge_tokens(class, workspace, change);
        if ending == Ending::Completed && produced > 0 {
            self.lengths.record(class, workspace, produced);
        }
        if let Some(count) = self.in_flight.get_mut(workspace) {
            *count = count.saturating_sub(1);
        }
        self.update_lanes(workspace);
        self.epoch += 1;
    }
}
