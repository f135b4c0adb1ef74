//! Leaves a backend server alone that has turned a request away and asked for rest, and comes back to it slowly.
//!
//! Load pattern: a server is overloaded and turns away what it gets, with the time for which it wants no more from a node.
//! All nodes are turned away in the same moment, and their requests wait: if all of them came back when the time is over, the
//! first second after it would overload the server again.
//!
//! So each node returns at a time of its own, spread over what the server takes to answer one request of each node, and
//! begins with one unanswered request. Each answer allows one more, which doubles them with each round trip, until the
//! server's slots bound them anyway.

use std::time::{Duration, Instant};

use crate::notices::Incarnation;
use crate::pending::Pending;
use crate::scheduler::Scheduler;
use crate::server::{self, DEFAULT_FIRST_TOKEN_SECONDS};

/// Longest rest that is believed. A server that wants more asks again; one that is mistaken is out for no longer.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// A rest that a server has asked for, and the return from it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rest {
    /// Until when the server wants no requests.
    pub(crate) until: Instant,
    /// From when on this node sends requests again.
    returns: Instant,
    /// Requests that may be unanswered at once since then.
    window: u32,
    unanswered: u32,
}

impl Rest {
    /// A rest from `now` on, after which this node returns within `spread`, at the part `jitter` of it from 0 to 1. The
    /// spread is no longer than the rest.
    pub(crate) fn new(time: Duration, spread: Duration, jitter: f64, now: Instant) -> Self {
        let time = time.min(MAX_REST);
        let until = now + time;
        let returns = until + spread.min(time).mul_f64(jitter);
        Rest { until, returns, window: 1, unanswered: 0 }
    }

    /// When the server may be sent requests again, if it may not yet.
    pub(crate) fn returns(&self, now: Instant) -> Option<Instant> {
        Some(self.returns).filter(|returns| now < *returns)
    }

    /// Whether one more request may be sent now.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        now >= self.returns && self.unanswered < self.window
    }

    /// Whether it asks for at least as much as another one.
    pub(crate) fn outlasts(&self, other: &Rest) -> bool {
        self.until >= other.until
    }
}

impl Scheduler {
    /// Sets the number of nodes in the fleet, which all return from the rest of a server at different times.
    pub fn set_fleet_nodes(&mut self, nodes: u32) {
        self.fleet_nodes = nodes.max(1);
    }

    /// Records that an incarnation of a server has turned a request away and wants none for some time; returns whether
    /// that is news. The longest time that it has asked for counts.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let (mut scheduler, now) = (policy::Scheduler::new(), Instant::now());
    /// let server = policy::Incarnation { salt: 7, start: 1 };
    /// assert!(scheduler.record_rest(server, Duration::from_secs(3), now));
    /// assert!(!scheduler.record_rest(server, Duration::from_secs(1), now));
    /// assert_eq!(scheduler.rest_until(server), Some(now + Duration::from_secs(3)));
    /// ```
    pub fn record_rest(&mut self, incarnation: Incarnation, time: Duration, now: Instant) -> bool {
        if time.is_zero() {
            return false;
        }
        let jitter = rand::Rng::random(&mut self.rng);
        let rest = Rest::new(time, self.return_spread(incarnation), jitter, now);
        let Some(known) = self.notices.rest_mut(incarnation) else {
            return self.add_rest(incarnation, rest, now);
        };
        let is_news = known.until <= now;
        if rest.outlasts(known) {
            *known = rest;
        }
        is_news
    }

    /// Time over which the nodes return to a server: in it, the server answers one request of each.
    fn return_spread(&self, incarnation: Incarnation) -> Duration {
        let servers = self.servers.values();
        let server = servers.into_iter().find(|server| server.incarnation() == incarnation);
        let Some(server) = server else { return Duration::ZERO };
        let answer = server.first_token_time().unwrap_or(DEFAULT_FIRST_TOKEN_SECONDS);
        let rounds = f64::from(self.fleet_nodes) / f64::from(server.slots().max(1));
        Duration::from_secs_f64(answer * rounds)
    }

    /// Until when an incarnation of a server wants no requests; none if it hasn't said.
    pub fn rest_until(&self, incarnation: Incarnation) -> Option<Instant> {
        self.notices.rest(incarnation).map(|rest| rest.until)
    }

    /// Whether a server has asked for a rest that isn't over.
    pub(crate) fn rests(&self, server: &server::State, now: Instant) -> bool {
        let rest = self.notices.rest(server.incarnation());
        rest.is_some_and(|rest| rest.returns(now).is_some())
    }

    /// Counts a request that is sent to a server to which this node returns.
    pub(crate) fn record_returning(&mut self, job: ids::Job, server: ids::Server, now: Instant) {
        let incarnation = self.servers[server].incarnation();
        let rest = self.notices.rest_mut(incarnation).filter(|rest| now >= rest.returns);
        if let Some(rest) = rest {
            rest.unanswered += 1;
            self.jobs[job].returning = true;
        }
    }

    /// Counts that a request which was sent on the return to a server has been answered, or has ended without an answer.
    pub(crate) fn end_returning(&mut self, job: ids::Job, server: ids::Server, answered: bool) {
        let Some(Pending { returning, sent_at, .. }) = self.jobs.get_mut(job) else { return };
        let sent_at = *sent_at;
        if !std::mem::take(returning) {
            return;
        }
        let Some(state) = self.servers.get(server) else { return };
        let (incarnation, slots) = (state.incarnation(), state.slots());
        // It may have asked for another rest since the request was sent.
        let rest = self.notices.rest_mut(incarnation).filter(|rest| sent_at >= rest.returns);
        let Some(rest) = rest else { return };
        rest.unanswered = rest.unanswered.saturating_sub(1);
        rest.window += u32::from(answered);
        if rest.window > slots {
            self.notices.end_rest(incarnation);
        }
        self.epoch += 1;
    }
}

#[cfg(test)]
mod tests;
