//! Models the life cycle of a request as typestate: only states in which nothing can have run allow the
//! outcome "not run".
//!
//! ```compile_fail
//! use lifecycle::{Reason, Received, Request};
//! let sent = Request::<Received>::new(ids::Request::new()).admit().queue().send();
//! sent.end_not_run(Reason::Full); // a sent request may have run
//! ```
//!
//! A request that is queued again after an attempt that may have run can't be called "not run" either:
//!
//! ```compile_fail
//! use lifecycle::{Reason, Received, Repeatable, Request};
//! let sent = Request::<Received>::new(ids::Request::new()).admit().queue().send();
//! let requeued = sent.requeue(Repeatable::if_idempotent(true).unwrap());
//! requeued.end_not_run(Reason::Full);
//! ```
//!
//! A stream that may run only once can't be sent again after its server ended, other than to a copy of its run:
//!
//! ```compile_fail
//! use lifecycle::{Ended, Received, Request};
//! let sent = Request::<Received>::new(ids::Request::new()).admit().queue().send();
//! sent.stream().orphan(Ended::assume()).resume();
//! ```
//!
//! Nor can a request be sent twice without a proof that this is allowed:
//!
//! ```compile_fail
//! use lifecycle::{Received, Request};
//! let sent = Request::<Received>::new(ids::Request::new()).admit().queue().send();
//! sent.send();
//! ```

mod attempts;

use std::marker::PhantomData;

pub use attempts::{Sending, Waiting};

derives::value! {
    /// Received from the network, not validated yet.
    pub struct Received;
    /// Its caller, class and deadline are known.
    pub struct Admitted;
    /// Waits for a slot at a backend server.
    pub struct Queued;
    /// Some of its bytes may have been sent to a backend server.
    pub struct Sent;
    /// Waits for a slot again; an earlier attempt may have run.
    pub struct Requeued;
    /// Some bytes of a further attempt may have been sent; an earlier attempt may have run.
    pub struct Resent;
    /// The start of the answer was passed to the caller.
    pub struct Streaming;
    /// The stream to the caller is interrupted; another backend server may resume it.
    pub struct Paused;
    /// The backend server of the stream has ended; only a copy of its run may continue it.
    pub struct Orphaned;
    /// Why a request wasn't run.
    pub enum Reason {
        /// Its caller, path or body isn't accepted.
        Invalid,
        /// The queue is full.
        Full,
        /// It can't be served in time.
        Late,
        /// No backend server may serve it.
        NoServer,
        /// Servers crashed while they ran it.
        Quarantined,
        /// The router is shutting down.
        Draining,
        /// The caller disconnected.
        CallerGone,
    }
    /// The result of a request, reported to the caller once.
    pub enum Outcome {
        /// The complete answer was passed on.
        Complete,
        /// Nothing ran; the request may be repeated safely.
        NotRun(Reason),
        /// It may have run.
        Unknown,
        /// The answer ended early, and the caller was told so.
        Truncated,
    }
}

impl Outcome {
    /// Name of the outcome in headers, logs and metrics.
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

/// A request in state `S` of its life cycle.
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

    /// Number of the latest attempt, from 1; 0 before the first. It is sent with the attempt, so that a
    /// late answer to an earlier attempt can be told from the answer to this one.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    fn into_state<T>(self) -> Request<T> {
        Request { id: self.id, attempt: self.attempt, state: PhantomData }
    }

    fn into_next_attempt<T>(self) -> Request<T> {
        Request { id: self.id, attempt: self.attempt + 1, state: PhantomData }
    }
}

impl Request<Received> {
    /// A request just received.
    pub fn new(id: ids::Request) -> Self {
        Request { id, attempt: 0, state: PhantomData }
    }

    /// The caller is known and the request is well formed.
    pub fn admit(self) -> Request<Admitted> {
        self.into_state()
    }

