//! Takes connections in and carries each in a task of its own.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{ConnectionType, HttpService, Request, Response, Version};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::body::Tracked;
use crate::conn::{Active, Conn};
use crate::io::Io;
use crate::{Limits, State, error};

/// Accepting again at once after an error such as too many open files would spin.
const AFTER_ERROR: Duration = Duration::from_millis(50);
/// Time to go on reading from a caller that was answered before it had sent all. Closing at once
/// resets the connection, and the caller may never see the answer.
const LINGER: Duration = Duration::from_secs(1);
/// Time that a connection is served on before it is closed as idle: a request that has arrived and
/// wasn't read yet would be lost with it.
const SETTLE: Duration = Duration::from_millis(5);
/// Connections above the limit that are told so at once; further ones are closed without a word.
const TOLD: usize = 64;

/// Counts connections for as long as its clones live.
#[derive(Clone, Default)]
struct Count(Rc<()>);

impl Count {
    fn others(&self) -> usize {
        Rc::strong_count(&self.0) - 1
    }
}

pub(crate) async fn run<H, F>(
    socket: TcpListener,
    mut limits: watch::Receiver<Limits>,
    handler: H,
    mut state: watch::Receiver<State>,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let (open, told) = (Count::default(), Count::default());
    loop {
        let now = *limits.borrow_and_update();
        let Ok(service) = build(now, handler.clone(), state.clone()).await else { return };
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                Ok(()) = limits.changed() => break,
                _ = state.wait_for(|state| *state >= State::Closing) => return,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(cause) => {
                    log::warn!(cause:% = cause; "can't accept a connection");
                    tokio::time::sleep(AFTER_ERROR).await;
                    continue;
                }
            };
            if open.others() < now.connections {
                let _ = stream.set_nodelay(true);
                let conn = Rc::new(Conn::default());
                let io = Io::new(stream, conn.clone(), now);
                let serving = Box::pin(service.call((io, Some(peer))));
                actix_rt::spawn(carry(serving, conn, state.clone(), open.clone()));
            } else if told.others() < TOLD {
                log::warn!(connections = now.connections; "no room for a connection");
                actix_rt::spawn(refuse(stream, told.clone()));
            }
        }
    }
}

async fn build<H, F>(
    limits: Limits,
    handler: H,
    state: watch::Receiver<State>,
) -> io::Result<impl Service<(Io, Option<SocketAddr>)> + 'static>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .client_request_timeout(limits.head_time)
        .client_disconnect_timeout(LINGER)
        .keep_alive(limits.keep_alive)
        .h1_allow_half_closed(false)
        .on_connect_ext(|io: &Io, data: &mut actix_http::Extensions| {
            data.insert(io.conn.clone());
        })
        .h1(move |request: Request| {
            let old = request.version() < Version::HTTP_11;
            let active = request.conn_data::<Rc<Conn>>().cloned().map(Active::new);
            // Boxed, so that its memory is free again while the body is passed on, for minutes.
            let answer = Box::pin(handler(request));
            let state = state.clone();
            async move {
                let mut response = answer.await;
                if old && response.body().size() == BodySize::Stream {
                    // Clients of HTTP/1.0 know no chunks; the end of the connection ends a stream.
                    response.head_mut().no_chunking(true);
                    response.head_mut().set_connection_type(ConnectionType::Close);
                }
                if *state.borrow() != State::Open {
                    response.head_mut().set_connection_type(ConnectionType::Close);
                }
                let tracked = |body| BoxBody::new(Tracked { body, active });
                Ok::<_, Infallible>(response.map_body(|_, body| tracked(body)))
            }
        });
    factory.new_service(()).await.map_err(|_| io::Error::other("no service"))
}

/// Carries one connection to its end.
async fn carry(
    mut serving: Pin<Box<impl Future>>,
    conn: Rc<Conn>,
    mut state: watch::Receiver<State>,
    _count: Count,
) {
    loop {
        tokio::select! {
            _ = &mut serving => return,
            _ = conn.changed.notified() => {
                if conn.is_gone() {
                    return;
                }
            }
            changed = state.changed() => {
                let now = *state.borrow_and_update();
                if changed.is_err() || now == State::Cut {
                    return;
                }
                if now == State::Closing {
                    let settled = tokio::time::timeout(SETTLE, &mut serving).await;
                    if settled.is_ok() {
                        return;
                    }
                    conn.close();
                }
            }
        }
    }
}

/// Tells a caller that there is no room, before any request of it was read.
async fn refuse(mut stream: TcpStream, _count: Count) {
    let Some(answer) = error::answer("503") else { return };
    let told = async {
        stream.write_all(&answer).await?;
        stream.shutdown().await?;
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = tokio::time::timeout(LINGER, told).await;
}
