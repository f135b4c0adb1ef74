//! Stores the scheduler's state of one request, from submission to its end.

use std::time::{Duration, Instant};

use crate::eviction::Held;
use crate::pool::Key;
use crate::queue::Entry;
use crate::terms::Request;

/// Where a request is in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// In the queue of its pool.
    Waiting {
        /// It has missed its first-token target, so other requests of its class are served first.
        late: bool,
    },
    /// Waits out the backoff before its next attempt.
    BackingOff,
    /// At a backend server.
    Sent(ids::Server),
    /// In no queue: just created, or refused and not yet reported to the driver.
    Unqueued,
}

derives::data! {
    /// The estimates for the engine that a request was sent to, at the time it was chosen.
    #[derive(Copy)]
    pub struct Expected {
        /// The engine is the preferred engine of the request's session.
        pub preferred: bool,
        /// Time in which it prefills the prompt.
        pub prefill: Duration,
        /// Time until that prefill starts.
        pub backlog: Duration,
        /// Prefill time of the prompts that are known to be ahead of this one.
        pub ahead: Duration,
        /// Longest time by which a first token at the engine is overdue.
        pub overdue: Duration,
        /// The engine from which it fetches the cached prefix of the prompt.
        pub fetch: Option<ids::Server>,
        /// Probability in percent that the engine still caches the last part of the prefix that it was known to have; none
        /// if it was known to have none.
        pub survival: Option<u8>,
        /// Time after its last use for which the engine caches a part; none if its memory isn't crowded.
        pub horizon: Option<Duration>,
        /// The engine that keeps a copy of the run.
        pub backup: Option<ids::Server>,
    }
}

/// A request that the scheduler owns.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) request: Request,
    pub(crate) tier: u8,
    /// Priority at engines; lower is served first.
    pub(crate) priority: u8,
    /// Random number that keeps nodes with the same view from all choosing the same engine.
    pub(crate) jitter: u64,
    pub(crate) pool: Key,
    pub(crate) stage: Stage,
    pub(crate) attempts: u8,
    /// What its first attempt added to the retry budget; none while nothing was added.
    pub(crate) earned: Option<f64>,
    /// A server received an attempt of it.
    pub(crate) reached: bool,
    pub(crate) stops: u8,
    pub(crate) stopping: bool,
    /// It was sent out of order because its class had gone unserved for its longest wait.
    pub(crate) ahead_of_turn: bool,
    /// Tokens received, over all attempts.
    pub(crate) produced: u32,
    /// Tokens charged to its workspace.
    pub(crate) charged: u32,
    /// Estimated tokens still to come, as counted in its queue.
    pub(crate) tokens: u32,
    /// When the scheduler next acts on it without an event.
    pub(crate) timer: Option<Instant>,
    /// Latest time at which it can be sent and still end before its deadline.
    pub(crate) latest_send: Instant,
    /// The server where its last attempt failed.
    pub(crate) avoid: Option<ids::Server>,
    /// Seconds of prefill that it adds to its engine; zero once the first token has arrived.
    pub(crate) prefill: f64,
    /// Seconds of prefill of other prompts known to be ahead of it when it was sent.
    pub(crate) ahead: f64,
    /// What its attempt counts for in the memory of its engine.
    pub(crate) held: Option<Held>,
    /// Estimates for the engine that it was last sent to.
    pub(crate) expected: Option<Expected>,
    pub(crate) sent_at: Instant,
    /// Until when it must be sent, if its server is cold.
    pub(crate) send_by: Option<Instant>,
    pub(crate) last_token: Option<Instant>,
    /// Its engine had prefill queued at its last token but the first.
    pub(crate) busy_engine: bool,
    /// It was sent on the return from a rest of its server, which hasn't answered yet.
    pub(crate) returning: bool,
    /// It continues from a copy of its earlier run, without a prefill of its own.
    pub(crate) continued: bool,
}

impl Pending {
    /// Its queue entry in the lane of a workspace.
    pub(crate) fn queue_entry(&self, job: ids::Job, lane: ids::Workspace) -> Entry {
        Entry { job, workspace: lane, arrived: self.request.arrived, tokens: self.tokens }
    }
}
