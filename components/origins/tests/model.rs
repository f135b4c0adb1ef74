//! Searches all orders in which a small fleet begins a stream, tells of it, loses nodes, and has it taken up.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use origins::{COPIES, Census, Members, Origin, Record, Stream, Table, Version};
use wire::gossip::Peer;

const NODES: usize = 5;
const SERVICE: u32 = 7;
const OLD: Version = Version(1);
const NEW: Version = Version(2);
const LIFETIME: Duration = Duration::from_secs(10);
const STREAM: Stream = Stream(42);

/// What may happen next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A node learns that the new version serves.
    Learn(usize),
    /// The first node begins the stream at the newest version that it knows.
    Begin,
    /// One message of the first node arrives at a keeper.
    Tell(usize),
    /// A node is killed and starts again with the list of servers as it is, and without anything else.
    Kill(usize),
    /// A node is killed and doesn't come back.
    Lose(usize),
    /// The last server of the old version leaves.
    Leave,
    /// All nodes are killed and start again with the list of servers as it is.
    KillAll,
    /// The same without the last node.
    KillMost,
}

struct Node {
    is_up: bool,
    table: Table,
    census: Census,
    told: bool,
}

#[derive(Default)]
struct Outcomes {
    continued: u32,
    refused: u32,
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, 0, node as u8], 80).into()
}

fn members() -> Members {
    let peer = |node| Peer { address: address(node), domain: format!("d{}", node % 3) };
    let mut members = Members::default();
    members.apply((0..NODES).map(peer).collect());
    members
}

fn start(start: Instant, versions: &[Version]) -> Node {
    let mut census = Census::default();
    versions.iter().for_each(|version| census.add(SERVICE, *version, start));
    Node { is_up: true, table: Table::default(), census, told: false }
}

/// Plays events in order; returns the version that began the stream and, for each node at which it is then taken up,
/// the version at which it goes on. Events that can't happen make the order void.
fn play(events: &[Event], begun: Instant) -> Option<(Version, Vec<Option<Version>>)> {
    let now = begun + LIFETIME;
    let mut nodes: Vec<_> = (0..NODES).map(|_| start(begun, &[OLD])).collect();
    let keepers = members().keepers(STREAM);
    let mut truth = None;
    let (mut new_serves, mut old_left) = (false, false);
    for event in events {
        new_serves |= matches!(event, Event::Learn(_) | Event::Kill(_));
        let served = if new_serves { &[OLD, NEW][..] } else { &[OLD] };
        let listed = if old_left { &[NEW][..] } else { served };
        match *event {
            Event::Leave if !new_serves => return None,
            Event::Leave => {
                old_left = true;
                nodes.iter_mut().for_each(|node| node.census.remove(SERVICE, OLD, now));
            }
            Event::KillAll => nodes = (0..NODES).map(|_| start(now, listed)).collect(),
            Event::KillMost => {
                nodes[..NODES - 1].iter_mut().for_each(|node| *node = start(now, listed));
            }
            Event::Begin | Event::Tell(_) if !nodes[0].is_up => return None,
            Event::Learn(node) => nodes[node].census.add(SERVICE, NEW, now),
            Event::Begin => {
                let first = &mut nodes[0];
                let mixed = first.census.is_mixed(SERVICE, LIFETIME, now);
                let version = if mixed || old_left { NEW } else { OLD };
                let (origin, expires) = (Origin::Version(version), now + LIFETIME);
                first.table.begin(Record { stream: STREAM, origin, expires }, SERVICE, 0, now);
                truth = Some(version);
                if version == NEW && nodes[0].census.is_news(SERVICE, NEW, now) {
                    for node in (0..NODES).filter(|node| keepers.contains(&address(*node))) {
                        nodes[node].table.insert(STREAM, origin, expires, now);
                    }
                }
            }
            Event::Tell(node) => {
                let first = &nodes[0];
                let mixed = first.census.is_mixed(SERVICE, LIFETIME, now);
                let record = first.table.record(STREAM, now).filter(|_| mixed)?;
                if !keepers.contains(&address(node)) || nodes[node].told {
                    return None;
                }
                nodes[node].told = true;
                nodes[node].table.insert(STREAM, record.origin, record.expires, now);
            }
            Event::Kill(node) => nodes[node] = start(now, listed),
            Event::Lose(node) => nodes[node].is_up = false,
        }
    }
    let take_up = |node: usize| {
        let asked = members().asked(STREAM);
        let known = |other: usize| nodes[other].table.origin(STREAM, now);
        let others = (0..NODES).filter(|other| {
            *other != node && nodes[*other].is_up && asked.contains(&address(*other))
        });
        let told = known(node).or_else(|| others.clone().find_map(known));
        if let Some(origin) = told {
            return match origin {
                Origin::Version(version) => Some(version),
                Origin::Uncertain => None,
            };
        }
        let evidence = |node: usize| nodes[node].census.evidence(SERVICE, LIFETIME, now);
        let seen: Vec<_> = others.map(evidence).collect();
        evidence(node).conclude(&seen, LIFETIME)
    };
    let up = (0..NODES).filter(|node| nodes[*node].is_up);
    Some((truth?, up.map(take_up).collect()))
}

