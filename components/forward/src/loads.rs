//! Nodes tell each other what engines have still to read of their prompts, so that each of them sends
//! to engines by what all have sent. The policy that it serves is in `policy::backlog`.
//!
//! Nodes know each other only by the seeds of their settings. Each other node tells a seed of its own
//! prompts, several times a second, and is answered with those of all others; seeds tell each other. A
//! seed says how soon to come back, so that it is called no more often in a fleet of hundreds. Nothing
//! depends on it: a node that hears nothing goes by its own prompts.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use clock::Clock;
use policy::{Backlog, Holding};
use wire::loads::{Heard, Load, Told};

use crate::answer::Answer;
use crate::seam::Site;
use crate::state::State;

/// Path at which other nodes tell a seed.
pub(crate) const NODES: &str = "/loads";
/// Path at which seeds tell each other.
pub(crate) const SEEDS: &str = "/loads/seeds";
/// Time between two calls of a node at least: a long prompt takes an engine about as long to read.
const PAUSE: Duration = Duration::from_millis(150);
/// Time between two calls that a seed takes from all nodes together: a hundred a second take it 2% of a
/// core.
const EACH: Duration = Duration::from_millis(5);
/// Time in which a seed answers, the way between two regions and back several times over.
const ANSWER: Duration = Duration::from_millis(300);
/// A seed that gave no answer is tried again after this: one that starts anew is gone for a second or two.
const SILENT: Duration = Duration::from_secs(2);
/// What a node told counts for so long, in pauses of its own: one call may be lost.
const COUNTS: u32 = 3;
/// Engines that one message names, those that a node must avoid most: some 1.5 KB.
const ROWS: usize = 128;
/// Parts of prompts that one message names: some 10 KB. 71 nodes on a heavy day tell of several hundred in
/// each; with 128 engines read so much anew that a tenth of all worth was lost.
const PARTS: usize = 1_024;
/// Milliseconds in a second.
const MILLIS: f64 = 1_000.0;
/// Rates are told as requests in so many seconds, in whole numbers.
const RATE_SECONDS: f64 = 10.0;
/// Part of an engine's places from which on those that are taken are passed on: below, nobody waits for one,
/// and a row for each engine that is used would be most of a message.
const CROWDED: f64 = 0.5;
/// Largest message that is read.
const LARGEST: usize = 64 << 10;

/// Whom a table was told of by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Teller {
    Node,
    Seed,
}

#[derive(Debug)]
struct Entry {
    teller: Teller,
    loads: Vec<Load>,
    parts: Vec<(u32, u64)>,
    sends: Vec<u32>,
    told: Instant,
}

/// What a seed was told.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: RefCell<HashMap<String, Entry>>,
}

impl Table {
    fn note(&self, teller: Teller, told: Told, now: Instant) {
        let mut entries = self.entries.borrow_mut();
        let nodes = entries.len();
        entries.retain(|_, entry| now < entry.told + pause(nodes) * COUNTS);
        let Told { from, loads, parts, sends } = told;
        entries.insert(from, Entry { teller, loads, parts, sends, told: now });
    }

    /// What all have that `counts` holds for.
    fn sum(&self, counts: impl Fn(&str, Teller) -> bool, own: &[Load]) -> Vec<Load> {
        let entries = self.entries.borrow();
        let told = entries.iter().filter(|(name, entry)| counts(name, entry.teller));
        let loads = told.flat_map(|(_, entry)| &entry.loads).chain(own);
        let mut sums: HashMap<u32, Load> = HashMap::new();
        for load in loads {
            let empty = || Load { server: load.server, ..Load::default() };
            sums.entry(load.server).or_insert_with(empty).add(load);
        }
        fullest(sums.into_values().collect())
    }

