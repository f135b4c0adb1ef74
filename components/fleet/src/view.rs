//! Who is there: the published list, and what is heard directly and through others.
//!
//! The pattern: the list lags, links fail one way, processes pause and wake, and regions lose each
//! other. Without care one deaf link makes a node drop a healthy peer, and its places at the
//! backend servers with it. So only life is passed on, never death: a member counts as alive while
//! anybody in the cell hears it, which refutes any single suspicion, and nobody can be talked out
//! of the view. The list alone removes a member, and only one that nobody hears any more; a list
//! that is empty or down removes nobody. What a lying link can do is keep a dead member's places
//! reserved.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wire::{Frame, Load};

use crate::health::Health;

/// A member without a sign of life for this long is suspected: each member of a cell of eight is
/// heard directly about every 2 s, and through others about every second.
pub const SUSPECT: Duration = Duration::from_secs(3);
/// After this long half of a silent member's places come back to the others. A pause of a VM
/// during its live migration, up to some seconds, must not count.
pub const SILENT: Duration = Duration::from_secs(10);
/// A member that isn't listed is forgotten after this long without a sign of life: several
/// times the lag of the list.
const FORGOTTEN: Duration = Duration::from_secs(60);

derives::data! {
    /// An entry VM of the published list.
    pub struct Listed {
        /// Name.
        pub name: String,
        /// Where its peers' listener is.
        pub address: String,
        /// Failure domain.
        pub domain: String,
    }

    /// A peer as this node knows it.
    pub struct Member {
        /// Key of its name on the wire.
        pub key: u32,
        /// Where its peers' listener is.
        pub address: String,
        /// Failure domain.
        pub domain: String,
        /// Whether the published list names it.
        pub listed: bool,
        /// Number of its process start.
        pub incarnation: u64,
        /// When a frame of it last came.
        pub heard: Option<Instant>,
        /// Last sign of life, also through others.
        pub alive: Option<Instant>,
        /// Since when this node waits for signs of life: when it learned of the member, or woke.
        pub since: Instant,
        /// What it last told, without lists that only hold changes.
        pub last: Option<Frame>,
        /// Requests it has in flight by server, put together from its frames.
        pub sent: BTreeMap<u32, u32>,
    }

    /// An engine's load report and when the engine made it.
    #[derive(Copy)]
    pub struct Reported {
        /// When, by this node's clock.
        pub at: Instant,
        /// The report.
        pub load: Load,
    }
}

derives::value! {
    /// How a member is looked upon.
    pub enum Standing {
        /// Heard lately by someone.
        Alive,
        /// Not heard for a while; its places stay its own.
        Suspect,
        /// Not heard for so long that half of its places are used by others.
        Silent,
    }
}

/// The peers of one node.
#[derive(Debug, Default)]
pub struct View {
    members: BTreeMap<String, Member>,
    loads: BTreeMap<u32, Reported>,
    cells: BTreeMap<(u32, u8), (Instant, wire::Cell)>,
    news: Vec<Reported>,
    mates: Option<BTreeSet<u32>>,
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

    /// Takes in the published list of entry VMs other than this one. An empty list is taken for a
    /// fault of its publisher: the last known stays.
    pub fn listed(&mut self, list: impl IntoIterator<Item = Listed>, now: Instant) {
        let list: Vec<_> = list.into_iter().collect();
        if list.is_empty() {
            return;
        }
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for Listed { name, address, domain } in list {
            let member = self.members.entry(name).or_insert_with_key(|name| member(name, now));
            member.address = address;
            member.domain = domain;
            member.listed = true;
        }
    }

    /// Notes that this node's exchange ran, which should happen every `period`.
    pub fn tick(&mut self, now: Instant, period: Duration) {
        let late = self.health.tick(now, period);
        if late >= SUSPECT {
            // This node slept. Its peers may be well: their time starts afresh. What they told is
            // old all the same, so it isn't acted on (`heard` stays).
            for member in self.members.values_mut() {
                member.since = now;
            }
        }
        self.members.retain(|_, m| m.listed || m.quiet(now) < FORGOTTEN);
    }

    /// Takes in a frame from a peer and returns whether it was new. A frame of an earlier process
    /// start is dropped, unless the later one has fallen silent: then its clock was wrong.
    pub fn heard(&mut self, mut frame: Frame, now: Instant) -> bool {
        self.pass_on(&frame, now);
        if !self.members.contains_key(&frame.from) && frame.address.is_empty() {
            return false;
        }
        let entry = self.members.entry(frame.from.clone());
        let member = entry.or_insert_with_key(|name| member(name, now));
        let quiet = member.heard.is_none_or(|at| now - at > SILENT);
        if frame.incarnation < member.incarnation && !quiet {
            return false;
        }
        if frame.incarnation != member.incarnation {
            member.sent.clear();
            member.last = None;
        }
        if member.last.as_ref().is_some_and(|last| frame.sequence < last.sequence) {
            return false;
        }
        if !frame.address.is_empty() && !member.listed {
            member.address = std::mem::take(&mut frame.address);
            member.domain = std::mem::take(&mut frame.domain);
        }
        for sent in std::mem::take(&mut frame.in_flight) {
            match sent.count {
                0 => member.sent.remove(&sent.key),
                count => member.sent.insert(sent.key, count),
            };
        }
        member.incarnation = frame.incarnation;
        member.heard = Some(now);
        member.alive = Some(now);
        (frame.loads, frame.liveness, frame.cells) = Default::default();
        member.last = Some(frame);
        true
    }

