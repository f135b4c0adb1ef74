//! Splits a stream into whole events, so that a part of one never reaches a caller and the stream
//! can go on elsewhere after the last whole one.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

derives::data! {
    /// Whole events in the order in which they came.
    pub(crate) struct Piece {
        pub(crate) bytes: Bytes,
        pub(crate) events: u32,
    }
}

/// An event whose id isn't above the one before it.
#[derive(Debug, thiserror::Error)]
#[error("event {id} came after event {last}")]
pub(crate) struct Disorder {
    id: u64,
    last: u64,
}

/// Reads a stream's bytes.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    buf: BytesMut,
    /// Id of the last whole event.
    last: Option<u64>,
    /// Events up to this id were passed on already.
    passed: Option<u64>,
}

impl Scan {
    /// Of a stream that goes on after an event.
    pub(crate) fn after(passed: Option<u64>) -> Self {
        Scan { buf: BytesMut::new(), last: None, passed }
    }

    /// Id of the last event that was passed on.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last.max(self.passed)
    }

    /// Takes bytes in; returns the events that are whole now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Piece>, Disorder> {
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
                return Err(Disorder { id, last });
            }
            self.last = Some(id);
            if self.passed.is_none_or(|passed| id > passed) {
                events += 1;
                out.extend_from_slice(&event);
            }
        }
        Ok((!out.is_empty()).then(|| Piece { bytes: out.freeze(), events }))
    }

    /// What is left at the true end of the stream.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

/// Where the first event ends: after its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let crlf = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.into_iter().chain(crlf).min()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

#[cfg(test)]
mod tests;
