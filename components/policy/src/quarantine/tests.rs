use std::time::{Duration, Instant};

use super::{MAX_SUSPECTS, Quarantine, TRIAL_TIMEOUT};
use crate::suspect::{COMMON_CAUSE_WINDOW, Crash, MAX_PARTS, MIN_BLOCK, RETENTION, Subject};

const CONTENT: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

/// A crash at a time, of a server to which the request was sent a second before.
fn crash(server: u32, at: Instant) -> Crash {
    Crash { instance: server, sent: at - SECOND, at }
}

/// A quarantine after a request crashed so many servers, one a second, and the time of the last crash.
fn after_crashes(crashes: u32) -> (Quarantine, Instant) {
    let (mut quarantine, mut now) = (Quarantine::new(1), Instant::now());
    for server in 0..crashes {
        now += SECOND;
        quarantine.record_crash(&CONTENT.into(), crash(server, now), now);
    }
    (quarantine, now)
}

/// Guards against the crashes of a request that is retried at once, within the window of a common cause,
/// counting as a single one.
#[test]
fn crashes_of_immediate_retries_count_separately() {
    let (mut quarantine, start) = (Quarantine::new(1), Instant::now());
    for server in 0..3 {
        let sent = start + COMMON_CAUSE_WINDOW * server / 3;
        let at = sent + COMMON_CAUSE_WINDOW / 4;
        quarantine.record_crash(&CONTENT.into(), Crash { instance: server, sent, at }, at);
    }
    assert!(quarantine.blocked_for(&CONTENT.into(), start + SECOND).is_some());
}

/// Guards against blocking a harmless request that was running on two servers when they crashed.
#[test]
fn two_crashes_block_nothing() {
    let (quarantine, now) = after_crashes(2);
    assert_eq!(quarantine.blocked_for(&CONTENT.into(), now), None);
}

#[test]
fn a_third_crash_blocks_its_request_and_no_other() {
    let (quarantine, now) = after_crashes(3);
    assert!(quarantine.blocked_for(&CONTENT.into(), now) >= Some(MIN_BLOCK));
    assert_eq!(quarantine.blocked_for(&(CONTENT + 1).into(), now), None);
    assert_eq!(quarantine.blocked_count(now), 1);
}

/// Guards against one crash counting several times because several nodes report it.
#[test]
fn a_crash_reported_again_counts_once() {
    let (mut quarantine, now) = after_crashes(1);
    for millis in [0, 500, 2_000] {
        let at = now + Duration::from_millis(millis);
        quarantine.record_crash(&CONTENT.into(), crash(0, at), at);
    }
    assert_eq!(quarantine.blocked_for(&CONTENT.into(), now + SECOND * 3), None);
}

/// Guards against blocking the requests that were running on many servers lost at once.
#[test]
fn servers_that_crash_together_count_as_one_crash() {
    let (mut quarantine, start) = (Quarantine::new(1), Instant::now());
    for server in 0..200 {
        let at = start + COMMON_CAUSE_WINDOW * (server % 5) / 5;
        quarantine.record_crash(&CONTENT.into(), crash(server, at), at);
    }
    assert_eq!(quarantine.blocked_for(&CONTENT.into(), start + SECOND), None);
}

/// Guards against a series of crashes counting as one because each comes soon after the last.
#[test]
fn crashes_in_quick_succession_count_separately() {
    let (mut quarantine, start) = (Quarantine::new(1), Instant::now());
    for server in 0..5 {
        let at = start + COMMON_CAUSE_WINDOW * server * 3 / 4;
        quarantine.record_crash(&CONTENT.into(), crash(server, at), at);
    }
    assert!(quarantine.blocked_for(&CONTENT.into(), start + SECOND).is_some());
}

/// Guards against blocking a request that servers do answer, for crashes that it didn't cause.
#[test]
fn a_complete_answer_voids_earlier_crashes() {
    let (mut quarantine, now) = after_crashes(3);
    quarantine.record_completion(CONTENT, now);
    assert_eq!(quarantine.blocked_for(&CONTENT.into(), now), None);
    for server in 10..12 {
        let at = now + SECOND * server;
        quarantine.record_crash(&CONTENT.into(), crash(server, at), at);
    }
    assert_eq!(quarantine.blocked_for(&CONTENT.into(), now + SECOND * 12), None);
}

