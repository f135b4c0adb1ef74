//! Detects engines that have stalled, from the requests that wait there.
//!
//! Failure pattern: an engine that accepts requests and starts none, while its health check passes. No attempt
//! there ends for as long as its callers wait; without this, all of its sessions are sent there meanwhile, and
//! when the callers leave, what their requests showed is lost.

use std::time::{Duration, Instant};

use crate::engines::TARGET_FRACTION;
use crate::mechanism::Mechanism;
use crate::pending::Pending;
use crate::priority::PerPriority;
use crate::scheduler::Scheduler;
use crate::server;

/// Seconds that a request must be overdue before an engine that starts nothing counts as stalled: an engine
/// prefills even the longest prompts in less.
const STALL_SECONDS: f64 = 0.6;

impl Scheduler {
    /// Seconds that a request of a priority must expect to wait at an engine because others there are overdue.
    /// Requests of its priority or a higher one are served before it. That a request of lower priority waits
    /// tells nothing, as engines serve it last, unless the engine starts nothing at all.
    ///
    /// If requests of every priority counted, one long prompt of the lowest class that waits through a burst
    /// would close its engine to all classes. Soon each engine has such a prompt, and requests of high priority
    /// crowd at the few engines that have none, where they wait for too long themselves.
    pub(crate) fn overdue_wait(&self, state: &server::State, priority: u8, now: Instant) -> f64 {
        let own = self.own_overdue(state, now);
        let by_priority = own.max_up_to(priority).max(state.prefill.peer_overdue(priority, now));
        let any = own.max_up_to(u8::MAX).max(state.prefill.peer_overdue(u8::MAX, now));
        by_priority.max(any.min(self.seconds_since_first_token(state, now)))
    }

    /// Seconds since an engine last sent a first token, as far as any node reported.
    fn seconds_since_first_token(&self, state: &server::State, now: Instant) -> f64 {
        let last = state.prefill.last_first_token();
        last.map_or(f64::INFINITY, |last| now.saturating_duration_since(last).as_secs_f64())
    }

    /// Seconds by which this node's requests at a server are overdue, by priority. A server that stalls or no
    /// longer responds ends no attempt for as long as its callers wait; all that is sent there meanwhile
    /// waits as well.
    pub(crate) fn own_overdue(&self, state: &server::State, now: Instant) -> PerPriority {
        let mut overdue = PerPriority::default();
        if !self.disabled.lacks(Mechanism::StallDetection) {
            return overdue;
        }
        for pending in state.jobs.iter().filter_map(|job| self.jobs.get(*job)) {
            overdue.raise(pending.priority, self.overdue_by(pending, state, now));
        }
        overdue
    }

    /// The longest of [`Scheduler::own_overdue`] over all priorities.
    pub(crate) fn longest_own_overdue(&self, state: &server::State, now: Instant) -> f64 {
        self.own_overdue(state, now).max_up_to(u8::MAX)
    }

    /// Seconds by which a request waits longer than expected for its first token; negative before that, and
    /// zero once the token has come.
    fn overdue_by(&self, pending: &Pending, state: &server::State, now: Instant) -> f64 {
        if pending.last_token.is_some() {
            return 0.0;
        }
        let target = self.classes.get(pending.request.class).map(|class| class.first_token);
        let usual = target.unwrap_or_default().as_secs_f64() * TARGET_FRACTION;
        let waited = now.saturating_duration_since(pending.sent_at).as_secs_f64();
        waited - usual.max(pending.prefill + state.prefill.base_latency())
    }

    /// Whether other engines can rely on an engine to send them its cached prefixes: none of this node's
    /// requests is overdue there, and where one of another node's is, some node received a first token from
    /// it recently.
    pub(crate) fn can_serve_prefixes(&self, state: &server::State, now: Instant) -> bool {
        let since = now.checked_sub(Duration::from_secs_f64(STALL_SECONDS));
        let active = since.is_some_and(|since| state.prefill.last_first_token() > Some(since));
        let responsive = active || state.prefill.peer_overdue(u8::MAX, now) <= STALL_SECONDS;
        responsive && self.longest_own_overdue(state, now) <= 0.0
    }

    /// Whether a request whose caller leaves shows that its engine has stalled: it is overdue, and no node
    /// received a first token from the engine since it was sent. Each of some dozens of nodes has few requests
    /// at an engine; if each went by its own alone, it would eject an engine that is only full.
    pub(crate) fn stalled(&self, pending: &Pending, server: ids::Server, now: Instant) -> bool {
        let Some(state) = self.servers.get(server) else { return false };
        let detects =
            state.terms.prefill_rate.is_some() && self.disabled.lacks(Mechanism::StallDetection);
        let idle = state.prefill.last_first_token() <= Some(pending.sent_at);
        detects && idle && self.overdue_by(pending, state, now) > STALL_SECONDS
    }
}
