//! Measures the cost of a decision: an answer ends, a request arrives, and the next one in the queue is sent,
//! with all slots occupied and a full queue. Engines are measured with few requests beside thousands of
//! idle ones, and so is a tick there.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;

use common::Fixture;
use common::prompts::{self, DRAFT};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::{Action, Ending, Policy};

const SLOTS: u32 = 8;
/// Time to the deadline of a request, so long that no timer expires during a run.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(36_000);
/// Time between two decisions: 10,000 a second, over a hundred times a node's share of the peak load.
const DECISION_INTERVAL: Duration = Duration::from_micros(100);

struct Load {
    fixture: Fixture,
    sent: VecDeque<ids::Job>,
    actions: Vec<Action>,
    count: usize,
}

impl Load {
    fn new(servers: usize, queued: usize, workspaces: usize) -> Self {
        let fixture = Fixture::new(workspaces, servers, SLOTS, usize::MAX);
        let mut load = Load { fixture, sent: VecDeque::new(), actions: vec![], count: 0 };
        for _ in 0..queued + servers * SLOTS as usize {
            load.submit();
            load.poll();
        }
        assert_eq!(load.fixture.scheduler.waiting(), queued);
        load
    }

    fn submit(&mut self) {
        self.count += 1;
        let workspace = self.count.wrapping_mul(7_919) % self.fixture.workspaces.len();
        let request = self.fixture.request(self.count % 3, workspace, REQUEST_TIMEOUT);
        self.fixture.scheduler.submit(request, self.fixture.now);
    }

    fn poll(&mut self) {
        self.fixture.scheduler.poll(self.fixture.now, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Send { job, .. } => {
                    self.fixture.scheduler.record_tokens(job, 1, self.fixture.now);
                    self.sent.push_back(job);
                }
                Action::Stop { job } => {
                    self.fixture.scheduler.attempt_ended(job, Ending::Stopped, self.fixture.now);
                    self.sent.retain(|sent| *sent != job);
                }
                Action::Refuse { .. } => {}
            }
        }
    }

    /// Ends the oldest answer, submits a request, and lets the scheduler send the next one.
    fn decide(&mut self) {
        self.fixture.now += DECISION_INTERVAL;
        let job = self.sent.pop_front().expect("all slots are occupied");
        self.fixture.scheduler.attempt_ended(job, Ending::Completed, self.fixture.now);
        self.submit();
        self.poll();
        black_box(&self.sent);
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    group.sample_size(20).measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    let table = [
        (15, 100, 10),
        (15, 10_000, 10),
        (100, 100, 10),
        (100, 1_000, 10),
        (100, 10_000, 10),
        (100, 10_000, 6_200),
        (100, 100_000, 6_200),
        (1_000, 10_000, 6_200),
    ];
    for (servers, queued, workspaces) in table {
        let name = format!("{servers} servers, {queued} queued, {workspaces} workspaces");
        let mut load = Load::new(servers, queued, workspaces);
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(|| load.decide()));
    }
    group.finish();
}

/// Sessions whose requests take turns.
const SESSIONS: u64 = 4_000;
const ENGINE_SLOTS: u32 = 16;
/// Interval between two ticks, in which the scheduler does its periodic work.
const TICK: Duration = Duration::from_millis(50);

fn engine_decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("engines");
    group.sample_size(20).measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for engines in [200, 6_000] {
        let mut fixture = prompts::fixture_with_engines(engines, ENGINE_SLOTS);
        let mut session = 0;
        let mut decide = |fixture: &mut Fixture| {
            session = (session + 1) % SESSIONS;
            fixture.now += DECISION_INTERVAL;
            let (job, _) = prompts::send(fixture, DRAFT, session);
            prompts::complete(fixture, job, DECISION_INTERVAL);
        };
        (0..SESSIONS).for_each(|_| decide(&mut fixture));
        let name = format!("decision, {engines} engines");
        group.bench_function(name, |b| b.iter(|| decide(&mut fixture)));
        prompts::send(&mut fixture, DRAFT, 0);
        let (name, mut actions) = (format!("tick, {engines} engines"), vec![]);
        group.bench_function(name, |b| {
            b.iter(|| {
                fixture.now += TICK;
                fixture.scheduler.poll(fixture.now, &mut actions);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, engine_decisions);
criterion_main!(benches);
