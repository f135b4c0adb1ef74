//! Lists the nodes of a fleet, and chooses the keepers of each stream among them.
//!
//! Load pattern: hundreds of nodes. Each stream is told to a few of them, which all nodes derive alike from its id, so
//! each node is told of as many streams as it begins, times the copies. A list of all nodes would be sent to all
//! nodes whenever one comes or goes, so it is bounded: beyond that, nodes with the lowest hashes are listed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wire::gossip::Peer;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::Stream;

/// Nodes that are told of a stream.
pub const COPIES: usize = 4;
/// Nodes that are asked for a stream: lists differ for a moment when nodes come or go.
pub const ASKED: usize = 6;
/// Nodes that read the store to prove that a list of servers is complete.
pub const MAX_READERS: usize = 8;
/// Seeds among them. The others may reach the store when no seed does.
const MAX_READING_SEEDS: usize = 4;
/// Nodes that are listed.
pub const MAX_MEMBERS: usize = 64;
/// A seed changes a list at most once in this time for each node on it: while hundreds of nodes start, it would else
/// send a longer one to each of them with every answer.
const CHANGE_PAUSE_PER_NODE: Duration = Duration::from_millis(50);
/// Time without a report after which a node is no longer listed. A node that is restarted comes back to its place.
const MEMBER_LIFETIME: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Seen {
    domain: String,
    reported: Instant,
}

#[derive(Clone, Debug)]
struct Cluster {
    members: Vec<Peer>,
    confirmed: Instant,
}

/// The nodes of a fleet, as seeds know them from reports and tell them to all others.
///
/// ```
/// use origins::{COPIES, Members, Stream};
/// use wire::gossip::Peer;
///
/// let peer = |n: u8| Peer { address: ([10, 0, 0, n], 80).into(), domain: format!("d{}", n % 3) };
/// let mut members = Members::default();
/// members.apply((1..=7).map(peer).collect());
/// let ranked = members.ranked(Stream(5));
/// assert_eq!(ranked.len(), 7);
/// assert_eq!(members.keepers(Stream(5)), ranked[..COPIES]);
/// ```
#[derive(Debug, Default)]
pub struct Members {
    /// At a seed, the nodes that report to it and itself.
    reporters: HashMap<SocketAddr, Seen>,
    /// At a seed, what the other seeds last said of theirs.
    clusters: BTreeMap<String, Cluster>,
    /// When a seed last changed its list.
    changed: Option<Instant>,
    /// Sorted by address.
    listed: Vec<Peer>,
    /// Hashes of the listed addresses.
    hashes: Vec<u64>,
    /// Digest of the list.
    digest: u32,
    /// Two of the nodes that were ever known to this process, or all if they are fewer.
    met: BTreeSet<SocketAddr>,
}

/// Hash of a list by which a node and a seed find out whether theirs is the same; 0 for an empty one.
fn digest(list: &[Peer]) -> u32 {
    if list.is_empty() {
        return 0;
    }
    let texts: Vec<_> =
        list.iter().map(|peer| format!("{} {}", peer.address, peer.domain)).collect();
    (xxh3_64(texts.join("\n").as_bytes()) as u32).max(1)
}

fn hash(peer: &Peer) -> u64 {
    xxh3_64(peer.address.to_string().as_bytes())
}

impl Members {
    /// Records at a seed that a node reported, or that the seed itself runs.
    pub fn record(&mut self, peer: Peer, now: Instant) {
        self.meet([peer.address]);
        self.reporters.insert(peer.address, Seen { domain: peer.domain, reported: now });
    }

    /// Takes the list of another seed's reporters over, or confirms the one before if it is empty.
    pub fn set_cluster(&mut self, seed: &str, members: Vec<Peer>, now: Instant) {
        let cluster = self.clusters.entry(seed.to_string());
        let cluster = cluster.or_insert(Cluster { members: vec![], confirmed: now });
        cluster.confirmed = now;
        if !members.is_empty() {
            cluster.members = members;
            let addresses: Vec<_> =
                self.clusters[seed].members.iter().map(|peer| peer.address).collect();
            self.meet(addresses);
        }
    }

    /// Digest of the list that another seed last sent.
    pub fn cluster_digest(&self, seed: &str) -> u32 {
        self.clusters.get(seed).map_or(0, |cluster| digest(&cluster.members))
    }

    /// The nodes that report to this seed; none if the asking seed has this list.
    pub fn own_cluster(&self, known: u32) -> Vec<Peer> {
        let reporters = self.reporters.iter();
        let peer = |(address, seen): (&SocketAddr, &Seen)| Peer {
            address: *address,
            domain: seen.domain.clone(),
        };
        let mut own = bounded(reporters.map(peer).collect());
        if digest(&own) == known {
            own.clear();
        }
        own
    }

