//! Reads the body of a response, and hands its connection on after the end.

use actix_codec::{Decoder, Framed, FramedParts};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::HeaderValue;
use actix_http::{ResponseHead, StatusCode, Version, header};
use attribution::{Attributed, Content, Naming, Outcome, Sent};
use buffers::Share;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::head::{self, Reader};
use crate::{Connection, Error};

/// Size of the buffer for a body.
const BUFFER_BYTES: usize = 4 << 10;
/// Most that is read into the buffer at once. It leaves 1 KiB free: `actix-codec` grows a buffer that
/// has less free to 8 KiB.
const READ_BYTES: usize = 3 << 10;

/// Most bytes that frame chunks, extensions and trailers among them, without one of the body in between.
const MAX_FRAMING_BYTES: usize = 64 << 10;

/// The body of a response that is being received. Dropping it before its end closes the connection.
pub struct Body {
    framing: Framing,
    /// In memory of its own: an answer's state is copied into several futures, and many answers are open at once.
    origin: Box<Origin>,
    /// The request is one for the head alone.
    head_only: bool,
    /// The request was sent whole, so the connection may carry another one.
    flushed: bool,
}

/// What is known of a connection, as in [`Connection`], on which a response is due.
pub(crate) struct Origin {
    pub(crate) stated_start: Option<u64>,
    pub(crate) sent: Sent,
    /// What is left of the request.
    pub(crate) unsent: BytesMut,
    /// The response belongs to the message that was sent last.
    pub(crate) attributed: bool,
}

derives::named! {
    /// How the end of a body is marked.
    pub enum Delimiter {
        /// Nothing follows the head.
        Head = "head",
        /// A stated length, or the last of several chunks.
        Length = "length",
        /// The regular end of the connection.
        Connection = "connection",
    }
}

/// A body and how its end is marked.
enum Framing {
    /// Nothing follows the head.
    Empty(Framed<TcpStream, ClientCodec>),
    /// The head states its length, or it is chunked.
    Delimited(Payload),
    /// It lasts until the other side closes the connection regularly: the head states neither a length nor chunks. The
    /// codec of `actix-http` takes such an HTTP/1.1 response for one without a body, also where it states the transfer
    /// coding `identity`, and never lets such an HTTP/1.0 response end.
    UntilClose(TcpStream, BytesMut),
}

impl Body {
    pub(crate) fn new(
        head: &ResponseHead,
        framed: Framed<TcpStream, ClientCodec>,
        mut origin: Box<Origin>,
        (flushed, head_only): (bool, bool),
    ) -> Result<Self, Error> {
        let mut parts = framed.into_parts();
        origin.unsent = std::mem::take(&mut parts.write_buf);
        let framed = Framed::from_parts(parts);
        let is_old = head.version < Version::HTTP_11;
        if is_old && head.headers.contains_key(header::TRANSFER_ENCODING) {
            return Err(Error::ChunksUnknown);
        }
        let length = head.headers.get(header::CONTENT_LENGTH);
        let chunked = !is_old && framed.codec_ref().message_type() == MessageType::Payload;
        let framing = if head_only || is_bodiless(head) || length.is_some_and(is_zero) {
            Framing::Empty(without_payload(framed))
        } else if length.is_some() || chunked {
            Framing::Delimited(Payload::new(framed))
        } else {
            let FramedParts { io, read_buf, .. } = framed.into_parts();
            Framing::UntilClose(io, read_buf)
        };
        Ok(Body { framing, origin, head_only, flushed })
    }

    /// How the end of the body is marked.
    pub fn delimiter(&self) -> Delimiter {
        match self.framing {
            Framing::Empty(_) => Delimiter::Head,
            Framing::Delimited(_) => Delimiter::Length,
            Framing::UntilClose(..) => Delimiter::Connection,
        }
    }

