//! Tests that the demo passes under its load and that its check finds each kind of fault.

use std::time::Duration;

use super::call::{Outcome, Record};
use super::cluster::Cluster;
use super::mix::{CLASSES, Class, Kind};
use super::verdict;

/// Returns the first class whose calls are of a kind.
fn class_of_kind(kind: Kind) -> Class {
    CLASSES.into_iter().find(|class| class.kind == kind).unwrap()
}

/// Guards against a demo that fails or reports a fault under its burst of four times the engines'
/// capacity. It is the first thing that new users run, and they rely on its result.
#[actix_rt::test]
async fn can_hold_under_a_burst() {
    tokio::time::pause();
    let cluster = Cluster::start().await.unwrap();
    super::run_and_verify(&cluster, 6).await.unwrap();
    let runs = cluster.engines.iter().map(fakes::Engine::total).sum::<u32>();
    assert!(runs > 100, "{runs}");
}

/// Guards against a check that misses a fault: the table has each way in which a caller can be told
/// something untrue.
#[test]
fn errors_on_each_untrue_answer_to_a_caller() {
    let incorrect = Outcome::Incorrect("crossed".to_string());
    let table = [
        (Kind::Complete, Outcome::Complete, 1, true),
        (Kind::Complete, Outcome::Complete, 2, true),
        (Kind::Complete, Outcome::Complete, 0, false),
        (Kind::Charge, Outcome::Complete, 1, true),
        (Kind::Charge, Outcome::Complete, 2, false),
        (Kind::Charge, Outcome::Refused, 1, false),
        (Kind::Streamed, Outcome::Refused, 0, true),
        (Kind::Streamed, Outcome::Refused, 1, false),
        (Kind::Streamed, Outcome::Unknown, 1, false),
        (Kind::Streamed, incorrect, 1, false),
    ];
    for (kind, outcome, runs, good) in table {
        let record = Record {
            class: class_of_kind(kind),
            id: "id".to_string(),
            outcome,
            first_token: None,
            intervals: vec![],
            elapsed: Duration::ZERO,
            tokens: 0,
        };
        let fault = verdict::find_fault(&record, runs);
        assert_eq!(fault.is_none(), good, "{record:?} {runs}: {fault:?}");
    }
}
