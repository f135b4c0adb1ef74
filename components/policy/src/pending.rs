//! A request as the decisions hold it.

use std::time::{Duration, Instant};

use crate::pool::Key;
use crate::queue::Entry;
use crate::terms::Request;

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// In the queue of its pool.
    Waiting {
        /// Its first-token target is missed, so it lets others of its class go first.
        late: bool,
    },
    /// Waits for its next attempt.
    Parked,
    /// At a backend server.
    Sent(ids::Server),
    /// Refused; the driver isn't told yet.
    Over,
}

derives::data! {
    /// What the decisions expected of the engine that they sent a request to.
    #[derive(Copy)]
    pub struct Expected {
        /// The engine is the home of the request's session.
        pub preferred: bool,
        /// Time in which it reads the prompt.
        pub prefill: Duration,
        /// Time until it begins to.
        pub backlog: Duration,
        /// Time that prompts take which are known to be read before it.
        pub ahead: Duration,
        /// Time by which a request waits there for longer than is usual.
        pub overdue: Duration,
        /// The engine from which it takes over the beginning of the prompt.
        pub fetch: Option<ids::Server>,
    }
}

/// A request from its submission to its one end.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    pub(crate) tier: u8,
    /// Rank at engines.
    pub(crate) priority: u8,
    /// Random number, so that requests of several nodes that know the same don't all choose the same.
    pub(crate) jitter: u64,
    pub(crate) pool: Key,
    pub(crate) stage: Stage,
    pub(crate) attempts: u8,
    pub(crate) stops: u8,
    pub(crate) stopping: bool,
    /// It was sent ahead of its turn, as its class had waited for its longest wait.
    pub(crate) ahead_of_turn: bool,
    /// Tokens that came, of all attempts.
    pub(crate) produced: u32,
    /// Tokens charged to its workspace.
    pub(crate) charged: u32,
    /// Tokens it stands for while it waits.
    pub(crate) tokens: u32,
    /// When it is looked at again.
    pub(crate) timer: Option<Instant>,
    /// Sent later than this it can't end in time.
    pub(crate) latest_send: Instant,
    /// Its last attempt failed there.
    pub(crate) avoid: Option<ids::Server>,
    /// Seconds that the engine reads its prompt for, while its answer hasn't begun.
    pub(crate) prefill: f64,
    /// Seconds of other prompts that the engine was known to read before it.
    pub(crate) ahead: f64,
    /// What was expected of the engine that it was sent to last.
    pub(crate) expected: Option<Expected>,
    pub(crate) sent_at: Instant,
    pub(crate) last_token: Option<Instant>,
}

impl Pending {
    pub(crate) fn entry(&self, job: ids::Job, lane: ids::Workspace) -> Entry {
        Entry { job, workspace: lane, arrived: self.request.arrived, tokens: self.tokens }
    }
}
