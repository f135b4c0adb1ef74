//! Tests which streams may be preempted for a request of a higher tier.

mod common;

use std::time::Duration;

use common::{Fixture, server};
use policy::{Action, Policy};

const LOWEST: usize = 2;
/// The class whose requests aren't idempotent.
const CHARGE: usize = 1;
const STEP: Duration = Duration::from_millis(50);

/// Runs one request of a class on each of two servers with one slot, then submits a request of the top
/// tier. Returns how many streams are asked to stop.
fn count_stops(class: usize, resumes: [bool; 2]) -> usize {
    let mut fixture = Fixture::new(1, 2, 1, 8);
    for (index, resumes) in resumes.into_iter().enumerate() {
        let terms = policy::Server { resumes, ..server(index as u64 + 1, 1, fixture.model) };
        fixture.scheduler.set_server(fixture.servers[index], terms);
    }
    let lifetime = Duration::from_secs(60);
    let mut actions = vec![];
    for _ in 0..2 {
        let request = fixture.request(class, 0, lifetime);
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
    let top = fixture.request(0, 0, lifetime);
    fixture.scheduler.submit(top, fixture.now);
    actions.clear();
    for _ in 0..10 {
        fixture.now += STEP;
        fixture.scheduler.poll(fixture.now, &mut actions);
    }
    actions.iter().filter(|action| matches!(action, Action::Stop { .. })).count()
}

// Drafts occupy all slots when a booking arrives. Guards against a booking that misses its target although
// one draft could be stopped and resume elsewhere, with only a pause for its caller.
#[test]
fn can_stop_a_stream_that_resumes_elsewhere() {
    assert_eq!(count_stops(LOWEST, [true, true]), 1);
}

// One server can't continue an answer that another one began. Guards against stopping a stream that could be
// sent there next, which would leave its caller with an incomplete answer although nothing failed.
#[test]
fn can_leave_a_stream_that_might_not_resume() {
    assert_eq!(count_stops(LOWEST, [true, false]), 0);
}

// A charge may not be sent twice, so its attempt is never interrupted. Guards against asking it to stop,
// which frees no slot and keeps the scheduler from stopping another stream instead.
#[test]
fn can_leave_a_charge_alone() {
    assert_eq!(count_stops(CHARGE, [true, true]), 0);
}
