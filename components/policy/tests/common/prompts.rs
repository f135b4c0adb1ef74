//! Engines whose reading is known, for tests: eight of them, steady streams, and drafts that share long
//! beginnings.

use std::time::Duration;

use policy::{Action, Backlog, Class, Ending, Fetch, Mechanism, Part, Policy, Request, Server};

use super::{Fixture, class, server};

/// Tokens that an engine of the tests reads in a second.
pub const PREFILL_RATE: u32 = 75_000;
pub const ENGINES: usize = 8;
pub const STEADY: usize = 0;
pub const DRAFT: usize = 2;

pub fn fixture() -> Fixture {
    fixture_with_engines(ENGINES, 128)
}

/// A node before so many engines with so many places each.
pub fn fixture_with_engines(count: usize, slots: u32) -> Fixture {
    let mut fixture = Fixture::new(1, count, slots, 1_000);
    // As a node before engines that queue by themselves: nothing is given up by its forecast.
    fixture.scheduler = std::mem::take(&mut fixture.scheduler)
        .with_disabled(Mechanism::DeadlineFit)
        .with_disabled(Mechanism::EarlyRefusal)
        .with_disabled(Mechanism::Preemption);
    for (index, key) in fixture.servers.iter().enumerate() {
        let terms = Server {
            prefill_rate: Some(PREFILL_RATE),
            ..server(index as u64 + 1, slots, fixture.model)
        };
        fixture.scheduler.set_server(*key, terms);
    }
    for (index, bears) in [(STEADY, 60), (1, 100), (DRAFT, 250)] {
        let target = Duration::from_millis(if index == DRAFT { 1_500 } else { 400 });
        let interval = Duration::from_millis(bears);
        let terms =
            Class { first_token: target, token_interval: interval, ..class(index as u8, 1_000) };
        fixture.scheduler.set_class(fixture.classes[index], terms);
    }
    fixture
}

/// A request of a class and session; drafts share a long beginning.
pub fn request(fixture: &Fixture, class: usize, session: u64) -> Request {
    let (prompt, shared) = if class == DRAFT { (9_000, 6_000) } else { (700, 150) };
    Request {
        prefix: session,
        prompt_tokens: prompt,
        // A part is one of a class: drafts and streams begin differently.
        shared: vec![Part { id: session * 3 + class as u64, tokens: shared }],
        max_tokens: None,
        ..fixture.request(class, 0, Duration::from_secs(6))
    }
}

/// Submits a request; returns it and where it went.
pub fn send(fixture: &mut Fixture, class: usize, session: u64) -> (ids::Job, ids::Server) {
    let request = request(fixture, class, session);
    let job = fixture.scheduler.submit(request, fixture.now);
    let mut actions = vec![];
    fixture.scheduler.poll(fixture.now, &mut actions);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { job: sent, server } if *sent == job => Some(*server),
        _ => None,
    });
    (job, sent.expect("engines have room"))
}

/// Serves a request whole; its first token comes after `first`.
pub fn complete(fixture: &mut Fixture, job: ids::Job, first: Duration) {
    fixture.now += first;
    fixture.scheduler.record_tokens(job, 4, fixture.now);
    fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
}

/// Lets both kinds of work be known.
pub fn warm_up(fixture: &mut Fixture) {
    for session in 0..200 {
        for class in [STEADY, DRAFT] {
            let (job, _) = send(fixture, class, session);
            complete(fixture, job, Duration::from_millis(10));
        }
    }
}

/// Lets engines take over prompts from each other, some hundred times as fast as they read.
pub fn enable_fetch(fixture: &mut Fixture) {
    let way = Fetch { tokens_per_second: 5_000_000.0, setup: Duration::from_millis(5) };
    for key in fixture.servers.clone() {
        fixture.scheduler.set_fetch(key, Some(way));
    }
}

/// Other nodes have so many seconds of prompts at an engine.
pub fn report_peer_backlog(fixture: &mut Fixture, server: ids::Server, seconds: f64, overdue: f64) {
    let by_rank = |seconds| vec![0.0, 0.0, seconds];
    let (reading, overdue) = (by_rank(seconds), by_rank(overdue));
    let backlog =
        Backlog { server, prefill: reading, overdue, occupied: vec![], since_first_token: None };
    fixture.scheduler.set_backlogs(&[backlog], fixture.now);
}
