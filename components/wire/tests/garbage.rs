//! Tests that arbitrary or damaged bytes from a peer are decoded or refused without a panic.

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngSeed};
use wire::{Frame, Handover, InFlight, KeyedCall, handover, hop};

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    }
}

fn frame() -> Frame {
    let in_flight = (0..9).map(|key| InFlight { key, count: key + 1 }).collect();
    Frame { from: "entry-0".into(), incarnation: 7, in_flight, ..Default::default() }
}

fn handover() -> Handover {
    let answer = handover::Answer { status: 200, media: "a/b".into(), body: vec![1, 2, 3] };
    let call = handover::Call { workspace: "w".into(), key: "k".into(), answer: Some(answer) };
    Handover { calls: vec![call] }
}

/// Decodes the bytes as each type of message; returns how many types accepted them.
fn decode_all(bytes: &[u8]) -> usize {
    let accepted = [
        Frame::decode(bytes).is_ok(),
        KeyedCall::decode(bytes).is_ok(),
        Handover::decode(bytes).is_ok(),
        hop::Request::decode(bytes).is_ok(),
    ];
    accepted.into_iter().filter(|accepted| *accepted).count()
}

proptest! {
    #![proptest_config(config())]

    // A peer, or someone who has its secret, sends random bytes. The message must be refused without a
    // panic, and no length in it may make the router allocate memory.
    #[test]
    fn can_read_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_all(&bytes);
    }

    // A message arrives with one byte changed, which network checksums sometimes fail to detect. It may
    // be decoded as something else or refused.
    #[test]
    fn can_read_a_message_with_a_changed_byte(at in any::<Index>(), byte in any::<u8>()) {
        for mut bytes in [frame().encode(), handover().encode()] {
            let at = at.index(bytes.len());
            bytes[at] = byte;
            decode_all(&bytes);
        }
    }

    // A connection ends in the middle of a message. If the part were accepted, it would report less work
    // than the peer has, or hand over fewer keys than an owner had.
    #[test]
    fn errors_on_a_part_of_a_message(at in any::<Index>()) {
        for bytes in [frame().encode(), handover().encode()] {
            prop_assert_eq!(decode_all(&bytes[..at.index(bytes.len())]), 0);
        }
    }
}