    /// Parts at engines that all have seen that `counts` holds for.
    fn parts(&self, counts: impl Fn(&str, Teller) -> bool, own: &[(u32, u64)]) -> Vec<(u32, u64)> {
        let entries = self.entries.borrow();
        let told = entries.iter().filter(|(name, entry)| counts(name, entry.teller));
        let all: BTreeSet<_> = told.flat_map(|(_, entry)| &entry.parts).chain(own).collect();
        all.into_iter().copied().take(PARTS).collect()
    }

    /// Requests in ten seconds that all send that `counts` holds for, by rank.
    fn sends(&self, counts: impl Fn(&str, Teller) -> bool, own: &[u32]) -> Vec<u32> {
        let entries = self.entries.borrow();
        let told = entries.iter().filter(|(name, entry)| counts(name, entry.teller));
        let mut sum = own.to_vec();
        for (_, entry) in told {
            wire::loads::merge(&mut sum, &entry.sends, u32::saturating_add);
        }
        sum
    }

    fn nodes(&self) -> usize {
        self.entries.borrow().len()
    }
}

/// The engines that have most to read, as many as one message names.
fn fullest(mut loads: Vec<Load>) -> Vec<Load> {
    let weight = |load: &Load| {
        let all = load.reading_ms.iter().chain(&load.overdue_ms).chain(&load.taken);
        std::cmp::Reverse(all.fold(0_u32, |sum, ms| sum.saturating_add(*ms)))
    };
    loads.sort_by_key(|load| (weight(load), load.server));
    loads.truncate(ROWS);
    loads
}

/// Time between two calls of each of so many nodes.
fn pause(nodes: usize) -> Duration {
    PAUSE.max(EACH * u32::try_from(nodes).unwrap_or(u32::MAX))
}

/// A seed as seen from one node.
#[derive(Debug)]
struct Seed {
    address: SocketAddr,
    /// The least time in which it answered; none at all before the first time.
    took: Duration,
    /// It gave no answer, and isn't asked before then.
    silent: Option<Instant>,
}

/// The seeds that a node may tell. Settings don't say which of them stands in the node's region, and what
/// crosses to another is paid by volume: the one that answers soonest is the nearest.
#[derive(Debug)]
struct Seeds(Vec<Seed>);

impl Seeds {
    fn new(seeds: Vec<SocketAddr>) -> Self {
        let seed = |address| Seed { address, took: Duration::ZERO, silent: None };
        Seeds(seeds.into_iter().map(seed).collect())
    }

    /// The nearest that isn't silent, each of them once before it is known; else the one that is tried
    /// again first.
    fn nearest(&self, now: Instant) -> Option<SocketAddr> {
        let order = |seed: &&Seed| (seed.silent.filter(|until| now < *until), seed.took);
        self.0.iter().min_by_key(order).map(|seed| seed.address)
    }

    /// Notes in what time a seed answered; none if it didn't.
    fn answered(&mut self, address: SocketAddr, took: Option<Duration>, now: Instant) {
        let Some(seed) = self.0.iter_mut().find(|seed| seed.address == address) else { return };
        seed.silent = took.is_none().then_some(now + SILENT);
        if let Some(took) = took {
            seed.took = if seed.took.is_zero() { took } else { took.min(seed.took) };
        }
    }
}

/// Starts the task; it ends with the node.
pub(crate) fn start<S: Site>(state: &Rc<State<S>>) {
    if state.is_seed() {
        actix_rt::spawn(as_seed(Rc::downgrade(state)));
    } else {
        actix_rt::spawn(as_node(Rc::downgrade(state)));
    }
}

