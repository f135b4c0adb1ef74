//! Classifies why a request wasn't served in time.

use crate::line::Request;

/// An engine counts as slow when it took more than this many times the expected time to the first
/// token plus [`SLOW_MARGIN_MS`].
const SLOW_FACTOR: u64 = 3;
/// Keeps short expected times from counting as slow: the engine's own steps take about 100 ms.
const SLOW_MARGIN_MS: u64 = 300;
/// An answer that was cut at most this long before its limit counts as cut by the limit.
const LIMIT_TOLERANCE_MS: u64 = 100;

/// Outcome in logs of a request that no backend server in its regions could take.
const NO_SERVER_IN_REGIONS: &str = "no backend server in its regions may take it";

derives::named! {
    /// Why a request wasn't served in time.
    pub enum Cause {
        /// It waited at its node for a free slot at a backend server.
        SlotWait = "waited-for-a-place",
        /// An earlier attempt failed or returned nothing, and used up time.
        EarlierAttempt = "an-earlier-attempt-failed",
        /// Its engine had to prefill a prefix that other engines have cached, or its own long prompt.
        Prefill = "its-prompt-was-long-to-read",
        /// It waited behind prompts that the node knew to be queued at its engine.
        PrefillQueue = "waited-behind-reading",
        /// Its engine took far longer than the expected prefill and queue explain, or sent no token.
        SlowServer = "slow-or-silent-server",
        /// Its stream paused for longer than its pause tolerance.
        StreamPause = "paused-in-its-answer",
        /// The connection to the backend server was lost before the answer was complete.
        ServerLost = "server-lost-in-mid-answer",
        /// Its answer was still incomplete when its time limit ended.
        AnswerTooLong = "answer-longer-than-its-time",
        /// The backend server answered with a server error.
        ServerError = "server-failed",
        /// No backend server in the regions where it may be served took new work.
        NoRegion = "no-server-in-its-regions",
        /// The node refused it: the queue was full, no backend server was available, or the time
        /// left was too short.
        Refused = "refused",
        /// The node couldn't determine which settings are in force.
        NoSettings = "no-settings",
        /// The caller disconnected before the time limit.
        CallerLeft = "caller-left",
    }
}

impl Cause {
    /// Returns why `request` wasn't served in time, or `None` if it was.
    pub fn classify(request: &Request) -> Option<Self> {
        let at_limit = request.took_ms + LIMIT_TOLERANCE_MS >= request.limit_ms;
        match (request.outcome.as_str(), request.first_ms) {
            ("complete", _) if request.status >= 500 => Some(Cause::ServerError),
            ("complete", _) if request.status >= 400 => None,
            ("complete", first) => Self::classify_complete(request, first),
            ("broken-off" | "caller-gone", Some(_)) if at_limit => Some(Cause::AnswerTooLong),
            ("caller-gone", None) if at_limit && request.sent_ms.is_none() => Some(Cause::SlotWait),
            ("caller-gone" | "unknown", None) if at_limit => Some(Cause::SlowServer),
            ("broken-off" | "unknown", _) => Some(Cause::ServerLost),
            ("caller-gone", _) => Some(Cause::CallerLeft),
            (NO_SERVER_IN_REGIONS, _) => Some(Cause::NoRegion),
            _ => Some(Cause::Refused),
        }
    }

    /// Returns why a complete answer was late, or `None` if it met its targets.
    fn classify_complete(request: &Request, first: Option<u64>) -> Option<Self> {
        let answered = if request.pause_tolerance_ms.is_some() { first? } else { request.took_ms };
        if answered <= request.target_ms {
            return request
                .pause_tolerance_ms
                .filter(|tolerance| request.pause_ms > *tolerance)
                .map(|_| Cause::StreamPause);
        }
        let sent = request.sent_ms.unwrap_or_default();
        if sent * 2 >= request.target_ms {
            return Some(if request.sends > 1 { Cause::EarlierAttempt } else { Cause::SlotWait });
        }
        let (prefill, backlog) =
            (request.prefill_ms.unwrap_or_default(), request.backlog_ms.unwrap_or_default());
        let took = answered.saturating_sub(sent);
        let expected = prefill + backlog;
        if took > expected * SLOW_FACTOR + SLOW_MARGIN_MS {
            return Some(Cause::SlowServer);
        }
        Some(if prefill > backlog { Cause::Prefill } else { Cause::PrefillQueue })
    }
}
