//! Nodes report to each other what they have at engines, so that each of them sends by what all have sent.
//! The decisions that it serves are in `policy::backlog`, `policy::places` and `policy::cache`.
//!
//! Nodes know each other only by the seeds of their settings. Each other node reports to a seed several
//! times a second, and is answered with what changed at all others; seeds ask each other. A seed says how
//! soon to come back, so that its link isn't filled by a fleet of hundreds. Nothing depends on it: a node
//! that hears nothing goes by its own requests.

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
use crate::state::State;

mod cursor;
mod limits;
mod pace;
mod seeds;
mod suspects;
mod table;

use cursor::Cursor;
use pace::Pace;
use seeds::Seeds;
use table::{Hub, Sent, View};

/// Path at which nodes report to a seed.
pub(crate) const NODES: &str = "/gossip";
/// Path at which seeds ask each other.
pub(crate) const SEEDS: &str = "/gossip/seeds";
/// Time between two calls of a node at least: a long prompt takes an engine about as long to read.
const PAUSE: Duration = Duration::from_millis(150);
/// Time between two questions of a seed to another.
const SEED_PAUSE: Duration = Duration::from_millis(100);
/// Time in which a seed answers, the way between two regions and back several times over.
const ANSWER: Duration = Duration::from_millis(300);
/// Time for which a report counts, in pauses of its node: one call may be lost.
const COUNTS: u32 = 3;
/// Milliseconds in a second.
const MILLIS: f64 = 1_000.0;
/// Rates are reported as requests in so many seconds, in whole numbers.
const RATE_SECONDS: f64 = 10.0;
/// Part of an engine's places from which on those that are taken are passed on: below, nobody waits for one.
const CROWDED: f64 = 0.5;
/// Largest report that is read, in bytes.
const LARGEST_REPORT: usize = 256 << 10;
/// Largest summary that is read, in bytes: some thousands of engines.
const LARGEST_SUMMARY: usize = 1 << 20;

/// The state of a node's exchange with others.
#[derive(Debug)]
pub(crate) struct Gossip {
    /// What this node knows as a seed.
    hub: RefCell<Hub>,
    pace: RefCell<Pace>,
}

impl Gossip {
    /// For a node whose process has a random number and whose link carries so many bytes a second.
    pub(crate) fn new(boot: u32, link_bytes: f64) -> Self {
        Gossip {
            hub: RefCell::new(Hub::new(boot)),
            pace: RefCell::new(Pace::new(PAUSE, link_bytes)),
        }
    }
}

/// Starts the task; it ends with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    if state.is_seed() {
        for seed in state.other_seeds() {
            actix_rt::spawn(ask_seed(Rc::downgrade(state), seed));
        }
        actix_rt::spawn(as_seed(Rc::downgrade(state)));
    } else {
        actix_rt::spawn(as_node(Rc::downgrade(state)));
    }
}

