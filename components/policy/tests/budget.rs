//! Tests that the retry budgets of independent nodes bound the retries of the whole fleet.

mod common;

use std::time::Duration;

use common::Fixture;
use policy::{Action, Ending, Limits, Policy, Prior, Request};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Retries allowed, in percent of the first attempts.
const PERCENT: u32 = 20;
/// Retries that a node may make at once beyond that percentage.
const BURST: u32 = 2;
const MAX_NODES: usize = 40;
/// Models of a service.
const MODELS: usize = 9;
/// Number of polls, one every 200 ms, after which a waiting request is withdrawn.
const MAX_POLLS: usize = 100;

/// An event at one node, or at all of them.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives, and its attempts end so before one succeeds. After some of them, the node passes it on to
    /// another.
    Request { node: usize, endings: Vec<(Ending, Option<usize>)> },
    /// The node is killed and restarts without any state.
    Restart { node: usize },
    /// Time passes; an idle node must not save up retries.
    Wait { millis: u64 },
}

/// A first attempt, a retry, or a restart, which grants the node a new burst.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    First,
    Retry,
    Restart,
}

/// How an attempt may end without an answer for the caller.
fn failure() -> impl Strategy<Value = Ending> {
    prop_oneof![
        Just(Ending::Failed),
        Just(Ending::Broken),
        Just(Ending::ServerError),
        Just(Ending::NotRun),
        Just(Ending::Misdirected),
        Just(Ending::Unreached),
        Just(Ending::Held),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let ending = (failure(), proptest::option::weighted(0.2, 0..MAX_NODES));
    prop_oneof![
        20 => (0..MAX_NODES, proptest::collection::vec(ending, 0..5))
            .prop_map(|(node, endings)| Step::Request { node, endings }),
        1 => (0..MAX_NODES).prop_map(|node| Step::Restart { node }),
        2 => (0..20_000_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

fn new_node() -> Fixture {
    let mut fixture = Fixture::new(1, 2, 100, 1_000);
    let limits = Limits { retry_percent: PERCENT, retry_burst: BURST, link_bytes: 1 << 40 };
    fixture.scheduler.set_limits(limits);
    fixture
}

/// Submits one request and ends its attempts so, until one succeeds or the node doesn't retry. An attempt that no
/// server received is no event.
fn run_request(
    fleet: &mut [Fixture],
    mut at: usize,
    endings: &[(Ending, Option<usize>)],
    events: &mut Vec<Event>,
) {
    let nodes = fleet.len();
    let submit = |node: &mut Fixture, prior| {
        let request = Request { prior, ..node.request(0, 0, Duration::from_secs(60)) };
        node.scheduler.submit(request, node.now)
    };
    let mut job = submit(&mut fleet[at], Prior::default());
    let mut kind = Event::First;
    let mut endings = endings.iter();
    for _ in 0..MAX_POLLS {
        let node = &mut fleet[at];
        let mut actions = vec![];
        node.scheduler.poll(node.now, &mut actions);
        let sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { job: sent, .. } if *sent == job));
        if !sent {
            // The request is backing off, or all servers are ejected.
            node.now += Duration::from_millis(200);
            continue;
        }
        let (ending, to) = *endings.next().unwrap_or(&(Ending::Completed, None));
        if !matches!(ending, Ending::Unreached | Ending::Held) {
            events.push(kind);
            kind = Event::Retry;
        }
        if !node.scheduler.attempt_ended(job, ending, node.now) {
            return;
        }
        if let Some(to) = to {
            let prior = node.scheduler.prior(job);
            node.scheduler.withdraw(job, node.now);
            at = to % nodes;
            job = submit(&mut fleet[at], prior);
        }
    }
    let node = &mut fleet[at];
    node.scheduler.withdraw(job, node.now);
}

/// Applies steps to a fleet and returns the attempts and restarts in order.
fn run_steps(nodes: usize, steps: Vec<Step>) -> Vec<Event> {
    let mut fleet: Vec<_> = (0..nodes).map(|_| new_node()).collect();
    let mut events = vec![];
    for step in steps {
        match step {
            Step::Request { node, endings } => {
                run_request(&mut fleet, node % nodes, &endings, &mut events);
            }
            Step::Restart { node: at } => {
                let now = fleet[at % nodes].now;
                fleet[at % nodes] = new_node();
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

/// Largest excess of retries over the budget, among all windows that start at the first of some events.
/// The budget of a window grows with its first attempts and restarts, plus one burst per node.
fn max_excess(events: &[Event], nodes: usize) -> f64 {
    let mut allowed = f64::from(BURST) * nodes as f64;
    let (mut retries, mut excess) = (0.0, f64::MIN);
    for event in events {
        match event {
            Event::First => allowed += f64::from(PERCENT) / 100.0,
            Event::Retry => retries += 1.0,
            Event::Restart => allowed += f64::from(BURST),
        }
        excess = excess.max(retries - allowed);
    }
    excess
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

    /// Servers fail, decline or have other names, and nodes are killed and restart or pass requests on. Guards
    /// against retries of the whole fleet that exceed its budget in any window, which would overload the
    /// remaining servers.
    #[test]
    fn a_fleet_keeps_its_budget_in_every_window(
        nodes in 1..=MAX_NODES,
        steps in proptest::collection::vec(step(), 1..400),
    ) {
        let events = run_steps(nodes, steps);
        for from in 0..events.len() {
            let excess = max_excess(&events[from..], nodes);
            prop_assert!(excess <= 1e-6, "{excess} retries too many from {from} on, {nodes} nodes");
        }
    }
}

/// Every attempt fails. Checks that the budget is used up, as the property above would also hold if nothing
/// was retried.
#[test]
fn the_budget_is_used_when_all_fails() {
    let request = |node| Step::Request { node, endings: vec![(Ending::Failed, None); 5] };
    let steps = (0..400).map(request).collect();
    let events = run_steps(4, steps);
    let retries = events.iter().filter(|event| **event == Event::Retry).count();
    assert!((80..=88).contains(&retries), "{retries} retries of 400 requests by 4 nodes");
}

/// Guards against retries that are paid for by attempts which reached no server. A node without a way to servers
/// makes many of them; afterwards it would send more retries than the fleet is allowed.
#[test]
fn attempts_that_reach_no_server_earn_no_retries() {
    let mut fleet = [new_node()];
    let mut events = vec![];
    for _ in 0..BURST {
        run_request(&mut fleet, 0, &[(Ending::Failed, None)], &mut events);
    }
    let node = &mut fleet[0];
    let request = node.request(0, 0, Duration::from_secs(60));
    let job = node.scheduler.submit(request, node.now);
    let mut unreached = 0;
    while unreached < 50 {
        let mut actions = vec![];
        node.scheduler.poll(node.now, &mut actions);
        node.now += Duration::from_millis(200);
        if !actions.is_empty() {
            unreached += 1;
            assert!(node.scheduler.attempt_ended(job, Ending::Unreached, node.now));
        }
    }
    node.scheduler.withdraw(job, node.now);
    events.clear();
    run_request(&mut fleet, 0, &[(Ending::Failed, None)], &mut events);
    let retries = events.iter().filter(|event| **event == Event::Retry).count();
    assert_eq!(retries, 0, "no request was sent since the budget was used up");
}

/// Requests for each model of a service fail. Guards against a budget for each model, which allows the servers of the
/// service several times the retries that they may get.
#[test]
fn the_models_of_a_service_share_its_budget() {
    let mut node = new_node();
    let models: Vec<ids::Model> = common::new_keys(MODELS);
    for key in &node.servers {
        let terms = policy::Server { models: models.clone(), ..common::server(1, 100, node.model) };
        node.scheduler.set_server(*key, terms);
    }
    let mut retries = 0;
    for model in models {
        let request = Request { model, ..node.request(0, 0, Duration::from_secs(60)) };
        let job = node.scheduler.submit(request, node.now);
        node.scheduler.poll(node.now, &mut vec![]);
        while node.scheduler.attempt_ended(job, Ending::NotRun, node.now) {
            retries += 1;
            let mut actions = vec![];
            while actions.is_empty() {
                node.now += Duration::from_millis(200);
                node.scheduler.poll(node.now, &mut actions);
            }
        }
    }
    let allowed = BURST as usize + MODELS * PERCENT as usize / 100;
    assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
}

/// Fleets of these sizes have these slacks.
const SLACKS: [(usize, f64); 4] = [(7, 54.0), (71, 176.0), (295, 630.0), (584, 640.0)];
/// First attempts of each node in one window.
const FIRSTS: usize = 40;

/// The retries of one window in a fleet with a slack, of which each node starts so many times, and what is allowed.
fn retries_with_starts(nodes: usize, slack: f64, starts: usize) -> (f64, f64) {
    let mut events = vec![];
    for start in 0..nodes * starts {
        let mut before = vec![];
        let mut node = new_node();
        node.scheduler.set_retry_capacity(policy::retry_capacity(slack, nodes as u32));
        let mut node = [node];
        for _ in 0..FIRSTS / starts {
            // What the first process saves up is earned before the window.
            let first = start % starts == 0;
            run_request(&mut node, 0, &[], if first { &mut before } else { &mut events });
        }
        for _ in 0..FIRSTS / starts {
            run_request(&mut node, 0, &[(Ending::Failed, None); 2], &mut events);
        }
    }
    let retries = events.iter().filter(|event| **event == Event::Retry).count() as f64;
    let firsts = events.len() as f64 - retries;
    (retries, slack + firsts * f64::from(PERCENT) / 100.0)
}

/// All nodes are killed and start again several times within one window, while every attempt fails. Guards against
/// budgets that each start grants anew.
#[test]
fn starts_of_nodes_grant_no_retries() {
    for (nodes, slack) in SLACKS {
        for starts in [1, 2, 4] {
            let (retries, allowed) = retries_with_starts(nodes, slack, starts);
            assert!(retries <= allowed, "{nodes} nodes, {starts} starts: {retries} of {allowed}");
        }
        let (used, allowed) = retries_with_starts(nodes, slack, 1);
        assert!(used >= allowed / 2.0, "{nodes} nodes: {used} of {allowed}");
    }
}
