//! Notices that a node has lost its way to all servers of a service.
//!
//! Load pattern: a node is partitioned from all backend servers, while its callers and the other nodes still
//! reach it. The health of one server can't show that: without this, each request is tried at one server
//! after the other until its caller gives up. Connections may be refused, or hang without any sign, so a
//! service that stays silent is probed. One server that fails, or is silent for a second, is no evidence.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

/// Servers that must fail in a row, with no answer from any other between them.
const MIN_FAILED: usize = 2;
/// Time for which a failed connection counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(2);
/// Time without any answer of a service that has requests, after which it is probed.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Pause between two probes of a service.
const PROBE_PAUSE: Duration = Duration::from_millis(400);

/// What is known of the way to the servers of one service.
#[derive(Debug, Default)]
struct Way {
    /// Servers to which no connection was made since the last answer, and when.
    failed: Vec<(ids::Server, Instant)>,
    /// When the first request was sent after the last answer.
    silent_since: Option<Instant>,
    probed: Option<Instant>,
    lost: bool,
}

/// For each service, whether this node can reach any of its servers.
///
/// ```
/// use std::time::Instant;
///
/// let mut keys = slotmap::SlotMap::<ids::Model, ()>::with_key();
/// let mut servers = slotmap::SlotMap::<ids::Server, ()>::with_key();
/// let (service, now) = (keys.insert(()), Instant::now());
/// let mut reach = policy::Reach::default();
/// assert!(!reach.record_unreached(service, servers.insert(()), 9, now));
/// assert!(reach.record_unreached(service, servers.insert(()), 9, now));
/// assert!(reach.is_lost(service));
/// ```
#[derive(Debug, Default)]
pub struct Reach {
    ways: SecondaryMap<ids::Model, Way>,
}

impl Reach {
    fn way(&mut self, service: ids::Model) -> Option<&mut Way> {
        Some(self.ways.entry(service)?.or_default())
    }

    /// Records that a request was sent to a server of a service.
    pub fn record_sent(&mut self, service: ids::Model, now: Instant) {
        if let Some(way) = self.way(service) {
            way.silent_since.get_or_insert(now);
        }
    }

    /// Records that a server of a service sent something or accepted a connection. Answers on connections from
    /// before a partition may still arrive, so only a probe ends it.
    pub fn record_reached(&mut self, service: ids::Model) {
        if let Some(way) = self.way(service) {
            way.failed.clear();
            way.silent_since = None;
        }
    }

    /// Records that no connection to one of the `count` servers of a service could be made. Returns whether this
    /// shows that the node has lost its way to all of them.
    pub fn record_unreached(
        &mut self,
        service: ids::Model,
        server: ids::Server,
        count: usize,
        now: Instant,
    ) -> bool {
        let Some(way) = self.way(service) else { return false };
        if way.lost {
            return false;
        }
        way.failed.retain(|(_, at)| now.saturating_duration_since(*at) < FAILURE_LIFETIME);
        if count < MIN_FAILED || way.failed.iter().all(|(known, _)| *known != server) {
            way.failed.push((server, now));
        }
        way.lost = way.failed.len() >= MIN_FAILED;
        way.lost
    }

    /// The services to probe now: those that are lost, and those that were sent requests and are silent.
    pub fn due_probes(&mut self, now: Instant) -> Vec<ids::Model> {
        let mut due = vec![];
        for (service, way) in &mut self.ways {
            let silent = way.silent_since.is_some_and(|since| now >= since + MAX_SILENCE);
            let paused = way.probed.is_some_and(|probed| now < probed + PROBE_PAUSE);
            if (way.lost || silent) && !paused {
                way.probed = Some(now);
                due.push(service);
            }
        }
        due
    }

    /// Records that of `tried` servers of a service so many accepted a connection. Returns whether this
    /// changed the state of the service: it is lost if none did, and back if more than half did, so that a
    /// way to few servers doesn't count as back again and again.
    pub fn record_probe(&mut self, service: ids::Model, reached: usize, tried: usize) -> bool {
        let Some(way) = self.way(service) else { return false };
        if reached > 0 {
            way.silent_since = None;
        }
        let lost = if way.lost { reached * 2 <= tried } else { reached == 0 && tried > 0 };
        if !lost {
            way.failed.clear();
        }
        std::mem::replace(&mut way.lost, lost) != lost
    }

    /// Whether this node has lost its way to all servers of a service.
    pub fn is_lost(&self, service: ids::Model) -> bool {
        self.ways.get(service).is_some_and(|way| way.lost)
    }

    /// Whether this node has lost its way to all servers of any service.
    pub fn any_lost(&self) -> bool {
        self.ways.values().any(|way| way.lost)
    }

    /// Time since the first request that was sent after the last answer of a service.
    pub fn silence(&self, service: ids::Model, now: Instant) -> Option<Duration> {
        let since = self.ways.get(service)?.silent_since?;
        Some(now.saturating_duration_since(since))
    }
}

#[cfg(test)]
mod tests;
