//! Counts the streams that a prompt would disturb at an engine.
//!
//! Load pattern: a burst of long answers beside long prompts. When the burst ebbs, engines turn back to long
//! prompts while the longest of their streams still run, and each of these stutters until its end. So a prompt
//! is weighed against the streams that run at an engine now, whichever group the engine belongs to.

use std::time::Instant;

use crate::isolation::Group;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::priority::{self, PRIORITIES};
use crate::scheduler::Scheduler;
use crate::server;

/// Marks the priorities whose requests tolerate less than those of a group.
pub(crate) type Stricter = [bool; PRIORITIES];

impl Scheduler {
    /// The priorities that only classes of stricter groups than `group` have.
    pub(crate) fn stricter_priorities(&self, pool: &Pool, group: Option<Group>) -> Stricter {
        let mut stricter = [false; PRIORITIES];
        let enabled = self.switches.is_on(Mechanism::StreamWeight);
        let Some(group) = group.filter(|_| enabled) else { return stricter };
        let classes = self.classes.values();
        let groups = classes
            .map(|class| (class.priority, pool.isolation.group_for(class.token_interval) < group));
        let (others, own): (Vec<_>, Vec<_>) = groups.partition(|(_, strict)| *strict);
        others.iter().for_each(|(priority, _)| stricter[priority::index(*priority)] = true);
        own.iter().for_each(|(priority, _)| stricter[priority::index(*priority)] = false);
        stricter
    }

    /// Requests of the marked priorities at an engine, from all nodes, as far as known.
    pub(crate) fn streams_at(&self, state: &server::State, marked: Stricter, now: Instant) -> f64 {
        state.occupied.sum_of(marked) + state.prefill.peer_occupied_by(marked, now)
    }
}
