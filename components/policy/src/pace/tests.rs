use std::time::{Duration, Instant};

use super::Pace;

/// An engine turns five times slower. A few first tokens tell of it, and it is believed to be slow until
/// nothing was seen of it for a while: then it is tried again.
#[test]
fn a_slow_engine_is_known_by_a_few_first_tokens() {
    let (mut pace, now) = (Pace::default(), Instant::now());
    for _ in 0..6 {
        pace.add(1.5, 0.3, now);
    }
    assert!(pace.ratio(&Pace::default(), 1.0, now) > 3.5);
    assert!(pace.ratio(&Pace::default(), 1.0, now + Duration::from_secs(20)) < 1.2);
}

/// Short prompts take longer than expected for reasons that long ones don't share. A dozen of them say
/// little of how an engine reads.
#[test]
fn short_prompts_say_little() {
    let (mut pace, now) = (Pace::default(), Instant::now());
    for _ in 0..12 {
        pace.add(0.01, 0.002, now);
    }
    assert!(pace.ratio(&Pace::default(), 1.0, now) < 1.3);
}

/// A node sees one request in many of an engine. What others saw counts as its own.
#[test]
fn what_others_saw_counts() {
    let (mut others, now) = (Pace::default(), Instant::now());
    for _ in 0..6 {
        others.add(1.5, 0.3, now);
    }
    let (sum, weight) = others.faded(now);
    let heard = Pace::of(sum, weight, now);
    assert!(Pace::default().ratio(&heard, 1.0, now) > 3.5);
}

/// Nothing was seen of an engine. It is taken to be like the others, whatever these are.
#[test]
fn an_unknown_engine_is_like_the_others() {
    let now = Instant::now();
    let ratio = Pace::default().ratio(&Pace::default(), 2.0, now);
    assert!((ratio - 2.0).abs() < 1e-9);
}
