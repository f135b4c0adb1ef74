use std::time::{Duration, Instant};

use super::{Crossing, MAX_KIB_PER_S, RESUME_KIB_PER_S};

/// Guards against a link between regions that is overloaded as traffic grows, and against sessions that move
/// between engines back and forth: affinity stays within regions until the rate is well below the limit.
#[test]
fn affinity_stays_within_regions_above_the_rate_of_a_link() {
    let crossing = Crossing::new(Instant::now());
    assert!(crossing.update_allowed(MAX_KIB_PER_S));
    assert!(!crossing.update_allowed(MAX_KIB_PER_S + 1));
    assert!(!crossing.update_allowed(RESUME_KIB_PER_S));
    assert!(crossing.update_allowed(RESUME_KIB_PER_S - 1));
    assert!(crossing.update_allowed(MAX_KIB_PER_S));
}

/// A node sends a hundred requests of 18 KiB a second. It reports about that rate, and next to nothing once
/// it has stopped.
#[test]
fn the_reported_rate_follows_the_requests() {
    let mut now = Instant::now();
    let crossing = Crossing::new(now);
    for _ in 0..4_000 {
        now += Duration::from_millis(10);
        crossing.record_request_bytes(18 << 10, now);
    }
    let rate = crossing.kib_per_s(now);
    assert!((1_600..2_000).contains(&rate), "{rate}");
    assert!(crossing.kib_per_s(now + Duration::from_secs(60)) < 10);
}
