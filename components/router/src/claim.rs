//! A keyed call's claim at this node as the home of its key.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use idempotency::{Answer, Kept, Name, Record, Terms};

use crate::state::State;

/// A read of the list is acted on for this long, so that two reads in a row may time out, at 3 s
/// each with the pause after it. It is also how long a process may be paused without becoming a new
/// home, and twice as long a new home refuses keys from before.
const FRESH: Duration = Duration::from_secs(7);

/// The bounds of the settings in force.
pub(crate) fn terms(state: &State) -> Option<Terms> {
    let settings = state.settings()?;
    let limits = &settings.limits;
    let (window, skew, lag) = (limits.key_window, limits.skew, limits.list_lag);
    Some(Terms { window, skew, lag, fresh: FRESH })
}

/// A call that the home let through. Dropped without an ending, it may have run.
pub(crate) struct Claim {
    state: Rc<State>,
    name: Name,
    over: RefCell<bool>,
}

impl Claim {
    /// Asks this node as the home; the error says why the call isn't let through.
    pub(crate) fn make(state: &Rc<State>, name: Name) -> Result<Self, Answer> {
        let Some(terms) = terms(state) else { return Err(Answer::Elsewhere) };
        match state.home.borrow_mut().claim(&name, &terms, state.wall()) {
            Answer::Run => {}
            answer => return Err(answer),
        }
        Ok(Claim { state: state.clone(), name, over: RefCell::new(false) })
    }

    /// Nothing of the call ran.
    pub(crate) fn not_run(&self) {
        self.over.replace(true);
        self.state.home.borrow_mut().take_back(&self.name);
    }

    /// The whole answer went out.
    pub(crate) fn complete(&self, kept: Option<Kept>) {
        self.over.replace(true);
        let record = Record::Complete(kept.map(Rc::new));
        self.state.home.borrow_mut().ended(&self.name, record);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !*self.over.borrow() {
            self.state.home.borrow_mut().ended(&self.name, Record::Unknown);
        }
    }
}
