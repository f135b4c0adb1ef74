//! What a fleet of nodes knows of requests that crash servers, told over messages that are lost.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use policy::{Crash, Quarantine};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NODES: usize = 12;
/// Nodes that the others tell what they know, and ask.
const SEEDS: usize = 3;
/// Time between two messages of a node.
const PAUSE: Duration = Duration::from_millis(150);

/// A node, with how far it has told each other one and has heard of it.
struct Node {
    quarantine: Quarantine,
    told: [u64; NODES],
    heard: [u64; NODES],
}

fn fleet() -> Vec<Node> {
    let node = |seed| Node {
        quarantine: Quarantine::new(seed as u64),
        told: [0; NODES],
        heard: [0; NODES],
    };
    (0..NODES).map(node).collect()
}

/// One node tells a seed, which answers; the message or its answer may be lost. Returns what was told.
fn exchange(fleet: &mut [Node], from: usize, to: usize, lost: (bool, bool), now: Instant) -> usize {
    let least = if from < SEEDS { 1 } else { 2 };
    let (told, version) = fleet[from].quarantine.changes_since(fleet[from].told[to], 1);
    let mut messages = told.len();
    if lost.0 {
        return messages;
    }
    for evidence in told {
        fleet[to].quarantine.merge(evidence, now);
    }
    let (answer, heard) = fleet[to].quarantine.changes_since(fleet[from].heard[to], least);
    messages += answer.len();
    if lost.1 {
        return messages;
    }
    (fleet[from].told[to], fleet[from].heard[to]) = (version, heard);
    for evidence in answer {
        fleet[from].quarantine.merge(evidence, now);
    }
    messages
}

/// Every node talks to its seed once, and seeds to each other. Returns how much was told.
fn round(fleet: &mut [Node], lost: &BTreeSet<usize>, now: Instant) -> usize {
    let mut messages = 0;
    for from in 0..NODES {
        let peers: Vec<_> = if from < SEEDS {
            (0..SEEDS).filter(|to| *to != from).collect()
        } else {
            vec![from % SEEDS]
        };
        for to in peers {
            let lost = (lost.contains(&from), lost.contains(&(from + NODES)));
            messages += exchange(fleet, from, to, lost, now);
        }
    }
    messages
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(30), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against nodes that go on sending what others saw crash three servers.
    #[test]
    fn all_nodes_hold_back_what_crashed_three_servers(
        observers in prop::collection::vec(0..NODES, 3),
        losses in prop::collection::vec(prop::collection::btree_set(0..2 * NODES, 0..NODES), 5),
    ) {
        let (mut fleet, mut now) = (fleet(), Instant::now());
        for (server, observer) in observers.into_iter().enumerate() {
            now += PAUSE;
            fleet[observer].quarantine.record_crash(1, Crash { instance: server as u32, sent: now, at: now }, now);
        }
        for lost in &losses {
            now += PAUSE;
            round(&mut fleet, lost, now);
        }
        for _ in 0..3 {
            now += PAUSE;
            round(&mut fleet, &BTreeSet::new(), now);
        }
        for node in &fleet {
            prop_assert!(node.quarantine.blocked_for(1, now).is_some());
        }
    }

    /// Guards against nodes that tell each other the same for ever.
    #[test]
    fn nodes_fall_silent_once_all_know(
        crashes in prop::collection::vec((0..NODES, 0_u64..4, 0_u32..6), 1..40),
        answers in prop::collection::vec((0..NODES, 0_u64..4), 0..10),
    ) {
        let (mut fleet, mut now) = (fleet(), Instant::now());
        for (observer, content, server) in crashes {
            now += PAUSE;
            fleet[observer].quarantine.record_crash(content, Crash { instance: server, sent: now, at: now }, now);
            round(&mut fleet, &BTreeSet::new(), now);
        }
        for (observer, content) in answers {
            now += PAUSE;
            fleet[observer].quarantine.record_completion(content, now);
            round(&mut fleet, &BTreeSet::new(), now);
        }
        for _ in 0..4 {
            now += PAUSE;
            round(&mut fleet, &BTreeSet::new(), now);
        }
        prop_assert_eq!(round(&mut fleet, &BTreeSet::new(), now), 0);
    }

    /// Guards against sound requests that are held back since many servers crash, again and again: each is
    /// sent twice by its caller, and meets a crash each time.
    #[test]
    fn a_kill_of_many_holds_no_sound_request_back(
        kills in prop::collection::vec((1_u32..9, 0_u64..2_000), 1..12),
        requests in 1_u64..200,
    ) {
        let (mut quarantine, mut now) = (Quarantine::new(1), Instant::now());
        for (kill, (servers, pause)) in kills.into_iter().enumerate() {
            now += Duration::from_millis(pause);
            for request in 0..requests {
                // A request comes with one kill and is tried again at the next.
                let content = (kill as u64 / 2) * requests + request;
                let server = kill as u32 * 100 + request as u32 % servers;
                quarantine.record_crash(content, Crash { instance: server, sent: now, at: now }, now);
                prop_assert!(quarantine.blocked_for(content, now).is_none());
            }
        }
    }
}
