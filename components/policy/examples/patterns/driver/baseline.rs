//! Two common policies that the scheduler is compared with, behind the same interface.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use policy::{Action, Class, Ending, Policy, Refusal, Report, Request, Share};
use slotmap::{SecondaryMap, SlotMap};

#[derive(Clone, Copy, PartialEq)]
pub enum BaselineKind {
    /// First come, first served, by round robin over the servers.
    Fifo,
    /// Strict priority, to the server with the least reported load.
    LeastLoaded,
}

struct Pending {
    request: Request,
    attempts: u8,
    server: Option<usize>,
}

struct Server {
    key: ids::Server,
    slots: u32,
    sent: u32,
    reported: u32,
}

/// A policy that fills the slots its node knows of, keeps the other requests in a bounded queue, and retries
/// the ones that may be retried.
pub struct Baseline {
    kind: BaselineKind,
    classes: SecondaryMap<ids::Class, Class>,
    servers: Vec<Server>,
    jobs: SlotMap<ids::Job, Pending>,
    queue: BTreeSet<(u8, Instant, ids::Job)>,
    refused: Vec<(ids::Job, Refusal)>,
    next_server: usize,
}

impl Baseline {
    pub fn new(
        kind: BaselineKind,
        classes: SecondaryMap<ids::Class, Class>,
        servers: Vec<(ids::Server, u32)>,
    ) -> Self {
        let server = |(key, slots)| Server { key, slots, sent: 0, reported: 0 };
        let servers = servers.into_iter().map(server).collect();
        let (jobs, queue) = (SlotMap::with_key(), BTreeSet::new());
        Baseline { kind, classes, servers, jobs, queue, refused: vec![], next_server: 0 }
    }

    fn queue_key(&self, job: ids::Job) -> (u8, Instant, ids::Job) {
        let request = &self.jobs[job].request;
        let tier =
            if self.kind == BaselineKind::Fifo { 0 } else { self.classes[request.class].tier };
        (tier, request.arrived, job)
    }

    fn choose_server(&mut self) -> Option<usize> {
        let free = |index: &usize| self.servers[*index].sent < self.servers[*index].slots;
        let count = self.servers.len();
        let candidates = (0..count).map(|step| (self.next_server + step) % count).filter(free);
        let chosen = match self.kind {
            BaselineKind::Fifo => candidates.into_iter().next(),
            BaselineKind::LeastLoaded => {
                candidates.min_by_key(|index| self.servers[*index].reported)
            }
        }?;
        self.next_server = chosen + 1;
        Some(chosen)
    }
}

impl Policy for Baseline {
    fn submit(&mut self, request: Request, _now: Instant) -> ids::Job {
        let capacity = self.classes[request.class].queue;
        let job = self.jobs.insert(Pending { request, attempts: 0, server: None });
        let entry = self.queue_key(job);
        self.queue.insert(entry);
        if self.queue.len() > capacity
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
        while let Some(entry) = self.queue.first().copied() {
            let job = entry.2;
            if self.jobs[job].request.deadline <= now {
                self.queue.remove(&entry);
                self.jobs.remove(job);
                actions.push(Action::Refuse { job, refusal: Refusal::Late, retry_after });
                continue;
            }
            let Some(index) = self.choose_server() else { return };
            self.queue.remove(&entry);
            self.servers[index].sent += 1;
            let pending = &mut self.jobs[job];
            pending.attempts += 1;
            pending.server = Some(index);
            actions.push(Action::Send { job, server: self.servers[index].key });
        }
    }

    fn next_due(&self) -> Option<Instant> {
        None
    }

    fn record_tokens(&mut self, _job: ids::Job, _count: u32, _now: Instant) {}

    fn attempt_ended(&mut self, job: ids::Job, ending: Ending, _now: Instant) -> bool {
        let Some(pending) = self.jobs.get_mut(job) else { return false };
        if let Some(index) = pending.server.take() {
            self.servers[index].sent -= 1;
        }
        let repeatable = match ending {
            Ending::NotRun => true,
            Ending::Failed => pending.request.idempotent,
            _ => false,
        };
        let retry = repeatable && pending.attempts < self.classes[pending.request.class].attempts;
        if retry {
            self.queue.insert(self.queue_key(job));
        } else {
            self.jobs.remove(job);
        }
        retry
    }

    fn withdraw(&mut self, job: ids::Job, _now: Instant) {
        if self.jobs.contains_key(job) {
            self.queue.remove(&self.queue_key(job));
            self.jobs.remove(job);
        }
    }

    fn record_report(&mut self, server: ids::Server, report: Report, _now: Instant) {
        let entry = self.servers.iter_mut().find(|entry| entry.key == server);
        entry.expect("a server of the run").reported = report.running + report.queued;
    }

    fn set_share(&mut self, _server: ids::Server, _share: Share, _now: Instant) {}
}
