//! Requests that may be served in some regions only.

mod common;

use std::time::Duration;

use common::prompts::{DRAFT, PREFILL_RATE, STEADY, enable_fetch, fixture_with_engines, request};
use common::{Fixture, new_keys, server};
use policy::{Action, Ending, Policy, Refusal, Request, Server};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENGINES: usize = 6;
const REGIONS: usize = 3;

/// A node with engines in three regions, two in each.
struct Site {
    fixture: Fixture,
    regions: Vec<ids::Region>,
    domains: Vec<ids::Domain>,
}

impl Site {
    fn new(slots: u32) -> Self {
        let fixture = fixture_with_engines(ENGINES, slots);
        let (regions, domains) = (new_keys(REGIONS), new_keys(ENGINES / REGIONS));
        let mut site = Site { fixture, regions, domains };
        for index in 0..ENGINES {
            site.set_engine(index, slots, false);
        }
        enable_fetch(&mut site.fixture);
        site
    }

    fn set_engine(&mut self, index: usize, slots: u32, leaving: bool) {
        let terms = Server {
            leaving,
            prefill_rate: Some(PREFILL_RATE),
            backups: true,
            region: self.regions[index % REGIONS],
            domain: self.domains[index / REGIONS],
            ..server(index as u64 + 1, slots, self.fixture.model)
        };
        self.fixture.scheduler.set_server(self.fixture.servers[index], terms);
    }

    /// A draft of a session, from a caller in the first region, bound to the regions of these numbers.
    fn draft(&self, session: u64, bound: Option<&[usize]>) -> Request {
        self.bind(request(&self.fixture, DRAFT, session), bound)
    }

    /// The same for a stream that may run once, of whose run a copy is kept.
    fn stream(&self, session: u64, bound: Option<&[usize]>) -> Request {
        let stream = request(&self.fixture, STEADY, session);
        self.bind(Request { idempotent: false, ..stream }, bound)
    }

    fn bind(&self, request: Request, bound: Option<&[usize]>) -> Request {
        let regions = bound.map(|bound| bound.iter().map(|index| self.regions[*index]).collect());
        Request { region: self.regions[0], regions, ..request }
    }

    fn region_of(&self, server: ids::Server) -> usize {
        self.fixture.servers.iter().position(|key| *key == server).expect("a server") % REGIONS
    }

    fn submit_and_poll(&mut self, request: Request) -> Vec<Action> {
        self.fixture.scheduler.submit(request, self.fixture.now);
        self.poll()
    }

    fn poll(&mut self) -> Vec<Action> {
        let mut actions = vec![];
        self.fixture.scheduler.poll(self.fixture.now, &mut actions);
        actions
    }
}

/// Guards against sending a request to another region because the one that it is bound to is full.
#[test]
fn a_bound_request_waits_for_its_own_region() {
    let mut site = Site::new(1);
    for session in 0..2 {
        let sent = site.submit_and_poll(site.draft(session, Some(&[1])));
        assert!(matches!(sent[..], [Action::Send { server, .. }] if site.region_of(server) == 1));
    }
    assert_eq!(site.submit_and_poll(site.draft(2, Some(&[1]))), [], "its region is full");
    let other = site.submit_and_poll(site.draft(3, None));
    assert!(matches!(other[..], [Action::Send { .. }]), "others have free slots");
}

/// Guards against holding back a request that no server may take, or sending it to one that may not.
#[test]
fn a_request_without_a_region_is_refused_at_once() {
    let mut site = Site::new(8);
    let refused = site.submit_and_poll(site.draft(0, Some(&[])));
    assert!(
        matches!(refused[..], [Action::Refuse { refusal: Refusal::NoServer, retry_after, .. }] if !retry_after.is_zero())
    );
    for key in [site.fixture.servers[1], site.fixture.servers[4]] {
        site.fixture.scheduler.remove_server(key);
    }
    let refused = site.submit_and_poll(site.draft(1, Some(&[1])));
    assert!(matches!(refused[..], [Action::Refuse { refusal: Refusal::NoServer, .. }]));
}

/// Guards against reading the prefix of a bound request from the cache of an engine in another region.
#[test]
fn a_prefix_is_copied_from_allowed_regions_only() {
    let mut site = Site::new(8);
    let (session, deadline) = (5, Duration::from_millis(50));
    let sent = site.submit_and_poll(site.draft(session, Some(&[1])));
    let [Action::Send { job, .. }] = sent[..] else { panic!("it is sent") };
    site.fixture.now += deadline;
    site.fixture.scheduler.record_tokens(job, 4, site.fixture.now);
    let copy = |site: &mut Site, bound: &[usize]| {
        let sent = site.submit_and_poll(site.draft(session, Some(bound)));
        let [Action::Send { job, .. }] = sent[..] else { panic!("it is sent") };
        site.fixture.scheduler.estimates(job).and_then(|estimates| estimates.fetch)
    };
    assert_eq!(copy(&mut site, &[2]), None);
    let source = copy(&mut site, &[0, 1]);
    assert!(source.is_none_or(|source| site.region_of(source) == 1));
}

