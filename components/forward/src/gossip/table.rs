//! Aggregates at a seed what all nodes report of engines, and computes the changes that each node lacks.
//!
//! Load pattern: hundreds of nodes, each of which sends a few requests a second to the same engines. What a node
//! knows of the others decides where its next request goes, and is out of date half a second later. Complete
//! tables, sent to each node several times a second, would fill the seeds' links. So each row has the version
//! at which it last changed noticeably, and a node is sent only the rows that are newer than its position. For
//! the same number of bytes, its knowledge is several times as recent.
//!
//! A sum contains the report of the node that asks for it, so that all nodes can be sent the same rows. The
//! answer names the number of that report, and the node subtracts it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use wire::gossip::{Load, Position, Report, Summary};

/// Shortest time from one sum over all reports to the next.
const REFRESH_INTERVAL: Duration = Duration::from_millis(25);
/// Smallest change of an engine's time to prefill, in ms, that is reported; smaller ones don't affect which
/// engine a request is sent to.
const NOTICEABLE_MS: u32 = 24;
/// Smallest change that is reported as a part of that time: one third.
const NOTICEABLE_DIVISOR: u32 = 3;
/// Smallest change of a number of tokens that is reported as a part of it: one sixth.
const NOTICEABLE_TOKENS_DIVISOR: u32 = 6;
/// Step in ms in which the longest delay of a request is reported.
const DELAY_STEP_MS: u32 = 100;
/// An engine's latest begun answer is reported again once it is newer than the reported one by this time in ms.
const BEGUN_STEP_MS: u32 = 300;
/// Time for which a cached part of a prompt is kept for nodes that haven't received it.
const PART_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which the row of an engine with nothing to report is kept, so that nodes are sent that it is empty.
const EMPTY_ROW_LIFETIME: Duration = Duration::from_secs(20);
/// Largest number of cached parts that are kept.
const MAX_PARTS: usize = 8_192;

/// Load by engine and cached parts of prompts, each with the version at which it last changed.
#[derive(Debug, Default)]
pub(crate) struct Table {
    version: u64,
    rows: BTreeMap<u32, Row>,
    /// Cached parts in the order of their versions.
    parts: VecDeque<CachedPart>,
    /// When each of the parts was added.
    part_added: HashMap<(u32, u64), Instant>,
    /// Rows and parts with versions up to this one may have been dropped.
    floor: u64,
}

#[derive(Debug)]
struct Row {
    load: Load,
    version: u64,
    at: Instant,
}

#[derive(Debug)]
struct CachedPart {
    version: u64,
    at: Instant,
    /// Key of the engine's name, and the part.
    part: (u32, u64),
}

impl Row {
    /// The load at a later time: the age of the last begun answer has grown.
    fn load_at(&self, now: Instant) -> Load {
        let age = now.saturating_duration_since(self.at).as_millis() as u32;
        let first_token_age_ms =
            self.load.first_token_age_ms.map(|begun| begun.saturating_add(age));
        Load { first_token_age_ms, ..self.load.clone() }
    }
}

/// Whether a load differs noticeably from the one that was reported last.
fn differs_noticeably(reported: &Load, new: &Load) -> bool {
    let noticeable = |reported: u32, new: u32| {
        reported.abs_diff(new) >= NOTICEABLE_MS.max(reported / NOTICEABLE_DIVISOR)
    };
    let tokens_differ = |reported: u32, new: u32| {
        reported.abs_diff(new) >= (reported / NOTICEABLE_TOKENS_DIVISOR).max(1)
    };
    let step = |ms: u32| ms.div_ceil(DELAY_STEP_MS);
    let any_differs = |a: &[u32], b: &[u32], differs: &dyn Fn(u32, u32) -> bool| {
        let at = |list: &[u32], priority: usize| list.get(priority).copied().unwrap_or(0);
        (0..a.len().max(b.len())).any(|priority| differs(at(a, priority), at(b, priority)))
    };
    let begun = match (reported.first_token_age_ms, new.first_token_age_ms) {
        (Some(reported), Some(new)) => reported >= new.saturating_add(BEGUN_STEP_MS),
        (reported, new) => reported.is_none() && new.is_some(),
    };
    begun
        || any_differs(&reported.prefill_ms, &new.prefill_ms, &noticeable)
        || any_differs(&reported.overdue_ms, &new.overdue_ms, &|a, b| step(a) != step(b))
        || any_differs(&reported.occupied, &new.occupied, &|a, b| a != b)
        || tokens_differ(reported.running_kilotokens, new.running_kilotokens)
        || tokens_differ(reported.inserted_kilotokens, new.inserted_kilotokens)
}

impl Table {
    /// Updates the rows of engines whose sums differ noticeably. An engine without a sum has no load.
    pub(crate) fn update(&mut self, mut sums: HashMap<u32, Load>, now: Instant) {
        for server in self.rows.keys() {
            sums.entry(*server).or_insert_with(|| Load::empty(*server));
        }
        let next = self.version + 1;
        for (server, load) in sums {
            let reported = self.rows.get(&server);
            if reported.is_none_or(|reported| differs_noticeably(&reported.load_at(now), &load)) {
                self.rows.insert(server, Row { load, version: next, at: now });
                self.version = next;
            }
        }
        self.drop_empty_rows(now);
    }

