//! Leaves servers alone that leave, but for the rest of streams that no other server may continue.

use super::{Hold, Question, Reason};

/// A server that leaves is held, unless it is one of the last of a version, and the time is not over for which it is
/// still sent the rest of streams that its version began.
pub(super) fn hold(question: &Question<'_>) -> Option<Hold> {
    let Question { scheduler, pool, server, now, .. } = *question;
    if !server.leaving() {
        return None;
    }
    let all_leave = || pool.servers.iter().all(|key| scheduler.servers[*key].leaving());
    let may_resume = pool.scope.version.is_some() && server.may_resume(now) && all_leave();
    (!may_resume).then_some(Hold { reason: Reason::Leaving })
}
