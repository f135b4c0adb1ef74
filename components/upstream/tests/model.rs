//! Plays random orders of cuts between a fleet and its store against the choice of sources.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use upstream::{Context, Delegates, Failure, Limits, Path, Renewal, Source, Sources};

/// All times are in ms.
const TICK: u64 = 10;
const BOUND: u64 = 2_500;
/// Time for which a node has reached the store before it is held to the bound.
const STABLE: u64 = 3_000;
const WAIT: u64 = 1_100;
const DELEGATE_WAIT: u64 = 600;
const PROBE_WAIT: u64 = 100;
const WATCH_MARGIN: u64 = 700;
const MIN_WATCH_INTERVAL: u64 = 700;
const WATCH_BLIND_TAIL: u64 = 1_050;
const FAILED_ROUND_PAUSE: u64 = 300;
const CHANGE_INTERVAL: u64 = 330;
const LIMITS: Limits =
    Limits { apply: Duration::from_millis(BOUND), lapse: Duration::from_millis(2_400) };

/// A node's way to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    Up,
    /// Connections are reset.
    Reset,
    /// Nothing arrives, and no error either.
    Silent,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Pause {
        until: u64,
    },
    Watch {
        asked: u64,
        wait: u64,
    },
    /// `delegate` says whether the node was one when it asked.
    Ask {
        peer: usize,
        asked: u64,
        wait: u64,
        updates: u64,
        delegate: bool,
    },
}

struct Node {
    address: SocketAddr,
    is_seed: bool,
    /// Whether its program says where its answers come from.
    states_path: bool,
    sources: Sources,
    delegates: Delegates,
    renewal: Renewal,
    /// When the node's own read of the store began.
    read: Option<u64>,
    link: Link,
    up_since: u64,
    /// Time up to which the node has all changes, and time that its proof covers.
    position: u64,
    proof: u64,
    path: Path,
    failures: u32,
    /// Updates, proofs and failures since the start.
    updates: u64,
    step: Step,
    store_answered: bool,
}

struct Fleet {
    start: Instant,
    now: u64,
    nodes: Vec<Node>,
    calls: u64,
    random: SmallRng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7))
}

