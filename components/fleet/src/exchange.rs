//! Chooses which peers get a frame and what it contains, within a byte budget.
//!
//! When everything changes at once, there is more to report than the budget allows. Reporting in a fixed
//! order would leave the counts of the last servers old for ever. So each frame starts with what matters
//! most (the sender's work by tier, signs of life), followed by the counts that changed most since the last
//! report to this peer, then by load reports. What is left of the budget repeats the counts that were
//! reported longest ago, which repairs whatever a lost frame left wrong.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wire::{Demand, Frame, InFlight, Liveness, Load, Queued};
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::Budget;
use crate::view::{MemberStatus, SUSPECT_AFTER, View};

/// Bytes on the wire around the frame in a request: its HTTP head and lower layers.
pub const REQUEST_OVERHEAD_BYTES: usize = 190;
/// Bytes on the wire around the frame in an answer, as [`REQUEST_OVERHEAD_BYTES`].
pub const ANSWER_OVERHEAD_BYTES: usize = 100;
/// Largest size of the lists in a frame; a peer accepts frames several times as long.
const MAX_LIST_BYTES: usize = 4096;
/// Bytes that a frame may use for lists however little of the budget is left.
const MIN_LIST_BYTES: usize = 60;
/// Number of turns after which an unreachable peer is tried again: often enough to notice the end of a
/// partition within seconds, seldom enough that an hour of it costs little.
const UNREACHABLE_RETRY_TURNS: u64 = 4;
/// Number of turns after which a node reports its cell's work to another cell: with turns of half a second
/// and eight nodes in a cell, one of them does so twice a second.
const OTHER_CELL_TURNS: u64 = 8;
/// Largest number of rows about other cells in a frame to a peer of the own cell: one cell with seven tiers.
const MAX_CELL_ROWS: usize = 7;
/// Longest encoding of a [`wire::Cell`].
const CELL_ROW_BYTES: usize = 15;
/// Largest number of workspaces in a frame: a few are large, and the others seldom reach their limit.
const MAX_WORKSPACE_ROWS: usize = 8;
/// Largest number of rows about queued work in a frame, the highest tiers first: enough for all
/// tiers of three models.
const MAX_QUEUED_ROWS: usize = 12;
/// Longest encoding of a [`Liveness`].
const LIVENESS_ROW_BYTES: usize = 11;
/// Longest encoding of an [`InFlight`].
const IN_FLIGHT_ROW_BYTES: usize = 9;
/// Longest encoding of a [`Load`].
const LOAD_ROW_BYTES: usize = 28;

derives::data! {
    /// A node's own state, as it reports it to peers.
    #[derive(Default)]
    pub struct LocalState {
        /// Name of the node.
        pub name: String,
        /// Address of its listener for peers.
        pub address: String,
        /// Failure domain.
        pub domain: String,
        /// Start time of its process, in milliseconds since 1970.
        pub incarnation: u64,
        /// Revision of the settings in force.
        pub revision: u64,
        /// Digest of the settings in force.
        pub digest: u64,
        /// Whether it is leaving and accepts no new work.
        pub leaving: bool,
        /// Requests in flight by server.
        pub in_flight: Vec<InFlight>,
        /// Work by tier.
        pub demand: Vec<Demand>,
        /// Queued requests by model and tier.
        pub queued: Vec<Queued>,
        /// Requests in flight of workspaces that have a limit.
        pub workspaces: Vec<InFlight>,
        /// Keys of servers that get no new work because they don't show what the settings want.
        pub suspects: Vec<u32>,
        /// Work of its cell by tier, as far as it knows.
        pub cells: Vec<wire::Cell>,
    }

    /// A peer to exchange frames with.
    #[derive(Eq)]
    pub struct Target {
        /// Name of the peer; empty for an address whose name isn't known yet.
        pub name: String,
        /// Address of its listener for peers.
        pub address: String,
    }
}

/// What was last reported to one peer.
#[derive(Debug, Default)]
struct Reported {
    /// Start time of the peer's process.
    incarnation: u64,
    /// Requests in flight by server, and the number of the frame that contained them.
    in_flight: BTreeMap<u32, (u32, u64)>,
    /// When the engine measured the reported load, by server.
    loads: BTreeMap<u32, Instant>,
}

/// A node's exchange of frames with its peers.
#[derive(Debug)]
pub struct Exchange {
    budget: Budget,
    reported: BTreeMap<String, Reported>,
    sequence: u64,
    turn: u64,
    other_cell_turn: u64,
    announced_leaving: bool,
    bytes_sent: u64,
}

impl Exchange {
    /// An exchange that sends at most `rate` bytes per second, overhead included.
    pub fn new(rate: u32, now: Instant) -> Self {
        let budget = Budget::new(rate, now);
        Exchange {
            budget,
            reported: BTreeMap::new(),
            sequence: 0,
            turn: 0,
            other_cell_turn: 0,
            announced_leaving: false,
            bytes_sent: 0,
        }
    }

