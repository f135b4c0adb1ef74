use std::time::Duration;

use super::{INITIAL_ANSWER_BYTES, LINK_PART, Pace};

const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Link capacity of the users' smallest VMs, in bytes per second.
const SMALL_LINK: f64 = 20.0 * 125_000.0;
/// Link capacity of the users' largest VMs, in bytes per second.
const LARGE_LINK: f64 = 200.0 * 125_000.0;

/// Hundreds of nodes report to one seed on a small VM. Its answers must leave most of the link to the requests
/// that it forwards.
#[test]
fn answers_leave_most_of_a_small_link_free() {
    for nodes in [8, 98, 283, 850] {
        for bytes in [200, 3_000, 40_000] {
            let mut pace = Pace::new(MIN_PAUSE, SMALL_LINK);
            (0..1_000).for_each(|_| pace.record_answer(bytes));
            let rate = nodes as f64 * bytes as f64 / pace.pause(nodes).as_secs_f64();
            assert!(rate <= SMALL_LINK * LINK_PART, "{nodes} nodes, {bytes} bytes: {rate} bytes/s");
        }
    }
}

/// A seed on a large VM lets each of a hundred nodes report as often as the nodes of a small fleet.
#[test]
fn a_large_seed_serves_a_hundred_nodes_at_full_pace() {
    let pace = Pace::new(MIN_PAUSE, LARGE_LINK);
    assert_eq!(pace.pause(8), MIN_PAUSE);
    assert_eq!(pace.pause(98), MIN_PAUSE);
    assert!(98.0 * INITIAL_ANSWER_BYTES / MIN_PAUSE.as_secs_f64() < LARGE_LINK * LINK_PART);
}

/// Hundreds of nodes don't report more often than their seed has time to answer, however wide its link is.
#[test]
fn a_large_fleet_reports_less_often() {
    let pace = Pace::new(MIN_PAUSE, LARGE_LINK);
    assert!(pace.pause(283) >= Duration::from_millis(420));
    assert!(pace.pause(usize::MAX) >= pace.pause(283));
}
