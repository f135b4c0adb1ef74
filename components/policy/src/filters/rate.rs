//! Holds requests to servers that have stated a rate limit until this node has a permit.

use super::{Hold, Moment, Question, Reason};
use crate::server;

/// A server with a rate limit is held while there is no permit for it. An assigned request has taken one.
pub(super) fn hold(question: &Question<'_>, server: &server::State) -> Option<Hold> {
    let permits = server.permits.as_ref()?;
    let permitted = question.moment == Moment::Send || permits.available(question.now);
    (!permitted).then(|| Hold::new(Reason::RateLimited))
}