/// The last change of the store up to a time.
fn last_change(at: u64) -> u64 {
    at / CHANGE_INTERVAL * CHANGE_INTERVAL
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Fleet {
    fn new(seeds: usize, others: usize, seed: u64) -> Self {
        let start = Instant::now();
        let list: Vec<_> = (0..seeds).map(address).collect();
        let node = |index: usize| {
            let mut sources = Sources::new(&format!("n{index}"), address(index), &list, start);
            sources.record_success();
            Node {
                address: address(index),
                is_seed: index < seeds,
                states_path: true,
                sources,
                delegates: Delegates::default(),
                renewal: Renewal::new(0.5),
                read: None,
                link: Link::Up,
                up_since: 0,
                position: 0,
                proof: 0,
                path: Path::stated(None),
                failures: 0,
                updates: 0,
                step: Step::Pause { until: 0 },
                store_answered: false,
            }
        };
        let nodes = (0..seeds + others).map(node).collect();
        Fleet { start, now: 0, nodes, calls: 0, random: SmallRng::seed_from_u64(seed) }
    }

    fn at(&self, ms: u64) -> Instant {
        // Sources have run for a while.
        self.start + Duration::from_secs(10) + millis(ms)
    }

    fn context(&self, index: usize) -> Context {
        let is_delegate = self.nodes[index].delegates.is_delegate(self.at(self.now));
        Context { is_delegate, fleet_nodes: self.nodes.len() as u32 }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for index in 0..self.nodes.len() {
            self.renew(index);
            self.follow(index);
        }
    }

    /// The answer of the store to a question of a node, if it is due: whether it failed, and whether it has changes.
    fn answer(&self, index: usize, asked: u64, wait: u64) -> Option<Result<bool, ()>> {
        let node = &self.nodes[index];
        match node.link {
            Link::Reset => Some(Err(())),
            Link::Silent => (self.now >= asked + wait + WATCH_MARGIN).then_some(Err(())),
            // What was asked before the cut gets no answer.
            Link::Up if node.up_since > asked => {
                (self.now >= asked + wait + WATCH_MARGIN).then_some(Err(()))
            }
            Link::Up if last_change(self.now) > node.position => Some(Ok(true)),
            Link::Up => (self.now >= asked + wait).then_some(Ok(false)),
        }
    }

    fn apply_store(&mut self, index: usize, asked: u64, wait: u64, changed: bool) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let quiet = !changed && wait >= WAIT;
        let proof = if quiet { asked + WAIT - WATCH_BLIND_TAIL } else { asked };
        (node.position, node.proof) = (now, node.proof.max(proof));
        node.path = Path::store();
        node.updates += 1;
    }

    /// The node's own read of the store when its proof is old.
    fn renew(&mut self, index: usize) {
        let (now, at) = (self.now, self.at(self.now));
        if let Some(asked) = self.nodes[index].read {
            match self.answer(index, asked, PROBE_WAIT) {
                None => {}
                Some(Ok(changed)) => {
                    self.apply_store(index, asked, PROBE_WAIT, changed);
                    let node = &mut self.nodes[index];
                    (node.read, node.store_answered) = (None, true);
                    node.renewal.record_success();
                }
                Some(Err(())) => {
                    let node = &mut self.nodes[index];
                    node.read = None;
                    node.renewal.record_failure(at);
                }
            }
            return;
        }
        let (nodes, node) = (self.nodes.len() as u32, &mut self.nodes[index]);
        let age = millis(now.saturating_sub(node.proof));
        if node.renewal.time_until_read(age, nodes, LIMITS, at).is_zero() {
            node.read = Some(now);
            self.calls += 1;
        }
    }

    fn follow(&mut self, index: usize) {
        match self.nodes[index].step {
            Step::Pause { until } if self.now >= until => self.begin(index),
            Step::Pause { .. } => {}
            Step::Watch { asked, wait } => match self.answer(index, asked, wait) {
                None => {}
                Some(Ok(changed)) => {
                    self.apply_store(index, asked, wait, changed);
                    let pause = if changed { MIN_WATCH_INTERVAL } else { 0 };
                    self.succeed(index, asked + pause);
                }
                Some(Err(())) => self.fail(index, Failure::Down),
            },
            Step::Ask { peer, asked, wait, updates, delegate } => {
                let is_new = !self.nodes[index].is_seed && !delegate;
                if is_new && self.context(index).is_delegate {
                    self.begin(index);
                } else if self.is_answered(index, peer, asked, wait, updates) {
                    self.receive(index, peer);
                }
            }
        }
    }

    fn begin(&mut self, index: usize) {
        let (context, at) = (self.context(index), self.at(self.now));
        let node = &mut self.nodes[index];
        if std::mem::take(&mut node.store_answered) {
            node.sources.retry_store();
        }
        let wait = if node.failures > 0 { PROBE_WAIT } else { WAIT };
        match node.sources.select(context, at) {
            Source::Store => {
                node.step = Step::Watch { asked: self.now, wait };
                self.calls += 1;
            }
            Source::Peer(peer) => {
                let (own, is_seed) = (node.address, node.is_seed);
                let peer = self.nodes.iter().position(|node| node.address == peer).unwrap();
                let asks_delegate = is_seed && !self.nodes[peer].is_seed;
                let wait = if asks_delegate { DELEGATE_WAIT } else { wait };
                if self.nodes[peer].is_seed {
                    self.nodes[peer].delegates.add_candidate(own);
                } else {
                    self.nodes[peer].delegates.record_delegation(at);
                }
                let updates = self.nodes[peer].updates;
                self.nodes[index].step = Step::Ask {
                    peer,
                    asked: self.now,
                    wait,
                    updates,
                    delegate: context.is_delegate,
                };
            }
        }
    }

    fn is_answered(&self, index: usize, peer: usize, asked: u64, wait: u64, updates: u64) -> bool {
        let (node, peer) = (&self.nodes[index], &self.nodes[peer]);
        let has_news = peer.is_seed || (peer.failures == 0 && peer.path.is_direct());
        let is_newer = peer.position > node.position || peer.updates > updates;
        self.now > asked && ((has_news && is_newer) || self.now >= asked + wait)
    }

    fn receive(&mut self, index: usize, peer: usize) {
        let answer = &self.nodes[peer];
        if answer.failures > 0 {
            return self.fail(index, Failure::StoreLost);
        }
        let (position, proof) = (answer.position, answer.proof.saturating_sub(TICK));
        let path = if answer.states_path { answer.path.clone() } else { Path::stated(None) };
        let from = answer.address;
        let at = self.now;
        let node = &mut self.nodes[index];
        node.position = node.position.max(position);
        node.proof = node.proof.max(proof);
        node.path = path.through(from);
        node.updates += 1;
        let is_news = path.is_news_for(node.address, node.is_seed);
        if let Some(reader) = path.reader().filter(|reader| !is_news && *reader != node.address) {
            node.delegates.suggest(reader);
        }
        let max_age = node.renewal.max_age(1, LIMITS);
        if is_news && millis(at - proof) <= max_age {
            self.succeed(index, at);
        } else {
            self.fail(index, Failure::StoreLost);
        }
    }

    fn succeed(&mut self, index: usize, until: u64) {
        let node = &mut self.nodes[index];
        node.failures = 0;
        node.sources.record_success();
        node.step = Step::Pause { until };
    }

    fn fail(&mut self, index: usize, failure: Failure) {
        let (context, at, now) = (self.context(index), self.at(self.now), self.now);
        let node = &mut self.nodes[index];
        if !node.sources.is_probing_first() {
            node.failures += 1;
            node.updates += 1;
        }
        let delegate = node.delegates.pick_candidate();
        node.sources.set_delegate(delegate);
        let pauses = node.sources.record_failure(failure, context, at);
        node.step = Step::Pause { until: if pauses { now + FAILED_ROUND_PAUSE } else { now } };
    }

    /// Cuts or restores the way of a random node to the store; seeds change more often.
    fn disturb(&mut self) {
        let seeds = self.nodes.iter().filter(|node| node.is_seed).count();
        let only_seeds = self.random.random_bool(0.7);
        let count = if only_seeds { seeds } else { self.nodes.len() };
        let index = self.random.random_range(0..count);
        let link = [Link::Up, Link::Up, Link::Reset, Link::Silent][self.random.random_range(0..4)];
        let now = self.now;
        let node = &mut self.nodes[index];
        if link == Link::Up && node.link != Link::Up {
            node.up_since = now;
        }
        node.link = link;
    }

    /// Nodes that reach the store and lack a change for longer than the bound.
    fn outdated(&self) -> Vec<usize> {
        let due = last_change(self.now.saturating_sub(BOUND));
        let is_outdated = |node: &Node| {
            node.link == Link::Up && self.now >= node.up_since + STABLE && node.position < due
        };
        (0..self.nodes.len()).filter(|index| is_outdated(&self.nodes[*index])).collect()
    }
}

