//! Going down: no request in flight is cut, and what is cut at the limit is said.

mod common;

use std::time::Duration;

use common::{PACE, Site, eventually, get, open, post, until};
use fakes::Pace;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";
const STREAMED: &str = r#"{"model":"small","max_tokens":10,"stream":true}"#;
const WHOLE: &str = r#"{"model":"small","max_tokens":10}"#;
const MODELS: &[u8] =
    b"GET /v1/models HTTP/1.1\r\nhost: router\r\nauthorization: Bearer choir-key\r\n\r\n";
const LIMITS: &str = "[deployment]\nbalancer = \"2s\"\ngrace = \"30s\"\n";
/// Ten tokens take longer than the balancer does to notice.
const SLOW: Pace =
    Pace { slots: 4, prefill: Duration::from_millis(400), token: Duration::from_millis(500) };

fn kept(body: &str) -> Vec<u8> {
    let call = String::from_utf8(post(CHAT, "", body)).unwrap();
    call.replace("connection: close\r\n", "").into_bytes()
}

async fn rest(mut stream: TcpStream) -> String {
    let mut came = vec![];
    let _ = stream.read_to_end(&mut came).await;
    String::from_utf8_lossy(&came).into_owned()
}

/// A node is replaced while it is busy. Streams, whole answers, requests in its queue and a charge
/// whose caller has left are all under way, and until the balancer has noticed, more come. Every
/// caller must get its whole answer.
#[actix_rt::test]
async fn can_drain_under_load() {
    let site = Site::tuned(1, 1, SLOW, LIMITS).await;
    let router = &site.routers[0];
    let address = router.caller_address();
    site.desk.set_pace(Duration::from_secs(20));
    let charge = open(address, &post("/desk/charge", "x-class: charge\r\n", "{}")).await;
    assert!(eventually(|| site.desk.total() == 1).await);
    drop(charge);
    let mut idle = open(address, &kept(r#"{"model":"small","max_tokens":1}"#)).await;
    until(&mut idle, "completion_tokens").await;
    let mut early = vec![];
    for body in [STREAMED, STREAMED, WHOLE, STREAMED, WHOLE, WHOLE] {
        early.push(open(address, &kept(body)).await);
    }
    assert!(eventually(|| site.engines[0].tokens() > 3).await);

    let draining = router.drain();
    let calls = async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert!(get(router.operator_address(), "/readyz").await.starts_with("HTTP/1.1 503"));
        assert!(get(router.operator_address(), "/healthz").await.starts_with("HTTP/1.1 200"));
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let late = open(address, &kept(WHOLE)).await;
        // Answered before the listener closes, so that its caller moves to another node.
        let models = open(address, MODELS).await;
        let models = rest(models).await;
        assert!(models.contains("connection: close") && models.contains("small"), "{models}");
        let late = rest(late).await;
        assert!(late.contains("connection: close") && late.contains("w9"), "{late}");
    };
    let (cut, ()) = tokio::join!(draining, calls);
    assert_eq!(cut, vec![]);
    for stream in early {
        let answer = rest(stream).await;
        assert!(answer.contains("w9"), "{answer}");
    }
    assert_eq!(rest(idle).await, "");
    assert_eq!(site.desk.ended(), 1);
    assert!(TcpStream::connect(address).await.is_err());
}

/// An answer has come whole from the engine, but its caller reads slowly and most of it still waits
/// in the node's buffers. The node must not go before the caller has taken it.
#[actix_rt::test]
async fn can_drain_a_slow_reader() {
    let pace = Pace { slots: 4, prefill: Duration::ZERO, token: Duration::ZERO };
    let limits = format!("{LIMITS}idle_stream = \"10min\"\n");
    let site = Site::tuned(1, 1, pace, &limits).await;
    let body = r#"{"model":"small","max_tokens":50000}"#;
    let caller = open(site.routers[0].caller_address(), &kept(body)).await;
    assert!(eventually(|| site.engines[0].tokens() == 50_000).await);
    let reading = async {
        tokio::time::sleep(Duration::from_secs(8)).await;
        rest(caller).await
    };
    let (cut, answer) = tokio::join!(site.routers[0].drain(), reading);
    assert_eq!(cut, vec![]);
    assert!(answer.contains("w49999"), "{} bytes came", answer.len());
}

/// A stream is longer than the grace that a replaced node has. It must be cut in the end, must not
/// look whole to its caller, and the node must say which request it was.
#[actix_rt::test]
async fn errors_on_what_outlasts_the_grace() {
    let limits = "[deployment]\nbalancer = \"100ms\"\ngrace = \"2s\"\n";
    let site = Site::tuned(1, 1, SLOW, limits).await;
    let mut caller = open(site.routers[0].caller_address(), &kept(STREAMED)).await;
    let head = until(&mut caller, "w0").await;
    let cut = site.routers[0].drain().await;
    assert_eq!(cut.len(), 1);
    assert!(head.contains(&format!("x-request-id: {}", cut[0])), "{head}");
    let answer = rest(caller).await;
    assert!(!answer.contains("[DONE]") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    assert!(eventually(|| site.engines[0].running() == 0).await);
}

/// An operator has no time to wait and signals a second time. The drain ends there and then, and
/// what was cut is said.
#[actix_rt::test]
async fn can_end_a_drain_early() {
    let site = Site::tuned(1, 1, SLOW, LIMITS).await;
    let router = &site.routers[0];
    let mut caller = open(router.caller_address(), &kept(STREAMED)).await;
    until(&mut caller, "w0").await;
    let cut = tokio::select! {
        cut = router.drain() => cut,
        () = tokio::time::sleep(Duration::from_millis(100)) => router.abort(),
    };
    assert_eq!(cut.len(), 1);
    assert!(!rest(caller).await.contains("[DONE]"));
}

/// A drain must not wait for the grace to end when nothing is in flight.
#[actix_rt::test]
async fn can_drain_at_once_when_idle() {
    let site = Site::tuned(1, 1, PACE, LIMITS).await;
    let mut idle = open(site.routers[0].caller_address(), &kept(WHOLE)).await;
    until(&mut idle, "completion_tokens").await;
    let begun = tokio::time::Instant::now();
    assert_eq!(site.routers[0].drain().await, vec![]);
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}

/// A whole answer isn't ready when the grace of a replaced node ends. Its caller must learn that the
/// request may have run, in place of a closed connection.
#[actix_rt::test]
async fn answers_what_outlasts_the_grace() {
    let limits = "[deployment]\nbalancer = \"100ms\"\ngrace = \"2s\"\n";
    let site = Site::tuned(1, 1, SLOW, limits).await;
    site.desk.set_pace(Duration::from_secs(20));
    let address = site.routers[0].caller_address();
    let charge = post("/desk/charge", "x-class: charge\r\n", "{}");
    let callers = [open(address, &kept(WHOLE)).await, open(address, &charge).await];
    assert!(eventually(|| site.engines[0].running() == 1 && site.desk.total() == 1).await);
    let begun = tokio::time::Instant::now();
    site.routers[0].drain().await;
    assert!(begun.elapsed() < Duration::from_millis(2_200), "{:?}", begun.elapsed());
    for caller in callers {
        let answer = rest(caller).await;
        assert!(answer.starts_with("HTTP/1.1 502") && answer.contains("unknown"), "{answer}");
    }
}

/// Requests wait in the queue of a replaced node until its grace ends. They haven't run, and their callers
/// must learn that they may be sent again; those that were sent must not be told so.
#[actix_rt::test]
async fn refuses_what_is_queued_until_the_grace_ends() {
    let limits = "[deployment]\nbalancer = \"100ms\"\ngrace = \"2s\"\n";
    let site = Site::tuned(1, 1, SLOW, limits).await;
    let address = site.routers[0].caller_address();
    let mut callers = vec![];
    for _ in 0..10 * SLOW.slots {
        callers.push(open(address, &kept(WHOLE)).await);
    }
    assert!(eventually(|| site.engines[0].running() == SLOW.slots).await);
    assert!(eventually(|| site.routers[0].open_requests() == callers.len()).await);
    let (mut refused, mut unknown) = (0, 0);
    site.routers[0].drain().await;
    for caller in callers {
        let answer = rest(caller).await;
        if answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after") {
            refused += 1;
        } else {
            assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
            unknown += 1;
        }
    }
    assert!(refused > 0 && unknown >= SLOW.slots, "{refused} refused, {unknown} unknown");
}

/// A charge arrives while a node is being replaced, and no charge has been served before. It may not run
/// twice, and its answer may not come before the grace ends.
#[actix_rt::test]
async fn refuses_a_charge_of_unknown_length_while_draining() {
    let limits = "[deployment]\nbalancer = \"100ms\"\ngrace = \"2s\"\n";
    let site = Site::tuned(1, 1, SLOW, limits).await;
    site.desk.set_pace(Duration::from_secs(20));
    let charge = post("/desk/charge", "x-class: charge\r\n", "{}");
    let late = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        rest(open(site.routers[0].caller_address(), &charge).await).await
    };
    let (_, answer) = tokio::join!(site.routers[0].drain(), late);
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after"), "{answer}");
    assert_eq!(site.desk.total(), 0);
}

