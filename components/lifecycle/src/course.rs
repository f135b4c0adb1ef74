use crate::{Again, Outcome, Queued, Reason, Repeatable, Request, Resent, Sent, Streaming, Unsent};

/// A request that waits for a place, whatever came before.
#[derive(Debug)]
pub enum Waiting {
    /// Nothing of it can have run.
    Fresh(Request<Queued>),
    /// An earlier attempt may have run.
    Again(Request<Again>),
}

impl Waiting {
    /// Identifier of the request.
    pub fn id(&self) -> ids::Request {
        match self {
            Waiting::Fresh(life) => life.id(),
            Waiting::Again(life) => life.id(),
        }
    }

    /// From here a byte of an attempt may leave.
    pub fn send(self) -> Sending {
        match self {
            Waiting::Fresh(life) => Sending::First(life.send()),
            Waiting::Again(life) => Sending::Further(life.send()),
        }
    }

    /// No further attempt is made.
    ///
    /// ```
    /// use lifecycle::{Outcome, Reason, Repeatable, Request, Unsent, Waiting};
    /// let waiting = Waiting::Fresh(Request::new(ids::Request::new()).admit().queue());
    /// let lost = waiting.send().failed(None, Repeatable::when(true)).unwrap();
    /// let declined = lost.send().failed(Some(Unsent::vouch()), Repeatable::when(true)).unwrap();
    /// assert_eq!(declined.refuse(Reason::Full), Outcome::Unknown);
    /// ```
    pub fn refuse(self, reason: Reason) -> Outcome {
        match self {
            Waiting::Fresh(life) => life.not_run(reason),
            Waiting::Again(life) => life.unknown(),
        }
    }
}

/// A request of which a byte may have left.
#[derive(Debug)]
pub enum Sending {
    /// Its first attempt, or a later one after attempts that ran nothing.
    First(Request<Sent>),
    /// An earlier attempt may have run.
    Further(Request<Resent>),
}

impl Sending {
    /// Identifier of the request.
    pub fn id(&self) -> ids::Request {
        match self {
            Sending::First(life) => life.id(),
            Sending::Further(life) => life.id(),
        }
    }

    /// Number of the attempt.
    pub fn attempt(&self) -> u32 {
        match self {
            Sending::First(life) => life.attempt(),
            Sending::Further(life) => life.attempt(),
        }
    }

    /// The attempt failed: with `unsent` it provably ran nothing, else the request waits again only
    /// if it may run more than once. The error is its outcome.
    pub fn failed(
        self,
        unsent: Option<Unsent>,
        repeatable: Option<Repeatable>,
    ) -> Result<Waiting, Outcome> {
        match (self, unsent, repeatable) {
            (Sending::First(life), Some(unsent), _) => Ok(Waiting::Fresh(life.back(unsent))),
            (Sending::First(life), None, Some(proof)) => Ok(Waiting::Again(life.again(proof))),
            (Sending::First(life), None, None) => Err(life.unknown()),
            (Sending::Further(life), _, Some(proof)) => Ok(Waiting::Again(life.again(proof))),
            (Sending::Further(life), _, None) => Err(life.unknown()),
        }
    }

    /// The start of the answer goes to the caller.
    pub fn stream(self) -> Request<Streaming> {
        match self {
            Sending::First(life) => life.stream(),
            Sending::Further(life) => life.stream(),
        }
    }

    /// The whole answer was passed on at once.
    pub fn complete(self) -> Outcome {
        match self {
            Sending::First(life) => life.complete(),
            Sending::Further(life) => life.complete(),
        }
    }
}
