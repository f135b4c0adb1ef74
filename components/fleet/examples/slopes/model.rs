//! Simulates the calls, servers and time around the nodes, with a load at which the strategies differ.
//!
//! Calls arrive at nine tenths of the servers' capacity. One node in four gets three times as many as the
//! others, and in the middle third of the time there is a burst of the lowest tier that alone would fill all
//! servers.

use std::time::{Duration, Instant};

use fleet::cells::{Member, Size, divide};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::node::{Node, Strategy, server_key};

/// Slots of each server.
pub const SLOTS: u32 = 8;
/// Length of a simulation step.
pub const STEP: Duration = Duration::from_millis(50);
/// Time between two exchanges of a node.
pub const PERIOD: Duration = Duration::from_millis(500);
/// Simulated time.
const SECONDS: u64 = 30;
/// Bytes per second for frames: three fifths of the limit on control traffic.
const BYTES_PER_SECOND: u32 = 1_200;
/// Mean duration of a call; durations are uniform from 0 to twice that.
const MEAN_CALL_SECONDS: f64 = 1.0;
/// Targets for the first token by tier.
const TARGET_SECONDS: [f64; 3] = [0.87, 2.0, 10.0];
/// Time by tier after which the start of an answer is of no use; a node drops calls queued for longer.
const USEFUL_SECONDS: [f64; 3] = [3.0, 6.0, 20.0];
/// Part of the calls by tier.
const TIER_MIX: [f64; 3] = [0.3, 0.3, 0.4];

#[derive(Clone, Copy)]
pub struct Call {
    tier: usize,
    arrived: Instant,
    length: Duration,
}

/// Results of one run.
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Name of the strategy.
    pub way: String,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Bytes of control traffic that a node sends per second, overhead included.
    pub bytes: f64,
    /// Processor time of a node for frames and shares, in percent of a core.
    pub core_percent: f64,
    /// Memory of a node in KiB.
    pub state_kib: f64,
    /// Mean age in milliseconds of what a node knows of a peer in its cell.
    pub staleness_ms: f64,
    /// Part of the calls that met their target, by tier, in percent.
    pub attained: [f64; 3],
    /// Useful answers per second and node.
    pub goodput: f64,
    /// Part of the servers' time spent on answers that were of no use, in percent.
    pub waste: f64,
    /// Largest number of calls at a server at once, divided by its slots.
    pub overrun: f64,
}

#[derive(Default)]
struct Server {
    /// Running calls, each with its node and the time of its end.
    running: Vec<(usize, Call, Instant)>,
    /// Queued calls, each with its node.
    queue: Vec<(usize, Call)>,
}

/// Sums over the simulated time.
#[derive(Default)]
struct Totals {
    calls: [f64; 3],
    attained: [f64; 3],
    useful: f64,
    served_seconds: f64,
    wasted_seconds: f64,
    /// Largest number of calls at a server at once.
    max_at_server: usize,
    staleness_ms: f64,
    staleness_samples: f64,
}

/// Runs the strategy called `name` at one size.
pub fn run(name: &str, nodes: usize, servers: usize) -> Row {
    let strategy = match name {
        "alone" => Strategy::Alone,
        "gossip" => Strategy::Gossip,
        _ => Strategy::Cells,
    };
    let start = Instant::now();
    let before = resident_kib();
    let mut fleet = fleet(strategy, nodes, servers, start);
    let mut engines: Vec<Server> = (0..servers).map(|_| Server::default()).collect();
    let mut random = SmallRng::seed_from_u64(7);
    let mut totals = Totals::default();
    let steps = (SECONDS * 1000) / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = start + STEP * step as u32;
        let burst = (steps / 3..steps * 2 / 3).contains(&step);
        for index in 0..nodes {
            arrive(&mut fleet[index], index, nodes, servers, burst, now, &mut random, &mut totals);
            if fleet[index].is_due(now, start) && strategy != Strategy::Alone {
                exchange(&mut fleet, index, now, &mut totals);
            }
            let since_1970 = Duration::from_secs(1_800_000_000) + (now - start);
            let node = &mut fleet[index];
            if node.is_due(now, start) || step == 0 {
                let began = Instant::now();
                node.update_local_state();
                node.update_shares(now, since_1970);
                node.cpu_time += began.elapsed();
            }
            send(node, index, &mut engines, &mut random);
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            serve(number, engine, &mut fleet, now, &mut totals);
        }
    }
    row(name, nodes, servers, &fleet, &totals, resident_kib() - before)
}

