use crate::{
    Outcome, Queued, Reason, Repeatable, Request, Requeued, Resent, Sent, Streaming, Unsent,
};

/// A request that waits for a place, whatever came before.
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
            Waiting::Queued(life) => life.id(),
            Waiting::Requeued(life) => life.id(),
        }
    }

    /// From here a byte of an attempt may leave.
    pub fn send(self) -> Sending {
        match self {
            Waiting::Queued(life) => Sending::Sent(life.send()),
            Waiting::Requeued(life) => Sending::Resent(life.send()),
        }
    }

    /// No further attempt is made.
    ///
    /// ```
    /// use lifecycle::{Outcome, Reason, Repeatable, Request, Unsent, Waiting};
    /// let waiting = Waiting::Queued(Request::new(ids::Request::new()).admit().queue());
    /// let lost = waiting.send().fail(None, Repeatable::if_idempotent(true)).unwrap();
    /// let declined = lost.send().fail(Some(Unsent::vouch()), Repeatable::if_idempotent(true)).unwrap();
    /// assert_eq!(declined.refuse(Reason::Full), Outcome::Unknown);
    /// ```
    pub fn refuse(self, reason: Reason) -> Outcome {
        match self {
            Waiting::Queued(life) => life.not_run(reason),
            Waiting::Requeued(life) => life.unknown(),
        }
    }
}

/// A request of which a byte may have left.
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
            Sending::Sent(life) => life.id(),
            Sending::Resent(life) => life.id(),
        }
    }

    /// Number of the attempt.
    pub fn attempt(&self) -> u32 {
        match self {
            Sending::Sent(life) => life.attempt(),
            Sending::Resent(life) => life.attempt(),
        }
    }

    /// The attempt failed: with `unsent` it provably ran nothing, else the request waits again only
    /// if it may run more than once. The error is its outcome.
    pub fn fail(
        self,
        unsent: Option<Unsent>,
        repeatable: Option<Repeatable>,
    ) -> Result<Waiting, Outcome> {
        match (self, unsent, repeatable) {
            (Sending::Sent(life), Some(unsent), _) => {
                Ok(Waiting::Queued(life.return_to_queue(unsent)))
            }
            (Sending::Sent(life), None, Some(proof)) => Ok(Waiting::Requeued(life.requeue(proof))),
            (Sending::Sent(life), None, None) => Err(life.unknown()),
            (Sending::Resent(life), _, Some(proof)) => Ok(Waiting::Requeued(life.requeue(proof))),
            (Sending::Resent(life), _, None) => Err(life.unknown()),
        }
    }

    /// The start of the answer goes to the caller.
    pub fn stream(self) -> Request<Streaming> {
        match self {
            Sending::Sent(life) => life.stream(),
            Sending::Resent(life) => life.stream(),
        }
    }

    /// The whole answer was passed on at once.
    pub fn complete(self) -> Outcome {
        match self {
            Sending::Sent(life) => life.complete(),
            Sending::Resent(life) => life.complete(),
        }
    }
}
