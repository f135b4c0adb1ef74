//! The run of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use policy::{Action, Ending, Report, Request};

use super::Chooser;
use super::engine::{Attempt, Engine, reading};
use super::node::{Keys, Node, Word};
use super::pattern::{
    CLASSES, CRASHING, Call, NODES, PAUSING, Pattern, SERVERS, region, server_region,
};

/// Seconds of a message within a region and between regions.
pub const NEAR: f64 = 0.001;
pub const FAR: f64 = 0.030;
/// Seconds until a connection over a cut link is given up.
pub const CONNECT: f64 = 1.0;
/// Bytes over the link for a token of a prompt and of an answer.
const PROMPT_BYTES: u64 = 4;
const EVENT_BYTES: u64 = 200;

pub enum Event {
    Call(usize),
    Leave(usize),
    Deliver(usize, Attempt),
    Step(usize, u64),
    Tokens(usize, u32, u32, bool),
    Broken(usize, u32, Ending),
    Report(usize, usize, f64, Report),
    Publish,
    Heard(usize, usize, Word),
    Poll(usize),
    Crash(bool),
    Cut(bool),
    Pause,
}

/// What became of a call.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    Open,
    Whole,
    Refused,
    Lost,
}

pub struct Track {
    pub fate: Fate,
    /// When its fate was settled.
    pub ended: f64,
    pub first: Option<f64>,
    /// Tokens run for it, those read again after a stop or a failure included.
    pub run: u64,
    pub bytes: u64,
    pub(super) job: Option<ids::Job>,
    pub(super) number: u32,
    pub(super) server: Option<usize>,
    pub(super) produced: u32,
}

#[derive(Default)]
pub(super) struct Gap {
    since: Option<f64>,
    longest: f64,
}

pub struct World<'a> {
    pub pattern: &'a Pattern,
    pub calls: Vec<Call>,
    pub tracks: Vec<Track>,
    pub(super) keys: Keys,
    pub(super) nodes: Vec<Node>,
    pub(super) engines: Vec<Engine>,
    pub(super) events: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) bodies: BTreeMap<u64, Event>,
    pub(super) jobs: [BTreeMap<ids::Job, usize>; NODES],
    pub(super) gaps: Vec<Gap>,
    pub(super) now: f64,
    pub(super) cut: bool,
    /// Top-tier calls that were refused or stopped while lower ones were held at the same node.
    pub inversions: u32,
    pub(super) start: Instant,
    pub(super) number: u64,
}

impl<'a> World<'a> {
    pub fn new(pattern: &'a Pattern, seed: u64, chooser: Chooser) -> Self {
        let keys = Keys::new();
        let seeds = (0..NODES as u64).map(|node| seed * 100 + node);
        let nodes = seeds.map(|seed| Node::new(&keys, chooser, seed)).collect();
        let engine = |index: usize| {
            let slow = if index < pattern.slow.0 { pattern.slow.1 } else { 1.0 };
            Engine::new(slow)
        };
        let calls = pattern.calls(seed);
        let track = |_: &Call| Track {
            fate: Fate::Open,
            ended: 0.0,
            first: None,
            run: 0,
            bytes: 0,
            job: None,
            number: 0,
            server: None,
            produced: 0,
        };
        let mut world = World {
            pattern,
            tracks: calls.iter().map(track).collect(),
            calls,
            keys,
            nodes,
            engines: (0..SERVERS).map(engine).collect(),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            jobs: Default::default(),
            gaps: CLASSES.iter().map(|_| Gap::default()).collect(),
            now: 0.0,
            cut: false,
            inversions: 0,
            start: Instant::now(),
            number: 0,
        };
        for call in 0..world.calls.len() {
            let at = world.calls[call].at;
            world.at(at, Event::Call(call));
            world.at(at + CLASSES[world.calls[call].class].deadline, Event::Leave(call));
        }
        world.at(0.0, Event::Publish);
        let spans = [
            (pattern.crash, Event::Crash as fn(bool) -> Event),
            (pattern.cut, Event::Cut as fn(bool) -> Event),
        ];
        for (span, event) in spans {
            let Some((from, to)) = span else { continue };
            world.at(from, event(true));
            world.at(to, event(false));
        }
        if let Some((from, _)) = pattern.pause {
            world.at(from, Event::Pause);
        }
        world
    }

