//! Exchanges between nodes what each of them has at engines, so that every node's decisions take the load of all
//! nodes into account.
//!
//! The decisions that use it are in `policy::backlog`, `policy::slots` and `policy::cache`.
//!
//! Nodes know each other only by the seeds in their settings. Every other node reports to a seed several times a
//! second, and the answer contains what changed at all other nodes; seeds ask each other. A seed sets the pause
//! before a node's next report, so that a fleet of hundreds doesn't fill the seed's link. Nothing depends on the
//! exchange: a node that gets no answer decides by its own requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use clock::Clock;
use policy::{Backlog, Cached};
use wire::gossip::{Load, Position, Report, Summary};

use crate::adapter::Adapter;
use crate::answer::Answer;
use crate::cold;
use crate::peers;
use crate::state::State;

mod cursor;
mod demand;
mod detail;
mod limits;
mod pace;
pub(crate) mod rates;
mod seeds;
mod suspects;
mod table;

use cursor::Cursor;
use pace::Pace;
use rates::Rates;
use seeds::Seeds;
use table::{Aggregate, SentReports, View};

/// Path at which nodes report to a seed.
pub(crate) const NODE_PATH: &str = "/gossip";
/// Path at which seeds ask each other.
pub(crate) const SEED_PATH: &str = "/gossip/seeds";
/// Shortest pause between two reports of a node: an engine takes about as long to prefill a long prompt.
const MIN_REPORT_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two calls of a seed to another.
const SEED_PAUSE: Duration = Duration::from_millis(100);
/// Time within which a seed must answer: several round trips between two regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a report counts, as a multiple of the pause between reports: one report may be lost.
const LIFETIME_PAUSES: u32 = 3;
const MS_PER_S: f64 = 1_000.0;
const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;
/// Time in seconds over which rates of requests are reported: on the wire they are whole numbers.
const SENDS_SECONDS: f64 = 10.0;
const MAX_REPORT_BYTES: usize = 256 << 10;
/// Largest summary in bytes: some thousands of engines.
const MAX_SUMMARY_BYTES: usize = 1 << 20;

/// State of a node's exchange with other nodes.
#[derive(Debug)]
pub(crate) struct Gossip {
    /// What this node aggregates as a seed.
    aggregate: RefCell<Aggregate>,
    pace: RefCell<Pace>,
    /// Rates at which engines prefill.
    rates: RefCell<Rates>,
    demand: demand::Exchange,
}

impl Gossip {
    /// The state of a node that starts. `boot` is a random number that identifies its process; its link carries
    /// `link_bytes` per second.
    pub(crate) fn new(boot: u32, link_bytes: f64) -> Self {
        Gossip {
            aggregate: RefCell::new(Aggregate::new(boot)),
            pace: RefCell::new(Pace::new(MIN_REPORT_PAUSE, link_bytes)),
            rates: RefCell::default(),
            demand: demand::Exchange::default(),
        }
    }
}

/// Starts the tasks that exchange reports: at a seed, one that polls each other seed and one that sums the
/// reports; at another node, one that reports to a seed. They end with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    if state.is_seed() {
        for seed in state.other_seeds() {
            actix_rt::spawn(poll_seed(Rc::downgrade(state), seed));
        }
        actix_rt::spawn(run_seed(Rc::downgrade(state)));
    } else {
        actix_rt::spawn(run_node(Rc::downgrade(state)));
    }
}

