//! Failures of engines, nodes and seeds: which rates remain known.

use std::time::{Duration, Instant};

use calibration::{Estimate, Estimator, FIRST_VERSION, KEPT_FOR, Ledger, SILENCE_TIMEOUT};

const ASSUMED: u32 = 75_000;
const ENGINE: u32 = 7;
const SECOND: Duration = Duration::from_secs(1);

fn rate(estimator: &Estimator<u32>, now: Instant) -> Option<u32> {
    estimator.estimate(ENGINE, now).map(|estimate| estimate.tokens_per_second)
}

fn rates(ledger: &Ledger<u32>) -> Vec<(u32, u32)> {
    ledger.rates().collect()
}

/// A ledger with an estimate of the engine.
fn ledger(tokens_per_second: u32, now: Instant) -> Ledger<u32> {
    let mut ledger = Ledger::new(ASSUMED);
    (0..3).for_each(|_| ledger.record(ENGINE, "a", tokens_per_second, now));
    ledger.refresh(now);
    ledger
}

fn estimate(tokens_per_second: u32, samples: u32) -> Option<Estimate> {
    Some(Estimate { tokens_per_second, samples })
}

/// Most prompts wait for others of which the node doesn't know: three quarters of the samples are up to ten times too slow.
#[test]
fn unknown_waits() {
    let now = Instant::now();
    let mut estimator = Estimator::new(ASSUMED);
    for index in 0..24_u32 {
        let slowed = if index % 4 == 0 { 1 } else { 1 + index % 10 };
        estimator.record(ENGINE, &format!("node-{}", index % 8), 36_000 / slowed, now);
    }
    assert_eq!(rate(&estimator, now), Some(36_000));
}

/// One node measures three times too fast, and more often than all others: they outvote it from five nodes on.
#[test]
fn one_node_measures_too_fast() {
    for others in 4..30 {
        let now = Instant::now();
        let mut estimator = Estimator::new(ASSUMED);
        for _ in 0..8 {
            (0..others)
                .for_each(|node| estimator.record(ENGINE, &format!("node-{node}"), 36_000, now));
            (0..30).for_each(|_| estimator.record(ENGINE, "wrong", 108_000, now));
        }
        assert_eq!(rate(&estimator, now), Some(36_000), "{others} other nodes");
    }
}

/// One node measures rates that no engine has.
#[test]
fn implausible_rates() {
    let now = Instant::now();
    let mut estimator = Estimator::new(ASSUMED);
    for implausible in [0, 1, ASSUMED / 8 - 1, ASSUMED * 8 + 1, u32::MAX] {
        (0..3).for_each(|_| estimator.record(ENGINE, "wrong", implausible, now));
    }
    assert_eq!(rate(&estimator, now), None);
    let mut ledger = Ledger::new(ASSUMED);
    ledger.set_remote("b", ENGINE, estimate(ASSUMED * 9, 24), now);
    ledger.refresh(now);
    assert_eq!(rates(&ledger), []);
}

/// An engine changes its speed: samples from before no longer count after 20 s, or once there are enough newer ones.
#[test]
fn engine_becomes_slower() {
    let start = Instant::now();
    let mut estimator = Estimator::new(ASSUMED);
    (0..5).for_each(|node| estimator.record(ENGINE, &format!("node-{node}"), 60_000, start));
    let now = start + 20 * SECOND;
    (0..3).for_each(|_| estimator.record(ENGINE, "node-0", 24_000, now));
    assert_eq!(rate(&estimator, now), Some(24_000));
    for index in 0..24 {
        estimator.record(ENGINE, &format!("node-{}", index % 6), 50_000, now);
    }
    assert_eq!(rate(&estimator, now), Some(50_000));
}

