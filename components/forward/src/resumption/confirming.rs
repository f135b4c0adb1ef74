//! Proves, by a read of the store that began after a given time, that this node's list of servers was complete then.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use tokio::sync::Mutex;

use crate::adapter::{Adapter, Store, StoreError};
use crate::follow;
use crate::state::State;

/// Time within which the store must answer; a caller waits for it.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Reads of the store, one at a time: those who wait meanwhile share the next one.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    turn: Mutex<()>,
    last: Cell<Option<Read>>,
}

/// A read of the store that has ended.
#[derive(Clone, Copy, Debug)]
struct Read {
    /// When it began, on the clock that runs during suspension.
    began: Duration,
    ended: Duration,
    /// Whether it showed that nothing is missing.
    proved: bool,
}

/// Whether this node's list of servers is proved to have been complete at `since` or later, on the clock that runs during
/// suspension.
pub(super) async fn confirm<A: Adapter>(state: &Rc<State<A>>, since: Duration) -> bool {
    let confirmation = &state.resumption.confirmation;
    let called = state.clock.boot_time();
    let _turn = confirmation.turn.lock().await;
    let is_shared = |last: &Read| last.began >= since && (last.proved || last.ended >= called);
    if let Some(last) = confirmation.last.get().filter(is_shared) {
        return last.proved;
    }
    let began = state.clock.boot_time();
    state.metrics.settings.count_event("confirmed");
    let read = tokio::time::timeout(READ_TIMEOUT, read(state)).await;
    let proved = match read {
        Ok(Ok(proved)) => proved,
        Ok(Err(cause)) => {
            log::info!(cause:% = cause; "the store doesn't confirm the list of servers");
            false
        }
        Err(_) => {
            log::info!(age_ms = state.proof_age_ms(); "the store doesn't confirm the list of servers in time");
            false
        }
    };
    let ended = state.clock.boot_time();
    confirmation.last.set(Some(Read { began, ended, proved }));
    proved
}

/// Compares the store's position with this node's, and reads what is missing. A watch without changes wouldn't do: while the
/// store is about to drop its history, it has none although there are changes.
async fn read<A: Adapter>(state: &Rc<State<A>>) -> Result<bool, StoreError> {
    let newest = state.adapter.store.position().await?;
    let known = || state.replica.borrow().continues_from();
    let has_all = || known().is_some_and(|known| known.era == newest.era && known >= newest);
    if !has_all()
        && let Some(after) = known().filter(|known| known.era == newest.era)
    {
        follow::watch_store(state, after, Duration::ZERO).await?;
    }
    Ok(has_all())
}