    /// Drops rows that have been empty for [`EMPTY_ROW_LIFETIME`].
    fn drop_empty_rows(&mut self, now: Instant) {
        let floor = &mut self.floor;
        self.rows.retain(|_, row| {
            let dropped = row.load.is_empty() && now >= row.at + EMPTY_ROW_LIFETIME;
            *floor = (*floor).max(if dropped { row.version } else { 0 });
            !dropped
        });
    }

    /// Adds parts of prompts that engines cache, unless they were added recently, and drops old ones.
    pub(crate) fn add_parts(&mut self, parts: impl IntoIterator<Item = (u32, u64)>, now: Instant) {
        for part in parts {
            if self.part_added.get(&part).is_some_and(|added| now < *added + PART_LIFETIME) {
                continue;
            }
            self.part_added.insert(part, now);
            self.version += 1;
            self.parts.push_back(CachedPart { version: self.version, at: now, part });
        }
        while let Some(oldest) = self.parts.front()
            && (now >= oldest.at + PART_LIFETIME || self.parts.len() > MAX_PARTS)
        {
            self.floor = oldest.version;
            self.part_added.remove(&oldest.part);
            self.parts.pop_front();
        }
    }

    /// Changes after a version; the whole table if there is none.
    pub(crate) fn changes_since(&self, version: Option<u64>, now: Instant) -> Summary {
        let after = version.unwrap_or(0);
        let complete = version.is_none();
        let rows = self.rows.values().filter(|row| row.version > after);
        let rows = rows.map(|row| row.load_at(now)).filter(|load| !complete || !load.is_empty());
        let first = self.parts.partition_point(|cached| cached.version <= after);
        let parts = self.parts.range(first..).map(|cached| cached.part);
        let position = Position { boot: 0, version: self.version };
        Summary {
            position,
            complete,
            loads: rows.collect(),
            parts: parts.collect(),
            ..Summary::default()
        }
    }
}

/// The copy of a seed's table at a node or another seed.
#[derive(Debug, Default)]
pub(crate) struct View {
    position: Option<Position>,
    rows: HashMap<u32, Row>,
    /// Requests that the table's nodes send to engines in ten seconds, by priority.
    sends: Vec<u32>,
    /// Number of the own report that the sums contain.
    included: Option<u32>,
    received: Option<Instant>,
}

impl View {
    /// Position up to which the copy contains the table.
    pub(crate) fn position(&self) -> Option<Position> {
        self.position
    }

    /// Applies the changes in a seed's answer.
    pub(crate) fn apply(&mut self, summary: Summary, now: Instant) {
        if summary.complete {
            self.rows.clear();
        }
        for load in summary.loads {
            if load.is_empty() {
                self.rows.remove(&load.server);
                continue;
            }
            let row = Row { load, version: summary.position.version, at: now };
            self.rows.insert(row.load.server, row);
        }
        self.position = Some(summary.position);
        (self.sends, self.included, self.received) = (summary.sends, summary.included, Some(now));
    }

    /// Load of each engine, summed over the table's nodes.
    pub(crate) fn loads(&self, now: Instant) -> impl Iterator<Item = Load> {
        self.rows.values().map(move |row| row.load_at(now))
    }

    /// Whether an answer was received within the given time.
    fn is_fresh(&self, within: Duration, now: Instant) -> bool {
        self.received.is_some_and(|received| now < received + within)
    }
}

/// A node's own last reports, to subtract them from the sums that contain them.
#[derive(Debug, Default)]
pub(crate) struct SentReports {
    number: u32,
    reports: VecDeque<(u32, Vec<Load>, Vec<u32>)>,
}

/// Number of last reports that are kept, since a sum may contain any of them.
const MAX_REPORTS: usize = 8;

impl SentReports {
    /// Records a report; returns its number.
    pub(crate) fn record(&mut self, loads: Vec<Load>, sends: Vec<u32>) -> u32 {
        self.number += 1;
        self.reports.truncate(MAX_REPORTS - 1);
        self.reports.push_front((self.number, loads, sends));
        self.number
    }

    /// Load of engines by all other nodes, and requests that these send in ten seconds, by priority.
    pub(crate) fn subtract_own(&self, view: &View, now: Instant) -> (Vec<Load>, Vec<u32>) {
        let mut sums: HashMap<u32, Load> =
            view.loads(now).map(|load| (load.server, load)).collect();
        let mut sends = view.sends.clone();
        let included = self.reports.iter().find(|(number, ..)| Some(*number) == view.included);
        if let Some((_, loads, own)) = included {
            for load in loads {
                if let Some(sum) = sums.get_mut(&load.server) {
                    sum.subtract(load);
                }
            }
            wire::gossip::merge_amounts(&mut sends, own, u32::saturating_sub);
        }
        (sums.into_values().collect(), sends)
    }
}

/// The last report of a node at a seed.
#[derive(Debug)]
struct NodeReport {
    number: u32,
    loads: Vec<Load>,
    sends: Vec<u32>,
    at: Instant,
}

