//! Follows a request through its attempts where the types can't tell whether an earlier one may have run.

use crate::{
    Outcome, Queued, Reason, Repeatable, Request, Requeued, Resent, Sent, Streaming, Unsent,
};

/// A request that waits for a slot at a backend server.
#[derive(Debug)]
pub enum Waiting {
    /// Nothing of it can have run.
    Queued(Request<Queued>),
    /// An earlier attempt may have run.
    Requeued(Request<Requeued>),
}

impl Waiting {
    /// Identifier of the request.
    pub fn id(&self) -> ids::Request {
        match self {
            Waiting::Queued(request) => request.id(),
            Waiting::Requeued(request) => request.id(),
        }
    }

    /// Starts an attempt. Call it before the first byte is sent.
    pub fn send(self) -> Sending {
        match self {
            Waiting::Queued(request) => Sending::Sent(request.send()),
            Waiting::Requeued(request) => Sending::Resent(request.send()),
        }
    }

    /// Ends the request without a further attempt: as not run, or as unknown if an earlier attempt may
    /// have run.
    ///
    /// ```
    /// use lifecycle::{Outcome, Reason, Repeatable, Request, Unsent, Waiting};
    /// let waiting = Waiting::Queued(Request::new(ids::Request::new()).admit().queue());
    /// let lost = waiting.send().fail(None, Repeatable::if_idempotent(true)).unwrap();
    /// let proof = Repeatable::if_idempotent(true);
    /// let declined = lost.send().fail(Some(Unsent::assume()), proof).unwrap();
    /// assert_eq!(declined.refuse(Reason::Full), Outcome::Unknown);
    /// ```
    pub fn refuse(self, reason: Reason) -> Outcome {
        match self {
            Waiting::Queued(request) => request.end_not_run(reason),
            Waiting::Requeued(request) => request.end_unknown(),
        }
    }
}

/// A request of which some bytes may have been sent.
#[derive(Debug)]
pub enum Sending {
    /// Its first attempt, or a later one after attempts that ran nothing.
    Sent(Request<Sent>),
    /// An earlier attempt may have run.
    Resent(Request<Resent>),
}

impl Sending {
    /// Identifier of the request.
    pub fn id(&self) -> ids::Request {
        match self {
            Sending::Sent(request) => request.id(),
            Sending::Resent(request) => request.id(),
        }
    }

    /// Number of the attempt, from 1.
    pub fn attempt(&self) -> u32 {
        match self {
            Sending::Sent(request) => request.attempt(),
            Sending::Resent(request) => request.attempt(),
        }
    }

    /// Ends a failed attempt. With `unsent`, it provably ran nothing. Otherwise, the request is queued
    /// again only if it may run more than once.
    ///
    /// # Errors
    /// The outcome of the request, if no further attempt may follow.
    pub fn fail(
        self,
        unsent: Option<Unsent>,
        repeatable: Option<Repeatable>,
    ) -> Result<Waiting, Outcome> {
        match (self, unsent, repeatable) {
            (Sending::Sent(request), Some(unsent), _) => {
                Ok(Waiting::Queued(request.return_to_queue(unsent)))
            }
            (Sending::Sent(request), None, Some(proof)) => {
                Ok(Waiting::Requeued(request.requeue(proof)))
            }
            (Sending::Sent(request), None, None) => Err(request.end_unknown()),
            (Sending::Resent(request), _, Some(proof)) => {
                Ok(Waiting::Requeued(request.requeue(proof)))
            }
            (Sending::Resent(request), _, None) => Err(request.end_unknown()),
        }
    }

    /// The start of the answer is passed to the caller.
    pub fn stream(self) -> Request<Streaming> {
        match self {
            Sending::Sent(request) => request.stream(),
            Sending::Resent(request) => request.stream(),
        }
    }

    /// The complete answer was passed to the caller at once.
    pub fn complete(self) -> Outcome {
        match self {
            Sending::Sent(request) => request.complete(),
            Sending::Resent(request) => request.complete(),
        }
    }
}
