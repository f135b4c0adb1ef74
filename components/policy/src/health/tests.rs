use std::time::{Duration, Instant};

use super::Health;

/// A server fails a third of its requests and answers the rest, so it is never left out. Its part of
/// failures tells of it, and fades once it is well or unused.
#[test]
fn a_part_that_fails_is_seen_and_forgotten() {
    let (mut health, now) = (Health::default(), Instant::now());
    for n in 0..60 {
        health.record_outcome(n % 3 != 0, now);
    }
    let faults = health.failure_rate(now);
    assert!((0.15..0.5).contains(&faults), "{faults}");
    assert!(health.failure_rate(now + Duration::from_secs(30)) < 0.01);
    for _ in 0..60 {
        health.record_outcome(true, now);
    }
    assert!(health.failure_rate(now) < 0.01);
}
