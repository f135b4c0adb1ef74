//! What callers are told, and how often the backend servers truly ran a request, fault by fault.

#[path = "../common/mod.rs"]
mod common;
mod script;
mod site;

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;

use fakes::Step;
use script::{FAULTS, KINDS, Kind, body, good, parts, resumed, resumed_text, script};
use site::{Pair, Told};
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// The rules that hold in every cell.
fn check(cell: &str, kind: Kind, told: &Told, runs: u32) {
    assert!(told.outcome != "not-run" || runs == 0, "{cell}: told not run, ran {runs} times");
    assert!(kind.idempotent() || runs <= 1, "{cell}: ran {runs} times");
    assert!(told.outcome != "complete" || told.whole, "{cell}: a part passed for the whole");
    assert!(told.outcome != "broken-off" || !told.ended, "{cell}: broken off, ends like a whole");
    assert!(!told.outcome.is_empty(), "{cell}: told nothing");
}

fn table(rows: &[(String, Vec<String>)]) -> String {
    let mut table = String::new();
    for (name, cells) in rows {
        write!(table, "{name:34}").unwrap();
        for cell in cells {
            write!(table, " | {cell:16}").unwrap();
        }
        table = table.trim_end().to_string() + "\n";
    }
    table
}

/// What each kind of request is told and how often it ran, under each fault. The fault meets the
/// requests of those numbers, counted over both servers; the others are served well.
async fn cells(faulty: fn(u64) -> bool) -> String {
    let mut rows = vec![];
    for fault in FAULTS {
        let mut cells = vec![];
        for kind in KINDS {
            let steps = move |n| if faulty(n) { script(fault, kind) } else { good(kind) };
            let site = Pair::start(steps).await;
            let told = site.call(kind).await;
            let runs = site.runs();
            check(&format!("{fault}, {kind:?}"), kind, &told, runs);
            cells.push(format!("{} {runs}", told.outcome));
        }
        rows.push((fault.to_string(), cells));
    }
    table(&rows)
}

/// Every server meets the same fault. A caller sees a refusal, an answer it can trust, or the plain
/// word that nobody knows; a charge shows up once on the bill at most.
#[actix_rt::test]
async fn can_tell_the_truth_when_every_attempt_fails() {
    tokio::time::pause();
    insta::assert_snapshot!(cells(|_| true).await);
}

/// One server fails once and the next attempt is met by a good one. A caller of an idempotent
/// request notices nothing unless a part of the answer had reached it.
#[actix_rt::test]
async fn can_retry_what_may_be_repeated() {
    tokio::time::pause();
    insta::assert_snapshot!(cells(|n| n == 0).await);
}

/// Two faults meet one request, one after the other. The rules of each cell hold for every pair.
#[actix_rt::test]
async fn can_tell_the_truth_after_two_faults() {
    tokio::time::pause();
    let mut outcomes = std::collections::BTreeMap::<_, u32>::new();
    for first in FAULTS {
        for second in FAULTS {
            for kind in [Kind::Whole, Kind::Stream, Kind::Charge] {
                let fault = move |n| if n == 0 { first } else { second };
                let site = Pair::start(move |n| script(fault(n), kind)).await;
                let told = site.call(kind).await;
                check(&format!("{first}, {second}, {kind:?}"), kind, &told, site.runs());
                *outcomes.entry(format!("{kind:?} {}", told.outcome)).or_default() += 1;
            }
        }
    }
    insta::assert_snapshot!(format!("{outcomes:#?}"));
}

/// The server's process is gone and its port is closed. The caller is told that nothing ran.
#[actix_rt::test]
async fn can_say_not_run_when_no_connection_is_made() {
    tokio::time::pause();
    for kind in KINDS {
        let site = Pair::refused().await;
        let told = site.call(kind).await;
        assert_eq!(told.outcome, "not-run", "{kind:?}");
    }
}

