//! The budget of repeats over a whole fleet whose nodes don't talk about it.

mod common;

use std::time::Duration;

use common::Fixture;
use policy::{Action, Ending, Limits, Policy};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Repeats allowed, as a part of the fresh requests, in percent.
const PERCENT: u32 = 20;
/// Repeats that a node may make at once beyond it.
const BURST: u32 = 2;
const MOST_NODES: usize = 40;

/// What happens at one node.
#[derive(Clone, Debug)]
enum Step {
    /// A request comes; so many of its attempts fail before one succeeds.
    Request { node: usize, failures: u32 },
    /// The node is killed and starts anew; it remembers nothing.
    Restart { node: usize },
    /// Time passes, in milliseconds; a node that was away for long has saved nothing up.
    Wait { millis: u64 },
}

/// What was sent, and what a restart adds.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    Fresh,
    Repeat,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => (0..MOST_NODES, 0..5_u32)
            .prop_map(|(node, failures)| Step::Request { node, failures }),
        1 => (0..MOST_NODES).prop_map(|node| Step::Restart { node }),
        2 => (0..20_000_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

fn node() -> Fixture {
    let mut fixture = Fixture::new(1, 2, 100, 1_000);
    let limits = Limits { retry_percent: PERCENT, retry_burst: BURST, link_bytes: 1 << 40 };
    fixture.scheduler.set_limits(limits);
    fixture
}

/// Sends one request, as often as the node lets it be tried.
fn send(node: &mut Fixture, mut failures: u32, events: &mut Vec<Event>) {
    let request = node.request(0, 0, Duration::from_secs(60));
    let job = node.scheduler.submit(request, node.now);
    let mut kind = Event::Fresh;
    loop {
        let mut actions = vec![];
        node.scheduler.poll(node.now, &mut actions);
        let sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { job: sent, .. } if *sent == job));
        if !sent {
            // It waits out its pause.
            node.now += Duration::from_millis(200);
            continue;
        }
        events.push(kind);
        kind = Event::Repeat;
        let ending = if failures > 0 { Ending::Failed } else { Ending::Completed };
        failures = failures.saturating_sub(1);
        if !node.scheduler.attempt_ended(job, ending, node.now) {
            return;
        }
    }
}

fn play(nodes: usize, steps: Vec<Step>) -> Vec<Event> {
    let mut fleet: Vec<_> = (0..nodes).map(|_| node()).collect();
    let mut events = vec![];
    for step in steps {
        match step {
            Step::Request { node, failures } => {
                send(&mut fleet[node % nodes], failures, &mut events);
            }
            Step::Restart { node: at } => {
                let now = fleet[at % nodes].now;
                fleet[at % nodes] = node();
                fleet[at % nodes].now = now;
                events.push(Event::Restart);
            }
            Step::Wait { millis } => {
                for node in &mut fleet {
                    node.now += Duration::from_millis(millis);
                }
            }
        }
    }
    events
}

/// The most that repeats go beyond what the fresh requests, the nodes and their restarts of the same
/// time allow, in windows that begin with the first of some events.
fn over(events: &[Event], nodes: usize) -> f64 {
    let mut allowed = f64::from(BURST) * nodes as f64;
    let (mut repeats, mut most) = (0.0, f64::MIN);
    for event in events {
        match event {
            Event::Fresh => allowed += f64::from(PERCENT) / 100.0,
            Event::Repeat => repeats += 1.0,
            Event::Restart => allowed += f64::from(BURST),
        }
        most = most.max(repeats - allowed);
    }
    most
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(40))]

    /// Servers fail, nodes are killed and come back, and each repeats what failed. Over any stretch of
    /// time, what all of them repeat stays within the budget that the fleet has as a whole; above it,
    /// repeats would take down what is left of the servers.
    #[test]
    fn a_fleet_keeps_its_budget_in_every_window(
        nodes in 1..=MOST_NODES,
        steps in proptest::collection::vec(step(), 1..400),
    ) {
        let events = play(nodes, steps);
        for from in 0..events.len() {
            let over = over(&events[from..], nodes);
            prop_assert!(over <= 1e-6, "{over} too many from {from} on, {nodes} nodes");
        }
    }
}

/// Every attempt fails for a while. The budget is used, so that the property above doesn't hold merely
/// because nothing is repeated.
#[test]
fn the_budget_is_used_when_all_fails() {
    let steps = (0..400).map(|node| Step::Request { node, failures: 5 }).collect();
    let events = play(4, steps);
    let repeats = events.iter().filter(|event| **event == Event::Repeat).count();
    assert!((80..=88).contains(&repeats), "{repeats} repeats of 400 requests by 4 nodes");
}
