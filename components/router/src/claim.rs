//! A keyed call's claim at this node as the home of its key.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use idempotency::{Bounds, CallKey, Decision, Record, StoredAnswer};

use crate::state::State;

/// A read of the list is acted on for this long, so that two reads in a row may time out, at 3 s
/// each with the pause after it. It is also how long a process may be paused without becoming a new
/// home, and twice as long a new home refuses keys from before.
const FRESH: Duration = Duration::from_secs(7);

/// The bounds of the settings in force.
pub(crate) fn terms(state: &State) -> Option<Bounds> {
    let settings = state.settings()?;
    let limits = &settings.limits;
    let (key_window, clock_skew, list_lag) = (limits.key_window, limits.skew, limits.list_lag);
    Some(Bounds { key_window, clock_skew, list_lag, max_read_age: FRESH })
}

/// A call that the home let through. Dropped without an ending, it may have run.
pub(crate) struct Claim {
    state: Rc<State>,
    name: CallKey,
    over: RefCell<bool>,
}

impl Claim {
    /// Asks this node as the home; the error says why the call isn't let through.
    pub(crate) fn make(state: &Rc<State>, name: CallKey) -> Result<Self, Decision> {
        let Some(terms) = terms(state) else { return Err(Decision::NotOwner) };
        match state.home.borrow_mut().claim(&name, &terms, state.wall()) {
            Decision::Run => {}
            answer => return Err(answer),
        }
        Ok(Claim { state: state.clone(), name, over: RefCell::new(false) })
    }

    /// Nothing of the call ran.
    pub(crate) fn not_run(&self) {
        self.over.replace(true);
        self.state.home.borrow_mut().release(&self.name);
    }

    /// The whole answer went out.
    pub(crate) fn complete(&self, kept: Option<StoredAnswer>) {
        self.over.replace(true);
        let record = Record::Complete(kept.map(Rc::new));
        self.state.home.borrow_mut().record_outcome(&self.name, record);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !*self.over.borrow() {
            self.state.home.borrow_mut().record_outcome(&self.name, Record::Unknown);
        }
    }
}