/// A seed's aggregate: the reports of the nodes that call it, which are its cluster, the sums of other seeds'
/// clusters, and the sums over its own cluster and over the whole fleet.
#[derive(Debug)]
pub(crate) struct Aggregate {
    /// Random number of the seed's process.
    boot: u32,
    nodes: HashMap<String, NodeReport>,
    seeds: HashMap<String, View>,
    cluster: Table,
    fleet: Table,
    /// Requests that the cluster and the fleet send in ten seconds, by priority.
    sends: [Vec<u32>; 2],
    /// Number of each node's report that the sums contain.
    included: HashMap<String, u32>,
    refreshed: Option<Instant>,
}

impl Aggregate {
    /// An empty aggregate. `boot` is a random number that identifies the seed's process.
    pub(crate) fn new(boot: u32) -> Self {
        Aggregate {
            boot,
            nodes: HashMap::new(),
            seeds: HashMap::new(),
            cluster: Table::default(),
            fleet: Table::default(),
            sends: Default::default(),
            included: HashMap::new(),
            refreshed: None,
        }
    }

    /// Number of nodes in the cluster.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Adds the report of a node of the cluster.
    pub(crate) fn add_report(&mut self, report: Report, now: Instant) {
        let Report { from, number, loads, parts, sends, .. } = report;
        self.cluster.add_parts(parts.iter().copied(), now);
        self.fleet.add_parts(parts, now);
        self.nodes.insert(from, NodeReport { number, loads, sends, at: now });
    }

    /// Position up to which another seed's table has been received.
    pub(crate) fn seed_position(&self, seed: &str) -> Option<Position> {
        self.seeds.get(seed)?.position()
    }

    /// Applies the changes of another seed's cluster; returns the cached parts among them.
    pub(crate) fn apply_seed_summary(
        &mut self,
        seed: &str,
        summary: Summary,
        now: Instant,
    ) -> Vec<(u32, u64)> {
        let parts = summary.parts.clone();
        self.fleet.add_parts(parts.iter().copied(), now);
        self.seeds.entry(seed.to_string()).or_default().apply(summary, now);
        parts
    }

    /// Sums all reports again, at most once per [`REFRESH_INTERVAL`]. Drops reports older than `lifetime`.
    /// `filter` removes from an engine's sum what needn't be sent to nodes, and returns none if nothing
    /// remains.
    pub(crate) fn refresh(
        &mut self,
        lifetime: Duration,
        filter: impl Fn(Load) -> Option<Load>,
        now: Instant,
    ) {
        if self.refreshed.is_some_and(|last| now < last + REFRESH_INTERVAL) {
            return;
        }
        self.refreshed = Some(now);
        self.nodes.retain(|_, report| now < report.at + lifetime);
        self.seeds.retain(|_, view| view.is_fresh(lifetime, now));
        let (mut sums, mut sends) = (HashMap::new(), vec![]);
        for report in self.nodes.values() {
            add_loads(&mut sums, report.loads.iter().cloned());
            wire::gossip::merge_amounts(&mut sends, &report.sends, u32::saturating_add);
        }
        self.included =
            self.nodes.iter().map(|(name, report)| (name.clone(), report.number)).collect();
        self.cluster.update(sums.clone(), now);
        self.sends[0] = sends.clone();
        for view in self.seeds.values() {
            add_loads(&mut sums, view.loads(now));
            wire::gossip::merge_amounts(&mut sends, &view.sends, u32::saturating_add);
        }
        let loads = sums.into_values().filter_map(filter);
        self.fleet.update(loads.map(|load| (load.server, load)).collect(), now);
        self.sends[1] = sends;
    }

    /// Changes of the sums over the fleet since the position `known` of a node.
    pub(crate) fn fleet_summary(
        &self,
        name: &str,
        known: Option<Position>,
        now: Instant,
    ) -> Summary {
        let included = self.included.get(name).copied();
        Summary { included, ..self.summarize(&self.fleet, &self.sends[1], known, now) }
    }

    /// Changes of the sums over this seed's cluster since the position `known` of another seed.
    pub(crate) fn cluster_summary(&self, known: Option<Position>, now: Instant) -> Summary {
        self.summarize(&self.cluster, &self.sends[0], known, now)
    }

    /// Changes of a table since a position. The whole table if the position is of another process of the
    /// seed, or changes after it may have been dropped.
    fn summarize(
        &self,
        table: &Table,
        sends: &[u32],
        known: Option<Position>,
        now: Instant,
    ) -> Summary {
        let known = known.filter(|known| known.boot == self.boot && known.version >= table.floor);
        let mut summary = table.changes_since(known.map(|known| known.version), now);
        summary.position.boot = self.boot;
        Summary { sends: sends.to_vec(), ..summary }
    }
}

/// Adds loads to the sums of their engines.
fn add_loads(sums: &mut HashMap<u32, Load>, loads: impl Iterator<Item = Load>) {
    for load in loads {
        sums.entry(load.server).or_insert_with(|| Load::empty(load.server)).add(&load);
    }
}

#[cfg(test)]
mod tests;