/// A server keeps a connection and ends it at the moment the next request goes out. A charge that
/// went over such a connection could be sent again by a client that takes the end for a stale
/// connection; the customer would pay twice.
#[actix_rt::test]
async fn can_send_a_charge_over_a_fresh_connection_once() {
    tokio::time::pause();
    // The first answer keeps the connection; each request after it is read, run and cut.
    let script = |n| if n < 2 { good(Kind::Whole) } else { vec![Step::Run, Step::Close] };
    let site = Pair::start(script).await;
    for _ in 0..2 {
        assert_eq!(site.call(Kind::Whole).await.outcome, "complete");
    }
    let told = site.call(Kind::Charge).await;
    assert_eq!(told.outcome, "unknown");
    let heads = site.heads();
    assert_eq!(heads.len(), 3, "the charge was sent again");
    assert!(heads[2].contains("connection: close"));
}

/// An engine resets a stream in the middle, and the other has another version of the models. Guards against an answer
/// that is joined from two versions.
#[actix_rt::test]
async fn a_stream_isnt_resumed_at_another_version() {
    tokio::time::pause();
    for (versions, servers) in [(["7", "7"], 2), (["7", "8"], 1)] {
        let steps = |n| {
            if n == 0 { script("reset in the middle", Kind::Stream) } else { resumed(0) }
        };
        let lines = versions.map(|version| format!("resumes = true\nversion = \"{version}\""));
        let site = Pair::with_each(&lines, steps).await;
        let told = site.call(Kind::Stream).await;
        assert_eq!(told.outcome, "complete", "{versions:?}: {}", told.text);
        assert_eq!(site.servers_used(), servers, "{versions:?}");
    }
}

