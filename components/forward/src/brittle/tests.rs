use std::time::{Duration, Instant};

use super::{Services, UPDATE_PAUSE};

/// A service stops saying that it is brittle. An answer that it made before it said so must not end that.
#[test]
fn a_statement_ends_with_an_answer_to_a_later_request() {
    let (services, start) = (Services::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!services.record("desk", false, at(0), at(1)));
    assert!(services.record("desk", true, at(0), at(10)) && services.contains("desk"));
    assert!(!services.record("desk", false, at(9), at(20)) && services.contains("desk"));
    assert!(services.record("desk", false, at(11), at(30)) && !services.contains("desk"));
}

/// Each of many answers says that the service is brittle. The scheduler must not be updated for each.
#[test]
fn repeated_statements_update_the_scheduler_at_times() {
    let (services, start) = (Services::default(), Instant::now());
    assert!(services.record("desk", true, start, start));
    assert!(!services.record("desk", true, start, start + UPDATE_PAUSE / 2));
    assert!(services.record("desk", true, start, start + UPDATE_PAUSE));
}
