//! Claims a call's idempotency key at this node, which owns the key.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use idempotency::{Bounds, CallKey, Decision, Record, StoredAnswer};

use crate::state::State;

/// Time for which a read of the list of VMs is used. It lets two reads in a row time out, at 3 s each
/// with the pause after it. It is also the longest pause of a process after which it doesn't count as
/// a new owner; a new owner refuses keys from before for twice this time.
const MAX_LIST_AGE: Duration = Duration::from_secs(7);

/// Bounds of idempotency keys by the settings in force.
pub(crate) fn bounds(state: &State) -> Option<Bounds> {
    let settings = state.settings()?;
    let limits = &settings.limits;
    let (key_window, clock_skew, list_lag) = (limits.key_window, limits.skew, limits.list_lag);
    Some(Bounds { key_window, clock_skew, list_lag, max_read_age: MAX_LIST_AGE })
}

/// A call that the key's owner allowed to run. Dropping it without a recorded outcome means that the
/// call may have run.
pub(crate) struct Claim {
    state: Rc<State>,
    call: CallKey,
    finished: RefCell<bool>,
}

impl Claim {
    /// Claims the key at this node; the error says why the call mustn't run.
    pub(crate) fn acquire(state: &Rc<State>, call: CallKey) -> Result<Self, Decision> {
        let Some(bounds) = bounds(state) else { return Err(Decision::NotOwner) };
        match state.key_owner.borrow_mut().claim(&call, &bounds, state.key_time()) {
            Decision::Run => {}
            answer => return Err(answer),
        }
        Ok(Claim { state: state.clone(), call, finished: RefCell::new(false) })
    }

    /// Releases the key, because nothing of the call ran.
    pub(crate) fn release(&self) {
        self.finished.replace(true);
        self.state.key_owner.borrow_mut().release(&self.call);
    }

    /// Records that the call was answered completely; `stored` is the answer for duplicates of it.
    pub(crate) fn complete(&self, stored: Option<StoredAnswer>) {
        self.finished.replace(true);
        let record = Record::Complete(stored.map(Rc::new));
        self.state.key_owner.borrow_mut().record_outcome(&self.call, record);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !*self.finished.borrow() {
            self.state.key_owner.borrow_mut().record_outcome(&self.call, Record::Unknown);
        }
    }
}
