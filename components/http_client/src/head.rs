//! Reads the heads of responses, within a share of the budget of buffers.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_codec::{Decoder, Framed, FramedParts};
use actix_http::ResponseHead;
use actix_http::error::ParseError;
use actix_http::h1::{ClientCodec, MessageType};
use buffers::Share;
use bytes::BytesMut;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::interim::Interim;
use crate::{Error, Outgoing};

/// Most that is read at once.
const READ_BYTES: usize = 3 << 10;
/// A buffer that grows has room for up to so many times what it holds.
const GROWTH: usize = 2;

/// Most headers of a response, as in the codec.
const MAX_HEADERS: usize = 96;

/// Checks that what has arrived of a head is HTTP. The codec of `actix-http` also accepts blanks between the name of a
/// header and its colon, and then passes that header on or goes by it.
fn check_strictly(buf: &[u8]) -> Result<(), ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    httparse::Response::new(&mut headers).parse(buf)?;
    Ok(())
}

/// A connection on which a response is due.
pub(crate) struct Reader<'a> {
    framed: Framed<TcpStream, ClientCodec>,
    buf: BytesMut,
    share: &'a mut Share,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(framed: Framed<TcpStream, ClientCodec>, share: &'a mut Share) -> Self {
        Reader { framed, buf: BytesMut::new(), share }
    }

    /// As [`Reader::new`], for a connection of which `buf` was read already, and on which `unsent` is still to be written.
    pub(crate) fn resume(
        (io, codec): (TcpStream, ClientCodec),
        (buf, unsent): (BytesMut, BytesMut),
        share: &'a mut Share,
    ) -> Self {
        let mut parts = FramedParts::new(io, codec);
        parts.write_buf = unsent;
        Reader { framed: Framed::from_parts(parts), buf, share }
    }

    /// Writes what is left of the request.
    fn poll_flush(&mut self, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.framed).flush::<Outgoing>(cx)
    }

    /// The next head; none if the connection ends before it.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<ResponseHead>, Error>> {
        loop {
            if !self.buf.is_empty() {
                check_strictly(&self.buf)?;
                if let Some(head) = self.framed.codec_mut().decode(&mut self.buf)? {
                    return Poll::Ready(Ok(Some(head)));
                }
            }
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(self.framed.io_mut()).poll_read(cx, &mut read))
                .map_err(ParseError::Io)?;
            if read.filled().is_empty() {
                let cut = !self.buf.is_empty();
                return Poll::Ready(if cut {
                    Err(ParseError::Incomplete.into())
                } else {
                    Ok(None)
                });
            }
            self.share.resize(GROWTH * (self.buf.len() + read.filled().len()))?;
            self.buf.extend_from_slice(read.filled());
        }
    }

    /// Makes the codec not wait for a body after the last head.
    fn skip_body(&mut self) {
        if self.framed.codec_ref().message_type() == MessageType::None {
            return;
        }
        *self.framed.codec_mut() = ClientCodec::default();
    }

    /// The connection, with what was read after the last head.
    pub(crate) fn into_framed(self) -> Framed<TcpStream, ClientCodec> {
        let FramedParts { io, codec, write_buf, .. } = self.framed.into_parts();
        let mut parts = FramedParts::with_read_buf(io, codec, self.buf);
        parts.write_buf = write_buf;
        Framed::from_parts(parts)
    }
}

/// Receives the head of a response, while what is left of the request is written; `flushed` is whether nothing is. Interim
/// responses are skipped. Returns also whether the request has been sent whole.
pub(crate) async fn receive(
    reader: &mut Reader<'_>,
    mut flushed: bool,
) -> Result<(ResponseHead, bool), Error> {
    let mut send_error = None;
    let mut interim = Interim::default();
    loop {
        let head = poll_fn(|cx| {
            if !flushed && send_error.is_none() {
                match reader.poll_flush(cx) {
                    Poll::Ready(Ok(())) => flushed = true,
                    // The other side may have responded before it stopped reading.
                    Poll::Ready(Err(cause)) => send_error = Some(cause),
                    Poll::Pending => {}
                }
            }
            reader.poll_head(cx)
        });
        let head = match head.await {
            Ok(Some(head)) => head,
            Err(cause) => return Err(send_error.map_or(cause, Error::Send)),
            Ok(None) => return Err(send_error.map_or(Error::Closed, Error::Send)),
        };
        if !interim.is_next(&head)? {
            return Ok((head, flushed));
        }
        reader.skip_body();
    }
}
