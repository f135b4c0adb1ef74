//! Keeps what backend servers say of themselves in their answers.
//!
//! Load pattern: servers are emptied and replaced while the list of servers can't be written or read. The list goes on
//! saying that they take requests, and their own answers are the only news of them.
//!
//! What a server says holds for one start of it, its incarnation, and doesn't depend on the list: a server that goes
//! missing from it and comes back as before is still the one that said so. The answer of a new incarnation may come before
//! its entry, though. Whether a notice is of the former one shows by when the list was last known to be complete; if that
//! doesn't tell, the new one is taken for its author until it has been asked.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::rest::Rest;
use crate::scheduler::Scheduler;
use crate::server;

/// Notices of servers that aren't listed are kept up to this number; the oldest are dropped first.
const MAX_UNLISTED: usize = 4_096;
/// Time in which a server that has started has written its entry.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Time after which a server that has said that it leaves, but isn't listed so, is asked whether it still does. Most have
/// ended by then.
const FIRST_CHECK: Duration = Duration::from_secs(10);
/// Longest time between two such questions; it doubles up to this.
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(300);

derives::value! {
    /// One start of a backend server.
    pub struct Incarnation {
        /// Hash of the server's name.
        pub salt: u64,
        /// A number that differs between two starts under one name.
        pub start: u64,
    }
}

/// What an incarnation of a server has said of itself.
#[derive(Clone, Copy, Debug)]
struct Notice {
    start: u64,
    /// When it last said any of this.
    said: Instant,
    leaving: Option<Leaving>,
    rest: Option<Rest>,
}

/// A server that has said that it leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// When it first said so.
    since: Instant,
    /// When it is asked whether it still does, if it isn't listed so.
    next_check: Instant,
    check_pause: Duration,
}

impl Leaving {
    fn new(now: Instant) -> Self {
        Leaving { since: now, next_check: now + FIRST_CHECK, check_pause: FIRST_CHECK }
    }
}

/// The last notice of each server, by the hash of its name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    by_server: HashMap<u64, Notice>,
    /// Time for which a server that has said that it leaves still serves.
    pub(crate) drain_time: Duration,
    /// Until when the list of servers is known to have been complete.
    list_confirmed: Option<Instant>,
}

impl Notices {
    fn get(&self, Incarnation { salt, start }: Incarnation) -> Option<&Notice> {
        self.by_server.get(&salt).filter(|notice| notice.start == start)
    }

    /// The notice of an incarnation, which is replaced if it is another one's, for something that it says now.
    fn update(&mut self, Incarnation { salt, start }: Incarnation, now: Instant) -> &mut Notice {
        let new = Notice { start, said: now, leaving: None, rest: None };
        let notice = self.by_server.entry(salt).or_insert(new);
        if notice.start != start {
            *notice = new;
        }
        notice.said = now;
        notice
    }

    /// When an incarnation first said that it leaves.
    pub(crate) fn leaving_since(&self, incarnation: Incarnation) -> Option<Instant> {
        Some(self.get(incarnation)?.leaving?.since)
    }

    /// The rest that an incarnation has asked for, until this node has returned from it.
    pub(crate) fn rest(&self, incarnation: Incarnation) -> Option<&Rest> {
        self.get(incarnation)?.rest.as_ref()
    }

    pub(crate) fn rest_mut(
        &mut self,
        Incarnation { salt, start }: Incarnation,
    ) -> Option<&mut Rest> {
        let notice = self.by_server.get_mut(&salt).filter(|notice| notice.start == start);
        notice?.rest.as_mut()
    }

    /// Ends the return from a rest.
    pub(crate) fn end_rest(&mut self, Incarnation { salt, start }: Incarnation) {
        let Some(notice) = self.by_server.get_mut(&salt) else { return };
        if notice.start == start {
            notice.rest = None;
            if notice.leaving.is_none() {
                self.by_server.remove(&salt);
            }
        }
    }

    /// Applies that an incarnation is listed. A notice of another one ends, or passes to this one if this may have been
    /// the one that gave it.
    pub(crate) fn apply_listing(&mut self, incarnation: Incarnation) {
        let Incarnation { salt, start } = incarnation;
        let other = self.by_server.get_mut(&salt).filter(|notice| notice.start != start);
        let Some(notice) = other else { return };
        let registered = notice.said + REGISTRATION_TIME;
        if self.list_confirmed.is_some_and(|confirmed| confirmed >= registered) {
            self.by_server.remove(&salt);
        } else {
            notice.start = start;
            if let Some(leaving) = &mut notice.leaving {
                leaving.next_check = notice.said;
            }
        }
    }

