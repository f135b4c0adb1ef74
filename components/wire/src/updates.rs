//! Messages in which a node asks a peer for changes of the store's items, so that not every node has to
//! read the store.

use std::io::{Read, Write};
use std::net::SocketAddr;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::Error;

/// Largest list of items after decompression, in bytes: ten thousand servers take some 4 MB.
const MAX_INFLATED_BYTES: u32 = 64 << 20;
/// Shortest list that is compressed, in bytes: some ten servers. Compressing less saves too few bytes
/// for the time it takes.
const MIN_DEFLATED_BYTES: usize = 2 << 10;

derives::value! {
    /// A position in the store's history. The store begins a new era each time that it comes back from a copy, and then gives
    /// out revisions again: revisions of different eras can't be compared, positions can.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Position {
        /// Number of the era; rises.
        #[serde(rename = "e", default)]
        pub era: u64,
        /// Number of the change in it; rises within an era.
        #[serde(rename = "r")]
        pub revision: u64,
    }
}

derives::data! {
    /// A node's request for changes.
    #[derive(Default, Serialize, Deserialize)]
    pub struct UpdateRequest {
        /// Name of the node.
        #[serde(rename = "f")]
        pub from: String,
        /// Address of the node's listener for peers; none if it doesn't answer update requests.
        #[serde(rename = "a", default)]
        pub address: Option<SocketAddr>,
        /// Revision in the store's history up to which the node knows all changes; none if it
        /// knows nothing.
        #[serde(rename = "p", default)]
        pub revision: Option<u64>,
        /// Era of that revision; none if the node doesn't know of eras.
        #[serde(rename = "e", default)]
        pub era: Option<u64>,
        /// Digest of the items whose version in the store is overruled by what the node knows; 0 for none.
        #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
        pub standing: u64,
        /// Longest time for which the answer may wait for a change, in milliseconds.
        #[serde(rename = "w", default)]
        pub wait_ms: u32,
        /// Work of the node and of the nodes that report theirs to it.
        #[serde(rename = "q", default)]
        pub work: Work,
    }

    /// Recent work of a number of nodes at engines.
    #[derive(Copy, Default, Serialize, Deserialize)]
    pub struct Work {
        /// Number of nodes that the sums include.
        #[serde(rename = "n", default)]
        pub nodes: u32,
        /// Engine time in milliseconds of streams with the strictest targets, where these have engines of
        /// their own.
        #[serde(rename = "t", default)]
        pub strict_ms: u32,
        /// Engine time of other steady streams, in milliseconds.
        #[serde(rename = "s", default)]
        pub steady_ms: u32,
        /// Engine time of all other requests, in milliseconds.
        #[serde(rename = "b", default)]
        pub bulk_ms: u32,
        /// Size of the requests sent to engines, in KiB per second.
        #[serde(rename = "k", default)]
        pub kib_per_s: u32,
        /// Number of times between tokens that were measured at engines that prefill all the time.
        #[serde(rename = "m", default, skip_serializing_if = "is_none_measured")]
        pub intervals: u32,
        /// Each node's median of these times multiplied by their number, in tenths of a millisecond.
        #[serde(rename = "i", default, skip_serializing_if = "is_none_measured")]
        pub interval_sum: u32,
    }

    /// The answer to the question whether a node can answer update requests.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Presence {
        /// Failure domain of the node.
        #[serde(rename = "d")]
        pub domain: String,
        /// Whether the node has everything that is published and is in contact with the store.
        #[serde(rename = "r", default)]
        pub ready: bool,
    }

    /// The answer to an [`UpdateRequest`]: the changes after its position.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Update {
        /// Revision in the store's history up to which the answering node knows all changes.
        #[serde(rename = "p")]
        pub revision: u64,
        /// Era of that revision; 0 if the node doesn't know of eras.
        #[serde(rename = "e", default)]
        pub era: u64,
        /// Items whose version in the store is overruled by what the answering node knows, if their digest differs from
        /// the requested one.
        #[serde(rename = "t", default, skip_serializing_if = "Items::is_empty")]
        pub standing: Items,
        /// All items as of an earlier position, for a node that knows nothing.
        #[serde(rename = "b", default)]
        pub base: Option<Base>,
        /// Whether the answering node has forgotten some changes after the requested position; the answer
        /// then contains none.
        #[serde(rename = "u", default)]
        pub history_lost: bool,
        /// Items that changed after the requested position, or after the base if there is one.
        #[serde(rename = "i", default)]
        pub items: Items,
        /// Age in milliseconds of the answering node's proof that nothing is newer; none without a proof.
        #[serde(rename = "o", default)]
        pub age_ms: Option<u32>,
        /// Time in milliseconds for which the answer waited for a change.
        #[serde(rename = "h", default)]
        pub waited_ms: u32,
        /// Whether the answering node gets no answers from the store.
        #[serde(rename = "l", default)]
        pub store_lost: bool,
        /// Milliseconds since the store came back after an outage, while missing items may still be published
        /// again; none once they had enough time for that.
        #[serde(rename = "d", default)]
        pub store_returned_ms: Option<u32>,
        /// Work of all nodes known to the answering node.
        #[serde(rename = "q", default)]
        pub work: Work,
        /// Whether items may have come and gone after the requested position of which the answer doesn't tell.
        #[serde(rename = "g", default, skip_serializing_if = "crate::is_false")]
        pub gap: bool,
        /// The nodes through which the answering node has its last answer, by the addresses of their listeners for peers, the
        /// one that read the store last; empty if it read the store itself, none from a program that doesn't say.
        #[serde(rename = "v", default)]
        pub path: Option<Vec<SocketAddr>>,
    }

    /// All items as of a position.
    #[derive(Serialize, Deserialize)]
    pub struct Base {
        /// Revision in the store's history.
        #[serde(rename = "p")]
        pub revision: u64,
        /// Era of that revision.
        #[serde(rename = "e", default)]
        pub era: u64,
        /// The items.
        #[serde(rename = "i")]
        pub items: Items,
    }

    /// An encoded list of items. A long one is compressed: entries of servers resemble each other, and
    /// hundreds of nodes may receive them at once over a narrow link.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Items {
        /// Length of the list before compression, in bytes; none if it isn't compressed.
        #[serde(rename = "n", default)]
        raw_len: Option<u32>,
        /// The list as MessagePack, compressed or not; no bytes for an empty list.
        #[serde(rename = "d")]
        bytes: ByteBuf,
    }

    /// A published item of the store.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct Item {
        /// Key of the item.
        #[serde(rename = "k")]
        pub key: String,
        /// Revision of the item's last change.
        #[serde(rename = "r")]
        pub revision: u64,
        /// Era of that revision.
        #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
        pub era: u64,
        /// Position of the change that brought this version, if the store forgot it. The position of the item then is that
        /// of the older version which the store has in its place; its revision is 0 if it has none.
        #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
        pub origin: Option<Position>,
        /// Value of the item; none after its deletion.
        #[serde(rename = "v", default)]
        pub value: Option<ByteBuf>,
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Item {
    /// Position of the item's last change in the store.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    /// Where the item stands in the order of its versions.
    pub fn place(&self) -> (Position, Option<Position>) {
        (self.position(), self.origin)
    }
}

