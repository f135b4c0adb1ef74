//! Tests which requests are accepted during a stop.

use std::time::Duration;

use stopping::{Durations, Pending, Sample, Schedule, Verdict};

/// Own time limit of the requests.
const LIMIT: Duration = Duration::from_secs(20);

/// What is known, for how many seconds other requests have been open, the seconds left, and what is accepted.
type Row<'a> = (&'a str, &'a [Sample], &'a [f64], f64, [bool; 2]);

fn ended(seconds: f64) -> Sample {
    Sample { time: Duration::from_secs_f64(seconds), ended: true }
}

fn unended(seconds: f64) -> Sample {
    Sample { ended: false, ..ended(seconds) }
}

/// Whether a request that may run only once, and one that may run again, is accepted with so much time left.
fn accepts(samples: &[Sample], open: &[f64], room: f64) -> [bool; 2] {
    let mut durations = Durations::default();
    for sample in samples {
        durations.record((), *sample);
    }
    [false, true].map(|repeatable| {
        let pending = Pending { room: Duration::from_secs_f64(room), limit: LIMIT, repeatable };
        let open = open.iter().copied().map(Duration::from_secs_f64);
        durations.decide(&(), pending, open) == Verdict::Accept
    })
}

/// A node refuses what it could have served in time, or accepts what it can't.
#[test]
fn requests_are_accepted_if_they_are_likely_to_end_in_time() {
    let mixed: Vec<_> =
        (0..32).map(|index| ended(if index % 8 == 0 { 10.0 } else { 0.1 })).collect();
    let rows: &[Row] = &[
        ("nothing is known", &[], &[], 5.0, [false, true]),
        ("no time is left", &[ended(0.02)], &[], 0.0, [false, false]),
        ("one that was much shorter", &[ended(0.02)], &[], 3.0, [true, true]),
        ("one that was somewhat shorter", &[ended(1.0)], &[], 3.0, [false, true]),
        ("many that were somewhat shorter", &[ended(1.0); 20], &[], 3.0, [true, true]),
        ("one that was longer", &[ended(10.0)], &[], 5.0, [false, false]),
        ("all were longer", &[ended(10.0); 32], &[], 5.0, [false, false]),
        ("one in eight was longer", &mixed, &[], 5.0, [false, true]),
        ("one never ended", &[unended(10.0)], &[], 5.0, [false, false]),
        ("one is open, and none has ended", &[], &[0.1], 5.0, [false, true]),
        ("some are open for as long", &[], &[5.0; 3], 5.0, [false, false]),
        ("all of late are open for long", &[ended(0.02); 32], &[2.0; 10], 5.0, [false, true]),
        ("as many are open as usual", &[ended(0.02); 32], &[0.02; 10], 5.0, [true, true]),
        (
            "most were given up",
            &[ended(0.02), unended(4.0), unended(4.0)],
            &[],
            5.0,
            [false, false],
        ),
    ];
    for (name, samples, open, room, expected) in rows {
        assert_eq!(accepts(samples, open, *room), *expected, "{name}");
    }
}

/// A service that has become slower is judged by what it took when it was fast.
#[test]
fn old_observations_are_forgotten() {
    let mut samples = vec![ended(0.02); 1_000];
    samples.extend([ended(10.0); 32]);
    assert_eq!(accepts(&samples, &[], 5.0), [false, false]);
}

/// A request whose own time limit is over before the node stops is refused though its caller would get an answer.
#[test]
fn requests_with_a_short_limit_are_accepted() {
    let mut durations = Durations::default();
    durations.record((), unended(10.0));
    let limit = Duration::from_secs(1);
    let pending = Pending { room: Duration::from_secs(2), limit, repeatable: false };
    assert_eq!(durations.decide(&(), pending, []), Verdict::Accept);
}

/// Observations of workloads that no longer exist fill the memory.
#[test]
fn workloads_are_bounded() {
    let mut durations = Durations::default();
    let pending = Pending { room: Duration::from_secs(2), limit: LIMIT, repeatable: false };
    for workload in 0..5_000 {
        durations.record(workload, ended(0.02));
    }
    let accepted = |workload| durations.decide(&workload, pending, []) == Verdict::Accept;
    let known = (0..5_000).filter(|workload| accepted(*workload)).count();
    assert!(known <= 1_024 && accepted(4_999), "{known}");
}

/// No time is left for error responses, or the phases overlap, where the grace period is short.
#[test]
fn phases_follow_each_other_in_any_grace_period() {
    for millis in [0, 1, 100, 400, 500, 1_000, 2_000, 8_000, 30_000, 3_600_000] {
        let grace = Duration::from_millis(millis);
        let Schedule { listening, waiting, responding } = Schedule::new(grace);
        assert!(listening <= waiting && waiting <= responding && responding <= grace, "{grace:?}");
        assert!(millis < 1_000 || waiting + grace / 20 <= responding, "{grace:?}");
    }
}
