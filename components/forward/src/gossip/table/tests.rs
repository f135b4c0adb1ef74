use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use wire::gossip::{Load, Position, Report};

use super::{
    Aggregate, DELAY_STEP_MS, NOTICEABLE_DIVISOR, NOTICEABLE_MS, REFRESH_INTERVAL, SentReports,
    View,
};

const REPORT_LIFETIME: Duration = Duration::from_millis(450);
const PAUSE: Duration = Duration::from_millis(150);

/// A node that reports to a seed.
struct Node {
    name: String,
    sent: SentReports,
    view: View,
    loads: Vec<Load>,
}

impl Node {
    fn new(name: &str) -> Self {
        let (sent, view) = (SentReports::default(), View::default());
        Node { name: name.to_string(), sent, view, loads: vec![] }
    }

    /// Reports to a seed; the answer may be lost. Returns its size in bytes.
    fn report_to(&mut self, seed: &mut Aggregate, lost: bool, now: Instant) -> usize {
        let number = self.sent.record(self.loads.clone(), vec![10]);
        let (from, known) = (self.name.clone(), self.view.position());
        let report = Report {
            from,
            number,
            loads: self.loads.clone(),
            sends: vec![10],
            ..Report::default()
        };
        seed.add_report(report, now);
        seed.refresh(REPORT_LIFETIME, Some, now);
        let summary = seed.fleet_summary(&self.name, known, now);
        let bytes = summary.encode().len();
        if !lost {
            self.view.apply(summary, now);
        }
        bytes
    }

    /// The load of the other nodes as this one knows it, by engine.
    fn loads_of_others(&self, now: Instant) -> HashMap<u32, Load> {
        let (loads, _) = self.sent.subtract_own(&self.view, now);
        loads.into_iter().map(|load| (load.server, load)).collect()
    }
}

fn load(server: u32, prefill_ms: u32, occupied: u32) -> Load {
    Load { prefill_ms: vec![prefill_ms], occupied: vec![occupied], ..Load::empty(server) }
}

/// A node subtracts its own report from the sums. Otherwise it would count its own prompts twice, and send its
/// next ones away from engines that are free.
#[test]
fn a_node_receives_the_load_of_others_only() {
    let (mut seed, now) = (Aggregate::new(1), Instant::now());
    let [mut a, mut b] = ["a", "b"].map(Node::new);
    (a.loads, b.loads) = (vec![load(7, 100, 2)], vec![load(7, 40, 1)]);
    b.report_to(&mut seed, false, now);
    a.report_to(&mut seed, false, now + REFRESH_INTERVAL);
    assert_eq!(a.loads_of_others(now + REFRESH_INTERVAL)[&7], load(7, 40, 1));
    assert_eq!(a.sent.subtract_own(&a.view, now).1, [10], "requests that others send");
}

/// A node loses power. Its last report is soon dropped, or its engines would seem busy forever.
#[test]
fn the_report_of_a_lost_node_is_dropped() {
    let (mut seed, mut now) = (Aggregate::new(1), Instant::now());
    let [mut a, mut b] = ["a", "b"].map(Node::new);
    b.loads = vec![load(7, 400, 3)];
    b.report_to(&mut seed, false, now);
    for _ in 0..4 {
        now += PAUSE;
        a.report_to(&mut seed, false, now);
    }
    assert!(a.loads_of_others(now).is_empty(), "{:?}", a.loads_of_others(now));
}

/// A fleet has thousands of engines and all of them are busy. Every one is reported, and once nothing changes,
/// an answer takes next to no bytes.
#[test]
fn all_engines_are_reported_and_then_only_changes() {
    let (mut seed, mut now) = (Aggregate::new(1), Instant::now());
    let [mut a, mut b] = ["a", "b"].map(Node::new);
    b.loads = (0..3_000).map(|server| load(server, 50 + server % 100, 3)).collect();
    b.report_to(&mut seed, false, now);
    now += REFRESH_INTERVAL;
    a.report_to(&mut seed, false, now);
    assert_eq!(a.loads_of_others(now).len(), 3_000);
    now += PAUSE;
    b.report_to(&mut seed, false, now);
    let bytes = a.report_to(&mut seed, false, now);
    assert!(bytes < 100, "{bytes} bytes where nothing changed");
    b.loads[5] = load(5, 900, 9);
    now += PAUSE;
    b.report_to(&mut seed, false, now);
    let bytes = a.report_to(&mut seed, false, now + REFRESH_INTERVAL);
    assert!(bytes < 150, "{bytes} bytes for one change");
    assert_eq!(a.loads_of_others(now)[&5], load(5, 900, 9));
}

/// Hundreds of nodes may report that an engine caches the same part of a prompt. The part is sent to each node
/// once, not in every answer for as long as the part is in use.
#[test]
fn a_part_is_sent_to_each_node_once() {
    let (mut seed, now) = (Aggregate::new(1), Instant::now());
    let report = |from: &str| Report {
        from: from.to_string(),
        parts: vec![(7, 1), (7, 2)],
        ..Report::default()
    };
    seed.add_report(report("a"), now);
    let first = seed.fleet_summary("c", None, now);
    assert_eq!(first.parts, [(7, 1), (7, 2)]);
    seed.add_report(report("b"), now + PAUSE);
    assert!(seed.fleet_summary("c", Some(first.position), now + PAUSE).parts.is_empty());
}

