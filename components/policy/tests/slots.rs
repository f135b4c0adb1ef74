//! Slots at engines: they are shared by the requests of several nodes, and the tests judge by the answers
//! that the callers get.

mod common;

use std::time::Duration;

use common::Fixture;
use common::fleet::{Count, Fleet, Load, Site, empty_backlog};
use common::prompts::{STEADY, fixture, send, warm_up};
use policy::{Backlog, Ending, Mechanism, Policy};
use proptest::prelude::*;

/// Many nodes, each of which has a small part of the requests at an engine.
const SITE: Site = Site { nodes: 24, engines: 16, slots: 12 };
/// A quiet time in which the isolation groups settle, and a burst of streams that exceeds the slots of their
/// group, though not those of all engines together.
const LOADS: [Load; 2] =
    [Load { from: 0, streams: 12.0, drafts: 30.0 }, Load { from: 6, streams: 50.0, drafts: 60.0 }];
const SECONDS: u64 = 16;
const SEEDS: u64 = 10;
/// The users' bound: at most one in so many requests of a class may get no answer while requests of lower
/// priority get theirs.
const REQUESTS_PER_UNANSWERED: u32 = 12;

/// Runs the burst; returns the counts of streams and drafts for each seed.
fn run_burst(disabled: Option<Mechanism>) -> Vec<(Count, Count)> {
    let run = |seed| {
        let mut fleet = Fleet::new(SITE, seed, disabled);
        fleet.run(SECONDS, &LOADS);
        let [streams, _, drafts] = fleet.counts;
        (streams, drafts)
    };
    (0..SEEDS).map(run).collect()
}

/// Guards against a burst of streams of the highest class, beyond the slots of their isolation group, that
/// crowds at one engine after the other. If each node counts only its own requests, all send to the engine where
/// none wait any more, fill it twice over between two reports, and leave it together for the next. Callers at
/// the end of its queue get nothing in two seconds, while drafts of the lowest class start elsewhere. In logs it
/// shows as first tokens after a second where `backlog_ms` was 20, at one engine after the other.
#[test]
fn a_burst_of_streams_finds_slots_while_drafts_start() {
    for (seed, (streams, drafts)) in run_burst(None).into_iter().enumerate() {
        assert!(
            streams.abandoned * REQUESTS_PER_UNANSWERED <= streams.sent,
            "seed {seed}: {streams:?}, {drafts:?}"
        );
        assert!(drafts.started * 2 > drafts.sent, "seed {seed}: {drafts:?}");
    }
}

/// A fleet so large that each node sends a stream every other second, with many more engines than the slots
/// in use require. Reports are some tenths of a second old, and all nodes have the same ones.
const LARGE: Site = Site { nodes: 150, engines: 64, slots: 12 };
const LARGE_LOADS: [Load; 2] =
    [Load { from: 0, streams: 60.0, drafts: 60.0 }, Load { from: 6, streams: 150.0, drafts: 60.0 }];
/// At most one stream in so many may miss its first-token target.
const STREAMS_PER_LATE: u32 = 20;

/// Guards against nodes that all pick the same best engine: some dozen streams reach an engine whose slots came
/// free before any node learns of them, and wait for a second behind each other while other engines of the group
/// have free slots. They should spread over the free slots.
#[test]
fn nodes_with_the_same_reports_do_not_fill_one_engine() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(LARGE, seed, None);
        fleet.run(12, &LARGE_LOADS);
        let streams = fleet.counts[0];
        assert!(streams.late * STREAMS_PER_LATE <= streams.sent, "seed {seed}: {streams:?}");
    }
}

/// Without slot counts, the same burst fails callers; so the test above can't pass because the burst is too
/// small.
#[test]
fn without_slot_counts_callers_of_the_burst_give_up() {
    let counts = run_burst(Some(Mechanism::SlotCounts));
    let streams = || counts.iter().map(|(streams, _)| streams);
    let sent: u32 = streams().map(|count| count.sent).sum();
    let abandoned: u32 = streams().map(|count| count.abandoned).sum();
    assert!(abandoned * REQUESTS_PER_UNANSWERED > sent, "{abandoned} of {sent}");
}

/// Serves long answers, so that the scheduler expects a stream to occupy its slot for some seconds.
fn serve_long_answers(fixture: &mut Fixture) {
    for session in 0..300 {
        let (job, _) = send(fixture, STEADY, session);
        for _ in 0..100 {
            fixture.now += Duration::from_millis(30);
            fixture.scheduler.record_tokens(job, 1, fixture.now);
        }
        fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
    }
}

/// A report that other nodes' requests occupy so many slots of an engine, by priority.
fn occupied_backlog(server: ids::Server, occupied: &[f64]) -> Backlog {
    Backlog {
        occupied: occupied.to_vec(),
        since_first_token: Some(Duration::from_millis(20)),
        ..empty_backlog(server)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Whatever slots are reported as occupied, a stream isn't sent to an engine that is full of requests of its
    /// priority while another engine has slots free of such requests, even if drafts occupy them.
    #[test]
    fn a_stream_is_sent_where_it_gets_a_slot(
        full in prop::collection::vec(any::<bool>(), common::prompts::ENGINES),
        drafts in 0.0..200.0_f64,
    ) {
        prop_assume!(full.contains(&false));
        let mut fixture = fixture();
        warm_up(&mut fixture);
        serve_long_answers(&mut fixture);
        let engines = fixture.servers.iter().zip(&full);
        let backlogs: Vec<_> = engines
            .map(|(server, full)| occupied_backlog(*server, &[if *full { 200.0 } else { 40.0 }, 0.0, drafts]))
            .collect();
        fixture.scheduler.set_backlogs(&backlogs, fixture.now);
        for session in 0..20 {
            let (job, server) = send(&mut fixture, STEADY, session);
            let index = fixture.servers.iter().position(|key| *key == server).unwrap();
            let expected = fixture.scheduler.estimates(job);
            prop_assert!(!full[index], "engine {index} of {full:?}, {expected:?}");
        }
    }
}