/// Plays a minute of random cuts, and checks the fleet at each tick after the first cut.
fn play(mut fleet: Fleet, check: impl Fn(&Fleet)) {
    let mut next = 5_000;
    while fleet.now < 60_000 {
        fleet.tick();
        if fleet.now >= next {
            fleet.disturb();
            next += fleet.random.random_range(50..3_000);
        }
        check(&fleet);
    }
}

/// Seeds lose the store and come back in random orders, by resets and in silence. A node that reaches the store runs
/// requests by settings that were replaced longer ago than is promised.
#[test]
fn a_node_that_reaches_the_store_has_each_change_in_time() {
    for (seeds, others, runs) in [(3, 4, 60), (2, 2, 60), (1, 2, 30), (3, 0, 30)] {
        for seed in 0..runs {
            play(Fleet::new(seeds, others, seed), |fleet| {
                let (outdated, now) = (fleet.outdated(), fleet.now);
                assert!(
                    outdated.is_empty(),
                    "{seeds} seeds, {others} others, seed {seed}: nodes {outdated:?} at {now} ms"
                );
            });
        }
    }
}

/// Some nodes run a program that doesn't say where its answers come from, so that circles aren't noticed. Nodes have
/// changes later than promised.
#[test]
fn nodes_of_a_former_program_delay_no_change() {
    for seed in 0..60 {
        let mut fleet = Fleet::new(3, 4, seed);
        fleet.nodes.iter_mut().step_by(2).for_each(|node| node.states_path = false);
        play(fleet, |fleet| {
            let (outdated, now) = (fleet.outdated(), fleet.now);
            assert!(outdated.is_empty(), "seed {seed}: nodes {outdated:?} at {now} ms");
        });
    }
}

/// Nodes without the store take each other's answers for news of it, so that none of them looks for another source.
#[test]
fn answers_never_go_round() {
    for seed in 0..60 {
        play(Fleet::new(3, 4, seed), |fleet| {
            for node in fleet.nodes.iter().filter(|node| node.failures == 0) {
                let nodes = node.path.nodes().unwrap_or_default();
                let mut different = [nodes, &[node.address]].concat();
                different.sort();
                different.dedup();
                let goes_round = different.len() <= nodes.len();
                assert!(!goes_round, "seed {seed}: {} at {} ms", node.path, fleet.now);
            }
        });
    }
}

/// Calls to the store in the second with most of them, and on average, while some seeds can't reach it.
fn calls_per_second(others: usize, cut: usize, link: Link) -> (u64, f64) {
    let mut fleet = Fleet::new(3, others, 1);
    while fleet.now < 10_000 {
        fleet.tick();
    }
    fleet.nodes.iter_mut().take(cut).for_each(|node| node.link = link);
    let (start, mut most, mut second) = (fleet.calls, 0, fleet.calls);
    while fleet.now < 20_000 {
        fleet.tick();
        if fleet.now.is_multiple_of(1_000) {
            most = most.max(fleet.calls - second);
            second = fleet.calls;
        }
    }
    (most, (fleet.calls - start) as f64 / 10.0)
}

/// All nodes turn to the store at once when seeds have lost it, so that it turns them away.
#[test]
fn few_nodes_read_the_store() {
    /// Reading calls that the smallest store answers in a second.
    const READS_PER_S: u64 = 2_000;
    for nodes in [7, 71, 295, 584] {
        for (cut, link) in [
            (0, Link::Up),
            (1, Link::Reset),
            (1, Link::Silent),
            (2, Link::Reset),
            (2, Link::Silent),
            (3, Link::Reset),
            (3, Link::Silent),
        ] {
            let (most, mean) = calls_per_second(nodes - 3, cut, link);
            println!(
                "{nodes} nodes, {cut} of 3 seeds cut, {link:?}: {mean} calls/s, {most} at most"
            );
            assert!(
                most <= READS_PER_S,
                "{nodes} nodes, {cut} seeds cut: {most} calls in a second"
            );
        }
    }
}
