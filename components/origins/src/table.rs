//! Stores what a node knows of the streams that it and others began.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use crate::id::{Stream, Version};

/// Streams that are remembered; bounds the memory. The ones that expire first are forgotten first.
const MAX_RECORDS: usize = 100_000;

derives::value! {
    /// What is known of the version that began a stream.
    pub enum Origin {
        /// This version began it.
        Version(Version),
        /// The server that began it may have been of another version than its entry said.
        Uncertain,
    }
}

derives::data! {
    /// A stream that this node is sending to its caller.
    #[derive(Copy)]
    pub struct Record {
        /// The stream.
        pub stream: Stream,
        /// What is known of its version.
        pub origin: Origin,
        /// Time from which its caller no longer waits for it.
        pub expires: Instant,
    }
}

#[derive(Clone, Copy, Debug)]
struct Known {
    origin: Origin,
    expires: Instant,
    /// Service and server of a stream that this node is sending; both by hash of the name.
    own: Option<(u32, u32)>,
}

/// The version that began each stream, for as long as its caller may take it up.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use origins::{Origin, Stream, Table, Version};
///
/// let (now, stream) = (Instant::now(), Stream::begun_by("a"));
/// let (v1, expires) = (Origin::Version(Version::of("drafts", "v1")), now + Duration::from_secs(5));
/// let mut table = Table::default();
/// table.insert(stream, v1, expires, now);
/// assert_eq!(table.origin(stream, now), Some(v1));
/// assert_eq!(table.origin(stream, expires), None);
/// ```
#[derive(Debug, Default)]
pub struct Table {
    streams: HashMap<Stream, Known>,
    by_expiry: BTreeSet<(Instant, Stream)>,
}

impl Table {
    /// Records what another node tells of a stream. If it contradicts what is known, the stream is uncertain.
    pub fn insert(&mut self, stream: Stream, origin: Origin, expires: Instant, now: Instant) {
        self.merge(stream, Known { origin, expires, own: None }, now);
    }

    /// Records a stream that this node sends, from `server` of `service`, by hashes of their names.
    pub fn begin(&mut self, record: Record, service: u32, server: u32, now: Instant) {
        let Record { stream, origin, expires } = record;
        self.merge(stream, Known { origin, expires, own: Some((service, server)) }, now);
    }

    /// Records that this node no longer sends a stream.
    pub fn end(&mut self, stream: Stream) {
        if let Some(known) = self.streams.get_mut(&stream) {
            known.own = None;
        }
    }

    fn merge(&mut self, stream: Stream, new: Known, now: Instant) {
        self.expire(now);
        let mut merged = new;
        if let Some(known) = self.streams.get(&stream) {
            if known.origin != new.origin {
                merged.origin = Origin::Uncertain;
            }
            merged.expires = known.expires.max(new.expires);
            merged.own = new.own.or(known.own);
            self.by_expiry.remove(&(known.expires, stream));
        }
        self.streams.insert(stream, merged);
        self.by_expiry.insert((merged.expires, stream));
        if self.streams.len() > MAX_RECORDS {
            self.remove_first();
        }
    }

    fn expire(&mut self, now: Instant) {
        while self.by_expiry.first().is_some_and(|(expires, _)| *expires <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.streams.remove(&stream);
        }
    }

    /// What is known of the version that began a stream; none if nothing is.
    pub fn origin(&self, stream: Stream, now: Instant) -> Option<Origin> {
        self.record(stream, now).map(|record| record.origin)
    }

    /// What is to be told of a stream; none if nothing is known of it.
    pub fn record(&self, stream: Stream, now: Instant) -> Option<Record> {
        let known = self.streams.get(&stream).filter(|known| now < known.expires)?;
        Some(Record { stream, origin: known.origin, expires: known.expires })
    }

    /// The streams that this node is sending: those of one service, or all.
    pub fn own_streams(&self, service: Option<u32>) -> Vec<Stream> {
        let is_listed = |known: &Known| {
            known.own.is_some_and(|(own, _)| service.is_none_or(|service| service == own))
        };
        let own = self.streams.iter().filter(|(_, known)| is_listed(known));
        own.map(|(stream, _)| *stream).collect()
    }

    /// The service of a stream that this node is sending.
    pub fn own_service(&self, stream: Stream) -> Option<u32> {
        self.streams.get(&stream)?.own.map(|(service, _)| service)
    }

    /// Marks the streams that this node is receiving from a server as uncertain, if they count as begun by another
    /// version than the one of which the server is listed now; returns them. The server has started again, before or
    /// after it began them.
    pub fn mark_uncertain(&mut self, server: u32, listed: Version) -> Vec<Stream> {
        let contradicted = |known: &Known| {
            let from_server = known.own.is_some_and(|(_, own)| own == server);
            from_server && known.origin != Origin::Version(listed)
        };
        let mut marked = vec![];
        for (stream, known) in self.streams.iter_mut().filter(|(_, known)| contradicted(known)) {
            known.origin = Origin::Uncertain;
            marked.push(*stream);
        }
        marked
    }

    /// Number of streams of which something is known.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether nothing is known of any stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}