/// A charge arrives while a node is being replaced, and charges were served at once before. A refusal
/// would cost its caller a try for nothing.
#[actix_rt::test]
async fn serves_a_short_charge_while_draining() {
    let limits = "[deployment]\nbalancer = \"100ms\"\ngrace = \"2s\"\n";
    let site = Site::tuned(1, 1, SLOW, limits).await;
    site.desk.set_pace(Duration::from_millis(10));
    let charge = post("/desk/charge", "x-class: charge\r\n", "{}");
    let address = site.routers[0].caller_address();
    let before = rest(open(address, &charge).await).await;
    let late = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        rest(open(address, &charge).await).await
    };
    let (cut, answer) = tokio::join!(site.routers[0].drain(), late);
    assert!(before.starts_with("HTTP/1.1 200") && answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(cut, vec![]);
}

/// Grace of a replaced node in the tests of late bodies.
const SHORT_GRACE: &str = "[deployment]\nbalancer = \"100ms\"\ngrace = \"2s\"\n";

/// When the last byte of a request arrives after a drain has begun: on a new connection, or on one whose request began before.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    New,
    InParts(Duration),
}

const ARRIVALS: [Arrival; 2] = [Arrival::New, Arrival::InParts(Duration::from_secs(1))];

/// Drains the first router of a site while a request arrives there; returns what its caller gets.
async fn drain_while_arriving(site: &Site, call: &[u8], arrival: Arrival) -> String {
    let address = site.routers[0].caller_address();
    let late = async {
        match arrival {
            Arrival::New => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                rest(open(address, call).await).await
            }
            Arrival::InParts(pause) => {
                let (last, first) = call.split_last().unwrap();
                let mut caller = open(address, first).await;
                tokio::time::sleep(pause).await;
                let _ = caller.write_all(&[*last]).await;
                rest(caller).await
            }
        }
    };
    let begun = tokio::time::Instant::now();
    let drained = async {
        site.routers[0].drain().await;
        assert!(begun.elapsed() < Duration::from_millis(2_200), "{:?}", begun.elapsed());
    };
    tokio::join!(drained, late).1
}

