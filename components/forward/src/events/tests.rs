use super::Scan;

/// Events arrive cut anywhere; only whole ones are passed on, and nothing is lost.
#[test]
fn whole_events_come_out_however_they_are_cut() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: note\n\nid: 5\ndata: c\n\n";
    for cut in 0..text.len() {
        let mut scan = Scan::default();
        let mut out = String::new();
        for part in [&text[..cut], &text[cut..]] {
            if let Some(piece) = scan.push(part.as_bytes()).unwrap() {
                out.push_str(std::str::from_utf8(&piece.bytes).unwrap());
            }
        }
        assert_eq!(out, text);
        assert_eq!(scan.last(), Some(5));
    }
}

/// A server stops in the middle of an event. Its caller must not see the half of it, for another
/// server goes on after the last whole one.
#[test]
fn a_half_event_stays_back() {
    let mut scan = Scan::default();
    let piece = scan.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().unwrap();
    assert_eq!(&piece.bytes[..], b"id: 1\ndata: a\n\n");
    assert_eq!(scan.last(), Some(1));
}

/// The server that goes on sends an event again which the caller has. Twice in one stream, it would
/// be read as two pieces of the answer.
#[test]
fn events_that_were_passed_on_are_left_out() {
    let mut scan = Scan::after(Some(2));
    let piece = scan.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n").unwrap().unwrap();
    assert_eq!(&piece.bytes[..], b"id: 3\ndata: c\n\n");
}

/// Bytes of another answer get into a stream. Its ids run back, which no stream's own do.
#[test]
fn ids_that_run_back_are_disorder() {
    let mut scan = Scan::default();
    scan.push(b"id: 4\ndata: a\n\n").unwrap();
    assert!(scan.push(b"id: 4\ndata: a\n\n").is_err());
}
