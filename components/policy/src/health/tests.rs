use std::time::{Duration, Instant};

use super::Health;

/// Guards against going on with a server that fails a third of its requests, never enough in a row to be
/// ejected. Its failure rate shows that, and fades once it has recovered or is unused.
#[test]
fn the_failure_rate_rises_and_fades() {
    let (mut health, now) = (Health::default(), Instant::now());
    for n in 0..60 {
        health.record_outcome(n % 3 != 0, now);
    }
    let rate = health.failure_rate(now);
    assert!((0.15..0.5).contains(&rate), "{rate}");
    assert!(health.failure_rate(now + Duration::from_secs(30)) < 0.01);
    for _ in 0..60 {
        health.record_outcome(true, now);
    }
    assert!(health.failure_rate(now) < 0.01);
}
