use std::time::{Duration, Instant};

use super::{Estimator, FirstToken, Peers};

/// A prompt that was sent counts with its prefill time until its first token. If it counted as one request,
/// an engine with one long prompt would look idle.
#[test]
fn a_sent_prompt_counts_until_its_first_token() {
    let (mut prefill, now) = (Estimator::default(), Instant::now());
    prefill.prompt_sent(0, 0.5);
    assert!(prefill.backlog(0, now) >= 0.5);
    prefill.record_first_token(
        FirstToken { priority: 0, prefill: 0.5, queued_ahead: 0.0, took: 0.6 },
        now,
    );
    assert!(prefill.backlog(0, now) < 0.1);
}

/// Prompts of other nodes that weren't reported show in late first tokens. The estimated wait decays once no
/// more of them come, so that the engine is used again.
#[test]
fn late_first_tokens_show_unreported_work() {
    let (mut prefill, now) = (Estimator::default(), Instant::now());
    for _ in 0..20 {
        prefill.record_first_token(
            FirstToken { priority: 0, prefill: 0.0, queued_ahead: 0.0, took: 0.1 },
            now,
        );
    }
    assert!(prefill.backlog(0, now) < 0.05);
    for _ in 0..3 {
        prefill.record_first_token(
            FirstToken { priority: 0, prefill: 0.0, queued_ahead: 0.0, took: 1.1 },
            now,
        );
    }
    assert!(prefill.backlog(0, now) > 0.5);
    assert!(prefill.backlog(0, now + Duration::from_secs(5)) < 0.01);
}

/// Prompts that other nodes reported count as well, until the report is too old. Otherwise, when several nodes
/// send to one engine at once, the next prompt would wait for all of theirs.
#[test]
fn reported_prompts_of_other_nodes_count_for_a_while() {
    let (mut prefill, now) = (Estimator::default(), Instant::now());
    prefill.prompt_sent(3, 0.2);
    let mut peers = Peers::default();
    peers.queued.add(3, 0.4);
    prefill.set_peers(peers, now);
    assert!((prefill.backlog(3, now) - 0.6).abs() < 1e-9);
    assert!(prefill.backlog(3, now + Duration::from_secs(2)) < 0.21);
}

/// Long prompts of low priority don't count for a short one of high priority, which is prefilled before them and
/// must not be sent elsewhere because of them.
#[test]
fn prompts_of_lower_priority_do_not_count() {
    let (mut prefill, now) = (Estimator::default(), Instant::now());
    prefill.prompt_sent(6, 2.0);
    assert_eq!(prefill.backlog(3, now), 0.0);
    assert_eq!(prefill.backlog(6, now), 2.0);
}

/// At a full engine, prompts of the lowest class wait for seconds while streams are prefilled before them. That
/// wait must not send streams away.
#[test]
fn waits_of_lower_priority_prompts_do_not_count() {
    let (mut prefill, now) = (Estimator::default(), Instant::now());
    for priority in [0, 6] {
        prefill.record_first_token(
            FirstToken { priority, prefill: 0.0, queued_ahead: 0.0, took: 0.1 },
            now,
        );
    }
    for _ in 0..10 {
        prefill.record_first_token(
            FirstToken { priority: 6, prefill: 0.0, queued_ahead: 0.0, took: 5.1 },
            now,
        );
    }
    assert!(prefill.backlog(0, now) < 0.01);
    assert!(prefill.backlog(6, now) > 3.0);
    assert!(prefill.backlog(7, now) > 3.0);
}
