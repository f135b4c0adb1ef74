//! Holds requests to brittle servers beyond this node's part of their slots.

use super::{Hold, Moment, Question, Reason};
use crate::server;

/// A brittle server is held while this node's part of its slots is occupied. An assigned request occupies one of them.
pub(super) fn hold(question: &Question<'_>, server: &server::State) -> Option<Hold> {
    let guard = server.brittle?;
    let admitted = question.moment == Moment::Send || guard.admits(server.sent, question.now);
    (!admitted).then(|| Hold::new(Reason::Brittle))
}