/// Guards against a request that is never tried again, and against many attempts at once when its block ends.
#[test]
fn one_trial_follows_a_block() {
    let (mut quarantine, now) = after_crashes(3);
    let left = quarantine.blocked_for(&CONTENT.into(), now).expect("it is blocked");
    let after = now + left;
    assert_eq!(quarantine.begin_attempt(&CONTENT.into(), after), Ok(()));
    assert_eq!(
        quarantine.begin_attempt(&CONTENT.into(), after),
        Err(TRIAL_TIMEOUT),
        "others wait for the trial"
    );
    quarantine.record_completion(CONTENT, after + SECOND);
    assert_eq!(quarantine.begin_attempt(&CONTENT.into(), after + SECOND), Ok(()));
}

#[test]
fn a_crash_of_the_trial_lengthens_the_next_block() {
    let (mut quarantine, now) = after_crashes(3);
    let after = now + quarantine.blocked_for(&CONTENT.into(), now).expect("it is blocked");
    assert_eq!(quarantine.begin_attempt(&CONTENT.into(), after), Ok(()));
    quarantine.record_crash(&CONTENT.into(), crash(9, after), after);
    assert!(quarantine.blocked_for(&CONTENT.into(), after) >= Some(MIN_BLOCK * 4));
}

/// Guards against all nodes trying a request again at once.
#[test]
fn nodes_end_their_blocks_at_different_times() {
    let (source, now) = after_crashes(3);
    let (evidence, _) = source.changes_since(0, 1);
    let mut ends: Vec<_> = (0..50)
        .map(|seed| {
            let mut quarantine = Quarantine::new(seed);
            quarantine.merge(evidence[0].clone(), now);
            quarantine.blocked_for(&CONTENT.into(), now).expect("it is blocked")
        })
        .collect();
    ends.sort();
    assert!(ends[0] >= MIN_BLOCK && ends[49] <= MIN_BLOCK * 2);
    assert!(ends[49] - ends[0] > MIN_BLOCK / 2, "{ends:?}");
}

/// Guards against evidence that is kept for ever, and against old crashes counting together with new ones.
#[test]
fn old_evidence_is_removed() {
    let (mut quarantine, now) = after_crashes(2);
    let later = now + RETENTION + MIN_BLOCK;
    quarantine.record_crash(&CONTENT.into(), crash(9, later), later);
    assert_eq!(quarantine.blocked_for(&CONTENT.into(), later), None);
    assert_eq!(quarantine.changes_since(0, 2).0, []);
}

/// Guards against memory that grows with the number of requests that were running during a crash, and against
/// losing a blocked request among them.
#[test]
fn a_blocked_request_stays_when_the_table_overflows() {
    let (mut quarantine, now) = after_crashes(3);
    for content in 0..10_000 {
        let at = now + Duration::from_millis(content);
        quarantine.record_crash(&(1_000 + content).into(), crash(9, at), at);
    }
    assert!(quarantine.blocked_for(&CONTENT.into(), now + SECOND * 10).is_some());
    assert!(quarantine.suspects.len() <= MAX_SUSPECTS);
}

/// A node knows of an answer that voids the evidence of its seed. Guards against the seed and all other nodes missing
/// that answer, because a node doesn't send evidence back to the seed that it came from.
#[test]
fn a_later_answer_is_sent_again() {
    let (seed, now) = after_crashes(3);
    let (mut node, _) = after_crashes(2);
    node.record_completion(CONTENT, now + SECOND);
    let (told, _) = seed.changes_since(0, 1);
    assert!(node.merge(told[0].clone(), now + SECOND));
    let learned = node.version();
    node.send_again(CONTENT);
    let (again, _) = node.changes_since(learned, 1);
    assert_eq!(again[0].completed, Some(now + SECOND));
    assert!(!node.merge(again[0].clone(), now + SECOND), "it knows nothing that the other doesn't");
}

/// Guards against a prompt with many parts that fills the table and messages with one crash.
#[test]
fn a_crash_accuses_a_limited_number_of_parts() {
    let (mut quarantine, now) = (Quarantine::new(1), Instant::now());
    quarantine.record_crash(&Subject::new(CONTENT, 0..1_000), crash(1, now), now);
    assert_eq!(quarantine.suspects.len(), 1 + MAX_PARTS);
}