fn is_refused(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after")
}

/// The last byte of a charge arrives while a node is being replaced, after its listener has closed. Guards against a charge that
/// runs and whose answer can't come in time.
#[actix_rt::test]
async fn decides_about_a_charge_whose_body_arrives_late_while_draining() {
    tokio::time::pause();
    let charge = post("/desk/charge", "x-class: charge\r\n", "{}");
    for known in [false, true] {
        let site = Site::further(1, 1, SLOW, SHORT_GRACE).await;
        site.desk.set_pace(Duration::from_millis(10));
        if known {
            let before = rest(open(site.routers[0].caller_address(), &charge).await).await;
            assert!(before.starts_with("HTTP/1.1 200"), "{before}");
        }
        let answer = drain_while_arriving(&site, &charge, ARRIVALS[1]).await;
        if known {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        } else {
            assert!(is_refused(&answer) && site.desk.total() == 0, "{answer}");
        }
    }
}

/// A call that may run again arrives while a node is being replaced. Guards against one that is begun though such calls are known
/// to be longer than the rest of the grace, and against a closed connection in place of an answer.
#[actix_rt::test]
async fn answers_repeatable_calls_that_arrive_while_draining() {
    tokio::time::pause();
    for arrival in ARRIVALS {
        for (pace, known, status) in
            [(SLOW, false, "502"), (SLOW, true, "503"), (PACE, true, "200")]
        {
            let site = Site::further(1, 1, pace, SHORT_GRACE).await;
            if known {
                let before =
                    rest(open(site.routers[0].caller_address(), &post(CHAT, "", WHOLE)).await);
                assert!(before.await.starts_with("HTTP/1.1 200"));
            }
            let answer = drain_while_arriving(&site, &kept(WHOLE), arrival).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{arrival:?}: {answer}");
        }
    }
}

