//! Exchanges what each node is offered in engine time, so that all nodes know when the fleet is overloaded and which
//! workspaces offer most.
//!
//! The decisions that use it are in `policy::overload`. Nodes report to their seed; seeds sum the reports, report their sums to
//! each other, and answer with the sums of all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::Clock;
use overload::{FLEET_ROWS, Row, TIERS};
use wire::gossip::{Offer, Report, Summary};

use super::{MS_PER_S, to_whole_units};
use crate::adapter::Adapter;
use crate::state::State;

/// Time for which a report counts: some reports may be lost, and what a node that failed was offered reaches other nodes.
const LIFETIME: Duration = Duration::from_millis(1_500);
/// Least time between two reports of a node that contain rows, to keep control traffic small.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a seed's sums are kept: hundreds of nodes ask for them several times a second.
const SUM_LIFETIME: Duration = Duration::from_millis(100);
/// Number of nodes that are remembered; bounds the memory under a flood of names.
const MAX_NODES: usize = 2_000;
/// Utilization below which the fleet counts as no longer overloaded. It is lower than the one from which it is, so that
/// there isn't a log line for each variation.
const RELIEVED: f64 = 0.8;

/// Largest rows, and totals by tier.
type Offered = (Vec<Row>, [f64; TIERS]);

/// The last report of each node or seed, by name.
#[derive(Debug, Default)]
struct Reports(HashMap<String, (Instant, Offered)>);

impl Reports {
    fn record(&mut self, name: &str, offered: Offered, now: Instant) {
        self.0.retain(|_, (at, _)| now < *at + LIFETIME);
        if self.0.len() < MAX_NODES || self.0.contains_key(name) {
            self.0.insert(name.to_string(), (now, offered));
        }
    }

    /// The reports that still count.
    fn fresh(&self, now: Instant) -> impl Iterator<Item = (&[Row], &[f64; TIERS])> {
        let fresh = self.0.values().filter(move |(at, _)| now < *at + LIFETIME);
        fresh.map(|(_, (rows, totals))| (&rows[..], totals))
    }
}

/// State of the exchange.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// At a seed: the reports of its nodes and its own.
    nodes: RefCell<Reports>,
    /// At a seed: the sums that other seeds report.
    seeds: RefCell<Reports>,
    /// At a seed: the sums over all nodes, and when they were computed.
    fleet: RefCell<Option<(Instant, Offered)>>,
    /// When this node last reported rows to each seed.
    reported: RefCell<HashMap<SocketAddr, Instant>>,
    /// Whether the fleet was overloaded when it was last examined.
    overloaded: Cell<bool>,
}

impl Exchange {
    /// Whether rows are to be reported to a seed now.
    fn is_due(&self, seed: SocketAddr, now: Instant) -> bool {
        let last = self.reported.borrow().get(&seed).copied();
        last.is_none_or(|last| now.saturating_duration_since(last) >= REPORT_INTERVAL)
    }

    fn record_sent(&self, seed: SocketAddr, now: Instant) {
        self.reported.borrow_mut().insert(seed, now);
    }

    /// What is offered to this seed's nodes.
    fn cluster(&self, now: Instant) -> Offered {
        overload::sum(self.nodes.borrow().fresh(now), FLEET_ROWS)
    }

    /// What is offered to all nodes.
    fn fleet(&self, now: Instant) -> Offered {
        let mut kept = self.fleet.borrow_mut();
        if let Some((at, offered)) = kept.as_ref()
            && now.saturating_duration_since(*at) < SUM_LIFETIME
        {
            return offered.clone();
        }
        let (nodes, seeds) = (self.nodes.borrow(), self.seeds.borrow());
        let offered = overload::sum(nodes.fresh(now).chain(seeds.fresh(now)), FLEET_ROWS);
        *kept = Some((now, offered.clone()));
        offered
    }
}

/// Adds to a node's report what it is offered, if the fleet may become overloaded.
pub(super) fn add_to_report<A: Adapter>(
    state: &State<A>,
    seed: SocketAddr,
    report: Report,
) -> Report {
    let (exchange, now) = (&state.gossip.demand, state.clock.now());
    if !exchange.is_due(seed, now) {
        return report;
    }
    let Some(own) = state.driver.scheduler.borrow_mut().offered(now) else { return report };
    exchange.record_sent(seed, now);
    let (offers, offered) = to_wire(&own);
    Report { offers, offered, ..report }
}

