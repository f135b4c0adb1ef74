use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Source, Sources};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7))
}

fn started(name: &str, own: SocketAddr, seeds: &[SocketAddr]) -> Sources {
    let mut sources = Sources::new(name, own, seeds);
    sources.answered();
    sources
}

/// All nodes lose power and start again. Each reads the store at once; it doesn't wait for seeds that
/// are no further.
#[test]
fn a_node_that_starts_reads_the_store() {
    let (seeds, now) = ([address(1), address(2)], Instant::now());
    let mut sources = Sources::new("a", address(9), &seeds);
    assert_eq!(sources.now(now), Source::Store);
    assert!(!sources.failed(now));
    assert!(matches!(sources.now(now), Source::Peer(_)));
}

/// Seeds read the store; all others ask a seed first, each seed by its part of them.
#[test]
fn seeds_read_and_others_ask_them() {
    let (seeds, now) = ([address(1), address(2), address(3)], Instant::now());
    assert_eq!(started("a", address(1), &seeds).now(now), Source::Store);
    assert_eq!(started("a", address(9), &[]).now(now), Source::Store);
    let mut asked = [0; 3];
    for node in 0..300 {
        let Source::Peer(seed) = started(&format!("n{node}"), address(9), &seeds).now(now) else {
            panic!("a node that is no seed reads the store");
        };
        asked[seeds.iter().position(|known| *known == seed).unwrap()] += 1;
    }
    assert!(asked.iter().all(|count| *count > 70), "{asked:?}");
}

/// A seed is down, then all are. The node goes on to the next and in the end to the store, and comes
/// back to its first once some time has passed.
#[test]
fn a_node_goes_on_until_someone_answers() {
    let (seeds, now) = ([address(1), address(2)], Instant::now());
    let mut sources = started("a", address(9), &seeds);
    let first = sources.now(now);
    assert!(!sources.failed(now));
    assert_ne!(sources.now(now), first);
    assert!(!sources.failed(now));
    assert_eq!(sources.now(now), Source::Store);
    assert_eq!(sources.now(now + Duration::from_secs(6)), first);
    sources.failed(now);
    sources.failed(now);
    assert!(sources.failed(now));
}

/// Seeds stand in three failure domains, one of them behind a narrow link. A node asks the seed of its
/// own domain, or each change would cross that link once for every node behind it.
#[test]
fn the_seed_of_the_own_network_is_asked_first() {
    let seed = |domain: u8| SocketAddr::from(([10, domain, 0, 1], 7));
    let seeds = [seed(1), seed(2), seed(3)];
    for node in 0..20 {
        let own = SocketAddr::from(([10, 2, 0, 9 + node], 7));
        let mut sources = started(&format!("n{node}"), own, &seeds);
        assert_eq!(sources.now(Instant::now()), Source::Peer(seed(2)));
    }
}
