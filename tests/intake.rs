//! Limits on what callers bring in, and calls that are wrong on the wire: each gets a clear error,
//! nothing panics, and nothing of it runs.

mod common;

use std::time::Duration;

use common::{PACE, Site, eventually, filters, open, post, session, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LIMITS: &str = "[deployment]\nmax_head = \"2000B\"\nmax_body = \"300B\"\nhead_time = \"3s\"\n\
                      body_time = \"4s\"\nconnections = 8\n";
const CHAT: &str = "/v1/chat/completions";
const KEY: &str = "authorization: Bearer choir-key\r\n";
const WHOLE: &str = r#"{"model":"small","max_tokens":2}"#;

fn raw(head: &str, body: &str) -> Vec<u8> {
    format!("{head}\r\nhost: router\r\n{KEY}\r\n{body}").into_bytes()
}

/// Callers, or something on the way that rewrites requests, send what isn't a well-formed call.
/// Where the router and a proxy before it would read the end of a request differently, the rest
/// could pass as another caller's request, so such a call must be refused whole.
#[actix_rt::test]
async fn errors_on_calls_that_are_wrong_on_the_wire() {
    let site = Site::tuned(1, 1, PACE, LIMITS).await;
    let smuggled = format!("0\r\n\r\nGET /v1/models HTTP/1.1\r\nhost: router\r\n{KEY}\r\n");
    let post_ = format!("POST {CHAT} HTTP/1.1");
    let long = format!("x-long: {}\r\n", "a".repeat(3_000));
    let endless = format!("x-long: {}\r\n", "a".repeat(200_000));
    let big = format!("{{\"model\":\"small\",\"text\":\"{}\"}}", "a".repeat(400));
    let table: Vec<(&str, Vec<u8>)> = vec![
        ("garbage", b"\x16\x03\x01\x02 no http\r\n\r\n".to_vec()),
        (
            "both_lengths",
            raw(&format!("{post_}\r\ncontent-length: 4\r\ntransfer-encoding: chunked"), &smuggled),
        ),
        ("two_lengths", raw(&format!("{post_}\r\ncontent-length: 4\r\ncontent-length: 5"), "{}{}")),
        ("bad_length", raw(&format!("{post_}\r\ncontent-length: +4"), "{}{}")),
        ("bad_chunk", raw(&format!("{post_}\r\ntransfer-encoding: chunked"), "zz\r\n{}\r\n")),
        ("bad_coding", raw(&format!("{post_}\r\ntransfer-encoding: chunked, gzip"), &smuggled)),
        ("method", raw(&format!("BREW {CHAT} HTTP/1.1\r\nconnection: close"), "")),
        ("large_head", post(CHAT, &long, WHOLE)),
        ("endless_head", post(CHAT, &endless, WHOLE)),
        ("large_body", post(CHAT, "", &big)),
        (
            "large_chunks",
            raw(
                &format!("{post_}\r\ntransfer-encoding: chunked"),
                &format!("{:x}\r\n{big}\r\n0\r\n\r\n", big.len()),
            ),
        ),
        ("climbing_path", post("/desk/%2E%2e/admin", "", "{}")),
        ("beside_path", post("/desktop", "", "{}")),
        ("wrong_type", post(CHAT, "", r#"{"model":"small","max_tokens":"my secret"}"#)),
    ];
    let _filters = filters();
    for (name, call) in table {
        let answer = site.session(&call).await;
        insta::assert_snapshot!(name, answer);
    }
    assert_eq!((site.engines[0].total(), site.desk.total()), (0, 0));
    assert!(site.session(&post(CHAT, "", WHOLE)).await.contains("complete"));
}

/// A caller opens connections and sends its requests byte by byte, or not to the end. Each holds
/// memory and a place among the connections, so its time is limited, in the first request of a
/// connection as in later ones.
#[actix_rt::test]
async fn errors_on_calls_that_dont_come_in_time() {
    let site = Site::tuned(1, 1, PACE, LIMITS).await;
    let _filters = filters();
    let half = post(CHAT, "", WHOLE);
    let answer = site.session(&half[..40]).await;
    insta::assert_snapshot!("half_head", answer);
    let answer = site.session(&half[..half.len() - 5]).await;
    insta::assert_snapshot!("half_body", answer);

    let whole = String::from_utf8(half).unwrap().replace("connection: close\r\n", "");
    let mut caller = open(site.routers[0].caller_address(), whole.as_bytes()).await;
    until(&mut caller, "completion_tokens").await;
    caller.write_all(&whole.as_bytes()[..40]).await.unwrap();
    let begun = tokio::time::Instant::now();
    assert_eq!(caller.read(&mut [0; 10]).await.unwrap_or(0), 0);
    // The limit of a head, far below the 75 s of an idle connection.
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    assert_eq!(site.routers[0].open_requests(), 0);
}

/// An idle connection stays open between two requests, for as long as balancers expect, and is
/// then closed.
#[actix_rt::test]
async fn can_close_an_idle_connection() {
    let site = Site::tuned(1, 1, PACE, LIMITS).await;
    let call =
        String::from_utf8(post(CHAT, "", WHOLE)).unwrap().replace("connection: close\r\n", "");
    let mut caller = open(site.routers[0].caller_address(), call.as_bytes()).await;
    until(&mut caller, "completion_tokens").await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    caller.write_all(call.as_bytes()).await.unwrap();
    until(&mut caller, "completion_tokens").await;
    let begun = tokio::time::Instant::now();
    assert_eq!(caller.read(&mut [0; 10]).await.unwrap(), 0);
    assert!(begun.elapsed() > Duration::from_secs(60), "{:?}", begun.elapsed());
}

/// More connections come than the node may hold. One more must be told so at once and the ones
/// that are held go on; without the limit the process runs out of files or memory for all.
#[actix_rt::test]
async fn errors_on_one_connection_too_many() {
    let site = Site::tuned(1, 1, PACE, LIMITS).await;
    let address = site.routers[0].caller_address();
    let mut held = vec![];
    for _ in 0..8 {
        held.push(open(address, b"").await);
    }
    let answer = session(address, &post(CHAT, "", WHOLE)).await;
    let _filters = filters();
    insta::assert_snapshot!("connections", answer);
    let last = held.pop();
    drop(last);
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert!(site.session(&post(CHAT, "", WHOLE)).await.contains("complete"));
}

/// Old clients speak HTTP/1.0, and some send requests ahead without waiting for answers.
#[actix_rt::test]
async fn can_serve_old_and_eager_callers() {
    let site = Site::tuned(1, 1, PACE, LIMITS).await;
    let _filters = filters();
    let old = String::from_utf8(post(CHAT, "", WHOLE)).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    insta::assert_snapshot!("old", site.session(old.as_bytes()).await);
    let streamed = r#"{"model":"small","max_tokens":1,"stream":true}"#;
    let old = String::from_utf8(post(CHAT, "", streamed)).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    insta::assert_snapshot!("old_stream", site.session(old.as_bytes()).await);

    let first = post(CHAT, "", r#"{"model":"small","max_tokens":3}"#);
    let first = String::from_utf8(first).unwrap().replace("connection: close\r\n", "");
    let both = [first.as_bytes(), &post(CHAT, "", r#"{"model":"small","max_tokens":1}"#)].concat();
    let answer = site.session(&both).await;
    let (three, one) = (answer.find("w0 w1 w2").unwrap(), answer.rfind("\"w0\"").unwrap());
    assert!(three < one, "{answer}");
}

/// A caller sends a flood of requests ahead while a long stream goes to it. The bytes must wait in
/// its connection; taken in, they cost memory, and a full buffer cost the whole core (this test
/// then never ends, since virtual time stands still).
#[actix_rt::test]
async fn can_hold_back_a_flood_sent_ahead() {
    let pace =
        fakes::Pace { slots: 4, prefill: Duration::from_millis(40), token: Duration::from_secs(1) };
    let site = Site::tuned(1, 1, pace, LIMITS).await;
    let streamed = r#"{"model":"small","max_tokens":20,"stream":true}"#;
    let call = post(CHAT, "", streamed);
    let call = String::from_utf8(call).unwrap().replace("connection: close\r\n", "");
    let caller = open(site.routers[0].caller_address(), call.as_bytes()).await;
    assert!(eventually(|| site.engines[0].tokens() > 0).await);
    let (mut reader, mut writer) = caller.into_split();
    let flood = call.repeat(200_000);
    let sent = actix_rt::spawn(async move {
        let _ = writer.write_all(flood.as_bytes()).await;
    });
    let mut came = String::new();
    let mut buf = vec![0; 4096];
    while !came.contains("[DONE]") {
        let count = reader.read(&mut buf).await.unwrap();
        came.push_str(&String::from_utf8_lossy(&buf[..count]));
    }
    assert!(!sent.is_finished(), "the router took the whole flood in");
    sent.abort();
    drop(reader);
    assert!(eventually(|| site.routers[0].open_requests() == 0).await);
}