/// A call arrives while a node is being replaced, and all slots are taken until the end. Guards against an answer that doesn't say
/// that it hasn't run.
#[actix_rt::test]
async fn refuses_what_finds_no_slot_while_draining() {
    tokio::time::pause();
    for arrival in ARRIVALS {
        let site = Site::further(1, 1, SLOW, SHORT_GRACE).await;
        let mut fills = vec![];
        for _ in 0..10 * SLOW.slots {
            fills.push(open(site.routers[0].caller_address(), &kept(WHOLE)).await);
        }
        assert!(eventually(|| site.engines[0].running() == SLOW.slots).await);
        assert!(eventually(|| site.routers[0].open_requests() == fills.len()).await);
        // Of a lower tier, so that it is last in the queue.
        let late = post(CHAT, "x-class: draft\r\n", WHOLE);
        let answer = drain_while_arriving(&site, &late, arrival).await;
        assert!(is_refused(&answer), "{arrival:?}: {answer}");
        let id = answer.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap();
        assert_eq!(site.engines[0].runs(id), 0, "{arrival:?}: {answer}");
    }
}

/// A stream arrives while a node is being replaced. Guards against one that looks complete though it was cut, and against one that
/// is begun though such streams are known to be longer than the rest of the grace.
#[actix_rt::test]
async fn answers_streams_that_arrive_while_draining() {
    tokio::time::pause();
    for arrival in ARRIVALS {
        for known in [false, true] {
            let site = Site::further(1, 1, SLOW, SHORT_GRACE).await;
            if known {
                let before =
                    rest(open(site.routers[0].caller_address(), &post(CHAT, "", STREAMED)).await);
                assert!(before.await.contains("[DONE]"));
            }
            let answer = drain_while_arriving(&site, &kept(STREAMED), arrival).await;
            if known {
                assert!(is_refused(&answer), "{arrival:?}: {answer}");
            } else {
                let cut = answer.starts_with("HTTP/1.1 200") && !answer.ends_with("0\r\n\r\n");
                let unknown = answer.starts_with("HTTP/1.1 502");
                assert!(cut || unknown, "{arrival:?}: {answer}");
                assert!(!answer.contains("[DONE]"), "{arrival:?}: {answer}");
            }
        }
    }
}

/// The body of a call doesn't arrive before the end of the grace. Guards against a closed connection in place of an answer that
/// nothing ran.
#[actix_rt::test]
async fn refuses_a_body_that_never_arrives_while_draining() {
    tokio::time::pause();
    let site = Site::further(1, 1, SLOW, SHORT_GRACE).await;
    let charge = post("/desk/charge", "x-class: charge\r\n", "{}");
    let arrival = Arrival::InParts(Duration::from_secs(5));
    let answer = drain_while_arriving(&site, &charge, arrival).await;
    assert!(is_refused(&answer) && site.desk.total() == 0, "{answer:?}");
}
