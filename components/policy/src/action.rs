//! Defines the interface between the scheduler and the code that drives it.

use std::time::{Duration, Instant};

use crate::terms::{Demand, Report, Request, Share};

derives::value! {
    /// Why a request is refused. A refused request runs at no server; the driver knows whether an earlier
    /// attempt of it may have run.
    pub enum Refusal {
        /// The queue is full and no request of a lower tier can be displaced.
        Full,
        /// Displaced from the queue by a request of a higher tier, or of a workspace with fewer waiting requests.
        Displaced,
        /// It can't be served before its deadline.
        Late,
        /// No backend server may take it.
        NoServer,
        /// Servers crashed while they ran it.
        Quarantined,
        /// All servers that may take it have asked for rest, for so long that its answer would be late.
        Resting,
        /// The fleet is overloaded, and its workspace offers more than its fair share.
        OverShare,
        /// The fleet is overloaded, and has no capacity left for its tier.
        Overloaded,
    }

    /// How an attempt ended.
    pub enum Ending {
        /// The complete answer arrived.
        Completed,
        /// The request certainly didn't run: the connection failed, or the server said so.
        NotRun,
        /// The request never reached the server. It cost no server anything, so it counts neither as an
        /// attempt nor against the retry budget.
        Unreached,
        /// Another server received it at this server's address, and declined it. It counts against the retry
        /// budget, but not as an attempt.
        Misdirected,
        /// It wasn't sent, since what is known of its server had changed after it was assigned. This is no fault of the
        /// server.
        Held,
        /// It may have run, and the answer is missing or incomplete.
        Failed,
        /// As [`Ending::Failed`], because the connection broke: the server may have been restarted.
        Broken,
        /// It ran and the server reported an error. The request itself may be the cause, so this raises the
        /// server's failure rate but doesn't eject it.
        ServerError,
        /// The caller disconnected.
        Cancelled,
        /// Stopped as requested by [`Action::Stop`]; the tokens produced so far are kept.
        Stopped,
    }

    /// What the driver has to do.
    pub enum Action {
        /// Send the job to the server.
        Send {
            /// The job to send.
            job: ids::Job,
            /// The server to send it to.
            server: ids::Server,
        },
        /// Tell the caller that the request was refused, and that nothing ran unless an earlier attempt may
        /// have. The scheduler no longer knows the job.
        Refuse {
            /// The refused job.
            job: ids::Job,
            /// The reason for the refusal.
            refusal: Refusal,
            /// Time after which a retry by the caller has a chance.
            retry_after: Duration,
        },
        /// Stop the attempt of a job that was sent, to free its slot for a higher tier. The driver
        /// answers with [`Policy::attempt_ended`] and [`Ending::Stopped`]; the job is queued again and
        /// resumes elsewhere with the tokens produced so far.
        Stop {
            /// The job to stop.
            job: ids::Job,
        },
    }
}

/// A scheduler as its driver calls it. Time only advances through the `now` arguments.
pub trait Policy {
    /// Accepts a request for scheduling; [`Policy::poll`] returns what to do with it.
    fn submit(&mut self, request: Request, now: Instant) -> ids::Job;
    /// Appends the actions that are due now.
    fn poll(&mut self, now: Instant, actions: &mut Vec<Action>);
    /// When [`Policy::poll`] must be called next if no other event occurs before.
    fn next_due(&self) -> Option<Instant>;
    /// Records that tokens of a sent job arrived; the first call marks its first token.
    fn record_tokens(&mut self, job: ids::Job, count: u32, now: Instant);
    /// Records the end of an attempt. Returns whether the job is queued again; if not, the scheduler no
    /// longer knows it.
    fn attempt_ended(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool;
    /// Removes a waiting job whose caller disconnected.
    fn withdraw(&mut self, job: ids::Job, now: Instant);
    /// Records a load report of a server.
    fn record_report(&mut self, server: ids::Server, report: Report, now: Instant);
    /// Sets this node's share of a server.
    fn set_share(&mut self, server: ids::Server, share: Share, now: Instant);
    /// Demand by class, by which peers divide slots among nodes. Empty for policies that don't share
    /// slots.
    fn demand(&self) -> Vec<Demand> {
        vec![]
    }
}