/// Tells a seed, and takes in what it answers; goes on to another where it doesn't.
async fn as_node<S: Site>(weak: Weak<State<S>>) {
    let Some(mut seeds) = weak.upgrade().map(|state| Seeds::new(state.seeds())) else { return };
    while let Some(state) = weak.upgrade() {
        let asked = state.clock.now();
        let Some(seed) = seeds.nearest(asked) else { return };
        let (loads, parts) = (own(&state), own_parts(&state));
        let from = state.node().name.clone();
        let told = Told { from, loads, parts, sends: own_sends(&state) };
        let answer = call(&state, seed, NODES, told).await;
        let now = state.clock.now();
        let took = answer.as_ref().ok().map(|_| now.saturating_duration_since(asked));
        seeds.answered(seed, took, now);
        let pause = match answer {
            Ok(heard) => {
                take(&state, &heard.loads, &heard.sends);
                take_parts(&state, &heard.parts);
                Duration::from_millis(heard.pause_ms.into()).max(PAUSE)
            }
            Err(cause) => {
                log::debug!(cause = cause.as_str(); "a seed wasn't told of loads");
                PAUSE
            }
        };
        drop(state);
        tokio::time::sleep(pause).await;
    }
}

/// Tells the other seeds of this node and of those that told it.
async fn as_seed<S: Site>(weak: Weak<State<S>>) {
    while let Some(state) = weak.upgrade() {
        let loads = state.loads.sum(|_, teller| teller == Teller::Node, &own(&state));
        let parts = state.loads.parts(|_, teller| teller == Teller::Node, &own_parts(&state));
        let sends = state.loads.sends(|_, teller| teller == Teller::Node, &own_sends(&state));
        let from = state.node().name.clone();
        let all = Told { from, loads, parts, sends };
        for seed in state.exchanged() {
            let told = all.clone();
            let state = state.clone();
            actix_rt::spawn(async move {
                if let Err(cause) = call(&state, seed, SEEDS, told).await {
                    log::debug!(cause = cause.as_str(); "a seed wasn't told of loads");
                }
            });
        }
        let others = state.loads.sends(|_, _| true, &[]);
        take(&state, &state.loads.sum(|_, _| true, &[]), &others);
        take_parts(&state, &state.loads.parts(|_, _| true, &[]));
        drop(state);
        tokio::time::sleep(PAUSE).await;
    }
}

async fn call<S: Site>(
    state: &State<S>,
    seed: SocketAddr,
    path: &str,
    told: Told,
) -> Result<Heard, String> {
    let request = state.peers.post(format!("http://{seed}{path}")).timeout(ANSWER);
    let mut response = request.send_body(told.encode()).await.map_err(|cause| cause.to_string())?;
    let body = response.body().limit(LARGEST).await.map_err(|cause| cause.to_string())?;
    match response.status() {
        StatusCode::OK => Heard::decode(&body).map_err(|cause| cause.to_string()),
        status => Err(format!("seed {seed} answered with status {status}")),
    }
}

/// Answers a node or another seed.
pub(crate) async fn handle<S: Site>(state: &Rc<State<S>>, mut request: Request) -> Answer {
    let teller = if request.path() == SEEDS { Teller::Seed } else { Teller::Node };
    let body = match listen::whole(&mut request, LARGEST).await {
        Ok(body) => body,
        Err(unread) => return unread.answer(),
    };
    listen::received(&request);
    let Ok(told) = Told::decode(&body) else {
        return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
    };
    let from = told.from.clone();
    state.loads.note(teller, told, state.clock.now());
    let pause_ms = pause(state.loads.nodes()).as_millis() as u32;
    let others = |name: &str, _| teller == Teller::Node && name != from;
    let heard = match teller {
        Teller::Node => Heard {
            pause_ms,
            loads: worth_passing_on(state, state.loads.sum(others, &own(state))),
            parts: state.loads.parts(others, &own_parts(state)),
            sends: state.loads.sends(others, &own_sends(state)),
        },
        Teller::Seed => Heard { pause_ms, ..Heard::default() },
    };
    Response::build(StatusCode::OK).body(heard.encode()).map_into_boxed_body()
}

