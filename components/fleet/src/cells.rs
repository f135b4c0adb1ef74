//! Divides nodes and backend servers into cells, within which they know each other.
//!
//! In a fleet of hundreds of nodes and thousands of servers, not everyone can report to everyone: what a
//! node receives would grow with the fleet until control traffic takes its core and its link. Nor can each
//! server belong to one node: every loss of a node would leave servers unused, and every call would take a
//! second hop. So both are divided into cells. The division is a pure function of the published list and
//! the settings: nodes that read the same agree without a message.
//!
//! - The number of cells is rounded to a grid with steps of an eighth, so that it seldom changes; a change
//!   by one would move members of every cell.
//! - Nodes are assigned so that the sizes of cells differ by at most one, because callers come to all
//!   nodes alike. No cell takes more than its even part of a failure domain, so that the loss of a domain
//!   affects all cells alike.
//! - Servers are assigned in the same way, model by model, so that each cell serves every model that has
//!   at least as many servers as there are cells.
//! - Within these limits a member is assigned by rendezvous hashing (highest random weight), so that a
//!   change moves few others; `tests/cells.rs` checks how many. Assigning members in one fixed order would
//!   move 159 of 850 nodes at each replacement.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Smallest number of nodes in a cell: at any time one may have failed and one be under replacement, and
/// one more has to carry the work.
const MIN_CELL_NODES: usize = 3;
/// Part of a cell's largest number of servers that it should get on average, in percent, because the sizes
/// of cells vary by a twentieth.
const TARGET_FILL_PERCENT: usize = 95;
/// Age from which on a sum of a cell's work isn't acted on.
const MAX_SUM_AGE: Duration = Duration::from_secs(15);

derives::data! {
    /// A node or a backend server, as published.
    #[derive(Eq, Hash)]
    pub struct Member {
        /// [`wire::key`] of its name.
        pub key: u32,
        /// [`wire::key`] of its failure domain.
        pub domain: u32,
        /// Group within which members are spread evenly: the key of a server's model, and one value for
        /// all nodes.
        pub group: u32,
    }

    /// The cell of each member.
    #[derive(Default, Eq)]
    pub struct Division {
        /// Number of cells.
        pub count: u32,
        /// Cells of nodes by the nodes' keys.
        pub nodes: BTreeMap<u32, u32>,
        /// Cells of servers by the servers' keys.
        pub servers: BTreeMap<u32, u32>,
    }
}

/// The intended size of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of nodes.
    pub nodes: u32,
    /// Largest number of backend servers.
    pub servers: u32,
}

/// Divides nodes and servers into cells.
///
/// ```
/// use fleet::cells::{Member, Size, divide};
/// let nodes: Vec<_> = (0..7).map(|key| Member { key, domain: key % 3, group: 0 }).collect();
/// assert_eq!(divide(&nodes, &[], Size { nodes: 8, servers: 100 }).count, 1);
/// ```
pub fn divide(nodes: &[Member], servers: &[Member], size: Size) -> Division {
    let count = cell_count(nodes.len(), servers.len(), size);
    let mut division = Division { count, ..Default::default() };
    assign_all(nodes, count, &mut division.nodes);
    assign_all(servers, count, &mut division.servers);
    division
}

/// Assigns members to cells, group by group.
fn assign_all(all: &[Member], count: u32, cells: &mut BTreeMap<u32, u32>) {
    let mut groups: BTreeMap<u32, Vec<&Member>> = BTreeMap::new();
    for member in all {
        groups.entry(member.group).or_default().push(member);
    }
    groups.into_values().for_each(|members| assign_group(members, count, cells));
}

/// Number of cells for a number of nodes and servers.
fn cell_count(nodes: usize, servers: usize, size: Size) -> u32 {
    let by_nodes = round_down_to_grid(nodes / size.nodes.max(1) as usize);
    let filled = (size.servers as usize * TARGET_FILL_PERCENT / 100).max(1);
    let by_servers = if servers <= size.servers as usize { 1 } else { servers.div_ceil(filled) };
    let by_servers = round_up_to_grid(by_servers);
    by_nodes.max(by_servers).min(nodes / MIN_CELL_NODES).max(1) as u32
}

/// Width of the grid's steps around a number of cells: an eighth of the power of two below it.
fn grid_step(cells: usize) -> usize {
    (1 << cells.max(1).ilog2()) / 8
}

fn round_down_to_grid(cells: usize) -> usize {
    cells - cells % grid_step(cells).max(1)
}

fn round_up_to_grid(cells: usize) -> usize {
    cells.next_multiple_of(grid_step(cells).max(1))
}

