//! Keeps the requests of all nodes within the rate limits that backend servers announce.
//!
//! Load pattern: an overloaded server says how many requests a second it takes from the whole fleet. Nodes
//! that each keep to that limit on their own send it as many times over as there are nodes. Nodes that divide
//! it by the number of nodes they know exceed it while they disagree about that number, or when all of them
//! accrue one request and send it at once.
//!
//! The seeds are the few nodes to which all others report. They divide the limit in equal parts, whether they
//! can reach each other or not. A seed accrues whole requests and hands them, as permits, to the nodes that
//! report to it. A permit is valid for a second, and a node sends nothing to such a server without one. So the
//! number of requests that all nodes send in a time is bounded by the permits that the seeds accrued in it,
//! whatever each node knows of the others.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which a permit is valid; unused permits must not add up to a burst.
pub(crate) const PERMIT_LIFETIME: Duration = Duration::from_secs(1);
/// Time over which a seed accrues permits while no node asks for them.
const ACCRUAL: Duration = Duration::from_millis(300);
/// Least requests a second that all nodes together send to a server, whatever its limit, so that they notice
/// when it ends.
const MIN_RATE: f64 = 0.25;
/// Relative change of a limit from which on it is reported to other nodes.
const REPORTED_CHANGE: f64 = 0.05;

derives::data! {
    /// The rate limit that a server last announced.
    #[derive(Copy)]
    pub struct RateLimit {
        /// Key of the server, derived from its name.
        pub server: u32,
        /// Requests a second that it takes from all nodes; none if it no longer has a limit.
        pub rate: Option<f64>,
        /// When a node last received it.
        pub at: Instant,
    }
}

/// The rate limits of the servers that announced one, with the version at which each last changed.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    limits: HashMap<u32, (RateLimit, u64)>,
    version: u64,
}

impl Throttle {
    /// Records the rate limit in the headers of a response. A response without one ends an earlier limit only
    /// if its request was sent after that limit was received; otherwise the server may have made the response
    /// before it set the limit.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut throttle, start) = (policy::Throttle::default(), Instant::now());
    /// let second = Duration::from_secs(1);
    /// throttle.record_response(7, Some(2.5), start, start + second);
    /// assert_eq!(throttle.rate(7), Some(2.5));
    /// throttle.record_response(7, None, start, start + second * 2);
    /// assert_eq!(throttle.rate(7), Some(2.5), "it was sent before the limit was received");
    /// throttle.record_response(7, None, start + second * 2, start + second * 3);
    /// assert_eq!(throttle.rate(7), None);
    /// ```
    pub fn record_response(&mut self, server: u32, rate: Option<f64>, sent: Instant, now: Instant) {
        let current = self.limits.get(&server).map(|(limit, _)| limit);
        let ends = current.is_some_and(|limit| limit.rate.is_some() && sent > limit.at);
        if rate.is_some() || ends {
            self.merge(RateLimit { server, rate, at: now });
        }
    }

    /// Merges a limit that this or another node received; the newest one counts.
    pub fn merge(&mut self, update: RateLimit) {
        let Some((current, version)) = self.limits.get_mut(&update.server) else {
            self.version += 1;
            self.limits.insert(update.server, (update, self.version));
            return;
        };
        if update.at <= current.at {
            return;
        }
        let changed = match (current.rate, update.rate) {
            (Some(old), Some(new)) => (old - new).abs() > old * REPORTED_CHANGE,
            (old, new) => old != new,
        };
        current.at = update.at;
        if changed {
            current.rate = update.rate;
            self.version += 1;
            *version = self.version;
        }
    }

    /// Removes the limit of a server that no longer exists.
    pub fn forget(&mut self, server: u32) {
        self.limits.remove(&server);
    }

    /// Requests a second that a server takes from all nodes; none if it has no limit.
    pub fn rate(&self, server: u32) -> Option<f64> {
        self.limits.get(&server)?.0.rate
    }

