use std::time::{Duration, Instant};

use super::{Estimator, FirstToken, Peers};

/// A long prompt is sent to an engine and one more would wait behind it. Counted as one request, the
/// engine would look idle.
#[test]
fn what_was_sent_is_waited_for_until_it_begins() {
    let (mut reading, now) = (Estimator::default(), Instant::now());
    reading.sent(0, 0.5);
    assert!(reading.backlog(0, now) >= 0.5);
    reading.record_first_token(
        FirstToken { priority: 0, prefill: 0.5, queued_ahead: 0.0, took: 0.6 },
        now,
    );
    assert!(reading.backlog(0, now) < 0.1);
}

/// Other nodes fill an engine unheard. First tokens that come late tell of it, and the belief fades
/// once nothing more is seen, so that the engine is used again.
#[test]
fn late_first_tokens_tell_of_work_that_others_sent() {
    let (mut reading, now) = (Estimator::default(), Instant::now());
    for _ in 0..20 {
        reading.record_first_token(
            FirstToken { priority: 0, prefill: 0.0, queued_ahead: 0.0, took: 0.1 },
            now,
        );
    }
    assert!(reading.backlog(0, now) < 0.05);
    for _ in 0..3 {
        reading.record_first_token(
            FirstToken { priority: 0, prefill: 0.0, queued_ahead: 0.0, took: 1.1 },
            now,
        );
    }
    assert!(reading.backlog(0, now) > 0.5);
    assert!(reading.backlog(0, now + Duration::from_secs(5)) < 0.01);
}

/// Three nodes send prompts to one engine at once. Each would see but its own, and send a fourth that
/// waits for all of them; told of the others' it knows, and forgets once nothing more is heard.
#[test]
fn what_others_sent_is_waited_for_while_it_is_heard() {
    let (mut reading, now) = (Estimator::default(), Instant::now());
    reading.sent(3, 0.2);
    let mut others = Peers::default();
    others.work.add(3, 0.4);
    reading.received(others, now);
    assert!((reading.backlog(3, now) - 0.6).abs() < 1e-9);
    assert!(reading.backlog(3, now + Duration::from_secs(2)) < 0.21);
}

/// Long prompts of low urgency wait at an engine. A short urgent one is read before them, so it must
/// not be sent away for their sake.
#[test]
fn less_urgent_prompts_are_not_waited_for() {
    let (mut reading, now) = (Estimator::default(), Instant::now());
    reading.sent(6, 2.0);
    assert_eq!(reading.backlog(3, now), 0.0);
    assert_eq!(reading.backlog(6, now), 2.0);
}

/// Drafts of the lowest class wait for seconds at a full engine, and streams are read before them. What the drafts
/// were seen to wait must not send streams away.
#[test]
fn waits_of_less_urgent_prompts_tell_nothing() {
    let (mut reading, now) = (Estimator::default(), Instant::now());
    for priority in [0, 6] {
        reading.record_first_token(
            FirstToken { priority, prefill: 0.0, queued_ahead: 0.0, took: 0.1 },
            now,
        );
    }
    for _ in 0..10 {
        reading.record_first_token(
            FirstToken { priority: 6, prefill: 0.0, queued_ahead: 0.0, took: 5.1 },
            now,
        );
    }
    assert!(reading.backlog(0, now) < 0.01);
    assert!(reading.backlog(6, now) > 3.0);
    assert!(reading.backlog(7, now) > 3.0);
}
