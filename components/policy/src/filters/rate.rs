//! Holds requests to servers that have stated a rate limit until this node has a permit.

use super::{Hold, Moment, Question, Reason};

/// A server with a rate limit is held while there is no permit for it. An assigned request has taken one.
pub(super) fn hold(question: &Question<'_>) -> Option<Hold> {
    let permits = question.server.permits.as_ref()?;
    let permitted = question.moment == Moment::Send || permits.available(question.now);
    (!permitted).then_some(Hold { reason: Reason::RateLimited })
}