/// Reports to a seed again and again and applies its answers; changes to another seed if one doesn't answer.
async fn run_node<A: Adapter>(weak: Weak<State<A>>) {
    let Some(mut seeds) = weak.upgrade().map(|state| Seeds::new(state.seeds())) else { return };
    let (mut view, mut sent, mut last) = (View::default(), SentReports::default(), None);
    let (mut suspect_cursor, mut limit_cursor) = (Cursor::default(), Cursor::default());
    let mut seed_takes_memory = false;
    while let Some(state) = weak.upgrade() {
        let asked = state.clock.now();
        let Some(seed) = seeds.select(asked) else {
            crate::limits::issue_without_seeds(&state);
            cold::continue_without_seeds(&state);
            drop(state);
            tokio::time::sleep(MIN_REPORT_PAUSE).await;
            continue;
        };
        if last.replace(seed) != Some(seed) {
            view = View::default();
            (suspect_cursor, limit_cursor) = (Cursor::default(), Cursor::default());
            rates::change_seed(&state);
            seed_takes_memory = false;
        }
        let report = own_report(&state, &mut sent, view.position(), seed_takes_memory);
        let report = suspects::add_to_report(&state, &mut suspect_cursor, report);
        let report = limits::add_to_report(&state, &mut limit_cursor, report);
        let report = rates::add_to_report(&state, report);
        let report = cold::add_to_report(&state, report);
        let report = peers::add_to_report(&state, report);
        let report = demand::add_to_report(&state, seed, report);
        // Seeds are compared first, and their lists may differ for a moment: one list is enough until then.
        let digest = state.resumption.members.borrow().digest();
        let members = (digest == 0 || seeds.nearest() == Some(seed)).then_some(digest);
        let report = Report { work: Some(state.own_work()), members, ..report };
        let answer = post_report(&state, seed, NODE_PATH, report).await;
        let now = state.clock.now();
        let latency = answer.as_ref().ok().map(|_| now.saturating_duration_since(asked));
        seeds.record_answer(seed, latency, now);
        state.nearest_seed.set(seeds.nearest());
        let pause = match answer {
            Ok(mut summary) => {
                let members = std::mem::take(&mut summary.members);
                state.resumption.apply_members(members, now);
                seed_takes_memory = summary.takes_memory;
                let pause = Duration::from_millis(summary.pause_ms.into()).max(MIN_REPORT_PAUSE);
                apply_cached_parts(&state, &summary.parts);
                suspects::apply_summary(&state, &mut suspect_cursor, &summary);
                limits::apply_summary(&state, &mut limit_cursor, &summary);
                rates::apply_summary(&state, &summary);
                cold::apply_permits(&state, &summary.cold_permits, asked);
                peers::apply_summary(&state, &summary);
                demand::apply_summary(&state, &summary);
                if let Some(work) = summary.work {
                    state.set_fleet_work(work);
                }
                state.rate_limits.record_seed_answer(now);
                view.apply(summary, now);
                let (loads, sends) = sent.subtract_own(&view, now);
                apply_peer_loads(&state, &loads, &sends);
                pause
            }
            Err(cause) => {
                log::debug!(cause = cause.as_str(); "failed to report to a seed");
                crate::limits::issue_without_seeds(&state);
                cold::continue_without_seeds(&state);
                MIN_REPORT_PAUSE
            }
        };
        demand::observe(&state);
        drop(state);
        tokio::time::sleep(pause).await;
    }
}

/// Sums again and again what nodes report and other seeds know, and hands the sums to this seed's own scheduler.
async fn run_seed<A: Adapter>(weak: Weak<State<A>>) {
    let (mut view, mut sent) = (View::default(), SentReports::default());
    while let Some(state) = weak.upgrade() {
        let now = state.clock.now();
        let name = state.node().name.clone();
        let report = own_report(&state, &mut sent, None, true);
        state.gossip.aggregate.borrow_mut().add_report(report, now);
        refresh_sums(&state);
        state.resumption.refresh_members(peers::own_location(&state), now);
        state.set_fleet_work(state.fleet_work());
        demand::sum_at_seed(&state);
        let summary = state.gossip.aggregate.borrow().fleet_summary(&name, view.position(), now);
        apply_cached_parts(&state, &summary.parts);
        view.apply(summary, now);
        let (loads, sends) = sent.subtract_own(&view, now);
        apply_peer_loads(&state, &loads, &sends);
        let permits = issue_permits(&state);
        crate::limits::add_permits(&state, &permits);
        cold::issue_to_self(&state);
        drop(state);
        tokio::time::sleep(MIN_REPORT_PAUSE).await;
    }
}

