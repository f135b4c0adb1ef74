//! Connections kept for further requests.

use std::time::Duration;

use actix_http::{ConnectionType, RequestHead};
use bytes::Bytes;
use http_client::{Connection, Pool, PoolLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const IDLE: Duration = Duration::from_millis(800);

/// One exchange with a server that keeps its connection; returns the server's end of it.
async fn exchange(pool: &Pool) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let link = Connection::connect(&address, Duration::from_secs(5)).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    server.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
    let mut head = RequestHead::default();
    head.set_connection_type(ConnectionType::KeepAlive);
    let (_, mut body) = link.exchange(head, Bytes::new()).await.unwrap();
    assert!(body.next().await.unwrap().is_none());
    pool.put(&address, body, None);
    server
}

/// Whether the router closed its end, once the request it sent is read past.
async fn closed(server: &mut TcpStream) -> bool {
    let read = async { while server.read(&mut [0; 1_024]).await.unwrap() > 0 {} };
    tokio::time::timeout(Duration::from_millis(300), read).await.is_ok()
}

/// Servers are replaced for weeks, each under an address of its own, and nothing is sent to the old
/// ones again. Their connections would stay open until the process ends or has no descriptors left, and
/// a server that waits for them to close would wait for good.
#[actix_rt::test]
async fn connections_that_are_not_used_again_are_closed() {
    tokio::time::pause();
    let pool = Pool::new(PoolLimits { max_idle: 2, idle_timeout: IDLE });
    let mut first = exchange(&pool).await;
    assert!(!closed(&mut first).await, "it is closed before its time");
    tokio::time::sleep(IDLE).await;
    let mut second = exchange(&pool).await;
    assert!(closed(&mut first).await, "a connection past its time is kept");
    assert!(!closed(&mut second).await);
}
