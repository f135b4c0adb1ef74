//! A scheduler with three tiers, a few workspaces and servers, for tests and the benchmark.
#![allow(dead_code, reason = "each test uses some of it")]

pub mod fleet;
pub mod prompts;

use std::time::{Duration, Instant};

use policy::{Class, Limits, Request, Scheduler, Server, Workspace};
use slotmap::SlotMap;

/// Requests that may wait at once.
pub const QUEUE_CAPACITY: usize = 8;
/// Longest wait of every class.
pub const LONGEST_WAIT: Duration = Duration::from_secs(5);

pub struct Fixture {
    pub scheduler: Scheduler,
    pub classes: Vec<ids::Class>,
    pub workspaces: Vec<ids::Workspace>,
    pub servers: Vec<ids::Server>,
    pub model: ids::Model,
    pub now: Instant,
}

pub fn new_keys<K: slotmap::Key>(count: usize) -> Vec<K> {
    let mut map = SlotMap::<K, ()>::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

pub fn class(tier: u8, queue: usize) -> Class {
    Class {
        tier,
        priority: tier,
        weight: 1,
        first_token: Duration::from_secs(1),
        token_interval: Duration::from_millis(50),
        longest_wait: LONGEST_WAIT,
        queue,
        attempts: 3,
    }
}

pub fn server(salt: u64, slots: u32, model: ids::Model) -> Server {
    Server {
        region: ids::Region::default(),
        domain: ids::Domain::default(),
        salt,
        start: 0,
        slots,
        models: vec![model],
        leaving: false,
        evacuated: false,
        resumes: true,
        prefill_rate: None,
        cache_tokens: None,
        is_measured: false,
        fetch: None,
        cold_time: None,
        backups: false,
        version: ids::Version::default(),
        serves_until: None,
    }
}

impl Fixture {
    /// A scheduler with three classes, one for each tier, whose queues have the length `queue`.
    pub fn new(workspaces: usize, servers: usize, slots: u32, queue: usize) -> Self {
        let mut scheduler = Scheduler::with_seed(1);
        let classes = new_keys(3);
        let workspaces = new_keys(workspaces);
        let servers = new_keys(servers);
        let model = new_keys(1)[0];
        scheduler.set_limits(Limits {
            retry_percent: 10,
            retry_burst: policy::RETRY_BURST,
            link_bytes: 1 << 20,
        });
        for (tier, key) in classes.iter().enumerate() {
            scheduler.set_class(*key, class(tier as u8, queue));
        }
        for key in &workspaces {
            let terms = Workspace { weight: 1, in_flight: u32::MAX, servers: vec![] };
            scheduler.set_workspace(*key, terms);
        }
        for (index, key) in servers.iter().enumerate() {
            scheduler.set_server(*key, server(index as u64 + 1, slots, model));
        }
        Fixture { scheduler, classes, workspaces, servers, model, now: Instant::now() }
    }

    pub fn request(&self, class: usize, workspace: usize, timeout: Duration) -> Request {
        Request {
            class: self.classes[class],
            workspace: self.workspaces[workspace],
            model: self.model,
            service: self.model,
            prefix: workspace as u64,
            prompt_tokens: 100,
            shared: vec![],
            max_tokens: Some(100),
            length_hint: None,
            arrived: self.now,
            deadline: self.now + timeout,
            idempotent: class != 1,
            region: ids::Region::default(),
            regions: None,
            version: None,
            prior: policy::Prior::default(),
        }
    }
}
