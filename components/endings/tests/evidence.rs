//! Tests what a response shows about the process that gave an answer.

use endings::{Channel, Finding, Process, Proof, Testimony};

fn judge(known: Option<u64>, testimony: Testimony) -> Finding {
    Process { name: "a".to_string(), start: known }.judge(&testimony)
}

/// A server that doesn't state its start is taken for another process, or one that states another start for the same.
#[test]
fn the_start_counts_only_if_both_are_known() {
    for (known, stated, earlier, later) in [
        (Some(7), Some(7), Finding::Runs(Proof::Start), Finding::Runs(Proof::Start)),
        (Some(7), Some(9), Finding::Ended, Finding::Ended),
        (Some(7), None, Finding::Runs(Proof::Connection), Finding::Runs(Proof::Name)),
        (None, Some(7), Finding::Runs(Proof::Connection), Finding::Runs(Proof::Name)),
        (None, None, Finding::Runs(Proof::Connection), Finding::Runs(Proof::Name)),
    ] {
        for (channel, expected) in [(Channel::Earlier, earlier), (Channel::Later, later)] {
            let testimony = Testimony { channel, name: None, start: stated, misdirected: false };
            assert_eq!(judge(known, testimony), expected, "{known:?} {stated:?} {channel:?}");
        }
    }
}

/// Another server responds at the address of one that has ended.
#[test]
fn another_server_shows_that_the_process_has_ended() {
    let start = Some(7);
    for (name, misdirected) in [(Some("b"), false), (None, true), (Some("a"), true)] {
        let name = name.map(str::to_string);
        let testimony = Testimony { channel: Channel::Earlier, name, start, misdirected };
        assert_eq!(judge(start, testimony), Finding::Ended);
    }
}
