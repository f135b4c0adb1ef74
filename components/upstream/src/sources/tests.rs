use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{
    Context, DELEGATE_WAIT, FIRST_RETRY_MAX, FIRST_RETRY_MIN, FIRST_STORE_READ_DELAY, Failure,
    LONG_LIST_WAIT, SHORT_LIST_BYTES, STARTUP, Source, Sources,
};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7))
}

/// The sources of a node that started and received settings some time ago.
fn running(name: &str, own: SocketAddr, seeds: &[SocketAddr]) -> Sources {
    let mut sources = Sources::new(name, own, seeds, Instant::now() - STARTUP * 2);
    sources.record_success();
    sources
}

/// All nodes lose power and start again, and no seed comes back. A node asks every seed before it reads the
/// store, or hundreds would read it at once; it doesn't wait for seeds for long, as callers wait.
#[test]
fn a_node_that_starts_asks_every_seed_before_the_store() {
    let (seeds, now) = ([address(1), address(2)], Instant::now());
    for failure in [Failure::Refused, Failure::Down] {
        let mut sources = Sources::new("a", address(9), &seeds, now);
        let first = sources.select(Context::default(), now);
        assert!(!sources.record_failure(failure, Context::default(), now));
        let second = sources.select(Context::default(), now);
        assert_ne!(second, first);
        assert!(matches!((first, second), (Source::Peer(_), Source::Peer(_))));
        assert!(
            sources.record_failure(failure, Context::default(), now),
            "a pause after each round"
        );
        assert_eq!(sources.select(Context::default(), now), first);
        assert!(!sources.record_failure(failure, Context::default(), now + FIRST_STORE_READ_DELAY));
        assert!(!sources.record_failure(failure, Context::default(), now + FIRST_STORE_READ_DELAY));
        assert_eq!(sources.select(Context::default(), now + FIRST_STORE_READ_DELAY), Source::Store);
        sources.record_success();
        let later =
            sources.select(Context::default(), now + FIRST_STORE_READ_DELAY + FIRST_RETRY_MIN);
        assert!(matches!(later, Source::Peer(_)));
    }
}

/// A fleet in two regions starts, and its seeds need longer to read thousands of servers than nodes ask all of them at
/// once. Then each node would take the list from any seed, which crosses the link between the regions hundreds of times.
#[test]
fn a_node_that_starts_asks_the_seeds_of_its_region_first() {
    let (seeds, now) = ([address(1), address(2), address(3)], Instant::now());
    let near = HashSet::from([address(2)]);
    for node in 0..20 {
        let mut sources = Sources::new(&format!("n{node}"), address(9), &seeds, now);
        sources.prefer_region(near.clone());
        assert_eq!(sources.select(Context::default(), now), Source::Peer(address(2)));
        assert_eq!(sources.peers().len(), seeds.len());
        for _ in 0..seeds.len() {
            sources.record_failure(Failure::Down, Context::default(), now + FIRST_STORE_READ_DELAY);
        }
        assert_eq!(sources.select(Context::default(), now), Source::Store);
    }
}

/// The seed of a node's region is busy sending its list to hundreds of nodes, so that it misses reports of load and one of
/// another region seems to be the nearest. If nodes followed that one, all changes of all servers would cross the link.
#[test]
fn a_seed_of_another_region_is_never_preferred() {
    let (seeds, now) = ([address(1), address(2)], Instant::now());
    let mut sources = Sources::new("a", address(9), &seeds, now);
    sources.prefer_region(HashSet::from([address(2)]));
    sources.record_success();
    sources.prefer(address(1));
    assert_eq!(sources.select(Context::default(), now), Source::Peer(address(2)));
    // It is asked while the near one fails.
    sources.record_failure(Failure::Down, Context::default(), now);
    assert_eq!(sources.select(Context::default(), now), Source::Peer(address(1)));
}

/// Seeds read the store. All other nodes ask a seed first, and spread evenly over the seeds.
#[test]
fn only_seeds_read_the_store() {
    let (seeds, now) = ([address(1), address(2), address(3)], Instant::now());
    assert_eq!(running("a", address(1), &seeds).select(Context::default(), now), Source::Store);
    assert_eq!(running("a", address(9), &[]).select(Context::default(), now), Source::Store);
    let mut asked = [0; 3];
    for node in 0..300 {
        let Source::Peer(seed) =
            running(&format!("n{node}"), address(9), &seeds).select(Context::default(), now)
        else {
            panic!("a node that isn't a seed reads the store");
        };
        asked[seeds.iter().position(|known| *known == seed).unwrap()] += 1;
    }
    assert!(asked.iter().all(|count| *count > 70), "{asked:?}");
}

