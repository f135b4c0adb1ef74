//! Answers with and without the longest life of a stream, beside nodes that don't know it.

use wire::origins::Answer;

/// Guards against an answer of an earlier release that can't be read, or is taken to state a life.
#[test]
fn an_answer_without_a_life_states_none() {
    let plain = Answer { boot: 7, followed_ms: 20, ..Answer::default() };
    let bytes = plain.encode();
    let holds = |field: u8| bytes.windows(2).any(|window| window == [0xa1_u8, field]);
    assert!(!holds(b'l') && !holds(b'e'));
    let read = Answer::decode(&bytes).unwrap();
    assert_eq!((read.boot, read.longest_ms, read.left_ms), (7, 0, 0));
    let stated = Answer { longest_ms: 401_000, left_ms: 12_000, ..plain };
    let read = Answer::decode(&stated.encode()).unwrap();
    assert_eq!((read.longest_ms, read.left_ms), (401_000, 12_000));
}
