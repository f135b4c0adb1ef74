//! Simulates one node: its knowledge of its peers, its reports and its shares of the servers.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use fleet::claims::{self, Target};
use fleet::exchange::{ANSWER_OVERHEAD_BYTES, Exchange, LocalState, REQUEST_OVERHEAD_BYTES};
use fleet::share::{History, Pool};
use fleet::{ListedVm, View};
use wire::{Demand, Frame, InFlight};

use crate::model::{Call, PERIOD, SLOTS};

/// How nodes coordinate.
#[derive(Clone, Copy, PartialEq)]
pub enum Strategy {
    /// Without any communication.
    Alone,
    /// Every node sends its whole state to every other node.
    Gossip,
    /// Frames and shares within cells.
    Cells,
}

pub struct Node {
    pub key: u32,
    pub strategy: Strategy,
    pub local: LocalState,
    pub view: View,
    pub exchange: Exchange,
    pub history: History<LocalState>,
    /// Queued calls by tier.
    pub queues: [VecDeque<Call>; 3],
    /// Numbers of the servers that it may use.
    pub servers: Vec<usize>,
    /// Slots of its share, by server.
    pub slots: BTreeMap<usize, u32>,
    /// Its requests in flight, by server.
    pub in_flight: BTreeMap<usize, u32>,
    /// Requests in flight of its peers, by server.
    pub peers_in_flight: BTreeMap<usize, u32>,
    /// Its requests in flight, by tier.
    pub in_flight_by_tier: [u32; 3],
    /// Bytes that it sent.
    pub bytes_sent: u64,
    /// Processor time that it used.
    pub cpu_time: Duration,
}

/// Key of a server's name.
pub fn server_key(server: usize) -> u32 {
    wire::key(&format!("engine-{server}"))
}

impl Node {
    pub fn new(index: usize, strategy: Strategy, rate: u32, now: Instant) -> Self {
        let name = format!("entry-{index}");
        Node {
            key: wire::key(&name),
            strategy,
            local: LocalState { name, incarnation: 1, digest: u64::MAX, ..Default::default() },
            view: View::new(),
            exchange: Exchange::new(rate, now),
            history: History::default(),
            queues: Default::default(),
            servers: vec![],
            slots: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            peers_in_flight: BTreeMap::new(),
            in_flight_by_tier: [0; 3],
            bytes_sent: 0,
            cpu_time: Duration::ZERO,
        }
    }

    /// Applies a published list of all nodes, each with its failure domain.
    pub fn apply_list(&mut self, names: &[(String, String)], now: Instant) {
        let others = names.iter().filter(|(name, _)| *name != self.local.name);
        let listed = others.map(|(name, domain)| ListedVm {
            name: name.clone(),
            address: name.clone(),
            domain: domain.clone(),
        });
        self.view.apply_list(listed.collect::<Vec<_>>(), now);
    }

    /// Updates the state that it reports.
    pub fn update_local_state(&mut self) {
        let in_flight = self.in_flight.iter().filter(|(_, count)| **count > 0);
        self.local.in_flight = in_flight
            .map(|(server, count)| InFlight { key: server_key(*server), count: *count })
            .collect();
        let row = |tier: usize| Demand {
            tier: tier as u8,
            waiting: self.queues[tier].len() as u32,
            in_flight: self.in_flight_by_tier[tier],
        };
        self.local.demand = (0..3).map(row).collect();
    }

    /// Encodes a frame to a peer; `overhead` is the number of bytes around it on the wire.
    pub fn write_frame(&mut self, to: &str, overhead: usize, now: Instant) -> (Vec<u8>, Frame) {
        let frame = match self.strategy {
            Strategy::Gossip => self.full_frame(),
            _ => self.exchange.build_frame(&self.local, to, &self.view, now),
        };
        let bytes = frame.encode();
        self.exchange.record_sent(bytes.len() + overhead);
        self.bytes_sent += (bytes.len() + overhead) as u64;
        (bytes, frame)
    }

    /// A frame with the whole state.
    fn full_frame(&mut self) -> Frame {
        Frame {
            version: wire::VERSION,
            from: self.local.name.clone(),
            incarnation: 1,
            digest: self.local.digest,
            in_flight: self.local.in_flight.clone(),
            demand: self.local.demand.clone(),
            ..Default::default()
        }
    }

    /// Handles a peer's frame; returns the answer.
    pub fn answer(&mut self, bytes: &[u8], now: Instant) -> Vec<u8> {
        let frame = Frame::decode(bytes).expect("a frame");
        let peer = frame.from.clone();
        self.view.receive(frame, now);
        let (bytes, frame) = self.write_frame(&peer, ANSWER_OVERHEAD_BYTES, now);
        self.exchange.record_delivery(&peer, &frame, now);
        bytes
    }

    /// Computes its shares of all servers.
    pub fn update_shares(&mut self, now: Instant, since_1970: Duration) {
        if self.strategy == Strategy::Alone {
            self.slots = self.servers.iter().map(|server| (*server, SLOTS)).collect();
            return;
        }
        self.history.record(now, self.local.clone());
        let nobody = LocalState { name: self.local.name.clone(), ..Default::default() };
        let settled = self.history.settled(now).unwrap_or(&nobody);
        let fraction = 1.0 / self.servers.len() as f64;
        for server in &self.servers {
            let key = server_key(*server);
            let target = Target { server: key, fraction, models: vec![] };
            let peers = claims::peer_claims(&self.view, &target, now);
            let claimed = claims::own_claim(settled, &target);
            let need = claims::own_claim(&self.local, &target).needs.iter().map(|n| n.slots).sum();
            let share = Pool::new(key, SLOTS, since_1970).share(&claimed, need, &peers);
            self.slots.insert(*server, share.slots);
            self.peers_in_flight.insert(*server, share.peers_in_flight);
        }
    }

    /// Whether an exchange is due in this step. Nodes have different phases.
    pub fn is_due(&self, now: Instant, start: Instant) -> bool {
        let phase = Duration::from_millis(u64::from(self.key) % PERIOD.as_millis() as u64);
        let elapsed = (now - start + phase).as_millis() % PERIOD.as_millis();
        elapsed < crate::model::STEP.as_millis()
    }

    /// Bytes around a frame in a request.
    pub fn request_overhead() -> usize {
        REQUEST_OVERHEAD_BYTES
    }
}
