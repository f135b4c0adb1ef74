//! Which engines hang, by the requests that wait there.
//!
//! Pattern: an engine that takes requests and begins none, its health check good. No attempt there ends for
//! as long as its callers wait; without this, all of its sessions are sent there meanwhile, and when callers
//! leave, what was known by their requests goes with them.

use std::time::{Duration, Instant};

use crate::engines::EASE;
use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::priority::PerPriority;
use crate::scheduler::Scheduler;
use crate::server;

/// Seconds beyond the usual after which an engine that has begun nothing is taken to hang: it reads
/// even the longest prompts of the users in less.
const SILENT: f64 = 0.6;

impl Scheduler {
    /// Seconds that a request of a rank must count on at an engine since others wait there for longer than is
    /// usual. Those as urgent as it, or more, are served before it. That less urgent ones wait says
    /// nothing, as engines take the urgent first, unless the engine begins nothing at all.
    ///
    /// Counted whatever their rank, one long prompt of the lowest class that waits out a rush bars its
    /// engine to all classes; soon each engine has one, and the urgent requests crowd at the few that
    /// haven't, where they wait for too long themselves.
    pub(crate) fn held_up(&self, known: &server::State, rank: u8, now: Instant) -> f64 {
        let here = self.overdue_here(known, now);
        let as_urgent = here.max_up_to(rank).max(known.prefill.overdue(rank, now));
        let any = here.max_up_to(u8::MAX).max(known.prefill.overdue(u8::MAX, now));
        as_urgent.max(any.min(self.silent(known, now)))
    }

    /// Seconds for which an engine has begun nothing, as far as any node told.
    fn silent(&self, known: &server::State, now: Instant) -> f64 {
        let begun = known.prefill.last_begun();
        begun.map_or(f64::INFINITY, |begun| now.saturating_duration_since(begun).as_secs_f64())
    }

    /// Seconds by which requests of this node wait at a server for longer than is usual, by rank. One that
    /// hangs or falls silent ends no attempt for as long as its callers wait; all that is sent there
    /// meanwhile waits as well.
    pub(crate) fn overdue_here(&self, known: &server::State, now: Instant) -> PerPriority {
        let mut overdue = PerPriority::default();
        if !self.disabled.lacks(Mechanism::StallDetection) {
            return overdue;
        }
        for pending in known.jobs.iter().filter_map(|job| self.jobs.get(*job)) {
            overdue.raise(pending.priority, self.overdue_by(pending, known, now));
        }
        overdue
    }

    /// The longest of those.
    pub(crate) fn longest_own_overdue(&self, known: &server::State, now: Instant) -> f64 {
        self.overdue_here(known, now).max_up_to(u8::MAX)
    }

    /// Seconds by which a request waits longer for the start of its answer than is usual; negative
    /// before that, and none once it has begun.
    fn overdue_by(&self, pending: &Pending, known: &server::State, now: Instant) -> f64 {
        if pending.last_token.is_some() {
            return 0.0;
        }
        let target = self.classes.get(pending.request.class).map(|class| class.first_token);
        let usual = target.unwrap_or_default().as_secs_f64() * EASE;
        let waited = now.saturating_duration_since(pending.sent_at).as_secs_f64();
        waited - usual.max(pending.prefill + known.prefill.least())
    }

    /// Whether an engine can be relied on to hand over what it keeps: none of this node's requests waits too
    /// long there, and where one of another node's does, somebody saw it begin something of late.
    pub(crate) fn hands_over(&self, known: &server::State, now: Instant) -> bool {
        let then = now.checked_sub(Duration::from_secs_f64(SILENT));
        let begins = then.is_some_and(|then| known.prefill.last_begun() > Some(then));
        let answers = begins || known.prefill.overdue(u8::MAX, now) <= SILENT;
        answers && self.longest_own_overdue(known, now) <= 0.0
    }

    /// Whether an engine hangs, as far as a request tells whose caller goes away: it waits longer than
    /// is usual, and nobody saw the engine begin anything since it was sent. Of some dozens of nodes each
    /// has few requests at an engine: going by its own, each leaves out one that is merely full.
    pub(crate) fn stalled(&self, pending: &Pending, server: ids::Server, now: Instant) -> bool {
        let Some(known) = self.servers.get(server) else { return false };
        let reads =
            known.terms.prefill_rate.is_some() && self.disabled.lacks(Mechanism::StallDetection);
        let silent = known.prefill.last_begun() <= Some(pending.sent_at);
        reads && silent && self.overdue_by(pending, known, now) > SILENT
    }
}
