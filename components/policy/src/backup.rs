//! Keeps long answers alive when their engine ends: another engine holds a copy of the run, and continues it.
//!
//! Load pattern: engines that crash under load, a quarter of them at once, while they generate answers that
//! may run only once. Without a copy each of these answers ends, and its caller may not ask again.
//!
//! A copy takes memory of an engine and a link's time in proportion to the whole context, and it protects a run
//! for as long as that generates tokens. So only runs that generate many tokens for the context they hold get
//! one. It is held in the same region, where the request may be, in another failure domain, and by a server of the
//! same version.

use std::time::Instant;

use crate::action::Ending;
use crate::mechanism::Mechanism;
use crate::pending::{Pending, Stage};
use crate::pool::Member;
use crate::sampling;
use crate::scheduler::Scheduler;

/// Expected tokens of an answer for each token of the prompt, from which its run has a copy.
const MIN_ANSWER_FRACTION: f64 = 0.1;

impl Scheduler {
    /// The engine that keeps a copy of a request that is sent to `server`; none if the run needs no copy or no
    /// engine can keep one.
    pub(crate) fn choose_backup(
        &self,
        job: ids::Job,
        server: ids::Server,
        now: Instant,
    ) -> Option<ids::Server> {
        let pending = &self.jobs[job];
        if !self.switches.is_on(Mechanism::Backup) || !deserves_backup(pending) {
            return None;
        }
        let pool = &self.pools[pending.pool];
        let source = &self.servers[server].terms;
        let apart = |member: &&Member| {
            let terms = &self.servers[member.server].terms;
            let apart = terms.region == source.region && terms.domain != source.domain;
            apart && terms.version == source.version
        };
        let candidates = self.candidates(pool, pending, [None; 2]);
        let question = self.choice(pending, now);
        let able = candidates.members.iter().copied().filter(apart).filter(|member| {
            let state = &self.servers[member.server];
            let open = state.terms.backups && !self.leaves(state);
            open && self.is_available(pending, member, now) && question.hold(state).is_none()
        });
        let class = self.classes.get(pending.request.class);
        let tolerance = class.map(|class| class.token_interval).unwrap_or_default();
        let group = pool.isolation.class_group(tolerance);
        let keyed = able.map(|member| {
            let state = &self.servers[member.server];
            let engine_group = pool.engine_group(member);
            let other_group = group.is_some_and(|group| engine_group != Some(group));
            let free = self.free_slots(pending, state, now);
            (other_group, sampling::backup_key(pending.jitter, state.terms.salt, free), member)
        });
        let best = keyed.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(.., member)| member.server)
    }

    /// Whether an engine works, as far as this node knows.
    fn is_available(&self, pending: &Pending, member: &Member, now: Instant) -> bool {
        pending.avoid != Some(member.server) && !self.is_excluded(member.server, now)
    }

    /// Moves a sent request to the engine that keeps a copy of its run, once the engine that ran it has ended.
    /// Returns that engine; none if it may not be sent the request, which then remains where it was sent. The
    /// move counts as a retry.
    pub fn continue_at_backup(&mut self, job: ids::Job, now: Instant) -> Option<ids::Server> {
        let pending = self.jobs.get(job)?;
        let Stage::Sent(ended) = pending.stage else { return None };
        let backup = pending.expected?.backup?;
        let member = self.pools[pending.pool].member(backup)?;
        let in_time = now < pending.request.deadline;
        let held = self.takeover(pending, now).hold(&self.servers[backup]).is_some();
        if !in_time || held || !self.is_available(pending, member, now) {
            return None;
        }
        let service = pending.request.service;
        let limited = self.switches.is_on(Mechanism::RetryBudget);
        if limited && !self.retries.try_pay(service) {
            return None;
        }
        self.release_slot(job, ended, Ending::Broken, now);
        let pending = &mut self.jobs[job];
        pending.expected = None;
        pending.ahead = 0.0;
        pending.continued = true;
        self.begin_run(job, backup, now);
        self.send_to(job, backup, now);
        Some(backup)
    }
}

/// Whether a run is worth a copy: it may not run again, and generates many tokens for its context.
fn deserves_backup(pending: &Pending) -> bool {
    let prompt = f64::from(pending.request.prompt_tokens);
    !pending.request.idempotent && f64::from(pending.tokens) >= prompt * MIN_ANSWER_FRACTION
}