fn search(events: &mut Vec<Event>, depth: usize, now: Instant, outcomes: &mut Outcomes) {
    if let Some((truth, taken_up)) = play(events, now) {
        for version in taken_up {
            assert!(version.is_none_or(|version| version == truth), "{events:?}: {version:?}");
            outcomes.continued += u32::from(version.is_some());
            outcomes.refused += u32::from(version.is_none());
        }
    }
    if depth == 0 {
        return;
    }
    let per_node =
        (0..NODES).flat_map(|n| [Event::Learn(n), Event::Tell(n), Event::Kill(n), Event::Lose(n)]);
    let all = [Event::Begin, Event::Leave, Event::KillAll, Event::KillMost];
    for event in per_node.chain(all) {
        if matches!(event, Event::Kill(_)) || !events.contains(&event) {
            events.push(event);
            search(events, depth - 1, now, outcomes);
            events.pop();
        }
    }
}

/// Nodes learn of a version one after the other, and are killed before or after they have told anyone. Guards against
/// a stream that goes on at another version in any order of these, and against a rule that refuses all.
#[test]
fn no_order_of_events_makes_a_stream_change_its_version() {
    let mut outcomes = Outcomes::default();
    search(&mut vec![], 4, Instant::now(), &mut outcomes);
    assert!(
        outcomes.continued > 2 * outcomes.refused,
        "{} of {} go on",
        outcomes.continued,
        outcomes.continued + outcomes.refused
    );
}

/// A fleet loses nodes whose places others take. Guards against asking nodes that were never told while a keeper of
/// the stream is still there.
#[test]
fn a_keeper_that_is_left_is_asked_in_any_list() {
    let domain = |n: usize| format!("d{}", n % 3);
    for nodes in [7, 71, 295] {
        let all: Vec<_> = (0..nodes)
            .map(|n| Peer {
                address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
                domain: domain(n),
            })
            .collect();
        let mut before = Members::default();
        before.apply(all.clone());
        for stream in (0..40).map(Stream) {
            let keepers = before.keepers(stream);
            assert_eq!(keepers.len(), COPIES);
            for lost in 0..COPIES {
                let mut after = Members::default();
                after.apply(
                    all.iter().filter(|peer| peer.address != keepers[lost]).cloned().collect(),
                );
                let asked = after.asked(stream);
                let left = keepers.iter().enumerate().filter(|(index, _)| *index != lost);
                assert!(
                    left.into_iter().all(|(_, keeper)| asked.contains(keeper)),
                    "{nodes} nodes"
                );
            }
        }
    }
}

/// A failure domain loses all its nodes. Guards against keepers that are all in one.
#[test]
fn keepers_are_in_different_domains() {
    let members = members();
    for stream in (0..40).map(Stream) {
        let keepers = members.keepers(stream);
        let domains: std::collections::BTreeSet<_> = keepers
            .iter()
            .map(|keeper| (0..NODES).find(|node| address(*node) == *keeper).unwrap() % 3)
            .collect();
        assert_eq!(domains.len(), 3);
    }
}

/// Seeds know different nodes, and exchange only what differs. Guards against lists that never agree.
#[test]
fn seeds_and_nodes_come_to_the_same_list() {
    let now = Instant::now();
    let peer = |n: u8| Peer { address: ([10, 0, 0, n], 80).into(), domain: "d".to_string() };
    let (mut left, mut right, mut node) = <(Members, Members, Members)>::default();
    (1..6).for_each(|n| left.record(peer(n), now));
    (6..9).for_each(|n| right.record(peer(n), now));
    for round in 0..2 {
        let now = now + Duration::from_secs(round);
        let (from_right, from_left) = (
            right.own_cluster(left.cluster_digest("right")),
            left.own_cluster(right.cluster_digest("left")),
        );
        left.set_cluster("right", from_right, now);
        right.set_cluster("left", from_left, now);
        left.refresh(now);
        right.refresh(now);
    }
    node.apply(right.list_for(node.digest()));
    assert!(node.others(peer(1).address) == 7 && node.digest() == left.digest());
    assert!(left.list_for(node.digest()).is_empty());
    let later = now + Duration::from_secs(11);
    left.record(peer(1), later);
    left.refresh(later);
    assert_eq!(left.others(peer(1).address), 0);
}

/// Hundreds of nodes start within some seconds. Guards against a list that is sent to all of them again and again.
#[test]
fn a_list_changes_a_few_times_while_nodes_start() {
    let (start, mut seed, mut changes) = (Instant::now(), Members::default(), 0);
    for step in 0..40_u32 {
        let now = start + Duration::from_millis(150) * step;
        for n in 0..8 {
            let address = ([10, 0, step as u8, n], 80).into();
            seed.record(Peer { address, domain: "d".to_string() }, now);
        }
        changes += u32::from(seed.refresh(now));
    }
    assert!((2..=6).contains(&changes), "{changes} changes");
    assert_eq!(seed.list_for(0).len(), origins::MAX_MEMBERS);
}
