//! Streams that go on at the version of the servers' software that began them, while versions are replaced.

mod common;

use std::time::Duration;

use common::prompts::{DRAFT, PREFILL_RATE, STEADY, complete, fixture_with_engines, request};
use common::{Fixture, new_keys, server};
use policy::{Action, Ending, Fetch, Policy, Request, Server};

const ENGINES: usize = 10;
const SLOTS: u32 = 8;
/// Engines that are still of the old version.
const OLD_ENGINES: usize = 2;

/// Engines of two versions, most of them of the new one.
struct Site {
    fixture: Fixture,
    old: ids::Version,
    new: ids::Version,
}

impl Site {
    fn new(slots: u32, old_engines: usize) -> Self {
        let versions = new_keys(2);
        let mut site = Site {
            fixture: fixture_with_engines(ENGINES, slots),
            old: versions[0],
            new: versions[1],
        };
        for index in 0..ENGINES {
            let version = versions[usize::from(index >= old_engines)];
            site.set_engine(index, slots, |terms| terms.version = version);
        }
        site
    }

    fn set_engine(&mut self, index: usize, slots: u32, change: impl Fn(&mut Server)) {
        let fetch = Fetch { tokens_per_second: 1e7, setup: Duration::from_millis(1) };
        let mut terms = Server {
            prefill_rate: Some(PREFILL_RATE),
            fetch: Some(fetch),
            ..server(index as u64 + 1, slots, self.fixture.model)
        };
        change(&mut terms);
        self.fixture.scheduler.set_server(self.fixture.servers[index], terms);
    }

    /// Submits a request; returns its key and its engine, if it is sent at once.
    fn submit(&mut self, request: Request) -> (ids::Job, Option<usize>) {
        let job = self.fixture.scheduler.submit(request, self.fixture.now);
        (job, self.poll(job))
    }

    fn poll(&mut self, job: ids::Job) -> Option<usize> {
        let mut actions = vec![];
        self.fixture.scheduler.poll(self.fixture.now, &mut actions);
        actions.into_iter().find_map(|action| match action {
            Action::Send { job: sent, server } if sent == job => {
                self.fixture.servers.iter().position(|key| *key == server)
            }
            _ => None,
        })
    }

    fn stream(&self, session: u64, version: Option<ids::Version>) -> Request {
        Request { version, idempotent: true, ..request(&self.fixture, STEADY, session) }
    }
}

/// Most engines are new, nearly all streams began at the few old ones, and new streams come as fast as they are
/// taken. Guards against old engines that are full of new streams, so that those which only they can continue wait.
#[test]
fn the_last_engines_of_a_version_have_room_for_its_streams() {
    let mut site = Site::new(SLOTS, OLD_ENGINES);
    let mut sent = 0;
    for session in 0..2 * ENGINES as u64 * u64::from(SLOTS) {
        sent += u32::from(site.submit(site.stream(session, None)).1.is_some());
    }
    assert!(sent >= (ENGINES - OLD_ENGINES) as u32 * SLOTS, "{sent} new streams are sent");
    for session in 0..4 {
        let (_, engine) = site.submit(site.stream(1_000 + session, Some(site.old)));
        assert!(engine.is_some_and(|engine| engine < OLD_ENGINES), "{engine:?}");
    }
}

/// Half of the engines are of each version. Guards against slots that are kept free at versions with many engines.
#[test]
fn versions_with_many_engines_are_used_in_full() {
    let mut site = Site::new(SLOTS, ENGINES / 2);
    let all = ENGINES as u64 * u64::from(SLOTS);
    let sent = (0..all).filter(|session| site.submit(site.stream(*session, None)).1.is_some());
    assert_eq!(sent.count() as u64, all);
}

/// A stream's engine ends. Guards against continuing it at another version, and against asking for an engine where
/// none of its version is left.
#[test]
fn a_stream_that_has_begun_is_sent_to_its_version_only() {
    for left in [0, 3] {
        let mut site = Site::new(32, 4);
        let mut tried = 0;
        for session in 0..40 {
            let (job, engine) = site.submit(site.stream(session, None));
            let Some(engine) = engine.filter(|engine| *engine < 4) else { continue };
            for index in (0..4).filter(|index| *index >= left) {
                let old = site.old;
                site.set_engine(index, 32, |terms| {
                    (terms.version, terms.leaving) = (old, true);
                });
            }
            site.fixture.scheduler.record_tokens(job, 5, site.fixture.now);
            site.fixture.scheduler.restrict_to_version(job, site.old, site.fixture.now);
            assert!(site.fixture.scheduler.attempt_ended(job, Ending::Broken, site.fixture.now));
            site.fixture.now += Duration::from_millis(100);
            let next = site.poll(job);
            assert!(next.is_none_or(|next| next < left && next != engine), "{next:?}");
            assert_eq!(next.is_some(), left > 0);
            tried += 1;
            break;
        }
        assert_eq!(tried, 1);
    }
}

/// Engines cache a long prefix. Guards against reading what another version has written, and against reading all of it
/// again where an engine of the same version has it.
#[test]
fn prefixes_are_fetched_from_the_same_version_only() {
    for caching in [1, 2] {
        let mut site = Site::new(32, ENGINES / 2);
        let versions = [site.old, site.new];
        let draft = |site: &Site, version| Request { version, ..request(&site.fixture, DRAFT, 1) };
        let mut sources = vec![];
        for version in &versions[..caching] {
            let (job, engine) = site.submit(draft(&site, Some(*version)));
            sources.push(site.fixture.servers[engine.expect("a free engine")]);
            site.fixture.scheduler.record_tokens(job, 5, site.fixture.now);
            complete(&mut site.fixture, job, Duration::from_millis(10));
        }
        for (index, version) in versions.into_iter().enumerate() {
            let mut fetched = 0;
            for _ in 0..16 {
                let (job, _) = site.submit(draft(&site, Some(version)));
                let expected = site.fixture.scheduler.estimates(job);
                if let Some(source) = expected.and_then(|expected| expected.fetch) {
                    assert_eq!(Some(&source), sources.get(index));
                    fetched += 1;
                }
            }
            assert_eq!(fetched > 0, index < caching, "{fetched} of version {index}");
        }
    }
}
