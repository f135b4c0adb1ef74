//! Accepts connections and drives each in a task of its own.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{ConnectionType, HttpService, Request, Response, Version};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::congestion::Congestion;
use crate::connection::{ActiveRequest, Connection};
use crate::io::Io;
use crate::response::TrackedBody;
use crate::{Limits, State, error};
use buffers::Budget;

/// Pause after a failed accept. Errors such as too many open files persist, so that accepting again
/// at once would be a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to go on reading from a caller that was answered before it had sent its whole request.
/// Closing at once resets the connection, and the caller may never see the response.
const LINGER: Duration = Duration::from_secs(1);
/// Time that a connection is still served before it is closed as idle. Without it a request that has
/// arrived but wasn't read yet would be lost.
const CLOSE_DELAY: Duration = Duration::from_millis(5);
/// Bytes of a response that a connection holds, in addition to those in the kernel, before it asks for more. Callers that read
/// nothing make all connections hold so many.
const WRITE_BUFFER_BYTES: usize = 8 << 10;
/// Time for which a task sleeps whose delay is measured.
const MEASUREMENT_SLEEP: Duration = Duration::from_millis(1);
/// Connections that were closed unread between two lines of the log about them.
const LOGGED_CLOSED: u64 = 100;
/// Connections above the limit that may be in the course of getting an error response at one time;
/// further ones are closed without a response.
const MAX_REFUSALS: usize = 64;

/// A count of connections; each clone adds one for as long as it lives.
#[derive(Clone, Default)]
struct Counter(Rc<()>);

/// What is known of the processor, and how many connections were closed because of it.
#[derive(Default)]
struct Processor {
    congestion: RefCell<Congestion>,
    closed: Cell<u64>,
}

impl Processor {
    /// Whether a new connection is closed unread. Else, this measures how long tasks wait for their turn.
    fn closes_next(self: &Rc<Self>, max_delay: Duration) -> bool {
        let now = Instant::now();
        let mut congestion = self.congestion.borrow_mut();
        if congestion.closes_next(max_delay, now) {
            let closed = self.closed.replace(self.closed.get() + 1);
            if closed.is_multiple_of(LOGGED_CLOSED) {
                log::warn!(closed = closed + 1; "the processor is busy; closing connections unread");
            }
            return true;
        }
        if congestion.begin_measurement(now) {
            let processor = self.clone();
            actix_rt::spawn(async move {
                // A timer fires only after the tasks that are ready now and the events that wait.
                tokio::time::sleep(MEASUREMENT_SLEEP).await;
                let late = Instant::now().checked_sub(MEASUREMENT_SLEEP);
                processor.congestion.borrow_mut().end_measurement(max_delay, late.unwrap_or(now));
            });
        }
        false
    }
}

impl Counter {
    fn clones(&self) -> usize {
        Rc::strong_count(&self.0) - 1
    }
}

pub(crate) async fn run<H, F>(
    socket: TcpListener,
    buffers: Rc<Budget>,
    mut limits: watch::Receiver<Limits>,
    handler: H,
    mut state: watch::Receiver<State>,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let (open, refusals) = (Counter::default(), Counter::default());
    let processor = Rc::new(Processor::default());
    loop {
        let current = *limits.borrow_and_update();
        let Ok(service) = build_service(current, handler.clone(), state.clone()).await else {
            return;
        };
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                Ok(()) = limits.changed() => break,
                _ = state.wait_for(|state| *state >= State::Closing) => return,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(cause) => {
                    log::warn!(cause:% = cause; "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if current.max_task_delay.is_some_and(|delay| processor.closes_next(delay)) {
                continue;
            }
            if open.clones() < current.max_connections {
                let _ = stream.set_nodelay(true);
                let connection = Rc::new(Connection::default());
                let io = Io::new(stream, connection.clone(), current, buffers.share());
                let serving = Box::pin(service.call((io, Some(peer))));
                actix_rt::spawn(drive(serving, connection, state.clone(), open.clone()));
            } else if refusals.clones() < MAX_REFUSALS {
                log::warn!(connections = current.max_connections; "connection limit reached; refusing a connection");
                actix_rt::spawn(refuse(stream, refusals.clone()));
            }
        }
    }
}

async fn build_service<H, F>(
    limits: Limits,
    handler: H,
    state: watch::Receiver<State>,
) -> io::Result<impl Service<(Io, Option<SocketAddr>)> + 'static>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(LINGER)
        .keep_alive(limits.keep_alive)
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .on_connect_ext(|io: &Io, data: &mut actix_http::Extensions| {
            data.insert(io.connection.clone());
        })
        .h1(move |request: Request| {
            let http_10 = request.version() < Version::HTTP_11;
            let active = request.conn_data::<Rc<Connection>>().cloned().map(ActiveRequest::new);
            // Boxed, so that the future's memory is freed before the body is sent, which may take minutes.
            let response = Box::pin(handler(request));
            let state = state.clone();
            async move {
                let mut response = response.await;
                if http_10 && response.body().size() == BodySize::Stream {
                    // HTTP/1.0 has no chunked encoding; the end of the connection ends the stream.
                    response.head_mut().no_chunking(true);
                    response.head_mut().set_connection_type(ConnectionType::Close);
                    if let Some(active) = &active {
                        active.connection().begin_undelimited();
                    }
                }
                if *state.borrow() != State::Open {
                    response.head_mut().set_connection_type(ConnectionType::Close);
                }
                let tracked = |body| BoxBody::new(TrackedBody { body, active });
                Ok::<_, Infallible>(response.map_body(|_, body| tracked(body)))
            }
        });
    factory.new_service(()).await.map_err(|_| io::Error::other("can't build the HTTP service"))
}

/// Drives one connection to its end.
async fn drive(
    mut serving: Pin<Box<impl Future>>,
    connection: Rc<Connection>,
    mut state: watch::Receiver<State>,
    _counter: Counter,
) {
    loop {
        tokio::select! {
            _ = &mut serving => return,
            _ = connection.changed.notified() => {
                if connection.is_peer_gone() {
                    return;
                }
            }
            changed = state.changed() => {
                let current = *state.borrow_and_update();
                if changed.is_err() || current == State::Aborted {
                    return;
                }
                if current == State::Closing {
                    let ended = tokio::time::timeout(CLOSE_DELAY, &mut serving).await;
                    if ended.is_ok() {
                        return;
                    }
                    connection.close();
                }
            }
        }
    }
}

/// Sends an error response to a caller above the limit of connections, before reading any request.
async fn refuse(mut stream: TcpStream, _counter: Counter) {
    let Some(response) = error::error_response("503") else { return };
    let sent = async {
        stream.write_all(&response).await?;
        stream.shutdown().await?;
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = tokio::time::timeout(LINGER, sent).await;
}
