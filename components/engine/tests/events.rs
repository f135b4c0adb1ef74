//! Tests the parser of event streams with valid, truncated, altered and arbitrary bytes, split at
//! arbitrary positions.

use engine::{Parser, StreamError};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const REQUEST_ID: &str = "a";

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    }
}

fn event(number: usize, finish: bool) -> String {
    let finish = if finish { "\"stop\"" } else { "null" };
    format!(
        "id: {number}\ndata: {{\"id\":\"{REQUEST_ID}\",\"choices\":[{{\"index\":0,\
         \"delta\":{{\"content\":\"w{number} \"}},\"finish_reason\":{finish}}}]}}\n\n"
    )
}

fn events(count: usize) -> Vec<String> {
    let mut all: Vec<_> = (0..count).map(|number| event(number, number + 1 == count)).collect();
    all.push("data: [DONE]\n\n".to_string());
    all
}

/// Feeds bytes in chunks that end at the given positions. Returns the bytes of the accepted events,
/// and whether the parser returned no error.
fn feed(parser: &mut Parser, bytes: &[u8], cuts: &[prop::sample::Index]) -> (Vec<u8>, bool) {
    let mut ends: Vec<_> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut accepted = vec![];
    let mut from = 0;
    for end in ends {
        match parser.feed(&bytes[from..end]) {
            Ok(batch) => accepted.extend_from_slice(&batch.bytes),
            Err(_) => return (accepted, false),
        }
        from = end;
    }
    (accepted, true)
}

proptest! {
    #![proptest_config(config())]

    /// An engine or the network may split a stream into chunks of any size. The caller must receive
    /// the same bytes.
    #[test]
    fn can_read_a_stream_in_any_pieces(
        count in 1usize..20,
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let bytes = events(count).concat().into_bytes();
        let mut parser = Parser::new(REQUEST_ID);
        let (accepted, valid) = feed(&mut parser, &bytes, &cuts);
        prop_assert!(valid && parser.is_done());
        prop_assert_eq!(accepted, bytes);
    }

    /// A stream that ends early, after any byte, must not count as complete, and only complete
    /// events may be passed on.
    #[test]
    fn can_tell_a_stream_that_ends_early(
        count in 1usize..20,
        cut in any::<prop::sample::Index>(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let bytes = events(count).concat().into_bytes();
        let bytes = &bytes[..cut.index(bytes.len())];
        let mut parser = Parser::new(REQUEST_ID);
        let (accepted, _) = feed(&mut parser, bytes, &cuts);
        prop_assert!(!parser.is_done());
        prop_assert!(accepted.is_empty() || accepted.ends_with(b"\n\n"));
    }

    /// If an engine skips an event, repeats one, or sends one of another request, the stream must
    /// end in an error, and no wrong event may be passed on before.
    #[test]
    fn errors_on_a_stream_that_was_tampered_with(
        count in 3usize..20,
        at in any::<prop::sample::Index>(),
        fault in 0..3,
    ) {
        let original = events(count);
        let at = at.index(count - 2) + 1;
        let mut all = original.clone();
        match fault {
            0 => drop(all.remove(at)),
            1 => all.insert(at, original[at].clone()),
            _ => all[at] = original[at].replace("\"id\":\"a\"", "\"id\":\"b\""),
        }
        let mut parser = Parser::new(REQUEST_ID);
        let (accepted, valid) = feed(&mut parser, all.concat().as_bytes(), &[]);
        prop_assert!(!valid && !parser.is_done());
        prop_assert!(original.concat().as_bytes().starts_with(&accepted));
    }

    /// Arbitrary bytes must be rejected or buffered, and must never count as a complete answer.
    #[test]
    fn can_take_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut parser = Parser::new(REQUEST_ID);
        feed(&mut parser, &bytes, &[]);
        prop_assert!(!parser.is_done());
    }
}

/// If an engine never ends an event or its answer, the stream must fail before it fills the
/// router's memory.
#[test]
fn errors_on_an_endless_event_or_answer() {
    let mut parser = Parser::new(REQUEST_ID);
    let chunk = vec![b'x'; 64 << 10];
    let too_large = (0..64).find_map(|_| parser.feed(&chunk).err());
    assert_eq!(too_large, Some(StreamError::TooLarge));
    let mut parser = Parser::new(REQUEST_ID);
    let long = event(0, false).replace("id: 0\n", "").replace("w0", &"w".repeat(60 << 10));
    let too_long = (0..1_000).find_map(|_| parser.feed(long.as_bytes()).err());
    assert_eq!(too_long, Some(StreamError::TooLong));
}

/// An answer with several choices is complete only once each has a finish reason.
#[test]
fn can_wait_for_every_choice() {
    let choice = |index, finish: &str| {
        format!(
            "data: {{\"id\":\"a\",\"choices\":[{{\"index\":{index},\"text\":\"x\",\
             \"finish_reason\":{finish}}}]}}\n\n"
        )
    };
    let text = [choice(0, "null"), choice(1, "null"), choice(0, "\"stop\"")].concat();
    let mut parser = Parser::new(REQUEST_ID);
    parser.feed(text.as_bytes()).unwrap();
    assert_eq!(parser.clone().feed(b"data: [DONE]\n\n"), Err(StreamError::Unfinished));
    parser.feed(choice(1, "\"length\"").as_bytes()).unwrap();
    parser.feed(b"data: [DONE]\n\n").unwrap();
    assert!(parser.is_done());
}