    /// Changes the rate, in bytes per second.
    pub fn set_rate(&mut self, rate: u32) {
        self.budget.set_rate(rate);
    }

    /// Number of bytes sent so far, overhead included.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// The peers to exchange frames with now: in turn, as many as the budget allows. When the node has
    /// begun to leave, all peers of its cell at once, whatever the budget.
    pub fn next_targets(&mut self, local: &LocalState, view: &View, now: Instant) -> Vec<Target> {
        let mut peers: Vec<_> = view.cell_peers().filter(|(_, m)| !m.address.is_empty()).collect();
        peers.sort_by_cached_key(|(_, member)| pair_hash(wire::key(&local.name), member.key));
        let target = |(name, member): &(&str, &crate::Member)| Target {
            name: name.to_string(),
            address: member.address.clone(),
        };
        self.reported.retain(|name, _| view.members().any(|(peer, _)| peer == name));
        if local.leaving && !self.announced_leaving {
            self.announced_leaving = true;
            return peers.iter().map(target).collect();
        }
        let cost = REQUEST_OVERHEAD_BYTES + 2 * MIN_LIST_BYTES;
        let mut affordable = self.budget.available(now) / cost;
        let mut chosen = vec![];
        self.other_cell_turn += 1;
        let others: Vec<_> = view.other_cell_members().collect();
        if self.other_cell_turn.is_multiple_of(OTHER_CELL_TURNS)
            && affordable > 0
            && !others.is_empty()
        {
            let draw = pair_hash(wire::key(&local.name), self.other_cell_turn as u32);
            chosen.push(target(&others[(draw % others.len() as u64) as usize]));
            affordable -= 1;
        }
        for _ in 0..peers.len() {
            if affordable == 0 {
                break;
            }
            self.turn += 1;
            let count = peers.len() as u64;
            let (name, member) = peers[(self.turn % count) as usize];
            let unreachable = view.status(member, now) == MemberStatus::Unreachable;
            if unreachable && !(self.turn / count).is_multiple_of(UNREACHABLE_RETRY_TURNS) {
                continue;
            }
            chosen.push(target(&(name, member)));
            affordable -= 1;
        }
        chosen
    }

    /// Builds the next frame for a peer.
    pub fn build_frame(
        &mut self,
        local: &LocalState,
        to: &str,
        view: &View,
        now: Instant,
    ) -> Frame {
        self.sequence += 1;
        let mut frame = Frame {
            version: wire::VERSION,
            from: local.name.clone(),
            incarnation: local.incarnation,
            sequence: self.sequence,
            address: local.address.clone(),
            domain: local.domain.clone(),
            revision: local.revision,
            digest: local.digest,
            leaving: local.leaving,
            demand: local.demand.clone(),
            suspects: local.suspects.clone(),
            queued: highest_tiers(&local.queued),
            workspaces: busiest_workspaces(&local.workspaces),
            ..Default::default()
        };
        if view.other_cell_members().any(|(name, _)| name == to) {
            frame.cells = local.cells.clone();
            frame.demand.clear();
            frame.workspaces.clear();
            frame.queued.clear();
            return frame;
        }
        let incarnation = view.members().find(|(name, _)| *name == to).map(|(_, m)| m.incarnation);
        let reported = self.reported.entry(to.to_string()).or_default();
        if incarnation.is_some_and(|incarnation| incarnation != reported.incarnation) {
            *reported = Reported { incarnation: incarnation.unwrap_or(0), ..Default::default() };
        } else if !reported.in_flight.is_empty() || !reported.loads.is_empty() {
            // The peer has received a frame from this process and so knows its address.
            frame.address.clear();
            frame.domain.clear();
        }
        let available = self.budget.available(now).saturating_sub(REQUEST_OVERHEAD_BYTES);
        let mut bytes_left = (available / 2).clamp(MIN_LIST_BYTES, MAX_LIST_BYTES);
        frame.liveness = liveness_rows(view, to, now, &mut bytes_left);
        let counts = counts_by_change(local, reported);
        let changed = counts.iter().filter(|count| count.change > 0);
        frame.in_flight = changed
            .map_while(|count| fit(&mut bytes_left, IN_FLIGHT_ROW_BYTES, count.row))
            .collect();
        frame.loads = load_rows(view, reported, now, &mut bytes_left);
        frame.cells = cell_rows(view, now, &mut bytes_left);
        let mut unchanged: Vec<_> = counts.iter().filter(|count| count.change == 0).collect();
        unchanged.sort_by_key(|count| count.sequence);
        frame.in_flight.extend(
            unchanged
                .iter()
                .map_while(|count| fit(&mut bytes_left, IN_FLIGHT_ROW_BYTES, count.row)),
        );
        frame
    }

    /// Records the bytes of a frame that was sent, overhead included.
    pub fn record_sent(&mut self, bytes: usize) {
        self.budget.spend(bytes);
        self.bytes_sent += bytes as u64;
    }