/// Reports to a seed, and takes in what it answers; goes on to another where it doesn't.
async fn as_node<A: Adapter>(weak: Weak<State<A>>) {
    let Some(mut seeds) = weak.upgrade().map(|state| Seeds::new(state.seeds())) else { return };
    let (mut view, mut sent, mut last) = (View::default(), Sent::default(), None);
    let (mut suspicions, mut limited) = (Cursor::default(), Cursor::default());
    while let Some(state) = weak.upgrade() {
        let asked = state.clock.now();
        let Some(seed) = seeds.nearest(asked) else {
            crate::limits::alone(&state);
            drop(state);
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if last.replace(seed) != Some(seed) {
            view = View::default();
            (suspicions, limited) = (Cursor::default(), Cursor::default());
        }
        let report = own_report(&state, &mut sent, view.at());
        let report = suspects::report(&state, &mut suspicions, report);
        let report = limits::report(&state, &mut limited, report);
        let answer = call(&state, seed, NODES, report).await;
        let now = state.clock.now();
        let took = answer.as_ref().ok().map(|_| now.saturating_duration_since(asked));
        seeds.answered(seed, took, now);
        let pause = match answer {
            Ok(summary) => {
                let pause = Duration::from_millis(summary.pause_ms.into()).max(PAUSE);
                take_parts(&state, &summary.parts);
                suspects::answered(&state, &mut suspicions, &summary);
                limits::answered(&state, &mut limited, &summary);
                state.rate_limits.answered(now);
                view.apply(summary, now);
                let (loads, sends) = sent.others(&view, now);
                take(&state, &loads, &sends);
                pause
            }
            Err(cause) => {
                log::debug!(cause = cause.as_str(); "a seed took no report");
                crate::limits::alone(&state);
                PAUSE
            }
        };
        drop(state);
        tokio::time::sleep(pause).await;
    }
}

/// Sums what nodes report and other seeds know, for this node's own decisions too.
async fn as_seed<A: Adapter>(weak: Weak<State<A>>) {
    let (mut view, mut sent) = (View::default(), Sent::default());
    while let Some(state) = weak.upgrade() {
        let now = state.clock.now();
        let name = state.node().name.clone();
        let report = own_report(&state, &mut sent, None);
        state.gossip.hub.borrow_mut().report(report, now);
        refresh(&state);
        let summary = state.gossip.hub.borrow().fleet(&name, view.at(), now);
        take_parts(&state, &summary.parts);
        view.apply(summary, now);
        let (loads, sends) = sent.others(&view, now);
        take(&state, &loads, &sends);
        let permits = issue(&state);
        crate::limits::permit(&state, &permits);
        drop(state);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks another seed for what changed in its cluster.
async fn ask_seed<A: Adapter>(weak: Weak<State<A>>, seed: SocketAddr) {
    let (name, mut suspicions, mut limited) =
        (seed.to_string(), Cursor::default(), Cursor::default());
    while let Some(state) = weak.upgrade() {
        let known = state.gossip.hub.borrow().seed(&name);
        let report = Report { from: state.node().name.clone(), known, ..Report::default() };
        let report = suspects::report(&state, &mut suspicions, report);
        let report = limits::report(&state, &mut limited, report);
        let answer = call(&state, seed, SEEDS, report).await;
        let now = state.clock.now();
        match answer {
            Ok(summary) => {
                suspects::answered(&state, &mut suspicions, &summary);
                limits::answered(&state, &mut limited, &summary);
                let parts = state.gossip.hub.borrow_mut().learn(&name, summary, now);
                take_parts(&state, &parts);
            }
            Err(cause) => log::debug!(cause = cause.as_str(); "a seed gave no answer"),
        }
        drop(state);
        tokio::time::sleep(SEED_PAUSE).await;
    }
}

async fn call<A: Adapter>(
    state: &State<A>,
    seed: SocketAddr,
    path: &str,
    report: Report,
) -> Result<Summary, String> {
    let request = state.peer_client.post(format!("http://{seed}{path}")).timeout(ANSWER);
    let sent = request.send_body(report.encode()).await;
    let mut response = sent.map_err(|cause| cause.to_string())?;
    let body = response.body().limit(LARGEST_SUMMARY).await.map_err(|cause| cause.to_string())?;
    match response.status() {
        StatusCode::OK => Summary::decode(&body).map_err(|cause| cause.to_string()),
        status => Err(format!("seed {seed} answered with status {status}")),
    }
}

/// Answers a node or another seed.
pub(crate) async fn handle<A: Adapter>(state: &Rc<State<A>>, mut request: Request) -> Answer {
    let from_seed = request.path() == SEEDS;
    let body = match listen::whole(&mut request, LARGEST_REPORT).await {
        Ok(body) => body,
        Err(unread) => return unread.answer(),
    };
    listen::received(&request);
    let Ok(mut report) = Report::decode(&body) else {
        return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
    };
    let now = state.clock.now();
    let (from, known) = (report.from.clone(), report.known);
    let (accused, suspects_known) = (std::mem::take(&mut report.suspects), report.suspects_known);
    let (named, limits_known) = (std::mem::take(&mut report.limits), report.limits_known);
    if !from_seed {
        state.gossip.hub.borrow_mut().report(report, now);
    }
    refresh(state);
    let hub = state.gossip.hub.borrow();
    let mut summary =
        if from_seed { hub.cluster(known, now) } else { hub.fleet(&from, known, now) };
    summary = suspects::answer(state, (&accused, suspects_known), known, from_seed, summary);
    let permits = if from_seed { vec![] } else { issue(state) };
    summary = limits::answer(state, (&named, limits_known), known, summary, permits);
    summary.pause_ms = state.gossip.pace.borrow().pause(hub.nodes()).as_millis() as u32;
    let body = summary.encode();
    if !from_seed && !summary.whole {
        state.gossip.pace.borrow_mut().answered(body.len());
    }
    Response::build(StatusCode::OK).body(body).map_into_boxed_body()
}

/// Permits for one of this seed's nodes. Each seed hands out an equal part, so that together they keep to
/// what servers take though they can't reach each other.
fn issue<A: Adapter>(state: &State<A>) -> Vec<(u32, u32)> {
    let issuers = state.node().seeds.len().max(1) as f64;
    let nodes = state.gossip.hub.borrow().nodes();
    state.rate_limits.issue(issuers, nodes, state.clock.now())
}

/// Sums all reports anew. Engines at which nobody waits and most places are free aren't worth telling.
fn refresh<A: Adapter>(state: &State<A>) {
    let (names, scheduler) = (state.registry.borrow(), state.driver.scheduler.borrow());
    let worth = |mut load: Load| {
        let slots =
            names.server_by_wire_key(load.server).and_then(|server| scheduler.slots(server));
        let taken: u32 = load.taken.iter().sum();
        if f64::from(taken) < f64::from(slots.unwrap_or_default()) * CROWDED {
            load.taken.clear();
        }
        let some = [&load.reading_ms, &load.overdue_ms, &load.taken];
        some.iter().any(|amounts| !amounts.is_empty()).then_some(load)
    };
    let mut hub = state.gossip.hub.borrow_mut();
    let counts = state.gossip.pace.borrow().pause(hub.nodes()) * COUNTS;
    hub.refresh(counts, worth, state.clock.now());
}

/// What this node has at engines.
fn own_report<A: Adapter>(state: &State<A>, sent: &mut Sent, known: Option<Position>) -> Report {
    let (loads, parts, sends) = (own(state), own_parts(state), own_sends(state));
    let number = sent.add(loads.clone(), sends.clone());
    let from = state.node().name.clone();
    Report { from, number, known, loads, parts, sends, ..Report::default() }
}

/// What this node's prompts take engines to read.
fn own<A: Adapter>(state: &State<A>) -> Vec<Load> {
    let backlogs = state.driver.scheduler.borrow().backlogs(state.clock.now());
    let names = state.registry.borrow();
    let load = |backlog: Backlog| {
        Some(Load {
            server: wire::key(&names.server(backlog.server)?.name),
            reading_ms: by_rank(&backlog.prefill, MILLIS),
            overdue_ms: by_rank(&backlog.overdue, MILLIS),
            taken: by_rank(&backlog.occupied, 1.0),
            begun_ms: backlog
                .since_first_token
                .map(|age| age.as_millis().try_into().unwrap_or(u32::MAX)),
        })
    };
    backlogs.into_iter().filter_map(load).collect()
}

/// Requests that this node sends to engines in ten seconds, by rank.
fn own_sends<A: Adapter>(state: &State<A>) -> Vec<u32> {
    by_rank(&state.driver.scheduler.borrow().send_rates(state.clock.now()), RATE_SECONDS)
}

/// Amounts by rank in a smaller unit; ranks at the end that have none are left out.
fn by_rank(amounts: &[f64], units: f64) -> Vec<u32> {
    let mut ranked: Vec<_> = amounts.iter().map(|amount| (amount * units).round() as u32).collect();
    let used = ranked.iter().rposition(|amount| *amount > 0).map_or(0, |last| last + 1);
    ranked.truncate(used);
    ranked
}

/// Parts of prompts that this node saw engines keep, that others haven't heard of.
fn own_parts<A: Adapter>(state: &State<A>) -> Vec<(u32, u64)> {
    let updates = state.driver.scheduler.borrow_mut().cache_updates(state.clock.now());
    let names = state.registry.borrow();
    let row = |cached: Cached| Some((wire::key(&names.server(cached.server)?.name), cached.part));
    updates.into_iter().filter_map(row).collect()
}

/// Takes in what others saw engines keep.
fn take_parts<A: Adapter>(state: &State<A>, parts: &[(u32, u64)]) {
    let names = state.registry.borrow();
    let cached =
        |row: &(u32, u64)| Some(Cached { server: names.server_by_wire_key(row.0)?, part: row.1 });
    let reported = parts.iter().filter_map(cached);
    state.driver.scheduler.borrow_mut().apply_cache_updates(reported, state.clock.now());
}

/// Takes in what all other nodes' requests take of engines, and how many they send.
fn take<A: Adapter>(state: &State<A>, loads: &[Load], sends: &[u32]) {
    let names = state.registry.borrow();
    let seconds = |ms: &u32| f64::from(*ms) / MILLIS;
    let backlog = |load: &Load| {
        Some(Backlog {
            server: names.server_by_wire_key(load.server)?,
            prefill: load.reading_ms.iter().map(seconds).collect(),
            overdue: load.overdue_ms.iter().map(seconds).collect(),
            occupied: load.taken.iter().map(|places| f64::from(*places)).collect(),
            since_first_token: load.begun_ms.map(|ms| Duration::from_millis(ms.into())),
        })
    };
    let backlogs: Vec<_> = loads.iter().filter_map(backlog).collect();
    let sends: Vec<_> = sends.iter().map(|sends| f64::from(*sends) / RATE_SECONDS).collect();
    let (mut scheduler, now) = (state.driver.scheduler.borrow_mut(), state.clock.now());
    scheduler.set_backlogs(&backlogs, now);
    scheduler.set_peer_send_rates(&sends, now);
}
