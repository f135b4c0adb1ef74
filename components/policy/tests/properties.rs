//! Tests invariants of the scheduler over random sequences of requests, endings, reports and shares.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Fixture, LONGEST_WAIT, QUEUE_CAPACITY};
use policy::{Action, Ending, Mechanism, Policy, Refusal, Report, Share, Workspace};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Duration = Duration::from_secs(1);
/// Time from a request's arrival to its deadline.
const LIFETIME: Duration = Duration::from_secs(20);

/// Slots of all servers.
const SLOTS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    Submit { class: usize, workspace: usize },
    Wait(u64),
    Tokens(usize, u32),
    End(usize, Ending),
    Withdraw(usize),
    Report { server: usize, running: u32, age: u64, leaving: bool },
    Share { server: usize, places: u32, waiting: Option<u8> },
    Remove(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let ending = prop_oneof![
        4 => Just(Ending::Completed),
        1 => Just(Ending::NotRun),
        1 => Just(Ending::Failed),
        1 => Just(Ending::Cancelled),
    ];
    let share = (0..3_usize, 0..5_u32, proptest::option::of(0..3_u8));
    let report = (0..3_usize, 0..9_u32, 0..5_000_u64, proptest::bool::weighted(0.05));
    prop_oneof![
        10 => (0..3_usize, 0..4_usize)
            .prop_map(|(class, workspace)| Step::Submit { class, workspace }),
        5 => (0..800_u64).prop_map(Step::Wait),
        4 => (any::<usize>(), 1..50_u32).prop_map(|(at, count)| Step::Tokens(at, count)),
        6 => (any::<usize>(), ending).prop_map(|(at, ending)| Step::End(at, ending)),
        1 => any::<usize>().prop_map(Step::Withdraw),
        1 => report.prop_map(|(server, running, age, leaving)| {
            Step::Report { server, running, age, leaving }
        }),
        1 => share.prop_map(|(server, places, waiting)| Step::Share { server, places, waiting }),
        1 => (1..3_usize).prop_map(Step::Remove),
    ]
}

/// State of a request as its driver knows it.
#[derive(Clone, Copy, PartialEq)]
enum State {
    Waiting,
    Sent,
}

struct Run {
    fixture: Fixture,
    open: BTreeMap<ids::Job, (usize, State)>,
    submitted: usize,
    ended: usize,
    fresh: usize,
    attempts: usize,
    stops: usize,
}

impl Run {
    fn new() -> Self {
        let fixture = Fixture::new(4, 3, 2, QUEUE_CAPACITY);
        let open = BTreeMap::new();
        Run { fixture, open, submitted: 0, ended: 0, fresh: 0, attempts: 0, stops: 0 }
    }

    fn nth_job(&self, at: usize, state: State) -> Option<ids::Job> {
        let all: Vec<_> = self.open.iter().filter(|(_, (_, found))| *found == state).collect();
        (!all.is_empty()).then(|| *all[at % all.len()].0)
    }

    fn remove_ended(&mut self, job: ids::Job) -> usize {
        let (class, _) = self.open.remove(&job).expect("a request must end only once");
        self.ended += 1;
        class
    }

    fn end(&mut self, job: ids::Job, ending: Ending) {
        let now = self.fixture.now;
        let class = self.open[&job].0;
        if self.fixture.scheduler.attempt_ended(job, ending, now) {
            let repeatable = ending != Ending::Failed || class != 1;
            assert!(
                repeatable,
                "a request that may have run and isn't idempotent was queued again"
            );
            self.open.insert(job, (class, State::Waiting));
        } else {
            self.remove_ended(job);
        }
    }

    fn poll(&mut self) {
        let mut actions = vec![];
        self.fixture.scheduler.poll(self.fixture.now, &mut actions);
        for action in actions {
            match action {
                Action::Send { job, .. } => {
                    let entry = self.open.get_mut(&job).expect("only pending requests may be sent");
                    assert!(entry.1 == State::Waiting, "a request was sent twice at once");
                    entry.1 = State::Sent;
                    self.attempts += 1;
                }
                Action::Refuse { job, refusal, retry_after } => {
                    assert!(self.open[&job].1 == State::Waiting, "a sent request was refused");
                    assert!(retry_after > Duration::ZERO);
                    let class = self.remove_ended(job);
                    let lower = self
                        .open
                        .values()
                        .any(|(other, state)| *other > class && *state == State::Waiting);
                    let room = matches!(refusal, Refusal::Full | Refusal::Displaced);
                    assert!(!(room && lower), "refused for lack of room while a lower tier waits");
                }
                Action::Stop { job } => {
                    let class = self.open[&job].0;
                    assert!(class > 0, "a request of the top tier was preempted");
                    self.stops += 1;
                    self.end(job, Ending::Stopped);
                }
            }
        }
        // Requests in flight may return to a queue that has filled in the meantime.
        assert!(self.fixture.scheduler.waiting() <= QUEUE_CAPACITY + SLOTS);
    }

