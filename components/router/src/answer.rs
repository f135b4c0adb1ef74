//! Builds the router's own responses, in the format that clients of language models expect.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use engine::wire::REQUEST_ID;
use lifecycle::Outcome;
use policy::Refusal;

/// Header with the outcome of the request.
pub(crate) const OUTCOME_HEADER: &str = "x-outcome";

/// Outcome in the head of a stream. The end of the stream tells the final one: an end mark, or an error
/// event.
pub(crate) const STREAMING: &str = "streaming";

/// A response to a caller, peer or operator.
pub(crate) type Answer = Response<BoxBody>;

/// An error that is sent to a caller. The message says what to do about it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(
        "no workspace has this key; send `Authorization: Bearer KEY` with a key from your operator"
    )]
    UnknownKey,
    #[error("no class is named `{0}`; leave out the x-class header to use your workspace's own")]
    UnknownClass(String),
    #[error("nothing is served at {0}; see /v1/models for what is")]
    UnknownPath(String),
    #[error("{0} isn't allowed here; use POST")]
    Method(String),
    #[error("the head is over {0} bytes; send fewer or shorter headers")]
    HeadTooLarge(usize),
    #[error("the body isn't what this path takes ({0}); send a JSON object with a `model`")]
    Body(String),
    #[error("the body is over {0} bytes; send a shorter one")]
    BodyTooLarge(usize),
    #[error("the body didn't come whole in time; send it without pauses")]
    BodyTooSlow,
    #[error("the model `{0}` isn't served; see /v1/models for what is")]
    UnknownModel(String),
    #[error("`{0}` isn't a deadline; send x-deadline-ms as a whole number of milliseconds above 0")]
    Deadline(String),
    #[error("the router has no settings yet; send the request again to another node")]
    NoSettings,
    #[error("this node is stopping; nothing ran, send the request again to another node")]
    Stopping,
    #[error("the request wasn't run ({0}); it is safe to send again after {1} ms")]
    Refused(&'static str, u128),
    #[error(
        "an idempotency key here must carry its time of issue; send a UUID of version 7, made anew \
         for each call and kept for its repeats"
    )]
    UndatedKey,
    #[error(
        "the home of this key can't be asked; nothing ran now, send it again with the same key"
    )]
    NoOwner,
    #[error("a call with this key runs now; ask again later with the same key")]
    Running,
    #[error(
        "a call with this key was let through before, and its answer isn't kept; it may have run"
    )]
    AlreadyRan,
    #[error(
        "a call with this key may have run before this node could know of it; it isn't run again, \
         look up its effect before you send it with a new key"
    )]
    MayHaveRun,
    #[error("no whole answer came from the backend server; the request may have run")]
    Unknown,
}

impl Error {
    fn status(&self) -> StatusCode {
        match self {
            Error::UnknownKey => StatusCode::UNAUTHORIZED,
            Error::UnknownClass(_) | Error::Body(_) | Error::Deadline(_) => StatusCode::BAD_REQUEST,
            Error::UnknownPath(_) | Error::UnknownModel(_) => StatusCode::NOT_FOUND,
            Error::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Error::HeadTooLarge(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Error::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Error::NoSettings | Error::Stopping | Error::Refused(..) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Error::UndatedKey => StatusCode::BAD_REQUEST,
            Error::NoOwner => StatusCode::SERVICE_UNAVAILABLE,
            Error::Running | Error::AlreadyRan | Error::MayHaveRun => StatusCode::CONFLICT,
            Error::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Name of the error in logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Error::UnknownKey => "key",
            Error::UnknownClass(_) => "class",
            Error::UnknownPath(_) => "path",
            Error::Method(_) => "method",
            Error::HeadTooLarge(_) => "head",
            Error::Body(_) => "body",
            Error::BodyTooLarge(_) => "large",
            Error::BodyTooSlow => "slow",
            Error::UnknownModel(_) => "model",
            Error::Deadline(_) => "deadline",
            Error::NoSettings => "no-settings",
            Error::Stopping => "stopping",
            Error::Refused(text, _) => text,
            Error::UndatedKey => "undated-key",
            Error::NoOwner => "no-home",
            Error::Running => "running",
            Error::AlreadyRan => "ran",
            Error::MayHaveRun => "may-have-run",
            Error::Unknown => "unknown",
        }
    }

    /// Time after which the same request may succeed; `None` if it can't as it is.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        matches!(self, Error::NoSettings | Error::Stopping | Error::NoOwner | Error::Running)
            .then_some(Duration::from_secs(1))
    }

    /// The `type` of the error in the body.
    fn kind(&self) -> &'static str {
        match self {
            Error::UnknownKey => "authentication_error",
            Error::NoSettings | Error::Stopping | Error::Refused(..) => "overloaded_error",
            Error::Unknown => "server_error",
            _ => "invalid_request_error",
        }
    }
}

/// Text for a refusal in bodies and metrics.
pub(crate) fn refusal_text(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Full => "no room",
        Refusal::Displaced => "given up for a higher tier",
        Refusal::Late => "it can't be served in time",
        Refusal::Resting => "all backend servers ask for rest",
        Refusal::OverShare => "over its share",
        Refusal::Overloaded => "overload",
        Refusal::NoServer => "no backend server may take it",
        Refusal::Quarantined => "servers ended under it",
    }
}

/// The response for an error.
pub(crate) fn error(
    id: ids::Request,
    outcome: Outcome,
    error: &Error,
    retry_after: Option<Duration>,
) -> Answer {
    let body = serde_json::json!({
        "error": {"message": error.to_string(), "type": error.kind(), "request_id": id.to_string()},
    });
    let mut response = Response::build(error.status());
    response.insert_header(("content-type", "application/json"));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME_HEADER, outcome.as_str()));
    if let Some(retry_after) = retry_after {
        response.insert_header(("retry-after", retry_after.as_secs().max(1).to_string()));
    }
    response.body(body.to_string()).map_into_boxed_body()
}

/// A successful response to a caller whose request the router answers itself.
pub(crate) fn success(id: ids::Request, body: &serde_json::Value) -> Answer {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/json"));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME_HEADER, Outcome::Complete.as_str()));
    response.body(body.to_string()).map_into_boxed_body()
}

/// A response with a JSON body and no request id.
pub(crate) fn json(status: StatusCode, body: &serde_json::Value) -> Answer {
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body.to_string()).map_into_boxed_body()
}
