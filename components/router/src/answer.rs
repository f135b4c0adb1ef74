//! Answers of the router's own, in the shapes that clients of language models expect.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use engine::wire::REQUEST_ID;
use lifecycle::Outcome;
use policy::Refusal;

/// Header that tells what became of the request.
pub(crate) const OUTCOME: &str = "x-outcome";

/// Outcome in the head of a stream, whose end tells the rest: its end mark, or an error event.
pub(crate) const STREAMING: &str = "streaming";

/// What the router answers.
pub(crate) type Answer = Response<BoxBody>;

/// An error told to a caller. The message names the remedy.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(
        "no workspace has this key; send `Authorization: Bearer KEY` with a key from your operator"
    )]
    Key,
    #[error("no class is named `{0}`; leave out the x-class header to use your workspace's own")]
    Class(String),
    #[error("nothing is served at {0}; see /v1/models for what is")]
    Path(String),
    #[error("{0} isn't allowed here; use POST")]
    Method(String),
    #[error("the head is over {0} bytes; send fewer or shorter headers")]
    Head(usize),
    #[error("the body isn't what this path takes ({0}); send a JSON object with a `model`")]
    Body(String),
    #[error("the body is over {0} bytes; send a shorter one")]
    Large(usize),
    #[error("the body didn't come whole in time; send it without pauses")]
    Slow,
    #[error("the model `{0}` isn't served; see /v1/models for what is")]
    Model(String),
    #[error("`{0}` isn't a deadline; send x-deadline-ms as a whole number of milliseconds above 0")]
    Deadline(String),
    #[error("the router has no settings yet; send the request again to another node")]
    NoSettings,
    #[error("the request wasn't run ({0}); it is safe to send again after {1} ms")]
    Refused(&'static str, u128),
    #[error(
        "an idempotency key here must carry its time of issue; send a UUID of version 7, made anew \
         for each call and kept for its repeats"
    )]
    Undated,
    #[error(
        "the home of this key can't be asked; nothing ran now, send it again with the same key"
    )]
    NoHome,
    #[error("a call with this key runs now; ask again later with the same key")]
    Running,
    #[error(
        "a call with this key was let through before, and its answer isn't kept; it may have run"
    )]
    Ran,
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
            Error::Key => StatusCode::UNAUTHORIZED,
            Error::Class(_) | Error::Body(_) | Error::Deadline(_) => StatusCode::BAD_REQUEST,
            Error::Path(_) | Error::Model(_) => StatusCode::NOT_FOUND,
            Error::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Error::Head(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Error::Large(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Error::Slow => StatusCode::REQUEST_TIMEOUT,
            Error::NoSettings | Error::Refused(..) => StatusCode::SERVICE_UNAVAILABLE,
            Error::Undated => StatusCode::BAD_REQUEST,
            Error::NoHome => StatusCode::SERVICE_UNAVAILABLE,
            Error::Running | Error::Ran | Error::MayHaveRun => StatusCode::CONFLICT,
            Error::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// The word for it in logs and metrics.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Error::Key => "key",
            Error::Class(_) => "class",
            Error::Path(_) => "path",
            Error::Method(_) => "method",
            Error::Head(_) => "head",
            Error::Body(_) => "body",
            Error::Large(_) => "large",
            Error::Slow => "slow",
            Error::Model(_) => "model",
            Error::Deadline(_) => "deadline",
            Error::NoSettings => "no-settings",
            Error::Refused(word, _) => word,
            Error::Undated => "undated-key",
            Error::NoHome => "no-home",
            Error::Running => "running",
            Error::Ran => "ran",
            Error::MayHaveRun => "may-have-run",
            Error::Unknown => "unknown",
        }
    }

    /// When it is worth sending the same again.
    pub(crate) fn again(&self) -> Option<Duration> {
        matches!(self, Error::NoSettings | Error::NoHome | Error::Running)
            .then_some(Duration::from_secs(1))
    }

    fn kind(&self) -> &'static str {
        match self {
            Error::Key => "authentication_error",
            Error::NoSettings | Error::Refused(..) => "overloaded_error",
            Error::Unknown => "server_error",
            _ => "invalid_request_error",
        }
    }
}

/// Word for a refusal in bodies and metrics.
pub(crate) fn refusal(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Full => "no room",
        Refusal::Displaced => "given up for a higher tier",
        Refusal::Late => "it can't be served in time",
        Refusal::NoServer => "no backend server may take it",
        Refusal::Quarantined => "servers ended under it",
    }
}

/// The answer that tells of an error.
pub(crate) fn error(
    id: ids::Request,
    outcome: Outcome,
    error: &Error,
    again: Option<Duration>,
) -> Answer {
    let body = serde_json::json!({
        "error": {"message": error.to_string(), "type": error.kind(), "request_id": id.to_string()},
    });
    let mut response = Response::build(error.status());
    response.insert_header(("content-type", "application/json"));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME, outcome.as_str()));
    if let Some(again) = again {
        response.insert_header(("retry-after", again.as_secs().max(1).to_string()));
    }
    response.body(body.to_string()).map_into_boxed_body()
}

/// An answer of the router's own to a caller, in which nothing had to run.
pub(crate) fn told(id: ids::Request, body: &serde_json::Value) -> Answer {
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "application/json"));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME, Outcome::Complete.as_str()));
    response.body(body.to_string()).map_into_boxed_body()
}

/// A plain answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: &serde_json::Value) -> Answer {
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body.to_string()).map_into_boxed_body()
}
