//! One log line.

use serde::Deserialize;

derives::data! {
    /// How a request ended, as its node logged it. Times are in milliseconds.
    #[derive(Deserialize)]
    pub struct Ended {
        /// The caller's name for this try of it.
        pub request: String,
        /// Name of its route.
        pub route: String,
        /// Server that it was sent to last; empty if to none.
        #[serde(default)]
        pub server: String,
        /// What became of it.
        pub outcome: String,
        /// Status that its caller got; 0 for an answer that had begun.
        pub status: u16,
        /// From its arrival to its end.
        pub took_ms: u64,
        /// From its arrival to the first token, if one came.
        pub first_ms: Option<u64>,
        /// Longest pause between two events of its answer.
        #[serde(default)]
        pub pause_ms: u64,
        /// How often it was sent.
        #[serde(default)]
        pub sends: u32,
        /// From its arrival to its last send.
        pub sent_ms: Option<u64>,
        /// It went to the home of its session.
        pub home: Option<bool>,
        /// The engine took over the beginning of its prompt from another.
        pub fetched: Option<bool>,
        /// In what time the engine was expected to read its prompt.
        pub reading_ms: Option<u64>,
        /// After what time it was expected to begin to.
        pub backlog_ms: Option<u64>,
        /// Time for the first token, or the whole answer, that callers hope for.
        pub target_ms: u64,
        /// Longest pause that they hope for; none where the answer is no stream.
        pub bears_ms: Option<u64>,
        /// Time in which the answer had to end.
        pub limit_ms: u64,
    }
}

/// What a log line tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A request ended. The second part is when, in milliseconds since 1970, if the line says so.
    Ended(Box<Ended>, Option<u64>),
    /// A request wasn't taken in, and why; and when.
    Refused(String, Option<u64>),
    /// So many lines were left out, as there were too many.
    LeftOut(u64),
    /// Something else.
    Other,
}

impl Line {
    /// Reads a line; what stands before its JSON object, as collectors of logs put it there, is passed
    /// over. None if there is no whole object in it.
    ///
    /// ```
    /// let line = r#"node-1 {"level":"warn","msg":"log lines left out","count":3}"#;
    /// assert_eq!(losses::Line::read(line), Some(losses::Line::LeftOut(3)));
    /// assert_eq!(losses::Line::read(r#"{"msg":"ended","requ"#), None);
    /// ```
    pub fn read(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let value: serde_json::Value = serde_json::from_str(object.trim_end()).ok()?;
        let at = value["at_ms"].as_u64();
        match value["msg"].as_str()? {
            "ended" => {
                let ended: Ended = serde_json::from_value(value).ok()?;
                Some(Line::Ended(Box::new(ended), at))
            }
            "not taken in" => Some(Line::Refused(value["outcome"].as_str()?.to_string(), at)),
            "log lines left out" => Some(Line::LeftOut(value["count"].as_u64()?)),
            _ => Some(Line::Other),
        }
    }
}
