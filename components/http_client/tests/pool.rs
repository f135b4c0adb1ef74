//! Tests that pooled connections are closed once they expire.

use std::time::Duration;

use actix_http::{ConnectionType, RequestHead};
use attribution::{Content, Message, Naming, Outcome};
use buffers::Budget;
use bytes::Bytes;
use http_client::{Connection, Pool, PoolLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const IDLE: Duration = Duration::from_millis(800);

const MESSAGE: Message = Message::Question;

/// Sends a request to a new server that keeps its connection open; returns the server's end of it.
async fn exchange_with_new_server(pool: &Pool) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let connection = Connection::connect(&address, Duration::from_secs(5)).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    server.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
    let mut head = RequestHead::default();
    head.set_connection_type(ConnectionType::KeepAlive);
    let mut share = Budget::new(0).share();
    let (_, mut body) = connection.exchange(MESSAGE, head, Bytes::new(), &mut share).await.unwrap();
    assert!(body.next().await.unwrap().is_none());
    assert!(body.attribute(Naming::Missing, Content::Report).is_some());
    pool.put(&address, body, Outcome::Reported, None);
    server
}

/// Whether the pool closed its end of the connection within 300 ms, after the request is read.
async fn is_closed(server: &mut TcpStream) -> bool {
    let read = async { while server.read(&mut [0; 1_024]).await.unwrap() > 0 {} };
    tokio::time::timeout(Duration::from_millis(300), read).await.is_ok()
}

/// Guards against connections that stay open to servers that no longer get requests. Servers are replaced
/// for weeks, each by one with another address. The connections to the old ones would use up the file
/// descriptors of the process, and a server that waits for them to close before it stops would never stop.
#[actix_rt::test]
async fn connections_that_are_not_used_again_are_closed() {
    tokio::time::pause();
    let pool = Pool::new(PoolLimits { max_idle: 2, idle_timeout: IDLE });
    let mut first = exchange_with_new_server(&pool).await;
    assert!(!is_closed(&mut first).await, "the connection is closed before it expires");
    tokio::time::sleep(IDLE).await;
    let mut second = exchange_with_new_server(&pool).await;
    assert!(is_closed(&mut first).await, "the expired connection stays open");
    assert!(!is_closed(&mut second).await);
}
