use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Group, Isolation};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn engines(count: usize) -> HashMap<ids::Region, usize> {
    HashMap::from([(ids::Region::default(), count)])
}

/// Long prompts and steady streams share engines in proportion to their work, and each class is at
/// its own; put together, a reader of a stream would see it stutter at each prompt.
#[test]
fn classes_that_bear_unlike_pauses_have_engines_of_their_own() {
    let now = Instant::now();
    let mut groups = Isolation::default();
    groups.add_work(MS(60), 10.0, now);
    groups.add_work(MS(65), 10.0, now);
    groups.add_work(MS(250), 20.0, now);
    groups.update_borders(&engines(8), now);
    assert_eq!(groups.class_group(MS(60)), Some(Group::Steady));
    assert_eq!(groups.class_group(MS(65)), Some(Group::Steady));
    assert_eq!(groups.class_group(MS(250)), Some(Group::Bulk));
    let steady =
        (0..8).filter(|rank| groups.engine_group(Default::default(), *rank) == Group::Steady);
    assert_eq!(steady.count(), 4);
}

/// A small site has two engines and nearly all of its work is long prompts. Both groups keep an
/// engine, or the streams would have none.
#[test]
fn each_group_keeps_an_engine() {
    let now = Instant::now();
    let mut groups = Isolation::default();
    groups.add_work(MS(60), 0.01, now);
    groups.add_work(MS(250), 10.0, now);
    groups.update_borders(&engines(2), now);
    assert_eq!(groups.engine_group(Default::default(), 0), Group::Steady);
    assert_eq!(groups.engine_group(Default::default(), 1), Group::Bulk);
}

/// Work goes up and down by a few parts in a hundred. The border between the groups stays, or what
/// engines at it have cached would be read again with each wave.
#[test]
fn a_wave_moves_no_border() {
    let now = Instant::now();
    let mut groups = Isolation::default();
    groups.add_work(MS(60), 50.0, now);
    groups.add_work(MS(250), 50.0, now);
    groups.update_borders(&engines(8), now);
    groups.add_work(MS(250), 15.0, now);
    groups.update_borders(&engines(8), now);
    assert_eq!(groups.engine_group(Default::default(), 3), Group::Steady);
    groups.add_work(MS(250), 200.0, now);
    groups.update_borders(&engines(8), now);
    assert_eq!(groups.engine_group(Default::default(), 3), Group::Bulk);
}

/// All classes bear the same pauses, so nothing is gained by keeping them groups.
#[test]
fn like_classes_share_all_engines() {
    let now = Instant::now();
    let mut groups = Isolation::default();
    groups.add_work(MS(60), 1.0, now);
    groups.add_work(MS(70), 1.0, now);
    let now = now + Duration::from_secs(60);
    groups.add_work(MS(60), 1.0, now);
    groups.update_borders(&engines(8), now);
    assert_eq!(groups.class_group(MS(60)), None);
}

/// A node starts into its first requests and knows of no work yet. Long prompts and steady streams
/// are apart all the same, or the first streams of each start would stutter.
#[test]
fn groups_stand_before_any_work_is_known() {
    let now = Instant::now();
    let mut groups = Isolation::default();
    groups.add_work(MS(250), 0.1, now);
    groups.update_borders(&engines(8), now);
    assert_eq!(groups.engine_group(Default::default(), 0), Group::Steady);
    assert_eq!(groups.class_group(MS(250)), Some(Group::Bulk));
}

/// One node of many sees few streams by chance. It draws the border by the work of all of them, and
/// by its own again once nobody tells it of theirs.
#[test]
fn the_border_follows_the_work_of_all_nodes() {
    let now = Instant::now();
    let mut groups = Isolation::default();
    groups.add_work(MS(250), 100.0, now);
    groups.set_fleet_work([0.0, 500.0, 500.0], now);
    groups.update_borders(&engines(8), now);
    assert_eq!(groups.engine_group(Default::default(), 3), Group::Steady);
    let later = now + Duration::from_secs(6);
    groups.update_borders(&engines(8), later);
    assert_eq!(groups.engine_group(Default::default(), 3), Group::Bulk);
}

/// Two steady classes, of which the one bears half of what the other does and the other brings prompts of
/// its own. The strictest has engines of its own, or each few prompts in a row would stall its streams.
#[test]
fn the_strictest_of_unlike_steady_classes_is_apart() {
    let now = Instant::now();
    let mut groups = Isolation::default();
    for _ in 0..2 {
        groups.add_work(MS(28), 20.0, now);
        groups.add_work(MS(44), 20.0, now);
        groups.add_work(MS(111), 40.0, now);
    }
    groups.set_fleet_work([400.0, 400.0, 800.0], now);
    groups.update_borders(&engines(16), now);
    let own = [28, 44, 111].map(|bears| groups.class_group(MS(bears)).unwrap());
    assert_eq!(own, [Group::Strict, Group::Steady, Group::Bulk]);
    for (group, count) in [(Group::Strict, 4), (Group::Steady, 4), (Group::Bulk, 8)] {
        let engines =
            (0..16).filter(|rank| groups.engine_group(Default::default(), *rank) == group);
        assert_eq!(engines.count(), count, "{group:?}");
    }
}

/// A region has as few engines as there are groups, or fewer. Whatever the work, there is an engine for
/// steady streams and one for long prompts.
#[test]
fn few_engines_are_never_all_of_one_group() {
    let now = Instant::now();
    for count in 2..6 {
        for work in [[1.0, 1.0, 100.0], [100.0, 1.0, 1.0], [1.0, 100.0, 1.0]] {
            let mut groups = Isolation::default();
            for (bears, seconds) in [28, 44, 111].into_iter().zip(work) {
                groups.add_work(MS(bears), seconds, now);
            }
            groups.set_fleet_work(work, now);
            groups.update_borders(&engines(count), now);
            let of = |rank| groups.engine_group(Default::default(), rank);
            assert!(of(0) < Group::Bulk && of(count - 1) == Group::Bulk, "{count}, {work:?}");
        }
    }
}