/// Asks another seed again and again for what changed in its cluster.
async fn poll_seed<A: Adapter>(weak: Weak<State<A>>, seed: SocketAddr) {
    let (name, mut suspect_cursor, mut limit_cursor) =
        (seed.to_string(), Cursor::default(), Cursor::default());
    while let Some(state) = weak.upgrade() {
        let known = state.gossip.aggregate.borrow().seed_position(&name);
        let work = state.own_work().plus(state.work_reports.sum(state.clock.now()));
        let from = state.node().name.clone();
        let members = Some(state.resumption.members.borrow().cluster_digest(&name));
        let takes_memory = state.registry.borrow().knows_memory();
        let work = Some(work);
        let report = Report { from, known, work, members, takes_memory, ..Report::default() };
        let report = suspects::add_to_report(&state, &mut suspect_cursor, report);
        let report = limits::add_to_report(&state, &mut limit_cursor, report);
        let report = rates::add_to_seed_report(&state, &name, report);
        let report = peers::add_to_report(&state, report);
        let report = demand::add_cluster_to_report(&state, seed, report);
        let answer = post_report(&state, seed, SEED_PATH, report).await;
        let now = state.clock.now();
        match answer {
            Ok(mut summary) => {
                let members = std::mem::take(&mut summary.members);
                state.resumption.members.borrow_mut().set_cluster(&name, members, now);
                suspects::apply_summary(&state, &mut suspect_cursor, &summary);
                limits::apply_summary(&state, &mut limit_cursor, &summary);
                rates::apply_seed_summary(&state, &name, &summary);
                peers::apply_summary(&state, &summary);
                let parts =
                    state.gossip.aggregate.borrow_mut().apply_seed_summary(&name, summary, now);
                apply_cached_parts(&state, &parts);
            }
            Err(cause) => log::debug!(cause = cause.as_str(); "another seed gave no answer"),
        }
        drop(state);
        tokio::time::sleep(SEED_PAUSE).await;
    }
}

/// Sends a report to a seed; returns its answer, or the cause of the failure as a text.
async fn post_report<A: Adapter>(
    state: &State<A>,
    seed: SocketAddr,
    path: &str,
    report: Report,
) -> Result<Summary, String> {
    let request = state.peer_client.post(format!("http://{seed}{path}")).timeout(ANSWER_TIMEOUT);
    let sent = request.send_body(report.encode()).await;
    let mut response = sent.map_err(|cause| cause.to_string())?;
    let body = response.body().limit(MAX_SUMMARY_BYTES).await.map_err(|cause| cause.to_string())?;
    match response.status() {
        StatusCode::OK => Summary::decode(&body).map_err(|cause| cause.to_string()),
        status => Err(format!("seed {seed} answered with status {status}")),
    }
}