    /// Updates a seed's list from its reporters and those of other seeds, unless it has just changed; returns whether
    /// it changes.
    pub fn refresh(&mut self, now: Instant) -> bool {
        let pause = CHANGE_PAUSE_PER_NODE * self.listed.len() as u32;
        if self.changed.is_some_and(|changed| now < changed + pause) {
            return false;
        }
        self.reporters.retain(|_, seen| now < seen.reported + MEMBER_LIFETIME);
        self.clusters.retain(|_, cluster| now < cluster.confirmed + MEMBER_LIFETIME);
        let mut all = self.own_cluster(0);
        all.extend(self.clusters.values().flat_map(|cluster| &cluster.members).cloned());
        let changed = self.apply(all);
        if changed {
            self.changed = Some(now);
        }
        changed
    }

    /// Takes a list over; returns whether it differs from the one before.
    pub fn apply(&mut self, members: Vec<Peer>) -> bool {
        let members = bounded(members);
        self.meet(members.iter().map(|peer| peer.address));
        if members == self.listed {
            return false;
        }
        self.hashes = members.iter().map(hash).collect();
        self.digest = digest(&members);
        self.listed = members;
        true
    }

    /// The list for a node; empty if that node has it.
    pub fn list_for(&self, known: u32) -> Vec<Peer> {
        if self.digest() == known { vec![] } else { self.listed.clone() }
    }

    /// Digest of the list.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Whether a node is listed.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.listed.iter().any(|peer| peer.address == *address)
    }

    /// Number of listed nodes other than `own`.
    pub fn others(&self, own: SocketAddr) -> usize {
        self.listed.iter().filter(|peer| peer.address != own).count()
    }

    /// Whether a node other than `own` was ever known. One that is silent may still run.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use origins::Members;
    /// use wire::gossip::Peer;
    ///
    /// let peer = |n: u8| Peer { address: ([10, 0, 0, n], 80).into(), domain: "d".to_string() };
    /// let (own, now, mut members) = (peer(1).address, Instant::now(), Members::default());
    /// members.record(peer(1), now);
    /// assert!(!members.has_met_other(own));
    /// members.record(peer(2), now);
    /// members.refresh(now + Duration::from_secs(60));
    /// assert!(members.others(own) == 0 && members.has_met_other(own));
    /// ```
    pub fn has_met_other(&self, own: SocketAddr) -> bool {
        self.met.iter().any(|address| *address != own)
    }

    fn meet(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if self.met.len() < 2 {
                self.met.insert(address);
            }
        }
    }

    /// All listed nodes in the order in which they keep a stream: by rendezvous hashing, beginning with nodes of
    /// different failure domains.
    pub fn ranked(&self, stream: Stream) -> Vec<SocketAddr> {
        let weight = |hash: &u64| xxh3_64_with_seed(&hash.to_le_bytes(), stream.0);
        let weighed = self.hashes.iter().map(weight).zip(&self.listed);
        let mut order: Vec<_> = weighed.collect();
        order.sort_unstable_by_key(|(weight, peer)| (std::cmp::Reverse(*weight), peer.address));
        let mut domains: Vec<&str> = vec![];
        let (mut first, mut rest) = (vec![], vec![]);
        for (_, peer) in order {
            let is_new = first.len() < COPIES && !domains.contains(&peer.domain.as_str());
            if is_new {
                domains.push(&peer.domain);
            }
            if is_new { &mut first } else { &mut rest }.push(peer.address);
        }
        first.extend(rest);
        first
    }

    /// The nodes that are told of a stream.
    pub fn keepers(&self, stream: Stream) -> Vec<SocketAddr> {
        let mut keepers = self.ranked(stream);
        keepers.truncate(COPIES);
        keepers
    }

    /// The nodes that read the store for all others to prove that a list of servers is complete, of a fleet with these seeds.
    /// Listed nodes come first: a node that ends leaves the list, while a seed stays in the settings.
    ///
    /// ```
    /// use std::net::SocketAddr;
    ///
    /// use origins::{MAX_READERS, Members};
    /// use wire::gossip::Peer;
    ///
    /// let address = |n: u8| SocketAddr::from(([10, 0, 0, n], 80));
    /// let mut members = Members::default();
    /// members.apply((1..=30).map(|n| Peer { address: address(n), domain: "d".into() }).collect());
    /// let readers = members.readers(&[address(1), address(2)]);
    /// assert_eq!(readers.len(), MAX_READERS);
    /// assert_eq!(readers[MAX_READERS - 2..], [address(1), address(2)]);
    /// ```
    pub fn readers(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let seeds = &seeds[..seeds.len().min(MAX_READING_SEEDS)];
        let mut readers = self.ranked(Stream(0));
        readers.retain(|node| !seeds.contains(node));
        readers.truncate(MAX_READERS - seeds.len());
        readers.extend(seeds);
        readers
    }

    /// The nodes that are asked for a stream.
    pub fn asked(&self, stream: Stream) -> Vec<SocketAddr> {
        let mut asked = self.ranked(stream);
        asked.truncate(ASKED);
        asked
    }
}

/// A list bounded to [`MAX_MEMBERS`], sorted by address.
fn bounded(mut members: Vec<Peer>) -> Vec<Peer> {
    members.sort();
    members.dedup_by_key(|peer| peer.address);
    if members.len() > MAX_MEMBERS {
        members.sort_by_cached_key(hash);
        members.truncate(MAX_MEMBERS);
        members.sort();
    }
    members
}
