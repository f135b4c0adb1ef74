//! Keeps what backend servers say of themselves in their answers.
//!
//! Load pattern: servers are emptied and replaced while the list of servers can't be written or read. The list goes on
//! saying that they take requests, and their own answers are the only news of them.
//!
//! What a server says holds for one start of it, its incarnation, and doesn't depend on the list: a server that goes
//! missing from it and comes back as before is still the one that said so.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::scheduler::Scheduler;
use crate::server;

/// Notices of servers that aren't listed are kept up to this number; the oldest are dropped first.
const MAX_UNLISTED: usize = 4_096;

/// What one incarnation of a server has said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Notice {
    /// When it first said that it leaves.
    pub(crate) leaving_since: Option<Instant>,
}

/// The notices of all servers, by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    by_incarnation: HashMap<u64, Notice>,
    /// Time for which a server that has said that it leaves still serves.
    pub(crate) drain_time: Duration,
}

impl Notices {
    /// What an incarnation has said.
    pub(crate) fn get(&self, incarnation: u64) -> Notice {
        self.by_incarnation.get(&incarnation).copied().unwrap_or_default()
    }

    /// Records that an incarnation leaves; returns whether that is news.
    fn record_leaving(&mut self, incarnation: u64, now: Instant) -> bool {
        let notice = self.by_incarnation.entry(incarnation).or_default();
        notice.leaving_since.replace(notice.leaving_since.unwrap_or(now)).is_none()
    }

    /// Drops the oldest notices of servers that aren't listed, if there are many.
    fn drop_unlisted(&mut self, is_listed: impl Fn(u64) -> bool) {
        let unlisted = self.by_incarnation.iter().filter(|(key, _)| !is_listed(**key));
        let mut unlisted: Vec<_> =
            unlisted.map(|(key, notice)| (notice.leaving_since, *key)).collect();
        unlisted.sort_unstable();
        for (_, key) in unlisted.iter().take(unlisted.len().saturating_sub(MAX_UNLISTED / 2)) {
            self.by_incarnation.remove(key);
        }
    }
}

impl Scheduler {
    /// Records that an incarnation of a server has said that it leaves; returns whether that is news.
    ///
    /// ```
    /// let (mut scheduler, now) = (policy::Scheduler::new(), std::time::Instant::now());
    /// assert!(scheduler.record_leaving(7, now));
    /// assert!(!scheduler.record_leaving(7, now));
    /// assert_eq!(scheduler.leaving_since(7), Some(now));
    /// ```
    pub fn record_leaving(&mut self, incarnation: u64, now: Instant) -> bool {
        let is_news = self.notices.record_leaving(incarnation, now);
        if is_news && self.notices.by_incarnation.len() > self.servers.len() + MAX_UNLISTED {
            let listed: std::collections::HashSet<_> =
                self.servers.values().map(|state| state.terms.incarnation).collect();
            self.notices.drop_unlisted(|key| listed.contains(&key));
        }
        is_news
    }

    /// Sets for how long a server that has said that it leaves still serves. Requests that come later aren't sent to it
    /// even if no other server is left.
    pub fn set_drain_time(&mut self, time: Duration) {
        self.notices.drain_time = time;
    }

    /// Whether a server leaves, by the settings, its report or its own word.
    pub(crate) fn leaves(&self, server: &server::State) -> bool {
        server.leaving() || self.notices.get(server.terms.incarnation).leaving_since.is_some()
    }

    /// Since when an incarnation of a server is known to leave by its own word.
    pub fn leaving_since(&self, incarnation: u64) -> Option<Instant> {
        self.notices.get(incarnation).leaving_since
    }
}
