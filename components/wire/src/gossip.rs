//! What nodes report to each other of the engines that they use: their prompts there, the places that
//! these take, and what the prefix caches hold.

use serde::{Deserialize, Serialize};

derives::data! {
    /// A position in the table of one seed.
    #[derive(Copy, Default, Eq, Serialize, Deserialize)]
    pub struct Position {
        /// Random number of the seed's process; a seed that starts anew has another.
        #[serde(rename = "b")]
        pub boot: u32,
        /// Version of its table up to which all is known.
        #[serde(rename = "v")]
        pub version: u64,
    }

    /// A node reports its own requests to a seed, and asks for what changed at all others.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Report {
        /// Name of the node.
        #[serde(rename = "f")]
        pub from: String,
        /// Number of the report within the node's process.
        #[serde(rename = "n", default)]
        pub number: u32,
        /// What the node has of this seed's table; none if nothing.
        #[serde(rename = "k", default)]
        pub known: Option<Position>,
        /// Engines that its requests are at; all of them.
        #[serde(rename = "l", default)]
        pub loads: Vec<Load>,
        /// Parts of prompts that engines were seen to cache of late: the key of the engine's name, and
        /// the part.
        #[serde(rename = "p", default)]
        pub parts: Vec<(u32, u64)>,
        /// Requests that are sent to engines in ten seconds, by rank of urgency.
        #[serde(rename = "s", default)]
        pub sends: Vec<u32>,
        /// Requests that servers crashed under, as far as the seed may not know of them.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        pub suspects: Vec<Suspect>,
        /// Version up to which the node knows those of the seed.
        #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
        pub suspects_known: u64,
        /// Rate limits that servers named, as far as the seed may not know of them.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        pub limits: Vec<Limit>,
        /// Version up to which the node knows those of the seed.
        #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
        pub limits_known: u64,
    }

    /// What changed in a seed's table since the position that was asked for.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Summary {
        /// Time to let pass before the next report, in milliseconds.
        #[serde(rename = "w", default)]
        pub pause_ms: u32,
        /// Position up to which it tells.
        #[serde(rename = "k")]
        pub at: Position,
        /// It tells all there is, and what isn't named has nothing to tell.
        #[serde(rename = "a", default)]
        pub whole: bool,
        /// Number of the asking node's report that is contained in the sums; none if none is.
        #[serde(rename = "n", default)]
        pub included: Option<u32>,
        /// Sums over all nodes at engines where they changed; an empty one has nothing any more.
        #[serde(rename = "l", default)]
        pub loads: Vec<Load>,
        /// Parts of prompts that engines were seen to cache since.
        #[serde(rename = "p", default)]
        pub parts: Vec<(u32, u64)>,
        /// Requests that all nodes send to engines in ten seconds, by rank of urgency.
        #[serde(rename = "s", default)]
        pub sends: Vec<u32>,
        /// Requests that servers crashed under, as far as the node may not know of them.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        pub suspects: Vec<Suspect>,
        /// Version up to which it tells of those.
        #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
        pub suspects_at: u64,
        /// Rate limits that servers named, as far as the node may not know of them.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        pub limits: Vec<Limit>,
        /// Version up to which it tells of those.
        #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
        pub limits_at: u64,
        /// Requests that the node may send to servers with a limit: the key of the server's name, and how
        /// many.
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        pub permits: Vec<(u32, u32)>,
    }

    /// A request that servers crashed under. An array on the wire.
    #[derive(Default, Eq, Serialize, Deserialize)]
    #[serde(from = "SuspectRow", into = "SuspectRow")]
    pub struct Suspect {
        /// Hash of what it asks.
        pub content: u64,
        /// Servers that crashed while they ran it.
        pub crashes: Vec<Crash>,
        /// Milliseconds since it last got a whole answer; none if it never did.
        pub completed_ms: Option<u32>,
    }

    /// Prompts at one engine. An array on the wire, as there are many of them.
    #[derive(Default, Eq, Serialize, Deserialize)]
    #[serde(from = "Row", into = "Row")]
    pub struct Load {
        /// Key of the engine's name, as by [`crate::key`].
        pub server: u32,
        /// Milliseconds that prompts take to read, by rank of urgency; what is left out is nothing.
        pub reading_ms: Vec<u32>,
        /// Milliseconds by which one of them waits for longer than is usual, by rank of urgency.
        pub overdue_ms: Vec<u32>,
        /// Places that they take or wait for, by rank of urgency.
        pub taken: Vec<u32>,
        /// Milliseconds since the engine was last seen to begin an answer; none if it wasn't of late.
        pub begun_ms: Option<u32>,
    }
}

