//! Submits a request to the scheduler and follows it until its end.

use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use policy::{Action, Ending, Expected, Policy, Prior, Refusal};
use tokio::sync::oneshot;

use crate::Driver;

/// Time after which callers may retry, where the scheduler states none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The request was refused.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// The reason for the refusal.
    pub refusal: Refusal,
    /// Time after which a retry by the caller has a chance.
    pub retry_after: Duration,
}

impl Refused {
    /// No backend server may serve the request.
    pub const NO_SERVER: Refused =
        Refused { refusal: Refusal::NoServer, retry_after: DEFAULT_RETRY_AFTER };
}

/// A request that was submitted to the scheduler. Dropping it means that the caller disconnected: a
/// sent request is cancelled, and a waiting one is withdrawn.
pub struct Submission {
    /// The driver of the scheduler.
    pub driver: Rc<Driver>,
    /// The scheduler's key of the request.
    pub job: ids::Job,
    stop_receiver: Option<oneshot::Receiver<()>>,
    /// An attempt was sent and hasn't ended.
    in_flight: bool,
    /// The scheduler no longer knows the request.
    finished: bool,
}

impl Submission {
    /// Submits a request.
    pub fn new(driver: &Rc<Driver>, request: policy::Request) -> Self {
        let job = driver.scheduler.borrow_mut().submit(request, driver.clock.now());
        Submission {
            driver: driver.clone(),
            job,
            stop_receiver: None,
            in_flight: false,
            finished: false,
        }
    }

    /// Waits until the scheduler assigns a server to the request; returns the server.
    ///
    /// # Errors
    /// When the scheduler refuses the request.
    pub async fn wait_for_server(&mut self) -> Result<ids::Server, Refused> {
        let (sender, receiver) = oneshot::channel();
        self.driver.action_senders.borrow_mut().insert(self.job, sender);
        self.driver.run_actions();
        let server = match receiver.await {
            Ok(Action::Send { server, .. }) => server,
            Ok(Action::Refuse { refusal, retry_after, .. }) => {
                self.finished = true;
                return Err(Refused { refusal, retry_after });
            }
            Ok(Action::Stop { .. }) | Err(_) => return Err(Refused::NO_SERVER),
        };
        self.in_flight = true;
        let (sender, receiver) = oneshot::channel();
        self.driver.stop_senders.borrow_mut().insert(self.job, sender);
        self.stop_receiver = Some(receiver);
        Ok(server)
    }

    /// The scheduler's estimate for the engine that the request was sent to.
    pub fn estimates(&self) -> Option<Expected> {
        self.driver.scheduler.borrow().estimates(self.job)
    }

    /// Whether the request could be tried again if its attempt were abandoned now.
    pub fn may_retry(&self) -> bool {
        self.driver.scheduler.borrow().may_retry(self.job, self.driver.clock.now())
    }

    /// Retries that the service's budget holds now.
    pub fn retries_left(&self) -> f64 {
        self.driver.scheduler.borrow().retries_left(self.job)
    }

    /// Waits until the scheduler stops the attempt; never returns if it doesn't.
    pub async fn wait_for_stop(&mut self) {
        if let Some(receiver) = &mut self.stop_receiver
            && receiver.await.is_ok()
        {
            self.stop_receiver = None;
            return;
        }
        std::future::pending().await
    }

    /// Records tokens of the attempt that arrived; the first call marks its first token.
    pub fn record_tokens(&self, count: u32) {
        let now = self.driver.clock.now();
        self.driver.scheduler.borrow_mut().record_tokens(self.job, count, now);
    }

    /// Restricts the request, whose stream has begun, to the servers of the version that began it.
    pub fn restrict_to_version(&self, version: ids::Version) {
        let now = self.driver.clock.now();
        self.driver.scheduler.borrow_mut().restrict_to_version(self.job, version, now);
    }

    /// Moves the request to the engine that keeps a copy of its run, once its server has ended; returns that
    /// engine. If there is none, the attempt has yet to be ended.
    pub fn continue_at_backup(&mut self) -> Option<ids::Server> {
        let now = self.driver.clock.now();
        self.driver.scheduler.borrow_mut().continue_at_backup(self.job, now)
    }

    /// Takes a waiting request back from the scheduler, which then doesn't assign a server to it until
    /// [`Submission::resubmit`]. Returns what became of it so far.
    pub fn withdraw(&mut self) -> Prior {
        let prior = self.driver.scheduler.borrow().prior(self.job);
        if !self.finished && !self.in_flight {
            let now = self.driver.clock.now();
            self.driver.scheduler.borrow_mut().withdraw(self.job, now);
            self.driver.action_senders.borrow_mut().remove(self.job);
            self.finished = true;
        }
        prior
    }

    /// Submits a request again that was withdrawn. Call [`Submission::wait_for_server`] before awaiting anything
    /// else.
    pub fn resubmit(&mut self, request: policy::Request) {
        let now = self.driver.clock.now();
        self.job = self.driver.scheduler.borrow_mut().submit(request, now);
        (self.in_flight, self.finished) = (false, false);
    }

    /// Ends the attempt; returns whether the request is queued again. If it is, call
    /// [`Submission::wait_for_server`] before awaiting anything else: the driver cancels a request
    /// that gets a server while no task waits for it.
    pub fn end_attempt(&mut self, ending: Ending) -> bool {
        self.in_flight = false;
        self.stop_receiver = None;
        self.driver.stop_senders.borrow_mut().remove(self.job);
        let now = self.driver.clock.now();
        let queued_again = self.driver.scheduler.borrow_mut().attempt_ended(self.job, ending, now);
        self.finished = !queued_again;
        queued_again
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        if !self.finished && self.in_flight {
            self.end_attempt(Ending::Cancelled);
        } else {
            self.withdraw();
        }
        self.driver.run_actions();
    }
}