/// Assigns the members of one group in three rounds: first each cell gets as many as every cell can have,
/// then up to one more, in both rounds at most its even part of a failure domain; then the remaining
/// members go to any cell.
fn assign_group(members: Vec<&Member>, count: u32, cells: &mut BTreeMap<u32, u32>) {
    let mut domains: BTreeMap<u32, usize> = BTreeMap::new();
    for member in &members {
        *domains.entry(member.domain).or_default() += 1;
    }
    domains.values_mut().for_each(|size| *size = size.div_ceil(count as usize));
    let each = members.len() / count as usize;
    let mut bins = vec![Bin::default(); count as usize];
    let mut rest = members;
    for (capacity, spread) in [(each, true), (each + 1, true), (usize::MAX, false)] {
        bins.iter_mut().for_each(Bin::fix_members);
        let domain_quota = |domain: u32| if spread { domains[&domain] } else { usize::MAX };
        rest = match_members(rest, &mut bins, capacity, domain_quota);
    }
    for (cell, bin) in bins.iter().enumerate() {
        cells.extend(bin.members.iter().map(|(_, member)| (member.key, cell as u32)));
    }
}

/// Assigns members by deferred acceptance (Gale and Shapley): each member goes to the cell for which its
/// weight is highest; a cell with too many rejects the one with the lowest weight, which goes to its next
/// choice. Returns the members that no cell accepts.
fn match_members<'a>(
    members: Vec<&'a Member>,
    bins: &mut [Bin<'a>],
    capacity: usize,
    domain_quota: impl Fn(u32) -> usize,
) -> Vec<&'a Member> {
    let count = bins.len() as u32;
    let mut free: Vec<_> = members.iter().map(|m| (*m, cells_by_weight(m.key, count))).collect();
    let mut choices_left: BTreeMap<u32, Vec<(u64, u32)>> = BTreeMap::new();
    let mut rest = vec![];
    while let Some((member, mut choices)) = free.pop() {
        let Some((weight, cell)) = choices.pop() else {
            rest.push(member);
            continue;
        };
        choices_left.insert(member.key, choices);
        if let Some(rejected) =
            bins[cell as usize].add(weight, member, capacity, domain_quota(member.domain))
        {
            free.push((rejected, choices_left.remove(&rejected.key).unwrap_or_default()));
        }
    }
    rest
}

/// The members of one group in a cell, those with the highest weight first.
#[derive(Clone, Debug, Default)]
struct Bin<'a> {
    members: Vec<(u64, &'a Member)>,
}

impl<'a> Bin<'a> {
    /// Protects the present members from being rejected later.
    fn fix_members(&mut self) {
        self.members.iter_mut().for_each(|(weight, _)| *weight = u64::MAX);
    }

    /// Adds a member; returns one that is rejected if there are now more than `capacity`, or more than
    /// `domain_quota` of the member's failure domain.
    fn add(
        &mut self,
        weight: u64,
        member: &'a Member,
        capacity: usize,
        domain_quota: usize,
    ) -> Option<&'a Member> {
        let at = self.members.partition_point(|(other, _)| *other > weight);
        self.members.insert(at, (weight, member));
        let same_domain = self.members.iter().filter(|(_, other)| other.domain == member.domain);
        let rejected = if same_domain.count() > domain_quota {
            self.members.iter().rposition(|(_, other)| other.domain == member.domain)
        } else if self.members.len() > capacity {
            Some(self.members.len() - 1)
        } else {
            None
        };
        rejected.map(|index| self.members.remove(index).1)
    }
}

/// All cells with a member's weight for each, the highest weight last.
fn cells_by_weight(member: u32, count: u32) -> Vec<(u64, u32)> {
    let mut choices: Vec<_> = (0..count).map(|cell| (weight(member, cell), cell)).collect();
    choices.sort_unstable();
    choices
}

/// Rendezvous weight of a member for a cell.
fn weight(member: u32, cell: u32) -> u64 {
    xxh3_64(&((u64::from(member) << 32) | u64::from(cell)).to_le_bytes())
}

/// The cell to which a cell without room for a tier may send its work; none if no cell has room. It is one
/// of the cells that recently reported room for the tier, drawn with the random number `draw` in
/// proportion to their room.
///
/// When callers of one region overload a few cells while others are half empty, they would be refused
/// though the fleet has room. Sending all of them to the emptiest cell would overload it before it can
/// report that it is full, so the overloaded cells spread over all that have room.
///
/// ```
/// use std::time::Instant;
/// let now = Instant::now();
/// let row = |cell, free| (now, wire::Cell { cell, age_ms: 0, tier: 0, waiting: 0, free });
/// assert_eq!(fleet::cells::spill_target(&[row(3, 0), row(4, 9)], 0, 7, now), Some(4));
/// assert_eq!(fleet::cells::spill_target(&[row(3, 0)], 0, 7, now), None);
/// ```
pub fn spill_target(
    sums: &[(Instant, wire::Cell)],
    tier: u8,
    draw: u64,
    now: Instant,
) -> Option<u32> {
    let with_room = sums.iter().filter(|(at, row)| {
        row.tier == tier
            && row.free > row.waiting
            && now.saturating_duration_since(*at) < MAX_SUM_AGE
    });
    let rooms: Vec<_> =
        with_room.map(|(_, row)| (row.cell, u64::from(row.free - row.waiting))).collect();
    let total: u64 = rooms.iter().map(|(_, room)| room).sum();
    let mut at = draw.checked_rem(total)?;
    for (cell, room) in rooms {
        if at < room {
            return Some(cell);
        }
        at -= room;
    }
    None
}
