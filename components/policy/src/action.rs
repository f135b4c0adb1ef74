//! The interface between the decisions and whoever drives them.

use std::time::{Duration, Instant};

use crate::terms::{Demand, Report, Request, Share};

derives::value! {
    /// Why a request is refused. All of them mean that nothing ran.
    pub enum Refusal {
        /// Nothing lower is held and there is no room.
        Full,
        /// Given up for a request of a higher tier.
        Displaced,
        /// It can't be served while of use.
        Late,
        /// No backend server may take it.
        NoServer,
        /// Servers crashed while they ran it.
        Quarantined,
    }

    /// How an attempt ended.
    pub enum Ending {
        /// The whole answer came.
        Completed,
        /// Provably nothing ran: no connection, or the server said so.
        NotRun,
        /// It never reached the server, so it cost nobody anything: no attempt is counted, and no
        /// retry is spent.
        Unreached,
        /// It may have run and the answer isn't whole.
        Failed,
        /// It ran, and the server said that it failed. What is wrong may be the request.
        ServerError,
        /// The caller went away.
        Cancelled,
        /// Stopped as [`Action::Stop`] asked; what was produced is kept.
        Stopped,
    }

    /// What the driver has to do.
    pub enum Action {
        /// Send the job to the server.
        Send {
            /// The job.
            job: ids::Job,
            /// Where it goes.
            server: ids::Server,
        },
        /// Tell the caller that nothing ran. The job is forgotten.
        Refuse {
            /// The job.
            job: ids::Job,
            /// Why.
            refusal: Refusal,
            /// When it is worth trying again.
            retry_after: Duration,
        },
        /// Stop the attempt of a job that was sent, for the sake of a higher tier; it waits again
        /// and goes on elsewhere with what was produced. Answered by [`Policy::attempt_ended`] with
        /// [`Ending::Stopped`].
        Stop {
            /// The job.
            job: ids::Job,
        },
    }
}

/// Decisions as their driver calls them. Time only moves through the `now` arguments.
pub trait Policy {
    /// Takes a request in; what becomes of it follows from [`Policy::poll`].
    fn submit(&mut self, request: Request, now: Instant) -> ids::Job;
    /// Appends what is to be done now.
    fn poll(&mut self, now: Instant, actions: &mut Vec<Action>);
    /// When [`Policy::poll`] is next due though nothing else happens.
    fn next_due(&self) -> Option<Instant>;
    /// Tokens of a sent job came; the first call tells of the first token.
    fn record_tokens(&mut self, job: ids::Job, count: u32, now: Instant);
    /// The attempt ended. Returns whether the job waits again; if not, it is forgotten.
    fn attempt_ended(&mut self, job: ids::Job, ending: Ending, now: Instant) -> bool;
    /// The caller of a job that waits went away.
    fn withdraw(&mut self, job: ids::Job, now: Instant);
    /// A load report came.
    fn record_report(&mut self, server: ids::Server, report: Report, now: Instant);
    /// What this node may put on a server changed.
    fn set_share(&mut self, server: ids::Server, share: Share, now: Instant);
    /// Work by class, for peers to divide places by. Ways that don't share tell nothing.
    fn demand(&self) -> Vec<Demand> {
        vec![]
    }
}
