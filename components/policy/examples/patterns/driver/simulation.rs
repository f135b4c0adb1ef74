//! Runs the events of a simulation in the order of their times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use policy::{Action, Ending, Report, Request};

use super::PolicyKind;
use super::engine::{Attempt, Engine, prefill_cost};
use super::node::{Keys, Node, PeerReport};
use super::pattern::{
    CLASSES, CRASHING_SERVERS, Call, NODES, PAUSED_NODE, Pattern, SERVERS, region_of_node,
    region_of_server,
};

/// Seconds that a message takes within a region and between regions.
pub const LOCAL_DELAY: f64 = 0.001;
pub const REMOTE_DELAY: f64 = 0.030;
/// Seconds after which a connection attempt over a cut link fails.
pub const CONNECT_TIMEOUT: f64 = 1.0;
/// Bytes over the link for a token of a prompt and of an answer.
const PROMPT_BYTES: u64 = 4;
const EVENT_BYTES: u64 = 200;

/// An event. Numbers are the indices of calls, servers and nodes, unless said otherwise.
pub enum Event {
    /// A call arrives at its node.
    Call(usize),
    /// The caller of a call leaves.
    CallerLeaves(usize),
    /// An attempt arrives at a server.
    Deliver(usize, Attempt),
    /// A step of a server ends, in an epoch.
    Step(usize, u64),
    /// Tokens of a call arrive at its node: number of the attempt, number of tokens, and whether the answer is
    /// complete.
    Tokens(usize, u32, u32, bool),
    /// An attempt of a call, by its number, ends without a complete answer.
    AttemptFailed(usize, u32, Ending),
    /// A load report arrives: node, server, and when it was made.
    Report(usize, usize, f64, Report),
    /// Engines and nodes send their reports.
    Exchange,
    /// A peer's report arrives: node and peer.
    PeerReport(usize, usize, PeerReport),
    /// The policy of a node is polled.
    Poll(usize),
    /// Servers crash, or come back.
    CrashServers(bool),
    /// The link between the regions is cut, or restored.
    CutLink(bool),
    /// A node is paused.
    PauseNode,
}

/// The outcome of a call.
#[derive(Clone, Copy, PartialEq)]
pub enum Outcome {
    Open,
    /// The whole answer came in time.
    Completed,
    Refused,
    Failed,
}

/// The state of a call.
pub struct CallState {
    pub outcome: Outcome,
    /// When its outcome was set.
    pub ended: f64,
    /// When its first token came.
    pub first_token: Option<f64>,
    /// Tokens generated for it, and the cost of prefilling again after a stop or a failure.
    pub run: u64,
    /// Bytes sent for it over the link.
    pub bytes: u64,
    pub(super) job: Option<ids::Job>,
    /// Number of its attempts.
    pub(super) number: u32,
    pub(super) server: Option<usize>,
    /// Tokens that came, of all attempts.
    pub(super) produced: u32,
}

/// The time for which a class has had calls and none of them was sent.
#[derive(Default)]
pub(super) struct ServiceGap {
    since: Option<f64>,
    longest: f64,
}

/// A run of one pattern.
pub struct Simulation<'a> {
    pub pattern: &'a Pattern,
    pub calls: Vec<Call>,
    pub states: Vec<CallState>,
    pub(super) keys: Keys,
    pub(super) nodes: Vec<Node>,
    pub(super) engines: Vec<Engine>,
    /// Times in microseconds and numbers of the events to come.
    pub(super) queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// These events by number.
    pub(super) events: BTreeMap<u64, Event>,
    pub(super) jobs: [BTreeMap<ids::Job, usize>; NODES],
    pub(super) gaps: Vec<ServiceGap>,
    pub(super) now: f64,
    pub(super) cut: bool,
    /// Top-tier calls that were refused or stopped while lower-tier ones waited at the same node.
    pub inversions: u32,
    pub(super) start: Instant,
    /// Number of events so far.
    pub(super) number: u64,
}

