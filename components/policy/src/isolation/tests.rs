use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Capacity, Group, Isolation};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn engine_counts(count: usize) -> HashMap<ids::Region, Capacity> {
    HashMap::from([(ids::Region::default(), Capacity::new(vec![1.0; count].into_iter(), false))])
}

/// Steady streams and long prompts divide the engines in proportion to their work. On shared engines, each
/// prompt would interrupt the streams.
#[test]
fn steady_and_bulk_classes_have_separate_engines() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    isolation.add_work(MS(60), 10.0, now);
    isolation.add_work(MS(65), 10.0, now);
    isolation.add_work(MS(250), 20.0, now);
    isolation.update_borders(&engine_counts(8), now);
    assert_eq!(isolation.class_group(MS(60)), Some(Group::Steady));
    assert_eq!(isolation.class_group(MS(65)), Some(Group::Steady));
    assert_eq!(isolation.class_group(MS(250)), Some(Group::Bulk));
    let steady =
        (0..8).filter(|rank| isolation.engine_group(Default::default(), *rank) == Group::Steady);
    assert_eq!(steady.count(), 4);
}

/// With two engines and hardly any work but long prompts, both groups keep an engine; else there would be
/// none for streams.
#[test]
fn each_group_keeps_an_engine() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    isolation.add_work(MS(60), 0.01, now);
    isolation.add_work(MS(250), 10.0, now);
    isolation.update_borders(&engine_counts(2), now);
    assert_eq!(isolation.engine_group(Default::default(), 0), Group::Steady);
    assert_eq!(isolation.engine_group(Default::default(), 1), Group::Bulk);
}

/// A change of the work by a few percent moves no border; else the prefixes that engines at the border have
/// cached would be prefilled again with each fluctuation. A large change does.
#[test]
fn small_fluctuations_move_no_border() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    isolation.add_work(MS(60), 50.0, now);
    isolation.add_work(MS(250), 50.0, now);
    isolation.update_borders(&engine_counts(8), now);
    isolation.add_work(MS(250), 15.0, now);
    isolation.update_borders(&engine_counts(8), now);
    assert_eq!(isolation.engine_group(Default::default(), 3), Group::Steady);
    isolation.add_work(MS(250), 200.0, now);
    isolation.update_borders(&engine_counts(8), now);
    assert_eq!(isolation.engine_group(Default::default(), 3), Group::Bulk);
}

/// Hundreds of engines in a region: the same fluctuation of the work is worth several engines, and still moves no
/// border.
#[test]
fn small_fluctuations_move_no_border_among_many_engines() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    isolation.add_work(MS(60), 50.0, now);
    isolation.add_work(MS(250), 50.0, now);
    isolation.update_borders(&engine_counts(256), now);
    let before = isolation.borders(Default::default());
    isolation.add_work(MS(250), 2.0, now);
    isolation.update_borders(&engine_counts(256), now);
    assert_eq!(isolation.borders(Default::default()), before);
}

/// Classes that are all steady share all engines, as there is nothing to keep apart.
#[test]
fn similar_classes_share_all_engines() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    isolation.add_work(MS(60), 1.0, now);
    isolation.add_work(MS(70), 1.0, now);
    let now = now + Duration::from_secs(60);
    isolation.add_work(MS(60), 1.0, now);
    isolation.update_borders(&engine_counts(8), now);
    assert_eq!(isolation.class_group(MS(60)), None);
}

/// A node that has just started and knows of no work yet keeps long prompts and steady streams apart; else
/// its first streams would stutter.
#[test]
fn groups_exist_before_any_work_is_known() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    isolation.add_work(MS(250), 0.1, now);
    isolation.update_borders(&engine_counts(8), now);
    assert_eq!(isolation.engine_group(Default::default(), 0), Group::Steady);
    assert_eq!(isolation.class_group(MS(250)), Some(Group::Bulk));
}

/// A node that happens to get no streams sets the border by the work of all nodes, and by its own once reports
/// of theirs have stopped.
#[test]
fn the_border_follows_the_work_of_all_nodes() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    isolation.add_work(MS(250), 100.0, now);
    isolation.set_fleet_work([0.0, 500.0, 500.0], now);
    isolation.update_borders(&engine_counts(8), now);
    assert_eq!(isolation.engine_group(Default::default(), 3), Group::Steady);
    let later = now + Duration::from_secs(6);
    isolation.update_borders(&engine_counts(8), later);
    assert_eq!(isolation.engine_group(Default::default(), 3), Group::Bulk);
}

