//! Tests that a listener which closes loses no request.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{Response, StatusCode};
use listen::{Limits, Listener};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A caller reuses a connection at the moment in which the node closes its idle connections. If the
/// request is read and run but the connection closes without a response, the caller can't tell
/// whether a charge was made.
#[actix_rt::test]
async fn a_request_that_crosses_the_closing_is_answered() {
    tokio::time::pause();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let handler = |_| async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        Response::build(StatusCode::OK).body("answer".to_string()).map_body(|_, body| body.boxed())
    };
    let listener = Listener::open(any, Limits::default(), handler).await.unwrap();
    let mut caller = TcpStream::connect(listener.address()).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    let mut first = [0; 1_024];
    let count = caller.read(&mut first).await.unwrap();
    assert!(String::from_utf8_lossy(&first[..count]).starts_with("HTTP/1.1 200"));
    assert_eq!(caller.try_write(REQUEST).unwrap(), REQUEST.len());
    let mut second = String::new();
    let (_, ()) = tokio::join!(caller.read_to_string(&mut second), listener.close());
    assert!(second.starts_with("HTTP/1.1 200") && second.ends_with("answer"), "{second:?}");
}
