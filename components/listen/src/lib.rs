//! Listens for HTTP/1 requests, with limits on what a connection may hold and for how long.
//!
//! If a caller disconnects while its request is served, the connection ends at once and the handler's
//! future is dropped. A caller that closes only its sending half looks the same on the wire and is
//! treated as disconnected.

mod accept;
mod congestion;
mod connection;
mod error;
mod io;
mod request;
mod response;

use std::any::Any;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Request, Response};
use actix_rt::net::TcpListener;
use buffers::Budget;
use tokio::net::TcpSocket;
use tokio::sync::watch;

use crate::connection::Connection;
pub use crate::request::{BodyError, content_length, head_size, read_body};

/// Connections that the kernel queues until the process accepts them.
const BACKLOG: u32 = 1_024;
/// Budget for the heads of requests at a listener that isn't given one.
const HEAD_BYTES: usize = 16 << 20;
/// Send buffer of a connection in the kernel. It allows 64 KiB in flight in each round trip; without
/// a limit the kernel buffers megabytes for a slow reader.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

derives::value! {
    enum State {
        Open,
        Draining,
        Closing,
        Aborted,
    }

    /// Limits on connections.
    pub struct Limits {
        /// Connections open at the same time; further ones are refused with status 503.
        pub max_connections: usize,
        /// Time for a caller to send a request's head.
        pub head_timeout: Duration,
        /// Time that a connection may stay idle between two requests.
        pub keep_alive: Duration,
        /// Time in which a caller that reads slowly must read some of the response.
        pub write_timeout: Duration,
        /// Time that a task may wait for its turn. While it is longer, some new connections are closed unread, whose
        /// callers are expected to turn to another node; none if that never happens.
        pub max_task_delay: Option<Duration>,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_connections: 1_000,
            head_timeout: Duration::from_secs(5),
            // Above the 60 s that load balancers usually have, so that the balancer closes first
            // and never sends a request into a closing connection.
            keep_alive: Duration::from_secs(75),
            write_timeout: Duration::from_secs(60),
            max_task_delay: None,
        }
    }
}

/// An address that couldn't be bound.
#[derive(Debug, thiserror::Error)]
#[error(
    "can't listen for {name} at {address}; free the port or set another in the node's settings"
)]
pub struct BindError {
    name: &'static str,
    address: SocketAddr,
    #[source]
    cause: std::io::Error,
}

/// An open listener. Dropping it aborts all its connections.
pub struct Listener {
    address: SocketAddr,
    state: watch::Sender<State>,
}

impl Listener {
    /// Opens a listener at `address` that passes each request to `handler`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn open<H, F>(
        address: SocketAddr,
        limits: Limits,
        handler: H,
    ) -> std::io::Result<Self>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        Self::open_with_live_limits(address, watch::channel(limits).1, handler).await
    }

    /// As [`Listener::open`], with limits that may change; changed ones apply to new connections.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn open_with_live_limits<H, F>(
        address: SocketAddr,
        limits: watch::Receiver<Limits>,
        handler: H,
    ) -> std::io::Result<Self>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        Self::open_within(&Budget::new(HEAD_BYTES), address, limits, handler).await
    }

    /// As [`Listener::open_with_live_limits`]; the heads of requests are buffered within a budget.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn open_within<H, F>(
        buffers: &Rc<Budget>,
        address: SocketAddr,
        limits: watch::Receiver<Limits>,
        handler: H,
    ) -> std::io::Result<Self>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        let socket = bind(address)?;
        let address = socket.local_addr()?;
        let (state, watch) = watch::channel(State::Open);
        actix_rt::spawn(accept::run(socket, buffers.clone(), limits, handler, watch));
        Ok(Listener { address, state })
    }

    /// As [`Listener::open_with_live_limits`], with an error that contains the `name` of those whom
    /// the listener serves, such as "callers".
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn open_named<H, F>(
        name: &'static str,
        address: SocketAddr,
        limits: watch::Receiver<Limits>,
        handler: H,
    ) -> Result<Self, BindError>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        let listener = Listener::open_with_live_limits(address, limits, handler).await;
        listener.map_err(|cause| BindError { name, address, cause })
    }

    /// As [`Listener::open_within`], with an error that contains the `name` of those whom the listener serves.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn open_named_within<H, F>(
        name: &'static str,
        buffers: &Rc<Budget>,
        address: SocketAddr,
        limits: watch::Receiver<Limits>,
        handler: H,
    ) -> Result<Self, BindError>
    where
        H: Fn(Request) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        let listener = Listener::open_within(buffers, address, limits, handler).await;
        listener.map_err(|cause| BindError { name, address, cause })
    }

    /// The address that it listens at, with the port that the system chose if 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on accepting and serving, but closes each connection after its next response, so that
    /// callers move to another node while this one still listens.
    pub fn drain(&self) {
        self.advance(State::Draining);
    }

    /// Accepts no new connections, closes idle ones and waits until the requests in progress have
    /// been answered.
    pub async fn close(&self) {
        self.advance(State::Closing);
        self.state.closed().await;
    }

    /// Closes every connection at once, also in the middle of a response.
    pub fn abort(&self) {
        self.advance(State::Aborted);
    }

    /// Moves on to a later state; never back.
    fn advance(&self, to: State) {
        self.state.send_if_modified(|state| {
            let later = *state < to;
            *state = (*state).max(to);
            later
        });
    }
}

/// Tells the listener that the whole body of a request was read. What arrives on the connection
/// afterwards belongs to the next request and counts against the limit of bytes read ahead.
pub fn mark_body_received(request: &Request) {
    if let Some(connection) = request.conn_data::<Rc<Connection>>() {
        connection.mark_body_received();
    }
}

/// Keeps `guard` until the connection of a request has ended, with all responses on it written or lost. It replaces the guard of
/// an earlier request on that connection.
///
/// ```
/// let request = actix_http::Request::new();
/// listen::keep_until_closed(&request, "held by no connection");
/// ```
pub fn keep_until_closed(request: &Request, guard: impl Any) {
    if let Some(connection) = request.conn_data::<Rc<Connection>>() {
        connection.keep(Box::new(guard));
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the buffer size.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
