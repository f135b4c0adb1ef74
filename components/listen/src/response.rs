//! A response body that counts its request as in progress until the HTTP library drops the body,
//! which it does once it has taken over all of it for writing. Tells the connection when the body is complete.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

use crate::connection::ActiveRequest;

pub(crate) struct TrackedBody {
    pub(crate) body: BoxBody,
    /// Counts the request until the body is dropped.
    pub(crate) active: Option<ActiveRequest>,
}

impl MessageBody for TrackedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = Pin::new(&mut self.body).poll_next(cx);
        if let (Poll::Ready(None), Some(active)) = (&next, &self.active) {
            active.connection().mark_body_complete();
        }
        next
    }
}
