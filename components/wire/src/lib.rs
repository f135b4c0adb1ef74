//! Messages between the processes of a fleet: MessagePack maps with named fields, so that an older
//! build ignores a field that it doesn't know, and a field that it doesn't send gets its default.
//!
//! Field names on the wire are single letters, because control traffic has a byte budget. Rows of a
//! list are arrays; the fields of a row never change, and a newer build adds another list instead.

#[macro_use]
mod encoding;
pub mod gossip;
pub mod hop;
mod idempotency;
pub mod origins;
pub mod updates;

pub use idempotency::{Handover, KeyedCall};
/// Parts of a [`Handover`].
pub mod handover {
    pub use crate::idempotency::{Answer, Call};
}

use serde::{Deserialize, Serialize};

/// Protocol version that this build sends.
pub const VERSION: u16 = 1;

derives::data! {
    /// A node's state, sent to a peer. Lists contain the changes since the last frame to this peer, unless
    /// they are marked as complete.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Frame {
        /// Protocol version of the sender.
        #[serde(rename = "v")]
        pub version: u16,
        /// Name of the sender.
        #[serde(rename = "f")]
        pub from: String,
        /// Start time of the sender's process, in milliseconds since 1970.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// Number of the frame within the sender's process; a newer frame has a higher one.
        #[serde(rename = "b", default)]
        pub sequence: u64,
        /// Address of the sender's listener for peers.
        #[serde(rename = "a", default, skip_serializing_if = "String::is_empty")]
        pub address: String,
        /// Failure domain of the sender.
        #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
        pub domain: String,
        /// Revision of the settings in force at the sender.
        #[serde(rename = "r", default)]
        pub revision: u64,
        /// Digest of the settings in force at the sender.
        #[serde(rename = "g", default)]
        pub digest: u64,
        /// Whether the sender is leaving and accepts no new work.
        #[serde(rename = "l", default, skip_serializing_if = "is_false")]
        pub leaving: bool,
        /// Number of the sender's requests in flight by server; zero for a server that has none left.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        pub in_flight: Vec<InFlight>,
        /// The sender's work by tier; always complete.
        #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
        pub demand: Vec<Demand>,
        /// The sender's queued requests by model and tier; always complete.
        #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
        pub queued: Vec<Queued>,
        /// The sender's requests in flight by workspace, for those workspaces with a limit that have the
        /// most; always complete.
        #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
        pub workspaces: Vec<InFlight>,
        /// Signs of life of other nodes, received by the sender or passed on to it.
        #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
        pub liveness: Vec<Liveness>,
        /// Load reports of engines.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub loads: Vec<Load>,
        /// Keys of the servers that get no new work from the sender because they don't show what the settings
        /// want.
        #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
        pub suspects: Vec<u32>,
        /// Sums of the work of cells.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        pub cells: Vec<Cell>,
    }
}

row! {
    /// Requests in flight at one server, or of one workspace.
    pub struct InFlight {
        /// [`key`] of the server's or workspace's name.
        pub key: u32,
        /// Number of requests in flight.
        pub count: u32,
    }
}

row! {
    /// Work of one tier on one node.
    pub struct Demand {
        /// Rank of the tier; 0 is the highest.
        pub tier: u8,
        /// Number of queued requests.
        pub waiting: u32,
        /// Number of requests in flight.
        pub in_flight: u32,
    }
}

row! {
    /// Requests of one tier that are queued on one node for servers of one model.
    pub struct Queued {
        /// [`key`] of the model's name.
        pub model: u32,
        /// Rank of the tier; 0 is the highest.
        pub tier: u8,
        /// Number of queued requests.
        pub count: u32,
    }
}

row! {
    /// The age of a node's last sign of life.
    pub struct Liveness {
        /// [`key`] of the node's name.
        pub node: u32,
        /// Milliseconds since the sign of life, as far as the sender knows.
        pub age_ms: u32,
    }
}

row! {
    /// An engine's report of its own load.
    pub struct Load {
        /// [`key`] of the engine's name.
        pub server: u32,
        /// Milliseconds since the engine measured its load.
        pub age_ms: u32,
        /// Number of requests that run.
        pub running: u32,
        /// Number of requests that are queued at the engine.
        pub queued: u32,
        /// Number of requests that the engine can run at once.
        pub slots: u32,
        /// Time between two tokens of a stream in microseconds.
        pub token_interval_us: u32,
        /// Whether the engine accepts no new work.
        pub leaving: bool,
    }
}

row! {
    /// Work of one tier in one cell, summed by a node of the cell.
    pub struct Cell {
        /// Number of the cell.
        pub cell: u32,
        /// Milliseconds since the work was summed.
        pub age_ms: u32,
        /// Rank of the tier; 0 is the highest.
        pub tier: u8,
        /// Number of queued requests.
        pub waiting: u32,
        /// Number of slots that the tier could still occupy.
        pub free: u32,
    }
}

/// A message that can't be decoded.
#[derive(Debug, thiserror::Error)]
#[error("unreadable frame from a peer ({0}); check that both run builds of this program")]
pub struct Error(#[from] rmp_serde::decode::Error);

pub(crate) fn is_false(flag: &bool) -> bool {
    !flag
}

pub(crate) fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The key that stands for a name on the wire: 32 bits of its hash, to save bytes. Two of the hundred
/// or so names of a cell collide in about one of a million cells; their counts would then be added.
///
/// ```
/// assert_ne!(wire::key("engine-0"), wire::key("engine-1"));
/// ```
pub fn key(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

messages!(Frame);