    /// The next bytes of the body; none once it is complete. A body without a length is complete when
    /// its connection is closed, but not when it is reset, nor if the request wasn't sent whole before it began.
    ///
    /// # Errors
    /// When the body is cut short or malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        match &mut self.framing {
            Framing::Empty(_) => Ok(None),
            Framing::Delimited(payload) => payload.next().await,
            Framing::UntilClose(io, buf) => {
                if buf.is_empty() {
                    buf.reserve(BUFFER_BYTES);
                    if io.read_buf(&mut (&mut *buf).limit(READ_BYTES)).await? == 0 {
                        // A reset is shown once, and may have been shown to the write of the request.
                        return if self.flushed { Ok(None) } else { Err(Error::Unsent) };
                    }
                }
                Ok(Some(buf.split().freeze()))
            }
        }
    }

    /// Receives the next response on the same connection, and goes on to send the request; the body of this one must have
    /// ended. Used when this response belongs to an earlier request, whose answer was abandoned or sent twice.
    ///
    /// # Errors
    /// When no further response arrives, or its head takes more room than `share` may have.
    pub async fn next_response(self, share: &mut Share) -> Result<(ResponseHead, Body), Error> {
        let (io, codec, read) = match self.framing {
            Framing::Empty(framed) => {
                let FramedParts { io, codec, read_buf, .. } = framed.into_parts();
                (io, codec, read_buf)
            }
            Framing::Delimited(Payload { io, codec, buf }) => (io, codec.into_message_codec(), buf),
            Framing::UntilClose(..) => return Err(Error::Closed),
        };
        let mut origin = self.origin;
        let read = (read, std::mem::take(&mut origin.unsent));
        let mut reader = Reader::resume((io, codec), read, share);
        let (head, flushed) = head::receive(&mut reader, self.flushed).await?;
        let sent = (flushed, self.head_only);
        let body = Body::new(&head, reader.into_framed(), origin, sent)?;
        Ok((head, body))
    }

    /// Proof that the response belongs to the request that was sent last; none if it may be a copy of an earlier one. The
    /// response that is due may follow then ([`Body::next_response`]).
    pub fn attribute(&mut self, naming: Naming, content: Content) -> Option<Attributed> {
        let attributed = self.origin.sent.attribute(naming, content)?;
        // The request has its response, so the rest of it isn't sent.
        self.origin.unsent = BytesMut::new();
        self.origin.attributed = true;
        Some(attributed)
    }

    /// The connection, if both sides keep it open, the response was attributed, and copies of what the connection has carried
    /// can be distinguished from other responses; the body must have ended. A connection on which bytes arrived after the end isn't used again, since they belong to no
    /// request.
    pub fn into_connection(self, outcome: Outcome) -> Option<Connection> {
        let (keep_alive, rest, io) = match self.framing {
            Framing::Empty(framed) => {
                let keep_alive = framed.codec_ref().keep_alive();
                let FramedParts { io, read_buf, .. } = framed.into_parts();
                (keep_alive, read_buf, io)
            }
            Framing::Delimited(payload) => (payload.codec.keep_alive(), payload.buf, payload.io),
            Framing::UntilClose(..) => return None,
        };
        let reusable = keep_alive && self.flushed && rest.is_empty();
        let Origin { stated_start, sent, attributed, .. } = *self.origin;
        let history = sent.settle(outcome).filter(|_| reusable && attributed)?;
        Some(Connection { io, stated_start, history })
    }
}

/// Whether a response has no body by its status, whatever its headers say of one.
fn is_bodiless(head: &ResponseHead) -> bool {
    [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status)
}

/// Whether a stated length is 0. The codec of `actix-http` lets such an HTTP/1.0 response last until the connection ends.
fn is_zero(length: &HeaderValue) -> bool {
    length.to_str().is_ok_and(|text| text.trim().parse() == Ok(0_u64))
}

/// A connection whose codec doesn't wait for the body that the last head announced.
fn without_payload(framed: Framed<TcpStream, ClientCodec>) -> Framed<TcpStream, ClientCodec> {
    if framed.codec_ref().message_type() == MessageType::None {
        return framed;
    }
    framed.replace_codec(ClientCodec::default())
}

/// A body whose end is marked. Its buffer is small, since answers stay open for minutes.
struct Payload {
    io: TcpStream,
    codec: ClientPayloadCodec,
    buf: BytesMut,
}

impl Payload {
    fn new(framed: Framed<TcpStream, ClientCodec>) -> Self {
        let parts = framed.into_map_codec(ClientCodec::into_payload_codec).into_parts();
        let mut buf = BytesMut::with_capacity(BUFFER_BYTES.max(parts.read_buf.len()));
        buf.extend_from_slice(&parts.read_buf);
        Payload { io: parts.io, codec: parts.codec, buf }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let mut framing = 0;
        loop {
            if let Some(bytes) = self.codec.decode(&mut self.buf)? {
                return Ok(bytes);
            }
            // Reuses the memory of the buffer once the bytes before were passed on.
            self.buf.reserve(BUFFER_BYTES - self.buf.len().min(READ_BYTES));
            let count = self.io.read_buf(&mut (&mut self.buf).limit(READ_BYTES)).await?;
            framing += count;
            if count == 0 {
                return Err(Error::Closed);
            }
            if framing > MAX_FRAMING_BYTES {
                return Err(Error::Unframed);
            }
        }
    }
}
