use std::time::{Duration, Instant};

use super::{Crossing, LEAST, MOST};

/// Traffic grows to many times what a link bears. Homes stay in their regions then, and don't move
/// back with the first lull.
#[test]
fn homes_stay_in_their_region_above_what_a_link_bears() {
    let crossing = Crossing::new(Instant::now());
    assert!(crossing.update_allowed(MOST));
    assert!(!crossing.update_allowed(MOST + 1));
    assert!(!crossing.update_allowed(LEAST));
    assert!(crossing.update_allowed(LEAST - 1));
    assert!(crossing.update_allowed(MOST));
}

/// A node sends a hundred requests of 18 KiB a second. What it tells of is about that, and nothing
/// once it has stopped.
#[test]
fn a_rate_is_told_as_it_is() {
    let mut now = Instant::now();
    let crossing = Crossing::new(now);
    for _ in 0..4_000 {
        now += Duration::from_millis(10);
        crossing.record_sent(18 << 10, now);
    }
    let rate = crossing.kib_per_s(now);
    assert!((1_600..2_000).contains(&rate), "{rate}");
    assert!(crossing.kib_per_s(now + Duration::from_secs(60)) < 10);
}
