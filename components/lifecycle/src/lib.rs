//! The life of a request as types: only a state in which nothing can have run can say "not run".
//!
//! ```compile_fail
//! let sent = lifecycle::Request::<lifecycle::Received>::new(ids::Request::new()).admit().queue().send();
//! sent.not_run(lifecycle::Reason::Full); // a sent request may have run
//! ```
//!
//! Waiting again after an attempt that may have run doesn't bring "not run" back:
//!
//! ```compile_fail
//! let sent = lifecycle::Request::<lifecycle::Received>::new(ids::Request::new()).admit().queue().send();
//! let again = sent.requeue(lifecycle::Repeatable::if_idempotent(true).unwrap());
//! again.not_run(lifecycle::Reason::Full);
//! ```
//!
//! Nor can a request be sent twice without a proof that it may:
//!
//! ```compile_fail
//! let sent = lifecycle::Request::<lifecycle::Received>::new(ids::Request::new()).admit().queue().send();
//! sent.send();
//! ```

mod attempts;

use std::marker::PhantomData;

pub use attempts::{Sending, Waiting};

derives::value! {
    /// Accepted from the network, not yet judged.
    pub struct Received;
    /// Known caller, class and deadline.
    pub struct Admitted;
    /// Waits for a place at a backend server.
    pub struct Queued;
    /// A byte of it may have left for a backend server.
    pub struct Sent;
    /// Waits for a place again; an earlier attempt may have run.
    pub struct Requeued;
    /// A byte of a further attempt may have left; an earlier one may have run.
    pub struct Resent;
    /// The caller has been given the start of the answer.
    pub struct Streaming;
    /// The stream to the caller stands still; another backend server may go on with it.
    pub struct Paused;
    /// Why a request wasn't run.
    pub enum Reason {
        /// The caller, path or body isn't acceptable.
        Invalid,
        /// No room in the queue.
        Full,
        /// It couldn't be served while of use.
        Late,
        /// No backend server may take it.
        NoServer,
        /// Servers crashed while they ran it.
        Quarantined,
        /// The router is going down.
        Draining,
        /// The caller went away.
        Gone,
    }
    /// What a caller is told, once.
    pub enum Outcome {
        /// The whole answer was passed on.
        Complete,
        /// Nothing ran; it is safe to repeat.
        NotRun(Reason),
        /// It may have run.
        Unknown,
        /// The answer ended early, and the caller was told so.
        Truncated,
    }
}

impl Outcome {
    /// The word for the outcome in headers, logs and metrics.
    ///
    /// ```
    /// assert_eq!(lifecycle::Outcome::Unknown.as_str(), "unknown");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Truncated => "broken-off",
        }
    }
}

/// A request in one state of its life.
#[derive(Debug)]
pub struct Request<S> {
    id: ids::Request,
    attempt: u32,
    state: PhantomData<S>,
}

impl<S> Request<S> {
    /// Identifier of the request.
    pub fn id(&self) -> ids::Request {
        self.id
    }

    /// Number of the newest attempt, from 1; 0 before the first. It goes out with the attempt, so
    /// that a late answer to an older one is known by it.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    fn become_state<T>(self) -> Request<T> {
        Request { id: self.id, attempt: self.attempt, state: PhantomData }
    }

    fn next_attempt<T>(self) -> Request<T> {
        Request { id: self.id, attempt: self.attempt + 1, state: PhantomData }
    }
}

impl Request<Received> {
    /// A request just received.
    pub fn new(id: ids::Request) -> Self {
        Request { id, attempt: 0, state: PhantomData }
    }

    /// The caller is known and the request well formed.
    pub fn admit(self) -> Request<Admitted> {
        self.become_state()
    }

    /// Ends the request before anything ran.
    pub fn not_run(self, reason: Reason) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Request<Admitted> {
    /// The request waits for a place.
    pub fn queue(self) -> Request<Queued> {
        self.become_state()
    }

    /// Ends the request before anything ran.
    pub fn not_run(self, reason: Reason) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Request<Queued> {
    /// From here a byte may leave for a backend server.
    pub fn send(self) -> Request<Sent> {
        self.next_attempt()
    }

    /// Ends the request before anything ran.
    pub fn not_run(self, reason: Reason) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Request<Requeued> {
    /// From here a byte of another attempt may leave.
    pub fn send(self) -> Request<Resent> {
        self.next_attempt()
    }

    /// No further attempt is made, and an earlier one may have run.
    pub fn unknown(self) -> Outcome {
        Outcome::Unknown
    }
}

/// Proof that a request may run more than once.
#[derive(Clone, Copy, Debug)]
pub struct Repeatable(());

impl Repeatable {
    /// The proof, if the request is idempotent.
    ///
    /// ```
    /// assert!(lifecycle::Repeatable::if_idempotent(false).is_none());
    /// ```
    pub fn if_idempotent(idempotent: bool) -> Option<Self> {
        idempotent.then_some(Repeatable(()))
    }
}

/// Proof that an attempt left nothing behind: the connection was never made, or the backend server
/// itself answered that it ran nothing.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// The caller of this function vouches that no byte left, or that the server said "not run".
    pub fn vouch() -> Self {
        Unsent(())
    }
}

impl Request<Sent> {
    /// The attempt provably ran nothing, so the request may wait again.
    pub fn return_to_queue(self, _: Unsent) -> Request<Queued> {
        self.become_state()
    }

    /// The attempt may have run and is given up; another one may follow.
    pub fn requeue(self, _: Repeatable) -> Request<Requeued> {
        self.become_state()
    }

    /// The start of the answer goes to the caller.
    pub fn stream(self) -> Request<Streaming> {
        self.become_state()
    }

    /// The whole answer was passed on at once.
    pub fn complete(self) -> Outcome {
        Outcome::Complete
    }

    /// No answer came, and it may have run.
    pub fn unknown(self) -> Outcome {
        Outcome::Unknown
    }
}

impl Request<Resent> {
    /// The attempt failed; another one may follow. Even if this one ran nothing, an earlier one may
    /// have.
    pub fn requeue(self, _: Repeatable) -> Request<Requeued> {
        self.become_state()
    }

    /// No further attempt is made, and one of them may have run.
    pub fn unknown(self) -> Outcome {
        Outcome::Unknown
    }

    /// The start of the answer goes to the caller.
    pub fn stream(self) -> Request<Streaming> {
        self.become_state()
    }

    /// The whole answer was passed on at once.
    pub fn complete(self) -> Outcome {
        Outcome::Complete
    }
}

impl Request<Streaming> {
    /// The whole answer was passed on.
    pub fn complete(self) -> Outcome {
        Outcome::Complete
    }

    /// The attempt is over and the answer isn't; another one may go on with it.
    pub fn pause(self, _: Repeatable) -> Request<Paused> {
        self.become_state()
    }

    /// The answer ended early.
    pub fn truncated(self) -> Outcome {
        Outcome::Truncated
    }
}

impl Request<Paused> {
    /// Another attempt goes on where the last one stopped.
    pub fn resume(self) -> Request<Streaming> {
        self.next_attempt()
    }

    /// Nobody goes on with the answer.
    pub fn truncated(self) -> Outcome {
        Outcome::Truncated
    }
}
