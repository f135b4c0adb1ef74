//! What a node tells whom and when, within a byte budget.
//!
//! The pattern: everything changes at once and there is more to tell than bytes to tell it in.
//! Telling peers in a fixed order would leave the last servers' counts old for ever. So each frame
//! starts with what matters most (its writer's work by tier, signs of life), then takes the
//! counts that moved furthest since this peer was told, then load reports, and uses what is left
//! to tell again what was told longest ago, which heals whatever a lost frame left wrong.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wire::{Demand, Frame, InFlight, Liveness, Load, Queued};
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::Budget;
use crate::view::{SUSPECT, Standing, View};

/// Bytes of a request's head around a frame, and of an answer's, as seen on the wire.
pub const REQUEST_HEAD: usize = 190;
/// See [`REQUEST_HEAD`].
pub const ANSWER_HEAD: usize = 100;
/// Longest frame that is written; a peer takes in several times as much.
const LONGEST: usize = 4096;
/// Room for lists that a frame has however little of the budget is left.
const LEAST: usize = 60;
/// A silent peer is tried on every so many turns: often enough that a healed partition is noticed
/// within seconds, seldom enough that an hour of it costs little.
const RETRY: u64 = 4;
/// Every so many turns, another cell is told how this one fares: with turns of half a second and
/// eight nodes a cell, one of them does so twice a second.
const LINK: u64 = 8;
/// Rows about other cells that a frame to a mate passes on at most: one cell of seven tiers.
const CELLS: usize = 7;
const CELL: usize = 15;
/// Workspaces that a frame tells of at most: a few are large, and the others seldom meet their limit.
const WORKSPACES: usize = 8;
/// Waiting work that a frame tells of at most, the highest tiers first: three models' for today's
/// tiers.
const WAITS: usize = 12;
/// Longest encodings of rows.
const ALIVE: usize = 11;
const SENT: usize = 9;
const LOAD: usize = 28;

derives::data! {
    /// What a node tells of itself.
    #[derive(Default)]
    pub struct Own {
        /// Name.
        pub name: String,
        /// Where its peers' listener is.
        pub address: String,
        /// Failure domain.
        pub domain: String,
        /// Number of its process start.
        pub incarnation: u64,
        /// Revision of the settings in force.
        pub revision: u64,
        /// Digest of the same.
        pub digest: u64,
        /// It takes no new work.
        pub leaving: bool,
        /// Requests in flight by server.
        pub sent: Vec<InFlight>,
        /// Work by tier.
        pub demand: Vec<Demand>,
        /// Work that waits, by model and tier.
        pub waits: Vec<Queued>,
        /// Requests in flight by workspace that has a limit.
        pub workspaces: Vec<InFlight>,
        /// Servers it suspects.
        pub suspects: Vec<u32>,
        /// Work of its cell, by tier, as far as it knows.
        pub cells: Vec<wire::Cell>,
    }

    /// A peer to exchange frames with.
    #[derive(Eq)]
    pub struct Target {
        /// Its name; empty for an address that isn't known by name yet.
        pub name: String,
        /// Where its peers' listener is.
        pub address: String,
    }
}

/// What one peer was told.
#[derive(Debug, Default)]
struct Told {
    incarnation: u64,
    sent: BTreeMap<u32, (u32, u64)>,
    loads: BTreeMap<u32, Instant>,
}

/// The exchange of one node with its peers.
#[derive(Debug)]
pub struct Exchange {
    budget: Budget,
    told: BTreeMap<String, Told>,
    beat: u64,
    turn: u64,
    link: u64,
    left: bool,
    bytes: u64,
}

impl Exchange {
    /// An exchange that sends `rate` bytes a second, heads included.
    pub fn new(rate: u32, now: Instant) -> Self {
        let budget = Budget::new(rate, now);
        Exchange { budget, told: BTreeMap::new(), beat: 0, turn: 0, link: 0, left: false, bytes: 0 }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, rate: u32) {
        self.budget.set_rate(rate);
    }

