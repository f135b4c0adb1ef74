use super::{Speeds, nearly_equal};

/// Engines of one kind, of which a third is a third faster, keep their order: it is the order in which sessions and
/// isolation groups are assigned, and each change of it costs what is cached.
#[test]
fn engines_of_nearly_equal_speed_count_as_equal() {
    let speeds = Speeds::new([61_000.0, 60_000.0, 80_000.0].into_iter());
    assert!(!speeds.differ);
}

/// Three speeds are told apart, whichever of them most engines have.
#[test]
fn clearly_different_speeds_are_told_apart() {
    let speeds = Speeds::new([22_000.0, 37_000.0, 60_000.0].into_iter());
    assert!(speeds.differ);
    assert!(!nearly_equal(22_000.0, 37_000.0) && !nearly_equal(60_000.0, 37_000.0));
}

/// A pool without engines has no speeds to compare.
#[test]
fn no_engines_have_no_speeds() {
    assert!(!Speeds::new(std::iter::empty()).differ);
}
