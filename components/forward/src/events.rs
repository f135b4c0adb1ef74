//! Splits a stream of server-sent events into whole events, so that a caller never receives part of
//! one and another server can continue the stream after the last whole event.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use catalog::Entry;
use endings::{Before, Numbering, Verdict};
use http_client::Delimiter;
use memchr::memmem;
use origins::Version;

/// Size of an event after which the memory that held it isn't kept for the next ones.
const MAX_KEPT_BYTES: usize = 4 << 10;
/// Software versions whose numbering is remembered.
const MAX_VERSIONS: usize = 1_000;

derives::data! {
    /// Consecutive whole events.
    pub(crate) struct Batch {
        /// The events, including those without an id, such as comments.
        pub(crate) bytes: Bytes,
        /// Number of events that have an id.
        pub(crate) events: u32,
    }
}

/// An event whose id isn't greater than the one before it.
#[derive(Debug, thiserror::Error)]
#[error("event {id} came after event {last}")]
pub(crate) struct OutOfOrder {
    id: u64,
    last: u64,
}

/// An event before which others are missing.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("events are missing between event {} and event {id}", .last.map_or("none".to_string(), |last| last.to_string()))]
pub(crate) struct Gap {
    id: u64,
    last: Option<u64>,
}

/// A server whose stream is split, and how servers with its software number events.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    server: u32,
    numbering: Rc<RefCell<Numbering>>,
}

/// How servers number the events of their streams, by service and version of the software.
#[derive(Debug, Default)]
pub(crate) struct Numberings(RefCell<HashMap<Version, Rc<RefCell<Numbering>>>>);

impl Numberings {
    /// What is known of a server's numbering.
    pub(crate) fn source(&self, server: &Entry) -> Source {
        let mut by_version = self.0.borrow_mut();
        if by_version.len() >= MAX_VERSIONS {
            by_version.clear();
        }
        let version = Version::of(&server.service, &server.version);
        let numbering = by_version.entry(version).or_default().clone();
        Source { server: wire::key(&server.name), numbering }
    }
}

/// A stream that ended before its last event was whole.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum Truncated {
    /// An event had begun.
    #[error("the stream ended inside an event, {0} bytes after the last whole one")]
    InsideEvent(usize),
    /// Nothing but the end of the connection marks the end, and no event arrived.
    #[error("the connection ended before the first event")]
    BeforeFirstEvent,
}

/// Splits the bytes of one stream into whole events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    /// Bytes after the last whole event.
    buf: BytesMut,
    /// Id of the last whole event in this stream.
    last: Option<u64>,
    /// Events up to this id were already sent to the caller, and are skipped.
    sent: Option<u64>,
    /// A whole event arrived.
    received: bool,
    /// Ids between those of consecutive events that no event had.
    skipped_ids: u64,
    /// The server that sends the stream; without it, gaps show nothing.
    source: Option<Source>,
    /// Where events are missing. Nothing that follows is returned.
    gap: Option<Gap>,
}

impl Splitter {
    /// For a stream that continues after an event that the caller already has.
    pub(crate) fn resuming_after(sent: Option<u64>) -> Self {
        Splitter { sent, ..Splitter::default() }
    }

    /// Notices events that are missing in the stream of a server.
    pub(crate) fn sent_by(self, source: Source) -> Self {
        Splitter { source: Some(source), ..self }
    }

    /// Id of the last event returned by [`Splitter::push`] or sent before.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last.max(self.sent)
    }

    /// Appends bytes of the stream; returns the events that are complete now, up to a [`Splitter::gap`].
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, OutOfOrder> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        let mut events = 0;
        while self.gap.is_none()
            && let Some(end) = event_end(&self.buf)
        {
            let event = self.buf.split_to(end);
            self.received = true;
            let Some(id) = event_id(&event) else {
                out.extend_from_slice(&event);
                continue;
            };
            if let Some(last) = self.last.filter(|last| id <= *last) {
                return Err(OutOfOrder { id, last });
            }
            if let Some(last) = self.last_id().filter(|last| id > *last) {
                self.skipped_ids += id - last - 1;
            }
            if self.is_missing_before(id) {
                self.gap = Some(Gap { id, last: self.last_id() });
                break;
            }
            self.last = Some(id);
            if self.sent.is_none_or(|sent| id > sent) {
                events += 1;
                out.extend_from_slice(&event);
            }
        }
        if out.len() > MAX_KEPT_BYTES {
            self.buf = BytesMut::from(&self.buf[..]);
        }
        Ok((!out.is_empty()).then(|| Batch { bytes: out.freeze(), events }))
    }

    /// Whether events are missing before the event with this id.
    fn is_missing_before(&self, id: u64) -> bool {
        let before = match (self.last, self.sent) {
            (_, Some(sent)) if id <= sent => return false,
            (last, Some(sent)) if last < Some(sent) => Before::EarlierAnswer(sent),
            (Some(last), _) => Before::SameAnswer(last),
            (None, _) => Before::Nothing,
        };
        let judge =
            |source: &Source| source.numbering.borrow_mut().judge(source.server, before, id);
        self.source.as_ref().map(judge) == Some(Verdict::Missing)
    }

    /// Where events are missing, after those that were returned.
    pub(crate) fn gap(&self) -> Option<Gap> {
        self.gap
    }

    /// Ids between those of consecutive events, and after the event that is resumed, that no event had.
    pub(crate) fn skipped_ids(&self) -> u64 {
        self.skipped_ids
    }

    /// Number of bytes after the last whole event.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Ends the stream, whose body ended as `delimiter` requires. Returns what followed the last whole event, if
    /// that belongs to no event.
    pub(crate) fn finish(&mut self, delimiter: Delimiter) -> Result<Bytes, Truncated> {
        if !is_outside_events(&self.buf) {
            return Err(Truncated::InsideEvent(self.buf.len()));
        }
        if delimiter == Delimiter::Connection && self.last_id().is_none() && !self.received {
            return Err(Truncated::BeforeFirstEvent);
        }
        Ok(self.buf.split().freeze())
    }
}

/// Ends of a line that is followed by an empty one.
const EMPTY_LINES: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// Length of the first event including the empty line that ends it; none if it is incomplete.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let ends = EMPTY_LINES.iter().map(|end| memmem::find(bytes, end).map(|at| at + end.len()));
    ends.flatten().min()
}

/// Whether bytes after an event hold nothing but line breaks and whole comments.
fn is_outside_events(bytes: &[u8]) -> bool {
    let mut lines: Vec<_> = bytes.split(|byte| matches!(byte, b'\n' | b'\r')).collect();
    let unfinished = lines.pop().unwrap_or_default();
    unfinished.is_empty() && lines.iter().all(|line| line.is_empty() || line.starts_with(b":"))
}

/// The numeric id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

#[cfg(test)]
mod tests;
