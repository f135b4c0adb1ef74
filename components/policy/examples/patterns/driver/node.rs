//! A node of the simulation: its policy, and the reports of its peers.

use std::time::{Duration, Instant};

use fleet::share::{Claim, Freshness, History, Need, Pool};
use policy::{Class, Limits, Policy, Scheduler, Server, Share, Workspace};
use slotmap::{SecondaryMap, SlotMap};

use super::baseline::Baseline;
use super::pattern::{CLASSES, NODES, SERVERS, SLOTS, WORKSPACES, region_of_server};
use super::{BaselineKind, PolicyKind};

/// Age in seconds up to which a peer's report is used in full, and from which on the peer counts as down.
const FRESH_SECONDS: f64 = 2.0;
const DOWN_SECONDS: f64 = 5.0;
const TIERS: usize = 3;

/// The keys of all that the policies refer to.
pub struct Keys {
    pub classes: Vec<ids::Class>,
    pub workspaces: Vec<ids::Workspace>,
    pub servers: Vec<ids::Server>,
    pub regions: Vec<ids::Region>,
    pub model: ids::Model,
}

fn new_keys<K: slotmap::Key>(count: usize) -> Vec<K> {
    let mut map = SlotMap::<K, ()>::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

impl Keys {
    pub fn new() -> Self {
        Keys {
            classes: new_keys(CLASSES.len()),
            workspaces: new_keys(WORKSPACES),
            servers: new_keys(SERVERS),
            regions: new_keys(2),
            model: new_keys(1)[0],
        }
    }
}

/// A node's report to its peers.
#[derive(Clone)]
pub struct PeerReport {
    /// When it was made.
    pub at: f64,
    /// Requests in flight, by server.
    pub sent: [u32; SERVERS],
    /// Requests in flight and waiting by tier.
    pub tiers: [(u32, u32); TIERS],
}

impl PeerReport {
    /// The claim of the node on a server's slots, by this report.
    fn claim(&self, node: usize, server: usize, now: f64) -> Claim {
        let age = now - self.at;
        let freshness = match age {
            _ if age < FRESH_SECONDS => Freshness::Fresh,
            _ if age < DOWN_SECONDS => Freshness::Stale,
            _ => Freshness::Unreachable,
        };
        let all: u32 = self.tiers.iter().map(|(sent, _)| sent).sum();
        let fraction = f64::from(self.sent[server]) / f64::from(all.max(1));
        let need = |(tier, (sent, waiting)): (usize, &(u32, u32))| Need {
            tier: tier as u8,
            slots: f64::from(*sent) * fraction + f64::from(*waiting) / SERVERS as f64,
        };
        let needs = self.tiers.iter().enumerate().map(need).collect();
        let waiting = self.tiers.iter().position(|(_, waiting)| *waiting > 0);
        let (sent, waiting) = (self.sent[server], waiting.map(|tier| tier as u8));
        Claim { node: node as u32, freshness, needs, in_flight: sent, waiting_tier: waiting }
    }
}

/// A node, its policy and what it knows of the others.
pub struct Node {
    pub policy: Box<dyn Policy>,
    /// Whether its requests carry their tier as a priority for engines.
    pub sends_priority: bool,
    pub sent: [u32; SERVERS],
    pub peer_reports: [Option<PeerReport>; NODES],
    past: History<PeerReport>,
    /// Second until which the node is paused and handles no events.
    pub paused_until: f64,
    /// When the policy is next polled though no event comes.
    pub next_poll: f64,
}

impl Node {
    pub fn new(keys: &Keys, kind: PolicyKind, seed: u64) -> Self {
        let classes: SecondaryMap<_, _> = keys.classes.iter().copied().zip(class_terms()).collect();
        let policy: Box<dyn Policy> = match kind {
            PolicyKind::Baseline(baseline) => {
                let servers = keys.servers.iter().map(|key| (*key, SLOTS)).collect();
                Box::new(Baseline::new(baseline, classes, servers))
            }
            PolicyKind::Godwitlever(disabled) => {
                let scheduler = Scheduler::with_seed(seed);
                let scheduler = match disabled {
                    Some(mechanism) => scheduler.with_disabled(mechanism),
                    None => scheduler,
                };
                Box::new(configure(scheduler, keys, classes))
            }
        };
        let sends_priority = !matches!(kind, PolicyKind::Baseline(BaselineKind::Fifo));
        let peer_reports = [const { None }; NODES];
        Node {
            policy,
            sends_priority,
            sent: [0; SERVERS],
            peer_reports,
            past: History::default(),
            paused_until: 0.0,
            next_poll: 0.0,
        }
    }

    /// Divides the servers' slots among the nodes as routers do, by the peers' reports.
    pub fn divide(&mut self, keys: &Keys, node: usize, own: &PeerReport, now: Instant) {
        self.past.record(now, own.clone());
        let empty = PeerReport { at: own.at, sent: [0; SERVERS], tiers: [(0, 0); TIERS] };
        let settled = self.past.settled(now).unwrap_or(&empty);
        let received = self
            .peer_reports
            .iter()
            .enumerate()
            .filter_map(|(i, report)| Some((i, report.as_ref()?)));
        let received: Vec<_> = received.collect();
        for server in 0..SERVERS {
            let peers: Vec<_> =
                received.iter().map(|(i, report)| report.claim(*i, server, own.at)).collect();
            let settled_claim =
                PeerReport { at: own.at, ..settled.clone() }.claim(node, server, own.at);
            let need = own.claim(node, server, own.at).needs.iter().map(|need| need.slots).sum();
            let pool = Pool::new(server as u32 * 7_919, SLOTS, Duration::from_secs_f64(own.at));
            let share = pool.share(&settled_claim, need, &peers);
            let (slots, sent, waiting) = (share.slots, share.peers_in_flight, share.waiting_tier);
            self.policy.set_share(keys.servers[server], Share { slots, sent, waiting }, now);
        }
    }
}

/// The classes as the policies know them.
fn class_terms() -> impl Iterator<Item = Class> {
    CLASSES.iter().map(|class| Class {
        tier: class.tier,
        priority: class.tier,
        weight: class.weight,
        first_token: Duration::from_secs_f64(class.first_token),
        token_interval: Duration::from_millis(50),
        longest_wait: Duration::from_secs_f64(class.longest_wait),
        queue: 400,
        attempts: 3,
    })
}

/// Sets the terms of classes, workspaces and servers.
fn configure(
    mut scheduler: Scheduler,
    keys: &Keys,
    classes: SecondaryMap<ids::Class, Class>,
) -> Scheduler {
    scheduler.set_limits(Limits {
        retry_percent: 10,
        retry_burst: policy::RETRY_BURST,
        link_bytes: 200_000,
    });
    for (key, class) in classes {
        scheduler.set_class(key, class);
    }
    for key in &keys.workspaces {
        let workspace = Workspace { weight: 1, in_flight: u32::MAX, servers: vec![] };
        scheduler.set_workspace(*key, workspace);
    }
    for (index, key) in keys.servers.iter().enumerate() {
        let server = Server {
            region: keys.regions[region_of_server(index)],
            domain: ids::Domain::default(),
            salt: index as u64 + 1,
            start: 0,
            slots: SLOTS,
            models: vec![keys.model],
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
        };
        scheduler.set_server(*key, server);
    }
    scheduler
}