/// The nodes of a fleet, each with its cell and the servers that it may use.
fn fleet(strategy: Strategy, nodes: usize, servers: usize, now: Instant) -> Vec<Node> {
    let domain = |index: usize| format!("domain-{}", index % 3);
    let names: Vec<_> = (0..nodes).map(|n| (format!("entry-{n}"), domain(n))).collect();
    let member = |key, index: usize| Member { key, domain: (index % 3) as u32, group: 0 };
    let listed: Vec<_> = (0..nodes).map(|n| member(wire::key(&names[n].0), n)).collect();
    let engines: Vec<_> = (0..servers).map(|s| member(server_key(s), s)).collect();
    let division = divide(&listed, &engines, Size { nodes: 8, servers: 100 });
    let one = |index| {
        let mut node = Node::new(index, strategy, BYTES_PER_SECOND, now);
        if strategy != Strategy::Alone {
            node.apply_list(&names, now);
        }
        let cell = division.nodes[&node.key];
        let within = |key| strategy != Strategy::Cells || division.servers[&key] == cell;
        node.servers = (0..servers).filter(|server| within(server_key(*server))).collect();
        if strategy == Strategy::Cells {
            let cell_nodes = division.nodes.iter().filter(|(_, other)| **other == cell);
            node.view.set_cell_nodes(cell_nodes.map(|(key, _)| *key).collect());
        }
        node
    };
    (0..nodes).map(one).collect()
}

/// Adds the calls that arrive at a node in this step, and drops those that were queued for too long.
#[allow(clippy::too_many_arguments, reason = "a step of the model")]
fn arrive(
    node: &mut Node,
    index: usize,
    nodes: usize,
    servers: usize,
    burst: bool,
    now: Instant,
    random: &mut SmallRng,
    totals: &mut Totals,
) {
    let load_factor = |index: usize| if index.is_multiple_of(4) { 3.0 } else { 1.0 };
    let all: f64 = (0..nodes).map(load_factor).sum();
    let capacity = servers as f64 * f64::from(SLOTS) / MEAN_CALL_SECONDS * STEP.as_secs_f64();
    for tier in 0..3 {
        let mut rate = 0.9 * TIER_MIX[tier] * capacity * load_factor(index) / all;
        if burst && tier == 2 {
            rate += capacity * load_factor(index) / all;
        }
        let count = rate as u64 + u64::from(random.random_bool(rate.fract()));
        for _ in 0..count {
            let length = Duration::from_secs_f64(random.random_range(0.0..2.0 * MEAN_CALL_SECONDS));
            node.queues[tier].push_back(Call { tier, arrived: now, length });
            totals.calls[tier] += 1.0;
        }
        let too_late = |call: &Call| (now - call.arrived).as_secs_f64() > USEFUL_SECONDS[tier];
        while node.queues[tier].front().is_some_and(too_late) {
            node.queues[tier].pop_front();
        }
    }
}

/// Exchanges frames between a node and its targets.
fn exchange(fleet: &mut [Node], from: usize, now: Instant, totals: &mut Totals) {
    let began = Instant::now();
    let node = &mut fleet[from];
    node.update_local_state();
    node.view.record_tick(now, PERIOD);
    for (_, member) in node.view.cell_peers() {
        totals.staleness_ms +=
            member.last_received.map_or(0.0, |at| (now - at).as_secs_f64() * 1000.0);
        totals.staleness_samples += f64::from(u8::from(member.last_received.is_some()));
    }
    let targets: Vec<String> = match node.strategy {
        Strategy::Gossip => node.view.members().map(|(name, _)| name.to_string()).collect(),
        _ => node
            .exchange
            .next_targets(&node.local, &node.view, now)
            .into_iter()
            .map(|t| t.name)
            .collect(),
    };
    node.cpu_time += began.elapsed();
    for name in targets {
        let to: usize = name["entry-".len()..].parse().expect("a number");
        let began = Instant::now();
        let (bytes, frame) = fleet[from].write_frame(&name, Node::request_overhead(), now);
        let wrote = began.elapsed();
        let began = Instant::now();
        fleet[to].update_local_state();
        let answer = fleet[to].answer(&bytes, now);
        fleet[to].cpu_time += began.elapsed();
        let began = Instant::now();
        let node = &mut fleet[from];
        node.exchange.record_delivery(&name, &frame, now);
        node.view.receive(wire::Frame::decode(&answer).expect("a frame"), now);
        node.cpu_time += began.elapsed() + wrote;
    }
}

