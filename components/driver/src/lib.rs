//! Drives the scheduler: passes time and events to it, and its actions to the tasks that serve the
//! requests.

mod crashes;
mod fingerprint;
mod submission;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use policy::{Action, Ending, Policy, Scheduler};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};

pub use crashes::{Crashes, Target};
pub use fingerprint::fingerprint;
pub use submission::{Refused, Submission};

/// Longest time between two polls of the scheduler, also while nothing is due.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The scheduler, and the channels to the tasks that wait for its actions.
pub struct Driver {
    /// The scheduler; call [`Driver::run_actions`] after changing it.
    pub scheduler: RefCell<Scheduler>,
    clock: clock::Runtime,
    /// Channels to the tasks that wait for a job to be sent or refused.
    action_senders: RefCell<SecondaryMap<ids::Job, oneshot::Sender<Action>>>,
    /// Channels to the tasks of sent jobs, by which an attempt is stopped.
    stop_senders: RefCell<SecondaryMap<ids::Job, oneshot::Sender<()>>>,
    /// Notified after each poll, so that the timer reads the next due time again.
    polled: Notify,
}

impl Driver {
    /// Creates the driver of a scheduler; [`Driver::spawn_timer`] starts its timer.
    ///
    /// ```
    /// let driver = driver::Driver::new(policy::Scheduler::with_seed(1), clock::Runtime::new());
    /// assert_eq!(driver.scheduler.borrow().waiting(), 0);
    /// ```
    pub fn new(scheduler: Scheduler, clock: clock::Runtime) -> Rc<Self> {
        Rc::new(Driver {
            scheduler: RefCell::new(scheduler),
            clock,
            action_senders: RefCell::default(),
            stop_senders: RefCell::default(),
            polled: Notify::new(),
        })
    }

    /// Polls the scheduler and passes the actions that are due to their tasks. A job whose task no
    /// longer waits is cancelled when it would be sent.
    pub fn run_actions(&self) {
        let mut actions = vec![];
        self.scheduler.borrow_mut().poll(self.clock.now(), &mut actions);
        for action in actions {
            let job = match action {
                Action::Send { job, .. } | Action::Refuse { job, .. } => job,
                Action::Stop { job } => {
                    if let Some(sender) = self.stop_senders.borrow_mut().remove(job) {
                        let _ = sender.send(());
                    }
                    continue;
                }
            };
            let sender = self.action_senders.borrow_mut().remove(job);
            let undelivered = sender.is_none_or(|sender| sender.send(action).is_err());
            if undelivered && matches!(action, Action::Send { .. }) {
                self.scheduler.borrow_mut().attempt_ended(job, Ending::Cancelled, self.clock.now());
            }
        }
        self.polled.notify_one();
    }

    /// Starts the task that polls the scheduler when something falls due; it ends once `self` is
    /// dropped.
    pub fn spawn_timer(self: &Rc<Self>) {
        let weak = Rc::downgrade(self);
        actix_rt::spawn(async move {
            while let Some(driver) = weak.upgrade() {
                let due = driver.scheduler.borrow().next_due();
                let now = driver.clock.now();
                let wait = due.map_or(MAX_POLL_INTERVAL, |due| {
                    due.saturating_duration_since(now).min(MAX_POLL_INTERVAL)
                });
                tokio::select! {
                    _ = tokio::time::sleep(wait) => driver.run_actions(),
                    _ = driver.polled.notified() => {}
                }
            }
        });
    }
}
