//! Tracks which versions of each service's software serve, or served a short time ago.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::id::Version;

/// Time after which all nodes have learned of a version.
const NEWS: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Listed {
    servers: u32,
    /// When the first of them came.
    since: Instant,
    /// When the last of them went.
    until: Instant,
}

derives::data! {
    /// What a node has seen of the versions of one service.
    pub struct Seen {
        /// Time over which it has followed the list of servers without a gap, up to the time that was asked for: of versions that
        /// went before, nothing is said.
        pub covered: Duration,
        /// The versions that were listed within the time that was asked for.
        pub versions: Vec<Version>,
    }
}

/// The versions of each service, as this node has seen them in the list of servers. Services are named by the hash
/// of their names.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use origins::{Census, Version};
///
/// let (now, lifetime) = (Instant::now(), Duration::from_secs(10));
/// let mut census = Census::default();
/// census.add(7, Version(1), now);
/// assert!(!census.is_mixed(7, lifetime, now));
/// census.add(7, Version(2), now);
/// assert!(census.is_mixed(7, lifetime, now));
/// ```
#[derive(Debug, Default)]
pub struct Census {
    services: HashMap<u32, BTreeMap<Version, Listed>>,
    since: Option<Instant>,
}

impl Census {
    /// Records that a server is listed.
    pub fn add(&mut self, service: u32, version: Version, now: Instant) {
        self.since.get_or_insert(now);
        let versions = self.services.entry(service).or_default();
        let listed = Listed { servers: 0, since: now, until: now };
        versions.entry(version).or_insert(listed).servers += 1;
    }

    /// Records that a server is no longer listed.
    pub fn remove(&mut self, service: u32, version: Version, now: Instant) {
        let versions = self.services.get_mut(&service);
        if let Some(listed) = versions.and_then(|versions| versions.get_mut(&version)) {
            listed.servers = listed.servers.saturating_sub(1);
            listed.until = now;
        }
    }

    /// Records that a server was listed in between.
    pub fn add_passing(&mut self, service: u32, version: Version, now: Instant) {
        self.add(service, version, now);
        self.remove(service, version, now);
    }

    /// Records that this node may have missed changes before now.
    pub fn record_gap(&mut self, now: Instant) {
        self.since = self.since.map(|_| now);
    }

    /// What this node has seen of a service within a time that ends now.
    pub fn seen(&self, service: u32, within: Duration, now: Instant) -> Seen {
        let covered =
            self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let covered = covered.min(within);
        let versions = self.services.get(&service).into_iter().flatten();
        let recent = |listed: &Listed| listed.servers > 0 || now < listed.until + within;
        let recent = versions.filter(|(_, listed)| recent(listed)).map(|(version, _)| *version);
        Seen { covered, versions: recent.collect() }
    }

    /// Whether a version came so recently that other nodes may not know of it.
    pub fn is_news(&self, service: u32, version: Version, now: Instant) -> bool {
        let listed = self.services.get(&service).and_then(|versions| versions.get(&version));
        listed.is_none_or(|listed| now < listed.since + NEWS)
    }

    /// Whether a service had several versions within a time that ends now.
    pub fn is_mixed(&self, service: u32, within: Duration, now: Instant) -> bool {
        self.seen(service, within, now).versions.len() > 1
    }
}
