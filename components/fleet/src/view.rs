//! Tracks the peers of a node: the published list, and signs of life received directly or through others.
//!
//! The list lags, links fail in one direction, processes pause and resume, and regions lose contact. Without
//! care, one link that fails in one direction would make a node drop a healthy peer, and with it the peer's
//! slots at the backend servers. So nodes pass on only signs of life, never suspicions: a member counts as
//! alive while any node of the cell receives its frames, which refutes a single node's suspicion, and no
//! report can remove a member from the view. Only the list removes a member, and only one without signs of
//! life; an empty or unavailable list removes none. A link that delivers false signs of life can at worst
//! keep a dead member's slots reserved.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wire::{Frame, Load};

use crate::health::Health;

/// Time without a sign of life after which a member is suspected: in a cell of eight, signs of life of each
/// member arrive directly about every 2 s, and through others about every second.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);
/// Time without a sign of life after which a member is unreachable and the others use half of its slots. It
/// exceeds the pause of a VM during live migration, which takes up to some seconds.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);
/// Time without a sign of life after which a member that isn't listed is removed: several times the lag of
/// the list.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

derives::data! {
    /// An entry VM of the published list.
    pub struct ListedVm {
        /// Name.
        pub name: String,
        /// Address of its listener for peers.
        pub address: String,
        /// Failure domain.
        pub domain: String,
    }

    /// What this node knows of a peer.
    pub struct Member {
        /// [`wire::key`] of its name.
        pub key: u32,
        /// Address of its listener for peers.
        pub address: String,
        /// Failure domain.
        pub domain: String,
        /// Whether the published list names it.
        pub listed: bool,
        /// Start time of its process, in milliseconds since 1970.
        pub incarnation: u64,
        /// When its last frame arrived.
        pub last_received: Option<Instant>,
        /// Last sign of life, received directly or through others.
        pub last_alive: Option<Instant>,
        /// Time since which this node has expected signs of life: when it learned of the member, or resumed
        /// after a pause.
        pub expected_since: Instant,
        /// Its last frame, without those lists that contain only changes.
        pub last_frame: Option<Frame>,
        /// Its requests in flight by server, put together from its frames.
        pub in_flight: BTreeMap<u32, u32>,
    }

    /// An engine's report of its load, and when the engine measured it.
    #[derive(Copy)]
    pub struct LoadReport {
        /// When the engine measured its load, by this node's clock.
        pub measured_at: Instant,
        /// The report.
        pub load: Load,
    }
}

derives::value! {
    /// Whether a member counts as alive.
    pub enum MemberStatus {
        /// Some node recently received a sign of life.
        Alive,
        /// There were no signs of life for a while; the member keeps its slots.
        Suspect,
        /// There were no signs of life for so long that the others use half of the member's slots.
        Unreachable,
    }
}

/// The peers of one node.
#[derive(Debug, Default)]
pub struct View {
    members: BTreeMap<String, Member>,
    loads: BTreeMap<u32, LoadReport>,
    cells: BTreeMap<(u32, u8), (Instant, wire::Cell)>,
    load_updates: Vec<LoadReport>,
    cell_nodes: Option<BTreeSet<u32>>,
    health: Health,
}

impl View {
    /// A view without peers.
    ///
    /// ```
    /// assert_eq!(fleet::View::new().members().count(), 0);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the published list of entry VMs other than this one. An empty list is ignored as a fault of
    /// its publisher, and the last known list stays in force.
    pub fn apply_list(&mut self, list: impl IntoIterator<Item = ListedVm>, now: Instant) {
        let list: Vec<_> = list.into_iter().collect();
        if list.is_empty() {
            return;
        }
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for ListedVm { name, address, domain } in list {
            let member = self.members.entry(name).or_insert_with_key(|name| new_member(name, now));
            member.address = address;
            member.domain = domain;
            member.listed = true;
        }
    }

    /// Records a run of this node's exchange, which should happen every `period`, and removes members that
    /// are neither listed nor alive.
    pub fn record_tick(&mut self, now: Instant, period: Duration) {
        let late = self.health.record_tick(now, period);
        if late >= SUSPECT_AFTER {
            // This node was paused, and its peers may be healthy: their time without signs of life starts
            // anew. Their last reports are old all the same and aren't acted on, so `last_received` stays.
            for member in self.members.values_mut() {
                member.expected_since = now;
            }
        }
        self.members.retain(|_, m| m.listed || m.silence(now) < REMOVE_AFTER);
    }

    /// Applies a frame from a peer; returns false if the frame was dropped. A frame of an earlier process
    /// start is dropped, unless no frame of the later start has arrived for [`UNREACHABLE_AFTER`]: then the
    /// later one's clock was wrong.
    pub fn receive(&mut self, mut frame: Frame, now: Instant) -> bool {
        self.apply_relayed(&frame, now);
        if !self.members.contains_key(&frame.from) && frame.address.is_empty() {
            return false;
        }
        let entry = self.members.entry(frame.from.clone());
        let member = entry.or_insert_with_key(|name| new_member(name, now));
        let silent = member.last_received.is_none_or(|at| now - at > UNREACHABLE_AFTER);
        if frame.incarnation < member.incarnation && !silent {
            return false;
        }
        if frame.incarnation != member.incarnation {
            member.in_flight.clear();
            member.last_frame = None;
        }
        if member.last_frame.as_ref().is_some_and(|last| frame.sequence < last.sequence) {
            return false;
        }
        if !frame.address.is_empty() && !member.listed {
            member.address = std::mem::take(&mut frame.address);
            member.domain = std::mem::take(&mut frame.domain);
        }
        for row in std::mem::take(&mut frame.in_flight) {
            match row.count {
                0 => member.in_flight.remove(&row.key),
                count => member.in_flight.insert(row.key, count),
            };
        }
        member.incarnation = frame.incarnation;
        member.last_received = Some(now);
        member.last_alive = Some(now);
        (frame.loads, frame.liveness, frame.cells) = Default::default();
        member.last_frame = Some(frame);
        true
    }

