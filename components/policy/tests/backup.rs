//! Streams whose engine ends, and the copies of their runs from which they continue.

mod common;

use std::time::Duration;

use common::prompts::{DRAFT, PREFILL_RATE, STEADY, complete, fixture_with_engines, request};
use common::{Fixture, new_keys, server};
use policy::{Action, Ending, Policy, Request, Server};

const DOMAINS: usize = 4;
const ENGINES: usize = 16;
const SLOTS: u32 = 32;

/// Engines in four failure domains of two regions, and the keys of both.
struct Site {
    fixture: Fixture,
    domains: Vec<ids::Domain>,
    regions: Vec<ids::Region>,
}

impl Site {
    fn new() -> Self {
        let (domains, regions) = (new_keys(DOMAINS), new_keys(2));
        let fixture = fixture_with_engines(ENGINES, SLOTS);
        let mut site = Site { fixture, domains, regions };
        for index in 0..ENGINES {
            site.set_engine(index, |_| {});
        }
        site
    }

    fn set_engine(&mut self, index: usize, change: impl Fn(&mut Server)) {
        let mut terms = Server {
            prefill_rate: Some(PREFILL_RATE),
            domain: self.domains[index % DOMAINS],
            region: self.regions[index % 2],
            backups: true,
            ..server(index as u64 + 1, SLOTS, self.fixture.model)
        };
        change(&mut terms);
        self.fixture.scheduler.set_server(self.fixture.servers[index], terms);
    }

    /// A stream that may run once, from a caller in the first region.
    fn stream(&self, session: u64) -> Request {
        let region = self.regions[0];
        Request { idempotent: false, region, ..request(&self.fixture, STEADY, session) }
    }

    /// Sends a request; returns its key, its engine and the engine that keeps a copy.
    fn send(&mut self, request: Request) -> (ids::Job, usize, Option<usize>) {
        let job = self.fixture.scheduler.submit(request, self.fixture.now);
        let mut actions = vec![];
        self.fixture.scheduler.poll(self.fixture.now, &mut actions);
        let [Action::Send { server, .. }] = actions[..] else { panic!("it is sent: {actions:?}") };
        let backup = self.fixture.scheduler.estimates(job).and_then(|estimates| estimates.backup);
        (job, self.index(server), backup.map(|backup| self.index(backup)))
    }

    fn index(&self, server: ids::Server) -> usize {
        self.fixture.servers.iter().position(|key| *key == server).expect("a server")
    }

    fn continue_at_backup(&mut self, job: ids::Job) -> Option<usize> {
        let backup = self.fixture.scheduler.continue_at_backup(job, self.fixture.now);
        backup.map(|backup| self.index(backup))
    }
}

/// A failure domain loses power. Guards against copies that are lost with what they are for, or that leave the
/// region in which the request may be.
#[test]
fn a_copy_is_kept_in_another_failure_domain_of_the_region() {
    let mut site = Site::new();
    for session in 0..100 {
        let (job, engine, backup) = site.send(site.stream(session));
        let backup = backup.expect("a copy");
        assert_ne!(engine % DOMAINS, backup % DOMAINS);
        assert_eq!(engine % 2, backup % 2);
        site.fixture.scheduler.record_tokens(job, 200, site.fixture.now);
        complete(&mut site.fixture, job, Duration::from_millis(10));
    }
}

/// Guards against copies of runs that may run again, or whose prompts are long and answers short: they would take
/// the memory and links of engines and save little.
#[test]
fn only_long_answers_that_may_run_once_have_copies() {
    let mut site = Site::new();
    for session in 0..20 {
        let draft = Request { idempotent: false, ..request(&site.fixture, DRAFT, session) };
        let (job, ..) = site.send(draft);
        complete(&mut site.fixture, job, Duration::from_millis(10));
        let repeatable = Request { idempotent: true, ..site.stream(session) };
        let (job, _, backup) = site.send(repeatable);
        assert_eq!(backup, None);
        complete(&mut site.fixture, job, Duration::from_millis(10));
    }
    let draft = Request { idempotent: false, ..request(&site.fixture, DRAFT, 100) };
    assert_eq!(site.send(draft).2, None);
}

/// A quarter of the engines crash at once while they generate answers that may run once. Guards against losing
/// answers of which copies exist, and against continuing them where they weren't copied.
#[test]
fn streams_of_crashed_engines_continue_at_their_copies() {
    let mut site = Site::new();
    let mut running: Vec<_> = (0..60).map(|session| site.send(site.stream(session))).collect();
    for (job, ..) in &running {
        site.fixture.scheduler.record_tokens(*job, 20, site.fixture.now);
    }
    site.fixture.now += Duration::from_millis(200);
    let crashed = running[0].1 % DOMAINS;
    running.retain(|(_, engine, _)| engine % DOMAINS == crashed);
    let within_budget = policy::RETRY_BURST as usize;
    assert!(running.len() > within_budget, "the budget binds");
    let continued: Vec<_> =
        running.iter().filter_map(|(job, ..)| site.continue_at_backup(*job)).collect();
    assert_eq!(continued.len(), within_budget);
    for ((job, _, backup), continued) in running.iter().zip(continued) {
        assert_eq!(Some(continued), *backup);
        assert_eq!(site.continue_at_backup(*job), None, "there is one copy");
        site.fixture.scheduler.record_tokens(*job, 5, site.fixture.now);
        assert!(!site.fixture.scheduler.attempt_ended(*job, Ending::Completed, site.fixture.now));
    }
}

/// The engine with the copy leaves, is evacuated, or is cold when it is needed. Guards against sending it the
/// request nevertheless.
#[test]
fn a_request_isnt_sent_to_a_copy_that_may_not_be_used() {
    let changes: [fn(&mut Server); 3] = [
        |terms| terms.leaving = true,
        |terms| terms.evacuated = true,
        |terms| terms.models = vec![],
    ];
    for change in changes {
        let mut site = Site::new();
        let (job, _, backup) = site.send(site.stream(1));
        site.set_engine(backup.expect("a copy"), change);
        assert_eq!(site.continue_at_backup(job), None);
        assert!(!site.fixture.scheduler.attempt_ended(job, Ending::Broken, site.fixture.now));
    }
    let mut site = Site::new();
    let (job, _, backup) = site.send(site.stream(1));
    let cold = site.fixture.servers[backup.expect("a copy")];
    site.fixture.scheduler.set_cold_time(cold, Some(Duration::from_secs(3)));
    site.fixture.scheduler.set_cold(cold, Some(Duration::from_secs(3)), site.fixture.now);
    assert_eq!(site.continue_at_backup(job), None);
}

/// Guards against queueing a request again, as if it hadn't run, whose copy is gone.
#[test]
fn a_request_without_its_copy_isnt_sent_again() {
    let mut site = Site::new();
    let (job, ..) = site.send(site.stream(1));
    assert!(site.continue_at_backup(job).is_some());
    assert!(!site.fixture.scheduler.attempt_ended(job, Ending::Cancelled, site.fixture.now));
}
