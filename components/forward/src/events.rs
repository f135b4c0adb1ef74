//! Splits a stream of server-sent events into whole events, so that a caller never receives part of
//! one and another server can continue the stream after the last whole event.

use bytes::{Bytes, BytesMut};
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

/// Splits the bytes of one stream into whole events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    /// Bytes after the last whole event.
    buf: BytesMut,
    /// Id of the last whole event in this stream.
    last: Option<u64>,
    /// Events up to this id were already sent to the caller, and are skipped.
    sent: Option<u64>,
}

impl Splitter {
    /// For a stream that continues after an event that the caller already has.
    pub(crate) fn resuming_after(sent: Option<u64>) -> Self {
        Splitter { buf: BytesMut::new(), last: None, sent }
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
            let Some(id) = event_id(&event) else {
                out.extend_from_slice(&event);
                continue;
            };
            if let Some(last) = self.last.filter(|last| id <= *last) {
                return Err(OutOfOrder { id, last });
            }
            self.last = Some(id);
            if self.sent.is_none_or(|sent| id > sent) {
                events += 1;
                out.extend_from_slice(&event);
            }
        }
        Ok((!out.is_empty()).then(|| Batch { bytes: out.freeze(), events }))
    }

    /// Takes the bytes after the last whole event, once the stream has ended regularly.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Length of the first event including the empty line that ends it; none if it is incomplete.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.into_iter().chain(crlf).min()
}

/// The numeric id of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

#[cfg(test)]
mod tests;
