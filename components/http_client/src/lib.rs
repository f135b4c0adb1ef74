//! One HTTP/1.1 connection to a backend server, over the library's codec.
//!
//! The library's own client isn't used for calls, since it tells too little of how they fail: a
//! connection that ends after the request was sent is reported like one that was never made, and
//! a chunked body that is cut between two chunks like one that ended. The first would let us say
//! "not run" of what ran, the second pass on a part as the whole. Here connecting, sending and the
//! end of the body are steps of their own.

mod body;
mod pool;

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, Message};
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead};
use bytes::Bytes;
use tokio::net::TcpStream;

pub use body::Body;
pub use pool::{Pool, PoolLimits};

/// What the codec takes for encoding.
type Outgoing = Message<(RequestHeadType, BodySize)>;

/// Bytes sent that the other side doesn't acknowledge for this long end the connection. A
/// connection whose way was cut silently would otherwise hang until its caller gives up; a lost
/// packet is sent again several times within it.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Why a connection gave no response or no whole body.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request didn't go out whole.
    #[error("sending failed: {0}")]
    Send(#[from] io::Error),
    /// The head isn't HTTP.
    #[error("the response can't be read: {0}")]
    Response(#[from] ParseError),
    /// The body isn't well formed.
    #[error("the body can't be read: {0}")]
    Body(#[from] PayloadError),
    /// The other side ended the connection.
    #[error("the connection ended early")]
    Closed,
}

/// A connection that carries no request now.
#[derive(Debug)]
pub struct Connection(TcpStream);

impl Connection {
    /// Connects to `address` (IP and port) within a time. Until this returns nothing was sent.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let within = std::time::Duration::from_secs(1);
    /// assert!(http_client::Connection::connect("nobody", within).await.is_err());
    /// # });
    /// ```
    ///
    /// # Errors
    /// When no connection was made.
    pub async fn connect(address: &str, within: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let limit = UNACKNOWLEDGED.as_millis() as u32;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, limit)?;
        Ok(Connection(stream))
    }

    /// Whether nothing came since the last response: an end, an error or stray bytes would.
    fn is_idle(&self) -> bool {
        let read = self.0.try_read(&mut [0]);
        read.is_err_and(|cause| cause.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its response. A response that comes before all of the
    /// request was taken is read all the same; what is left of the request isn't sent then, and the
    /// connection carries nothing after it, since the other side still waits for that rest.
    ///
    /// # Errors
    /// Whatever the error, the request may have been received and run.
    pub async fn exchange(
        self,
        head: RequestHead,
        body: Bytes,
    ) -> Result<(ResponseHead, Body), Error> {
        let mut framed = Framed::new(self.0, ClientCodec::default());
        let bare = body.is_empty() && [Method::GET, Method::HEAD].contains(&head.method);
        let length = if bare { BodySize::None } else { BodySize::Sized(body.len() as u64) };
        let item: Outgoing = Message::Item((RequestHeadType::from(head), length));
        Pin::new(&mut framed).write(item)?;
        if !body.is_empty() {
            let chunk: Outgoing = Message::Chunk(Some(body));
            Pin::new(&mut framed).write(chunk)?;
        }
        let (mut flushed, mut failed) = (false, None);
        let head = poll_fn(|cx| {
            let mut framed = Pin::new(&mut framed);
            if !flushed && failed.is_none() {
                match framed.as_mut().flush::<Outgoing>(cx) {
                    std::task::Poll::Ready(Ok(())) => flushed = true,
                    // The other side may have answered before it stopped reading.
                    std::task::Poll::Ready(Err(cause)) => failed = Some(cause),
                    std::task::Poll::Pending => {}
                }
            }
            framed.next_item(cx)
        });
        let head = match head.await {
            Some(Ok(head)) => head,
            Some(Err(cause)) => return Err(failed.map_or(cause.into(), Error::Send)),
            None => return Err(failed.map_or(Error::Closed, Error::Send)),
        };
        let body = Body::new(&head, framed, flushed);
        Ok((head, body))
    }
}

/// The type of connection that a request asks for.
pub fn connection_type(close: bool) -> ConnectionType {
    if close { ConnectionType::Close } else { ConnectionType::KeepAlive }
}