    fn pass_on(&mut self, frame: &Frame, now: Instant) {
        let before = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
        for alive in &frame.liveness {
            let mut members = self.members.values_mut();
            let Some(member) = members.find(|member| member.key == alive.node) else { continue };
            if let Some(at) = before(alive.age_ms) {
                member.alive = member.alive.max(Some(at));
            }
        }
        for load in &frame.loads {
            let Some(at) = before(load.age_ms) else { continue };
            if self.reported(Reported { at, load: *load }) {
                self.news.push(Reported { at, load: *load });
            }
        }
        for cell in &frame.cells {
            let Some(at) = before(cell.age_ms) else { continue };
            let held = self.cells.entry((cell.cell, cell.tier)).or_insert((at, *cell));
            if held.0 < at {
                *held = (at, *cell);
            }
        }
    }

    /// Takes in a load report; returns whether it is newer than the one held.
    pub fn reported(&mut self, report: Reported) -> bool {
        let held = self.loads.get(&report.load.server);
        let newer = held.is_none_or(|held| held.at < report.at);
        if newer {
            self.loads.insert(report.load.server, report);
        }
        newer
    }

    /// Load reports that peers passed on since this was last called.
    pub fn news(&mut self) -> Vec<Reported> {
        std::mem::take(&mut self.news)
    }

    /// Forgets the reports of servers that `keep` doesn't name.
    pub fn keep_loads(&mut self, keep: impl Fn(u32) -> bool) {
        self.loads.retain(|server, _| keep(*server));
    }

    /// The last load reports, by key of the server.
    pub fn loads(&self) -> impl Iterator<Item = &Reported> {
        self.loads.values()
    }

    /// What is known of the cells: when it was summed, and the sum.
    pub fn cells(&self) -> impl Iterator<Item = &(Instant, wire::Cell)> {
        self.cells.values()
    }

    /// All peers by name.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, member)| (name.as_str(), member))
    }

    /// Sets the nodes of this node's cell, by key.
    pub fn set_mates(&mut self, mates: BTreeSet<u32>) {
        self.mates = Some(mates);
    }

    /// Peers of this node's cell; all while no division is known. One that isn't listed is a mate
    /// of those it turns to.
    pub fn mates(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members().filter(|(_, member)| self.mate(member))
    }

    /// Peers of other cells.
    pub fn others(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members().filter(|(_, member)| !self.mate(member))
    }

    fn mate(&self, member: &Member) -> bool {
        !member.listed || self.mates.as_ref().is_none_or(|mates| mates.contains(&member.key))
    }

    /// Names of the peers that the published list has; the basis for what must not depend on what
    /// one node hears.
    pub fn published(&self) -> impl Iterator<Item = &str> {
        self.members().filter(|(_, member)| member.listed).map(|(name, _)| name)
    }

    /// How a member is looked upon. A node that is itself slow waits longer.
    pub fn standing(&self, member: &Member, now: Instant) -> Standing {
        let quiet = member.quiet(now);
        let factor = self.health.factor();
        if quiet < SUSPECT * factor {
            Standing::Alive
        } else if quiet < SILENT * factor {
            Standing::Suspect
        } else {
            Standing::Silent
        }
    }

    /// Whether what a member told of itself is fresh enough to act on.
    pub fn fresh(&self, member: &Member, now: Instant) -> bool {
        member.heard.is_some_and(|at| now - at < SUSPECT * 2)
    }

    /// Requests that mates heard lately have in flight at a server.
    pub fn sent(&self, server: &str, now: Instant) -> u32 {
        let key = wire::key(server);
        let members = self.mates().map(|(_, member)| member).filter(|m| self.fresh(m, now));
        members.filter_map(|m| m.sent.get(&key)).sum()
    }
}

impl Member {
    fn quiet(&self, now: Instant) -> Duration {
        let since = self.alive.map_or(self.since, |alive| alive.max(self.since));
        now.saturating_duration_since(since)
    }

    /// Whether it said that it takes no new work.
    pub fn leaving(&self) -> bool {
        self.last.as_ref().is_some_and(|last| last.leaving)
    }
}

fn member(name: &str, now: Instant) -> Member {
    Member {
        key: wire::key(name),
        address: String::new(),
        domain: String::new(),
        listed: false,
        incarnation: 0,
        heard: None,
        alive: None,
        since: now,
        last: None,
        sent: BTreeMap::new(),
    }
}
