//! Answers of the router's own.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};

/// What the router answers.
pub(crate) type Answer = Response<BoxBody>;

/// Why a request has no answer of a server. The message names the remedy.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("the request can't be read ({0})")]
    Malformed(String),
    #[error("no route serves this host and path; check both")]
    Route,
    #[error("no workspace has this key; send a key from your operator")]
    Key,
    #[error("the head is over {0} bytes; send fewer or shorter headers")]
    Head(usize),
    #[error("the body is over {0} bytes; send a shorter one")]
    Large(usize),
    #[error("the body didn't come whole in time; send it without pauses")]
    Slow,
    #[error("this node can't tell what is in force; send the request again, it wasn't run")]
    Stale,
    #[error("this node holds as much as it can; send the request again, it wasn't run")]
    Full,
    #[error("the request wasn't run ({reason}); send it again after {} ms", .again.as_millis())]
    Refused { reason: &'static str, again: Duration },
    #[error("no whole answer came; the request may have run")]
    Unknown,
    #[error("no answer came in time; the request may have run")]
    Late,
}

/// When a request that a node couldn't take is worth another try: at once, since the balancer
/// brings it to another node.
const SOON: Duration = Duration::from_millis(20);

impl Error {
    /// 408, 421, 429 and 503 promise that nothing ran and nothing will; the others don't.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
            Error::Route => StatusCode::NOT_FOUND,
            Error::Key => StatusCode::UNAUTHORIZED,
            Error::Head(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Error::Large(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Slow => StatusCode::REQUEST_TIMEOUT,
            Error::Stale | Error::Full | Error::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Error::Unknown => StatusCode::BAD_GATEWAY,
            Error::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Word for it in logs and metrics.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Error::Malformed(_) => "malformed",
            Error::Route => "no-route",
            Error::Key => "no-key",
            Error::Head(_) => "head-too-large",
            Error::Large(_) => "body-too-large",
            Error::Slow => "body-too-slow",
            Error::Stale => "settings-too-old",
            Error::Full => "node-full",
            Error::Refused { reason, .. } => reason,
            Error::Unknown => "unknown",
            Error::Late => "no-answer-in-time",
        }
    }

    /// When to come back, where nothing ran.
    fn again(&self) -> Option<Duration> {
        match self {
            Error::Refused { again, .. } => Some(*again),
            Error::Stale | Error::Full => Some(SOON),
            _ => None,
        }
    }

    /// The answer that tells of it.
    pub(crate) fn answer(&self) -> Answer {
        let body = serde_json::json!({"error": {"message": self.to_string()}});
        let mut response = Response::build(self.status());
        response.insert_header(("content-type", "application/json"));
        if let Some(again) = self.again() {
            response.insert_header(("retry-after", format!("{:.3}", again.as_secs_f64())));
        }
        response.body(body.to_string()).map_into_boxed_body()
    }
}
