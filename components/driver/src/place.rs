//! The place of a request among the decisions.

use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use policy::{Action, Ending, Expected, Policy, Refusal};
use tokio::sync::oneshot;

use crate::Turns;

/// What a caller is told to wait where the decisions don't say.
const AGAIN: Duration = Duration::from_secs(1);

/// The decisions gave the request up.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Why.
    pub refusal: Refusal,
    /// When it is worth trying again.
    pub again: Duration,
}

impl Refused {
    /// No backend server may take it.
    pub const NOBODY: Refused = Refused { refusal: Refusal::NoServer, again: AGAIN };
}

/// The place of a request among the decisions. Dropped before its end, the caller went away.
pub struct Place {
    /// What drives the decisions.
    pub turns: Rc<Turns>,
    /// The request.
    pub job: ids::Job,
    stop: Option<oneshot::Receiver<()>>,
    sent: bool,
    over: bool,
}

impl Place {
    /// Submits a request.
    pub fn new(turns: &Rc<Turns>, request: policy::Request) -> Self {
        let job = turns.scheduler.borrow_mut().submit(request, turns.clock.now());
        Place { turns: turns.clone(), job, stop: None, sent: false, over: false }
    }

    /// Waits until the request may go to a server.
    ///
    /// # Errors
    /// When the decisions gave it up.
    pub async fn turn(&mut self) -> Result<ids::Server, Refused> {
        let (sender, receiver) = oneshot::channel();
        self.turns.waiting.borrow_mut().insert(self.job, sender);
        self.turns.pump();
        let server = match receiver.await {
            Ok(Action::Send { server, .. }) => server,
            Ok(Action::Refuse { refusal, retry_after, .. }) => {
                self.over = true;
                return Err(Refused { refusal, again: retry_after });
            }
            Ok(Action::Stop { .. }) | Err(_) => return Err(Refused::NOBODY),
        };
        self.sent = true;
        let (sender, receiver) = oneshot::channel();
        self.turns.stops.borrow_mut().insert(self.job, sender);
        self.stop = Some(receiver);
        Ok(server)
    }

    /// What was expected of the engine that the request was sent to.
    pub fn expected(&self) -> Option<Expected> {
        self.turns.scheduler.borrow().expected(self.job)
    }

    /// Waits until the decisions want the attempt stopped.
    pub async fn stopped(&mut self) {
        if let Some(stop) = &mut self.stop
            && stop.await.is_ok()
        {
            self.stop = None;
            return;
        }
        std::future::pending().await
    }

    /// Notes tokens of the attempt that came; the first call tells of the first.
    pub fn tokens(&self, count: u32) {
        let now = self.turns.clock.now();
        self.turns.scheduler.borrow_mut().record_tokens(self.job, count, now);
    }

    /// Ends the attempt; returns whether the job waits again. If so, [`Place::turn`] must follow
    /// without a pause, since a turn that nobody awaits is given up.
    pub fn end(&mut self, ending: Ending) -> bool {
        self.sent = false;
        self.stop = None;
        self.turns.stops.borrow_mut().remove(self.job);
        let now = self.turns.clock.now();
        let again = self.turns.scheduler.borrow_mut().attempt_ended(self.job, ending, now);
        self.over = !again;
        again
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.over && self.sent {
            self.end(Ending::Cancelled);
        } else if !self.over {
            let now = self.turns.clock.now();
            self.turns.scheduler.borrow_mut().withdraw(self.job, now);
            self.turns.waiting.borrow_mut().remove(self.job);
        }
        self.turns.pump();
    }
}
