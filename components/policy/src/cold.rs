//! Keeps the requests of all nodes to a cold server within what it tolerates.
//!
//! Load pattern: the servers of a failure domain come back together at the end of a burst, cold and empty. Each
//! node prefers empty servers, and nodes that don't hear of each other's requests in time all send theirs there:
//! the servers crash, and come back cold again.
//!
//! Seeds hand out permits, and a node sends nothing to a cold server without one. The seeds divide a server's
//! allowance in equal parts, whether they can reach each other or not. A permit counts against the allowance
//! from its issue until a second after it has expired, so all requests that can arrive in one second are
//! covered by permits that count at the same time. A seed that was restarted doesn't know its earlier permits
//! and issues none until they no longer count.
//!
//! A server counts as cold for as long as its entry says. One whose entry doesn't say counts as cold for its
//! whole cold time after it was first listed. One whose connections failed may have been restarted without
//! notice: it counts as cold until it has answered, and for its cold time after that.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::scheduler::Scheduler;
use crate::throttle::Permits;

/// Time in which the requests to a cold server are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which a permit is valid: a round trip between two regions, and some time for a request to come. A
/// longer one would cover more of a node's requests, but an unused permit is lost to all other nodes until it no
/// longer counts.
pub const LIFETIME: Duration = Duration::from_millis(200);

derives::data! {
    /// A cold server, and the requests that all nodes together may send it in a second.
    #[derive(Copy, Eq)]
    pub struct Allowance {
        /// Key of the server, derived from its name.
        pub server: u32,
        /// Requests in any second.
        pub requests: u32,
    }

    /// Which part of each allowance an issuer hands out.
    #[derive(Copy, Eq)]
    pub struct Part {
        /// Position of the issuer among all issuers, from 0.
        pub index: u32,
        /// Number of issuers; at least 1.
        pub issuers: u32,
    }
}

impl Part {
    /// The requests of an allowance that this part contains. The parts of all issuers add up to it.
    fn of(self, requests: u32) -> u32 {
        let issuers = self.issuers.max(1);
        requests / issuers + u32::from(self.index < requests % issuers)
    }
}

/// Permits for one server that were issued together.
#[derive(Clone, Copy, Debug)]
struct Grant {
    count: u32,
    /// Until when they count against the allowance.
    counts_until: Instant,
}

/// Issues permits for one part of the allowances of cold servers.
#[derive(Clone, Debug)]
pub struct Issuer {
    grants: HashMap<u32, VecDeque<Grant>>,
    /// Before this time, permits of an earlier process may still be in use.
    opens: Instant,
}

impl Issuer {
    /// An issuer whose process starts now.
    pub fn new(now: Instant) -> Self {
        Issuer { grants: HashMap::new(), opens: now + LIFETIME + WINDOW }
    }

    /// Issues up to `wanted` permits, as pairs of server and count, to a node that asked no later than `now`.
    /// They are valid for [`LIFETIME`] from the time at which it asked. Servers of which most is left come first.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use policy::cold::{Allowance, Issuer, Part};
    ///
    /// let start = Instant::now();
    /// let mut issuer = Issuer::new(start);
    /// let (cold, all) = ([Allowance { server: 7, requests: 3 }], Part { index: 0, issuers: 1 });
    /// assert_eq!(issuer.issue(&cold, all, 9, start), []);
    /// let later = start + Duration::from_secs(3);
    /// assert_eq!(issuer.issue(&cold, all, 2, later), [(7, 2)]);
    /// assert_eq!(issuer.issue(&cold, all, 2, later), [(7, 1)]);
    /// ```
    pub fn issue(
        &mut self,
        cold: &[Allowance],
        part: Part,
        wanted: u32,
        now: Instant,
    ) -> Vec<(u32, u32)> {
        self.grants.retain(|_, grants| {
            grants.retain(|grant| now < grant.counts_until);
            !grants.is_empty()
        });
        if now < self.opens {
            return vec![];
        }
        let left = |allowance: &Allowance| {
            let counting = self.grants.get(&allowance.server);
            let used = counting.map_or(0, |grants| grants.iter().map(|grant| grant.count).sum());
            (allowance.server, part.of(allowance.requests).saturating_sub(used))
        };
        let left: Vec<_> = cold.iter().map(left).collect();
        let permits = spread(left, wanted);
        let counts_until = now + LIFETIME + WINDOW;
        for (server, count) in &permits {
            let grant = Grant { count: *count, counts_until };
            self.grants.entry(*server).or_default().push_back(grant);
        }
        permits
    }
}

/// Distributes `wanted` permits evenly over the servers, by what is left of each.
fn spread(mut left: Vec<(u32, u32)>, wanted: u32) -> Vec<(u32, u32)> {
    left.retain(|(_, left)| *left > 0);
    left.sort_by_key(|(server, left)| (std::cmp::Reverse(*left), *server));
    let mut permits: Vec<_> = left.iter().map(|(server, _)| (*server, 0)).collect();
    let mut rest = wanted;
    while rest > 0 {
        let before = rest;
        for ((_, left), (_, count)) in left.iter_mut().zip(&mut permits) {
            if *left > 0 && rest > 0 {
                (*left, *count, rest) = (*left - 1, *count + 1, rest - 1);
            }
        }
        if rest == before {
            break;
        }
    }
    permits.retain(|(_, count)| *count > 0);
    permits
}

