//! Holds requests to cold servers until this node has a permit, and those whose permit has expired.

use super::{Hold, Moment, Question, Reason};
use crate::server;

/// A cold server is held while there is no permit for it. The permit of an assigned request is valid for a time.
pub(super) fn hold(question: &Question<'_>, server: &server::State) -> Option<Hold> {
    let now = question.now;
    let permitted = match question.moment {
        Moment::Choice | Moment::Takeover => server.guard.admits(now),
        Moment::Send => question.pending.send_by.is_none_or(|by| now < by),
    };
    (!permitted).then(|| Hold::new(Reason::Cold))
}
