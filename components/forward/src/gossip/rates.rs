//! Exchanges the rates at which engines prefill, between nodes and seeds, and applies them to the scheduler.
//!
//! Nodes report samples to their seed, which estimates rates from those of all its nodes and sends back what changed. Seeds
//! send each other the estimates of their own nodes. Nothing is sent to nodes while all engines are about as fast as
//! assumed.

use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use calibration::{Estimate, FIRST_VERSION, KEPT_FOR, Ledger, SILENCE_TIMEOUT};
use clock::Clock;
use policy::RateSample;
use wire::gossip::{Position, Rate, Report, Summary};

use crate::adapter::Adapter;
use crate::mechanism::Mechanism;
use crate::registry::{PREFILL_TOKENS_PER_SECOND, Registry};
use crate::state::State;

/// Pause between two estimates of all rates, for each started [`ENGINES_PER_PAUSE`] engines with a rate.
const REFRESH_PAUSE: Duration = Duration::from_millis(500);
/// Engines whose estimates may take a part of the processor's time: 6,000 took 16 to 22 ms on a busy machine.
const ENGINES_PER_PAUSE: usize = 1_000;
/// Rows in a report; an engine's estimate needs 3.
const MAX_REPORT_ROWS: usize = 32;
/// Rows in a summary: some 1.5 KB. More follow in the next one.
const MAX_SUMMARY_ROWS: usize = 128;
/// Tokens per second that a whole number stands for on the wire.
const UNIT: u32 = 100;
/// Ratio to the assumed rate from which on the scheduler distinguishes a rate from it (`policy::speed`).
const NEARLY_EQUAL: f64 = 1.4;
/// Change of a rate that is logged, as a part of the one that was logged last.
const LOGGED_PART: f64 = 1.0 / 3.0;

/// A rate that a seed has sent to this node.
#[derive(Debug)]
struct Received {
    tokens_per_second: u32,
    /// When it no longer counts unless the seed that the node now asks confirms it; none if that seed has sent it.
    expires: Option<Instant>,
}

/// What operators were told of an engine's rate.
#[derive(Debug)]
struct Told {
    /// Rate that was logged last, or the assumed one.
    logged: u32,
    /// Rate in the metrics, if it differs from the assumed one.
    shown: Option<u32>,
}

/// What a node and a seed know of the rates of engines, by the keys of their names.
#[derive(Debug)]
pub(super) struct Rates {
    /// Estimates from own samples, and at a seed also from those of other nodes.
    ledger: Ledger<u32>,
    /// The start of each sampled engine: a restarted one has another key at the scheduler.
    starts: HashMap<u32, ids::Server>,
    /// Own samples that haven't been reported.
    unreported: Vec<Rate>,
    /// Some rate has differed from the assumed one, so nodes are sent all.
    differ: bool,
    /// Rates from this node's seed.
    received: HashMap<u32, Received>,
    /// Version up to which the seed's rates have been received; 0 before it has offered any.
    version: u64,
    /// When a seed last answered, or this node started.
    answered: Option<Instant>,
    /// What operators were told, by the names of engines whose rate is measured.
    told: HashMap<String, Told>,
}

impl Default for Rates {
    fn default() -> Self {
        Rates {
            ledger: Ledger::new(PREFILL_TOKENS_PER_SECOND),
            starts: HashMap::new(),
            unreported: vec![],
            differ: false,
            received: HashMap::new(),
            version: 0,
            answered: None,
            told: HashMap::new(),
        }
    }
}

/// Where a node gets its rates from.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// A seed, which sends those of the fleet.
    Seed,
    /// Its own ledger: it is a seed, or no seed answers it.
    Ledger,
}

impl Rates {
    /// Records a sample of an engine. One of a new start replaces those of the start before.
    fn record(&mut self, row: Rate, server: ids::Server, node: &str, now: Instant) {
        if self.starts.insert(row.server, server).is_some_and(|before| before != server) {
            self.ledger.forget(row.server);
        }
        self.ledger.record(row.server, node, row.hundreds.saturating_mul(UNIT), now);
    }

    /// Estimates rates again, without the samples of engines that have ended or restarted.
    fn refresh(&mut self, start: impl Fn(u32) -> Option<ids::Server>, now: Instant) {
        let ledger = &mut self.ledger;
        self.starts.retain(|key, server| {
            let same = start(*key) == Some(*server);
            if !same {
                ledger.forget(*key);
            }
            same
        });
        ledger.refresh(now);
        self.differ |= ledger.rates().any(|(_, rate)| differs_from_assumed(rate));
        self.received.retain(|_, known| known.expires.is_none_or(|expires| now < expires));
        if now >= *self.answered.get_or_insert(now) + SILENCE_TIMEOUT {
            self.begin_anew(0, now);
        }
    }

