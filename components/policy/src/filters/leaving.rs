//! Leaves servers alone that leave, by the list of servers or by their own word.
//!
//! Load pattern: the last servers of a service are emptied while nobody can learn of their successors. They still serve
//! for a known time, and callers have no other.

use super::{Hold, Question, Reason};

/// A server that leaves is held, unless no other one takes the request and its time isn't over.
pub(super) fn hold(question: &Question<'_>) -> Option<Hold> {
    let leaves = question.scheduler.leaves(question.server);
    let held = leaves && !(question.is_last_resort() && serves_on(question));
    held.then_some(Hold { reason: Reason::Leaving })
}

/// Whether a server that leaves still takes a request: for a time after it was listed as leaving, and if it has said so
/// itself, requests that came no later than its drain time after that.
fn serves_on(question: &Question<'_>) -> bool {
    let Question { scheduler, server, pending, now, .. } = *question;
    let listed_in_time = !server.leaving() || server.serves_on(now);
    let said = scheduler.notices.leaving_since(server.incarnation());
    let last = said.map(|since| since + scheduler.notices.drain_time);
    listed_in_time && last.is_none_or(|last| pending.request.arrived <= last)
}
