//! Plays a part of prompts that crashes servers in fleets of all sizes, whose nodes exchange their evidence.

use std::time::{Duration, Instant};

use policy::{Crash, Quarantine, Subject};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Nodes of a fleet, and the time between two messages of a node to its seed.
const FLEETS: [(usize, u64); 4] = [(7, 150), (71, 150), (295, 800), (584, 1_600)];
const SEEDS: usize = 3;
/// Time between two messages of a seed to another.
const SEED_PAUSE_MS: u64 = 100;
/// Time from the sending of a bad request until its server crashes, and until that is noticed.
const CRASH_MS: u64 = 100;
const NOTICE_MS: u64 = 20;
/// Sound requests that are cut by a crash before their answers begin, and answers that begin in a second.
const CUT: usize = 10;
const BEGINNINGS_PER_S: u64 = 20;
const PLAY_MS: u64 = 30_000;
/// Time after the fifth crash from which on few more requests may be sent, and how many.
const STABILITY_MS: u64 = 3_000;
const MAX_LATER: usize = 3;
const COMMON: u64 = 0xc0;
const BAD: u64 = 0xbad;

struct Node {
    quarantine: Quarantine,
    /// Versions up to which it has sent its evidence to each seed, and received theirs.
    sent: [u64; SEEDS],
    received: [u64; SEEDS],
}

struct Fleet {
    nodes: Vec<Node>,
    start: Instant,
    rng: SmallRng,
    next_id: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let node = |seed| Node {
            quarantine: Quarantine::new(seed as u64),
            sent: [0; SEEDS],
            received: [0; SEEDS],
        };
        let nodes = (0..count).map(node).collect();
        Fleet { nodes, start: Instant::now(), rng: SmallRng::seed_from_u64(53), next_id: 0 }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// A request unlike all others, with these parts.
    fn request(&mut self, parts: &[u64]) -> Subject {
        self.next_id += 1;
        Subject::new(self.next_id, parts.iter().copied())
    }

    fn any_node(&mut self) -> usize {
        let count = self.nodes.len();
        self.rng.random_range(0..count)
    }

    /// A node or seed exchanges evidence with a seed.
    fn exchange(&mut self, from: usize, to: usize, ms: u64) {
        let now = self.at(ms);
        let (sent, version) =
            self.nodes[from].quarantine.changes_since(self.nodes[from].sent[to], 1);
        for evidence in sent {
            self.nodes[to].quarantine.merge(evidence, now);
        }
        let least = if from < SEEDS { 1 } else { 2 };
        let known = self.nodes[from].received[to];
        let (answer, received) = self.nodes[to].quarantine.changes_since(known, least);
        let node = &mut self.nodes[from];
        (node.sent[to], node.received[to]) = (version, received);
        for evidence in answer {
            node.quarantine.merge(evidence, now);
        }
    }

    /// Exchanges evidence between the nodes whose turn it is and their seeds, and among the seeds.
    fn exchange_due(&mut self, pause_ms: u64, ms: u64) {
        for from in 0..self.nodes.len() {
            let phase = from as u64 * 37 % pause_ms;
            if from >= SEEDS && ms % pause_ms == phase {
                self.exchange(from, from % SEEDS, ms);
            }
        }
        if ms.is_multiple_of(SEED_PAUSE_MS) {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                self.exchange(from, to, ms);
            }
        }
    }

    /// A server crashes under a bad request of a node, and cuts others off.
    fn crash(&mut self, node: usize, request: &Subject, instance: u32, ms: u64) {
        let (now, at) = (self.at(ms + NOTICE_MS), self.at(ms));
        let crash = Crash { instance, sent: self.at(ms - CRASH_MS), at };
        self.nodes[node].quarantine.record_crash(request, crash, now);
        for _ in 0..CUT {
            let (node, own) = (self.any_node(), self.rng.random_range(0..100));
            let cut = self.request(&[COMMON, own]);
            self.nodes[node].quarantine.record_crash(&cut, crash, now);
        }
    }
}

/// Requests with the bad part that were sent too late, and how many sound ones of how many were blocked from twice
/// that time on.
fn play(nodes: usize, pause_ms: u64, bad_per_s: u64) -> (usize, usize, usize) {
    let mut fleet = Fleet::new(nodes);
    let mut running: Vec<(u64, usize, Subject)> = vec![];
    let (mut crashes, mut later, mut blocked, mut sound) = (vec![], 0, 0, 0);
    for ms in CRASH_MS..PLAY_MS {
        fleet.exchange_due(pause_ms, ms);
        let ended: Vec<_> = running.extract_if(.., |(end, ..)| *end <= ms).collect();
        for (_, node, request) in ended {
            crashes.push(ms);
            fleet.crash(node, &request, crashes.len() as u32, ms);
        }
        if ms.is_multiple_of(1_000 / bad_per_s) {
            let (node, request) = (fleet.any_node(), fleet.request(&[COMMON, BAD]));
            let now = fleet.at(ms);
            if fleet.nodes[node].quarantine.begin_attempt(&request, now).is_ok() {
                later += usize::from(crashes.get(4).is_some_and(|fifth| ms > fifth + STABILITY_MS));
                running.push((ms + CRASH_MS, node, request));
            }
        }
        if ms.is_multiple_of(1_000 / BEGINNINGS_PER_S) {
            let (node, own) = (fleet.any_node(), fleet.rng.random_range(0..100));
            let (request, now) = (fleet.request(&[COMMON, own]), fleet.at(ms));
            let settled = crashes.get(4).is_some_and(|fifth| ms > fifth + 2 * STABILITY_MS);
            sound += usize::from(settled);
            match fleet.nodes[node].quarantine.begin_attempt(&request, now) {
                Ok(()) => fleet.nodes[node].quarantine.record_beginning(&request, now),
                Err(_) => blocked += usize::from(settled),
            }
        }
    }
    (later, blocked, sound)
}

/// Guards against nodes that learn too late of a part that crashes servers, and against blocking the part that all
/// prompts begin with.
#[test]
fn fleets_of_all_sizes_find_the_bad_part_in_time() {
    for (nodes, pause_ms) in FLEETS {
        for bad_per_s in [1, 4, 20] {
            let (later, blocked, sound) = play(nodes, pause_ms, bad_per_s);
            assert!(later <= MAX_LATER, "{nodes} nodes, {bad_per_s}/s: {later} requests too late");
            assert!(blocked * 2 <= sound, "{nodes} nodes, {bad_per_s}/s: {blocked} of {sound}");
        }
    }
}
