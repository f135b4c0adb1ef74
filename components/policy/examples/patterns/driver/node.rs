//! One node: its decisions, and what it has heard of its peers.

use std::time::{Duration, Instant};

use fleet::share::{Claim, Freshness, History, Need, Pool};
use policy::{Class, Limits, Policy, Scheduler, Server, Share, Workspace};
use slotmap::{SecondaryMap, SlotMap};

use super::baseline::Baseline;
use super::pattern::{CLASSES, NODES, SERVERS, SLOTS, WORKSPACES, server_region};
use super::{Chooser, Way};

/// Seconds for which a peer's word is acted on, and after which it counts as gone.
const FRESH: f64 = 2.0;
const SILENT: f64 = 5.0;
const TIERS: usize = 3;

/// Typed keys of all that the decisions name.
pub struct Keys {
    pub classes: Vec<ids::Class>,
    pub workspaces: Vec<ids::Workspace>,
    pub servers: Vec<ids::Server>,
    pub regions: Vec<ids::Region>,
    pub model: ids::Model,
}

fn keys<K: slotmap::Key>(count: usize) -> Vec<K> {
    let mut map = SlotMap::<K, ()>::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

impl Keys {
    pub fn new() -> Self {
        Keys {
            classes: keys(CLASSES.len()),
            workspaces: keys(WORKSPACES),
            servers: keys(SERVERS),
            regions: keys(2),
            model: keys(1)[0],
        }
    }
}

/// What a node tells its peers.
#[derive(Clone)]
pub struct Word {
    pub at: f64,
    pub sent: [u32; SERVERS],
    /// Requests in flight and waiting by tier.
    pub tiers: [(u32, u32); TIERS],
}

impl Word {
    fn claim(&self, node: usize, server: usize, now: f64) -> Claim {
        let age = now - self.at;
        let freshness = match age {
            _ if age < FRESH => Freshness::Fresh,
            _ if age < SILENT => Freshness::Stale,
            _ => Freshness::Unreachable,
        };
        let all: u32 = self.tiers.iter().map(|(sent, _)| sent).sum();
        let part = f64::from(self.sent[server]) / f64::from(all.max(1));
        let need = |(tier, (sent, waiting)): (usize, &(u32, u32))| Need {
            tier: tier as u8,
            slots: f64::from(*sent) * part + f64::from(*waiting) / SERVERS as f64,
        };
        let needs = self.tiers.iter().enumerate().map(need).collect();
        let waiting = self.tiers.iter().position(|(_, waiting)| *waiting > 0);
        let (sent, waiting) = (self.sent[server], waiting.map(|tier| tier as u8));
        Claim { node: node as u32, freshness, needs, in_flight: sent, waiting_tier: waiting }
    }
}

pub struct Node {
    pub policy: Box<dyn Policy>,
    /// Whether engines are told tiers.
    pub ranks: bool,
    pub sent: [u32; SERVERS],
    pub heard: [Option<Word>; NODES],
    past: History<Word>,
    pub asleep: f64,
    /// When the decisions are next asked though nothing happens.
    pub planned: f64,
}

impl Node {
    pub fn new(keys: &Keys, chooser: Chooser, seed: u64) -> Self {
        let classes: SecondaryMap<_, _> = keys.classes.iter().copied().zip(classes()).collect();
        let policy: Box<dyn Policy> = match chooser {
            Chooser::Baseline(way) => {
                let servers = keys.servers.iter().map(|key| (*key, SLOTS)).collect();
                Box::new(Baseline::new(way, classes, servers))
            }
            Chooser::Godwitlever(without) => {
                let scheduler = Scheduler::with_seed(seed);
                let scheduler = match without {
                    Some(mechanism) => scheduler.with_disabled(mechanism),
                    None => scheduler,
                };
                Box::new(set(scheduler, keys, classes))
            }
        };
        let ranks = !matches!(chooser, Chooser::Baseline(Way::Fifo));
        let heard = [const { None }; NODES];
        Node {
            policy,
            ranks,
            sent: [0; SERVERS],
            heard,
            past: History::default(),
            asleep: 0.0,
            planned: 0.0,
        }
    }

    /// Divides the servers' places as routers do, by what was heard.
    pub fn divide(&mut self, keys: &Keys, node: usize, own: &Word, now: Instant) {
        self.past.record(now, own.clone());
        let nobody = Word { at: own.at, sent: [0; SERVERS], tiers: [(0, 0); TIERS] };
        let settled = self.past.settled(now).unwrap_or(&nobody);
        let heard = self.heard.iter().enumerate().filter_map(|(i, word)| Some((i, word.as_ref()?)));
        let heard: Vec<_> = heard.collect();
        for server in 0..SERVERS {
            let peers: Vec<_> = heard.iter().map(|(i, w)| w.claim(*i, server, own.at)).collect();
            let mine = Word { at: own.at, ..settled.clone() }.claim(node, server, own.at);
            let need = own.claim(node, server, own.at).needs.iter().map(|need| need.slots).sum();
            let pool = Pool::new(server as u32 * 7_919, SLOTS, Duration::from_secs_f64(own.at));
            let share = pool.share(&mine, need, &peers);
            let (places, sent, waiting) = (share.slots, share.peers_in_flight, share.waiting_tier);
            self.policy.set_share(
                keys.servers[server],
                Share { slots: places, sent, waiting },
                now,
            );
        }
    }
}

fn classes() -> impl Iterator<Item = Class> {
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

fn set(
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
            region: keys.regions[server_region(index)],
            domain: ids::Domain::default(),
            salt: index as u64 + 1,
            slots: SLOTS,
            models: vec![keys.model],
            leaving: false,
            resumes: true,
            prefill_rate: None,
            fetch: None,
        };
        scheduler.set_server(*key, server);
    }
    scheduler
}