/// One seed is down, then all are. The node moves on to the next seed and finally to the store, and goes back
/// to its first seed after some time.
#[test]
fn a_node_moves_on_until_a_source_answers() {
    let (seeds, now) = ([address(1), address(2)], Instant::now());
    let mut sources = running("a", address(9), &seeds);
    let first = sources.select(Context::default(), now);
    assert!(!sources.record_failure(Failure::Refused, Context::default(), now));
    assert_ne!(sources.select(Context::default(), now), first);
    assert!(!sources.record_failure(Failure::Refused, Context::default(), now));
    assert_eq!(sources.select(Context::default(), now), Source::Store);
    assert_eq!(sources.select(Context::default(), now + Duration::from_secs(6)), first);
    sources.record_failure(Failure::Refused, Context::default(), now);
    sources.record_failure(Failure::Refused, Context::default(), now);
    assert!(sources.record_failure(Failure::Refused, Context::default(), now));
}

/// Three failure domains have a seed each, and one of them is behind a narrow link. A node asks the seed of
/// its own domain first, or each change would cross that link once for every node behind it.
#[test]
fn the_seed_of_the_own_network_is_asked_first() {
    let seed = |domain: u8| SocketAddr::from(([10, domain, 0, 1], 7));
    let seeds = [seed(1), seed(2), seed(3)];
    for node in 0..20 {
        let own = SocketAddr::from(([10, 2, 0, 9 + node], 7));
        let mut sources = running(&format!("n{node}"), own, &seeds);
        assert_eq!(sources.select(Context::default(), Instant::now()), Source::Peer(seed(2)));
    }
}

/// A whole region starts at once, and its seed is ready a moment after the other nodes, which ask it again.
/// If they went on to a seed of another region, the entries of all starting servers would be sent to each of
/// them over a narrow link.
#[test]
fn a_seed_that_is_starting_too_is_asked_again() {
    let (seeds, now) = ([address(1), address(2)], Instant::now());
    let mut sources = Sources::new("a", address(9), &seeds, now);
    sources.record_success();
    let first = sources.select(Context::default(), now);
    assert!(
        sources.record_failure(Failure::Refused, Context::default(), now + STARTUP / 2),
        "it must pause before it asks again"
    );
    assert_eq!(sources.select(Context::default(), now + STARTUP / 2), first);
    sources.record_failure(Failure::Refused, Context::default(), now + STARTUP);
    assert_ne!(sources.select(Context::default(), now + STARTUP), first);
}

/// After a short outage of its first seed a node goes back to it within a second. During a long one it doesn't
/// lose time with an attempt every second: the interval doubles up to a bound.
#[test]
fn retries_of_the_first_seed_back_off() {
    let (seeds, mut now) = ([address(1), address(2)], Instant::now());
    let mut sources = running("a", address(9), &seeds);
    let first = sources.select(Context::default(), now);
    for retry in [
        FIRST_RETRY_MIN,
        FIRST_RETRY_MIN * 2,
        FIRST_RETRY_MIN * 4,
        FIRST_RETRY_MAX,
        FIRST_RETRY_MAX,
    ] {
        sources.record_failure(Failure::Refused, Context::default(), now);
        let early = now + retry - Duration::from_millis(1);
        assert_ne!(sources.select(Context::default(), early), first, "after less than {retry:?}");
        now += retry;
        assert_eq!(sources.select(Context::default(), now), first, "after {retry:?}");
    }
    sources.record_success();
    sources.record_failure(Failure::Refused, Context::default(), now);
    assert_eq!(sources.select(Context::default(), now + FIRST_RETRY_MIN), first);
}

/// The list of servers is long, and no seed has it yet. A starting node doesn't read all of it from the store
/// before the seeds have had time to.
#[test]
fn a_long_list_is_left_to_seeds_at_first() {
    let (seeds, now) = ([address(1)], Instant::now());
    let mut sources = Sources::new("a", address(9), &seeds, now);
    assert!(!sources.record_failure(
        Failure::Refused,
        Context::default(),
        now + FIRST_STORE_READ_DELAY
    ));
    assert_eq!(sources.select(Context::default(), now + FIRST_STORE_READ_DELAY), Source::Store);
    assert_eq!(sources.list_limit(now + FIRST_STORE_READ_DELAY), Some(SHORT_LIST_BYTES));
    sources.record_long_list();
    for millis in [200, 1_500, 2_900] {
        let now = now + Duration::from_millis(millis);
        assert_eq!(sources.select(Context::default(), now), Source::Peer(address(1)));
        assert!(sources.record_failure(Failure::Refused, Context::default(), now));
    }
    let late = now + LONG_LIST_WAIT;
    assert!(!sources.record_failure(Failure::Refused, Context::default(), late));
    assert_eq!(sources.select(Context::default(), late), Source::Store);
    assert_eq!(sources.list_limit(late), None);
    let seed = Sources::new("b", address(1), &seeds, now);
    assert_eq!(seed.list_limit(now), None, "a seed must read the whole list");
}

