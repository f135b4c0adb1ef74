//! Callers that go away: what was begun for them ends, and nothing else does.

mod common;

use std::time::Duration;

use common::{Site, eventually, open, post, until, with_system};
use fakes::Pace;
use tokio::io::AsyncReadExt;

/// Slow enough that nothing ends by itself within a test.
const SLOW: Pace =
    Pace { slots: 1, prefill: Duration::from_secs(20), token: Duration::from_secs(10) };
/// So long a caller's going may take to reach the engine.
const SOON: Duration = Duration::from_millis(50);
const STREAMED: &str = r#"{"model":"small","max_tokens":100,"stream":true}"#;
const WHOLE: &str = r#"{"model":"small","max_tokens":100}"#;

fn chat(body: &str) -> Vec<u8> {
    post("/v1/chat/completions", "", body)
}

// A caller's process is killed while its request waits for the first token. Unless the router
// sees the end of the connection while it has nothing to write, the engine works on for nobody,
// and other callers wait for its place.
async fn leaves_before_the_first_token(body: &str) {
    let site = Site::tuned(1, 1, SLOW, "").await;
    let caller = open(site.routers[0].caller_address(), &chat(body)).await;
    assert!(eventually(|| site.engines[0].running() == 1).await);
    drop(caller);
    tokio::time::sleep(SOON).await;
    assert_eq!(site.engines[0].running(), 0, "{body}");
    assert_eq!(site.routers[0].open_requests(), 0, "{body}");
}

#[actix_rt::test]
async fn can_cancel_a_whole_answer() {
    leaves_before_the_first_token(WHOLE).await;
}

#[actix_rt::test]
async fn can_cancel_before_the_first_token() {
    leaves_before_the_first_token(STREAMED).await;
}

/// A caller goes away in the middle of a stream, before the next token is due. The engine's place
/// must be free at once, not when the next write fails.
#[actix_rt::test]
async fn can_cancel_in_a_stream() {
    let site = Site::tuned(1, 1, SLOW, "").await;
    let mut caller = open(site.routers[0].caller_address(), &chat(STREAMED)).await;
    until(&mut caller, "w0").await;
    drop(caller);
    tokio::time::sleep(SOON).await;
    assert_eq!(site.engines[0].running(), 0);
    assert_eq!(site.routers[0].open_requests(), 0);
}

/// A caller gives up while its request waits in the queue. The request must leave the queue: run
/// later, it takes a place from somebody who still waits.
#[actix_rt::test]
async fn can_withdraw_from_the_queue() {
    let site = Site::tuned(1, 1, SLOW, "").await;
    let mut callers = vec![];
    for _ in 0..6 {
        callers.push(open(site.routers[0].caller_address(), &chat(WHOLE)).await);
    }
    assert!(eventually(|| site.routers[0].open_requests() == 6).await);
    drop(callers);
    tokio::time::sleep(SOON).await;
    assert_eq!(site.routers[0].open_requests(), 0);
    assert_eq!(site.engines[0].running(), 0);
    assert!(site.engines[0].total() <= 4, "some ran after their callers had gone");
}

/// A caller of a charge goes away while the desk works on it. Cancelling could leave the charge
/// half made and its outcome unheard, so the call goes on to its end, once.
#[actix_rt::test]
async fn can_let_a_charge_end_without_its_caller() {
    let site = Site::tuned(1, 1, common::PACE, "").await;
    site.desk.set_pace(Duration::from_secs(5));
    let charge = post("/desk/charge", "x-class: charge\r\n", "{}");
    let caller = open(site.routers[0].caller_address(), &charge).await;
    assert!(eventually(|| site.desk.total() == 1).await);
    drop(caller);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!((site.routers[0].open_requests(), site.desk.ended()), (1, 0));
    assert!(eventually(|| site.routers[0].open_requests() == 0).await);
    assert_eq!((site.desk.total(), site.desk.ended()), (1, 1));
}

/// A caller of a charge goes away while its call still waits for a place at the desk. Nothing was
/// sent, so nothing may run: it would charge for a booking that nobody waits for any more.
#[actix_rt::test]
async fn can_withdraw_a_charge_that_waits() {
    let site = Site::tuned(1, 1, common::PACE, "").await;
    site.desk.set_pace(Duration::from_secs(5));
    let charge = post("/desk/charge", "x-class: charge\r\n", "{}");
    let mut callers = vec![];
    for _ in 0..10 {
        callers.push(open(site.routers[0].caller_address(), &charge).await);
    }
    assert!(eventually(|| site.routers[0].open_requests() == 10).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let begun = site.desk.total();
    assert!(begun < 10, "none waited");
    drop(callers);
    assert!(eventually(|| site.routers[0].open_requests() == 0).await);
    assert_eq!((site.desk.total(), site.desk.ended()), (begun, begun));
}

/// One reader of a stream stops reading while the engine goes on. Its buffers fill and its own
/// stream waits; another caller's stream must come as fast as ever, and after the limit the
/// reader's stream is ended, so that it doesn't hold its place at the engine.
#[actix_rt::test]
async fn can_end_a_slow_reader_alone() {
    let pace =
        Pace { slots: 4, prefill: Duration::from_millis(1), token: Duration::from_micros(100) };
    let more = "[deployment]\nslow_reader = \"5s\"\nidle_stream = \"1h\"";
    let site = Site::tuned(1, 1, pace, more).await;
    with_system();
    let endless = r#"{"model":"small","max_tokens":1000000,"stream":true}"#;
    let slow = open(site.routers[0].caller_address(), &chat(endless)).await;
    assert!(eventually(|| site.engines[0].running() == 1).await);
    // The stream comes to a halt once all buffers on the way are full.
    let mut last = 0;
    let mut halted = false;
    for _ in 0..2_000 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = site.engines[0].tokens();
        halted = now == last && now > 0;
        last = now;
        if halted {
            break;
        }
    }
    assert!(halted, "the engine was read on though nobody took the answer");
    let brief = r#"{"model":"small","max_tokens":20,"stream":true}"#;
    let answer = site.session(&chat(brief)).await;
    assert!(answer.contains("data: [DONE]"), "{answer}");
    tokio::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(site.engines[0].running(), 0, "the slow reader still holds its place");
    assert_eq!(site.routers[0].open_requests(), 0);
    drop(slow);
}

/// A reader that takes its stream slowly but steadily isn't ended.
#[actix_rt::test]
async fn can_serve_a_steady_slow_reader() {
    let pace =
        Pace { slots: 4, prefill: Duration::from_millis(1), token: Duration::from_micros(100) };
    let more = "[deployment]\nslow_reader = \"5s\"\nidle_stream = \"1h\"";
    let site = Site::tuned(1, 1, pace, more).await;
    with_system();
    let long = r#"{"model":"small","max_tokens":30000,"stream":true}"#;
    let mut reader = open(site.routers[0].caller_address(), &chat(long)).await;
    let mut buf = vec![0; 64 << 10];
    let mut tail = String::new();
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let count = reader.read(&mut buf).await.unwrap();
        if count == 0 {
            break;
        }
        tail.push_str(&String::from_utf8_lossy(&buf[..count]));
        tail = tail.chars().rev().take(200).collect::<Vec<_>>().into_iter().rev().collect();
    }
    assert!(tail.contains("data: [DONE]"), "{tail}");
}