    /// Bytes written so far, heads included.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whom to exchange frames with now: in turn, as many as the budget bears. All at once, whatever
    /// the budget, when the node has begun to leave.
    pub fn targets(&mut self, own: &Own, view: &View, now: Instant) -> Vec<Target> {
        let mut peers: Vec<_> = view.mates().filter(|(_, m)| !m.address.is_empty()).collect();
        peers.sort_by_cached_key(|(_, member)| pair(wire::key(&own.name), member.key));
        let target = |(name, member): &(&str, &crate::Member)| Target {
            name: name.to_string(),
            address: member.address.clone(),
        };
        self.told.retain(|name, _| view.members().any(|(peer, _)| peer == name));
        if own.leaving && !self.left {
            self.left = true;
            return peers.iter().map(target).collect();
        }
        let cost = REQUEST_HEAD + 2 * LEAST;
        let mut bears = self.budget.left(now) / cost;
        let mut chosen = vec![];
        self.link += 1;
        let others: Vec<_> = view.others().collect();
        if self.link.is_multiple_of(LINK) && bears > 0 && !others.is_empty() {
            let draw = pair(wire::key(&own.name), self.link as u32);
            chosen.push(target(&others[(draw % others.len() as u64) as usize]));
            bears -= 1;
        }
        for _ in 0..peers.len() {
            if bears == 0 {
                break;
            }
            self.turn += 1;
            let count = peers.len() as u64;
            let (name, member) = peers[(self.turn % count) as usize];
            let silent = view.standing(member, now) == Standing::Silent;
            if silent && !(self.turn / count).is_multiple_of(RETRY) {
                continue;
            }
            chosen.push(target(&(name, member)));
            bears -= 1;
        }
        chosen
    }

    /// The frame for a peer.
    pub fn frame(&mut self, own: &Own, to: &str, view: &View, now: Instant) -> Frame {
        self.beat += 1;
        let mut frame = Frame {
            version: wire::VERSION,
            from: own.name.clone(),
            incarnation: own.incarnation,
            sequence: self.beat,
            address: own.address.clone(),
            domain: own.domain.clone(),
            revision: own.revision,
            digest: own.digest,
            leaving: own.leaving,
            demand: own.demand.clone(),
            suspects: own.suspects.clone(),
            queued: longest(&own.waits),
            workspaces: busiest(&own.workspaces),
            ..Default::default()
        };
        if view.others().any(|(name, _)| name == to) {
            frame.cells = own.cells.clone();
            frame.demand.clear();
            frame.workspaces.clear();
            frame.queued.clear();
            return frame;
        }
        let incarnation = view.members().find(|(name, _)| *name == to).map(|(_, m)| m.incarnation);
        let told = self.told.entry(to.to_string()).or_default();
        if incarnation.is_some_and(|incarnation| incarnation != told.incarnation) {
            *told = Told { incarnation: incarnation.unwrap_or(0), ..Default::default() };
        } else if !told.sent.is_empty() || !told.loads.is_empty() {
            // A peer that has heard from this process knows where it is.
            frame.address.clear();
            frame.domain.clear();
        }
        let saved = self.budget.left(now).saturating_sub(REQUEST_HEAD);
        let mut room = (saved / 2).clamp(LEAST, LONGEST);
        frame.liveness = alive(view, to, now, &mut room);
        let counts = counts(own, told);
        let moved = counts.iter().filter(|count| count.moved > 0);
        frame.in_flight = moved.map_while(|count| take(&mut room, SENT, count.sent)).collect();
        frame.loads = loads(view, told, now, &mut room);
        frame.cells = cells(view, now, &mut room);
        let mut rest: Vec<_> = counts.iter().filter(|count| count.moved == 0).collect();
        rest.sort_by_key(|count| count.beat);
        frame.in_flight.extend(rest.iter().map_while(|count| take(&mut room, SENT, count.sent)));
        frame
    }

    /// Notes what a frame costs: its bytes with the heads around them.
    pub fn spent(&mut self, bytes: usize) {
        self.budget.take(bytes);
        self.bytes += bytes as u64;
    }

