use std::time::{Duration, Instant};

use super::{Crash, HOLD, KEPT, MOMENT, Quarantine, SUSPECTS, TRIAL};

const CONTENT: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

/// A crash at a time, of a server that the request had been at for a while.
fn crash(server: u32, at: Instant) -> Crash {
    Crash { instance: server, sent: at - SECOND, at }
}

/// A request under which so many servers crashed, a second after each other, and the time of the last.
fn suspected(crashes: u32) -> (Quarantine, Instant) {
    let (mut quarantine, mut now) = (Quarantine::new(1), Instant::now());
    for server in 0..crashes {
        now += SECOND;
        quarantine.record_crash(CONTENT, crash(server, now), now);
    }
    (quarantine, now)
}

/// Guards against a request that is sent on at once after each crash counting as one crash.
#[test]
fn crashes_of_one_that_was_sent_on_count_each() {
    let (mut quarantine, start) = (Quarantine::new(1), Instant::now());
    for server in 0..3 {
        let sent = start + MOMENT * server / 3;
        let at = sent + MOMENT / 4;
        quarantine.record_crash(CONTENT, Crash { instance: server, sent, at }, at);
    }
    assert!(quarantine.blocked_for(CONTENT, start + SECOND).is_some());
}

/// Guards against a request that is held back for nothing.
#[test]
fn two_crashes_hold_nothing_back() {
    let (quarantine, now) = suspected(2);
    assert_eq!(quarantine.blocked_for(CONTENT, now), None);
}

#[test]
fn a_third_crash_holds_a_request_back_and_no_other() {
    let (quarantine, now) = suspected(3);
    assert!(quarantine.blocked_for(CONTENT, now) >= Some(HOLD));
    assert_eq!(quarantine.blocked_for(CONTENT + 1, now), None);
    assert_eq!(quarantine.blocked_count(now), 1);
}

/// Guards against one crash that is reported by several nodes counting several times.
#[test]
fn a_crash_counts_once() {
    let (mut quarantine, now) = suspected(1);
    for millis in [0, 500, 2_000] {
        let at = now + Duration::from_millis(millis);
        quarantine.record_crash(CONTENT, crash(0, at), at);
    }
    assert_eq!(quarantine.blocked_for(CONTENT, now + SECOND * 3), None);
}

/// Guards against a loss of many servers at once bringing what ran on them under suspicion.
#[test]
fn servers_that_crash_together_count_as_one_crash() {
    let (mut quarantine, start) = (Quarantine::new(1), Instant::now());
    for server in 0..200 {
        let at = start + MOMENT * (server % 5) / 5;
        quarantine.record_crash(CONTENT, crash(server, at), at);
    }
    assert_eq!(quarantine.blocked_for(CONTENT, start + SECOND), None);
}

/// Guards against crashes in a row, each soon after the last, counting as one.
#[test]
fn crashes_in_quick_succession_count_each() {
    let (mut quarantine, start) = (Quarantine::new(1), Instant::now());
    for server in 0..5 {
        let at = start + MOMENT * server * 3 / 4;
        quarantine.record_crash(CONTENT, crash(server, at), at);
    }
    assert!(quarantine.blocked_for(CONTENT, start + SECOND).is_some());
}

/// Guards against a request that servers do answer being held back for crashes that it didn't cause.
#[test]
fn a_whole_answer_voids_what_came_before() {
    let (mut quarantine, now) = suspected(3);
    quarantine.record_completion(CONTENT, now);
    assert_eq!(quarantine.blocked_for(CONTENT, now), None);
    for server in 10..12 {
        let at = now + SECOND * server;
        quarantine.record_crash(CONTENT, crash(server, at), at);
    }
    assert_eq!(quarantine.blocked_for(CONTENT, now + SECOND * 12), None);
}

/// Guards against a request that is never tried again, and against a rush of tries when its hold ends.
#[test]
fn one_try_follows_a_hold() {
    let (mut quarantine, now) = suspected(3);
    let left = quarantine.blocked_for(CONTENT, now).expect("it is held back");
    let after = now + left;
    assert_eq!(quarantine.begin_attempt(CONTENT, after), Ok(()));
    assert_eq!(quarantine.begin_attempt(CONTENT, after), Err(TRIAL), "others wait for it");
    quarantine.record_completion(CONTENT, after + SECOND);
    assert_eq!(quarantine.begin_attempt(CONTENT, after + SECOND), Ok(()));
}

#[test]
fn a_crash_after_a_hold_makes_the_next_longer() {
    let (mut quarantine, now) = suspected(3);
    let after = now + quarantine.blocked_for(CONTENT, now).expect("it is held back");
    assert_eq!(quarantine.begin_attempt(CONTENT, after), Ok(()));
    quarantine.record_crash(CONTENT, crash(9, after), after);
    assert!(quarantine.blocked_for(CONTENT, after) >= Some(HOLD * 4));
}

/// Guards against all nodes trying a request again together.
#[test]
fn nodes_end_their_holds_at_different_times() {
    let (known, now) = suspected(3);
    let (evidence, _) = known.changes_since(0, 1);
    let mut ends: Vec<_> = (0..50)
        .map(|seed| {
            let mut quarantine = Quarantine::new(seed);
            quarantine.merge(evidence[0].clone(), now);
            quarantine.blocked_for(CONTENT, now).expect("it is held back")
        })
        .collect();
    ends.sort();
    assert!(ends[0] >= HOLD && ends[49] <= HOLD * 2);
    assert!(ends[49] - ends[0] > HOLD / 2, "{ends:?}");
}

/// Guards against suspicions that last for ever, and crashes of long ago counting with new ones.
#[test]
fn old_evidence_is_forgotten() {
    let (mut quarantine, now) = suspected(2);
    let later = now + KEPT + HOLD;
    quarantine.record_crash(CONTENT, crash(9, later), later);
    assert_eq!(quarantine.blocked_for(CONTENT, later), None);
    assert_eq!(quarantine.changes_since(0, 2).0, []);
}

/// Guards against memory that grows with the number of requests that meet a crash.
#[test]
fn what_is_held_back_outlasts_a_flood_of_weak_suspicions() {
    let (mut quarantine, now) = suspected(3);
    for content in 0..10_000 {
        let at = now + Duration::from_millis(content);
        quarantine.record_crash(1_000 + content, crash(9, at), at);
    }
    assert!(quarantine.blocked_for(CONTENT, now + SECOND * 10).is_some());
    assert!(quarantine.suspects.len() <= SUSPECTS);
}
