//! Priorities at engines: they serve requests of high priority first, so requests of lower priority that wait
//! there must not decide where one of high priority is sent.

mod common;

use std::time::Duration;

use common::prompts::{DRAFT, ENGINES, STEADY, complete, enable_fetch, fixture, send, warm_up};
use policy::{Backlog, Ending, Policy};
use proptest::prelude::*;

/// Priorities of the fixture's classes; that of drafts is the last.
const PRIORITIES: usize = 3;
/// Tolerance, in seconds, for what an engine needs besides a prompt's own prefill, and for reports in
/// milliseconds.
const TOLERANCE_SECONDS: f64 = 0.01;

/// Guards against streams that are sent away because of drafts. In overload, at each engine but one a draft of
/// the lowest class waits for seconds, as streams are served first there, and other nodes report it. If that
/// counted for streams, all of them would crowd at the one engine left, and their callers would give up while
/// drafts start elsewhere. In logs it shows as an `overdue_ms` of seconds where `ahead_ms` is next to nothing.
#[test]
fn a_waiting_draft_keeps_no_stream_from_its_engine() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    let overdue = vec![0.0, 0.0, 6.0];
    let since_first_token = Some(Duration::from_millis(20));
    let engines = fixture.servers[1..].iter();
    let backlogs: Vec<_> = engines
        .map(|server| Backlog {
            server: *server,
            overdue: overdue.clone(),
            since_first_token,
            ..empty_backlog(*server)
        })
        .collect();
    fixture.scheduler.set_backlogs(&backlogs, fixture.now);
    let mut crowded = 0;
    for session in 0..40 {
        let (job, server) = send(&mut fixture, STEADY, session);
        let expected = fixture.scheduler.estimates(job).unwrap();
        assert!(expected.overdue < Duration::from_millis(100), "{expected:?}");
        crowded += usize::from(server == fixture.servers[0]);
    }
    assert!(crowded <= 40 / ENGINES * 3, "{crowded} of 40 streams at one engine");
}

/// An engine has stalled: a draft waits there for seconds, and no node has received a first token from it
/// since. Then the wait counts for streams too, which would get no answer there.
#[test]
fn requests_of_every_priority_leave_a_stalled_engine() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    let (_, stalled) = send(&mut fixture, STEADY, 7);
    fixture.now += Duration::from_secs(6);
    let backlog = Backlog { overdue: vec![0.0, 0.0, 5.0], ..empty_backlog(stalled) };
    fixture.scheduler.set_backlogs(&[backlog], fixture.now);
    for _ in 0..20 {
        assert_ne!(send(&mut fixture, STEADY, 7).1, stalled);
    }
}

/// Guards against ejecting engines that are only full. In overload, callers at a full engine give up, and each of
/// some dozens of nodes has few requests there and received no first token since; but other nodes did, and
/// reported it. If each node ejected full engines, all requests would be left to the few that aren't full.
#[test]
fn an_engine_that_serves_other_nodes_is_not_ejected() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    fixture.now += Duration::from_secs(20);
    let (job, full) = send(&mut fixture, STEADY, 7);
    fixture.now += Duration::from_secs(2);
    let backlog =
        Backlog { since_first_token: Some(Duration::from_millis(20)), ..empty_backlog(full) };
    fixture.scheduler.set_backlogs(&[backlog], fixture.now);
    fixture.scheduler.attempt_ended(job, Ending::Cancelled, fixture.now);
    let status = fixture.scheduler.status(full, fixture.now).unwrap();
    assert_eq!(status.unused, None);
}

/// The preferred engine of a session is full and drafts of other nodes wait there for long, but it goes on serving
/// others. Prefixes are still fetched from it; if it counted as stalled, each would be prefilled again.
#[test]
fn an_engine_that_serves_other_nodes_is_a_source() {
    let mut fixture = fixture();
    enable_fetch(&mut fixture);
    warm_up(&mut fixture);
    let (job, preferred) = send(&mut fixture, DRAFT, 7);
    complete(&mut fixture, job, Duration::from_millis(50));
    fixture.now += Duration::from_secs(2);
    let since_first_token = Some(Duration::from_millis(20));
    let backlog =
        Backlog { overdue: vec![0.0, 0.0, 5.0], since_first_token, ..empty_backlog(preferred) };
    fixture.scheduler.set_backlogs(&[backlog], fixture.now);
    let (job, other) = send(&mut fixture, DRAFT, 7);
    assert_ne!(other, preferred);
    assert_eq!(fixture.scheduler.estimates(job).unwrap().fetch, Some(preferred));
}

/// A report that nothing waits at an engine.
fn empty_backlog(server: ids::Server) -> Backlog {
    Backlog { server, ..Backlog::default() }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Whatever other nodes report of engines that go on sending first tokens, the wait expected for a request
    /// is never longer than requests of its priority or a higher one explain.
    #[test]
    fn requests_of_lower_priority_never_lengthen_an_expected_wait(
        class in 0..PRIORITIES,
        reported in prop::collection::vec(
            (prop::array::uniform3(0.0..4.0_f64), prop::array::uniform3(0.0..8.0_f64), 0..200_u64),
            ENGINES,
        ),
    ) {
        let mut fixture = fixture();
        warm_up(&mut fixture);
        fixture.now += Duration::from_secs(20);
        let backlogs: Vec<_> = fixture
            .servers
            .iter()
            .zip(&reported)
            .map(|(server, (prefill, overdue, since))| {
                let since_first_token = Some(Duration::from_millis(*since));
                Backlog {
                    prefill: prefill.to_vec(),
                    overdue: overdue.to_vec(),
                    since_first_token,
                    ..empty_backlog(*server)
                }
            })
            .collect();
        fixture.scheduler.set_backlogs(&backlogs, fixture.now);
        let (job, server) = send(&mut fixture, class, 7);
        let expected = fixture.scheduler.estimates(job).unwrap();
        let backlog = backlogs.iter().find(|backlog| backlog.server == server).unwrap();
        let prefill: f64 = backlog.prefill[..=class].iter().sum();
        let overdue = backlog.overdue[..=class].iter().copied().fold(0.0, f64::max);
        let since = backlog.since_first_token.unwrap().as_secs_f64();
        prop_assert!(
            expected.backlog.as_secs_f64() <= prefill.max(overdue).max(since) + TOLERANCE_SECONDS,
            "{expected:?}, {backlog:?}"
        );
        prop_assert!(
            class != DRAFT || expected.backlog.as_secs_f64() + TOLERANCE_SECONDS >= prefill.max(overdue)
        );
    }
}
