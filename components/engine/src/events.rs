//! Parses an engine's stream of server-sent events: splits it into events, checks that each belongs
//! to the request, and detects whether the answer is complete.
//!
//! Only complete events are passed on to the caller, so that another engine can continue after any
//! of them.

use std::borrow::Cow;
use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::wire::DONE;

/// Largest event in bytes; an event of an engine normally holds a few tokens.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Longest text of an answer in bytes, a few million tokens. Without a limit, an engine that never
/// stops would fill the router's memory and occupy its slot forever.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// Why a stream isn't a valid answer to the request.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// An event isn't valid UTF-8 or a valid completion chunk, has several data lines, or has an
    /// invalid number or none after a numbered one.
    #[error("malformed event")]
    Malformed,
    /// An event exceeds the size limit.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The text of the answer exceeds its limit.
    #[error("the text of the answer exceeds {MAX_TEXT_BYTES} bytes")]
    TooLong,
    /// An event carries the id of another request, or no id.
    #[error("an event belongs to another request")]
    Mismatched,
    /// Events are missing or repeated.
    #[error("received event {received}, expected {expected}")]
    OutOfSequence {
        /// Number of the next event in sequence.
        expected: u64,
        /// Number of the event that arrived.
        received: u64,
    },
    /// The engine sent an error event.
    #[error("the engine reported an error in the stream")]
    Engine,
    /// `[DONE]` arrived before each choice had a finish reason.
    #[error("[DONE] arrived before each choice had a finish reason")]
    Unfinished,
}

derives::data! {
    /// Complete events that belong to the answer.
    #[derive(Default)]
    pub struct Batch {
        /// Bytes of the events, unchanged.
        pub bytes: Bytes,
        /// Number of tokens in the events: one for each choice with text, as an engine sends one
        /// token per event.
        pub tokens: u32,
        /// Number of events that were dropped because their choice had already finished.
        pub dropped: u32,
    }
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Option<Cow<'a, str>>,
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    index: u32,
    delta: Option<Delta>,
    text: Option<String>,
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Choice {
    fn text(&self) -> &str {
        let content = self.delta.as_ref().and_then(|delta| delta.content.as_deref());
        content.or(self.text.as_deref()).unwrap_or_default()
    }
}

/// Incremental parser for the event stream of one answer.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    id: String,
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` in which no event ends.
    searched: usize,
    next_number: Option<u64>,
    /// For the index of each choice received so far, whether it has finished.
    choices: BTreeMap<u32, bool>,
    text: String,
    done: bool,
}

impl Parser {
    /// Creates a parser for the answer to request `id`.
    pub fn new(id: &str) -> Self {
        Parser { id: id.to_string(), ..Parser::default() }
    }

    /// Returns a parser for the stream in which another server continues the answer. Its first
    /// event must follow the last event that was passed on.
    pub fn resumed(&self) -> Self {
        Parser { buffer: BytesMut::new(), searched: 0, ..self.clone() }
    }

    /// Adds the next bytes of the stream and returns the events that they complete.
    ///
    /// ```
    /// let mut parser = engine::Parser::new("a");
    /// let event = br#"data: {"id":"a","choices":[{"text":"hi","finish_reason":"stop"}]}"#;
    /// assert_eq!(parser.feed(event).unwrap().tokens, 0);
    /// assert_eq!(parser.feed(b"\n\ndata: [DONE]\n\n").unwrap().tokens, 1);
    /// assert!(parser.is_done());
    /// ```
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Batch, StreamError> {
        let mut batch = Batch::default();
        let mut accepted = BytesMut::new();
        self.buffer.extend_from_slice(bytes);
        while !self.done
            && let Some(end) = self.event_end()
        {
            let event = self.buffer.split_to(end);
            self.searched = 0;
            match self.accept_event(&event)? {
                Some(tokens) => {
                    accepted.extend_from_slice(&event);
                    batch.tokens += tokens;
                }
                None => batch.dropped += 1,
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLarge);
        }
        batch.bytes = accepted.freeze();
        Ok(batch)
    }

    /// Whether `[DONE]` arrived after a finish reason for each choice, so that the answer is
    /// complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the number of the last event and the text so far, from which another server can
    /// continue the answer. `None` if the server doesn't number its events or the answer has
    /// several choices.
    pub fn checkpoint(&self) -> Option<(u64, &str)> {
        let single_choice = self.choices.len() <= 1;
        self.next_number.filter(|_| single_choice).map(|next| (next - 1, self.text.as_str()))
    }

    /// Returns the position in `buffer` after the first event and its blank line.
    fn event_end(&mut self) -> Option<usize> {
        let from = self.searched;
        for at in memchr::memchr_iter(b'\n', &self.buffer[from..]) {
            let after = &self.buffer[from + at + 1..];
            if after.starts_with(b"\n") {
                return Some(from + at + 2);
            }
            if after.starts_with(b"\r\n") {
                return Some(from + at + 3);
            }
        }
        // The last two bytes may be the start of a blank line that is still incomplete.
        self.searched = self.buffer.len().saturating_sub(2);
        None
    }

    /// Checks one event and updates the state. Returns its number of tokens, or `None` if the event
    /// must be dropped because its choice had already finished.
    fn accept_event(&mut self, event: &[u8]) -> Result<Option<u32>, StreamError> {
        let text = std::str::from_utf8(event).map_err(|_| StreamError::Malformed)?;
        let mut data = None;
        let mut number = None;
        for line in text.lines() {
            if let Some(value) = line.strip_prefix("data:") {
                if data.replace(value.trim_start()).is_some() {
                    return Err(StreamError::Malformed);
                }
            } else if let Some(value) = line.strip_prefix("id:") {
                number = Some(value.trim().parse::<u64>().map_err(|_| StreamError::Malformed)?);
            }
        }
        let Some(data) = data else { return Ok(Some(0)) };
        if data.as_bytes() == DONE {
            let finished = !self.choices.is_empty() && self.choices.values().all(|done| *done);
            self.done = finished;
            return if finished { Ok(Some(0)) } else { Err(StreamError::Unfinished) };
        }
        let chunk: Chunk = serde_json::from_str(data).map_err(|_| StreamError::Malformed)?;
        if chunk.error.is_some() {
            return Err(StreamError::Engine);
        }
        if chunk.id.as_deref() != Some(self.id.as_str()) {
            return Err(StreamError::Mismatched);
        }
        let after_finish = |choice: &Choice| self.choices.get(&choice.index) == Some(&true);
        if chunk.choices.iter().any(after_finish) {
            return Ok(None);
        }
        self.check_number(number)?;
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok(Some(self.record_choices(&chunk.choices)))
    }

    /// Checks that events are numbered in sequence, if they are numbered.
    fn check_number(&mut self, number: Option<u64>) -> Result<(), StreamError> {
        match (self.next_number, number) {
            (Some(expected), Some(received)) if expected != received => {
                return Err(StreamError::OutOfSequence { expected, received });
            }
            (Some(_), None) => return Err(StreamError::Malformed),
            _ => {}
        }
        self.next_number =
            number.map(|number| number.checked_add(1).ok_or(StreamError::Malformed)).transpose()?;
        Ok(())
    }

    /// Records the text and the finish reasons of an event; returns its number of tokens.
    fn record_choices(&mut self, choices: &[Choice]) -> u32 {
        let mut tokens = 0;
        for choice in choices {
            self.choices.insert(choice.index, choice.finish_reason.is_some());
            self.text.push_str(choice.text());
            tokens += u32::from(!choice.text().is_empty());
        }
        tokens
    }
}