row! {
    /// A server crashed while it ran a request.
    pub struct Crash {
        /// Key of this start of the server, as by [`crate::key`].
        pub server: u32,
        /// Milliseconds since the request was sent to it.
        pub sent_ms: u32,
        /// Milliseconds since it crashed.
        pub crashed_ms: u32,
    }
}

row! {
    /// A rate limit that a server named.
    pub struct Limit {
        /// Key of the server's name, as by [`crate::key`].
        pub server: u32,
        /// Requests in 1,000 seconds that it takes from all nodes; none if it no longer names a limit.
        pub rate: Option<u32>,
        /// Milliseconds since a node received that.
        pub age_ms: u32,
    }
}

type SuspectRow = (u64, Vec<Crash>, Option<u32>);

impl From<SuspectRow> for Suspect {
    fn from((content, crashes, completed_ms): SuspectRow) -> Self {
        Suspect { content, crashes, completed_ms }
    }
}

impl From<Suspect> for SuspectRow {
    fn from(suspect: Suspect) -> Self {
        (suspect.content, suspect.crashes, suspect.completed_ms)
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

type Row = (u32, Vec<u32>, Vec<u32>, Vec<u32>, Option<u32>);

impl From<Row> for Load {
    fn from((server, reading_ms, overdue_ms, taken, begun_ms): Row) -> Self {
        Load { server, reading_ms, overdue_ms, taken, begun_ms }
    }
}

impl From<Load> for Row {
    fn from(load: Load) -> Self {
        (load.server, load.reading_ms, load.overdue_ms, load.taken, load.begun_ms)
    }
}

impl Load {
    /// Nothing at an engine.
    ///
    /// ```
    /// assert!(wire::gossip::Load::none(7).is_none());
    /// ```
    pub fn none(server: u32) -> Self {
        Load { server, ..Load::default() }
    }

    /// Whether there is nothing at the engine.
    pub fn is_none(&self) -> bool {
        *self == Load::none(self.server)
    }

    /// Adds what other nodes have at the same engine, and know of it.
    ///
    /// ```
    /// use wire::gossip::Load;
    ///
    /// let load = |reading: &[u32], overdue: &[u32], begun_ms| Load {
    ///     server: 7,
    ///     reading_ms: reading.to_vec(),
    ///     overdue_ms: overdue.to_vec(),
    ///     taken: vec![1],
    ///     begun_ms,
    /// };
    /// let mut sum = load(&[5], &[40], Some(90));
    /// sum.add(&load(&[1, 2], &[30, 10], Some(20)));
    /// assert_eq!(sum, Load { taken: vec![2], ..load(&[6, 2], &[40, 10], Some(20)) });
    /// ```
    pub fn add(&mut self, other: &Load) {
        merge(&mut self.reading_ms, &other.reading_ms, u32::saturating_add);
        merge(&mut self.overdue_ms, &other.overdue_ms, u32::max);
        merge(&mut self.taken, &other.taken, u32::saturating_add);
        self.begun_ms = self.begun_ms.into_iter().chain(other.begun_ms).min();
    }

    /// Takes one node's part out of a sum. The longest delay and the last answer stay, whoever saw them.
    ///
    /// ```
    /// use wire::gossip::Load;
    ///
    /// let mut sum = Load { reading_ms: vec![9, 4], taken: vec![3], ..Load::none(7) };
    /// sum.remove(&Load { reading_ms: vec![2], taken: vec![1], ..Load::none(7) });
    /// assert_eq!(sum, Load { reading_ms: vec![7, 4], taken: vec![2], ..Load::none(7) });
    /// ```
    pub fn remove(&mut self, part: &Load) {
        merge(&mut self.reading_ms, &part.reading_ms, u32::saturating_sub);
        merge(&mut self.taken, &part.taken, u32::saturating_sub);
    }
}

/// Adds amounts by rank to others `by` a sum or another function.
///
/// ```
/// let mut held = vec![1];
/// wire::gossip::merge(&mut held, &[2, 3], u32::saturating_add);
/// assert_eq!(held, [3, 3]);
/// ```
pub fn merge(held: &mut Vec<u32>, more: &[u32], by: impl Fn(u32, u32) -> u32) {
    held.resize(held.len().max(more.len()), 0);
    for (held, more) in held.iter_mut().zip(more) {
        *held = by(*held, *more);
    }
}

messages!(Report, Summary);
