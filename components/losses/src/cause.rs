//! Why a request wasn't served in time.

use crate::line::Ended;

/// Times longer than expected that an engine took which is called slow, and the least time beyond it, in
/// milliseconds: an engine's steps alone make up a tenth of a second.
const SLOW: u64 = 3;
const SLOW_MS: u64 = 300;
/// An answer that is cut so shortly before its limit, in milliseconds, ran into it.
const LIMIT_MS: u64 = 100;

derives::named! {
    /// Why a request wasn't served in time.
    pub enum Cause {
        /// It waited at its node for a place at a server.
        Place = "waited-for-a-place",
        /// An earlier attempt failed or brought nothing, and took its time.
        Retried = "an-earlier-attempt-failed",
        /// Its engine had to read a beginning that others keep, or its own long prompt.
        Reading = "its-prompt-was-long-to-read",
        /// It waited behind prompts that were known of at its engine.
        Behind = "waited-behind-reading",
        /// Its engine took far longer than what was known of it explains, or never began.
        Slow = "slow-or-silent-server",
        /// Its answer paused for longer than callers bear.
        Pause = "paused-in-its-answer",
        /// The server broke it off.
        Lost = "server-lost-in-mid-answer",
        /// Its answer was under way when its time was over.
        Long = "answer-longer-than-its-time",
        /// The server answered that it failed.
        Failed = "server-failed",
        /// The node gave it up: no room, no server, or no time.
        Refused = "refused",
        /// The node couldn't tell what is in force.
        Settings = "no-settings",
        /// The caller went away early.
        Left = "caller-left",
    }
}

impl Cause {
    /// The cause of a request's loss; none if it was served in time.
    pub fn of(ended: &Ended) -> Option<Self> {
        let at_limit = ended.took_ms + LIMIT_MS >= ended.limit_ms;
        match (ended.outcome.as_str(), ended.first_ms) {
            ("complete", _) if ended.status >= 500 => Some(Cause::Failed),
            ("complete", _) if ended.status >= 400 => None,
            ("complete", first) => Self::of_late(ended, first),
            ("broken-off" | "caller-gone", Some(_)) if at_limit => Some(Cause::Long),
            ("caller-gone", None) if at_limit && ended.sent_ms.is_none() => Some(Cause::Place),
            ("caller-gone" | "unknown", None) if at_limit => Some(Cause::Slow),
            ("broken-off" | "unknown", _) => Some(Cause::Lost),
            ("caller-gone", _) => Some(Cause::Left),
            _ => Some(Cause::Refused),
        }
    }

    /// The cause for which a whole answer was late; none if it wasn't.
    fn of_late(ended: &Ended, first: Option<u64>) -> Option<Self> {
        let begun = if ended.bears_ms.is_some() { first? } else { ended.took_ms };
        if begun <= ended.target_ms {
            return ended.bears_ms.filter(|bears| ended.pause_ms > *bears).map(|_| Cause::Pause);
        }
        let sent = ended.sent_ms.unwrap_or_default();
        if sent * 2 >= ended.target_ms {
            return Some(if ended.sends > 1 { Cause::Retried } else { Cause::Place });
        }
        let (reading, backlog) =
            (ended.reading_ms.unwrap_or_default(), ended.backlog_ms.unwrap_or_default());
        let took = begun.saturating_sub(sent);
        let expected = reading + backlog;
        if took > expected * SLOW + SLOW_MS {
            return Some(Cause::Slow);
        }
        Some(if reading > backlog { Cause::Reading } else { Cause::Behind })
    }
}
