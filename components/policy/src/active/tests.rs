use std::time::{Duration, Instant};

use super::{Active, MIN_ENGINES, SHRINK_AFTER};

/// Engines of a region, more than any work here takes.
const MANY: usize = 20_000;

/// A burst needs engines before its first request waits. An ebb of a moment mustn't move sessions away from the
/// engines that cache their prefixes.
#[test]
fn the_set_grows_at_once_and_shrinks_slowly() {
    let (mut active, start) = (Active::default(), Instant::now());
    active.update(46.0, start);
    assert_eq!(active.of(MANY), MIN_ENGINES);
    active.update(800.0, start);
    assert_eq!(active.of(MANY), 2_048);
    active.update(46.0, start + SHRINK_AFTER - Duration::from_millis(1));
    assert_eq!(active.of(MANY), 2_048);
    active.update(46.0, start + SHRINK_AFTER);
    assert_eq!(active.of(MANY), 1_024);
}

/// Nodes don't know exactly the same. Where their figures differ by some percent, their sets are mostly equal.
#[test]
fn nodes_with_slightly_different_figures_agree() {
    let (mut one, mut other, now) = (Active::default(), Active::default(), Instant::now());
    one.update(200.0, now);
    other.update(230.0, now);
    assert_eq!(one.of(MANY), other.of(MANY));
}

/// A deployment whose engines are few or busy uses all of them.
#[test]
fn few_or_busy_engines_are_all_active() {
    let mut active = Active::default();
    active.update(0.0, Instant::now());
    assert_eq!(active.of(100), 100);
    active.update(2_500.0, Instant::now());
    assert_eq!(active.of(6_000), 6_000);
}