/// Simulates a node for so many seconds while all seeds have lost contact with the store and the store doesn't
/// answer this node either. Returns the times of its reads of the store since the beginning.
fn reads_in_an_outage(context: Context, seconds: u64) -> Vec<Duration> {
    let (seeds, begin) = ([address(1), address(2), address(3)], Instant::now());
    let mut sources = running("a", address(9), &seeds);
    let (mut now, mut reads) = (begin, vec![]);
    while now < begin + Duration::from_secs(seconds) {
        let failure = match sources.select(context, now) {
            Source::Store => {
                reads.push(now - begin);
                Failure::Down
            }
            Source::Peer(_) => Failure::StoreLost,
        };
        let pause = sources.record_failure(failure, context, now);
        now += Duration::from_millis(if pause { 300 } else { 10 });
    }
    reads
}

/// The store is down for everyone. Hundreds of nodes that each kept calling it would make thousands of calls,
/// all of them paid for, and learn nothing that a seed doesn't report to them.
#[test]
fn a_large_fleet_makes_few_calls_to_a_store_that_is_down() {
    let context = Context { is_delegate: false, fleet_nodes: 300 };
    let reads: Vec<_> = (0..300).map(|_| reads_in_an_outage(context, 8)).collect();
    let all: usize = reads.iter().map(Vec::len).sum();
    assert!(all < 4 * 300, "{all} calls by 300 nodes in 8 s");
    assert!(
        reads.iter().flatten().all(|at| *at >= DELEGATE_WAIT),
        "a read comes before delegates had their time"
    );
    let first = reads.iter().map(|reads| reads.first().expect("each node reads the store"));
    let last_proof = Duration::from_secs(3);
    assert!(first.max() < Some(&last_proof), "a node reads the store too late for its proof");
}

/// A seed that has lost contact with the store relies on this node, which reads the store at once and for as
/// long as it is the delegate.
#[test]
fn a_delegate_reads_the_store() {
    let (seeds, now) = ([address(1)], Instant::now());
    let context = Context { is_delegate: true, fleet_nodes: 300 };
    let mut sources = running("a", address(9), &seeds);
    assert!(!sources.record_failure(Failure::StoreLost, context, now));
    assert_eq!(sources.select(context, now), Source::Store);
    sources.record_success();
    assert_eq!(sources.select(context, now + FIRST_RETRY_MAX), Source::Store);
    let relieved = Context { is_delegate: false, ..context };
    assert!(matches!(sources.select(relieved, now + FIRST_RETRY_MAX), Source::Peer(_)));
}

/// All seeds are cut off from the store, which everyone else can reach. A seed asks the other seeds, then a
/// node that asked it, and tries the store again after some time.
#[test]
fn a_seed_without_contact_to_the_store_asks_a_delegate() {
    let (seeds, now) = ([address(1), address(2)], Instant::now());
    let mut sources = running("a", address(1), &seeds);
    let context = Context::default();
    let delegate = Some(address(9));
    sources.set_delegate(delegate);
    assert!(!sources.record_failure(Failure::Down, context, now));
    assert_eq!(sources.select(context, now), Source::Peer(address(2)));
    sources.set_delegate(delegate);
    assert!(!sources.record_failure(Failure::StoreLost, context, now));
    assert_eq!(sources.select(context, now), Source::Peer(address(9)));
    sources.record_success();
    assert_eq!(sources.select(context, now + FIRST_RETRY_MIN / 2), Source::Peer(address(9)));
    assert_eq!(sources.select(context, now + FIRST_RETRY_MIN), Source::Store);
}

/// A seed is cut off from the store for long and relies on a delegate. A failed probe of the store must not
/// count as a loss of contact: at each probe, all nodes would again keep servers that are gone as possibly alive.
#[test]
fn a_source_that_works_is_kept_while_the_first_is_tried_again() {
    let (seeds, now) = ([address(1)], Instant::now());
    let context = Context::default();
    let mut sources = running("a", address(1), &seeds);
    sources.set_delegate(Some(address(9)));
    assert!(!sources.is_probing_first() && !sources.record_failure(Failure::Down, context, now));
    sources.record_success();
    assert_eq!(sources.select(context, now + FIRST_RETRY_MIN), Source::Store);
    assert!(sources.is_probing_first());
    assert!(!sources.record_failure(Failure::Down, context, now + FIRST_RETRY_MIN));
    assert_eq!(sources.select(context, now + FIRST_RETRY_MIN), Source::Peer(address(9)));
    assert!(!sources.is_probing_first());
}

/// Published settings cross a link that is paid for by volume, once for each node that asks a seed beyond it. A node
/// goes on with the nearest seed once that is known, but not while it looks for one that answers.
#[test]
fn the_nearest_seed_becomes_the_first_source() {
    let (seeds, now) = ([address(1), address(2), address(3)], Instant::now());
    let mut sources = running("a", address(9), &seeds);
    for seed in seeds {
        sources.prefer(seed);
        assert_eq!(sources.select(Context::default(), now), Source::Peer(seed));
        assert_eq!(sources.peers().len(), seeds.len());
    }
    assert!(!sources.record_failure(Failure::Down, Context::default(), now));
    let second = sources.select(Context::default(), now);
    sources.prefer(seeds[0]);
    assert_eq!(sources.select(Context::default(), now), second);
}