impl UpdateRequest {
    /// Position up to which the node knows all changes. One that doesn't know of eras is taken to be in `era`.
    pub fn position(&self, era: u64) -> Option<Position> {
        Some(Position { era: self.era.unwrap_or(era), revision: self.revision? })
    }
}

impl Update {
    /// Position up to which the answering node knows all changes.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }
}

impl Base {
    /// Position in the store's history.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }
}

fn is_none_measured(number: &u32) -> bool {
    *number == 0
}

impl Work {
    /// Sums the work of both.
    ///
    /// ```
    /// use wire::updates::Work;
    ///
    /// let one = Work { nodes: 1, strict_ms: 3, steady_ms: 5, bulk_ms: 7, ..Work::default() };
    /// assert_eq!(one.plus(one).bulk_ms, 14);
    /// ```
    pub fn plus(self, other: Work) -> Work {
        Work {
            nodes: self.nodes.saturating_add(other.nodes),
            strict_ms: self.strict_ms.saturating_add(other.strict_ms),
            steady_ms: self.steady_ms.saturating_add(other.steady_ms),
            bulk_ms: self.bulk_ms.saturating_add(other.bulk_ms),
            kib_per_s: self.kib_per_s.saturating_add(other.kib_per_s),
            intervals: self.intervals.saturating_add(other.intervals),
            interval_sum: self.interval_sum.saturating_add(other.interval_sum),
        }
    }
}

impl Items {
    /// Encodes a list.
    ///
    /// ```
    /// use wire::updates::{Item, Items};
    ///
    /// let list = vec![Item { key: "servers/a".to_string(), revision: 7, era: 1, origin: None, value: None }];
    /// assert_eq!(Items::pack(&list).unpack().unwrap(), list);
    /// ```
    pub fn pack(list: &[Item]) -> Self {
        if list.is_empty() {
            return Items::default();
        }
        let plain = rmp_serde::to_vec_named(list).expect("plain fields");
        if plain.len() < MIN_DEFLATED_BYTES {
            return Items { raw_len: None, bytes: plain.into() };
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(&plain).expect("memory takes it");
        let bytes = encoder.finish().expect("memory takes it").into();
        Items { raw_len: Some(plain.len() as u32), bytes }
    }

    /// Whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Decodes the list.
    ///
    /// # Errors
    /// When it can't be decoded, or is longer than its stated length or than 64 MiB.
    pub fn unpack(&self) -> Result<Vec<Item>, Error> {
        if self.bytes.is_empty() {
            return Ok(vec![]);
        }
        let Some(len) = self.raw_len else { return Ok(rmp_serde::from_slice(&self.bytes)?) };
        // A list that is cut off at the limit can't be decoded, and gives an error.
        let max_bytes = len.min(MAX_INFLATED_BYTES).into();
        Ok(rmp_serde::from_read(DeflateDecoder::new(self.bytes.as_ref()).take(max_bytes))?)
    }
}

messages!(UpdateRequest, Update, Presence);
