use super::*;

const SLOTS: u32 = 64;
const TARGET: f64 = 0.050;

/// The limit after two minutes at an engine whose token interval grows with its batch, and which always runs
/// as many requests as the limit allows.
fn settled_limit(slowdown: f64) -> u32 {
    let (start, mut limit) = (Instant::now(), Limit::default());
    for tenth in 0..1_200 {
        let batch = (tenth + 1).min(limit.usable_slots(SLOTS));
        let interval = 0.020 * slowdown * (1.0 + f64::from(batch) / 16.0);
        limit.observe(interval, TARGET, SLOTS, start + Duration::from_millis(100) * tenth);
    }
    limit.usable_slots(SLOTS)
}

/// Guards against slow streams at an engine whose configured slots exceed the batch that it can serve in time:
/// with free slots, it looks far from full.
#[test]
fn the_limit_settles_at_the_batch_that_meets_the_target() {
    let slots = settled_limit(1.0);
    assert!((20..=28).contains(&slots), "the target is met by 24 slots, the limit is {slots}");
}

/// Guards against lowering the limit of an engine that is slow at any load, such as one on a throttled
/// accelerator: its streams would be as slow, and fewer.
#[test]
fn a_server_that_is_slow_at_any_load_keeps_its_slots() {
    let (start, mut limit) = (Instant::now(), Limit::default());
    for second in 0..60 {
        limit.observe(0.3, TARGET, 8, start + Duration::from_secs(second));
    }
    assert_eq!(limit.usable_slots(8), 8);
}
