//! Leaves servers alone that have asked for rest, and holds what goes beyond a slow return to them.

use std::time::Instant;

use super::{Hold, Moment, Question, Reason};
use crate::server;

/// A server is held until this node returns from its rest, and then while as many requests are unanswered there as the
/// return allows. An assigned request is one of these.
pub(super) fn hold(question: &Question<'_>, server: &server::State) -> Option<Hold> {
    let rest = question.scheduler.notices.rest(server.incarnation())?;
    let until = rest.returns(question.now);
    let admitted = match question.moment {
        Moment::Choice | Moment::Takeover => rest.admits(question.now),
        Moment::Send => until.is_none(),
    };
    (!admitted).then_some(Hold { reason: Reason::Resting, until })
}

/// When this node returns to a server that rests; none if it may be sent requests.
pub(super) fn returns(question: &Question<'_>, server: &server::State) -> Option<Instant> {
    question.scheduler.notices.rest(server.incarnation())?.returns(question.now)
}
