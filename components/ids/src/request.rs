//! Defines the identifier that a request carries over the network.

use std::fmt;
use std::time::{Duration, SystemTime};

/// Identifier of a request, unique over all routers: a UUID version 7, which holds its time of issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Request(uuid::Uuid);

/// The text isn't a request identifier.
#[derive(Debug, thiserror::Error)]
#[error("`{text}` is not a request id; send a UUID such as 0190163d-8694-739b-aea5-966c26f8ad91")]
pub struct ParseError {
    text: String,
}

impl Request {
    /// Creates a new identifier from the time of day and random bits.
    ///
    /// ```
    /// assert_ne!(ids::Request::new(), ids::Request::new());
    /// ```
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        Request(uuid::Uuid::now_v7())
    }

    /// Creates an identifier from the 16 bytes of its UUID, for callers that use a seeded random generator.
    ///
    /// ```
    /// assert_eq!(ids::Request::from_bytes([0; 16]).to_string().len(), 36);
    /// ```
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Request(uuid::Uuid::from_bytes(bytes))
    }

    /// Parses the text form of an identifier.
    ///
    /// ```
    /// let id = ids::Request::new();
    /// assert_eq!(ids::Request::parse(&id.to_string()).unwrap(), id);
    /// assert!(ids::Request::parse("7").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        uuid::Uuid::parse_str(text).map(Request).map_err(|_| ParseError { text: text.to_string() })
    }

    /// Time of issue, to the millisecond; none if the UUID has no timestamp.
    ///
    /// ```
    /// assert!(ids::Request::new().issued().is_some());
    /// ```
    pub fn issued(&self) -> Option<SystemTime> {
        let (seconds, nanos) = self.0.get_timestamp()?.to_unix();
        SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanos))
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
