//! The place of a request among the decisions.

use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use policy::{Action, Ending, Expected, Policy, Refusal};
use tokio::sync::oneshot;

use crate::Driver;

/// What a caller is told to wait where the decisions don't say.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The decisions gave the request up.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Why.
    pub refusal: Refusal,
    /// When it is worth trying again.
    pub retry_after: Duration,
}

impl Refused {
    /// No backend server may take it.
    pub const NO_SERVER: Refused =
        Refused { refusal: Refusal::NoServer, retry_after: DEFAULT_RETRY_AFTER };
}

/// The place of a request among the decisions. Dropped before its end, the caller went away.
pub struct Submission {
    /// What drives the decisions.
    pub driver: Rc<Driver>,
    /// The request.
    pub job: ids::Job,
    stop: Option<oneshot::Receiver<()>>,
    sent: bool,
    over: bool,
}

impl Submission {
    /// Submits a request.
    pub fn new(driver: &Rc<Driver>, request: policy::Request) -> Self {
        let job = driver.scheduler.borrow_mut().submit(request, driver.clock.now());
        Submission { driver: driver.clone(), job, stop: None, sent: false, over: false }
    }

    /// Waits until the request may go to a server.
    ///
    /// # Errors
    /// When the decisions gave it up.
    pub async fn wait_for_server(&mut self) -> Result<ids::Server, Refused> {
        let (sender, receiver) = oneshot::channel();
        self.driver.waiting.borrow_mut().insert(self.job, sender);
        self.driver.run_actions();
        let server = match receiver.await {
            Ok(Action::Send { server, .. }) => server,
            Ok(Action::Refuse { refusal, retry_after, .. }) => {
                self.over = true;
                return Err(Refused { refusal, retry_after });
            }
            Ok(Action::Stop { .. }) | Err(_) => return Err(Refused::NO_SERVER),
        };
        self.sent = true;
        let (sender, receiver) = oneshot::channel();
        self.driver.stops.borrow_mut().insert(self.job, sender);
        self.stop = Some(receiver);
        Ok(server)
    }

    /// What was expected of the engine that the request was sent to.
    pub fn expected(&self) -> Option<Expected> {
        self.driver.scheduler.borrow().expected(self.job)
    }

    /// Waits until the decisions want the attempt stopped.
    pub async fn wait_for_stop(&mut self) {
        if let Some(stop) = &mut self.stop
            && stop.await.is_ok()
        {
            self.stop = None;
            return;
        }
        std::future::pending().await
    }

    /// Notes tokens of the attempt that came; the first call tells of the first.
    pub fn record_tokens(&self, count: u32) {
        let now = self.driver.clock.now();
        self.driver.scheduler.borrow_mut().record_tokens(self.job, count, now);
    }

    /// Ends the attempt; returns whether the job waits again. If so, [`Submission::wait_for_server`] must follow
    /// without a pause, since a turn that nobody awaits is given up.
    pub fn end_attempt(&mut self, ending: Ending) -> bool {
        self.sent = false;
        self.stop = None;
        self.driver.stops.borrow_mut().remove(self.job);
        let now = self.driver.clock.now();
        let again = self.driver.scheduler.borrow_mut().attempt_ended(self.job, ending, now);
        self.over = !again;
        again
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        if !self.over && self.sent {
            self.end_attempt(Ending::Cancelled);
        } else if !self.over {
            let now = self.driver.clock.now();
            self.driver.scheduler.borrow_mut().withdraw(self.job, now);
            self.driver.waiting.borrow_mut().remove(self.job);
        }
        self.driver.run_actions();
    }
}