    /// Version of the latest change, for [`Throttle::changes_since`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All recorded limits, those that ended included.
    ///
    /// ```
    /// assert_eq!(policy::Throttle::default().limits().count(), 0);
    /// ```
    pub fn limits(&self) -> impl Iterator<Item = RateLimit> {
        self.limits.values().map(|(limit, _)| *limit)
    }

    /// The limits that changed after a version, and the version of the latest change.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut throttle = policy::Throttle::default();
    /// throttle.merge(policy::RateLimit { server: 7, rate: Some(2.5), at: now });
    /// assert_eq!(throttle.changes_since(0).0.len(), 1);
    /// assert_eq!(throttle.changes_since(1), (vec![], 1));
    /// ```
    pub fn changes_since(&self, version: u64) -> (Vec<RateLimit>, u64) {
        let changed = self.limits.values().filter(|(_, changed)| *changed > version);
        (changed.map(|(limit, _)| *limit).collect(), self.version)
    }
}

/// Permits that a seed has accrued for one server.
#[derive(Clone, Copy, Debug)]
struct Balance {
    permits: f64,
    updated: Instant,
}

/// Issues permits for one part of the servers' rate limits.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    balances: HashMap<u32, Balance>,
}

impl Issuer {
    /// Issues permits, as pairs of server and count, to one of the `nodes` that ask this issuer for them.
    /// `issuers` is the number of issuers that divide the limits in equal parts. An issuer starts with no
    /// permits for a server whose limit is new to it.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut issuer, start) = (policy::Issuer::default(), Instant::now());
    /// let limit = policy::RateLimit { server: 7, rate: Some(3.0), at: start };
    /// assert_eq!(issuer.issue([limit].into_iter(), 3.0, 2, start), []);
    /// let later = start + Duration::from_secs(1);
    /// assert_eq!(issuer.issue([limit].into_iter(), 3.0, 2, later), [(7, 1)]);
    /// ```
    pub fn issue(
        &mut self,
        limits: impl Iterator<Item = RateLimit>,
        issuers: f64,
        nodes: usize,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        let limits: Vec<_> = limits.filter_map(|limit| Some((limit.server, limit.rate?))).collect();
        self.balances.retain(|server, _| limits.iter().any(|(limited, _)| limited == server));
        let mut permits = vec![];
        for (server, rate) in limits {
            let rate = rate.max(MIN_RATE) / issuers;
            let balance =
                self.balances.entry(server).or_insert(Balance { permits: 0.0, updated: now });
            let earned = rate * now.saturating_duration_since(balance.updated).as_secs_f64();
            let most = (rate * ACCRUAL.as_secs_f64()).max(1.0);
            *balance = Balance { permits: (balance.permits + earned).min(most), updated: now };
            if balance.permits >= 1.0 {
                let count = (balance.permits / nodes.max(1) as f64).floor().max(1.0);
                balance.permits -= count;
                permits.push((server, count as u32));
            }
        }
        permits
    }
}

/// The permits of a node for one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permits {
    /// How many were issued together, and when they expire; those that expire first come first.
    batches: VecDeque<(u32, Instant)>,
}

impl Permits {
    /// Adds permits that expire at the given time, and drops those that have expired.
    pub(crate) fn add(&mut self, count: u32, expires: Instant, now: Instant) {
        self.batches.retain(|(_, expires)| now < *expires);
        let index = self.batches.partition_point(|(_, other)| *other <= expires);
        self.batches.insert(index, (count, expires));
    }

    /// Whether there is a valid permit.
    pub(crate) fn available(&self, now: Instant) -> bool {
        self.batches.iter().any(|(count, expires)| *count > 0 && now < *expires)
    }

    /// Uses up the permit that expires first; returns when it expires.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Instant> {
        self.batches.retain(|(count, expires)| *count > 0 && now < *expires);
        let (count, expires) = self.batches.front_mut()?;
        *count -= 1;
        Some(*expires)
    }
}

#[cfg(test)]
mod tests;