    fn step(&mut self, step: &Step) {
        let now = self.fixture.now;
        match *step {
            Step::Submit { class, workspace } => {
                let request = self.fixture.request(class, workspace, LIFETIME);
                let job = self.fixture.scheduler.submit(request, now);
                self.open.insert(job, (class, State::Waiting));
                self.submitted += 1;
                self.fresh += 1;
            }
            Step::Wait(ms) => self.fixture.now += Duration::from_millis(ms),
            Step::Tokens(at, count) => {
                if let Some(job) = self.nth_job(at, State::Sent) {
                    self.fixture.scheduler.record_tokens(job, count, now);
                }
            }
            Step::End(at, ending) => {
                if let Some(job) = self.nth_job(at, State::Sent) {
                    self.end(job, ending);
                }
            }
            Step::Withdraw(at) => {
                if let Some(job) = self.nth_job(at, State::Waiting) {
                    self.fixture.scheduler.withdraw(job, now);
                    self.remove_ended(job);
                }
            }
            Step::Report { server, running, age, leaving } => {
                let at = now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
                let token_interval = Duration::from_millis(30);
                let report = Report { at, running, queued: 0, slots: 2, token_interval, leaving };
                self.fixture.scheduler.record_report(self.fixture.servers[server], report, now);
            }
            Step::Share { server, places, waiting } => {
                let share = Share { slots: places, sent: 0, waiting };
                self.fixture.scheduler.set_share(self.fixture.servers[server], share, now);
            }
            Step::Remove(server) => {
                self.fixture.scheduler.remove_server(self.fixture.servers[server]);
                let terms = common::server(server as u64 + 1, 2, self.fixture.model);
                self.fixture.scheduler.set_server(self.fixture.servers[server], terms);
            }
        }
        self.poll();
    }
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(4);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Callers arrive, disconnect and get answers, servers fail, leave and return, with arbitrary reports
    /// and shares. Guards against requests that are lost, whose callers wait forever, or that end twice.
    #[test]
    fn can_end_each_request_once(steps in proptest::collection::vec(step(), 1..200)) {
        let mut run = Run::new();
        for step in &steps {
            run.step(step);
        }
        while let Some(job) = run.nth_job(0, State::Sent) {
            run.end(job, Ending::Cancelled);
            run.poll();
        }
        // By now the deadline of every waiting request has passed, so all are refused.
        run.fixture.now += LIFETIME + SECOND;
        run.poll();
        while let Some(job) = run.nth_job(0, State::Sent) {
            run.end(job, Ending::Cancelled);
            run.poll();
        }
        prop_assert!(run.open.is_empty());
        prop_assert_eq!(run.submitted, run.ended);
        prop_assert_eq!(run.fixture.scheduler.waiting(), 0);
        let sent = run.fixture.servers.iter().map(|key| run.fixture.scheduler.in_flight_at(*key));
        prop_assert_eq!(sent.sum::<u32>(), 0);
        // The retry budget bounds further attempts: 16 at once, and a tenth of the first attempts.
        let most = run.fresh + run.stops + 16 + run.fresh / 10 + 1;
        prop_assert!(run.attempts <= most, "{} attempts", run.attempts);
    }
}

/// Top-tier calls arrive without a pause, beyond the capacity of the only server, while a single draft
/// waits. Guards against starvation: without the longest wait, the draft would always be refused as late.
#[test]
fn can_serve_every_class_within_its_longest_wait() {
    // A slot comes free within one further second.
    let bound = LONGEST_WAIT + SECOND;
    let served = draft_wait_under_flood(Fixture::new(2, 1, 1, 100));
    assert!(served.is_some_and(|after| after <= bound), "{served:?}");
    let mut fixture = Fixture::new(2, 1, 1, 100);
    fixture.scheduler = fixture.scheduler.with_disabled(Mechanism::LongestWait);
    assert_eq!(draft_wait_under_flood(fixture), None, "the test must fail without the mechanism");
}

