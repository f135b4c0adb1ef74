//! Holds requests to brittle servers beyond this node's part of their slots.

use super::{Hold, Moment, Question, Reason};

/// A brittle server is held while this node's part of its slots is occupied. An assigned request occupies one of them.
pub(super) fn hold(question: &Question<'_>) -> Option<Hold> {
    let Question { server, moment, now, .. } = *question;
    let guard = server.brittle?;
    let admitted = moment == Moment::Send || guard.admits(server.sent, now);
    (!admitted).then_some(Hold { reason: Reason::Brittle })
}
