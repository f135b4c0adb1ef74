use super::*;

const SLOTS: u32 = 64;
const TARGET: f64 = 0.050;

/// Two minutes of an engine whose steps grow with the batch, always given all that the limit lets.
fn settle(slow: f64) -> u32 {
    let (start, mut limit) = (Instant::now(), Limit::default());
    for tenth in 0..1_200 {
        let ramp = (tenth + 1).min(limit.usable_slots(SLOTS));
        let interval = 0.020 * slow * (1.0 + f64::from(ramp) / 16.0);
        limit.observe(interval, TARGET, SLOTS, start + Duration::from_millis(100) * tenth);
    }
    limit.usable_slots(SLOTS)
}

/// The settings give an engine more places than its batch can serve in time. All its streams crawl,
/// though it looks far from full.
#[test]
fn can_find_the_batch_that_keeps_the_target() {
    let places = settle(1.0);
    assert!((20..=28).contains(&places), "the target is met by 24 places, the limit is {places}");
}

/// An engine that is slow whatever it is given, such as one on a throttled accelerator. Were it
/// given less, its streams would be as slow, and fewer.
#[test]
fn can_leave_a_server_its_places_that_less_work_would_not_mend() {
    let (start, mut limit) = (Instant::now(), Limit::default());
    for second in 0..60 {
        limit.observe(0.3, TARGET, 8, start + Duration::from_secs(second));
    }
    assert_eq!(limit.usable_slots(8), 8);
}
