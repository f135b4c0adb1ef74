use std::time::{Duration, Instant};

use super::{MAX_HORIZON, MIN_HORIZON, Memory};

const CAPACITY: u32 = 200_000;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Inserts tokens at a constant rate for 20 s; returns when that ends.
fn insert_steadily(memory: &mut Memory, per_second: u32, start: Instant) -> Instant {
    let times = (0..200).map(|step| start + seconds(f64::from(step) * 0.1));
    times.fold(start, |_, now| {
        memory.insert(per_second / 10, now);
        now
    })
}

/// A wrong scale of the decaying sum would make all horizons wrong by the same factor.
#[test]
fn the_horizon_is_free_memory_over_the_insert_rate() {
    let mut memory = Memory::default();
    memory.run(100_000);
    let now = insert_steadily(&mut memory, 20_000, Instant::now());
    let horizon = memory.horizon(CAPACITY, now).expect("memory is crowded").as_secs_f64();
    assert!((horizon / 5.0 - 1.0).abs() < 0.05, "{horizon}");
}

/// Bounds hold where the free memory or the rate is 0: no division by zero, and no part that is surely in use counts as
/// evicted.
#[test]
fn the_horizon_is_bounded() {
    let (mut memory, now) = (Memory::default(), Instant::now());
    memory.run(150_000);
    assert_eq!(memory.horizon(CAPACITY, now), Some(MAX_HORIZON));
    memory.run(150_000);
    assert_eq!(memory.horizon(CAPACITY, now), Some(MIN_HORIZON));
    assert_eq!(memory.room(CAPACITY, now), 0.0);
}

/// After a burst, the estimate must not keep prefixes from being used for longer than the burst evicted them.
#[test]
fn the_horizon_grows_again_after_a_burst() {
    let mut memory = Memory::default();
    memory.run(80_000);
    let now = insert_steadily(&mut memory, 60_000, Instant::now());
    let horizons = [0.0, 4.0, 8.0].map(|after| memory.horizon(CAPACITY, now + seconds(after)));
    assert!(horizons.is_sorted(), "{horizons:?}");
    memory.end(80_000);
    assert_eq!(memory.horizon(CAPACITY, now + seconds(20.0)), None);
}

/// Parts are never counted for longer than 10 s at an engine that evicts sooner, nor for longer than 30 s at any.
#[test]
fn survival_ends_at_the_limits() {
    let survival = |age, horizon| super::survival(seconds(age), Some(seconds(horizon)));
    assert!(survival(9.9, 9.5) > 0.0);
    assert_eq!(survival(10.0, 9.5), 0.0);
    assert!(survival(14.0, 15.0) > 0.5);
    assert!(survival(29.9, 30.0) > 0.0);
    assert_eq!(survival(30.0, 30.0), 0.0);
}
