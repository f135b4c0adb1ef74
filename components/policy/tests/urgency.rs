//! Engines serve urgent requests first, so what becomes of less urgent ones there must not decide where
//! an urgent one goes.

mod common;

use std::time::Duration;

use common::prompts::{DRAFT, ENGINES, STEADY, complete, enable_fetch, fixture, send, warm_up};
use policy::{Backlog, Ending, Policy};
use proptest::prelude::*;

/// Rank of the fixture's drafts, and of what is more and less urgent.
const RANKS: usize = 3;
/// What an engine needs for all but a prompt's own reading, and figures told in milliseconds.
const ROUNDING: f64 = 0.01;

/// A rush over capacity. At each engine but one a draft of the lowest class waits for seconds, as streams
/// go first there, and other nodes tell so. A stream that is sent away for the drafts' sake crowds with all
/// the others at the one engine left; its caller waits until patience ends, while drafts are begun
/// elsewhere. Seen in logs as `overdue_ms` of seconds where `ahead_ms` is next to nothing.
#[test]
fn a_waiting_draft_bars_its_engine_to_no_stream() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    let overdue = vec![0.0, 0.0, 6.0];
    let begun = Some(Duration::from_millis(20));
    let engines = fixture.servers[1..].iter();
    let told: Vec<_> = engines
        .map(|server| Backlog {
            server: *server,
            overdue: overdue.clone(),
            since_first_token: begun,
            ..empty_backlog(*server)
        })
        .collect();
    fixture.scheduler.set_backlogs(&told, fixture.now);
    let mut crowded = 0;
    for session in 0..40 {
        let (job, server) = send(&mut fixture, STEADY, session);
        let expected = fixture.scheduler.expected(job).unwrap();
        assert!(expected.overdue < Duration::from_millis(100), "{expected:?}");
        crowded += usize::from(server == fixture.servers[0]);
    }
    assert!(crowded <= 40 / ENGINES * 3, "{crowded} of 40 streams at one engine");
}

/// An engine hangs: a draft waits there for seconds, and nobody saw it begin anything since. That holds for
/// streams too; whoever is sent there waits for nothing.
#[test]
fn an_engine_that_begins_nothing_is_left_by_all() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    let (_, bad) = send(&mut fixture, STEADY, 7);
    fixture.now += Duration::from_secs(6);
    let told = Backlog { overdue: vec![0.0, 0.0, 5.0], ..empty_backlog(bad) };
    fixture.scheduler.set_backlogs(&[told], fixture.now);
    for _ in 0..20 {
        assert_ne!(send(&mut fixture, STEADY, 7).1, bad);
    }
}

/// A caller loses patience at an engine that is full, as those of each of some dozens of nodes do in a rush.
/// Each node has few requests there and saw none begin since, but others did, and told. Left out by one node after
/// the other, the engines that are full would leave all requests to the few that aren't yet.
#[test]
fn an_engine_that_others_see_begin_is_not_left_out() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    fixture.now += Duration::from_secs(20);
    let (job, full) = send(&mut fixture, STEADY, 7);
    fixture.now += Duration::from_secs(2);
    let told =
        Backlog { since_first_token: Some(Duration::from_millis(20)), ..empty_backlog(full) };
    fixture.scheduler.set_backlogs(&[told], fixture.now);
    fixture.scheduler.attempt_ended(job, Ending::Cancelled, fixture.now);
    let status = fixture.scheduler.status(full, fixture.now).unwrap();
    assert_eq!(status.unused, None);
}

/// The home of a session is full, drafts of other nodes wait there for long, and it goes on beginning others. It
/// hands over what it keeps all the same; taken for one that hangs, it would have each beginning read anew.
#[test]
fn an_engine_that_others_see_begin_is_a_source() {
    let mut fixture = fixture();
    enable_fetch(&mut fixture);
    warm_up(&mut fixture);
    let (job, home) = send(&mut fixture, DRAFT, 7);
    complete(&mut fixture, job, Duration::from_millis(50));
    fixture.now += Duration::from_secs(2);
    let begun = Some(Duration::from_millis(20));
    let told =
        Backlog { overdue: vec![0.0, 0.0, 5.0], since_first_token: begun, ..empty_backlog(home) };
    fixture.scheduler.set_backlogs(&[told], fixture.now);
    let (job, other) = send(&mut fixture, DRAFT, 7);
    assert_ne!(other, home);
    assert_eq!(fixture.scheduler.expected(job).unwrap().fetch, Some(home));
}

fn empty_backlog(server: ids::Server) -> Backlog {
    Backlog { server, prefill: vec![], overdue: vec![], occupied: vec![], since_first_token: None }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Whatever other nodes tell of engines that go on beginning answers, the wait that is expected for a
    /// request is never longer than by what is as urgent as it, or more, waits there.
    #[test]
    fn less_urgent_requests_never_lengthen_an_expected_wait(
        class in 0..RANKS,
        told in prop::collection::vec(
            (prop::array::uniform3(0.0..4.0_f64), prop::array::uniform3(0.0..8.0_f64), 0..200_u64),
            ENGINES,
        ),
    ) {
        let mut fixture = fixture();
        warm_up(&mut fixture);
        fixture.now += Duration::from_secs(20);
        let rows: Vec<_> = fixture.servers.iter().zip(&told).map(|(server, (reading, overdue, begun))| {
            let begun = Some(Duration::from_millis(*begun));
            Backlog { prefill: reading.to_vec(), overdue: overdue.to_vec(), since_first_token: begun, ..empty_backlog(*server) }
        }).collect();
        fixture.scheduler.set_backlogs(&rows, fixture.now);
        let (job, server) = send(&mut fixture, class, 7);
        let expected = fixture.scheduler.expected(job).unwrap();
        let row = rows.iter().find(|row| row.server == server).unwrap();
        let reads: f64 = row.prefill[..=class].iter().sum();
        let waits = row.overdue[..=class].iter().copied().fold(0.0, f64::max);
        let silent = row.since_first_token.unwrap().as_secs_f64();
        prop_assert!(
            expected.backlog.as_secs_f64() <= reads.max(waits).max(silent) + ROUNDING,
            "{expected:?}, {row:?}"
        );
        prop_assert!(class != DRAFT || expected.backlog.as_secs_f64() + ROUNDING >= reads.max(waits));
    }
}
