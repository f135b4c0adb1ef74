//! What godwitlever is compared with: two usual ways, behind the same interface.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use policy::{Action, Class, Ending, Policy, Refusal, Report, Request, Share};
use slotmap::{SecondaryMap, SlotMap};

#[derive(Clone, Copy, PartialEq)]
pub enum Way {
    /// First come, first served, to the servers in turn.
    Fifo,
    /// Strict priority, to the server of the least reported load.
    LeastLoaded,
}

struct Held {
    request: Request,
    attempts: u8,
    server: Option<usize>,
}

struct Known {
    key: ids::Server,
    slots: u32,
    sent: u32,
    reported: u32,
}

/// A node that sends up to the places it knows of, holds the rest in a bounded queue, and tries
/// again what may be tried again.
pub struct Baseline {
    way: Way,
    classes: SecondaryMap<ids::Class, Class>,
    servers: Vec<Known>,
    jobs: SlotMap<ids::Job, Held>,
    queue: BTreeSet<(u8, Instant, ids::Job)>,
    refused: Vec<(ids::Job, Refusal)>,
    turn: usize,
}

impl Baseline {
    pub fn new(
        way: Way,
        classes: SecondaryMap<ids::Class, Class>,
        servers: Vec<(ids::Server, u32)>,
    ) -> Self {
        let known = |(key, slots)| Known { key, slots, sent: 0, reported: 0 };
        let servers = servers.into_iter().map(known).collect();
        let (jobs, queue) = (SlotMap::with_key(), BTreeSet::new());
        Baseline { way, classes, servers, jobs, queue, refused: vec![], turn: 0 }
    }

    fn place(&self, job: ids::Job) -> (u8, Instant, ids::Job) {
        let request = &self.jobs[job].request;
        let tier = if self.way == Way::Fifo { 0 } else { self.classes[request.class].tier };
        (tier, request.arrived, job)
    }

    fn choose(&mut self) -> Option<usize> {
        let free = |index: &usize| self.servers[*index].sent < self.servers[*index].slots;
        let count = self.servers.len();
        let turns = (0..count).map(|step| (self.turn + step) % count).filter(free);
        let chosen = match self.way {
            Way::Fifo => turns.into_iter().next(),
            Way::LeastLoaded => turns.min_by_key(|index| self.servers[*index].reported),
        }?;
        self.turn = chosen + 1;
        Some(chosen)
    }
}

impl Policy for Baseline {
    fn submit(&mut self, request: Request, _now: Instant) -> ids::Job {
        let room = self.classes[request.class].queue;
        let job = self.jobs.insert(Held { request, attempts: 0, server: None });
        let place = self.place(job);
        self.queue.insert(place);
        if self.queue.len() > room
            && let Some(last) = self.queue.pop_last()
        {
            self.refused.push((last.2, Refusal::Full));
        }
        job
    }

    fn poll(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let retry_after = Duration::from_secs(1);
        for (job, refusal) in std::mem::take(&mut self.refused) {
            self.jobs.remove(job);
            actions.push(Action::Refuse { job, refusal, retry_after });
        }
        while let Some(place) = self.queue.first().copied() {
            let job = place.2;
            if self.jobs[job].request.deadline <= now {
                self.queue.remove(&place);
                self.jobs.remove(job);
                actions.push(Action::Refuse { job, refusal: Refusal::Late, retry_after });
                continue;
            }
            let Some(index) = self.choose() else { return };
            self.queue.remove(&place);
            self.servers[index].sent += 1;
            let held = &mut self.jobs[job];
            held.attempts += 1;
            held.server = Some(index);
            actions.push(Action::Send { job, server: self.servers[index].key });
        }
    }

    fn next_due(&self) -> Option<Instant> {
        None
    }

    fn record_tokens(&mut self, _job: ids::Job, _count: u32, _now: Instant) {}

    fn attempt_ended(&mut self, job: ids::Job, ending: Ending, _now: Instant) -> bool {
        let Some(held) = self.jobs.get_mut(job) else { return false };
        if let Some(index) = held.server.take() {
            self.servers[index].sent -= 1;
        }
        let repeatable = match ending {
            Ending::NotRun => true,
            Ending::Failed => held.request.idempotent,
            _ => false,
        };
        let again = repeatable && held.attempts < self.classes[held.request.class].attempts;
        if again {
            self.queue.insert(self.place(job));
        } else {
            self.jobs.remove(job);
        }
        again
    }

    fn withdraw(&mut self, job: ids::Job, _now: Instant) {
        if self.jobs.contains_key(job) {
            self.queue.remove(&self.place(job));
            self.jobs.remove(job);
        }
    }

    fn record_report(&mut self, server: ids::Server, report: Report, _now: Instant) {
        let known = self.servers.iter_mut().find(|known| known.key == server);
        known.expect("a known server").reported = report.running + report.queued;
    }

    fn set_share(&mut self, _server: ids::Server, _share: Share, _now: Instant) {}
}