    /// Applies what a frame contains about others: signs of life, load reports and sums of cells.
    fn apply_relayed(&mut self, frame: &Frame, now: Instant) {
        let before = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
        for sign in &frame.liveness {
            let mut members = self.members.values_mut();
            let Some(member) = members.find(|member| member.key == sign.node) else { continue };
            if let Some(at) = before(sign.age_ms) {
                member.last_alive = member.last_alive.max(Some(at));
            }
        }
        for load in &frame.loads {
            let Some(at) = before(load.age_ms) else { continue };
            if self.record_load(LoadReport { measured_at: at, load: *load }) {
                self.load_updates.push(LoadReport { measured_at: at, load: *load });
            }
        }
        for cell in &frame.cells {
            let Some(at) = before(cell.age_ms) else { continue };
            let known = self.cells.entry((cell.cell, cell.tier)).or_insert((at, *cell));
            if known.0 < at {
                *known = (at, *cell);
            }
        }
    }

    /// Records a load report; returns whether it is newer than the last known one.
    pub fn record_load(&mut self, report: LoadReport) -> bool {
        let last = self.loads.get(&report.load.server);
        let newer = last.is_none_or(|last| last.measured_at < report.measured_at);
        if newer {
            self.loads.insert(report.load.server, report);
        }
        newer
    }

    /// Takes the load reports that peers passed on since the last call.
    pub fn take_load_updates(&mut self) -> Vec<LoadReport> {
        std::mem::take(&mut self.load_updates)
    }

    /// Removes the load reports of servers for which `keep` returns false.
    pub fn retain_loads(&mut self, keep: impl Fn(u32) -> bool) {
        self.loads.retain(|server, _| keep(*server));
    }

    /// The last load report of each server, in the order of the servers' keys.
    pub fn loads(&self) -> impl Iterator<Item = &LoadReport> {
        self.loads.values()
    }

    /// The newest sums of each cell's work, with the times at which they were made.
    pub fn cells(&self) -> impl Iterator<Item = &(Instant, wire::Cell)> {
        self.cells.values()
    }

    /// All peers by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, member)| (name.as_str(), member))
    }

    /// Sets the keys of the nodes in this node's cell.
    pub fn set_cell_nodes(&mut self, nodes: BTreeSet<u32>) {
        self.cell_nodes = Some(nodes);
    }

    /// Peers in this node's cell; all peers until the cells are known. A member that isn't listed counts as
    /// in the cell of each node that it contacts.
    pub fn cell_peers(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members().filter(|(_, member)| self.in_own_cell(member))
    }

    /// Members of other cells.
    pub fn other_cell_members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members().filter(|(_, member)| !self.in_own_cell(member))
    }

    fn in_own_cell(&self, member: &Member) -> bool {
        !member.listed || self.cell_nodes.as_ref().is_none_or(|nodes| nodes.contains(&member.key))
    }

    /// Names of the peers on the published list, for decisions that must not depend on which frames this
    /// node receives.
    pub fn listed_names(&self) -> impl Iterator<Item = &str> {
        self.members().filter(|(_, member)| member.listed).map(|(name, _)| name)
    }

    /// Whether a member counts as alive. The timeouts are stretched if this node itself is slow.
    pub fn status(&self, member: &Member, now: Instant) -> MemberStatus {
        let silence = member.silence(now);
        let factor = self.health.timeout_factor();
        if silence < SUSPECT_AFTER * factor {
            MemberStatus::Alive
        } else if silence < UNREACHABLE_AFTER * factor {
            MemberStatus::Suspect
        } else {
            MemberStatus::Unreachable
        }
    }

    /// Whether a member's last report of itself is recent enough to act on.
    pub fn is_fresh(&self, member: &Member, now: Instant) -> bool {
        member.last_received.is_some_and(|at| now - at < SUSPECT_AFTER * 2)
    }

    /// Number of requests in flight at a server from the cell's other nodes whose reports are fresh.
    pub fn peers_in_flight(&self, server: &str, now: Instant) -> u32 {
        let key = wire::key(server);
        let members = self.cell_peers().map(|(_, member)| member).filter(|m| self.is_fresh(m, now));
        members.filter_map(|m| m.in_flight.get(&key)).sum()
    }
}

impl Member {
    /// Time without an expected sign of life.
    fn silence(&self, now: Instant) -> Duration {
        let since =
            self.last_alive.map_or(self.expected_since, |alive| alive.max(self.expected_since));
        now.saturating_duration_since(since)
    }

    /// Whether the member has reported that it is leaving and accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.last_frame.as_ref().is_some_and(|last| last.leaving)
    }
}

/// A member of which only the name is known.
fn new_member(name: &str, now: Instant) -> Member {
    Member {
        key: wire::key(name),
        address: String::new(),
        domain: String::new(),
        listed: false,
        incarnation: 0,
        last_received: None,
        last_alive: None,
        expected_since: now,
        last_frame: None,
        in_flight: BTreeMap::new(),
    }
}
