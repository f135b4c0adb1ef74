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
mod rest;

use std::time::Instant;

use crate::pending::{Pending, Stage};
use crate::scheduler::Scheduler;
use crate::server;

derives::named! {
    /// Why a server may not be sent a request.
    pub enum Reason {
        /// It is no longer listed.
        Gone = "gone",
        /// It is shutting down or in an evacuated failure domain.
        Leaving = "leaving",
        /// It has asked this node for rest.
        Resting = "resting",
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
        /// Until when, if that is known.
        pub until: Option<Instant>,
    }
}

impl Hold {
    fn new(reason: Reason) -> Self {
        Hold { reason, until: None }
    }
}

/// What is to be done with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Moment {
    /// A server is chosen for it.
    Choice,
    /// Its server has ended, and another one may go on from the copy of its run.
    Takeover,
    /// It was assigned to the server, with all permits that this takes, and is written to a connection.
    Send,
}

/// May this request be sent to a server now?
#[derive(Clone, Copy)]
pub(crate) struct Question<'a> {
    scheduler: &'a Scheduler,
    pending: &'a Pending,
    moment: Moment,
    /// All servers that the request may be sent to leave or rest.
    last_resort: bool,
    now: Instant,
}

/// Answers a question about a server; none if nothing speaks against sending the request there.
type Filter = fn(&Question<'_>, &server::State) -> Option<Hold>;

/// All filters, in the order in which they are asked.
const FILTERS: [Filter; 5] = [leaving::hold, rest::hold, rate::hold, cold::hold, brittle::hold];

/// From when on any server takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opening {
    Now,
    /// All that don't leave rest until then.
    At(Instant),
    /// All leave, or there are none.
    Never,
}

impl<'a> Question<'a> {
    fn new(scheduler: &'a Scheduler, pending: &'a Pending, moment: Moment, now: Instant) -> Self {
        let is_open = |server| !scheduler.leaves(server) && !scheduler.rests(server, now);
        let has_copy = moment == Moment::Takeover || pending.continued;
        let last_resort = has_copy || !scheduler.candidates_of(pending).any(is_open);
        Question { scheduler, pending, moment, last_resort, now }
    }

    /// Why the request may not be sent to a server; none if it may.
    pub(crate) fn hold(&self, server: &server::State) -> Option<Hold> {
        FILTERS.iter().find_map(|filter| filter(self, server))
    }

    /// Whether a server takes the request, apart from what it may be sent at the moment.
    pub(crate) fn takes_work(&self, server: &server::State) -> bool {
        leaving::hold(self, server).is_none() && rest::returns(self, server).is_none()
    }
}

impl Scheduler {
    /// The question which servers may be chosen for a request now.
    pub(crate) fn choice<'a>(&'a self, pending: &'a Pending, now: Instant) -> Question<'a> {
        Question::new(self, pending, Moment::Choice, now)
    }

    /// The question whether a request may go on at the server that has a copy of its run.
    pub(crate) fn takeover<'a>(&'a self, pending: &'a Pending, now: Instant) -> Question<'a> {
        Question::new(self, pending, Moment::Takeover, now)
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
            Some(server) => Question::new(self, pending, Moment::Send, now).hold(server),
            None => Some(Hold::new(Reason::Gone)),
        }
    }

    /// From when on any server takes a request, apart from what it may be sent at the moment.
    pub(crate) fn opening(&self, pending: &Pending, now: Instant) -> Opening {
        let question = self.choice(pending, now);
        let mut opening = Opening::Never;
        for server in self.candidates_of(pending) {
            if leaving::hold(&question, server).is_some() {
                continue;
            }
            opening = match (rest::returns(&question, server), opening) {
                (None, _) => return Opening::Now,
                (Some(at), Opening::At(first)) => Opening::At(at.min(first)),
                (Some(at), _) => Opening::At(at),
            };
        }
        opening
    }

    /// All servers that a request may be sent to by what it asks for.
    fn candidates_of(&self, pending: &Pending) -> impl Iterator<Item = &server::State> {
        let servers = &self.pools[pending.pool].servers;
        servers.iter().map(|key| &self.servers[*key])
    }
}
