use http_client::Delimiter;

use super::{Gap, Source, Splitter, Truncated};

/// The network may cut the stream at any byte. Only whole events are returned, and none is lost.
#[test]
fn whole_events_come_out_however_they_are_cut() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: note\n\nid: 5\ndata: c\n\n";
    for cut in 0..text.len() {
        let mut splitter = Splitter::default();
        let mut out = String::new();
        for part in [&text[..cut], &text[cut..]] {
            if let Some(batch) = splitter.push(part.as_bytes()).unwrap() {
                out.push_str(std::str::from_utf8(&batch.bytes).unwrap());
            }
        }
        assert_eq!(out, text);
        assert_eq!(splitter.last_id(), Some(5));
    }
}

/// A server stops in the middle of an event. The caller must not receive the incomplete event, since
/// another server continues after the last whole one.
#[test]
fn an_incomplete_event_is_not_returned() {
    let mut splitter = Splitter::default();
    let batch = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().unwrap();
    assert_eq!(&batch.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
}

/// The server that continues a stream repeats an event that the caller already has. Sent twice, it
/// would be taken for two pieces of the answer.
#[test]
fn events_already_sent_are_skipped() {
    let mut splitter = Splitter::resuming_after(Some(2));
    let batch = splitter.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n").unwrap().unwrap();
    assert_eq!(&batch.bytes[..], b"id: 3\ndata: c\n\n");
}

/// Bytes of another answer are mixed into a stream, so its event ids stop increasing.
#[test]
fn ids_that_do_not_increase_are_an_error() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 4\ndata: a\n\n").unwrap();
    assert!(splitter.push(b"id: 4\ndata: a\n\n").is_err());
}

/// A stream ends inside an event, or inside the empty line after it. What arrived isn't a complete answer,
/// however the end of the body is marked.
#[test]
fn a_stream_that_ends_inside_an_event_is_truncated() {
    for line_end in ["\n", "\r\n", "\r"] {
        let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".replace('\n', line_end);
        for delimiter in [Delimiter::Length, Delimiter::Connection] {
            for end in text.len() / 2 + 1..text.len() {
                let mut splitter = Splitter::default();
                splitter.push(&text.as_bytes()[..end]).unwrap();
                let cut = end - text.len() / 2;
                assert_eq!(splitter.finish(delimiter), Err(Truncated::InsideEvent(cut)), "{end}");
            }
            let mut splitter = Splitter::default();
            splitter.push(text.as_bytes()).unwrap();
            assert_eq!(splitter.finish(delimiter), Ok("".into()));
        }
    }
}

/// A connection ends right after the head of a response without a length. Nothing shows that the stream
/// was meant to be empty; a length of 0, or an event that the caller already has, does.
#[test]
fn an_unframed_stream_without_events_is_truncated() {
    let mut splitter = Splitter::default();
    assert_eq!(splitter.finish(Delimiter::Connection), Err(Truncated::BeforeFirstEvent));
    assert_eq!(splitter.finish(Delimiter::Length), Ok("".into()));
    let mut resumed = Splitter::resuming_after(Some(3));
    assert_eq!(resumed.finish(Delimiter::Connection), Ok("".into()));
}

/// Comments and line breaks after the last event belong to no event, so the answer is complete and they
/// are passed on.
#[test]
fn a_comment_may_follow_the_last_event() {
    for rest in [": end\n", "\n", "\r\n: end\r\n"] {
        let mut splitter = Splitter::default();
        splitter.push(b"id: 1\ndata: a\n\n").unwrap();
        splitter.push(rest.as_bytes()).unwrap();
        assert_eq!(splitter.finish(Delimiter::Connection), Ok(rest.into()));
    }
    let mut cut = Splitter::default();
    cut.push(b"id: 1\ndata: a\n\n: en").unwrap();
    assert_eq!(cut.finish(Delimiter::Connection), Err(Truncated::InsideEvent(4)));
}

/// A server whose numbering isn't known yet.
fn source() -> Source {
    Source { server: 1, numbering: Default::default() }
}

/// An event is missing, and the network cuts the stream at any byte. Guards against losing what came before it, and
/// against passing on what follows.
#[test]
fn events_before_a_gap_come_out_and_no_others() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n";
    for cut in 0..text.len() {
        let mut splitter = Splitter::default().sent_by(source());
        let mut out = String::new();
        for part in [&text[..cut], &text[cut..]] {
            if let Some(batch) = splitter.push(part.as_bytes()).unwrap() {
                out.push_str(std::str::from_utf8(&batch.bytes).unwrap());
            }
        }
        assert_eq!(out, text[..text.len() / 2], "{cut}");
        assert_eq!(splitter.last_id(), Some(2));
        assert_eq!(splitter.gap(), Some(Gap { id: 4, last: Some(2) }));
    }
}

/// The server that continues a stream repeats events that the caller has, in part or beyond. Guards against taking what
/// it leaves out of these for a missing event.
#[test]
fn events_that_the_caller_has_arent_missing() {
    let event = |id: u64| format!("id: {id}\ndata: {id}\n\n");
    for repeated in [vec![], vec![3], vec![2], vec![1, 3], vec![1, 2, 3]] {
        let mut splitter = Splitter::resuming_after(Some(3)).sent_by(source());
        splitter.source.as_ref().unwrap().numbering.borrow_mut().judge(
            2,
            endings::Before::Nothing,
            1,
        );
        let text: String = repeated.iter().copied().chain([4, 5, 7]).map(event).collect();
        let batch = splitter.push(text.as_bytes()).unwrap().unwrap();
        assert_eq!(&batch.bytes[..], (event(4) + &event(5)).as_bytes(), "{repeated:?}");
        assert_eq!(splitter.gap(), Some(Gap { id: 7, last: Some(5) }), "{repeated:?}");
    }
}
