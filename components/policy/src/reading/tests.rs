use std::time::{Duration, Instant};

use super::Reading;

/// A long prompt is sent to an engine and one more would wait behind it. Counted as one request, the
/// engine would look idle.
#[test]
fn what_was_sent_is_waited_for_until_it_begins() {
    let (mut reading, now) = (Reading::default(), Instant::now());
    reading.sent(0.5);
    assert!(reading.backlog(now) >= 0.5);
    reading.begun(0.5, 0.6, now);
    assert!(reading.backlog(now) < 0.1);
}

/// Other nodes fill an engine unheard. First tokens that come late tell of it, and the belief fades
/// once nothing more is seen, so that the engine is used again.
#[test]
fn late_first_tokens_tell_of_work_that_others_sent() {
    let (mut reading, now) = (Reading::default(), Instant::now());
    for _ in 0..20 {
        reading.begun(0.0, 0.1, now);
    }
    assert!(reading.backlog(now) < 0.05);
    for _ in 0..3 {
        reading.begun(0.0, 1.1, now);
    }
    assert!(reading.backlog(now) > 0.5);
    assert!(reading.backlog(now + Duration::from_secs(5)) < 0.01);
}
