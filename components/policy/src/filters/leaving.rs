//! Leaves servers alone that leave, by the list of servers or by their own word.
//!
//! Load pattern: the last servers of a service are emptied while nobody can learn of their successors. They still serve
//! for a known time, and callers have no other.

use super::{Hold, Question, Reason};
use crate::server;

/// A server that leaves is held, unless no other one takes the request and its time isn't over.
pub(super) fn hold(question: &Question<'_>, server: &server::State) -> Option<Hold> {
    let leaves = question.scheduler.leaves(server);
    let held = leaves && !(question.last_resort && serves_on(question, server));
    held.then(|| Hold::new(Reason::Leaving))
}

/// Whether a server that leaves still takes a request: for a time after it was listed as leaving, and if it has said so
/// itself, requests that came no later than its drain time after that.
fn serves_on(question: &Question<'_>, server: &server::State) -> bool {
    let listed_in_time = !server.leaving() || server.serves_on(question.now);
    let notices = &question.scheduler.notices;
    let said = notices.leaving_since(server.incarnation());
    let last = said.map(|since| since + notices.drain_time);
    listed_in_time && last.is_none_or(|last| question.pending.request.arrived <= last)
}
