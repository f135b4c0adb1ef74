//! Splits a stream of server-sent events into whole events, so that a caller never receives part of
//! one and another server can continue the stream after the last whole event.

use bytes::{Bytes, BytesMut};
use http_client::Delimiter;
use memchr::memmem;

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
}

impl Splitter {
    /// For a stream that continues after an event that the caller already has.
    pub(crate) fn resuming_after(sent: Option<u64>) -> Self {
        Splitter { sent, ..Splitter::default() }
    }

    /// Id of the last event returned by [`Splitter::push`] or sent before.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last.max(self.sent)
    }

    /// Appends bytes of the stream; returns the events that are complete now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, OutOfOrder> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        let mut events = 0;
        while let Some(end) = event_end(&self.buf) {
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
            self.last = Some(id);
            if self.sent.is_none_or(|sent| id > sent) {
                events += 1;
                out.extend_from_slice(&event);
            }
        }
        Ok((!out.is_empty()).then(|| Batch { bytes: out.freeze(), events }))
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
