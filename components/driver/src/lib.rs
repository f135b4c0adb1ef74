//! Drives the decisions: carries time and events to the scheduler, and its actions to the tasks
//! that wait for them.

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

/// How long the decisions may sleep when nothing is due.
const SLEEP: Duration = Duration::from_secs(1);

/// The scheduler and those who wait for its word.
pub struct Driver {
    /// The decisions.
    pub scheduler: RefCell<Scheduler>,
    clock: clock::Runtime,
    waiting: RefCell<SecondaryMap<ids::Job, oneshot::Sender<Action>>>,
    /// How a job that was sent is told to stop.
    stops: RefCell<SecondaryMap<ids::Job, oneshot::Sender<()>>>,
    changed: Notify,
}

impl Driver {
    /// Drives a scheduler.
    ///
    /// ```
    /// let driver = driver::Driver::new(policy::Scheduler::with_seed(1), clock::Runtime::new());
    /// assert_eq!(driver.scheduler.borrow().waiting(), 0);
    /// ```
    pub fn new(scheduler: Scheduler, clock: clock::Runtime) -> Rc<Self> {
        Rc::new(Driver {
            scheduler: RefCell::new(scheduler),
            clock,
            waiting: RefCell::default(),
            stops: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Carries out what the decisions ask for now.
    pub fn run_actions(&self) {
        let mut actions = vec![];
        self.scheduler.borrow_mut().poll(self.clock.now(), &mut actions);
        for action in actions {
            let job = match action {
                Action::Send { job, .. } | Action::Refuse { job, .. } => job,
                Action::Stop { job } => {
                    if let Some(sender) = self.stops.borrow_mut().remove(job) {
                        let _ = sender.send(());
                    }
                    continue;
                }
            };
            let sender = self.waiting.borrow_mut().remove(job);
            let unheard = sender.is_none_or(|sender| sender.send(action).is_err());
            if unheard && matches!(action, Action::Send { .. }) {
                self.scheduler.borrow_mut().attempt_ended(job, Ending::Cancelled, self.clock.now());
            }
        }
        self.changed.notify_one();
    }

    /// Starts the task that wakes the decisions when something falls due; it ends with `self`.
    pub fn spawn_timer(self: &Rc<Self>) {
        let weak = Rc::downgrade(self);
        actix_rt::spawn(async move {
            while let Some(driver) = weak.upgrade() {
                let due = driver.scheduler.borrow().next_due();
                let now = driver.clock.now();
                let wait = due.map_or(SLEEP, |due| due.saturating_duration_since(now).min(SLEEP));
                tokio::select! {
                    _ = tokio::time::sleep(wait) => driver.run_actions(),
                    _ = driver.changed.notified() => {}
                }
            }
        });
    }
}
