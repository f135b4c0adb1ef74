//! One node: what it knows, tells and may send.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use fleet::claims::{self, Target};
use fleet::exchange::{ANSWER_HEAD, Exchange, Own, REQUEST_HEAD};
use fleet::share::{Past, Pool};
use fleet::{Listed, View};
use wire::{Demand, Frame, InFlight};

use crate::model::{Call, PERIOD, SLOTS};

/// How nodes act together.
#[derive(Clone, Copy, PartialEq)]
pub enum Way {
    Alone,
    Gossip,
    Cells,
}

pub struct Node {
    pub key: u32,
    pub way: Way,
    pub own: Own,
    pub view: View,
    pub exchange: Exchange,
    pub past: Past<Own>,
    /// Calls that wait, by tier.
    pub queues: [VecDeque<Call>; 3],
    /// Servers it may use, by number.
    pub servers: Vec<usize>,
    pub places: BTreeMap<usize, u32>,
    pub sent: BTreeMap<usize, u32>,
    pub peers: BTreeMap<usize, u32>,
    pub in_flight: [u32; 3],
    pub bytes: u64,
    pub spent: Duration,
}

pub fn server_key(server: usize) -> u32 {
    wire::key(&format!("engine-{server}"))
}

impl Node {
    pub fn new(index: usize, way: Way, rate: u32, now: Instant) -> Self {
        let name = format!("entry-{index}");
        Node {
            key: wire::key(&name),
            way,
            own: Own { name, incarnation: 1, digest: u64::MAX, ..Default::default() },
            view: View::new(),
            exchange: Exchange::new(rate, now),
            past: Past::default(),
            queues: Default::default(),
            servers: vec![],
            places: BTreeMap::new(),
            sent: BTreeMap::new(),
            peers: BTreeMap::new(),
            in_flight: [0; 3],
            bytes: 0,
            spent: Duration::ZERO,
        }
    }

    pub fn meet(&mut self, names: &[(String, String)], now: Instant) {
        let others = names.iter().filter(|(name, _)| *name != self.own.name);
        let listed = others.map(|(name, domain)| Listed {
            name: name.clone(),
            address: name.clone(),
            domain: domain.clone(),
        });
        self.view.listed(listed.collect::<Vec<_>>(), now);
    }

    /// Brings what it tells of itself up to date.
    pub fn look(&mut self) {
        let sent = self.sent.iter().filter(|(_, count)| **count > 0);
        self.own.sent = sent
            .map(|(server, count)| InFlight { key: server_key(*server), count: *count })
            .collect();
        let row = |tier: usize| Demand {
            tier: tier as u8,
            waiting: self.queues[tier].len() as u32,
            in_flight: self.in_flight[tier],
        };
        self.own.demand = (0..3).map(row).collect();
    }

    /// Bytes of a frame to a peer, with the head around it.
    pub fn write(&mut self, to: &str, head: usize, now: Instant) -> (Vec<u8>, Frame) {
        let frame = match self.way {
            Way::Gossip => self.everything(),
            _ => self.exchange.frame(&self.own, to, &self.view, now),
        };
        let bytes = frame.encode();
        self.exchange.spent(bytes.len() + head);
        self.bytes += (bytes.len() + head) as u64;
        (bytes, frame)
    }

    fn everything(&mut self) -> Frame {
        Frame {
            version: wire::VERSION,
            from: self.own.name.clone(),
            incarnation: 1,
            digest: self.own.digest,
            in_flight: self.own.sent.clone(),
            demand: self.own.demand.clone(),
            ..Default::default()
        }
    }

    pub fn answer(&mut self, bytes: &[u8], now: Instant) -> Vec<u8> {
        let frame = Frame::decode(bytes).expect("a frame");
        let peer = frame.from.clone();
        self.view.heard(frame, now);
        let (bytes, frame) = self.write(&peer, ANSWER_HEAD, now);
        self.exchange.told(&peer, &frame, now);
        bytes
    }

    /// Works out its shares.
    pub fn share(&mut self, now: Instant, since_1970: Duration) {
        if self.way == Way::Alone {
            self.places = self.servers.iter().map(|server| (*server, SLOTS)).collect();
            return;
        }
        self.past.push(now, self.own.clone());
        let nobody = Own { name: self.own.name.clone(), ..Default::default() };
        let settled = self.past.settled(now).unwrap_or(&nobody);
        let part = 1.0 / self.servers.len() as f64;
        for server in &self.servers {
            let key = server_key(*server);
            let target = Target { server: key, part, models: vec![] };
            let peers = claims::peers(&self.view, &target, now);
            let claimed = claims::own(settled, &target);
            let need = claims::own(&self.own, &target).needs.iter().map(|n| n.places).sum();
            let share = Pool::new(key, SLOTS, since_1970).share(&claimed, need, &peers);
            self.places.insert(*server, share.places);
            self.peers.insert(*server, share.sent);
        }
    }

    /// Time between two exchanges.
    pub fn due(&self, now: Instant, start: Instant) -> bool {
        let phase = Duration::from_millis(u64::from(self.key) % PERIOD.as_millis() as u64);
        let gone = (now - start + phase).as_millis() % PERIOD.as_millis();
        gone < crate::model::STEP.as_millis()
    }

    pub fn head() -> usize {
        REQUEST_HEAD
    }
}