impl<'a> Simulation<'a> {
    pub fn new(pattern: &'a Pattern, seed: u64, kind: PolicyKind) -> Self {
        let keys = Keys::new();
        let seeds = (0..NODES as u64).map(|node| seed * 100 + node);
        let nodes = seeds.map(|seed| Node::new(&keys, kind, seed)).collect();
        let engine = |index: usize| {
            let slowdown = if index < pattern.slow.0 { pattern.slow.1 } else { 1.0 };
            Engine::new(slowdown)
        };
        let calls = pattern.calls(seed);
        let state = |_: &Call| CallState {
            outcome: Outcome::Open,
            ended: 0.0,
            first_token: None,
            run: 0,
            bytes: 0,
            job: None,
            number: 0,
            server: None,
            produced: 0,
        };
        let mut simulation = Simulation {
            pattern,
            states: calls.iter().map(state).collect(),
            calls,
            keys,
            nodes,
            engines: (0..SERVERS).map(engine).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            jobs: Default::default(),
            gaps: CLASSES.iter().map(|_| ServiceGap::default()).collect(),
            now: 0.0,
            cut: false,
            inversions: 0,
            start: Instant::now(),
            number: 0,
        };
        for call in 0..simulation.calls.len() {
            let at = simulation.calls[call].at;
            simulation.schedule(at, Event::Call(call));
            simulation.schedule(
                at + CLASSES[simulation.calls[call].class].deadline,
                Event::CallerLeaves(call),
            );
        }
        simulation.schedule(0.0, Event::Exchange);
        let spans = [
            (pattern.crash, Event::CrashServers as fn(bool) -> Event),
            (pattern.cut, Event::CutLink as fn(bool) -> Event),
        ];
        for (span, event) in spans {
            let Some((from, to)) = span else { continue };
            simulation.schedule(from, event(true));
            simulation.schedule(to, event(false));
        }
        if let Some((from, _)) = pattern.pause {
            simulation.schedule(from, Event::PauseNode);
        }
        simulation
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(((at * 1e6) as u64, self.number)));
        self.events.insert(self.number, event);
    }

    /// The instant of a second of the run.
    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_micros((at * 1e6) as u64)
    }

    /// The current time.
    pub(super) fn now_instant(&self) -> Instant {
        self.instant(self.now)
    }

    /// Seconds that a message takes between a node and a server.
    pub(super) fn delay(&self, node: usize, server: usize) -> f64 {
        if region_of_node(node) == region_of_server(server) { LOCAL_DELAY } else { REMOTE_DELAY }
    }

    /// Whether messages between a node and a server arrive.
    pub(super) fn is_reachable(&self, node: usize, server: usize) -> bool {
        !self.cut || region_of_node(node) == region_of_server(server)
    }

    /// Longest time for which a class had calls and none of them was sent, in seconds.
    pub fn longest_gap(&self, class: usize) -> f64 {
        self.gaps[class].longest
    }

    /// Runs all events. The events of a paused node wait until its pause ends.
    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at as f64 / 1e6;
            let event = self.events.remove(&number).expect("an event in the queue");
            let node = self.node_of(&event);
            if let Some(node) = node
                && self.nodes[node].paused_until > self.now
            {
                let resumes = (self.nodes[node].paused_until * 1e6) as u64;
                self.queue.push(Reverse((resumes, number)));
                self.events.insert(number, event);
                continue;
            }
            self.handle(event);
            if let Some(node) = node {
                self.poll(node);
            }
        }
    }

    /// The node that handles an event; none for events of servers and of the simulation.
    fn node_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Call(call) | Event::CallerLeaves(call) => Some(self.calls[*call].node),
            Event::Tokens(call, ..) | Event::AttemptFailed(call, ..) => {
                Some(self.calls[*call].node)
            }
            Event::Report(node, ..) | Event::PeerReport(node, ..) | Event::Poll(node) => {
                Some(*node)
            }
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.call(call),
            Event::CallerLeaves(call) => self.caller_leaves(call),
            Event::Deliver(server, attempt) => self.deliver(server, attempt),
            Event::Step(server, epoch) => self.step(server, epoch),
            Event::Tokens(call, number, count, whole) => self.tokens(call, number, count, whole),
            Event::AttemptFailed(call, number, ending) if self.states[call].number == number => {
                self.ended(call, ending);
            }
            Event::AttemptFailed(..) | Event::Poll(_) => {}
            Event::Report(node, server, made, mut report) => {
                report.at = self.instant(made);
                let now = self.now_instant();
                self.nodes[node].policy.record_report(self.keys.servers[server], report, now);
            }
            Event::Exchange => self.exchange(),
            Event::PeerReport(node, from, report) => {
                self.nodes[node].peer_reports[from] = Some(report)
            }
            Event::CrashServers(down) => {
                CRASHING_SERVERS.iter().for_each(|server| self.crash(*server, down))
            }
            Event::CutLink(down) => self.cut(down),
            Event::PauseNode => {
                self.nodes[PAUSED_NODE].paused_until = self.pattern.pause.map_or(0.0, |p| p.1)
            }
        }
    }

    fn call(&mut self, index: usize) {
        let call = &self.calls[index];
        let class = &CLASSES[call.class];
        let request = Request {
            class: self.keys.classes[call.class],
            workspace: self.keys.workspaces[call.workspace],
            model: self.keys.model,
            service: self.keys.model,
            prefix: call.prefix,
            prompt_tokens: call.prompt,
            shared: vec![],
            max_tokens: None,
            length_hint: None,
            arrived: self.instant(call.at),
            deadline: self.instant(call.at + class.deadline),
            idempotent: class.idempotent,
            region: self.keys.regions[region_of_node(call.node)],
            regions: None,
            version: None,
            prior: policy::Prior::default(),
        };
        let (class, node, now) = (call.class, call.node, self.now_instant());
        self.gaps[class].since.get_or_insert(self.now);
        let job = self.nodes[node].policy.submit(request, now);
        self.states[index].job = Some(job);
        self.jobs[node].insert(job, index);
    }

    fn caller_leaves(&mut self, call: usize) {
        if self.states[call].outcome != Outcome::Open {
            return;
        }
        if self.states[call].server.is_some() {
            self.cancel(call);
            self.ended(call, Ending::Cancelled);
        } else if let Some(job) = self.states[call].job {
            let (node, now) = (self.calls[call].node, self.now_instant());
            self.jobs[node].remove(&job);
            self.nodes[node].policy.withdraw(job, now);
        }
        self.set_outcome(call, Outcome::Failed);
    }

    /// Cancels the attempt of a call at its engine, without the delay of a message; this favours all policies
    /// alike.
    fn cancel(&mut self, call: usize) {
        if let Some(server) = self.states[call].server {
            self.engines[server].cancel(call, self.now);
        }
    }

    pub(super) fn poll(&mut self, node: usize) {
        let mut actions = vec![];
        let now = self.now_instant();
        self.nodes[node].policy.poll(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { job, server } => self.send(node, job, server),
                Action::Refuse { job, .. } => self.refuse(node, job),
                Action::Stop { job } => self.stop(node, job),
            }
        }
        if let Some(due) = self.nodes[node].policy.next_due() {
            let at = (due - self.start).as_secs_f64().max(self.now + 0.001);
            let next_poll = self.nodes[node].next_poll;
            if next_poll <= self.now || at < next_poll {
                self.nodes[node].next_poll = at;
                self.schedule(at, Event::Poll(node));
            }
        }
    }

    fn refuse(&mut self, node: usize, job: ids::Job) {
        let Some(call) = self.jobs[node].remove(&job) else { return };
        self.set_outcome(call, Outcome::Refused);
        self.count_inversion(node, call);
    }

    fn stop(&mut self, node: usize, job: ids::Job) {
        let call = self.jobs[node][&job];
        // After a stop it would run again, which a router never lets such a call do.
        assert!(
            CLASSES[self.calls[call].class].idempotent,
            "a call that may run only once was stopped"
        );
        self.count_inversion(node, call);
        self.cancel(call);
        self.ended(call, Ending::Stopped);
        self.schedule(self.now, Event::Poll(node));
    }

    /// Counts an inversion if a top-tier call could still meet its target and calls of lower tiers wait at its
    /// node.
    fn count_inversion(&mut self, node: usize, call: usize) {
        let waits = |other: &usize| {
            let state = &self.states[*other];
            let class = &CLASSES[self.calls[*other].class];
            state.outcome == Outcome::Open && state.server.is_none() && class.tier > 0
        };
        let in_time = self.now < self.calls[call].at + CLASSES[0].first_token;
        let top = self.calls[call].class == 0 && in_time;
        if top && self.jobs[node].values().any(waits) {
            self.inversions += 1;
        }
    }

    fn send(&mut self, node: usize, job: ids::Job, server: ids::Server) {
        let call = self.jobs[node][&job];
        let server =
            self.keys.servers.iter().position(|key| *key == server).expect("a server of the run");
        let state = &mut self.states[call];
        state.number += 1;
        state.server = Some(server);
        let resumed = state.produced > 0;
        let Call { prompt, length, prefix, class, .. } = self.calls[call];
        let prompt = prompt + state.produced;
        if resumed {
            state.run += prefill_cost(prompt);
        }
        if region_of_node(node) != region_of_server(server) {
            state.bytes += u64::from(prompt) * PROMPT_BYTES;
        }
        let (number, left) = (state.number, length - state.produced);
        self.nodes[node].sent[server] += 1;
        let gap = &mut self.gaps[class];
        gap.longest = gap.longest.max(self.now - gap.since.take().unwrap_or(self.now));
        if !self.is_reachable(node, server) {
            return self.schedule(
                self.now + CONNECT_TIMEOUT,
                Event::AttemptFailed(call, number, Ending::NotRun),
            );
        }
        let attempt = Attempt { call, number, prompt, left, prefix };
        self.schedule(self.now + self.delay(node, server), Event::Deliver(server, attempt));
    }

    fn deliver(&mut self, server: usize, attempt: Attempt) {
        let call = attempt.call;
        if self.states[call].number != attempt.number || self.states[call].server.is_none() {
            return;
        }
        let node = self.calls[call].node;
        if !self.engines[server].up {
            let at = self.now + self.delay(node, server);
            return self.schedule(at, Event::AttemptFailed(call, attempt.number, Ending::NotRun));
        }
        let tier = CLASSES[self.calls[call].class].tier;
        let priority = if self.nodes[node].sends_priority { tier } else { 0 };
        self.engines[server].push(priority, attempt, self.now);
        if !self.engines[server].stepping {
            self.engines[server].stepping = true;
            let (at, epoch) =
                (self.now + self.engines[server].step_seconds(), self.engines[server].epoch);
            self.schedule(at, Event::Step(server, epoch));
        }
    }

    fn step(&mut self, server: usize, epoch: u64) {
        if self.engines[server].epoch != epoch {
            return;
        }
        for (attempt, count, whole) in self.engines[server].advance(self.now) {
            let node = self.calls[attempt.call].node;
            self.states[attempt.call].run += u64::from(count);
            if self.is_reachable(node, server) {
                let at = self.now + self.delay(node, server);
                self.schedule(at, Event::Tokens(attempt.call, attempt.number, count, whole));
            }
        }
        let (running, _) = self.engines[server].load();
        self.engines[server].stepping = running > 0;
        if running > 0 {
            self.schedule(
                self.now + self.engines[server].step_seconds(),
                Event::Step(server, epoch),
            );
        }
    }

    fn tokens(&mut self, call: usize, number: u32, count: u32, whole: bool) {
        let (node, now) = (self.calls[call].node, self.now_instant());
        let state = &mut self.states[call];
        let Some(server) = state.server.filter(|_| state.number == number) else { return };
        state.produced += count;
        state.first_token.get_or_insert(self.now);
        if region_of_node(node) != region_of_server(server) {
            state.bytes += u64::from(count) * EVENT_BYTES;
        }
        self.nodes[node].policy.record_tokens(state.job.expect("a job that was sent"), count, now);
        if whole {
            self.ended(call, Ending::Completed);
        }
    }

    fn ended(&mut self, call: usize, ending: Ending) {
        let (node, now) = (self.calls[call].node, self.now_instant());
        let Some(server) = self.states[call].server.take() else { return };
        self.nodes[node].sent[server] -= 1;
        let job = self.states[call].job.expect("a job that was sent");
        let retry = self.nodes[node].policy.attempt_ended(job, ending, now);
        if retry {
            return;
        }
        self.jobs[node].remove(&job);
        let deadline = self.calls[call].at + CLASSES[self.calls[call].class].deadline;
        let whole = ending == Ending::Completed && self.now <= deadline;
        self.set_outcome(call, if whole { Outcome::Completed } else { Outcome::Failed });
    }

    fn set_outcome(&mut self, call: usize, outcome: Outcome) {
        self.states[call].outcome = outcome;
        self.states[call].ended = self.now;
    }
}