/// Answers the report of a node or another seed.
pub(crate) async fn answer_report<A: Adapter>(
    state: &Rc<State<A>>,
    mut request: Request,
) -> Answer {
    let from_seed = request.path() == SEED_PATH;
    let body = match listen::read_body(&mut request, MAX_REPORT_BYTES).await {
        Ok(body) => body,
        Err(unread) => return unread.response(),
    };
    listen::mark_body_received(&request);
    let Ok(mut report) = Report::decode(&body) else {
        return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
    };
    let now = state.clock.now();
    let (from, known) = (report.from.clone(), report.known);
    let evidence = suspects::from_wire(&report.suspects, &report.companions, now);
    let suspects_known = report.suspects_known;
    let (limits, limits_known) = (std::mem::take(&mut report.limits), report.limits_known);
    if let Some(work) = report.work {
        let reports = if from_seed { &state.seed_work_reports } else { &state.work_reports };
        reports.record(&report.from, work, now);
    }
    let (cold, permits_wanted) = (std::mem::take(&mut report.cold), report.permits_wanted);
    let reports_demand = demand::record_report(state, from_seed, &report);
    let (wants_peers, members_known) = (report.wants_peers, report.members);
    let rates_known = report.rates_known;
    let takes_memory = report.takes_memory;
    if !from_seed {
        peers::record_report(state, &report);
        rates::record_report(state, &report);
        state.gossip.aggregate.borrow_mut().add_report(report, now);
    }
    refresh_sums(state);
    let aggregate = state.gossip.aggregate.borrow();
    let mut summary = if from_seed {
        aggregate.cluster_summary(known, now)
    } else {
        aggregate.fleet_summary(&from, known, now)
    };
    summary.loads = detail::decodable(summary.loads, takes_memory);
    summary.takes_memory = state.registry.borrow().knows_memory();
    summary = suspects::merge_and_add_to_summary(
        state,
        (evidence, suspects_known),
        known,
        from_seed,
        summary,
    );
    let permits = if from_seed { vec![] } else { issue_permits(state) };
    summary =
        limits::merge_and_add_to_summary(state, (&limits, limits_known), known, summary, permits);
    summary = rates::add_to_summary(state, rates_known, known, from_seed, summary);
    if !from_seed {
        summary = cold::add_to_summary(state, (&cold, permits_wanted), summary);
        summary.work = Some(state.fleet_work());
        if reports_demand {
            summary = demand::add_to_summary(state, summary);
        }
    }
    summary = peers::add_to_summary(state, &from, from_seed, wants_peers, summary);
    let members = state.resumption.members.borrow();
    summary.members = match members_known {
        Some(known) if from_seed => members.own_cluster(known),
        Some(known) => members.list_for(known),
        None => vec![],
    };
    summary.pause_ms = state.gossip.pace.borrow().pause(aggregate.node_count()).as_millis() as u32;
    let body = summary.encode();
    if !from_seed && !summary.complete {
        state.gossip.pace.borrow_mut().record_answer(body.len());
    }
    Response::build(StatusCode::OK).body(body).map_into_boxed_body()
}

/// Issues permits to one of this seed's nodes. Each seed issues an equal part of a limit, so that all seeds
/// together keep to it even while they can't reach each other.
fn issue_permits<A: Adapter>(state: &State<A>) -> Vec<(u32, u32)> {
    let issuers = state.node().seeds.len().max(1) as f64;
    let nodes = state.gossip.aggregate.borrow().node_count();
    state.rate_limits.issue(issuers, nodes, state.clock.now())
}

/// Sums all reports again, without what nodes needn't know.
fn refresh_sums<A: Adapter>(state: &State<A>) {
    let (registry, scheduler) = (state.registry.borrow(), state.driver.scheduler.borrow());
    let to_report = |load: Load| {
        let server = registry.server_by_wire_key(load.server);
        let engine = server.map(|server| detail::Engine {
            slots: scheduler.slots(server).unwrap_or_default(),
            cache_tokens: scheduler.cache_tokens(server),
            has_reserve: scheduler.has_reserve(server),
        });
        detail::needed(load, engine.unwrap_or_default())
    };
    let mut aggregate = state.gossip.aggregate.borrow_mut();
    let lifetime = state.gossip.pace.borrow().pause(aggregate.node_count()) * LIFETIME_PAUSES;
    aggregate.refresh(lifetime, to_report, state.clock.now());
}

/// This node's next report. `known` is its position in the seed's table; `seed_takes_memory` tells whether the seed can
/// decode rows with numbers on memory.
fn own_report<A: Adapter>(
    state: &State<A>,
    sent: &mut SentReports,
    known: Option<Position>,
    seed_takes_memory: bool,
) -> Report {
    let loads = detail::decodable(own_loads(state), seed_takes_memory);
    let (parts, sends) = (own_cached_parts(state), own_sends(state));
    let takes_memory = state.registry.borrow().knows_memory();
    let number = sent.record(loads.clone(), sends.clone());
    let from = state.node().name.clone();
    Report { from, number, known, loads, parts, sends, takes_memory, ..Report::default() }
}