    pub(super) fn at(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.number)));
        self.bodies.insert(self.number, event);
    }

    fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_micros((at * 1e6) as u64)
    }

    pub(super) fn clock(&self) -> Instant {
        self.instant(self.now)
    }

    pub(super) fn delay(&self, node: usize, server: usize) -> f64 {
        if region(node) == server_region(server) { NEAR } else { FAR }
    }

    pub(super) fn reaches(&self, node: usize, server: usize) -> bool {
        !self.cut || region(node) == server_region(server)
    }

    pub fn longest(&self, class: usize) -> f64 {
        self.gaps[class].longest
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            let event = self.bodies.remove(&number).expect("an event has a body");
            let node = self.owner(&event);
            if let Some(node) = node
                && self.nodes[node].asleep > self.now
            {
                let wakes = (self.nodes[node].asleep * 1e6) as u64;
                self.events.push(Reverse((wakes, number)));
                self.bodies.insert(number, event);
                continue;
            }
            self.handle(event);
            if let Some(node) = node {
                self.poll(node);
            }
        }
    }

    /// The node that an event comes to.
    fn owner(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Call(call) | Event::Leave(call) => Some(self.calls[*call].node),
            Event::Tokens(call, ..) | Event::Broken(call, ..) => Some(self.calls[*call].node),
            Event::Report(node, ..) | Event::Heard(node, ..) | Event::Poll(node) => Some(*node),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(call) => self.call(call),
            Event::Leave(call) => self.leave(call),
            Event::Deliver(server, attempt) => self.deliver(server, attempt),
            Event::Step(server, epoch) => self.step(server, epoch),
            Event::Tokens(call, number, count, whole) => self.tokens(call, number, count, whole),
            Event::Broken(call, number, ending) if self.tracks[call].number == number => {
                self.ended(call, ending);
            }
            Event::Broken(..) | Event::Poll(_) => {}
            Event::Report(node, server, made, mut report) => {
                report.at = self.instant(made);
                let now = self.clock();
                self.nodes[node].policy.record_report(self.keys.servers[server], report, now);
            }
            Event::Publish => self.publish(),
            Event::Heard(node, from, word) => self.nodes[node].heard[from] = Some(word),
            Event::Crash(down) => CRASHING.iter().for_each(|server| self.crash(*server, down)),
            Event::Cut(down) => self.cut(down),
            Event::Pause => self.nodes[PAUSING].asleep = self.pattern.pause.map_or(0.0, |p| p.1),
        }
    }

    fn call(&mut self, index: usize) {
        let call = &self.calls[index];
        let class = &CLASSES[call.class];
        let request = Request {
            class: self.keys.classes[call.class],
            workspace: self.keys.workspaces[call.workspace],
            model: self.keys.model,
            prefix: call.prefix,
            prompt_tokens: call.prompt,
            shared: vec![],
            max_tokens: None,
            arrived: self.instant(call.at),
            deadline: self.instant(call.at + class.deadline),
            idempotent: class.idempotent,
            region: self.keys.regions[region(call.node)],
        };
        let (class, node, now) = (call.class, call.node, self.clock());
        self.gaps[class].since.get_or_insert(self.now);
        let job = self.nodes[node].policy.submit(request, now);
        self.tracks[index].job = Some(job);
        self.jobs[node].insert(job, index);
    }

    fn leave(&mut self, call: usize) {
        if self.tracks[call].fate != Fate::Open {
            return;
        }
        if self.tracks[call].server.is_some() {
            self.cancel(call);
            self.ended(call, Ending::Cancelled);
        } else if let Some(job) = self.tracks[call].job {
            let (node, now) = (self.calls[call].node, self.clock());
            self.jobs[node].remove(&job);
            self.nodes[node].policy.withdraw(job, now);
        }
        self.settle(call, Fate::Lost);
    }

    /// Tells an engine to stop; it hears at once, which flatters every way alike.
    fn cancel(&mut self, call: usize) {
        if let Some(server) = self.tracks[call].server {
            self.engines[server].cancel(call, self.now);
        }
    }

    pub(super) fn poll(&mut self, node: usize) {
        let mut actions = vec![];
        let now = self.clock();
        self.nodes[node].policy.poll(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { job, server } => self.send(node, job, server),
                Action::Refuse { job, .. } => self.refused(node, job),
                Action::Stop { job } => self.stopped(node, job),
            }
        }
        if let Some(due) = self.nodes[node].policy.next_due() {
            let at = (due - self.start).as_secs_f64().max(self.now + 0.001);
            let planned = self.nodes[node].planned;
            if planned <= self.now || at < planned {
                self.nodes[node].planned = at;
                self.at(at, Event::Poll(node));
            }
        }
    }

    fn refused(&mut self, node: usize, job: ids::Job) {
        let Some(call) = self.jobs[node].remove(&job) else { return };
        self.settle(call, Fate::Refused);
        self.note_inversion(node, call);
    }

    fn stopped(&mut self, node: usize, job: ids::Job) {
        let call = self.jobs[node][&job];
        // It would be run again, which a router never does.
        assert!(CLASSES[self.calls[call].class].idempotent, "a call that may run once was stopped");
        self.note_inversion(node, call);
        self.cancel(call);
        self.ended(call, Ending::Stopped);
        self.at(self.now, Event::Poll(node));
    }

    /// A top-tier call in vain while its node holds lower ones that wait and could give way.
    fn note_inversion(&mut self, node: usize, call: usize) {
        let waits = |other: &usize| {
            let track = &self.tracks[*other];
            let class = &CLASSES[self.calls[*other].class];
            track.fate == Fate::Open && track.server.is_none() && class.tier > 0
        };
        let of_use = self.now < self.calls[call].at + CLASSES[0].first_token;
        let top = self.calls[call].class == 0 && of_use;
        if top && self.jobs[node].values().any(waits) {
            self.inversions += 1;
        }
    }

    fn send(&mut self, node: usize, job: ids::Job, server: ids::Server) {
        let call = self.jobs[node][&job];
        let server = self.keys.servers.iter().position(|key| *key == server).expect("known");
        let track = &mut self.tracks[call];
        track.number += 1;
        track.server = Some(server);
        let begun = track.produced > 0;
        let Call { prompt, length, prefix, class, .. } = self.calls[call];
        let prompt = prompt + track.produced;
        if begun {
            track.run += reading(prompt);
        }
        if region(node) != server_region(server) {
            track.bytes += u64::from(prompt) * PROMPT_BYTES;
        }
        let (number, left) = (track.number, length - track.produced);
        self.nodes[node].sent[server] += 1;
        let gap = &mut self.gaps[class];
        gap.longest = gap.longest.max(self.now - gap.since.take().unwrap_or(self.now));
        if !self.reaches(node, server) {
            return self.at(self.now + CONNECT, Event::Broken(call, number, Ending::NotRun));
        }
        let attempt = Attempt { call, number, prompt, left, prefix };
        self.at(self.now + self.delay(node, server), Event::Deliver(server, attempt));
    }

    fn deliver(&mut self, server: usize, attempt: Attempt) {
        let call = attempt.call;
        if self.tracks[call].number != attempt.number || self.tracks[call].server.is_none() {
            return;
        }
        let node = self.calls[call].node;
        if !self.engines[server].up {
            let at = self.now + self.delay(node, server);
            return self.at(at, Event::Broken(call, attempt.number, Ending::NotRun));
        }
        let tier = CLASSES[self.calls[call].class].tier;
        let priority = if self.nodes[node].ranks { tier } else { 0 };
        self.engines[server].push(priority, attempt, self.now);
        if !self.engines[server].stepping {
            self.engines[server].stepping = true;
            let (at, epoch) = (self.now + self.engines[server].step(), self.engines[server].epoch);
            self.at(at, Event::Step(server, epoch));
        }
    }

    fn step(&mut self, server: usize, epoch: u64) {
        if self.engines[server].epoch != epoch {
            return;
        }
        for (attempt, count, whole) in self.engines[server].advance(self.now) {
            let node = self.calls[attempt.call].node;
            self.tracks[attempt.call].run += u64::from(count);
            if self.reaches(node, server) {
                let at = self.now + self.delay(node, server);
                self.at(at, Event::Tokens(attempt.call, attempt.number, count, whole));
            }
        }
        let (running, _) = self.engines[server].load();
        self.engines[server].stepping = running > 0;
        if running > 0 {
            self.at(self.now + self.engines[server].step(), Event::Step(server, epoch));
        }
    }

    fn tokens(&mut self, call: usize, number: u32, count: u32, whole: bool) {
        let (node, now) = (self.calls[call].node, self.clock());
        let track = &mut self.tracks[call];
        let Some(server) = track.server.filter(|_| track.number == number) else { return };
        track.produced += count;
        track.first.get_or_insert(self.now);
        if region(node) != server_region(server) {
            track.bytes += u64::from(count) * EVENT_BYTES;
        }
        self.nodes[node].policy.record_tokens(track.job.expect("a sent job"), count, now);
        if whole {
            self.ended(call, Ending::Completed);
        }
    }

    fn ended(&mut self, call: usize, ending: Ending) {
        let (node, now) = (self.calls[call].node, self.clock());
        let Some(server) = self.tracks[call].server.take() else { return };
        self.nodes[node].sent[server] -= 1;
        let job = self.tracks[call].job.expect("a sent job");
        let again = self.nodes[node].policy.attempt_ended(job, ending, now);
        if again {
            return;
        }
        self.jobs[node].remove(&job);
        let deadline = self.calls[call].at + CLASSES[self.calls[call].class].deadline;
        let whole = ending == Ending::Completed && self.now <= deadline;
        self.settle(call, if whole { Fate::Whole } else { Fate::Lost });
    }

    fn settle(&mut self, call: usize, fate: Fate) {
        self.tracks[call].fate = fate;
        self.tracks[call].ended = self.now;
    }
}