    /// Notes that a peer has taken in a frame, or was answered with it. An answer that is lost
    /// after all is healed by telling again.
    pub fn told(&mut self, to: &str, frame: &Frame, now: Instant) {
        let Some(told) = self.told.get_mut(to) else { return };
        for sent in &frame.in_flight {
            told.sent.insert(sent.key, (sent.count, frame.sequence));
        }
        // Zeros that were told need no memory; the rest is bounded by the servers of the cell.
        told.sent.retain(|_, (count, beat)| *count > 0 || *beat == frame.sequence);
        for load in &frame.loads {
            let at = now.checked_sub(Duration::from_millis(load.age_ms.into())).unwrap_or(now);
            told.loads.insert(load.server, at);
        }
    }
}

fn longest(waits: &[Queued]) -> Vec<Queued> {
    let mut longest = waits.to_vec();
    longest.sort_by_key(|row| (row.tier, std::cmp::Reverse(row.count)));
    longest.truncate(WAITS);
    longest
}

fn busiest(workspaces: &[InFlight]) -> Vec<InFlight> {
    let mut busiest = workspaces.to_vec();
    busiest.sort_by_key(|row| (std::cmp::Reverse(row.count), row.key));
    busiest.truncate(WORKSPACES);
    busiest
}

struct Count {
    sent: InFlight,
    moved: u32,
    beat: u64,
}

/// Counts of requests in flight, those that moved furthest first.
fn counts(own: &Own, told: &Told) -> Vec<Count> {
    let known = |server| told.sent.get(&server).copied().unwrap_or((0, 0));
    let one = |sent: InFlight| {
        let (count, beat) = known(sent.key);
        Count { sent, moved: count.abs_diff(sent.count), beat }
    };
    let mut counts: Vec<_> = own.sent.iter().copied().map(one).collect();
    let gone = told.sent.keys().filter(|key| !own.sent.iter().any(|sent| sent.key == **key));
    counts.extend(gone.map(|server| one(InFlight { key: *server, count: 0 })));
    counts.sort_by_key(|count| (std::cmp::Reverse(count.moved), count.beat));
    counts
}

fn alive(view: &View, to: &str, now: Instant, room: &mut usize) -> Vec<Liveness> {
    let others = view.members().filter(|(name, _)| *name != to).map(|(_, member)| member);
    let signs = others.filter_map(|member| Some((member.alive?, member.key)));
    let mut signs: Vec<_> = signs.filter(|(at, _)| now - *at < SUSPECT).collect();
    signs.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let rows = signs.into_iter().map(|(at, node)| Liveness {
        node,
        age_ms: now.saturating_duration_since(at).as_millis() as u32,
    });
    rows.map_while(|row| take(room, ALIVE, row)).collect()
}

fn loads(view: &View, told: &Told, now: Instant, room: &mut usize) -> Vec<Load> {
    let news = view.loads().filter(|r| told.loads.get(&r.load.server).is_none_or(|at| *at < r.at));
    let mut news: Vec<_> = news.collect();
    news.sort_by_key(|reported| told.loads.get(&reported.load.server).copied());
    let rows = news.into_iter().map(|reported| Load {
        age_ms: now.saturating_duration_since(reported.at).as_millis() as u32,
        ..reported.load
    });
    rows.map_while(|row| take(room, LOAD, row)).collect()
}

/// What other cells told last.
fn cells(view: &View, now: Instant, room: &mut usize) -> Vec<wire::Cell> {
    let mut known: Vec<_> = view.cells().collect();
    known.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let rows = known.into_iter().take(CELLS).map(|(at, cell)| wire::Cell {
        age_ms: now.saturating_duration_since(*at).as_millis() as u32,
        ..*cell
    });
    rows.map_while(|row| take(room, CELL, row)).collect()
}

fn take<T>(room: &mut usize, bytes: usize, row: T) -> Option<T> {
    *room = room.checked_sub(bytes)?;
    Some(row)
}

fn pair(own: u32, other: u32) -> u64 {
    xxh3_64(&((u64::from(own) << 32) | u64::from(other)).to_le_bytes())
}
