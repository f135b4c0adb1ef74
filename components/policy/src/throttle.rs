//! Rate limits that backend servers name for all nodes together.
//!
//! Load pattern: a server in need says how many requests a second it takes from the whole fleet. Nodes that
//! each keep to it by themselves send as many times as much as there are nodes; nodes that divide it by the
//! number of nodes they know overrun it while they disagree about that number, or all save up a request
//! and send it at once.
//!
//! Seeds divide the limit, each an equal part, whether the others can be reached or not. A seed saves up whole
//! requests and hands them, as permits, to the nodes that report to it. A permit is good for a second, and
//! a node sends such a server nothing without one. So what all nodes send in a time is bounded by what the seeds
//! saved up in it, whoever knows what.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which a permit is good. Permits that nobody used must not add up to a rush.
const GOOD: Duration = Duration::from_secs(1);
/// Time over which a seed saves up permits that no node came for.
const SAVED: Duration = Duration::from_millis(300);
/// Requests a second that a server gets however little it takes, so that the end of its limit is seen.
const LEAST: f64 = 0.25;
/// Change of a limit, as a part of it, that is passed on to other nodes.
const NOTICEABLE: f64 = 0.05;

derives::data! {
    /// What a server last said of its limit.
    #[derive(Copy)]
    pub struct RateLimit {
        /// Key of the server's name.
        pub server: u32,
        /// Requests a second that it takes from all nodes; none if it no longer names a limit.
        pub rate: Option<f64>,
        /// When a node last received that.
        pub at: Instant,
    }
}

/// Limits that servers have named, with the version at which each last changed.
#[derive(Debug, Default)]
pub struct Throttle {
    named: HashMap<u32, (RateLimit, u64)>,
    version: u64,
}

impl Throttle {
    /// Takes in the head of an answer to a request that was sent at a time. One that names no limit ends an
    /// earlier one only if the request was sent after that was received: else it may have been made before.
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
        let known = self.named.get(&server).map(|(named, _)| named);
        let ends = known.is_some_and(|known| known.rate.is_some() && sent > known.at);
        if rate.is_some() || ends {
            self.merge(RateLimit { server, rate, at: now });
        }
    }

    /// Takes in what another node received.
    pub fn merge(&mut self, news: RateLimit) {
        let Some((known, version)) = self.named.get_mut(&news.server) else {
            self.version += 1;
            self.named.insert(news.server, (news, self.version));
            return;
        };
        if news.at <= known.at {
            return;
        }
        let changed = match (known.rate, news.rate) {
            (Some(known), Some(new)) => (known - new).abs() > known * NOTICEABLE,
            (known, new) => known != new,
        };
        known.at = news.at;
        if changed {
            known.rate = news.rate;
            self.version += 1;
            *version = self.version;
        }
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: u32) {
        self.named.remove(&server);
    }

    /// Requests a second that a server takes from all nodes; none if it names no limit.
    pub fn rate(&self, server: u32) -> Option<f64> {
        self.named.get(&server)?.0.rate
    }

    /// Position up to which [`Throttle::changes_since`] tells.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All that is known.
    ///
    /// ```
    /// assert_eq!(policy::Throttle::default().all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = RateLimit> {
        self.named.values().map(|(named, _)| *named)
    }

    /// What changed after a version, and the version that it leads to.
    ///
    /// ```
    /// let now = std::time::Instant::now();
    /// let mut throttle = policy::Throttle::default();
    /// throttle.merge(policy::RateLimit { server: 7, rate: Some(2.5), at: now });
    /// assert_eq!(throttle.changes_since(0).0.len(), 1);
    /// assert_eq!(throttle.changes_since(1), (vec![], 1));
    /// ```
    pub fn changes_since(&self, version: u64) -> (Vec<RateLimit>, u64) {
        let changed = self.named.values().filter(|(_, changed)| *changed > version);
        (changed.map(|(named, _)| *named).collect(), self.version)
    }
}

/// Permits that a seed has saved up for one server.
#[derive(Clone, Copy, Debug)]
struct Saved {
    permits: f64,
    at: Instant,
}

/// Hands out a part of what servers take.
#[derive(Debug, Default)]
pub struct Issuer {
    saved: HashMap<u32, Saved>,
}

impl Issuer {
    /// Permits for one of `nodes` that come for them, by server, where this is one of so many issuers which
    /// hand out equal parts. An issuer that is new to a server's limit has saved up nothing.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut issuer, start) = (policy::Issuer::default(), Instant::now());
    /// let named = policy::RateLimit { server: 7, rate: Some(3.0), at: start };
    /// assert_eq!(issuer.issue([named].into_iter(), 3.0, 2, start), []);
    /// let later = start + Duration::from_secs(1);
    /// assert_eq!(issuer.issue([named].into_iter(), 3.0, 2, later), [(7, 1)]);
    /// ```
    pub fn issue(
        &mut self,
        limits: impl Iterator<Item = RateLimit>,
        issuers: f64,
        nodes: usize,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        let limits: Vec<_> = limits.filter_map(|named| Some((named.server, named.rate?))).collect();
        self.saved.retain(|server, _| limits.iter().any(|(limited, _)| limited == server));
        let mut permits = vec![];
        for (server, rate) in limits {
            let rate = rate.max(LEAST) / issuers;
            let saved = self.saved.entry(server).or_insert(Saved { permits: 0.0, at: now });
            let earned = rate * now.saturating_duration_since(saved.at).as_secs_f64();
            let most = (rate * SAVED.as_secs_f64()).max(1.0);
            *saved = Saved { permits: (saved.permits + earned).min(most), at: now };
            if saved.permits >= 1.0 {
                let count = (saved.permits / nodes.max(1) as f64).floor().max(1.0);
                saved.permits -= count;
                permits.push((server, count as u32));
            }
        }
        permits
    }
}

/// Permits of a node for one server that has named a limit.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// Numbers of them, and until when they are good.
    held: VecDeque<(u32, Instant)>,
}

impl Permits {
    pub(crate) fn add(&mut self, count: u32, now: Instant) {
        self.held.retain(|(_, until)| now < *until);
        self.held.push_back((count, now + GOOD));
    }

    /// Whether there is one.
    pub(crate) fn available(&self, now: Instant) -> bool {
        self.held.iter().any(|(count, until)| *count > 0 && now < *until)
    }

    /// Uses the one that ends first.
    pub(crate) fn take(&mut self, now: Instant) {
        self.held.retain(|(count, until)| *count > 0 && now < *until);
        if let Some((count, _)) = self.held.front_mut() {
            *count -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
