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

/// A server has started again under another name. Guards against requests for the former one that are sent to it
/// again and again.
#[test]
fn a_misdirecting_server_is_ejected_at_once() {
    let (mut health, start) = (Health::default(), Instant::now());
    health.record_misdirected(start, start, 0.5);
    assert!(health.is_ejected(start) && health.is_misdirecting());
    let ejected_until = health.ejected_until;
    let later = start + Duration::from_millis(10);
    health.record_misdirected(start - Duration::from_millis(1), later, 0.5);
    assert_eq!(health.ejected_until, ejected_until, "attempts that were sent together count once");
    health.record_response();
    assert!(!health.is_ejected(later) && !health.is_misdirecting());
}