/// Adds to a seed's report to another seed what its nodes are offered.
pub(super) fn add_cluster_to_report<A: Adapter>(
    state: &State<A>,
    seed: SocketAddr,
    report: Report,
) -> Report {
    let (exchange, now) = (&state.gossip.demand, state.clock.now());
    if !exchange.is_due(seed, now) {
        return report;
    }
    exchange.record_sent(seed, now);
    let (offers, offered) = to_wire(&exchange.cluster(now));
    Report { offers, offered, ..report }
}

/// Records the report of a node or another seed; returns whether it says what is offered there.
pub(super) fn record_report<A: Adapter>(
    state: &State<A>,
    from_seed: bool,
    report: &Report,
) -> bool {
    if report.offered.is_empty() {
        return false;
    }
    let exchange = &state.gossip.demand;
    let reports = if from_seed { &exchange.seeds } else { &exchange.nodes };
    let offered = from_wire(&report.offers, &report.offered);
    reports.borrow_mut().record(&report.from, offered, state.clock.now());
    true
}

/// Adds to an answer what all nodes are offered.
pub(super) fn add_to_summary<A: Adapter>(state: &State<A>, summary: Summary) -> Summary {
    let (offers, offered) = to_wire(&state.gossip.demand.fleet(state.clock.now()));
    Summary { offers, offered, ..summary }
}

/// Hands what all nodes are offered to the scheduler.
pub(super) fn apply_summary<A: Adapter>(state: &State<A>, summary: &Summary) {
    if !summary.offered.is_empty() {
        apply(state, from_wire(&summary.offers, &summary.offered));
    }
}

/// At a seed: records what it is offered itself, and hands the sums over all nodes to its scheduler.
pub(super) fn sum_at_seed<A: Adapter>(state: &State<A>) {
    let (exchange, now) = (&state.gossip.demand, state.clock.now());
    let own = state.driver.scheduler.borrow_mut().offered(now);
    if let Some(own) = own {
        exchange.nodes.borrow_mut().record(&state.node().name, own, now);
    }
    let (rows, totals) = exchange.fleet(now);
    if totals.iter().any(|total| *total > 0.0) {
        apply(state, (rows, totals));
    }
    observe(state);
}

fn apply<A: Adapter>(state: &State<A>, (rows, totals): Offered) {
    let now = state.clock.now();
    state.driver.scheduler.borrow_mut().set_fleet_offered(rows, totals, now);
}

/// Sets the metric of the fleet's utilization, and logs when the fleet becomes overloaded and when it no longer is.
pub(super) fn observe<A: Adapter>(state: &State<A>) {
    let known = state.driver.scheduler.borrow_mut().fleet_utilization(state.clock.now());
    let utilization = known.unwrap_or_default();
    state.metrics.set_fleet_utilization(utilization);
    let overloaded = &state.gossip.demand.overloaded;
    let percent = (utilization * 100.0).round() as u32;
    if !overloaded.get() && utilization > overload::OVERLOADED {
        overloaded.set(true);
        log::warn!(percent = percent; "the fleet is overloaded");
    } else if overloaded.get() && utilization < RELIEVED {
        overloaded.set(false);
        log::info!(percent = known.map(|_| percent); "the fleet is no longer overloaded");
    }
}

fn to_wire((rows, totals): &Offered) -> (Vec<Offer>, Vec<u32>) {
    let offer = |row: &Row| Offer {
        workspace: row.workspace,
        tier: row.tier,
        ms_per_s: (row.rate * MS_PER_S).round() as u32,
    };
    (rows.iter().map(offer).collect(), to_whole_units(totals, MS_PER_S))
}

fn from_wire(offers: &[Offer], offered: &[u32]) -> Offered {
    let row = |offer: &Offer| Row {
        workspace: offer.workspace,
        tier: offer.tier,
        rate: f64::from(offer.ms_per_s) / MS_PER_S,
        weight: 1.0,
    };
    let total = |tier: usize| f64::from(offered.get(tier).copied().unwrap_or_default()) / MS_PER_S;
    (offers.iter().map(row).collect(), std::array::from_fn(total))
}

#[cfg(test)]
mod tests;
