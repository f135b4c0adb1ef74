//! A fleet that is offered more than its engines can process: which requests a node refuses on arrival.

mod common;

use std::time::Duration;

use common::prompts::{DRAFT, ENGINES, PREFILL_RATE, STEADY, fixture, request};
use common::{Fixture, new_keys};
use overload::{Row, TIERS};
use policy::{Action, Ending, Mechanism, Policy, Prior, Refusal, Request, Server, Workspace};

/// Indices and keys of workspaces.
const HOT: usize = 0;
const OTHER: usize = 1;

/// A node with two workspaces.
fn two_workspaces() -> Fixture {
    let mut fixture = fixture();
    fixture.workspaces = new_keys(2);
    for (index, key) in fixture.workspaces.iter().enumerate() {
        let terms = Workspace { weight: 1, in_flight: u32::MAX, servers: vec![] };
        fixture.scheduler.set_workspace(*key, terms);
        fixture.scheduler.set_workspace_key(*key, index as u32);
    }
    fixture
}

/// Tells a node that the fleet is offered so much in the lowest tier, as a fraction of its capacity: most of it by [`HOT`].
fn set_utilization(fixture: &mut Fixture, utilization: f64) {
    let offered = ENGINES as f64 * utilization;
    let row = |workspace: usize, part: f64| Row {
        workspace: workspace as u32,
        tier: DRAFT as u8,
        rate: offered * part,
        weight: 1.0,
    };
    let mut totals = [0.0; TIERS];
    totals[DRAFT] = offered;
    let rows = vec![row(HOT, 0.7), row(OTHER, 0.3)];
    fixture.scheduler.set_fleet_offered(rows, totals, fixture.now);
}

/// Changes the terms of the first servers.
fn change_servers(fixture: &mut Fixture, count: usize, change: impl Fn(Server) -> Server) {
    let mut batch = fixture.scheduler.change_servers();
    for (index, key) in fixture.servers.iter().enumerate().take(count) {
        let terms = common::server(index as u64 + 1, 128, fixture.model);
        batch.set(*key, change(Server { prefill_rate: Some(PREFILL_RATE), ..terms }));
    }
}

/// Submits a request; returns what became of it, and completes it if it was sent.
fn run(fixture: &mut Fixture, request: Request) -> Vec<Action> {
    let job = fixture.scheduler.submit(request, fixture.now);
    let mut actions = vec![];
    fixture.scheduler.poll(fixture.now, &mut actions);
    fixture.now += Duration::from_millis(5);
    fixture.scheduler.record_tokens(job, 1, fixture.now);
    fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
    actions
}

/// Runs requests of both workspaces and two classes; returns all actions.
fn run_mixed(fixture: &mut Fixture, utilization: Option<f64>) -> Vec<Action> {
    let step = |step: u64| {
        if let Some(utilization) = utilization.filter(|_| step.is_multiple_of(60)) {
            set_utilization(fixture, utilization);
        }
        let workspace = fixture.workspaces[step as usize / 2 % 2];
        let class = [STEADY, DRAFT][step as usize % 2];
        let request = Request { workspace, ..request(fixture, class, step % 17) };
        run(fixture, request)
    };
    (0..400).flat_map(step).collect()
}

/// Refused requests of a workspace and class among 400, by reason, and the longest time after which one is to come back.
fn refusals(fixture: &mut Fixture, class: usize, workspace: usize) -> ([u32; 2], Duration) {
    let (mut counts, mut longest) = ([0; 2], Duration::ZERO);
    for step in 0..400 {
        set_utilization(fixture, 1.5);
        let workspace = fixture.workspaces[workspace];
        let request = Request { workspace, ..request(fixture, class, step % 17) };
        for action in run(fixture, request) {
            if let Action::Refuse { refusal, retry_after, .. } = action {
                counts[usize::from(refusal == Refusal::Overloaded)] += 1;
                assert!([Refusal::OverShare, Refusal::Overloaded].contains(&refusal));
                longest = longest.max(retry_after);
            }
        }
    }
    (counts, longest)
}

