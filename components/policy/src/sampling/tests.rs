use super::draw;
use crate::pick::mix64;

/// Thousands of requests know that one of fifty engines has all its places free and the others a quarter of
/// theirs. Not all of them choose it, nor do they stay away.
#[test]
fn engines_are_drawn_by_their_free_places() {
    let free = |engine: u64| if engine == 0 { 16.0 } else { 4.0 };
    let first = |jitter: u64| {
        let drawn = |engine: &u64| draw(jitter, mix64(*engine), free(*engine));
        (0..50).min_by(|a, b| drawn(a).total_cmp(&drawn(b)))
    };
    let chosen = (0..10_000).filter(|request| first(mix64(*request)) == Some(0)).count();
    let fair = 10_000.0 * 16.0 / (16.0 + 49.0 * 4.0);
    assert!((0.8 * fair..1.2 * fair).contains(&(chosen as f64)), "{chosen} of {fair}");
}

/// All engines are full. One is drawn all the same, each as often as the others.
#[test]
fn full_engines_are_drawn_where_all_are_full() {
    let first = |jitter: u64| {
        let drawn = |engine: &u64| draw(jitter, mix64(*engine), 0.0);
        (0..10_u64).min_by(|a, b| drawn(a).total_cmp(&drawn(b)))
    };
    for engine in 0..10 {
        let chosen = (0..5_000).filter(|request| first(mix64(*request)) == Some(engine)).count();
        assert!((350..650).contains(&chosen), "engine {engine}: {chosen}");
    }
}