/// The load of other seeds' clusters is included while these seeds answer, and dropped once they don't.
#[test]
fn the_clusters_of_other_seeds_count_while_they_answer() {
    let (mut here, mut there, now) = (Aggregate::new(1), Aggregate::new(2), Instant::now());
    let [mut a, mut b] = ["a", "b"].map(Node::new);
    b.loads = vec![load(7, 400, 3)];
    b.report_to(&mut there, false, now);
    here.apply_seed_summary("there", there.cluster_summary(here.seed_position("there"), now), now);
    a.report_to(&mut here, false, now);
    assert_eq!(a.loads_of_others(now)[&7], load(7, 400, 3));
    let later = now + REPORT_LIFETIME;
    a.report_to(&mut here, false, later);
    assert!(a.loads_of_others(later).is_empty());
}

/// A step of the test with random steps.
#[derive(Clone, Debug)]
enum Step {
    /// A node's load at an engine changes: the node, the engine, its time to prefill in ms and its occupied
    /// slots.
    Change(usize, u32, u32, u32),
    /// A node reports to the seed; the answer is lost if the flag is set.
    Report(usize, bool),
    /// The seed restarts.
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let change = (0..4_usize, 0..6_u32, 0..500_u32, 0..20_u32);
    let step = prop_oneof![
        4 => change.prop_map(|(node, server, prefill_ms, occupied)| Step::Change(node, server, prefill_ms, occupied)),
        6 => (0..4_usize, any::<bool>()).prop_map(|(node, lost)| Step::Report(node, lost)),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 0..80)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// After any lost answers and restarts of the seed, once nodes get answers again each of them knows the load
    /// of all others, except for changes too small to be reported, and nothing is counted twice.
    #[test]
    fn nodes_agree_again_after_losses_and_restarts(steps in steps()) {
        let (mut seed, mut now, mut boot) = (Aggregate::new(1), Instant::now(), 1);
        let mut nodes = ["a", "b", "c", "d"].map(Node::new);
        for step in steps {
            now += REFRESH_INTERVAL;
            match step {
                Step::Change(node, server, prefill_ms, occupied) => {
                    let loads = &mut nodes[node].loads;
                    loads.retain(|load| load.server != server);
                    loads.push(load(server, prefill_ms, occupied));
                }
                Step::Report(node, lost) => {
                    nodes[node].report_to(&mut seed, lost, now);
                }
                Step::Restart => {
                    boot += 1;
                    seed = Aggregate::new(boot);
                }
            }
        }
        for _ in 0..2 {
            for node in &mut nodes {
                now += REFRESH_INTERVAL;
                node.report_to(&mut seed, false, now);
            }
        }
        for index in 0..nodes.len() {
            let known = nodes[index].loads_of_others(now);
            for server in 0..6 {
                let others = nodes.iter().enumerate().filter(|(other, _)| *other != index);
                let loads = others.flat_map(|(_, node)| &node.loads);
                let loads: Vec<_> = loads.filter(|load| load.server == server).collect();
                let prefill_ms: u32 = loads.iter().map(|load| load.prefill_ms[0]).sum();
                let occupied: u32 = loads.iter().map(|load| load.occupied[0]).sum();
                let none = Load::empty(server);
                let found = known.get(&server).unwrap_or(&none);
                let at = |list: &[u32]| list.first().copied().unwrap_or(0);
                let own = nodes[index].loads.iter().find(|load| load.server == server);
                let all = prefill_ms + own.map_or(0, |load| load.prefill_ms[0]);
                let slack = NOTICEABLE_MS.max(all / NOTICEABLE_DIVISOR * 2);
                prop_assert!(at(&found.prefill_ms).abs_diff(prefill_ms) <= slack, "{found:?}, {prefill_ms}");
                prop_assert_eq!(at(&found.occupied), occupied);
            }
        }
    }

    /// A node whose position is of another process of the seed is sent the whole table.
    #[test]
    fn an_unknown_position_is_answered_with_the_whole_table(boot in 2..9_u32, version in any::<u64>()) {
        let seed = Aggregate::new(1);
        let known = Some(Position { boot, version });
        prop_assert!(seed.fleet_summary("a", known, Instant::now()).complete);
    }
}

/// The longest delay of a request is reported in steps, so that a delay which keeps growing isn't sent in every
/// answer.
#[test]
fn a_growing_delay_is_reported_in_steps() {
    let (mut seed, mut now) = (Aggregate::new(1), Instant::now());
    let mut a = Node::new("a");
    let mut reports = 0;
    for ms in 0..DELAY_STEP_MS * 3 {
        now += REFRESH_INTERVAL;
        a.loads = vec![Load { overdue_ms: vec![ms], ..Load::empty(7) }];
        let before = a.view.position();
        a.report_to(&mut seed, false, now);
        reports += u32::from(a.view.position() != before);
    }
    assert!(reports <= 4, "reported {reports} times");
}

/// Tokens in an engine's memory change with each request. Nodes are sent a change by a sixth: it moves the engine's horizon by
/// less than what the survival probability leaves open.
#[test]
fn tokens_are_reported_in_steps_of_a_sixth() {
    let (mut seed, mut now) = (Aggregate::new(1), Instant::now());
    let [mut a, mut b] = ["a", "b"].map(Node::new);
    let load = |running_kilotokens| Load { running_kilotokens, ..Load::empty(7) };
    let known = |running, now| [(7, load(running))].into_iter().collect::<HashMap<_, _>>() == now;
    for (running, expected) in [(120, 120), (139, 120), (140, 140), (118, 140), (117, 117)] {
        now += PAUSE;
        b.loads = vec![load(running)];
        b.report_to(&mut seed, false, now);
        a.report_to(&mut seed, false, now + REFRESH_INTERVAL);
        assert!(known(expected, a.loads_of_others(now)), "{running}");
    }
    now += REPORT_LIFETIME * 2;
    a.report_to(&mut seed, false, now);
    assert!(a.loads_of_others(now).is_empty(), "the reports of the other node are lost");
}
