//! The body of a response under way.

use actix_codec::{Decoder, Framed, FramedParts};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::{ResponseHead, StatusCode, Version, header};
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::{Connection, Error};

/// Memory for reading a body. The library takes 8 KiB where less than 1 KiB is free, so what is read
/// at once leaves that much over.
const BUFFER: usize = 4 << 10;
const READ: usize = 3 << 10;

/// The body of a response under way. Dropping it before its end closes the connection.
pub struct Body {
    form: Form,
    /// The request went out whole, so the connection may carry another one.
    flushed: bool,
}

enum Form {
    /// Nothing follows the head.
    Empty(Framed<TcpStream, ClientCodec>),
    /// The head says how long it is, or it comes in chunks.
    Sized(Payload),
    /// It lasts until the other side ends the connection in order. The library takes such a
    /// response of HTTP/1.1 for one without a body.
    Unsized(TcpStream, BytesMut),
}

impl Body {
    pub(crate) fn new(
        head: &ResponseHead,
        framed: Framed<TcpStream, ClientCodec>,
        flushed: bool,
    ) -> Self {
        let form = match framed.codec_ref().message_type() {
            MessageType::None if unmarked(head) => {
                let FramedParts { io, read_buf, .. } = framed.into_parts();
                Form::Unsized(io, read_buf)
            }
            MessageType::None => Form::Empty(framed),
            _ => Form::Sized(Payload::new(framed)),
        };
        Body { form, flushed }
    }

    /// The next bytes; none only where the sender marked the end of the body. A body without a
    /// length ends with its connection, unless that is reset.
    ///
    /// # Errors
    /// When the body ends before its end, or isn't well formed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        match &mut self.form {
            Form::Empty(_) => Ok(None),
            Form::Sized(payload) => payload.next().await,
            Form::Unsized(io, buf) => {
                if buf.is_empty() {
                    buf.reserve(BUFFER);
                    if io.read_buf(&mut (&mut *buf).limit(READ)).await? == 0 {
                        return Ok(None);
                    }
                }
                Ok(Some(buf.split().freeze()))
            }
        }
    }

    /// The response that comes after this one on the same connection, which must have ended. Asked
    /// for where this one answered an older request, whose answer was given up or sent twice.
    ///
    /// # Errors
    /// When no further response comes.
    pub async fn next_response(self) -> Result<(ResponseHead, Body), Error> {
        let mut framed = match self.form {
            Form::Empty(framed) => framed,
            Form::Sized(Payload { io, codec, buf }) => {
                let parts = FramedParts::with_read_buf(io, codec.into_message_codec(), buf);
                Framed::from_parts(parts)
            }
            Form::Unsized(..) => return Err(Error::Closed),
        };
        let head = framed.next().await.ok_or(Error::Closed)??;
        let body = Body::new(&head, framed, self.flushed);
        Ok((head, body))
    }

    /// The connection, once the body has ended and if both sides keep it. Bytes that came after the
    /// end belong to no request, so the connection isn't used again.
    pub(crate) fn link(self) -> Option<Connection> {
        let (kept, rest, io) = match self.form {
            Form::Empty(framed) => {
                let kept = framed.codec_ref().keep_alive();
                let FramedParts { io, read_buf, .. } = framed.into_parts();
                (kept, read_buf, io)
            }
            Form::Sized(payload) => (payload.codec.keep_alive(), payload.buf, payload.io),
            Form::Unsized(..) => return None,
        };
        (kept && self.flushed && rest.is_empty()).then_some(Connection(io))
    }
}

/// Whether a response has a body whose end nothing marks but the end of the connection.
fn unmarked(head: &ResponseHead) -> bool {
    let bodiless = head.status.is_informational()
        || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    let marked = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let marked = marked.iter().any(|name| head.headers.contains_key(name));
    head.version >= Version::HTTP_10 && !bodiless && !marked
}

/// Bytes of a body and their source, with little memory of its own: it is open for minutes.
struct Payload {
    io: TcpStream,
    codec: ClientPayloadCodec,
    buf: BytesMut,
}

impl Payload {
    fn new(framed: Framed<TcpStream, ClientCodec>) -> Self {
        let parts = framed.into_map_codec(ClientCodec::into_payload_codec).into_parts();
        let mut buf = BytesMut::with_capacity(BUFFER.max(parts.read_buf.len()));
        buf.extend_from_slice(&parts.read_buf);
        Payload { io: parts.io, codec: parts.codec, buf }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            if let Some(bytes) = self.codec.decode(&mut self.buf)? {
                return Ok(bytes);
            }
            // Uses the same memory again once what was in it has been passed on.
            self.buf.reserve(BUFFER - self.buf.len().min(READ));
            if self.io.read_buf(&mut (&mut self.buf).limit(READ)).await? == 0 {
                return Err(Error::Closed);
            }
        }
    }
}
