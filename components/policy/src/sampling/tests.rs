use super::sampling_key;
use crate::pick::mix64;

/// One of fifty engines has all its slots free and the others a quarter of theirs. Of thousands of requests it
/// gets a number in proportion to its free slots: not all, as with the best engine taken, and not none.
#[test]
fn engines_are_sampled_in_proportion_to_free_slots() {
    let free = |engine: u64| if engine == 0 { 16.0 } else { 4.0 };
    let first = |jitter: u64| {
        let key = |engine: &u64| sampling_key(jitter, mix64(*engine), free(*engine));
        (0..50).min_by(|a, b| key(a).total_cmp(&key(b)))
    };
    let chosen = (0..10_000).filter(|request| first(mix64(*request)) == Some(0)).count();
    let fair = 10_000.0 * 16.0 / (16.0 + 49.0 * 4.0);
    assert!((0.8 * fair..1.2 * fair).contains(&(chosen as f64)), "{chosen} of {fair}");
}

/// If all engines are full, each of them is sampled equally often.
#[test]
fn full_engines_are_sampled_evenly() {
    let first = |jitter: u64| {
        let key = |engine: &u64| sampling_key(jitter, mix64(*engine), 0.0);
        (0..10_u64).min_by(|a, b| key(a).total_cmp(&key(b)))
    };
    for engine in 0..10 {
        let chosen = (0..5_000).filter(|request| first(mix64(*request)) == Some(engine)).count();
        assert!((350..650).contains(&chosen), "engine {engine}: {chosen}");
    }
}
