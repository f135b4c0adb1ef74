//! Tests that shares of a budget hold no more than it allows, whatever they do.

use buffers::{ALLOWANCE, Budget, Buffer, Share};
use proptest::prelude::*;

const CAPACITY: usize = 1 << 20;
/// Size to which one answer is buffered.
const LARGE: usize = 256 << 10;

/// Guards against bytes that are counted twice, or not given back: the budget fills up without a buffer, or never does.
#[test]
fn shares_never_hold_more_than_the_budget() {
    let steps = prop::collection::vec((0..12_usize, 0..LARGE, 0..3_u8), 1..400);
    proptest!(|(steps in steps)| {
        let budget = Budget::new(CAPACITY);
        let mut shares: Vec<Share> = (0..12).map(|_| budget.share()).collect();
        for (index, bytes, what) in steps {
            let before = shares[index].bytes();
            match what {
                0 => drop(std::mem::replace(&mut shares[index], budget.share())),
                1 => {
                    let part = shares[index].split(bytes);
                    shares[(index + 1) % 12] = part;
                }
                _ => {
                    let resized = shares[index].resize(bytes);
                    prop_assert!(resized.is_ok() || bytes > before.max(ALLOWANCE));
                    prop_assert_eq!(shares[index].bytes(), if resized.is_ok() { bytes } else { before });
                }
            }
            let held: usize = shares.iter().map(|share| share.bytes().saturating_sub(ALLOWANCE)).sum();
            prop_assert_eq!(budget.held(), held);
            prop_assert!(held <= CAPACITY);
        }
        drop(shares);
        prop_assert_eq!(budget.held(), 0);
    });
}

/// Guards against buffers without end that leave nothing to the next one.
#[test]
fn many_buffers_without_end_leave_room_to_begin() {
    let budget = Budget::new(CAPACITY);
    let mut endless: Vec<_> = (0..500).map(|_| Buffer::new(budget.share())).collect();
    for _ in 0..100 {
        for buffer in &mut endless {
            let _ = buffer.push(&[0; 3 << 10]);
        }
    }
    assert!(budget.held() <= CAPACITY);
    let mut next = Buffer::new(budget.share());
    next.push(&[0; ALLOWANCE]).unwrap();
}

/// Guards against a large answer that is refused while nothing else is buffered.
#[test]
fn a_buffer_alone_may_be_large() {
    let mut buffer = Buffer::new(Budget::new(14 * CAPACITY).share());
    for _ in 0..LARGE >> 10 {
        buffer.push(&[0; 1 << 10]).unwrap();
    }
    assert_eq!(buffer.len(), LARGE);
}
