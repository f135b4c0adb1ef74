//! Tests what a response shows about the process that gave an answer.

use endings::{Finding, Process, Proof, Testimony};

fn judge(known: Option<u64>, testimony: Testimony) -> Finding {
    Process { name: "a".to_string(), start: known }.judge(&testimony)
}

/// A server that was started again declines the question before it says when it started, or another server at the address
/// does. That counted as proof that the process runs which gave the answer.
#[test]
fn a_process_whose_start_is_known_must_state_it() {
    let named = |name: &str| Some(name.to_string());
    for (known, name, stated, expected) in [
        (Some(7), None, Some(7), Finding::Runs(Proof::Start)),
        (Some(7), named("a"), Some(9), Finding::Ended),
        (Some(7), None, None, Finding::Unknown),
        (Some(7), named("a"), None, Finding::Unknown),
        (None, named("a"), Some(7), Finding::Runs(Proof::Name)),
        (None, named("a"), None, Finding::Runs(Proof::Name)),
        (None, None, None, Finding::Runs(Proof::Address)),
    ] {
        let testimony = Testimony { name, start: stated, ..Testimony::default() };
        assert_eq!(judge(known, testimony.clone()), expected, "{known:?} {testimony:?}");
    }
}

/// Another server responds at the address of one that has ended.
#[test]
fn another_server_shows_that_the_process_has_ended() {
    let start = Some(7);
    for (name, misdirected) in [(Some("b"), false), (None, true), (Some("a"), true)] {
        let name = name.map(str::to_string);
        let testimony = Testimony { name, start, misdirected, ..Testimony::default() };
        assert_eq!(judge(start, testimony), Finding::Ended);
    }
}

/// A second copy of an earlier answer arrives in place of the response. It was sent before the server was killed.
#[test]
fn an_answer_to_a_request_shows_nothing() {
    for start in [None, Some(7)] {
        let testimony = Testimony { start, unrelated: true, ..Testimony::default() };
        assert_eq!(judge(start, testimony), Finding::Unknown);
    }
}
