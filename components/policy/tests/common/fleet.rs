//! Simulates several nodes and their engines. An engine prefills one prompt after the other, has a number of
//! slots, and gives each slot that becomes free to the waiting request of the highest priority. Time goes in
//! steps; the nodes' reports to each other are up to one report interval old.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::{Action, Backlog, Ending, Mechanism, Policy, Request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Fixture;
use super::prompts::{DRAFT, PREFILL_RATE, fixture_with_engines, request};

/// Length of a step, and the steps between two tokens of a running stream.
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TOKEN: u64 = 2;
/// Steps between two reports.
const REPORT_STEPS: u64 = 30;
/// Time after which a caller leaves whose answer hasn't begun.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Target for the time to the first token of streams.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(400);
/// Tokens of an answer, by class.
const STREAM_TOKENS: u32 = 150;
const DRAFT_TOKENS: u32 = 40;

/// Numbers of nodes, of engines, and of slots of each engine.
#[derive(Clone, Copy)]
pub struct Site {
    pub nodes: usize,
    pub engines: usize,
    pub slots: u32,
}

/// Requests a second over the whole site, from a second of the simulation on.
#[derive(Clone, Copy)]
pub struct Load {
    pub from: u64,
    pub streams: f64,
    pub drafts: f64,
}

/// Outcomes of the requests of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub sent: u32,
    /// Requests whose answer began.
    pub started: u32,
    /// Those of them whose answer began later than [`FIRST_TOKEN_TARGET`].
    pub late: u32,
    /// Requests whose callers left before the answer began.
    pub abandoned: u32,
    /// Longest time to the first token.
    pub longest_first_token: Duration,
}

/// A request at an engine.
struct Run {
    node: usize,
    job: ids::Job,
    class: usize,
    /// Step at which it was sent.
    arrived: u64,
    /// Steps of prefill that are left.
    prefill: f64,
    /// Tokens of the answer that are left.
    tokens: u32,
}

#[derive(Default)]
struct Engine {
    waiting: Vec<Run>,
    running: Vec<Run>,
}

pub struct Fleet {
    site: Site,
    nodes: Vec<Fixture>,
    engines: BTreeMap<ids::Server, Engine>,
    /// By class.
    pub counts: [Count; 3],
    rng: SmallRng,
    step: u64,
}

impl Fleet {
    pub fn new(site: Site, seed: u64, disabled: Option<Mechanism>) -> Self {
        let mut nodes: Vec<_> =
            (0..site.nodes).map(|_| fixture_with_engines(site.engines, site.slots)).collect();
        for node in &mut nodes {
            let scheduler = std::mem::take(&mut node.scheduler);
            node.scheduler =
                disabled.into_iter().fold(scheduler, |all, one| all.with_disabled(one));
        }
        let now = nodes[0].now;
        nodes.iter_mut().for_each(|node| node.now = now);
        let engines = nodes[0].servers.iter().map(|key| (*key, Engine::default())).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { site, nodes, engines, counts: Default::default(), rng, step: 0 }
    }

    /// Simulates so many seconds; `loads` are in the order of their start, the first of which must be 0.
    pub fn run(&mut self, seconds: u64, loads: &[Load]) {
        let steps_per_second = Duration::from_secs(1).as_millis() / STEP.as_millis();
        for _ in 0..u128::from(seconds) * steps_per_second {
            let second = self.step / steps_per_second as u64;
            let load =
                loads.iter().rfind(|load| load.from <= second).expect("a load that starts at 0");
            for (class, rate) in [(0, load.streams), (DRAFT, load.drafts)] {
                self.arrive(class, rate / steps_per_second as f64);
            }
            self.run_engines();
            if self.step.is_multiple_of(REPORT_STEPS) {
                self.exchange_reports();
            }
            self.step += 1;
            self.nodes.iter_mut().for_each(|node| node.now += STEP);
        }
    }

    fn arrive(&mut self, class: usize, mut expected: f64) {
        while self.rng.random_bool(expected.clamp(0.0, 1.0)) {
            expected -= 1.0;
            let index = self.rng.random_range(0..self.site.nodes);
            let session = self.rng.random_range(0..200);
            self.send(index, class, session);
        }
    }