    /// Records that a peer has received a frame, or that a frame was sent to it as an answer. If such an
    /// answer is lost, later frames repeat its content.
    pub fn record_delivery(&mut self, to: &str, frame: &Frame, now: Instant) {
        let Some(reported) = self.reported.get_mut(to) else { return };
        for row in &frame.in_flight {
            reported.in_flight.insert(row.key, (row.count, frame.sequence));
        }
        // Counts of zero needn't be remembered once they were reported; the number of the others is bounded
        // by the cell's servers.
        reported.in_flight.retain(|_, (count, sequence)| *count > 0 || *sequence == frame.sequence);
        for load in &frame.loads {
            let at = now.checked_sub(Duration::from_millis(load.age_ms.into())).unwrap_or(now);
            reported.loads.insert(load.server, at);
        }
    }
}

/// The rows of the highest tiers, within a tier those with the highest counts.
fn highest_tiers(queued: &[Queued]) -> Vec<Queued> {
    let mut rows = queued.to_vec();
    rows.sort_by_key(|row| (row.tier, std::cmp::Reverse(row.count)));
    rows.truncate(MAX_QUEUED_ROWS);
    rows
}

/// The rows of the workspaces with the most requests in flight.
fn busiest_workspaces(workspaces: &[InFlight]) -> Vec<InFlight> {
    let mut busiest = workspaces.to_vec();
    busiest.sort_by_key(|row| (std::cmp::Reverse(row.count), row.key));
    busiest.truncate(MAX_WORKSPACE_ROWS);
    busiest
}

/// A count of requests in flight, with its difference from the count last reported to a peer.
struct Count {
    row: InFlight,
    change: u32,
    /// Number of the frame that last contained the count; 0 if none did.
    sequence: u64,
}

/// All counts of requests in flight, those that changed most since they were reported first.
fn counts_by_change(local: &LocalState, reported: &Reported) -> Vec<Count> {
    let last = |server| reported.in_flight.get(&server).copied().unwrap_or((0, 0));
    let count = |row: InFlight| {
        let (count, sequence) = last(row.key);
        Count { row, change: count.abs_diff(row.count), sequence }
    };
    let mut counts: Vec<_> = local.in_flight.iter().copied().map(count).collect();
    let gone =
        reported.in_flight.keys().filter(|key| !local.in_flight.iter().any(|row| row.key == **key));
    counts.extend(gone.map(|server| count(InFlight { key: *server, count: 0 })));
    counts.sort_by_key(|count| (std::cmp::Reverse(count.change), count.sequence));
    counts
}

/// Recent signs of life of nodes other than `to`, the most recent first.
fn liveness_rows(view: &View, to: &str, now: Instant, bytes_left: &mut usize) -> Vec<Liveness> {
    let others = view.members().filter(|(name, _)| *name != to).map(|(_, member)| member);
    let signs = others.filter_map(|member| Some((member.last_alive?, member.key)));
    let mut signs: Vec<_> = signs.filter(|(at, _)| now - *at < SUSPECT_AFTER).collect();
    signs.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let rows = signs.into_iter().map(|(at, node)| Liveness {
        node,
        age_ms: now.saturating_duration_since(at).as_millis() as u32,
    });
    rows.map_while(|row| fit(bytes_left, LIVENESS_ROW_BYTES, row)).collect()
}

/// Load reports that are newer than those the peer has, the ones that it has had for longest first.
fn load_rows(view: &View, reported: &Reported, now: Instant, bytes_left: &mut usize) -> Vec<Load> {
    let newer = view
        .loads()
        .filter(|r| reported.loads.get(&r.load.server).is_none_or(|at| *at < r.measured_at));
    let mut newer: Vec<_> = newer.collect();
    newer.sort_by_key(|report| reported.loads.get(&report.load.server).copied());
    let rows = newer.into_iter().map(|report| Load {
        age_ms: now.saturating_duration_since(report.measured_at).as_millis() as u32,
        ..report.load
    });
    rows.map_while(|row| fit(bytes_left, LOAD_ROW_BYTES, row)).collect()
}

/// The newest sums of other cells' work.
fn cell_rows(view: &View, now: Instant, bytes_left: &mut usize) -> Vec<wire::Cell> {
    let mut sums: Vec<_> = view.cells().collect();
    sums.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let rows = sums.into_iter().take(MAX_CELL_ROWS).map(|(at, cell)| wire::Cell {
        age_ms: now.saturating_duration_since(*at).as_millis() as u32,
        ..*cell
    });
    rows.map_while(|row| fit(bytes_left, CELL_ROW_BYTES, row)).collect()
}

/// Returns the row and subtracts its size if it fits into the bytes that are left.
fn fit<T>(bytes_left: &mut usize, bytes: usize, row: T) -> Option<T> {
    *bytes_left = bytes_left.checked_sub(bytes)?;
    Some(row)
}

fn pair_hash(own: u32, other: u32) -> u64 {
    xxh3_64(&((u64::from(own) << 32) | u64::from(other)).to_le_bytes())
}
