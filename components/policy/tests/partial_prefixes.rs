//! Sessions whose prompts begin with a part that all of them share, before a part of their own.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Fixture;
use common::prompts::{self, DRAFT, complete, enable_fetch, fixture, warm_up};
use policy::{Action, Part, Policy, Request};

const SYSTEM: Part = Part { id: 1 << 40, tokens: 2_500 };

/// Submits the first request of a session whose prompt begins with `first`.
fn send(fixture: &mut Fixture, first: Part, session: u64) -> (ids::Job, ids::Server) {
    let own = Part { id: session << 32, tokens: 3_800 };
    let request = Request {
        prefix: own.id,
        shared: vec![first, own],
        ..prompts::request(fixture, DRAFT, session)
    };
    let job = fixture.scheduler.submit(request, fixture.now);
    let mut actions = vec![];
    fixture.scheduler.poll(fixture.now, &mut actions);
    let [Action::Send { server, .. }] = actions[..] else { panic!("{actions:?}") };
    (job, server)
}

/// The shared part was prefilled at one engine. An engine that gets another session fetches it there; otherwise every
/// engine would prefill it once.
#[test]
fn an_engine_fetches_the_part_that_all_sessions_share() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    enable_fetch(&mut fixture);
    let (job, holder) = send(&mut fixture, SYSTEM, 1);
    assert_eq!(fixture.scheduler.estimates(job).unwrap().fetch, None);
    complete(&mut fixture, job, Duration::from_millis(100));
    let mut holders = BTreeSet::from([holder]);
    for session in 2..12 {
        let (job, server) = send(&mut fixture, SYSTEM, session);
        let fetch = fixture.scheduler.estimates(job).unwrap().fetch;
        assert_eq!(fetch.is_some(), holders.insert(server), "session {session}");
    }
    assert!(holders.len() > 2);
}

/// A short part isn't worth a transfer, which takes longer to set up than the part takes to prefill.
#[test]
fn a_short_part_is_prefilled_again() {
    let mut fixture = fixture();
    warm_up(&mut fixture);
    enable_fetch(&mut fixture);
    let short = Part { tokens: 300, ..SYSTEM };
    for session in 1..12 {
        let (job, _) = send(&mut fixture, short, session);
        assert_eq!(fixture.scheduler.estimates(job).unwrap().fetch, None);
        complete(&mut fixture, job, Duration::from_millis(100));
    }
}
