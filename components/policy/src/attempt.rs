//! What becomes of a request when its attempt ends.
//!
//! Pattern: servers that refuse connections or fail. Without a budget each request is tried as often
//! as its class allows just when that can't help, and servers that come back meet the rush; without
//! the check of idempotency a charge may run twice.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::action::Ending;
use crate::fair;
use crate::mechanism::Mechanism;
use crate::pending::Stage;
use crate::scheduler::Scheduler;

/// First pause before another attempt; doubled by each. A refused connection costs a millisecond,
/// so the pause need only outlast what refused it in passing.
const PAUSE: Duration = Duration::from_millis(25);
impl Scheduler {
    /// Takes in how an attempt ended; returns whether the request waits again.
    pub(crate) fn conclude(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool {
        let Some(Stage::Sent(server)) = self.jobs.get(job).map(|pending| pending.stage) else {
            return false;
        };
        self.release(job, server, ending, now);
        if !self.again(job, ending, now) {
            self.forget(job);
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
        if ending == Ending::Unreached {
            pending.attempts -= 1;
        }
        let doublings = u32::from(pending.attempts.saturating_sub(1)).min(8);
        let at = now + (PAUSE * (1 << doublings)).mul_f64(0.5 + jitter);
        pending.avoid = Some(server);
        pending.stage = Stage::Parked;
        pending.timer = Some(at);
        self.parked.insert((pending.tier, job));
        self.timers.insert((at, job));
        true
    }

    /// Whether a request whose attempt ended so is tried again.
    fn again(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool {
        let pending = &self.jobs[job];
        let repeatable = match ending {
            Ending::Stopped => return true,
            Ending::Unreached => return now < pending.latest_send,
            Ending::NotRun => true,
            Ending::Failed | Ending::ServerError => pending.request.idempotent,
            Ending::Completed | Ending::Cancelled => false,
        };
        let model = pending.request.model;
        let attempts = self.classes.get(pending.request.class).map_or(1, |class| class.attempts);
        if !repeatable || pending.attempts >= attempts || now >= pending.latest_send {
            return false;
        }
        !self.disabled.lacks(Mechanism::RetryBudget) || self.retries(model).try_take(1.0)
    }

    /// Takes the place of an ended attempt back and puts its charge right.
    fn release(&mut self, job: ids::Job, server: ids::Server, ending: Ending, now: Instant) {
        let jitter = self.rng.random();
        let hung = ending == Ending::Cancelled && self.stalled(&self.jobs[job], server, now);
        let pending = &mut self.jobs[job];
        let (urgency, reading) = (pending.priority, std::mem::take(&mut pending.prefill));
        if let Some(known) = self.servers.get_mut(server) {
            known.record_end(job, urgency, now);
            if hung {
                known.health.record_outcome(false, now);
                known.health.record_stall(self.jobs[job].sent_at, now, jitter);
            }
            known.prefill.prompt_done(urgency, reading);
            if !matches!(ending, Ending::Cancelled | Ending::Stopped) {
                known.health.record_outcome(ending == Ending::Completed, now);
            }
            match ending {
                Ending::Completed => known.health.record_response(),
                Ending::NotRun | Ending::Unreached | Ending::Failed => {
                    known.health.record_failure(now, jitter);
                }
                Ending::Cancelled | Ending::Stopped | Ending::ServerError => {}
            }
        }
        let pending = &mut self.jobs[job];
        let (class, workspace) = (pending.request.class, pending.request.workspace);
        let used = fair::cost(pending.request.prompt_tokens, pending.produced);
        let unrun = matches!(ending, Ending::NotRun | Ending::Unreached);
        let used = if unrun { 0 } else { used };
        let change = i64::from(used) - i64::from(pending.charged);
        pending.charged = used;
        pending.stopping = false;
        pending.last_token = None;
        let produced = pending.produced;
        self.charge(class, workspace, change);
        if ending == Ending::Completed && produced > 0 {
            self.lengths.record(class, workspace, produced);
        }
        if let Some(count) = self.in_flight.get_mut(workspace) {
            *count = count.saturating_sub(1);
        }
        self.set_open(workspace);
        self.epoch += 1;
    }
}
