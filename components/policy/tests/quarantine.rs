//! Quarantine across a fleet whose nodes exchange their evidence in messages, some of which are lost.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use policy::{Crash, Quarantine, Subject};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NODES: usize = 12;
/// Nodes with which all others exchange evidence.
const SEEDS: usize = 3;
/// Part of all prompts.
const COMMON: u64 = 0xc0;
/// Time between two messages of a node.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(150);

/// A node, with the versions up to which it has sent its evidence to each other node and received theirs.
struct Node {
    quarantine: Quarantine,
    sent: [u64; NODES],
    received: [u64; NODES],
}

fn fleet() -> Vec<Node> {
    let node = |seed| Node {
        quarantine: Quarantine::new(seed as u64),
        sent: [0; NODES],
        received: [0; NODES],
    };
    (0..NODES).map(node).collect()
}

/// A node sends its evidence to a seed, which answers; the message or its answer may be lost. Returns the number
/// of suspects sent both ways.
fn exchange(fleet: &mut [Node], from: usize, to: usize, lost: (bool, bool), now: Instant) -> usize {
    let min_crashes = if from < SEEDS { 1 } else { 2 };
    let (sent, version) = fleet[from].quarantine.changes_since(fleet[from].sent[to], 1);
    let mut count = sent.len();
    if lost.0 {
        return count;
    }
    for evidence in sent {
        fleet[to].quarantine.merge(evidence, now);
    }
    let (answer, received) =
        fleet[to].quarantine.changes_since(fleet[from].received[to], min_crashes);
    count += answer.len();
    if lost.1 {
        return count;
    }
    (fleet[from].sent[to], fleet[from].received[to]) = (version, received);
    for evidence in answer {
        fleet[from].quarantine.merge(evidence, now);
    }
    count
}

/// Every node exchanges evidence with its seed once, and the seeds with each other. Returns the number of
/// suspects sent.
fn exchange_all(fleet: &mut [Node], lost: &BTreeSet<usize>, now: Instant) -> usize {
    let mut count = 0;
    for from in 0..NODES {
        let peers: Vec<_> = if from < SEEDS {
            (0..SEEDS).filter(|to| *to != from).collect()
        } else {
            vec![from % SEEDS]
        };
        for to in peers {
            let lost = (lost.contains(&from), lost.contains(&(from + NODES)));
            count += exchange(fleet, from, to, lost, now);
        }
    }
    count
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(30), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against nodes that go on sending a request which crashed three servers under other nodes.
    #[test]
    fn all_nodes_block_what_crashed_three_servers(
        observers in prop::collection::vec(0..NODES, 3),
        losses in prop::collection::vec(prop::collection::btree_set(0..2 * NODES, 0..NODES), 5),
    ) {
        let (mut fleet, mut now) = (fleet(), Instant::now());
        for (server, observer) in observers.into_iter().enumerate() {
            now += MESSAGE_INTERVAL;
            fleet[observer].quarantine.record_crash(&1.into(), Crash { instance: server as u32, sent: now, at: now }, now);
        }
        for lost in &losses {
            now += MESSAGE_INTERVAL;
            exchange_all(&mut fleet, lost, now);
        }
        for _ in 0..3 {
            now += MESSAGE_INTERVAL;
            exchange_all(&mut fleet, &BTreeSet::new(), now);
        }
        for node in &fleet {
            prop_assert!(node.quarantine.blocked_for(&1.into(), now).is_some());
        }
    }

    /// Guards against nodes that send each other the same evidence for ever, and against nodes that draw different
    /// conclusions from it.
    #[test]
    fn nodes_send_nothing_once_all_have_the_evidence(
        crashes in prop::collection::vec((0..NODES, 0_u64..4, 0_u32..6, 0_u64..3), 1..40),
        answers in prop::collection::vec((0..NODES, 0_u64..4, 0_u64..3), 0..10),
    ) {
        let (mut fleet, mut now) = (fleet(), Instant::now());
        let request = |content, part| Subject::new(content, [COMMON, COMMON + 1 + part]);
        for (observer, content, server, part) in crashes {
            now += MESSAGE_INTERVAL;
            let crash = Crash { instance: server, sent: now, at: now };
            fleet[observer].quarantine.record_crash(&request(content, part), crash, now);
            exchange_all(&mut fleet, &BTreeSet::new(), now);
        }
        for (observer, content, part) in answers {
            now += MESSAGE_INTERVAL;
            fleet[observer].quarantine.record_beginning(&request(content, part), now);
            fleet[observer].quarantine.record_completion(content, now);
            exchange_all(&mut fleet, &BTreeSet::new(), now);
        }
        for _ in 0..4 {
            now += MESSAGE_INTERVAL;
            exchange_all(&mut fleet, &BTreeSet::new(), now);
        }
        prop_assert_eq!(exchange_all(&mut fleet, &BTreeSet::new(), now), 0);
        for part in 0..3 {
            let request = request(99, part);
            let blocking = fleet.iter().filter(|node| node.quarantine.blocked_for(&request, now).is_some());
            let blocking = blocking.count();
            prop_assert!([0, NODES].contains(&blocking), "{} of {} nodes block it", blocking, NODES);
        }
    }

    /// Guards against blocking harmless requests where many servers are killed at once, again and again: each
    /// request is sent twice by its caller, and its server is killed each time.
    #[test]
    fn killing_many_servers_blocks_no_harmless_request(
        kills in prop::collection::vec((1_u32..9, 0_u64..2_000), 1..12),
        requests in 1_u64..200,
    ) {
        let (mut quarantine, mut now) = (Quarantine::new(1), Instant::now());
        for (kill, (servers, pause)) in kills.into_iter().enumerate() {
            now += Duration::from_millis(pause);
            for request in 0..requests {
                // Each request runs during two consecutive kills, as its caller sends it again after the first.
                let content = (kill as u64 / 2) * requests + request;
                let server = kill as u32 * 100 + request as u32 % servers;
                quarantine.record_crash(&content.into(), Crash { instance: server, sent: now, at: now }, now);
                prop_assert!(quarantine.blocked_for(&content.into(), now).is_none());
            }
        }
    }
}