/// Leaves out engines at which nobody waits and most places are free. Seeds tell each other of those as well:
/// each knows but a part of what is taken, and of when an engine was last seen to begin an answer.
fn worth_passing_on<S: Site>(state: &State<S>, mut loads: Vec<Load>) -> Vec<Load> {
    let (names, scheduler) = (state.names.borrow(), state.turns.scheduler.borrow());
    loads.retain(|load| {
        let slots = names.keyed(load.server).and_then(|server| scheduler.slots(server));
        let crowded = f64::from(slots.unwrap_or_default()) * CROWDED;
        let taken: u32 = load.taken.iter().sum();
        !load.reading_ms.is_empty() || !load.overdue_ms.is_empty() || f64::from(taken) >= crowded
    });
    loads
}

/// What this node's prompts take engines to read.
fn own<S: Site>(state: &State<S>) -> Vec<Load> {
    let backlogs = state.turns.scheduler.borrow().backlogs(state.clock.now());
    let names = state.names.borrow();
    let load = |backlog: Backlog| {
        Some(Load {
            server: wire::key(&names.server(backlog.server)?.name),
            reading_ms: by_rank(&backlog.reading, MILLIS),
            overdue_ms: by_rank(&backlog.overdue, MILLIS),
            taken: by_rank(&backlog.taken, 1.0),
            begun_ms: backlog.begun.map(|age| age.as_millis().try_into().unwrap_or(u32::MAX)),
        })
    };
    backlogs.into_iter().filter_map(load).collect()
}

/// Requests that this node sends to engines in ten seconds, by rank.
fn own_sends<S: Site>(state: &State<S>) -> Vec<u32> {
    by_rank(&state.turns.scheduler.borrow().sends(state.clock.now()), RATE_SECONDS)
}

/// Amounts by rank in a smaller unit; ranks at the end that have none are left out.
fn by_rank(amounts: &[f64], units: f64) -> Vec<u32> {
    let mut told: Vec<_> = amounts.iter().map(|amount| (amount * units).round() as u32).collect();
    let held = told.iter().rposition(|amount| *amount > 0).map_or(0, |last| last + 1);
    told.truncate(held);
    told
}

/// Parts of prompts that this node saw engines keep, where it is news.
fn own_parts<S: Site>(state: &State<S>) -> Vec<(u32, u64)> {
    let news = state.turns.scheduler.borrow_mut().holdings(state.clock.now());
    let names = state.names.borrow();
    let row =
        |holding: Holding| Some((wire::key(&names.server(holding.server)?.name), holding.part));
    news.into_iter().filter_map(row).collect()
}

/// Takes in what others saw engines keep.
fn take_parts<S: Site>(state: &State<S>, parts: &[(u32, u64)]) {
    let names = state.names.borrow();
    let holding = |row: &(u32, u64)| Some(Holding { server: names.keyed(row.0)?, part: row.1 });
    let heard = parts.iter().filter_map(holding);
    state.turns.scheduler.borrow_mut().set_holdings(heard, state.clock.now());
}

/// Takes in what all other nodes' requests take of engines, and how many they send.
fn take<S: Site>(state: &State<S>, loads: &[Load], sends: &[u32]) {
    let names = state.names.borrow();
    let seconds = |ms: &u32| f64::from(*ms) / MILLIS;
    let backlog = |load: &Load| {
        Some(Backlog {
            server: names.keyed(load.server)?,
            reading: load.reading_ms.iter().map(seconds).collect(),
            overdue: load.overdue_ms.iter().map(seconds).collect(),
            taken: load.taken.iter().map(|places| f64::from(*places)).collect(),
            begun: load.begun_ms.map(|ms| Duration::from_millis(ms.into())),
        })
    };
    let backlogs: Vec<_> = loads.iter().filter_map(backlog).collect();
    let sends: Vec<_> = sends.iter().map(|sends| f64::from(*sends) / RATE_SECONDS).collect();
    let (mut scheduler, now) = (state.turns.scheduler.borrow_mut(), state.clock.now());
    scheduler.set_backlogs(&backlogs, now);
    scheduler.set_sends(&sends, now);
}

#[cfg(test)]
mod tests;