/// An engine gets no requests: its rate is kept for 60 s.
#[test]
fn engine_without_requests() {
    let start = Instant::now();
    let mut ledger = ledger(30_000, start);
    ledger.refresh(start + 20 * SECOND);
    ledger.refresh(start + KEPT_FOR - SECOND);
    assert_eq!(rates(&ledger), [(ENGINE, 30_000)]);
    let known = ledger.changes_since(0, 10).1;
    ledger.refresh(start + KEPT_FOR);
    assert_eq!(ledger.changes_since(known, 10).0, [(ENGINE, None)]);
}

/// An engine restarts: a seed that has forgotten it sends that, and estimates it from new samples only.
#[test]
fn engine_restarts() {
    let now = Instant::now();
    let mut ledger = ledger(30_000, now);
    let known = ledger.changes_since(0, 10).1;
    ledger.forget(ENGINE);
    (0..2).for_each(|_| ledger.record(ENGINE, "a", 60_000, now));
    ledger.refresh(now);
    assert_eq!(ledger.changes_since(known, 10).0, [(ENGINE, None)]);
    ledger.record(ENGINE, "a", 60_000, now);
    ledger.refresh(now);
    assert_eq!(rates(&ledger), [(ENGINE, 60_000)]);
}

/// A seed fails: what it has sent counts for 20 s. The rates of a seed that measures are preferred to those that another one
/// has only kept.
#[test]
fn seed_fails() {
    let start = Instant::now();
    let mut ledger = ledger(30_000, start);
    ledger.set_remote("b", ENGINE, estimate(60_000, 0), start);
    ledger.set_remote("b", 8, estimate(60_000, 12), start);
    ledger.record_answer("b", 14, start);
    ledger.refresh(start);
    assert_eq!(rates(&ledger).len(), 2);
    assert!(rates(&ledger).contains(&(ENGINE, 30_000)));
    ledger.refresh(start + SILENCE_TIMEOUT);
    assert_eq!(rates(&ledger), [(ENGINE, 30_000)]);
    assert_eq!(ledger.remote_version("b"), 0);
}

/// Estimates that vary by an eighth are sent once.
#[test]
fn small_changes_are_not_sent() {
    let start = Instant::now();
    let mut ledger = ledger(32_000, start);
    let known = ledger.changes_since(0, 10).1;
    for (second, rate) in [(20, 28_000), (40, 36_000), (60, 36_001)] {
        let now = start + second * SECOND;
        (0..3).for_each(|_| ledger.record(ENGINE, "a", rate, now));
        ledger.refresh(now);
        let sent = ledger.changes_since(known, 10).0;
        let expected = (rate > 36_000).then_some((ENGINE, Some(rate)));
        assert_eq!(sent, Vec::from_iter(expected));
    }
}

/// A peer that is sent parts of the changes at a time, while engines change, has all of them in the end.
#[test]
fn changes_arrive_in_parts() {
    let (start, mut known) = (Instant::now(), FIRST_VERSION);
    let mut ledger = Ledger::new(ASSUMED);
    let mut copy = std::collections::BTreeMap::new();
    for round in 0..12_u32 {
        let now = start + 7 * round * SECOND;
        for engine in (0..90_u32).filter(|engine| engine % 4 == round % 4 && round < 8) {
            let rate = 20_000 + 700 * ((engine * 7 + round * 31) % 60);
            (0..3).for_each(|_| ledger.record(engine, "a", rate, now));
        }
        if round % 3 == 2 {
            ledger.forget(round);
        }
        ledger.refresh(now);
        let (changes, version) = ledger.changes_since(known, 20);
        assert!(changes.len() <= 20);
        known = version;
        copy.extend(changes);
    }
    loop {
        let (changes, version) = ledger.changes_since(known, 20);
        if changes.is_empty() {
            break;
        }
        known = version;
        copy.extend(changes);
    }
    copy.retain(|_, rate| rate.is_some());
    let expected = ledger.rates().map(|(engine, rate)| (engine, Some(rate))).collect();
    assert_eq!(copy, expected);
    assert!(copy.len() > 40);
}
