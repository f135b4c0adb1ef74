//! Sends HTTP/1.1 requests to backend servers over pooled connections, with the codec of `actix-http`.
//!
//! Calls don't use the client of that library, `awc`, since it reports too little about failures: it
//! reports a connection that ends after the request was sent like one that was never made, and a chunked
//! body that is cut between two chunks like a complete one. The first would let a request that ran be
//! reported as "not run", the second would pass a part of an answer on as the whole. Here, connecting,
//! sending and the end of the body are separate steps.

mod body;
mod head;
mod interim;
mod pool;

use std::io;
use std::pin::Pin;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{self, ClientCodec};
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead};
use attribution::{History, Message};
use buffers::{Exceeded, Share};
use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;

use body::Origin;
pub use body::{Body, Delimiter};
use head::Reader;
pub use pool::{Pool, PoolLimits};

/// Messages that the codec encodes.
type Outgoing = h1::Message<(RequestHeadType, BodySize)>;

/// Time after which a connection is closed if the other side doesn't acknowledge sent bytes. Otherwise, a
/// connection whose network path fails silently would hang until its caller gives up. A lost packet is
/// retransmitted several times within this time.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a request got no response or an incomplete body.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request couldn't be sent whole, or the connection failed while its body was read.
    #[error("sending failed: {0}")]
    Send(#[from] io::Error),
    /// The head of the response is malformed.
    #[error("the response can't be read: {0}")]
    Response(#[from] ParseError),
    /// The body of the response is malformed.
    #[error("the body can't be read: {0}")]
    Body(#[from] PayloadError),
    /// Only interim responses come, or one that switches to another protocol, which no request asks for.
    #[error("an interim response with status {0}, and no answer")]
    Interim(u16),
    /// The response is in HTTP/1.0, which has no transfer codings, and states one.
    #[error("an HTTP/1.0 response states a transfer coding")]
    ChunksUnknown,
    /// The head takes more room than is left.
    #[error("{0}")]
    Full(#[from] Exceeded),
    /// The bytes that frame the body don't end.
    #[error("no byte of the body comes, only its framing")]
    Unframed,
    /// Only the end of the connection marks the end of the body, and the request wasn't sent whole before.
    #[error("the connection ended before the request was sent whole")]
    Unsent,
    /// Only responses to earlier messages come.
    #[error("the responses belong to earlier messages")]
    Unrelated,
    /// The other side closed the connection before the end of the response.
    #[error("the connection ended early")]
    Closed,
}

/// A connection to a server that carries no request at the moment.
#[derive(Debug)]
pub struct Connection {
    io: TcpStream,
    /// When the process at its other side started, by what it stated on this connection.
    stated_start: Option<u64>,
    history: History,
}

impl Connection {
    /// Connects to `address` (IP address and port) within `timeout`. Sends no bytes of a request.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let timeout = std::time::Duration::from_secs(1);
    /// assert!(http_client::Connection::connect("nobody", timeout).await.is_err());
    /// # });
    /// ```
    ///
    /// # Errors
    /// When the connection fails or takes longer.
    pub async fn connect(address: &str, timeout: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let timeout_ms = ACK_TIMEOUT.as_millis() as u32;
        rustix::net::sockopt::set_tcp_user_timeout(&stream, timeout_ms)?;
        Ok(Connection { io: stream, stated_start: None, history: History::default() })
    }

    /// What [`Connection::record_start`] was last called with.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = listener.local_addr().unwrap().to_string();
    /// let timeout = std::time::Duration::from_secs(1);
    /// let mut connection = http_client::Connection::connect(&address, timeout).await.unwrap();
    /// assert_eq!(connection.stated_start(), None);
    /// connection.record_start(7);
    /// assert_eq!(connection.stated_start(), Some(7));
    /// # });
    /// ```
    pub fn stated_start(&self) -> Option<u64> {
        self.stated_start
    }

    /// Records when the process at its other side started, by what it stated on this connection. That holds for as long as
    /// the connection lasts.
    pub fn record_start(&mut self, start: u64) {
        self.stated_start = Some(start);
    }

    /// What it has carried.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = listener.local_addr().unwrap().to_string();
    /// let timeout = std::time::Duration::from_secs(1);
    /// let connection = http_client::Connection::connect(&address, timeout).await.unwrap();
    /// assert_eq!(connection.history().carried(), 0);
    /// # });
    /// ```
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Its local port, which identifies it in logs; none if it isn't known.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = listener.local_addr().unwrap().to_string();
    /// let timeout = std::time::Duration::from_secs(1);
    /// let connection = http_client::Connection::connect(&address, timeout).await.unwrap();
    /// assert!(connection.local_port().is_some());
    /// # });
    /// ```
    pub fn local_port(&self) -> Option<u16> {
        self.io.local_addr().ok().map(|address| address.port())
    }

    /// Whether the connection is open and nothing arrived since the last response.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let address = listener.local_addr().unwrap().to_string();
    /// let timeout = std::time::Duration::from_secs(1);
    /// let connection = http_client::Connection::connect(&address, timeout).await.unwrap();
    /// assert!(connection.is_idle());
    /// # });
    /// ```
    pub fn is_idle(&self) -> bool {
        let read = self.io.try_read(&mut [0]);
        read.is_err_and(|cause| cause.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request, which is `message`, and receives the head of a response. Whether that belongs to the request is shown
    /// by [`Body::attribute`]. If the response arrives before the whole
    /// request was sent, the rest isn't sent, unless [`Body::next_response`] is called. Such a connection isn't used again, since the other side
    /// still expects the rest. The head is buffered within `share`, which must be kept as long as the head.
    ///
    /// # Errors
    /// When no valid head arrives, or it takes more room than its share may have. The request may have been received and run nevertheless.
    pub async fn exchange(
        self,
        message: Message,
        head: RequestHead,
        body: Bytes,
        share: &mut Share,
    ) -> Result<(ResponseHead, Body), Error> {
        let head_only = head.method == Method::HEAD;
        let (stated_start, sent) = (self.stated_start, self.history.send(message));
        let origin =
            Box::new(Origin { stated_start, sent, unsent: BytesMut::new(), attributed: false });
        let mut framed = Framed::new(self.io, ClientCodec::default());
        let no_body = body.is_empty() && [Method::GET, Method::HEAD].contains(&head.method);
        let length = if no_body { BodySize::None } else { BodySize::Sized(body.len() as u64) };
        let item: Outgoing = h1::Message::Item((RequestHeadType::from(head), length));
        Pin::new(&mut framed).write(item)?;
        if !body.is_empty() {
            let chunk: Outgoing = h1::Message::Chunk(Some(body));
            Pin::new(&mut framed).write(chunk)?;
        }
        let mut reader = Reader::new(framed, share);
        let (head, flushed) = head::receive(&mut reader, false).await?;
        let framed = reader.into_framed();
        let body = Body::new(&head, framed, origin, (flushed, head_only))?;
        Ok((head, body))
    }
}

/// The connection type for the head of a request: `close` if the connection won't be used again.
pub fn connection_type(close: bool) -> ConnectionType {
    if close { ConnectionType::Close } else { ConnectionType::KeepAlive }
}
