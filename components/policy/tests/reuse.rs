//! Few requests of a node before hundreds of plain servers.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Fixture;
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
        fixture.scheduler.record_idle_connection(server, fixture.now + IDLE);
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
        fixture.scheduler.record_idle_connection(server, fixture.now + IDLE);
    }
    assert!(sent <= 10, "{sent} of 40 requests to the failing server");
}