    fn send(&mut self, index: usize, class: usize, session: u64) {
        let node = &mut self.nodes[index];
        let request: Request = request(node, class, session);
        let tokens = f64::from(request.prompt_tokens);
        node.scheduler.submit(request, node.now);
        let mut actions = vec![];
        node.scheduler.poll(node.now, &mut actions);
        for action in actions {
            let Action::Send { job, server } = action else { continue };
            let prefill = tokens / f64::from(PREFILL_RATE) / STEP.as_secs_f64();
            let tokens = if class == DRAFT { DRAFT_TOKENS } else { STREAM_TOKENS };
            let run = Run { node: index, job, class, arrived: self.step, prefill, tokens };
            self.engines.get_mut(&server).unwrap().waiting.push(run);
            self.counts[class].sent += 1;
        }
    }

    /// Runs one step of all engines.
    fn run_engines(&mut self) {
        let (slots, step) = (self.site.slots as usize, self.step);
        for engine in self.engines.values_mut() {
            let timed_out = |run: &Run| STEP * (step - run.arrived) as u32 > CALLER_TIMEOUT;
            for run in engine.waiting.extract_if(.., |run| timed_out(run)) {
                self.counts[run.class].abandoned += 1;
                let node = &mut self.nodes[run.node];
                node.scheduler.attempt_ended(run.job, Ending::Cancelled, node.now);
            }
            engine.waiting.sort_by_key(|run| (run.class, run.arrived));
            let free = slots.saturating_sub(engine.running.len()).min(engine.waiting.len());
            engine.running.extend(engine.waiting.drain(..free));
            let mut time_left = 1.0;
            for run in &mut engine.running {
                let spent = run.prefill.min(time_left);
                (run.prefill, time_left) = (run.prefill - spent, time_left - spent);
            }
            let prefilling = time_left < 1.0;
            for run in engine.running.iter_mut().filter(|run| run.prefill <= 0.0) {
                let first =
                    run.tokens == if run.class == DRAFT { DRAFT_TOKENS } else { STREAM_TOKENS };
                // An engine produces no tokens for running streams while it prefills a prompt.
                if !first && (prefilling || !step.is_multiple_of(STEPS_PER_TOKEN)) {
                    continue;
                }
                let node = &mut self.nodes[run.node];
                if first {
                    let count = &mut self.counts[run.class];
                    count.started += 1;
                    let took = STEP * (step - run.arrived) as u32;
                    count.late += u32::from(took > FIRST_TOKEN_TARGET);
                    count.longest_first_token = count.longest_first_token.max(took);
                }
                run.tokens -= 1;
                node.scheduler.record_tokens(run.job, 1, node.now);
            }
            for run in engine.running.extract_if(.., |run| run.tokens == 0) {
                let node = &mut self.nodes[run.node];
                node.scheduler.attempt_ended(run.job, Ending::Completed, node.now);
            }
        }
    }

    /// Gives each node the reports of all others.
    fn exchange_reports(&mut self) {
        let reports: Vec<(Vec<Backlog>, Vec<f64>)> = self
            .nodes
            .iter()
            .map(|node| (node.scheduler.backlogs(node.now), node.scheduler.send_rates(node.now)))
            .collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(other, _)| *other != index);
            let mut sums: BTreeMap<ids::Server, Backlog> = BTreeMap::new();
            let mut sends = vec![];
            for (_, (loads, rates)) in others {
                for load in loads {
                    let sum = sums.entry(load.server).or_insert_with(|| empty_backlog(load.server));
                    merge(&mut sum.prefill, &load.prefill, |a, b| a + b);
                    merge(&mut sum.overdue, &load.overdue, f64::max);
                    merge(&mut sum.occupied, &load.occupied, |a, b| a + b);
                    sum.since_first_token =
                        sum.since_first_token.into_iter().chain(load.since_first_token).min();
                }
                merge(&mut sends, rates, |a, b| a + b);
            }
            let sums: Vec<_> = sums.into_values().collect();
            node.scheduler.set_backlogs(&sums, node.now);
            node.scheduler.set_peer_send_rates(&sends, node.now);
        }
    }
}

/// A backlog without any requests.
pub fn empty_backlog(server: ids::Server) -> Backlog {
    Backlog { server, ..Backlog::default() }
}

/// Combines the amounts of `more` into those of `into`, priority by priority.
fn merge(into: &mut Vec<f64>, more: &[f64], combine: impl Fn(f64, f64) -> f64) {
    into.resize(into.len().max(more.len()), 0.0);
    into.iter_mut().zip(more).for_each(|(into, more)| *into = combine(*into, *more));
}
