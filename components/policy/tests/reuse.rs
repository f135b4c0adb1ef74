//! Few requests of a node before hundreds of plain servers, or engines.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Fixture;
use common::prompts::{DRAFT, STEADY, complete, fixture_with_engines, send};
use policy::{Action, Ending, Mechanism, Policy};

const SERVERS: usize = 350;
const IDLE: Duration = Duration::from_secs(5);
const SERVICE: Duration = Duration::from_millis(60);

/// Sends requests one after the other, each over an idle connection if its server has one; returns the number of
/// connections that were opened and the servers that were used.
fn connections_of(requests: usize, fixture: &mut Fixture) -> (usize, BTreeSet<ids::Server>) {
    let (mut open, mut opened) = (BTreeSet::new(), 0);
    for index in 0..requests {
        fixture.now += Duration::from_secs(1);
        let prefix = index as u64;
        let request = policy::Request { prefix, ..fixture.request(0, 0, Duration::from_secs(60)) };
        let job = fixture.scheduler.submit(request, fixture.now);
        let mut actions = vec![];
        fixture.scheduler.poll(fixture.now, &mut actions);
        let [Action::Send { server, .. }] = actions[..] else { panic!("{actions:?}") };
        opened += usize::from(open.insert(server));
        fixture.now += SERVICE;
        fixture.scheduler.record_tokens(job, 1, fixture.now);
        fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
        fixture.scheduler.record_idle_connection(server, fixture.now + IDLE, fixture.now);
    }
    (opened, open)
}

/// A node that sends a request each second to any of hundreds of servers would open a connection for nearly each of
/// them. It goes on with the server that it is connected to.
#[test]
fn requests_meet_open_connections() {
    let mut fixture = Fixture::new(1, SERVERS, 6, 10);
    let (opened, _) = connections_of(100, &mut fixture);
    assert!(opened <= 5, "{opened} connections for 100 requests");
    let mut fixture = Fixture::new(1, SERVERS, 6, 10);
    fixture.scheduler = std::mem::take(&mut fixture.scheduler).with_disabled(Mechanism::Reuse);
    let (opened, _) = connections_of(100, &mut fixture);
    assert!(opened > 50, "{opened} connections without reuse");
}

/// A node before a few servers is connected to all of them sooner or later. Its requests spread over them.
#[test]
fn requests_spread_over_a_few_servers() {
    let mut fixture = Fixture::new(1, 4, 6, 10);
    let (_, used) = connections_of(40, &mut fixture);
    assert_eq!(used.len(), 4);
}

/// The server that the node is connected to fails half of its requests. The node moves on.
#[test]
fn a_connection_to_a_failing_server_is_no_reason_to_stay() {
    let mut fixture = Fixture::new(1, SERVERS, 6, 10);
    let (_, used) = connections_of(1, &mut fixture);
    let failing = used.first().copied().unwrap();
    let mut sent = 0;
    for index in 0..40 {
        fixture.now += Duration::from_millis(500);
        let request =
            policy::Request { prefix: index, ..fixture.request(0, 0, Duration::from_secs(60)) };
        let job = fixture.scheduler.submit(request, fixture.now);
        let mut actions = vec![];
        fixture.scheduler.poll(fixture.now, &mut actions);
        let [Action::Send { server, .. }] = actions[..] else { panic!("{actions:?}") };
        let fails = server == failing && index % 2 == 0;
        sent += usize::from(server == failing);
        let ending = if fails { Ending::Broken } else { Ending::Completed };
        fixture.scheduler.attempt_ended(job, ending, fixture.now);
        fixture.scheduler.withdraw(job, fixture.now);
        fixture.scheduler.record_idle_connection(server, fixture.now + IDLE, fixture.now);
    }
    assert!(sent <= 10, "{sent} of 40 requests to the failing server");
}

/// Sends one request after the other of sessions that each come once; returns the number of connections that were
/// opened to engines.
fn engine_connections_of(requests: u64, class: usize, fixture: &mut Fixture) -> usize {
    let (mut open, mut opened) = (BTreeSet::new(), 0);
    for session in 0..requests {
        fixture.now += Duration::from_secs(1);
        let (job, server) = send(fixture, class, session);
        opened += usize::from(open.insert(server));
        complete(fixture, job, SERVICE);
        fixture.scheduler.record_idle_connection(server, fixture.now + IDLE, fixture.now);
    }
    opened
}

/// A node sends a short prompt each second, and there are thousands of engines. At the preferred engine of its
/// session nearly each would open a connection, for a prefix that takes milliseconds to prefill.
#[test]
fn short_prompts_meet_open_connections_to_engines() {
    for engines in [6_000, 12_000] {
        let mut fixture = fixture_with_engines(engines, 16);
        let opened = engine_connections_of(100, STEADY, &mut fixture);
        assert!(opened <= 5, "{opened} connections for 100 requests before {engines} engines");
    }
    let mut fixture = fixture_with_engines(6_000, 16);
    fixture.scheduler = std::mem::take(&mut fixture.scheduler).with_disabled(Mechanism::Reuse);
    let opened = engine_connections_of(100, STEADY, &mut fixture);
    assert!(opened > 50, "{opened} connections without reuse");
}

/// A long prefix belongs at the engine where all nodes look for it, connected or not. Elsewhere it would be prefilled
/// once more by each node.
#[test]
fn long_prefixes_are_worth_a_connection() {
    let mut fixture = fixture_with_engines(6_000, 16);
    let opened = engine_connections_of(100, DRAFT, &mut fixture);
    assert!(opened > 50, "{opened} connections for 100 sessions");
}
