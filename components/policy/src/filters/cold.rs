//! Holds requests to cold servers until this node has a permit, and those whose permit has expired.

use super::{Hold, Moment, Question, Reason};

/// A cold server is held while there is no permit for it. The permit of an assigned request is valid for a time.
pub(super) fn hold(question: &Question<'_>) -> Option<Hold> {
    let Question { server, pending, moment, now, .. } = *question;
    let permitted = match moment {
        Moment::Choice | Moment::Takeover => server.guard.admits(now),
        Moment::Send => pending.send_by.is_none_or(|by| now < by),
    };
    (!permitted).then_some(Hold { reason: Reason::Cold })
}
