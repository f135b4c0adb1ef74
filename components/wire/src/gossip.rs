//! Messages in which nodes report their load at engines to each other: outstanding prefill, occupied
//! slots, and the content of prefix caches.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::is_false;
use crate::updates::Work;

derives::data! {
    /// A position in the history of one seed's table.
    #[derive(Copy, Default, Eq, Serialize, Deserialize)]
    pub struct Position {
        /// Random number that identifies the seed's process; it differs after a restart.
        #[serde(rename = "b")]
        pub boot: u32,
        /// Version of the table up to which all changes are known.
        #[serde(rename = "v")]
        pub version: u64,
    }

    /// A node's report of its own requests to a seed, and its question for changes at all other nodes.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Report {
        /// Name of the node.
        #[serde(rename = "f")]
        pub from: String,
        /// Number of the report, counted from the start of the node's process.
        #[serde(rename = "n", default)]
        pub number: u32,
        /// Position up to which the node knows this seed's table; none if it knows nothing of it.
        #[serde(rename = "k", default)]
        pub known: Option<Position>,
        /// Load at every engine at which the node has requests.
        #[serde(rename = "l", default)]
        pub loads: Vec<Load>,
        /// Parts of prompts that engines recently cached: the key of the engine's name, and the hash of
        /// the part.
        #[serde(rename = "p", default)]
        pub parts: Vec<(u32, u64)>,
        /// Number of requests that the node sends to engines in ten seconds, by priority.
        #[serde(rename = "s", default)]
        pub sends: Vec<u32>,
        /// Requests during which servers crashed, if the seed may not know them.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        pub suspects: Vec<Suspect>,
        /// For suspects that are parts of prompts: those that came with each of them, itself included.
        #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
        pub companions: Vec<(u64, Vec<u64>)>,
        /// Version up to which the node knows the seed's suspects.
        #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
        pub suspects_known: u64,
        /// Rate limits that servers stated, if the seed may not know them.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        pub limits: Vec<Limit>,
        /// Version up to which the node knows the seed's rate limits.
        #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
        pub limits_known: u64,
        /// Servers that the node takes for cold because its connections to them failed: the keys of their names.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub cold: Vec<u32>,
        /// Permits for cold servers that the node could use at once; none if it knows no cold server.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        pub permits_wanted: Option<u32>,
        /// Recent work at engines: of the node, or of a seed and all nodes that report to it.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        pub work: Option<Work>,
        /// Whether the node can't reach the servers of a service and asks for peers that do.
        #[serde(rename = "u", default, skip_serializing_if = "is_false")]
        pub wants_peers: bool,
        /// Where the node is, once the seed has asked for it.
        #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
        pub location: Option<Peer>,
        /// Digest of the list of nodes that the node has, or that it has of a seed's; 0 if it has none. None if the
        /// answer needn't hold a list.
        #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
        pub members: Option<u32>,
        /// Rates at which engines prefilled for the node's requests since its last report.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub rates: Vec<Rate>,
        /// Version up to which the node knows the seed's estimates of such rates.
        #[serde(rename = "h", default, skip_serializing_if = "is_zero")]
        pub rates_known: u64,
        /// Whether the sender can decode rows with numbers on memory.
        #[serde(rename = "z", default, skip_serializing_if = "is_false")]
        pub takes_memory: bool,
        /// Workspaces that offer most engine time: of the node, or of a seed and all nodes that report to it.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        pub offers: Vec<Offer>,
        /// Engine time that all workspaces offer there by tier, in milliseconds per second.
        #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
        pub offered: Vec<u32>,
    }

    /// Changes in a seed's table since the position in the report.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Summary {
        /// Time to wait before the next report, in milliseconds.
        #[serde(rename = "w", default)]
        pub pause_ms: u32,
        /// Position up to which the summary contains all changes.
        #[serde(rename = "k")]
        pub position: Position,
        /// Whether this is the complete table: engines that aren't in it have no load.
        #[serde(rename = "a", default)]
        pub complete: bool,
        /// Number of the asking node's latest report that the sums include; none if they include none.
        #[serde(rename = "n", default)]
        pub included: Option<u32>,
        /// Sums over all nodes, for engines at which they changed; a sum without any load means that no
        /// load is left at the engine.
        #[serde(rename = "l", default)]
        pub loads: Vec<Load>,
        /// Parts of prompts that engines cached since the position.
        #[serde(rename = "p", default)]
        pub parts: Vec<(u32, u64)>,
        /// Number of requests that all nodes send to engines in ten seconds, by priority.
        #[serde(rename = "s", default)]
        pub sends: Vec<u32>,
        /// Requests during which servers crashed, if the node may not know them.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        pub suspects: Vec<Suspect>,
        /// For suspects that are parts of prompts: those that came with each of them, itself included.
        #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
        pub companions: Vec<(u64, Vec<u64>)>,
        /// Version up to which the summary contains the suspects.
        #[serde(rename = "q", default, skip_serializing_if = "is_zero")]
        pub suspects_version: u64,
        /// Rate limits that servers stated, if the node may not know them.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        pub limits: Vec<Limit>,
        /// Version up to which the summary contains the rate limits.
        #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
        pub limits_version: u64,
        /// Permits for requests to servers with a rate limit: the key of the server's name, and the number
        /// of requests that the node may send.
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        pub permits: Vec<(u32, u32)>,
        /// Permits for requests to cold servers, in the same form.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub cold_permits: Vec<(u32, u32)>,
        /// Recent work of all nodes at engines.
        #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
        pub work: Option<Work>,
        /// Peers that reach servers, if the node asked for them.
        #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
        pub peers: Vec<Peer>,
        /// Whether the seed doesn't know where the node is.
        #[serde(rename = "i", default, skip_serializing_if = "is_false")]
        pub wants_location: bool,
        /// The nodes of the fleet, or those that report to a seed, if the list differs from the one that the asking
        /// node has.
        #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
        pub members: Vec<Peer>,
        /// Estimates of the rates at which engines prefill that the node may not know.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub rates: Vec<Rate>,
        /// Version up to which the summary contains the estimates; 0 if the seed has none, and 1 if the node must ask
        /// for all of them.
        #[serde(rename = "h", default, skip_serializing_if = "is_zero")]
        pub rates_version: u64,
        /// Whether the seed can decode rows with numbers on memory.
        #[serde(rename = "z", default, skip_serializing_if = "is_false")]
        pub takes_memory: bool,
        /// Workspaces of all nodes that offer most engine time, if the report contains those of the node.
        #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
        pub offers: Vec<Offer>,
        /// Engine time that all workspaces offer at all nodes by tier, in milliseconds per second.
        #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
        pub offered: Vec<u32>,
    }

    /// A request, or a part of prompts, during which servers crashed. An array on the wire.
    #[derive(Default, Eq, Serialize, Deserialize)]
    #[serde(from = "SuspectRow", into = "SuspectRow")]
    pub struct Suspect {
        /// Hash of the request's content, or key of the part.
        pub content: u64,
        /// Crashes of servers while they ran the request.
        pub crashes: Vec<Crash>,
        /// Milliseconds since the request last got a complete answer; none if it never did.
        pub completed_ms: Option<u32>,
    }

    /// Outstanding requests at one engine. An array on the wire, because messages contain many of them.
    #[derive(Default, Eq, Serialize, Deserialize)]
    #[serde(from = "Row", into = "SentRow")]
    pub struct Load {
        /// [`crate::key`] of the engine's name.
        pub server: u32,
        /// Milliseconds of prefill of the outstanding prompts, by priority; priorities beyond the end of
        /// the list have none.
        pub prefill_ms: Vec<u32>,
        /// Milliseconds by which the first token of one of the requests is overdue, by priority.
        pub overdue_ms: Vec<u32>,
        /// Slots that the requests occupy or wait for, by priority.
        pub occupied: Vec<u32>,
        /// Milliseconds since the last first token from the engine; none if there was no recent one.
        pub first_token_age_ms: Option<u32>,
        /// Thousands of tokens that the requests occupy in the engine's memory; 0 where that isn't crowded.
        pub running_kilotokens: u32,
        /// Thousands of tokens that were inserted into that memory in the last 8 s.
        pub inserted_kilotokens: u32,
    }
}

