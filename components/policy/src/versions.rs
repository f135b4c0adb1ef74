//! Keeps streams at the version of the servers' software that began them.
//!
//! Load pattern: servers are replaced by those of another version, a few at a time, while servers crash and callers
//! resume streams. What two versions write doesn't fit together, so each resumed stream needs one of the servers of
//! its version, which may be the last ones and about to leave.

use std::time::Instant;

use crate::pending::Stage;
use crate::pool::Pool;
use crate::scheduler::Scheduler;
use crate::server;

/// A version has few servers left if it has at most so many, and another has more.
const FEW_SERVERS: usize = 2;
/// Part of their slots that is kept free for streams that only they can continue.
const RESERVED_SLOTS: f64 = 0.25;

impl Scheduler {
    /// Whether an engine keeps room for resumed streams if it takes a request of a pool: new requests leave some slots
    /// of the last engines of a version free, as they can go to the others.
    pub(crate) fn leaves_reserve(&self, pool: &Pool, state: &server::State, now: Instant) -> bool {
        let (own, most) = pool.version_sizes(state.terms.version);
        if pool.scope.version.is_some() || own > FEW_SERVERS || own >= most {
            return true;
        }
        let slots = f64::from(state.slots());
        let occupied = self.occupied_slots(state, u8::MAX, now);
        occupied + 1.0 <= (slots * (1.0 - RESERVED_SLOTS)).max(1.0)
    }

    /// Restricts a sent request, whose stream has begun, to the servers of the version that began it.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// let (job, version) = (ids::Job::default(), ids::Version::default());
    /// scheduler.restrict_to_version(job, version, std::time::Instant::now());
    /// ```
    pub fn restrict_to_version(&mut self, job: ids::Job, version: ids::Version, now: Instant) {
        let Some(pending) = self.jobs.get_mut(job) else { return };
        let is_sent = matches!(pending.stage, Stage::Sent(_));
        if !is_sent || pending.request.version == Some(version) {
            return;
        }
        pending.request.version = Some(version);
        let request = pending.request.clone();
        let pool = self.get_or_create_pool(&request, now);
        let previous = std::mem::replace(&mut self.jobs[job].pool, pool);
        self.pools[previous].jobs -= 1;
        self.pools[pool].jobs += 1;
    }
}