/// Load of this node's requests at engines.
fn own_loads<A: Adapter>(state: &State<A>) -> Vec<Load> {
    let backlogs = state.driver.scheduler.borrow().backlogs(state.clock.now());
    let registry = state.registry.borrow();
    let load = |backlog: Backlog| {
        Some(Load {
            server: wire::key(&registry.server(backlog.server)?.name),
            prefill_ms: to_whole_units(&backlog.prefill, MS_PER_S),
            overdue_ms: to_whole_units(&backlog.overdue, MS_PER_S),
            occupied: to_whole_units(&backlog.occupied, 1.0),
            first_token_age_ms: backlog
                .since_first_token
                .map(|age| age.as_millis().try_into().unwrap_or(u32::MAX)),
            running_kilotokens: (backlog.running_tokens / TOKENS_PER_KILOTOKEN).round() as u32,
            inserted_kilotokens: (backlog.inserted_tokens / TOKENS_PER_KILOTOKEN).round() as u32,
        })
    };
    backlogs.into_iter().filter_map(load).collect()
}

/// Requests that this node sends to engines in ten seconds, by priority.
fn own_sends<A: Adapter>(state: &State<A>) -> Vec<u32> {
    to_whole_units(&state.driver.scheduler.borrow().send_rates(state.clock.now()), SENDS_SECONDS)
}

/// Amounts by priority, rounded to a smaller unit of which so many make one. Priorities at the end without an
/// amount are left out.
fn to_whole_units(amounts: &[f64], units: f64) -> Vec<u32> {
    let mut rounded: Vec<_> =
        amounts.iter().map(|amount| (amount * units).round() as u32).collect();
    let used = rounded.iter().rposition(|amount| *amount > 0).map_or(0, |last| last + 1);
    rounded.truncate(used);
    rounded
}

/// Parts of prompts that engines cache by this node's requests and that other nodes may not know of: the key of
/// the engine's name, and the part.
fn own_cached_parts<A: Adapter>(state: &State<A>) -> Vec<(u32, u64)> {
    let updates = state.driver.scheduler.borrow_mut().cache_updates(state.clock.now());
    let registry = state.registry.borrow();
    let row =
        |cached: Cached| Some((wire::key(&registry.server(cached.server)?.name), cached.part));
    updates.into_iter().filter_map(row).collect()
}

/// Hands the parts that other nodes report as cached to the scheduler.
fn apply_cached_parts<A: Adapter>(state: &State<A>, parts: &[(u32, u64)]) {
    let registry = state.registry.borrow();
    let cached = |row: &(u32, u64)| {
        Some(Cached { server: registry.server_by_wire_key(row.0)?, part: row.1 })
    };
    let reported = parts.iter().filter_map(cached);
    state.driver.scheduler.borrow_mut().apply_cache_updates(reported, state.clock.now());
}

/// Hands the load of all other nodes at engines and their rates of requests to the scheduler.
fn apply_peer_loads<A: Adapter>(state: &State<A>, loads: &[Load], sends: &[u32]) {
    let registry = state.registry.borrow();
    let seconds = |ms: &u32| f64::from(*ms) / MS_PER_S;
    let backlog = |load: &Load| {
        Some(Backlog {
            server: registry.server_by_wire_key(load.server)?,
            prefill: load.prefill_ms.iter().map(seconds).collect(),
            overdue: load.overdue_ms.iter().map(seconds).collect(),
            occupied: load.occupied.iter().map(|slots| f64::from(*slots)).collect(),
            since_first_token: load.first_token_age_ms.map(|ms| Duration::from_millis(ms.into())),
            running_tokens: f64::from(load.running_kilotokens) * TOKENS_PER_KILOTOKEN,
            inserted_tokens: f64::from(load.inserted_kilotokens) * TOKENS_PER_KILOTOKEN,
        })
    };
    let backlogs: Vec<_> = loads.iter().filter_map(backlog).collect();
    let sends: Vec<_> = sends.iter().map(|sends| f64::from(*sends) / SENDS_SECONDS).collect();
    let (mut scheduler, now) = (state.driver.scheduler.borrow_mut(), state.clock.now());
    scheduler.set_backlogs(&backlogs, now);
    scheduler.set_peer_send_rates(&sends, now);
}