/// Whether one server is cold, as far as this node knows, and the permits to send to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Guard {
    /// Until when it is cold by its entry.
    stated_until: Option<Instant>,
    /// Until when it may be cold without having said so: it answered again after a failed connection, or came
    /// back into use. An entry may be older than that, so none ends it.
    recovering_until: Option<Instant>,
    /// A connection to it failed, and it hasn't answered since.
    silent: bool,
    permits: Permits,
}

impl Guard {
    /// Whether it counts as cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        let until = self.stated_until.max(self.recovering_until);
        self.silent || until.is_some_and(|until| now < until)
    }

    /// Whether a request may be sent to it.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.permits.available(now)
    }

    /// Uses up a permit if it is cold; returns until when the request must be sent.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Instant> {
        self.is_cold(now).then(|| self.permits.take(now).unwrap_or(now))
    }

    /// Records that it answers: it was started at the latest just now.
    pub(crate) fn record_answer(&mut self, cold_time: Duration, now: Instant) {
        if std::mem::take(&mut self.silent) {
            self.recover(cold_time, now);
        }
    }

    /// Counts it as cold for its cold time from now on.
    fn recover(&mut self, cold_time: Duration, now: Instant) {
        self.recovering_until = self.recovering_until.max(Some(now + cold_time));
    }
}

impl Scheduler {
    /// Sets for how long a server is cold after a start; none if it never is.
    pub fn set_cold_time(&mut self, key: ids::Server, cold_time: Option<Duration>) {
        if let Some(state) = self.servers.get_mut(key) {
            state.terms.cold_time = cold_time;
        }
    }

    /// Sets how much longer a server is cold; nothing if it doesn't say, and so may be cold for its whole cold
    /// time. Its prefix cache is gone if it wasn't cold before.
    pub fn set_cold(&mut self, key: ids::Server, stated: Option<Duration>, now: Instant) {
        let Some(state) = self.servers.get_mut(key) else { return };
        let Some(cold_time) = state.terms.cold_time else { return };
        let left = stated.unwrap_or(cold_time);
        let was_cold = state.guard.is_cold(now);
        state.guard.stated_until = (!left.is_zero()).then_some(now + left);
        if state.guard.is_cold(now) && !was_cold {
            self.prefixes.void_server(key);
        }
        self.epoch += 1;
    }

    /// Records that a server is back in use, and may have been restarted meanwhile.
    pub fn record_return(&mut self, key: ids::Server, now: Instant) {
        let Some(state) = self.servers.get_mut(key) else { return };
        if let Some(cold_time) = state.terms.cold_time {
            state.guard.recover(cold_time, now);
            self.prefixes.void_server(key);
        }
    }

    /// Whether a server counts as cold.
    pub fn is_cold(&self, key: ids::Server, now: Instant) -> bool {
        self.servers.get(key).is_some_and(|state| state.guard.is_cold(now))
    }

    /// Servers that count as cold; those that do so by this node's own connections only, if `silent`.
    pub fn cold_servers(&self, silent: bool, now: Instant) -> impl Iterator<Item = ids::Server> {
        let cold = self.servers.iter().filter(move |(_, state)| state.guard.is_cold(now));
        cold.filter(move |(_, state)| !silent || state.guard.silent).map(|(key, _)| key)
    }

    /// Permits that this node could use within their lifetime: for the requests that wait, and for those that
    /// will come.
    pub fn wanted_permits(&self, now: Instant) -> u32 {
        let rate: f64 = self.send_rates(now).iter().sum();
        let expected = (rate * LIFETIME.as_secs_f64()).ceil() as u32;
        expected.saturating_add(u32::try_from(self.waiting()).unwrap_or(u32::MAX))
    }

    /// Permits `count` requests to a cold server until the permits expire.
    pub fn add_cold_permits(
        &mut self,
        key: ids::Server,
        count: u32,
        expires: Instant,
        now: Instant,
    ) {
        if let Some(state) = self.servers.get_mut(key) {
            state.guard.permits.add(count, expires, now);
            self.permitted.insert(key);
            self.epoch += 1;
        }
    }

    /// Withdraws all permits to cold servers.
    pub fn clear_cold_permits(&mut self) {
        for state in self.servers.values_mut() {
            state.guard.permits = Permits::default();
        }
    }

    /// Until when a request that was assigned to a cold server must be sent; none if the server isn't cold.
    pub fn send_by(&self, job: ids::Job) -> Option<Instant> {
        self.jobs.get(job)?.send_by
    }

    /// Records that a connection to a server failed: it may be down, and cold once it is back.
    pub(crate) fn record_silence(&mut self, key: ids::Server) {
        let Some(state) = self.servers.get_mut(key) else { return };
        if state.terms.cold_time.is_some() {
            state.guard.silent = true;
        }
    }

    /// Records that a server answers.
    pub(crate) fn record_answer(&mut self, key: ids::Server, now: Instant) {
        let Some(state) = self.servers.get_mut(key) else { return };
        if let Some(cold_time) = state.terms.cold_time {
            state.guard.record_answer(cold_time, now);
        }
    }

    /// Stops counting servers as cold by this node's own connections.
    pub fn forget_silence(&mut self) {
        for state in self.servers.values_mut() {
            state.guard.silent = false;
        }
    }
}

#[cfg(test)]
mod tests;
