//! Decides whether a server may be sent a request now, by a list of filters.
//!
//! Load pattern: servers that are emptied, cold, limited or brittle, many at once. Each of these rules has to be kept by
//! every way in which a request is sent: when a server is chosen, and again when the request is written to its connection,
//! as what is known of the server may have changed in between. So all of them ask the same list.
//!
//! A filter is a function in a file of its own. It answers one question by what it is handed, and knows of no other.

mod brittle;
mod cold;
mod leaving;
mod rate;

use std::time::Instant;

use crate::pending::{Pending, Stage};
use crate::pool::Pool;
use crate::scheduler::Scheduler;
use crate::server;

derives::named! {
    /// Why a server may not be sent a request.
    pub enum Reason {
        /// It is no longer listed.
        Gone = "gone",
        /// It is shutting down or in an evacuated failure domain.
        Leaving = "leaving",
        /// It has stated a rate limit, and this node has no permit for it.
        RateLimited = "rate-limited",
        /// It is cold, and this node has no permit for it.
        Cold = "cold",
        /// It is brittle, and this node's part of its slots is occupied.
        Brittle = "brittle",
    }
}

derives::data! {
    /// A request that may not be sent to a server now.
    #[derive(Copy, Eq)]
    pub struct Hold {
        /// Why.
        pub reason: Reason,
    }
}

/// What is to be done with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Moment {
    /// A server is chosen for it.
    Choice,
    /// Its server has ended, and this one may go on from the copy of its run.
    Takeover,
    /// It was assigned to the server, with all permits that this takes, and is written to a connection.
    Send,
}

/// May this request be sent to this server now?
#[derive(Clone, Copy)]
pub(crate) struct Question<'a> {
    pub(crate) scheduler: &'a Scheduler,
    pub(crate) pending: &'a Pending,
    pub(crate) server: &'a server::State,
    pub(crate) moment: Moment,
    pub(crate) now: Instant,
}

impl Question<'_> {
    /// Whether no server takes the request that doesn't leave. What goes on from a copy has one server only.
    fn is_last_resort(&self) -> bool {
        let all_leave = |pool: &Pool| {
            let mut servers = pool.servers.iter().map(|key| &self.scheduler.servers[*key]);
            servers.all(|server| self.scheduler.leaves(server))
        };
        let has_copy = self.moment == Moment::Takeover || self.pending.continued;
        has_copy || all_leave(&self.scheduler.pools[self.pending.pool])
    }
}

/// Answers a question; none if nothing speaks against sending the request.
type Filter = fn(&Question<'_>) -> Option<Hold>;

/// All filters, in the order in which they are asked.
const FILTERS: [Filter; 4] = [leaving::hold, rate::hold, cold::hold, brittle::hold];

impl Scheduler {
    /// Why a server may not be chosen for a request now; none if it may.
    pub(crate) fn hold(
        &self,
        pending: &Pending,
        server: &server::State,
        now: Instant,
    ) -> Option<Hold> {
        self.hold_at(pending, server, Moment::Choice, now)
    }

    /// Why a request may not go on at the server that has a copy of its run; none if it may.
    pub(crate) fn hold_at_takeover(
        &self,
        pending: &Pending,
        server: &server::State,
        now: Instant,
    ) -> Option<Hold> {
        self.hold_at(pending, server, Moment::Takeover, now)
    }

    fn hold_at(
        &self,
        pending: &Pending,
        server: &server::State,
        moment: Moment,
        now: Instant,
    ) -> Option<Hold> {
        let question = Question { scheduler: self, pending, server, moment, now };
        FILTERS.iter().find_map(|filter| filter(&question))
    }

    /// Why a request may not be written to a connection with the server that it was assigned to; none if it may.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::new();
    /// assert_eq!(scheduler.hold_at_send(ids::Job::default(), std::time::Instant::now()), None);
    /// ```
    pub fn hold_at_send(&self, job: ids::Job, now: Instant) -> Option<Hold> {
        let pending = self.jobs.get(job)?;
        let Stage::Sent(server) = pending.stage else { return None };
        match self.servers.get(server) {
            Some(server) => self.hold_at(pending, server, Moment::Send, now),
            None => Some(Hold { reason: Reason::Gone }),
        }
    }

    /// Whether a server takes a request, apart from what it may be sent at the moment.
    pub(crate) fn takes_work(
        &self,
        pending: &Pending,
        server: &server::State,
        now: Instant,
    ) -> bool {
        let question = Question { scheduler: self, pending, server, moment: Moment::Choice, now };
        leaving::hold(&question).is_none()
    }
}