derives::data! {
    /// The rate at which an engine prefills. An array on the wire, without the samples if there are none.
    #[derive(Copy, Default, Eq, Serialize, Deserialize)]
    #[serde(from = "Vec<u32>", into = "Vec<u32>")]
    pub struct Rate {
        /// [`crate::key`] of the engine's name.
        pub server: u32,
        /// Hundreds of prompt tokens per second; 0 if the rate is no longer known.
        pub hundreds: u32,
        /// Number of recent samples that an estimate of another seed was taken from; 0 in other rows.
        pub samples: u32,
    }
}

impl From<Vec<u32>> for Rate {
    fn from(row: Vec<u32>) -> Self {
        let field = |index: usize| row.get(index).copied().unwrap_or_default();
        Rate { server: field(0), hundreds: field(1), samples: field(2) }
    }
}

impl From<Rate> for Vec<u32> {
    fn from(rate: Rate) -> Self {
        let mut row = vec![rate.server, rate.hundreds, rate.samples];
        row.truncate(if rate.samples == 0 { 2 } else { 3 });
        row
    }
}

derives::data! {
    /// A node to which requests can be passed on. An array on the wire.
    #[derive(Eq, PartialOrd, Ord, Serialize, Deserialize)]
    #[serde(from = "PeerRow", into = "PeerRow")]
    pub struct Peer {
        /// Address of its listener for peers.
        pub address: SocketAddr,
        /// Failure domain that it is in.
        pub domain: String,
    }
}