    /// Asks for all rates again, since those that are known may be outdated. They count until then, for a limited time.
    fn begin_anew(&mut self, version: u64, now: Instant) {
        self.version = version;
        for known in self.received.values_mut() {
            known.expires.get_or_insert(now + KEPT_FOR);
        }
    }

    /// Applies what a seed sends to this node; returns whether any rate changed.
    fn apply_fleet(&mut self, rows: &[Rate], version: u64, now: Instant) -> bool {
        self.answered = Some(now);
        match version {
            0 => return false,
            FIRST_VERSION => {
                self.begin_anew(version, now);
                return false;
            }
            // The position was reset after the report had been sent.
            _ if self.version == 0 => return false,
            _ => self.version = version,
        }
        for row in rows {
            if row.hundreds == 0 {
                self.received.remove(&row.server);
                continue;
            }
            let tokens_per_second = row.hundreds.saturating_mul(UNIT);
            self.received.insert(row.server, Received { tokens_per_second, expires: None });
        }
        !rows.is_empty()
    }

    /// Applies what another seed sends to this seed.
    fn apply_seed(&mut self, seed: &str, rows: &[Rate], version: u64, now: Instant) {
        let known = self.ledger.remote_version(seed);
        match version {
            0 => {}
            FIRST_VERSION => self.ledger.remove_remote(seed),
            _ if known == 0 => return,
            _ => rows.iter().for_each(|row| {
                let tokens_per_second = row.hundreds.saturating_mul(UNIT);
                let estimate = Estimate { tokens_per_second, samples: row.samples };
                let known = Some(estimate).filter(|_| row.hundreds > 0);
                self.ledger.set_remote(seed, row.server, known, now);
            }),
        }
        self.ledger.record_answer(seed, if version == 0 { known } else { version }, now);
    }

    /// Rows and version in the answer to a node.
    fn answer_node(&self, known: u64, same_process: bool) -> (Vec<Rate>, u64) {
        let (changes, version) = match self.differ {
            true => self.ledger.changes_since(known.max(FIRST_VERSION), MAX_SUMMARY_ROWS),
            false => (vec![], FIRST_VERSION),
        };
        let row = |(server, rate): (u32, Option<u32>)| Rate {
            server,
            hundreds: rate.map_or(0, to_hundreds),
            samples: 0,
        };
        answer(known, same_process, (changes.into_iter().map(row).collect(), version))
    }

    /// Rows and version in the answer to another seed.
    fn answer_seed(&self, known: u64, same_process: bool) -> (Vec<Rate>, u64) {
        let (changes, version) =
            self.ledger.own_changes_since(known.max(FIRST_VERSION), MAX_SUMMARY_ROWS);
        let row = |(server, estimate): (u32, Option<Estimate>)| Rate {
            server,
            hundreds: estimate.map_or(0, |estimate| to_hundreds(estimate.tokens_per_second)),
            samples: estimate.map_or(0, |estimate| estimate.samples),
        };
        answer(known, same_process, (changes.into_iter().map(row).collect(), version))
    }

    /// The measured rates in force.
    fn in_force(&self, source: Source) -> HashMap<u32, u32> {
        match source {
            Source::Seed => self
                .received
                .iter()
                .map(|(server, known)| (*server, known.tokens_per_second))
                .collect(),
            Source::Ledger if self.differ => self.ledger.rates().collect(),
            Source::Ledger => HashMap::new(),
        }
    }

    /// Whether a seed has answered recently.
    fn is_answered(&self, now: Instant) -> bool {
        self.answered.is_none_or(|answered| now < answered + SILENCE_TIMEOUT)
    }
}

/// An answer to a peer that knows a version: no rows if that is of another process of this seed or the peer hasn't asked for
/// any. It then asks from the first version on. So peers that don't know the fields aren't sent all rows again and again.
fn answer(known: u64, same_process: bool, (rows, version): (Vec<Rate>, u64)) -> (Vec<Rate>, u64) {
    match known {
        0 if version == FIRST_VERSION => (vec![], 0),
        0 => (vec![], FIRST_VERSION),
        _ if !same_process => (vec![], FIRST_VERSION),
        _ if rows.is_empty() && version == known => (vec![], 0),
        _ => (rows, version),
    }
}

