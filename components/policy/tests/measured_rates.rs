//! Engines whose measured prefill rates differ: which requests they are sent.

mod common;

use std::time::Duration;

use common::prompts::{DRAFT, PREFILL_RATE, STEADY, fixture_with_engines, request};
use policy::{Action, Ending, Mechanism, Policy};

const ENGINES: usize = 9;

/// A node before three slow, three normal and three fast engines, as the fleet has measured them.
fn uneven_fixture() -> common::Fixture {
    let mut fixture = fixture_with_engines(ENGINES, 128);
    let rates = [PREFILL_RATE * 3 / 10, PREFILL_RATE / 2, PREFILL_RATE * 8 / 10];
    let rates =
        fixture.servers.iter().enumerate().map(|(index, key)| (*key, Some(rates[index % 3])));
    let rates: Vec<_> = rates.collect();
    fixture.scheduler.set_measured_rates(rates);
    fixture
}

/// Sends drafts and streams alternately for some seconds; returns how many of a class each engine got.
fn sends(fixture: &mut common::Fixture, class: usize) -> [u32; ENGINES] {
    let mut counts = [0; ENGINES];
    for step in 0..2_000_u64 {
        let (now, own) = (fixture.now, [STEADY, DRAFT][step as usize % 2]);
        let job = request(fixture, own, step % 97);
        let job = fixture.scheduler.submit(job, now);
        let mut actions = vec![];
        fixture.scheduler.poll(now, &mut actions);
        for action in &actions {
            if let Action::Send { server, .. } = action
                && own == class
            {
                let index = fixture.servers.iter().position(|key| key == server);
                counts[index.expect("a server of the fixture")] += 1;
            }
        }
        fixture.now += Duration::from_millis(10);
        fixture.scheduler.record_tokens(job, 1, fixture.now);
        fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
    }
    counts
}

/// The streams that tolerate the shortest pauses run at the fast engines: at a slow one each step of a prompt that is
/// prefilled beside them takes too long.
#[test]
fn strict_streams_run_at_fast_engines() {
    let counts = sends(&mut uneven_fixture(), STEADY);
    let fast: u32 = counts.iter().skip(2).step_by(3).sum();
    assert!(fast * 10 >= counts.iter().sum::<u32>() * 9, "{counts:?}");
}

/// Drafts go to engines in proportion to what they can do. If each got as many, the slow ones would fall behind.
#[test]
fn slow_engines_get_fewer_drafts() {
    let counts = sends(&mut uneven_fixture(), DRAFT);
    let of = |first: usize| f64::from(counts.iter().skip(first).step_by(3).sum::<u32>());
    assert!(of(0) < of(1) * 0.8, "slow, normal, fast by turns: {counts:?}");
}

/// A node whose engines are as fast as assumed, within what counts as equal, chooses as if nothing had been measured.
#[test]
fn engines_near_the_assumed_rate_are_chosen_as_before() {
    let mut before = fixture_with_engines(ENGINES, 128);
    let mut measured = fixture_with_engines(ENGINES, 128);
    let rates = [PREFILL_RATE * 8 / 10, PREFILL_RATE, PREFILL_RATE * 11 / 10];
    let rates: Vec<_> = measured
        .servers
        .iter()
        .zip(rates.iter().cycle())
        .map(|(key, rate)| (*key, Some(*rate)))
        .collect();
    measured.scheduler.set_measured_rates(rates);
    assert_eq!(sends(&mut before, DRAFT), sends(&mut measured, DRAFT));
}

/// Rates are ignored while the mechanism is disabled.
#[test]
fn rates_are_ignored_where_they_are_disabled() {
    let mut before = fixture_with_engines(ENGINES, 128);
    let mut disabled = fixture_with_engines(ENGINES, 128);
    let scheduler = std::mem::take(&mut disabled.scheduler);
    disabled.scheduler = scheduler.with_disabled(Mechanism::MeasuredRates);
    let rates: Vec<_> = disabled.servers.iter().map(|key| (*key, Some(PREFILL_RATE / 3))).collect();
    disabled.scheduler.set_measured_rates(rates);
    assert_eq!(sends(&mut before, DRAFT), sends(&mut disabled, DRAFT));
}

/// A first token that comes at once after a prompt of known length shows its engine's rate; one that other prompts of the node
/// are ahead of, or whose cached parts aren't known, doesn't.
#[test]
fn only_certain_prefills_are_samples() {
    let mut fixture = fixture_with_engines(1, 128);
    let first_token = |fixture: &mut common::Fixture, after: Duration| {
        let job = request(fixture, DRAFT, 1);
        let job = fixture.scheduler.submit(job, fixture.now);
        fixture.scheduler.poll(fixture.now, &mut vec![]);
        fixture.now += after;
        fixture.scheduler.record_tokens(job, 1, fixture.now);
        fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
        fixture.scheduler.take_rate_samples()
    };
    let cold = first_token(&mut fixture, Duration::from_millis(200));
    assert!(cold.is_empty(), "whether the prefix was cached isn't known: {cold:?}");
    let warm = first_token(&mut fixture, Duration::from_millis(110));
    // 3,000 tokens behind 6,000 take as long as 3,562 at the start of a prompt.
    assert_eq!(warm.len(), 1);
    assert!(warm[0].tokens_per_second.abs_diff(35_600) < 200, "{warm:?}");
}
