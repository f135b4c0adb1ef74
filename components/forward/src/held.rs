//! Bytes that count against the budget of the node's buffers until they are written to a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use buffers::{Buffer, Share};
use bytes::Bytes;

/// Most bytes that are handed over for writing at once. The HTTP library copies what it gets into the connection's buffer,
/// where no budget bounds it, and takes no more while that buffer is full.
const MAX_SLICE_BYTES: usize = 4 << 10;

/// Bytes and their share of the budget, if they are too many to be left out of account.
#[derive(Debug, Default)]
pub(crate) struct Held {
    bytes: Bytes,
    share: Option<Share>,
}

impl Held {
    /// Bytes that hold this share.
    pub(crate) fn new(bytes: Bytes, share: Share) -> Self {
        Held { bytes, share: Some(share) }
    }

    pub(crate) fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The next bytes for the connection's buffer; none once all were taken.
    pub(crate) fn take_slice(&mut self) -> Option<Bytes> {
        if self.bytes.len() > MAX_SLICE_BYTES {
            return Some(self.bytes.split_to(MAX_SLICE_BYTES));
        }
        self.share = None;
        (!self.bytes.is_empty()).then(|| std::mem::take(&mut self.bytes))
    }
}

impl From<Bytes> for Held {
    /// Bytes that are no more than what was read from a connection at once.
    fn from(bytes: Bytes) -> Self {
        Held { bytes, share: None }
    }
}

impl From<Buffer> for Held {
    fn from(buffer: Buffer) -> Self {
        let (bytes, share) = buffer.into_parts();
        Held::new(bytes, share)
    }
}

impl MessageBody for Held {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        Poll::Ready(self.get_mut().take_slice().map(Ok))
    }
}