/// A rate in the unit of the wire, on which 0 stands for none.
fn to_hundreds(tokens_per_second: u32) -> u32 {
    (tokens_per_second / UNIT).max(1)
}

fn differs_from_assumed(tokens_per_second: u32) -> bool {
    let ratio = f64::from(tokens_per_second) / f64::from(PREFILL_TOKENS_PER_SECOND);
    ratio > NEARLY_EQUAL || ratio < NEARLY_EQUAL.recip()
}

/// Starts the task that estimates rates and applies them, also without any exchange. It ends with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    if is_on(state) {
        actix_rt::spawn(run(Rc::downgrade(state)));
    }
}

fn is_on<A: Adapter>(state: &State<A>) -> bool {
    !state.switches.policy_off.contains(&policy::Mechanism::MeasuredRates)
}

async fn run<A: Adapter>(weak: Weak<State<A>>) {
    while let Some(state) = weak.upgrade() {
        collect_samples(&state);
        refresh(&state);
        apply(&state);
        let engines = state.gossip.rates.borrow().ledger.rates().count();
        drop(state);
        let pauses = engines.div_ceil(ENGINES_PER_PAUSE).max(1);
        tokio::time::sleep(REFRESH_PAUSE * pauses as u32).await;
    }
}

fn refresh<A: Adapter>(state: &State<A>) {
    let (registry, now) = (state.registry.borrow(), state.clock.now());
    let start = |key| registry.server_by_wire_key(key);
    state.gossip.rates.borrow_mut().refresh(start, now);
}

/// Takes the samples from the scheduler.
fn collect_samples<A: Adapter>(state: &State<A>) {
    let samples = state.driver.scheduler.borrow_mut().take_rate_samples();
    if samples.is_empty() {
        return;
    }
    let (registry, now) = (state.registry.borrow(), state.clock.now());
    let mut rates = state.gossip.rates.borrow_mut();
    let (node, reports) = (state.node(), exchanges(state) && !state.is_seed());
    state.metrics.add_rate_samples(samples.len() as u64);
    for RateSample { server, tokens_per_second } in samples {
        let Some(entry) = registry.server(server) else { continue };
        let hundreds = to_hundreds(tokens_per_second);
        let row = Rate { server: wire::key(&entry.name), hundreds, samples: 0 };
        rates.record(row, server, &node.name, now);
        if reports && rates.unreported.len() < MAX_REPORT_ROWS {
            rates.unreported.push(row);
        }
    }
}

/// Whether this node has seeds and may ask them.
fn exchanges<A: Adapter>(state: &State<A>) -> bool {
    state.switches.is_on(Mechanism::LoadGossip) && !state.node().seeds.is_empty()
}

/// Adds to a report this node's samples, and the version up to which it knows the seed's estimates.
pub(super) fn add_to_report<A: Adapter>(state: &State<A>, report: Report) -> Report {
    collect_samples(state);
    let mut rates = state.gossip.rates.borrow_mut();
    Report { rates: std::mem::take(&mut rates.unreported), rates_known: rates.version, ..report }
}

/// Applies the rates in a seed's answer.
pub(super) fn apply_summary<A: Adapter>(state: &State<A>, summary: &Summary) {
    if !is_on(state) {
        return;
    }
    let now = state.clock.now();
    let mut rates = state.gossip.rates.borrow_mut();
    let changed = rates.apply_fleet(&summary.rates, summary.rates_version, now);
    drop(rates);
    if changed {
        apply(state);
    }
}

/// Begins to ask another seed.
pub(super) fn change_seed<A: Adapter>(state: &State<A>) {
    state.gossip.rates.borrow_mut().begin_anew(0, state.clock.now());
}

/// Adds to a report to another seed the version up to which its estimates are known.
pub(super) fn add_to_seed_report<A: Adapter>(
    state: &State<A>,
    seed: &str,
    report: Report,
) -> Report {
    Report { rates_known: state.gossip.rates.borrow().ledger.remote_version(seed), ..report }
}

/// Applies the estimates in another seed's answer.
pub(super) fn apply_seed_summary<A: Adapter>(state: &State<A>, seed: &str, summary: &Summary) {
    if !is_on(state) {
        return;
    }
    let now = state.clock.now();
    let mut rates = state.gossip.rates.borrow_mut();
    rates.apply_seed(seed, &summary.rates, summary.rates_version, now);
}

