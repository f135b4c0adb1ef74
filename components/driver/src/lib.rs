//! Drives the decisions: carries time and events to the scheduler, and its actions to the tasks
//! that wait for them.

mod crashes;
mod fingerprint;
mod place;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use policy::{Action, Ending, Policy, Scheduler};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, oneshot};

pub use crashes::{Crashes, Target};
pub use fingerprint::fingerprint;
pub use place::{Place, Refused};

/// How long the decisions may sleep when nothing is due.
const SLEEP: Duration = Duration::from_secs(1);

/// The scheduler and those who wait for its word.
pub struct Turns {
    /// The decisions.
    pub scheduler: RefCell<Scheduler>,
    clock: clock::Runtime,
    waiting: RefCell<SecondaryMap<ids::Job, oneshot::Sender<Action>>>,
    /// How a job that was sent is told to stop.
    stops: RefCell<SecondaryMap<ids::Job, oneshot::Sender<()>>>,
    changed: Notify,
}

impl Turns {
    /// Drives a scheduler.
    ///
    /// ```
    /// let turns = driver::Turns::new(policy::Scheduler::with_seed(1), clock::Runtime::new());
    /// assert_eq!(turns.scheduler.borrow().waiting(), 0);
    /// ```
    pub fn new(scheduler: Scheduler, clock: clock::Runtime) -> Rc<Self> {
        Rc::new(Turns {
            scheduler: RefCell::new(scheduler),
            clock,
            waiting: RefCell::default(),
            stops: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Carries out what the decisions ask for now.
    pub fn pump(&self) {
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
    pub fn start(self: &Rc<Self>) {
        let weak = Rc::downgrade(self);
        actix_rt::spawn(async move {
            while let Some(turns) = weak.upgrade() {
                let due = turns.scheduler.borrow().next_due();
                let now = turns.clock.now();
                let wait = due.map_or(SLEEP, |due| due.saturating_duration_since(now).min(SLEEP));
                tokio::select! {
                    _ = tokio::time::sleep(wait) => turns.pump(),
                    _ = turns.changed.notified() => {}
                }
            }
        });
    }
}
