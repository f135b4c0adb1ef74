//! Tests that a listener closes new connections unread while its processor is busy.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use listen::{Limits, Listener};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Callers that connect together, and how often they do.
const WAVE: usize = 10;
const WAVES: usize = 40;
const PAUSE: Duration = Duration::from_millis(5);
/// Processor time of one request: many times what there is for each.
const WORK: Duration = Duration::from_millis(5);

/// Sends a request on a connection of its own; returns whether an answer came.
async fn call(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let request = b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let mut answer = vec![];
    let _ = stream.write_all(request).await;
    let _ = stream.read_to_end(&mut answer).await;
    answer.starts_with(b"HTTP/1.1 200")
}

/// Numbers of requests that were sent, read and answered.
async fn overload(max_task_delay: Option<Duration>) -> (usize, usize, usize) {
    let read = Rc::new(Cell::new(0));
    let counter = read.clone();
    let handler = move |_: Request| {
        counter.set(counter.get() + 1);
        async {
            std::thread::sleep(WORK);
            Response::new(StatusCode::OK)
        }
    };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let limits = Limits { max_task_delay, ..Limits::default() };
    let listener = Listener::open(any, limits, handler).await.unwrap();
    let mut calls = vec![];
    for _ in 0..WAVES {
        calls.extend((0..WAVE).map(|_| actix_rt::spawn(call(listener.address()))));
        tokio::time::sleep(PAUSE).await;
    }
    let answered = futures_util::future::join_all(calls).await;
    let answered = answered.into_iter().filter(|answered| *answered.as_ref().unwrap()).count();
    (WAVES * WAVE, read.get(), answered)
}

/// Guards against reading requests that wait for the processor until they are late, while other nodes are idle; and
/// against leaving a request that was read without an answer.
#[actix_rt::test]
async fn a_busy_listener_closes_connections_unread() {
    let (sent, read, answered) = overload(Some(Duration::from_millis(20))).await;
    assert!(read < sent, "all {sent} were read");
    assert_eq!(read, answered);
}

/// Guards against closing connections where callers can't turn to another node.
#[actix_rt::test]
async fn a_busy_listener_without_a_limit_reads_all() {
    let (sent, read, answered) = overload(None).await;
    assert_eq!((read, answered), (sent, sent));
}