/// Records the samples in a node's report. Those of servers that aren't listed are left out.
pub(super) fn record_report<A: Adapter>(state: &State<A>, report: &Report) {
    if !is_on(state) {
        return;
    }
    let (registry, now) = (state.registry.borrow(), state.clock.now());
    let mut rates = state.gossip.rates.borrow_mut();
    for row in &report.rates {
        if let Some(server) = registry.server_by_wire_key(row.server) {
            rates.record(*row, server, &report.from, now);
        }
    }
}

/// Adds to an answer the estimates that a node or another seed may not have.
pub(super) fn add_to_summary<A: Adapter>(
    state: &State<A>,
    known: u64,
    at: Option<Position>,
    from_seed: bool,
    summary: Summary,
) -> Summary {
    let same_process = at.is_some_and(|at| at.boot == summary.position.boot);
    let own = state.gossip.rates.borrow();
    let (rates, rates_version) = match from_seed {
        true => own.answer_seed(known, same_process),
        false => own.answer_node(known, same_process),
    };
    Summary { rates, rates_version, ..summary }
}

/// Hands the rates in force to the scheduler. An engine without one gets the median of its service.
fn apply<A: Adapter>(state: &State<A>) {
    let asks = exchanges(state) && !state.is_seed();
    let mut rates = state.gossip.rates.borrow_mut();
    let answered = rates.is_answered(state.clock.now());
    let source = if asks && answered { Source::Seed } else { Source::Ledger };
    let in_force = rates.in_force(source);
    if in_force.is_empty() && rates.told.is_empty() {
        return;
    }
    let registry = state.registry.borrow();
    let resolved = resolve(&registry, &in_force);
    state.driver.scheduler.borrow_mut().set_measured_rates(resolved);
    tell(state, &mut rates.told, &registry, &in_force);
}

/// Rates by the scheduler's keys.
fn resolve(registry: &Registry, rates: &HashMap<u32, u32>) -> Vec<(ids::Server, Option<u32>)> {
    let engines: Vec<_> = registry
        .servers()
        .filter(|(_, entry)| entry.engine)
        .map(|(server, entry)| (server, entry.service.as_str(), rates.get(&wire::key(&entry.name))))
        .collect();
    let mut measured: HashMap<&str, Vec<u32>> = HashMap::new();
    for (_, service, rate) in &engines {
        measured.entry(service).or_default().extend(*rate);
    }
    let median = |rates: &mut Vec<u32>| {
        let middle = rates.len() / 2;
        (!rates.is_empty()).then(|| *rates.select_nth_unstable(middle).1)
    };
    let medians: HashMap<_, _> =
        measured.iter_mut().map(|(service, rates)| (*service, median(rates))).collect();
    let rate = |(server, service, rate): &(_, &str, Option<&u32>)| {
        (*server, rate.copied().or(medians[service]))
    };
    engines.iter().map(rate).collect()
}

/// Logs the rates that have changed clearly, and sets the metrics of those that differ from the assumed one.
fn tell<A: Adapter>(
    state: &State<A>,
    told: &mut HashMap<String, Told>,
    registry: &Registry,
    rates: &HashMap<u32, u32>,
) {
    for (_, entry) in registry.servers() {
        let Some(rate) = rates.get(&wire::key(&entry.name)).copied() else { continue };
        if !told.contains_key(&entry.name) {
            let logged = PREFILL_TOKENS_PER_SECOND;
            told.insert(entry.name.clone(), Told { logged, shown: None });
        }
        let Some(known) = told.get_mut(&entry.name) else { continue };
        let shown = differs_from_assumed(rate).then_some(rate);
        if known.shown != shown {
            state.metrics.set_engine_rate(&entry.name, shown);
            known.shown = shown;
        }
        let change = f64::from(rate.abs_diff(known.logged));
        if change > f64::from(known.logged) * LOGGED_PART {
            log::debug!(
                server = entry.name.as_str(), tokens_per_s = rate, before = known.logged;
                "engine rate measured"
            );
            known.logged = rate;
        }
    }
    told.retain(|name, known| {
        let measured = rates.contains_key(&wire::key(name)) && registry.entry(name).is_some();
        if !measured && known.shown.is_some() {
            state.metrics.set_engine_rate(name, None);
        }
        measured
    });
}

#[cfg(test)]
mod tests;
