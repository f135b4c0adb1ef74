use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Apart, Group};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn engines(count: usize) -> HashMap<ids::Region, usize> {
    HashMap::from([(ids::Region::default(), count)])
}

/// Long prompts and steady streams share engines in proportion to their work, and each class is at
/// its own; put together, a reader of a stream would see it stutter at each prompt.
#[test]
fn classes_that_bear_unlike_pauses_have_engines_of_their_own() {
    let now = Instant::now();
    let mut apart = Apart::default();
    apart.add(MS(60), 10.0, now);
    apart.add(MS(65), 10.0, now);
    apart.add(MS(250), 20.0, now);
    apart.measure(&engines(8), now);
    assert_eq!(apart.group(MS(60)), Some(Group::Steady));
    assert_eq!(apart.group(MS(65)), Some(Group::Steady));
    assert_eq!(apart.group(MS(250)), Some(Group::Bulk));
    let steady = (0..8).filter(|rank| apart.engine(Default::default(), *rank) == Group::Steady);
    assert_eq!(steady.count(), 4);
}

/// A small site has two engines and nearly all of its work is long prompts. Both groups keep an
/// engine, or the streams would have none.
#[test]
fn each_group_keeps_an_engine() {
    let now = Instant::now();
    let mut apart = Apart::default();
    apart.add(MS(60), 0.01, now);
    apart.add(MS(250), 10.0, now);
    apart.measure(&engines(2), now);
    assert_eq!(apart.engine(Default::default(), 0), Group::Steady);
    assert_eq!(apart.engine(Default::default(), 1), Group::Bulk);
}

/// Work goes up and down by a few parts in a hundred. The border between the groups stays, or what
/// engines at it have cached would be read again with each wave.
#[test]
fn a_wave_moves_no_border() {
    let now = Instant::now();
    let mut apart = Apart::default();
    apart.add(MS(60), 50.0, now);
    apart.add(MS(250), 50.0, now);
    apart.measure(&engines(8), now);
    apart.add(MS(250), 15.0, now);
    apart.measure(&engines(8), now);
    assert_eq!(apart.engine(Default::default(), 3), Group::Steady);
    apart.add(MS(250), 200.0, now);
    apart.measure(&engines(8), now);
    assert_eq!(apart.engine(Default::default(), 3), Group::Bulk);
}

/// All classes bear the same pauses, so nothing is gained by keeping them apart.
#[test]
fn like_classes_share_all_engines() {
    let now = Instant::now();
    let mut apart = Apart::default();
    apart.add(MS(60), 1.0, now);
    apart.add(MS(70), 1.0, now);
    let now = now + Duration::from_secs(60);
    apart.add(MS(60), 1.0, now);
    apart.measure(&engines(8), now);
    assert_eq!(apart.group(MS(60)), None);
}

/// A node starts into its first requests and knows of no work yet. Long prompts and steady streams
/// are apart all the same, or the first streams of each start would stutter.
#[test]
fn groups_stand_before_any_work_is_known() {
    let now = Instant::now();
    let mut apart = Apart::default();
    apart.add(MS(250), 0.1, now);
    apart.measure(&engines(8), now);
    assert_eq!(apart.engine(Default::default(), 0), Group::Steady);
    assert_eq!(apart.group(MS(250)), Some(Group::Bulk));
}

/// One node of many sees few streams by chance. It draws the border by the work of all of them, and
/// by its own again once nobody tells it of theirs.
#[test]
fn the_border_follows_the_work_of_all_nodes() {
    let now = Instant::now();
    let mut apart = Apart::default();
    apart.add(MS(250), 100.0, now);
    apart.set_fleet([500.0, 500.0], now);
    apart.measure(&engines(8), now);
    assert_eq!(apart.engine(Default::default(), 3), Group::Steady);
    let later = now + Duration::from_secs(6);
    apart.measure(&engines(8), later);
    assert_eq!(apart.engine(Default::default(), 3), Group::Bulk);
}