    /// Ends the request before anything ran.
    pub fn end_not_run(self, reason: Reason) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Request<Admitted> {
    /// The request waits for a slot.
    pub fn queue(self) -> Request<Queued> {
        self.into_state()
    }

    /// Ends the request before anything ran.
    pub fn end_not_run(self, reason: Reason) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Request<Queued> {
    /// Starts an attempt. Call it before the first byte is sent to a backend server.
    pub fn send(self) -> Request<Sent> {
        self.into_next_attempt()
    }

    /// Ends the request before anything ran.
    pub fn end_not_run(self, reason: Reason) -> Outcome {
        Outcome::NotRun(reason)
    }
}

impl Request<Requeued> {
    /// Starts another attempt. Call it before the first byte is sent to a backend server.
    pub fn send(self) -> Request<Resent> {
        self.into_next_attempt()
    }

    /// Ends the request without a further attempt; an earlier one may have run.
    pub fn end_unknown(self) -> Outcome {
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

/// Proof that an attempt ran nothing: no connection was made, or the backend server itself answered
/// that it ran nothing.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Creates the proof. Its caller guarantees that no byte was sent, or that the server answered "not
    /// run".
    pub fn assume() -> Self {
        Unsent(())
    }
}

/// Proof that the backend server of an attempt has ended, and the attempt's run with it.
#[derive(Debug)]
pub struct Ended(());

impl Ended {
    /// Creates the proof. Its caller guarantees that the server's process no longer runs.
    pub fn assume() -> Self {
        Ended(())
    }
}

impl Request<Sent> {
    /// The attempt provably ran nothing, so the request waits again.
    pub fn return_to_queue(self, _: Unsent) -> Request<Queued> {
        self.into_state()
    }

    /// The attempt is abandoned and may have run; another one may follow.
    pub fn requeue(self, _: Repeatable) -> Request<Requeued> {
        self.into_state()
    }

    /// The start of the answer is passed to the caller.
    pub fn stream(self) -> Request<Streaming> {
        self.into_state()
    }

    /// The complete answer was passed to the caller at once.
    pub fn complete(self) -> Outcome {
        Outcome::Complete
    }

    /// Ends the request without an answer; it may have run.
    pub fn end_unknown(self) -> Outcome {
        Outcome::Unknown
    }
}

impl Request<Resent> {
    /// The attempt failed; another one may follow. Even if this one ran nothing, an earlier one may
    /// have run.
    pub fn requeue(self, _: Repeatable) -> Request<Requeued> {
        self.into_state()
    }

    /// Ends the request without a further attempt; one of its attempts may have run.
    pub fn end_unknown(self) -> Outcome {
        Outcome::Unknown
    }

    /// The start of the answer is passed to the caller.
    pub fn stream(self) -> Request<Streaming> {
        self.into_state()
    }

    /// The complete answer was passed to the caller at once.
    pub fn complete(self) -> Outcome {
        Outcome::Complete
    }
}

impl Request<Streaming> {
    /// The complete answer was passed on.
    pub fn complete(self) -> Outcome {
        Outcome::Complete
    }

    /// The attempt ended before the answer did; another attempt may resume the answer.
    pub fn pause(self, _: Repeatable) -> Request<Paused> {
        self.into_state()
    }

    /// The server of the attempt has ended, so a copy of its run may continue the answer.
    pub fn orphan(self, _: Ended) -> Request<Orphaned> {
        self.into_state()
    }

    /// Ends the request after an answer that ended early.
    pub fn truncated(self) -> Outcome {
        Outcome::Truncated
    }
}

impl Request<Orphaned> {
    /// The copy of the run continues the answer. Call it before the first byte is sent to its server, with an
    /// attempt that runs nothing if there is no copy.
    pub fn continue_from_copy(self) -> Request<Streaming> {
        self.into_next_attempt()
    }

    /// Ends the request after an answer that no copy continues.
    pub fn truncated(self) -> Outcome {
        Outcome::Truncated
    }
}

impl Request<Paused> {
    /// Another attempt resumes the answer where the last one stopped.
    pub fn resume(self) -> Request<Streaming> {
        self.into_next_attempt()
    }

    /// Ends the request after an answer that no attempt resumes.
    pub fn truncated(self) -> Outcome {
        Outcome::Truncated
    }
}
