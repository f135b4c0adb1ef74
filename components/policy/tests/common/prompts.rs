//! Engines with a known prefill rate, for tests, and two kinds of requests: steady streams, and drafts that
//! share long prompt prefixes.

use std::time::Duration;

use policy::{Action, Backlog, Class, Ending, Fetch, Mechanism, Part, Policy, Request, Server};

use super::{Fixture, class, server};

/// Prompt tokens that an engine of the tests prefills in a second.
pub const PREFILL_RATE: u32 = 75_000;
pub const ENGINES: usize = 8;
/// Indices of the classes.
pub const STEADY: usize = 0;
pub const DRAFT: usize = 2;

pub fn fixture() -> Fixture {
    fixture_with_engines(ENGINES, 128)
}

/// A node with so many engines of so many slots each.
pub fn fixture_with_engines(count: usize, slots: u32) -> Fixture {
    let mut fixture = Fixture::new(1, count, slots, 1_000);
    // As on a node whose engines have queues of their own: no request is refused because of a forecast.
    fixture.scheduler = std::mem::take(&mut fixture.scheduler)
        .with_disabled(Mechanism::DeadlineFit)
        .with_disabled(Mechanism::EarlyRefusal)
        .with_disabled(Mechanism::Preemption);
    let mut batch = fixture.scheduler.change_servers();
    for (index, key) in fixture.servers.iter().enumerate() {
        let terms = Server {
            prefill_rate: Some(PREFILL_RATE),
            is_measured: true,
            ..server(index as u64 + 1, slots, fixture.model)
        };
        batch.set(*key, terms);
    }
    drop(batch);
    for (index, interval_ms) in [(STEADY, 60), (1, 100), (DRAFT, 250)] {
        let target = Duration::from_millis(if index == DRAFT { 1_500 } else { 400 });
        let interval = Duration::from_millis(interval_ms);
        let terms =
            Class { first_token: target, token_interval: interval, ..class(index as u8, 1_000) };
        fixture.scheduler.set_class(fixture.classes[index], terms);
    }
    fixture
}

/// A request of a class and session; the drafts of a session share a long prefix.
pub fn request(fixture: &Fixture, class: usize, session: u64) -> Request {
    let (prompt, shared) = if class == DRAFT { (9_000, 6_000) } else { (700, 150) };
    Request {
        prefix: session,
        prompt_tokens: prompt,
        // Drafts and streams of one session have different prefixes.
        shared: vec![Part { id: session * 3 + class as u64, tokens: shared }],
        max_tokens: None,
        length_hint: None,
        ..fixture.request(class, 0, Duration::from_secs(6))
    }
}

/// Submits a request; returns its key and the server to which it was sent.
pub fn send(fixture: &mut Fixture, class: usize, session: u64) -> (ids::Job, ids::Server) {
    let request = request(fixture, class, session);
    let job = fixture.scheduler.submit(request, fixture.now);
    let mut actions = vec![];
    fixture.scheduler.poll(fixture.now, &mut actions);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { job: sent, server } if *sent == job => Some(*server),
        _ => None,
    });
    (job, sent.expect("engines have free slots"))
}

/// Completes a request whose first token comes after `first_token`.
pub fn complete(fixture: &mut Fixture, job: ids::Job, first_token: Duration) {
    fixture.now += first_token;
    fixture.scheduler.record_tokens(job, 4, fixture.now);
    fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
}

/// Serves requests of both kinds, so that the scheduler knows their cost.
pub fn warm_up(fixture: &mut Fixture) {
    for session in 0..200 {
        for class in [STEADY, DRAFT] {
            let (job, _) = send(fixture, class, session);
            complete(fixture, job, Duration::from_millis(10));
        }
    }
}

/// Lets engines fetch cached prefixes from each other, over sixty times as fast as they prefill.
pub fn enable_fetch(fixture: &mut Fixture) {
    let fetch = Fetch { tokens_per_second: 5_000_000.0, setup: Duration::from_millis(5) };
    for key in fixture.servers.clone() {
        fixture.scheduler.set_fetch(key, Some(fetch));
    }
}

/// Reports that other nodes have so many seconds of prefill queued at an engine, in the lowest priority, and
/// by how many seconds one of their requests there is overdue.
pub fn report_peer_backlog(fixture: &mut Fixture, server: ids::Server, prefill: f64, overdue: f64) {
    let by_priority = |seconds| vec![0.0, 0.0, seconds];
    let (prefill, overdue) = (by_priority(prefill), by_priority(overdue));
    let backlog = Backlog { server, prefill, overdue, ..Backlog::default() };
    fixture.scheduler.set_backlogs(&[backlog], fixture.now);
}
