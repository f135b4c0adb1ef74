//! Plays take-ups at all nodes of a fleet whose readers answer, are late, silent or dead, and counts the reads of the store.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use origins::{Allowance, MAX_READERS, Members, READS_PER_S};
use wire::gossip::Peer;

const SEEDS: usize = 3;
const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 600;
/// Steps between two take-ups at a node.
const PERIOD: u32 = 10;

/// How readers answer other nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Case {
    Prompt,
    /// Each answers every other question in time.
    Late,
    /// None answers another node.
    Silent,
    /// The seeds have ended.
    SeedsDead,
    /// All readers but one have ended.
    OneLeft,
}

const CASES: [Case; 5] = [Case::Prompt, Case::Late, Case::Silent, Case::SeedsDead, Case::OneLeft];

fn address(node: usize) -> SocketAddr {
    ([10, 0, (node >> 8) as u8, node as u8], 80).into()
}

fn members(nodes: impl Iterator<Item = usize>) -> Members {
    let peer = |node| Peer { address: address(node), domain: format!("d{}", node % 3) };
    let mut members = Members::default();
    members.apply(nodes.map(peer).collect());
    members
}

fn seeds() -> Vec<SocketAddr> {
    (0..SEEDS).map(address).collect()
}

/// A reader, with the take-ups that wait for its next read.
#[derive(Default)]
struct Reader {
    allowance: Allowance,
    waiting: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Most reads that begin within a second.
    reads: usize,
    proved: usize,
    refused: usize,
}

/// Plays a fleet in which each node has one of these lists.
fn play(nodes: usize, lists: &[Members], case: Case) -> Outcome {
    let orders: Vec<_> = lists.iter().map(|list| list.readers(&seeds())).collect();
    let mut readers: BTreeMap<SocketAddr, (usize, Reader)> = BTreeMap::new();
    for reader in orders.iter().flatten() {
        let count = orders.iter().find(|order| order.contains(reader)).map_or(0, Vec::len);
        readers.insert(*reader, (count, Reader::default()));
    }
    let is_dead = |reader: &SocketAddr| match case {
        Case::SeedsDead => seeds().contains(reader),
        Case::OneLeft => orders[0][1..].contains(reader),
        _ => false,
    };
    let (start, mut outcome) = (Instant::now(), Outcome::default());
    let mut window = VecDeque::new();
    for step in 0..STEPS {
        let now = start + STEP * step;
        for node in (0..nodes).filter(|node| (*node as u32 + step).is_multiple_of(PERIOD)) {
            let own = address(node);
            if is_dead(&own) {
                continue;
            }
            let order = &orders[node % orders.len()];
            let answers = |(place, reader): &(usize, &SocketAddr)| match case {
                _ if **reader == own => true,
                _ if is_dead(reader) => false,
                Case::Silent => false,
                Case::Late => (node / 2 + place + (step / PERIOD) as usize).is_multiple_of(2),
                _ => true,
            };
            match order.iter().enumerate().find(answers) {
                Some((_, reader)) => readers.get_mut(reader).expect("a reader").1.waiting += 1,
                None => outcome.refused += 1,
            }
        }
        for (count, reader) in readers.values_mut().filter(|(_, reader)| reader.waiting > 0) {
            if reader.allowance.time_until_read(*count, now).is_zero() {
                reader.allowance.record_read(now);
                outcome.proved += std::mem::take(&mut reader.waiting);
                window.push_back(now);
            }
        }
        while window.front().is_some_and(|began| now >= *began + Duration::from_secs(1)) {
            window.pop_front();
        }
        outcome.reads = outcome.reads.max(window.len());
    }
    outcome
}

/// Take-ups at all nodes at once, whatever their readers do. Guards against reads of the store that grow with the number of nodes.
#[test]
fn reads_dont_grow_with_the_fleet() {
    for nodes in [7, 71, 584] {
        let list = [members(0..nodes)];
        for case in CASES {
            let outcome = play(nodes, &list, case);
            println!("{nodes} nodes, {case:?}: {outcome:?}");
            let bound = READS_PER_S as usize + MAX_READERS;
            assert!(outcome.reads <= bound, "{nodes} nodes, {case:?}: {outcome:?}");
            assert!(outcome.proved > 0, "{nodes} nodes, {case:?}: {outcome:?}");
            if nodes == 7 || !matches!(case, Case::Silent | Case::Late) {
                assert_eq!(outcome.refused, 0, "{nodes} nodes, {case:?}");
            }
        }
    }
}

/// Half of the nodes have a list of before half of them came. Guards against a bound that holds only where all lists are alike.
#[test]
fn each_list_adds_its_readers_at_most() {
    for nodes in [14, 142, 584] {
        let lists = [members(0..nodes), members(0..nodes / 2)];
        for case in CASES {
            let outcome = play(nodes, &lists, case);
            let bound = lists.len() * (READS_PER_S as usize + MAX_READERS);
            assert!(outcome.reads <= bound, "{nodes} nodes, {case:?}: {outcome:?}");
        }
    }
}

/// Guards against nodes of a small fleet, or ones that are alone, that have to wait for others.
#[test]
fn all_nodes_of_a_small_fleet_are_readers() {
    for nodes in [1, 2, 3, 7] {
        let readers = members(0..nodes).readers(&seeds()[..nodes.min(SEEDS)]);
        assert!((0..nodes).all(|node| readers.contains(&address(node))), "{nodes}: {readers:?}");
    }
}

/// All seeds have lost the store, or a fleet names many of them. Guards against readers that are all seeds.
#[test]
fn some_readers_arent_seeds() {
    let many: Vec<_> = (0..20).map(address).collect();
    let readers = members(0..584).readers(&many);
    assert_eq!(readers.len(), MAX_READERS);
    assert!(readers.iter().any(|reader| !many.contains(reader)), "{readers:?}");
    let unlisted = Members::default().readers(&seeds());
    assert_eq!(unlisted, seeds(), "a node without a list knows the seeds");
}
