//! Error responses that the proxy itself sends to callers when it has no answer from a server.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};

/// A response of any of the node's listeners.
pub(crate) type Answer = Response<BoxBody>;

derives::named! {
    /// Where an answer comes from, and what it shows a peer that passed the request on.
    pub(crate) enum Origin {
        /// A server gave it.
        Server = "server",
        /// The proxy itself: the request wasn't run, and trying another peer is of no use.
        NotRun = "not-run",
        /// The proxy itself: the request wasn't run here, and another node may serve it.
        Elsewhere = "elsewhere",
        /// The proxy itself: the request may have run.
        Unknown = "unknown",
    }
}

/// Why a request has no answer from a server. The message tells the caller what to do.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("the request can't be read ({0})")]
    Malformed(String),
    #[error("no route serves this host and path; check both")]
    NoRoute,
    #[error("the settings of this route can't be used; the request wasn't run, tell your operator")]
    RouteUnusable,
    #[error("no workspace has this key; send a key from your operator")]
    UnknownKey,
    #[error("the head is over {0} bytes; send fewer or shorter headers")]
    HeadTooLarge(usize),
    #[error("the body is over {0} bytes; send a shorter one")]
    BodyTooLarge(usize),
    #[error("the body didn't come whole in time; send it without pauses")]
    BodyTimeout,
    #[error("this node can't tell what is in force; send the request again, it wasn't run")]
    SettingsTooOld,
    #[error("this node holds as much as it can; send the request again, it wasn't run")]
    NodeFull,
    #[error("the request wasn't run ({reason}); send it again after {} ms", .retry_after.as_millis())]
    Refused { reason: &'static str, retry_after: Duration },
    #[error("this node reaches no backend server; send the request again, it wasn't run")]
    Unreachable,
    #[error("this node is stopping; send the request again, it wasn't run")]
    Stopping,
    #[error("no whole answer came; the request may have run")]
    Unknown,
    #[error("no answer came in time; the request may have run")]
    TimedOut,
}

/// When to retry a request that this node couldn't accept: almost at once, since the load balancer
/// sends it to another node.
pub(crate) const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

/// When to retry a request whose route an operator has to correct.
const RETRY_LATER: Duration = Duration::from_secs(1);

impl Error {
    /// 408, 421, 429 and 503 guarantee that the request didn't run and won't; the others don't.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
            Error::NoRoute => StatusCode::NOT_FOUND,
            Error::UnknownKey => StatusCode::UNAUTHORIZED,
            Error::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Error::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Error::RouteUnusable
            | Error::SettingsTooOld
            | Error::NodeFull
            | Error::Unreachable
            | Error::Stopping
            | Error::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Error::Unknown => StatusCode::BAD_GATEWAY,
            Error::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name of the error in logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Error::Malformed(_) => "malformed",
            Error::NoRoute => "no-route",
            Error::RouteUnusable => "route-unusable",
            Error::UnknownKey => "no-key",
            Error::HeadTooLarge(_) => "head-too-large",
            Error::BodyTooLarge(_) => "body-too-large",
            Error::BodyTimeout => "body-too-slow",
            Error::SettingsTooOld => "settings-too-old",
            Error::NodeFull => "node-full",
            Error::Unreachable => "unreachable",
            Error::Refused { reason, .. } => reason,
            Error::Stopping => "stopping",
            Error::Unknown => "unknown",
            Error::TimedOut => "no-answer-in-time",
        }
    }

    /// Delay before a retry, if the request didn't run.
    fn retry_after(&self) -> Option<Duration> {
        match self {
            Error::Refused { retry_after, .. } => Some(*retry_after),
            Error::RouteUnusable => Some(RETRY_LATER),
            Error::SettingsTooOld | Error::NodeFull | Error::Unreachable | Error::Stopping => {
                Some(RETRY_ELSEWHERE)
            }
            _ => None,
        }
    }

    fn origin(&self) -> Origin {
        match self {
            Error::Refused { .. } | Error::RouteUnusable => Origin::NotRun,
            Error::Unknown | Error::TimedOut => Origin::Unknown,
            _ => Origin::Elsewhere,
        }
    }

    /// The response to the caller.
    pub(crate) fn response(&self) -> Answer {
        let body = serde_json::json!({"error": {"message": self.to_string()}});
        let mut response = Response::build(self.status());
        response.insert_header(("content-type", "application/json"));
        if let Some(retry_after) = self.retry_after() {
            response.insert_header(("retry-after", format!("{:.3}", retry_after.as_secs_f64())));
        }
        let mut response = response.body(body.to_string()).map_into_boxed_body();
        response.extensions_mut().insert(self.origin());
        response
    }
}
