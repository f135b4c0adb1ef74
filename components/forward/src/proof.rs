//! Computes the time up to which an answer proves that nothing newer was published.
//!
//! A node accepts API keys, which may be revoked, only while its proof is recent. An answer shows the
//! state at the time at which it was made, and a node can't tell when that was: it knows when it asked
//! and when the answer arrived, and either side may have been suspended in between. So a proof is dated
//! to the earliest time at which the answer can have been made.
//!
//! All times are on the node's clock that also runs during suspension.

use std::time::Duration;

/// End of a watch in which it may miss a change. A store that is about to drop its history leaves its
/// watches unanswered for a second while changes are made, and then closes them. So a watch that ended
/// without a change proves nothing for its last second. It does for the time before, as it is longer than
/// that second.
pub(crate) const WATCH_BLIND_TAIL: Duration = Duration::from_millis(1_050);

/// Time proved by a watch that was sent at `asked` and ended after all of `wait` without a change.
pub(crate) fn from_quiet_watch(asked: Duration, wait: Duration) -> Duration {
    asked + wait.saturating_sub(WATCH_BLIND_TAIL)
}

/// Time proved by the answer of a peer that was asked at `asked` and held the question for `held` before it
/// answered; its own proof had the given age then.
pub(crate) fn from_peer(asked: Duration, held: Duration, age: Duration) -> Duration {
    (asked + held).saturating_sub(age)
}

#[cfg(test)]
mod tests;
