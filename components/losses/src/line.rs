//! Parses a node's JSON log lines.

use serde::Deserialize;

derives::data! {
    /// A request that ended, as its node logged it. Times are in milliseconds.
    #[derive(Deserialize)]
    pub struct Request {
        /// Request id that the caller gave to this try.
        pub request: String,
        /// Name of its route.
        pub route: String,
        /// Backend server that it was last sent to; empty if it was never sent.
        #[serde(default)]
        pub server: String,
        /// Outcome, such as `complete` or `broken-off`.
        pub outcome: String,
        /// HTTP status sent to the caller; 0 if the answer had already begun when the request ended.
        pub status: u16,
        /// From its arrival to its end.
        pub took_ms: u64,
        /// From its arrival to the first token, if one came.
        pub first_ms: Option<u64>,
        /// Longest pause between two events of its answer.
        #[serde(default)]
        pub pause_ms: u64,
        /// Number of attempts that were sent.
        #[serde(default)]
        pub sends: u32,
        /// From its arrival to its last send.
        pub sent_ms: Option<u64>,
        /// Whether it went to its session's preferred engine.
        #[serde(rename = "home")]
        pub preferred: Option<bool>,
        /// Whether the engine fetched the cached prefix of its prompt from another engine.
        pub fetched: Option<bool>,
        /// Expected prefill time of its prompt.
        #[serde(rename = "reading_ms")]
        pub prefill_ms: Option<u64>,
        /// Expected time until the engine would start its prefill.
        pub backlog_ms: Option<u64>,
        /// Target for the first token of a stream, or for the complete answer otherwise.
        pub target_ms: u64,
        /// Target for the longest pause in a stream; `None` if the answer isn't a stream.
        #[serde(rename = "bears_ms")]
        pub pause_tolerance_ms: Option<u64>,
        /// Time limit for the complete answer.
        pub limit_ms: u64,
    }
}

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A request ended. The second field is the time of the line in milliseconds since 1970, if it
    /// has one.
    Ended(Box<Request>, Option<u64>),
    /// A request was refused before it was parsed: the reason, and the time of the line as in
    /// [`Line::Ended`].
    Refused(String, Option<u64>),
    /// The node dropped this many log lines because it logged too many.
    Dropped(u64),
    /// Any other line.
    Other,
}

impl Line {
    /// Parses a line, skipping a prefix that a log collector put before the JSON object. Returns
    /// `None` if the object is missing, incomplete or lacks a field.
    ///
    /// ```
    /// let line = r#"node-1 {"level":"warn","msg":"log lines left out","count":3}"#;
    /// assert_eq!(losses::Line::parse(line), Some(losses::Line::Dropped(3)));
    /// assert_eq!(losses::Line::parse(r#"{"msg":"ended","requ"#), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let value: serde_json::Value = serde_json::from_str(object.trim_end()).ok()?;
        let at = value["at_ms"].as_u64();
        match value["msg"].as_str()? {
            "ended" => {
                let request: Request = serde_json::from_value(value).ok()?;
                Some(Line::Ended(Box::new(request), at))
            }
            "not taken in" => Some(Line::Refused(value["outcome"].as_str()?.to_string(), at)),
            "log lines left out" => Some(Line::Dropped(value["count"].as_u64()?)),
            _ => Some(Line::Other),
        }
    }
}
