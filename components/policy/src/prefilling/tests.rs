use std::time::{Duration, Instant};

use super::{ASSUMED_SECONDS, Interval, LIFETIME, Samples};

/// A single long pause, as of an engine that hung, moves no class to other engines.
#[test]
fn one_outlier_doesnt_move_the_median() {
    let (mut samples, now) = (Samples::default(), Instant::now());
    for seconds in [0.03, 0.031, 0.032, 0.033, 4.0] {
        samples.record(seconds, now);
    }
    assert_eq!(samples.median(now), Interval { seconds: 0.032, samples: 5 });
}

/// Measurements from before a change of the engines expire.
#[test]
fn measurements_expire() {
    let (mut samples, now) = (Samples::default(), Instant::now());
    samples.record(0.03, now);
    assert_eq!(samples.median(now + LIFETIME), Interval::default());
    assert_eq!(samples.median(now + LIFETIME - Duration::from_millis(1)).samples, 1);
}

/// A few measurements, or ones near the assumed interval, leave classes where they are.
#[test]
fn the_assumed_interval_applies_unless_many_measurements_differ() {
    let seconds = |seconds, samples| Interval { seconds, samples }.effective_seconds();
    assert_eq!(seconds(0.03, 5), ASSUMED_SECONDS);
    assert_eq!(seconds(0.066, 500), ASSUMED_SECONDS);
    assert_eq!(seconds(0.03, 500), 0.03);
}