/// A [`Peer`] on the wire: its fields by position.
type PeerRow = (SocketAddr, String);

impl From<PeerRow> for Peer {
    fn from((address, domain): PeerRow) -> Self {
        Peer { address, domain }
    }
}

impl From<Peer> for PeerRow {
    fn from(peer: Peer) -> Self {
        (peer.address, peer.domain)
    }
}

row! {
    /// A crash of a server while it ran a request.
    pub struct Crash {
        /// [`crate::key`] of the server's instance, which differs after each of its starts.
        pub instance: u32,
        /// Milliseconds since the request was sent to the server.
        pub sent_ms: u32,
        /// Milliseconds since the server crashed.
        pub crashed_ms: u32,
    }
}

row! {
    /// Engine time that a workspace offers in one tier.
    pub struct Offer {
        /// [`crate::key`] of the workspace's name.
        pub workspace: u32,
        /// Tier; 0 is the highest.
        pub tier: u8,
        /// Milliseconds of engine time per second.
        pub ms_per_s: u32,
    }
}

row! {
    /// A rate limit that a server stated.
    pub struct Limit {
        /// [`crate::key`] of the server's name.
        pub server: u32,
        /// Number of requests in 1,000 seconds that the server accepts from all nodes; none if it no longer
        /// states a limit.
        pub rate: Option<u32>,
        /// Milliseconds since a node received the statement.
        pub age_ms: u32,
    }
}

/// A [`Suspect`] on the wire: its fields by position.
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

/// A received [`Load`]: its fields by position. The last two are missing if they are 0, and in rows of older nodes.
#[derive(Deserialize)]
struct Row(
    u32,
    Vec<u32>,
    Vec<u32>,
    Vec<u32>,
    Option<u32>,
    #[serde(default)] u32,
    #[serde(default)] u32,
);

/// A [`Load`] that is sent.
#[derive(Serialize)]
#[serde(untagged)]
enum SentRow {
    WithMemory(u32, Vec<u32>, Vec<u32>, Vec<u32>, Option<u32>, u32, u32),
    WithoutMemory(u32, Vec<u32>, Vec<u32>, Vec<u32>, Option<u32>),
}

impl From<Row> for Load {
    fn from(row: Row) -> Self {
        Load {
            server: row.0,
            prefill_ms: row.1,
            overdue_ms: row.2,
            occupied: row.3,
            first_token_age_ms: row.4,
            running_kilotokens: row.5,
            inserted_kilotokens: row.6,
        }
    }
}

impl From<Load> for SentRow {
    fn from(load: Load) -> Self {
        let Load { server, prefill_ms, overdue_ms, occupied, first_token_age_ms: age, .. } = load;
        match (load.running_kilotokens, load.inserted_kilotokens) {
            (0, 0) => SentRow::WithoutMemory(server, prefill_ms, overdue_ms, occupied, age),
            (running, inserted) => SentRow::WithMemory(
                server, prefill_ms, overdue_ms, occupied, age, running, inserted,
            ),
        }
    }
}

impl Load {
    /// No outstanding requests at an engine.
    ///
    /// ```
    /// assert!(wire::gossip::Load::empty(7).is_empty());
    /// ```
    pub fn empty(server: u32) -> Self {
        Load { server, ..Load::default() }
    }