    /// Drops the oldest notices of servers that aren't listed.
    fn drop_unlisted(&mut self, listed: &HashSet<u64>) {
        let unlisted = self.by_server.iter().filter(|(salt, _)| !listed.contains(salt));
        let mut unlisted: Vec<_> = unlisted.map(|(salt, notice)| (notice.said, *salt)).collect();
        unlisted.sort_unstable();
        for (_, salt) in unlisted.iter().take(unlisted.len().saturating_sub(MAX_UNLISTED / 2)) {
            self.by_server.remove(salt);
        }
    }
}

impl Scheduler {
    /// Records that an incarnation of a server says in an answer that it leaves; returns whether that is news.
    ///
    /// ```
    /// let (mut scheduler, now) = (policy::Scheduler::new(), std::time::Instant::now());
    /// let server = policy::Incarnation { salt: 7, start: 1 };
    /// assert!(scheduler.record_leaving(server, now));
    /// assert!(!scheduler.record_leaving(server, now));
    /// assert_eq!(scheduler.leaving_since(server), Some(now));
    /// assert_eq!(scheduler.leaving_since(policy::Incarnation { start: 2, ..server }), None);
    /// ```
    pub fn record_leaving(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        let Some(notice) = self.update_notice(incarnation, now) else { return false };
        let is_news = notice.leaving.is_none();
        notice.leaving.get_or_insert_with(|| Leaving::new(now));
        is_news
    }

    /// Begins a rest of an incarnation of a server; returns whether it is believed.
    pub(crate) fn add_rest(&mut self, incarnation: Incarnation, rest: Rest, now: Instant) -> bool {
        let notice = self.update_notice(incarnation, now);
        notice.is_some_and(|notice| notice.rest.replace(rest).is_none())
    }

    /// The notice of an incarnation for something that it says now; none if it isn't believed.
    fn update_notice(&mut self, incarnation: Incarnation, now: Instant) -> Option<&mut Notice> {
        if self.notices.get(incarnation).is_none() {
            if self.has_other_start(incarnation) {
                return None;
            }
            if self.notices.by_server.len() >= self.servers.len() + MAX_UNLISTED {
                let listed = self.servers.values().map(|state| state.terms.salt).collect();
                self.notices.drop_unlisted(&listed);
            }
        }
        Some(self.notices.update(incarnation, now))
    }

    /// Whether a server is listed with another start: a late answer of the former one is no news.
    fn has_other_start(&self, incarnation: Incarnation) -> bool {
        let mut listed = self.servers.values().map(server::State::incarnation);
        listed.any(|other| other.salt == incarnation.salt && other.start != incarnation.start)
    }

    /// Records that an incarnation of a server, asked at `asked`, doesn't leave; returns whether that is news.
    pub fn record_staying(&mut self, incarnation: Incarnation, asked: Instant) -> bool {
        let notice = self.notices.by_server.get_mut(&incarnation.salt);
        let notice = notice.filter(|notice| {
            notice.start == incarnation.start && notice.said < asked && notice.leaving.is_some()
        });
        let is_news = notice.is_some();
        if let Some(notice) = notice {
            notice.leaving = None;
            if notice.rest.is_none() {
                self.notices.by_server.remove(&incarnation.salt);
            }
            self.epoch += 1;
        }
        is_news
    }

    /// Since when an incarnation of a server is known to leave by its own word.
    pub fn leaving_since(&self, incarnation: Incarnation) -> Option<Instant> {
        self.notices.leaving_since(incarnation)
    }

    /// The servers that are to be asked now whether they still leave: they have said so, but aren't listed so.
    pub fn due_checks(&mut self, now: Instant) -> Vec<ids::Server> {
        let mut due = vec![];
        if self.notices.by_server.is_empty() {
            return due;
        }
        for (key, state) in self.servers.iter().filter(|(_, state)| !state.leaving()) {
            let Incarnation { salt, start } = state.incarnation();
            let notice = self.notices.by_server.get_mut(&salt);
            let notice = notice.filter(|notice| notice.start == start);
            let leaving = notice.and_then(|notice| notice.leaving.as_mut());
            if let Some(leaving) = leaving.filter(|leaving| leaving.next_check <= now) {
                leaving.next_check = now + leaving.check_pause;
                leaving.check_pause = (leaving.check_pause * 2).min(MAX_CHECK_PAUSE);
                due.push(key);
            }
        }
        due
    }

    /// Sets for how long a server that has said that it leaves still serves. Requests that come later aren't sent to it
    /// even if no other server is left.
    pub fn set_drain_time(&mut self, time: Duration) {
        self.notices.drain_time = time;
    }

    /// Records that the list of servers was complete at a time: nobody had changed it without this node knowing.
    pub fn confirm_list(&mut self, at: Instant) {
        self.notices.list_confirmed = self.notices.list_confirmed.max(Some(at));
    }

    /// Whether a server leaves, by the settings, its report or its own word.
    pub(crate) fn leaves(&self, server: &server::State) -> bool {
        server.leaving() || self.notices.leaving_since(server.incarnation()).is_some()
    }
}

#[cfg(test)]
mod tests;
