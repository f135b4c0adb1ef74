//! Which engines hang, by the requests that wait there.
//!
//! Pattern: an engine that takes requests and begins none, its health check good. No attempt there ends for
//! as long as its callers wait; without this, all of its sessions are sent there meanwhile, and when callers
//! leave, what was known by their requests goes with them.

use std::time::{Duration, Instant};

use crate::engines::EASE;
use crate::held::Held;
use crate::known::Known;
use crate::mechanism::Mechanism;
use crate::scheduler::Scheduler;

/// Seconds beyond the usual after which an engine that has begun nothing is taken to hang: it reads
/// even the longest prompts of the users in less.
const SILENT: f64 = 0.6;

impl Scheduler {
    /// Seconds by which the request that waits longest for the start of its answer at a server is
    /// beyond what is usual there. One that hangs or falls silent ends no attempt for as long as its
    /// callers wait; all that is sent there meanwhile waits as well.
    pub(crate) fn hangs(&self, known: &Known, now: Instant) -> f64 {
        if !self.without.has(Mechanism::Hanging) {
            return 0.0;
        }
        let waiting = known.jobs.iter().filter_map(|job| self.jobs.get(*job));
        waiting.map(|held| self.overdue_by(held, known, now)).fold(0.0, f64::max)
    }

    /// Seconds by which a request waits longer for the start of its answer than is usual; negative
    /// before that, and none once it has begun.
    fn overdue_by(&self, held: &Held, known: &Known, now: Instant) -> f64 {
        if held.last_token.is_some() {
            return 0.0;
        }
        let target = self.classes.get(held.request.class).map(|class| class.first_token);
        let usual = target.unwrap_or_default().as_secs_f64() * EASE;
        let waited = now.saturating_duration_since(held.sent_at).as_secs_f64();
        waited - usual.max(held.reading + known.reading.least())
    }

    /// Whether an engine can be relied on to hand over what it keeps: none of this node's requests waits too
    /// long there, and where one of another node's does, it has begun something of late.
    pub(crate) fn hands_over(&self, known: &Known, now: Instant) -> bool {
        let then = now.checked_sub(Duration::from_secs_f64(SILENT));
        let begins = then.is_some_and(|then| known.reading.begun_since(then));
        let answers = begins || known.reading.overdue(now) <= SILENT;
        answers && self.hangs(known, now) <= 0.0
    }

    /// Whether an engine hangs, as far as a request tells whose caller goes away: it waits longer than
    /// is usual, and the engine has begun nothing else since it was sent.
    pub(crate) fn hung(&self, held: &Held, server: ids::Server, now: Instant) -> bool {
        let Some(known) = self.servers.get(server) else { return false };
        let reads = known.terms.reads.is_some() && self.without.has(Mechanism::Hanging);
        let silent = !known.reading.begun_since(held.sent_at);
        reads && silent && self.overdue_by(held, known, now) > SILENT
    }
}