/// Sends a node's queued calls to servers at which it has free slots, the less loaded of two each time.
fn send(node: &mut Node, index: usize, engines: &mut [Server], random: &mut SmallRng) {
    for tier in 0..3 {
        while !node.queues[tier].is_empty() {
            let in_flight = |node: &Node, s: &usize| node.in_flight.get(s).copied().unwrap_or(0);
            let has_room =
                |s: &&usize| in_flight(node, s) < node.slots.get(s).copied().unwrap_or(0);
            let open: Vec<usize> = node.servers.iter().filter(has_room).copied().collect();
            if open.is_empty() {
                return;
            }
            let draw = |random: &mut SmallRng| open[random.random_range(0..open.len())];
            let pair = [draw(random), draw(random)];
            let load =
                |s: &usize| in_flight(node, s) + node.peers_in_flight.get(s).copied().unwrap_or(0);
            let server = pair.into_iter().min_by_key(load).expect("two");
            let call = node.queues[tier].pop_front().expect("not empty");
            *node.in_flight.entry(server).or_default() += 1;
            node.in_flight_by_tier[tier] += 1;
            engines[server].queue.push((index, call));
        }
    }
}

/// Ends finished calls at a server and starts queued ones.
fn serve(
    number: usize,
    engine: &mut Server,
    fleet: &mut [Node],
    now: Instant,
    totals: &mut Totals,
) {
    totals.max_at_server = totals.max_at_server.max(engine.running.len() + engine.queue.len());
    let ended: Vec<_> = engine.running.iter().filter(|(_, _, end)| *end <= now).copied().collect();
    engine.running.retain(|(_, _, end)| *end > now);
    for (index, call, _) in ended {
        let node = &mut fleet[index];
        node.in_flight_by_tier[call.tier] -= 1;
        node.in_flight.entry(number).and_modify(|count| *count -= 1);
        totals.served_seconds += call.length.as_secs_f64();
    }
    engine.queue.sort_by_key(|(_, call)| (call.tier, call.arrived));
    while engine.running.len() < SLOTS as usize && !engine.queue.is_empty() {
        let (index, call) = engine.queue.remove(0);
        let waited = (now - call.arrived).as_secs_f64();
        totals.attained[call.tier] += f64::from(u8::from(waited <= TARGET_SECONDS[call.tier]));
        if waited <= USEFUL_SECONDS[call.tier] {
            totals.useful += 1.0;
        } else {
            totals.wasted_seconds += call.length.as_secs_f64();
        }
        engine.running.push((index, call, now + call.length));
    }
}

/// The results of a run, per second and node.
fn row(
    name: &str,
    nodes: usize,
    servers: usize,
    fleet: &[Node],
    totals: &Totals,
    memory: f64,
) -> Row {
    let seconds = SECONDS as f64;
    let count = nodes as f64;
    let bytes: u64 = fleet.iter().map(|node| node.bytes_sent).sum();
    let cpu_seconds: f64 = fleet.iter().map(|node| node.cpu_time.as_secs_f64()).sum();
    let attained = |tier: usize| 100.0 * totals.attained[tier] / totals.calls[tier].max(1.0);
    Row {
        way: name.to_string(),
        nodes,
        servers,
        bytes: bytes as f64 / seconds / count,
        core_percent: 100.0 * cpu_seconds / seconds / count,
        state_kib: memory / count,
        staleness_ms: totals.staleness_ms / totals.staleness_samples.max(1.0),
        attained: [attained(0), attained(1), attained(2)],
        goodput: totals.useful / seconds / count,
        waste: 100.0 * totals.wasted_seconds / totals.served_seconds.max(1.0),
        overrun: totals.max_at_server as f64 / f64::from(SLOTS),
    }
}

/// Measures the time that dividing a fleet into cells takes.
pub fn measure_division((nodes, servers): (usize, usize)) -> serde_json::Value {
    let member = |kind: &str, index: usize| Member {
        key: wire::key(&format!("{kind}-{index}")),
        domain: (index % 9) as u32,
        group: (index / 9 % 9) as u32,
    };
    let listed: Vec<_> = (0..nodes).map(|n| Member { group: 0, ..member("entry", n) }).collect();
    let engines: Vec<_> = (0..servers).map(|s| member("engine", s)).collect();
    let began = Instant::now();
    let cells = divide(&listed, &engines, Size { nodes: 8, servers: 100 }).count;
    let ms = began.elapsed().as_secs_f64() * 1000.0;
    serde_json::json!({"nodes": nodes, "servers": servers, "cells": cells, "ms": ms})
}

/// Resident memory of this process in KiB.
fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4.0
}