/// A fleet that isn't overloaded is decided for exactly as one whose nodes exchange nothing, or that has this disabled.
#[test]
fn without_overload_decisions_are_as_before() {
    let before = run_mixed(&mut two_workspaces(), None);
    assert_eq!(before, run_mixed(&mut two_workspaces(), Some(0.89)));
    let mut disabled = two_workspaces();
    let scheduler = std::mem::take(&mut disabled.scheduler);
    disabled.scheduler = scheduler.with_disabled(Mechanism::Overload);
    assert_eq!(before, run_mixed(&mut disabled, Some(3.0)));
}

/// A hot workspace: its requests are refused to its fair share, those of others and of higher tiers aren't.
#[test]
fn a_hot_workspace_is_refused_to_its_share() {
    // It offers 1.05 of the capacity and may use 0.55.
    let ([over_share, overloaded], longest) = refusals(&mut two_workspaces(), DRAFT, HOT);
    assert!((150..230).contains(&over_share), "{over_share} of 400");
    assert_eq!(overloaded, 0);
    assert!(longest > Duration::from_millis(400) && longest <= Duration::from_millis(500));
    assert_eq!(refusals(&mut two_workspaces(), DRAFT, OTHER).0, [0, 0]);
    assert_eq!(refusals(&mut two_workspaces(), STEADY, HOT).0, [0, 0]);
}

/// Engines that crash: what they could process is no longer counted, so the same load is refused that fits without crashes.
#[test]
fn capacity_without_the_engines_that_leave_is_lower() {
    let mut fixture = two_workspaces();
    set_utilization(&mut fixture, 0.8);
    assert_eq!(fixture.scheduler.fleet_utilization(fixture.now), Some(0.8));
    change_servers(&mut fixture, ENGINES / 2, |terms| Server { leaving: true, ..terms });
    fixture.now += Duration::from_millis(300);
    assert_eq!(fixture.scheduler.fleet_utilization(fixture.now), Some(1.6));
}

/// A request that a server may have run before isn't refused: the caller would be told that it hasn't.
#[test]
fn requests_that_have_begun_are_not_refused() {
    let mut fixture = two_workspaces();
    for step in 0..200 {
        set_utilization(&mut fixture, 5.0);
        let prior = Prior { attempts: 1, reached: true };
        let request = Request { prior, ..request(&fixture, DRAFT, step) };
        let actions = run(&mut fixture, request);
        assert!(matches!(actions[..], [Action::Send { .. }]), "{actions:?}");
    }
}

/// Shares older than 3 s are ignored, and so are all shares where the rates of engines are unknown.
#[test]
fn nothing_is_refused_by_old_shares_or_without_rates() {
    let mut fixture = two_workspaces();
    set_utilization(&mut fixture, 5.0);
    fixture.now += Duration::from_secs(3);
    let actions = run_mixed(&mut fixture, None);
    assert!(actions.iter().all(|action| matches!(action, Action::Send { .. })));
    let mut fixture = two_workspaces();
    change_servers(&mut fixture, ENGINES, |terms| Server { prefill_rate: None, ..terms });
    let actions = run_mixed(&mut fixture, Some(5.0));
    assert!(actions.iter().all(|action| matches!(action, Action::Send { .. })));
}

/// What a node offers is reported from half of the capacity on, with the requests that it refuses; cached prefixes count only
/// as far as they are prefilled again.
#[test]
fn refused_requests_are_offered_too() {
    let mut fixture = two_workspaces();
    assert!(fixture.scheduler.offered(fixture.now).is_none());
    refusals(&mut fixture, DRAFT, HOT);
    let (rows, totals) = fixture.scheduler.offered(fixture.now).expect("the fleet is overloaded");
    assert_eq!((rows.len(), rows[0].workspace, rows[0].tier), (1, HOT as u32, DRAFT as u8));
    assert!((rows[0].rate - totals[DRAFT]).abs() < 1e-9);
    // 200 requests a second of 3,000 tokens behind 6,000 that are cached, at 75,000 tokens a second, and their answers.
    assert!((9.0..16.0).contains(&totals[DRAFT]), "{totals:?}");
}