/// An engine crashes in the middle of a stream, and another that can goes on with it. The caller
/// reads one stream with each token once.
#[actix_rt::test]
async fn can_resume_a_stream_elsewhere() {
    tokio::time::pause();
    let faults =
        ["reset in the middle", "closed in the middle", "silent in the middle", "no end mark"];
    for fault in faults {
        let steps = move |n| if n == 0 { script(fault, Kind::Stream) } else { resumed(0) };
        let site = Pair::with("resumes = true", steps).await;
        let told = site.call(Kind::Stream).await;
        check(fault, Kind::Stream, &told, site.runs());
        // Where all but the end mark came, what the second server repeats is left out.
        assert_eq!(told.outcome, "complete", "{fault}: {}", told.text);
        let second = &site.seen()[1];
        let mark = if fault == "no end mark" { "last-event-id: 1" } else { "last-event-id: 0" };
        assert!(second.head.contains(mark), "{fault}: {}", second.head);
        assert!(second.body.contains(r#""resume":"w0 "#), "{fault}: {}", second.body);
    }
}

/// The engine that goes on starts a token too early or too late. A caller would read a word twice
/// or miss one; it is told of a broken stream instead.
#[actix_rt::test]
async fn errors_on_a_seam_that_does_not_fit() {
    tokio::time::pause();
    let overlapping = good(Kind::Stream);
    let missing = vec![Step::Run, Step::Write(resumed_text(0).replace("id: 1", "id: 2"))];
    for steps in [overlapping, missing] {
        let fault = move |n| match n {
            0 => script("reset in the middle", Kind::Stream),
            _ => steps.clone(),
        };
        let site = Pair::with("resumes = true", fault).await;
        let told = site.call(Kind::Stream).await;
        check("seam", Kind::Stream, &told, site.runs());
        assert_eq!(told.outcome, "broken-off");
        assert_eq!(told.text.matches("w0 ").count(), 1);
        assert!(!told.text.contains("w1"));
    }
}

/// A caller goes away while its request waits for the first token, or reads. An idempotent request
/// is cancelled at the server at once; a charge goes on, since it can't be sent again.
#[actix_rt::test]
async fn can_cancel_only_what_may_be_repeated() {
    tokio::time::pause();
    let table = [
        ("before the answer", Kind::Whole, "silent", 0),
        ("before the first token", Kind::Stream, "silent", 0),
        ("in the stream", Kind::Stream, "silent in the middle", 0),
        ("a charge", Kind::Charge, "silent", 1),
        ("a charge in its stream", Kind::ChargeStream, "silent in the middle", 1),
    ];
    for (moment, kind, fault, open) in table {
        let site = Pair::start(move |_| script(fault, kind)).await;
        let mut caller =
            tokio::net::TcpStream::connect(site.router.caller_address()).await.unwrap();
        caller.write_all(&site::bytes(kind)).await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!((site.runs(), site.open()), (1, 1), "{moment}");
        drop(caller);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(site.open(), open, "{moment}");
        tokio::time::sleep(Duration::from_secs(60)).await;
        assert_eq!((site.runs(), site.open(), site.router.open_requests()), (1, 0, 0), "{moment}");
    }
}

/// Two streams of a low tier hold the only places when a request of a high tier comes. One of them is
/// stopped and goes on later where it stopped: its reader notices a pause and no more.
#[actix_rt::test]
async fn can_stop_a_stream_for_a_higher_tier() {
    tokio::time::pause();
    let steps = |n| match n {
        0 | 1 => script("silent in the middle", Kind::Stream),
        2 => good(Kind::Whole),
        _ => resumed(0),
    };
    let site = Pair::with("resumes = true\nslots = 1", steps).await;
    let draft = String::from_utf8(site::bytes(Kind::Stream)).unwrap();
    let draft = draft.replacen("\r\n\r\n", "\r\nx-class: draft\r\n\r\n", 1).into_bytes();
    let address = site.router.caller_address();
    let drafts = [draft.clone(), draft]
        .map(|bytes| actix_rt::spawn(async move { common::session(address, &bytes).await }));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = tokio::time::Instant::now();
    let told = site.call(Kind::Whole).await;
    assert_eq!(told.outcome, "complete", "{}", told.text);
    assert!(started.elapsed() < Duration::from_secs(2), "it waited for a place to come free");
    for stream in drafts {
        let told = site::told(&stream.await.unwrap());
        check("stopped", Kind::Stream, &told, 1);
        assert!(told.outcome == "complete" && told.whole, "{}", told.text);
    }
    assert_eq!(site.heads().iter().filter(|head| head.contains("last-event-id: 0")).count(), 2);
}

/// An engine hangs behind a front that keeps the connection alive with comments. The reader isn't
/// left waiting: the stream is given up after the longest silence, though bytes still come.
#[actix_rt::test]
async fn errors_on_a_stream_of_comments_only() {
    tokio::time::pause();
    let steps = |_| {
        let mut steps = script("silent in the middle", Kind::ChargeStream);
        steps.pop();
        for _ in 0..100 {
            steps.push(Step::Wait(Duration::from_secs(5)));
            steps.push(Step::Write("7\r\n: ping\n\r\n".to_string()));
        }
        steps
    };
    let site = Pair::start(steps).await;
    let started = tokio::time::Instant::now();
    let told = site.call(Kind::ChargeStream).await;
    check("comments", Kind::ChargeStream, &told, site.runs());
    assert_eq!(told.outcome, "broken-off", "{}", told.text);
    assert!(started.elapsed() < Duration::from_secs(60));
}

/// The platform is about to take a backend server's VM and marks it on the list. Nothing
/// new is sent there, or it would be cut with the VM and its caller wait for a retry.
#[actix_rt::test]
async fn can_leave_a_server_that_the_list_marks() {
    tokio::time::pause();
    let site = Pair::start(|_| good(Kind::Whole)).await;
    let mut before = [0, 0];
    for leaving in [0, 1, 0] {
        site.leave(leaving);
        tokio::time::sleep(Duration::from_secs(3)).await;
        for _ in 0..20 {
            assert_eq!(site.call(Kind::Whole).await.outcome, "complete");
        }
        before[1 - leaving] += 20;
        assert_eq!(site.received(), before, "{leaving} leaves");
    }
}

/// A server turns a request away and asks for rest. Guards against sending it others before its rest is over, and against
/// refusing them, as the other server takes them.
#[actix_rt::test]
async fn can_leave_a_server_alone_that_asks_for_rest() {
    tokio::time::pause();
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        let (asked, rest) = (Rc::new(Cell::new(None)), Duration::from_secs(5));
        let first = asked.clone();
        let declined = format!(
            "HTTP/1.1 {status}\r\nx-request-id: {{id}}\r\nx-not-run: true\r\nretry-after: 5\r\n\
             content-length: 0\r\n\r\n"
        );
        let site = Pair::start(move |number| {
            if number > 0 {
                return good(Kind::Charge);
            }
            first.set(Some(Instant::now()));
            vec![Step::Write(declined.clone())]
        })
        .await;
        for _ in 0..90 {
            assert_eq!(site.call(Kind::Charge).await.outcome, "complete");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let most = site.most_in_rest(asked.get().expect("a server that asked"), rest);
        assert!(most <= 2, "{status}: {most} requests in its rest");
    }
}

/// How the head of a good answer states the end of its body, and what else it may state.
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Answers all requests with `text`, and then with `end`.
async fn call_with(kind: Kind, text: &str, end: Step) -> (Told, u32) {
    let steps = vec![Step::Run, Step::Write(text.to_string()), end];
    let site = Pair::start(move |_| steps.clone()).await;
    let told = site.call(kind).await;
    (told, site.runs())
}

/// A server stops in the middle of a head. Guards against a part of a head that passes for an answer.
#[actix_rt::test]
async fn a_head_that_is_cut_is_no_answer() {
    tokio::time::pause();
    let others = ["content-length: 9\r\n", "transfer-encoding: identity\r\n", ""];
    let framings = others.map(|framing| (Kind::Charge, framing));
    for (kind, framing) in KINDS.map(|kind| (kind, CHUNKED)).into_iter().chain(framings) {
        let head = parts(kind)[0].replace(CHUNKED, framing);
        let bare = head.replace("\r\n", "\n");
        let ends = [
            (&head, Step::Close, 1),
            (&bare, Step::Close, 1),
            (&head, Step::Reset, 7),
            (&head, Step::Hang, 7),
        ];
        for (head, end, step) in ends {
            for cut in (0..head.len()).step_by(step) {
                let part = &head[..cut];
                let (told, runs) = call_with(kind, part, end.clone()).await;
                check(part, kind, &told, runs);
                assert_eq!(told.outcome, "unknown", "{kind:?}, {end:?}, {part:?}");
            }
        }
    }
}

/// A server answers in a coding that leaves the body as it is, or in HTTP/1.0. Guards against an empty body that passes for
/// the whole, and against one whose end nothing proves.
#[actix_rt::test]
async fn a_body_that_ends_with_its_connection_is_no_answer() {
    tokio::time::pause();
    for kind in [Kind::Whole, Kind::Charge, Kind::Desk] {
        for framing in ["", "transfer-encoding: identity\r\n"] {
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                let head = parts(kind)[0].replace(CHUNKED, framing).replace("HTTP/1.1", version);
                for body in [body(kind), String::new()] {
                    let text = format!("{head}{body}");
                    let (told, runs) = call_with(kind, &text, Step::Close).await;
                    check(&text, kind, &told, runs);
                    assert_eq!(told.outcome, "unknown", "{kind:?}, {text:?}");
                }
            }
        }
    }
}

/// A plain service answers with a stream whose end only its connection marks, and ends in the middle. Guards against a part
/// that passes for the whole.
#[actix_rt::test]
async fn a_plain_stream_that_ends_with_its_connection_is_broken_off() {
    tokio::time::pause();
    for framing in ["", "transfer-encoding: identity\r\n"] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let head =
                parts(Kind::Stream)[0].replace(CHUNKED, framing).replace("HTTP/1.1", version);
            for body in ["id: 0\ndata: w0 \n\n", ""] {
                let (told, runs) =
                    call_with(Kind::Desk, &format!("{head}{body}"), Step::Close).await;
                assert!(
                    !told.ended || told.outcome == "unknown",
                    "{framing:?}, {version}: {}",
                    told.text
                );
                assert_eq!(runs, 1);
            }
        }
    }
}

/// A server sends interim responses before its answer. Guards against one that is taken for the answer.
#[actix_rt::test]
async fn an_interim_response_before_an_answer_is_skipped() {
    tokio::time::pause();
    for kind in KINDS {
        for lines in ["", "x-request-id: {id}\r\nx-attempt: {attempt}\r\n", "x-not-run: true\r\n"] {
            for status in ["100 Continue", "103 Early Hints"] {
                let interim = format!("HTTP/1.1 {status}\r\n{lines}\r\n");
                let text = interim.repeat(2) + &parts(kind).concat();
                let (told, runs) = call_with(kind, &text, Step::Hang).await;
                assert_eq!((&*told.outcome, runs), ("complete", 1), "{kind:?}, {}", told.text);
                assert!(told.whole, "{kind:?}, {}", told.text);
                let (told, runs) = call_with(kind, &interim, Step::Close).await;
                check(&interim, kind, &told, runs);
                assert_eq!(told.outcome, "unknown", "{kind:?}, {}", told.text);
            }
        }
    }
}
