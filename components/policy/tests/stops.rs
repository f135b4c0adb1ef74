//! Which streams may be stopped for a higher tier.

mod common;

use std::time::Duration;

use common::{Fixture, server};
use policy::{Action, Policy};

const LOWEST: usize = 2;
/// The class whose requests may not be repeated.
const CHARGE: usize = 1;
const STEP: Duration = Duration::from_millis(50);

/// Two servers of one place each run one request of a class, of which tokens came; then a request
/// of the top tier waits. Returns how many were asked to stop.
fn stops(class: usize, resumes: [bool; 2]) -> usize {
    let mut fixture = Fixture::new(1, 2, 1, 8);
    for (index, resumes) in resumes.into_iter().enumerate() {
        let terms = policy::Server { resumes, ..server(index as u64 + 1, 1, fixture.model) };
        fixture.scheduler.set_server(fixture.servers[index], terms);
    }
    let useful = Duration::from_secs(60);
    let mut actions = vec![];
    for _ in 0..2 {
        let request = fixture.request(class, 0, useful);
        fixture.scheduler.submit(request, fixture.now);
    }
    fixture.scheduler.poll(fixture.now, &mut actions);
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { job, .. } => Some(*job),
        _ => None,
    });
    let sent: Vec<_> = sent.collect();
    assert_eq!(sent.len(), 2, "{actions:?}");
    fixture.now += STEP;
    for job in sent {
        fixture.scheduler.record_tokens(job, 1, fixture.now);
    }
    let top = fixture.request(0, 0, useful);
    fixture.scheduler.submit(top, fixture.now);
    actions.clear();
    for _ in 0..10 {
        fixture.now += STEP;
        fixture.scheduler.poll(fixture.now, &mut actions);
    }
    actions.iter().filter(|action| matches!(action, Action::Stop { .. })).count()
}

// All places are held by drafts when a booking comes. One draft gives its place up and goes on
// elsewhere; its caller sees a pause.
#[test]
fn can_stop_a_stream_that_goes_on_elsewhere() {
    assert_eq!(stops(LOWEST, [true, true]), 1);
}

// One of the servers can't go on with an answer that was begun elsewhere. A stream that was stopped
// could be sent there next, and its caller would be left with a broken answer for no fault at all.
#[test]
fn can_leave_a_stream_that_might_not_go_on() {
    assert_eq!(stops(LOWEST, [true, false]), 0);
}

// A charge may not be sent again, so its attempt is never broken off. Asking it to stop would bring
// no place, and would keep the decisions from asking anyone else.
#[test]
fn can_leave_a_charge_alone() {
    assert_eq!(stops(CHARGE, [true, true]), 0);
}