/// An event at a node.
#[derive(Clone, Debug)]
enum Event {
    /// A draft of a session arrives, bound to the regions of this mask, or not bound if it is 0.
    Arrive {
        session: u64,
        mask: usize,
    },
    /// A stream that may run once arrives, bound likewise.
    Stream {
        session: u64,
        mask: usize,
    },
    /// The engine of a stream ends.
    Continue {
        index: usize,
    },
    /// An attempt ends.
    End {
        index: usize,
        ending: Ending,
    },
    /// A server starts or stops to leave.
    Leave {
        index: usize,
        leaving: bool,
    },
    Wait,
}

fn event() -> impl Strategy<Value = Event> {
    let endings = [Ending::Completed, Ending::Unreached, Ending::NotRun, Ending::Broken];
    prop_oneof![
        5 => (0..6_u64, 0..8_usize).prop_map(|(session, mask)| Event::Arrive { session, mask }),
        3 => (0..6_u64, 0..8_usize).prop_map(|(session, mask)| Event::Stream { session, mask }),
        1 => (0..64_usize).prop_map(|index| Event::Continue { index }),
        4 => (0..64_usize, proptest::sample::select(endings.to_vec()))
            .prop_map(|(index, ending)| Event::End { index, ending }),
        1 => (0..ENGINES, any::<bool>())
            .prop_map(|(index, leaving)| Event::Leave { index, leaving }),
        3 => Just(Event::Wait),
    ]
}

/// The regions that a mask stands for; none if it is 0.
fn regions_in(mask: usize) -> Option<Vec<usize>> {
    (mask != 0).then(|| (0..REGIONS).filter(|region| mask & (1 << region) != 0).collect())
}

fn check_residency(events: Vec<Event>) -> Result<(), TestCaseError> {
    let mut site = Site::new(2);
    let mut bounds = std::collections::HashMap::new();
    let mut sent = vec![];
    for event in events {
        match event {
            Event::Arrive { session, mask } => {
                let bound = regions_in(mask);
                let request = Request { idempotent: true, ..site.draft(session, bound.as_deref()) };
                let job = site.fixture.scheduler.submit(request, site.fixture.now);
                bounds.insert(job, bound);
            }
            Event::Stream { session, mask } => {
                let bound = regions_in(mask);
                let request = site.stream(session, bound.as_deref());
                let job = site.fixture.scheduler.submit(request, site.fixture.now);
                bounds.insert(job, bound);
            }
            Event::Continue { index } if !sent.is_empty() => {
                let job = sent[index % sent.len()];
                let server = site.fixture.scheduler.continue_at_backup(job, site.fixture.now);
                let region = server.map(|server| site.region_of(server));
                let may = |region| bounds[&job].as_ref().is_none_or(|all| all.contains(&region));
                prop_assert!(region.is_none_or(may), "{region:?}");
            }
            Event::Continue { .. } => {}
            Event::End { index, ending } => {
                if !sent.is_empty() {
                    let job = sent.swap_remove(index % sent.len());
                    site.fixture.scheduler.record_tokens(job, 4, site.fixture.now);
                    site.fixture.scheduler.attempt_ended(job, ending, site.fixture.now);
                }
            }
            Event::Leave { index, leaving } => {
                site.set_engine(index, 2, leaving);
            }
            Event::Wait => site.fixture.now += Duration::from_millis(70),
        }
        for action in site.poll() {
            let Action::Send { job, server } = action else { continue };
            sent.push(job);
            let Some(bound) = &bounds[&job] else { continue };
            prop_assert!(bound.contains(&site.region_of(server)), "{action:?}, {bound:?}");
            let source = site.fixture.scheduler.estimates(job).and_then(|all| all.fetch);
            let source = source.map(|source| site.region_of(source));
            prop_assert!(source.is_none_or(|source| bound.contains(&source)), "{source:?}");
            let backup = site.fixture.scheduler.estimates(job).and_then(|all| all.backup);
            let backup = backup.map(|backup| site.region_of(backup));
            prop_assert!(backup.is_none_or(|backup| bound.contains(&backup)), "{backup:?}");
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against any path, of first attempts, retries or copied prefixes, on which a bound request leaves its
    /// regions, whatever fails and leaves meanwhile.
    #[test]
    fn bound_requests_stay_in_their_regions(events in proptest::collection::vec(event(), 1..120)) {
        check_residency(events)?;
    }
}