/// Time after which a draft among top-tier calls is sent; none if it isn't within 20 s.
fn draft_wait_under_flood(mut fixture: Fixture) -> Option<Duration> {
    let start = fixture.now;
    let draft = fixture.request(2, 1, 60 * SECOND);
    let draft = fixture.scheduler.submit(draft, fixture.now);
    let mut running = None;
    for tenth in 0..200 {
        fixture.now = start + Duration::from_millis(100) * tenth;
        let now = fixture.now;
        let request = fixture.request(0, 0, LIFETIME);
        fixture.scheduler.submit(request, now);
        if tenth % 10 == 0
            && let Some(job) = running.take()
        {
            fixture.scheduler.attempt_ended(job, Ending::Completed, now);
        }
        let mut actions = vec![];
        fixture.scheduler.poll(now, &mut actions);
        for action in actions {
            let Action::Send { job, .. } = action else { continue };
            running = Some(job);
            if job == draft {
                return Some(now - start);
            }
        }
    }
    None
}

/// A workspace is limited to two requests in flight. Guards against its third being sent before one of
/// them ends, and against requests of other workspaces waiting as well.
#[test]
fn can_keep_a_workspace_to_its_requests_in_flight() {
    let mut fixture = Fixture::new(2, 1, 8, 100);
    let terms = Workspace { weight: 1, in_flight: 2, servers: vec![] };
    fixture.scheduler.set_workspace(fixture.workspaces[0], terms);
    for workspace in [0, 0, 0, 1] {
        let request = fixture.request(0, workspace, LIFETIME);
        fixture.scheduler.submit(request, fixture.now);
    }
    let mut actions = vec![];
    fixture.scheduler.poll(fixture.now, &mut actions);
    assert_eq!(actions.len(), 3);
    let Action::Send { job, .. } = actions[0] else { panic!("{actions:?}") };
    fixture.scheduler.attempt_ended(job, Ending::Completed, fixture.now);
    fixture.scheduler.poll(fixture.now, &mut actions);
    assert_eq!(actions.len(), 4);
}

/// All servers for a model are leaving, which is the same as if it had none. Guards against callers that
/// wait in vain instead of getting a refusal at once.
#[test]
fn errors_on_a_model_that_no_server_may_run() {
    let mut fixture = Fixture::new(1, 1, 8, 100);
    let mut terms = common::server(1, 8, fixture.model);
    terms.leaving = true;
    fixture.scheduler.set_server(fixture.servers[0], terms);
    let request = fixture.request(0, 0, LIFETIME);
    let refused = fixture.scheduler.submit(request, fixture.now);
    let mut actions = vec![];
    fixture.scheduler.poll(fixture.now, &mut actions);
    let no_server = |action: &Action| {
        matches!(
            action,
            Action::Refuse { job, refusal: Refusal::NoServer, .. } if *job == refused
        )
    };
    assert!(actions.iter().all(no_server) && actions.len() == 1, "{actions:?}");
}

/// All servers refuse connections. Guards against a node that tries every request three times, which
/// triples its connections and floods servers that recover.
#[test]
fn can_keep_retries_a_part_of_fresh_work() {
    let attempts = |mut fixture: Fixture| {
        let mut attempts = 0;
        for _ in 0..300 {
            let request = fixture.request(0, 0, LIFETIME);
            fixture.scheduler.submit(request, fixture.now);
            let mut actions = vec![];
            fixture.scheduler.poll(fixture.now, &mut actions);
            for action in actions {
                let Action::Send { job, .. } = action else { continue };
                attempts += 1;
                fixture.scheduler.attempt_ended(job, Ending::NotRun, fixture.now);
            }
            fixture.now += Duration::from_millis(20);
        }
        attempts
    };
    let fixture = || Fixture::new(1, 3, 100, 1_000);
    let bounded = attempts(fixture());
    assert!(bounded <= 300 + 16 + 30, "{bounded} attempts");
    let mut unbounded = fixture();
    unbounded.scheduler = unbounded.scheduler.with_disabled(Mechanism::RetryBudget);
    assert!(attempts(unbounded) > 346, "the test must fail without the mechanism");
}