    /// Whether there are no outstanding requests at the engine.
    pub fn is_empty(&self) -> bool {
        *self == Load::empty(self.server)
    }

    /// Whether it has numbers on the engine's memory.
    ///
    /// ```
    /// let load = wire::gossip::Load { running_kilotokens: 5, ..wire::gossip::Load::empty(7) };
    /// assert!(load.has_memory() && !load.without_memory().has_memory());
    /// ```
    pub fn has_memory(&self) -> bool {
        self.running_kilotokens > 0 || self.inserted_kilotokens > 0
    }

    /// The same without those numbers. Older nodes can't decode a row with them, nor the message that contains it.
    pub fn without_memory(self) -> Self {
        Load { running_kilotokens: 0, inserted_kilotokens: 0, ..self }
    }

    /// Adds the load of other nodes at the same engine: amounts are summed, and of the delays and the
    /// ages of the last first token the longest delay and the smallest age remain.
    ///
    /// ```
    /// use wire::gossip::Load;
    ///
    /// let load = |prefill: &[u32], overdue: &[u32], first_token_age_ms| Load {
    ///     server: 7,
    ///     prefill_ms: prefill.to_vec(),
    ///     overdue_ms: overdue.to_vec(),
    ///     occupied: vec![1],
    ///     first_token_age_ms,
    ///     running_kilotokens: 20,
    ///     inserted_kilotokens: 30,
    /// };
    /// let mut sum = load(&[5], &[40], Some(90));
    /// sum.add(&load(&[1, 2], &[30, 10], Some(20)));
    /// assert_eq!((sum.running_kilotokens, sum.inserted_kilotokens), (40, 60));
    /// let expected = load(&[6, 2], &[40, 10], Some(20));
    /// let (running_kilotokens, inserted_kilotokens) = (40, 60);
    /// let occupied = vec![2];
    /// assert_eq!(sum, Load { occupied, running_kilotokens, inserted_kilotokens, ..expected });
    /// ```
    pub fn add(&mut self, other: &Load) {
        merge_amounts(&mut self.prefill_ms, &other.prefill_ms, u32::saturating_add);
        merge_amounts(&mut self.overdue_ms, &other.overdue_ms, u32::max);
        merge_amounts(&mut self.occupied, &other.occupied, u32::saturating_add);
        self.first_token_age_ms =
            self.first_token_age_ms.into_iter().chain(other.first_token_age_ms).min();
        self.running_kilotokens = self.running_kilotokens.saturating_add(other.running_kilotokens);
        self.inserted_kilotokens =
            self.inserted_kilotokens.saturating_add(other.inserted_kilotokens);
    }

    /// Subtracts one node's load from a sum. The longest delay and the age of the last first token stay,
    /// whichever node observed them.
    ///
    /// ```
    /// use wire::gossip::Load;
    ///
    /// let mut sum = Load { prefill_ms: vec![9, 4], occupied: vec![3], ..Load::empty(7) };
    /// sum.subtract(&Load { prefill_ms: vec![2], occupied: vec![1], ..Load::empty(7) });
    /// assert_eq!(sum, Load { prefill_ms: vec![7, 4], occupied: vec![2], ..Load::empty(7) });
    /// ```
    pub fn subtract(&mut self, part: &Load) {
        merge_amounts(&mut self.prefill_ms, &part.prefill_ms, u32::saturating_sub);
        merge_amounts(&mut self.occupied, &part.occupied, u32::saturating_sub);
        self.running_kilotokens = self.running_kilotokens.saturating_sub(part.running_kilotokens);
        self.inserted_kilotokens =
            self.inserted_kilotokens.saturating_sub(part.inserted_kilotokens);
    }
}

/// Combines amounts with others by `combine`, priority by priority; a missing amount counts as 0.
///
/// ```
/// let mut amounts = vec![1];
/// wire::gossip::merge_amounts(&mut amounts, &[2, 3], u32::saturating_add);
/// assert_eq!(amounts, [3, 3]);
/// ```
pub fn merge_amounts(amounts: &mut Vec<u32>, others: &[u32], combine: impl Fn(u32, u32) -> u32) {
    amounts.resize(amounts.len().max(others.len()), 0);
    for (amount, other) in amounts.iter_mut().zip(others) {
        *amount = combine(*amount, *other);
    }
}

messages!(Report, Summary);