/// Of two steady classes, one tolerates about half the pause of the other, which brings prompts of its own. The
/// stricter one has engines of its own; else a few prompts in a row would stall its streams.
#[test]
fn the_strictest_steady_class_has_separate_engines() {
    let now = Instant::now();
    let mut isolation = Isolation::default();
    for _ in 0..2 {
        isolation.add_work(MS(28), 20.0, now);
        isolation.add_work(MS(44), 20.0, now);
        isolation.add_work(MS(111), 40.0, now);
    }
    isolation.set_fleet_work([400.0, 400.0, 800.0], now);
    isolation.update_borders(&engine_counts(16), now);
    let groups = [28, 44, 111].map(|tolerance| isolation.class_group(MS(tolerance)).unwrap());
    assert_eq!(groups, [Group::Strict, Group::Steady, Group::Bulk]);
    for (group, count) in [(Group::Strict, 4), (Group::Steady, 4), (Group::Bulk, 8)] {
        let engines =
            (0..16).filter(|rank| isolation.engine_group(Default::default(), *rank) == group);
        assert_eq!(engines.count(), count, "{group:?}");
    }
}

/// Whatever the work, a region with few engines has one for steady streams and one for long prompts.
#[test]
fn few_engines_are_never_all_of_one_group() {
    let now = Instant::now();
    for count in 2..6 {
        for work in [[1.0, 1.0, 100.0], [100.0, 1.0, 1.0], [1.0, 100.0, 1.0]] {
            let mut isolation = Isolation::default();
            for (tolerance, seconds) in [28, 44, 111].into_iter().zip(work) {
                isolation.add_work(MS(tolerance), seconds, now);
            }
            isolation.set_fleet_work(work, now);
            isolation.update_borders(&engine_counts(count), now);
            let group = |rank| isolation.engine_group(Default::default(), rank);
            assert!(group(0) < Group::Bulk && group(count - 1) == Group::Bulk, "{count}, {work:?}");
        }
    }
}

/// Hundreds of nodes that each send a request every other second report their work at any moment in between. If
/// they reported it as of their last request, the sum would grow with the number of nodes among which the same
/// requests are divided, and with it the number of active engines.
#[test]
fn the_sum_of_all_nodes_doesnt_depend_on_their_number() {
    const REQUESTS_PER_S: u32 = 300;
    const SECONDS: u32 = 20;
    const WORK: f64 = 0.1;
    let start = Instant::now();
    let expected = f64::from(REQUESTS_PER_S) * WORK;
    for nodes in [6, 600, 1_200] {
        let mut isolations: Vec<_> = (0..nodes).map(|_| Isolation::default()).collect();
        for request in 0..REQUESTS_PER_S * SECONDS {
            let now = start + Duration::from_secs(1) * request / REQUESTS_PER_S;
            isolations[request as usize % nodes].add_work(MS(250), WORK, now);
        }
        let end = start + Duration::from_secs(1) * SECONDS;
        let sum: f64 = isolations.iter().map(|isolation| isolation.work_per_second(end)).sum();
        assert!((sum / expected - 1.0).abs() < 0.1, "{nodes} nodes: {sum} s a second, {expected}");
    }
}

/// Groups are sized by what their engines can do: the fast engines of the strictest streams are fewer than half of all if
/// these streams are half of the work.
#[test]
fn groups_are_sized_by_the_speeds_of_their_engines() {
    let (mut isolation, now) = (Isolation::default(), Instant::now());
    isolation.add_work(MS(60), 100.0, now);
    isolation.add_work(MS(250), 100.0, now);
    let speeds = [1.6; 5].into_iter().chain([1.0; 5]).chain([0.6; 5]);
    let speeds: Vec<f64> = speeds.collect();
    let capacity = Capacity::new(speeds.into_iter(), true);
    isolation.update_borders(&HashMap::from([(ids::Region::default(), capacity)]), now);
    let steady =
        (0..15).filter(|rank| isolation.engine_group(Default::default(), *rank) == Group::Steady);
    assert_eq!(steady.count(), 5);
}
