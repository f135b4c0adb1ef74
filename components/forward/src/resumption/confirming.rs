//! Proves, by a read of the store that began after a given time, that this node's list of servers was complete then.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use origins::Allowance;
use tokio::sync::Notify;

use crate::adapter::{Adapter, Store, StoreError};
use crate::follow;
use crate::state::State;

use super::telling::is_alone;

/// Time within which the store must answer; a caller waits for it.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Reads of the store, one at a time: those who wait meanwhile share the next one.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    last: Cell<Option<Read>>,
    is_reading: Cell<bool>,
    has_ended: Notify,
    allowance: Cell<Allowance>,
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

/// The nodes that read the store for take-ups at all nodes.
pub(super) fn readers<A: Adapter>(state: &State<A>) -> Vec<SocketAddr> {
    let node = state.node();
    if is_alone(state) {
        return vec![node.peers];
    }
    state.resumption.members.borrow().readers(&node.seeds)
}

/// Whether this node's list of servers is proved to have been complete at `since` or later, on the clock that runs during
/// suspension. A node that isn't one of the readers proves nothing.
pub(super) async fn confirm<A: Adapter>(state: &Rc<State<A>>, since: Duration) -> bool {
    let readers = readers(state);
    if !readers.contains(&state.node().peers) {
        return false;
    }
    let (confirmation, called) = (&state.resumption.confirmation, state.clock.boot_time());
    let is_shared = |last: &Read| last.began >= since && (last.proved || last.ended >= called);
    loop {
        if let Some(last) = confirmation.last.get().filter(is_shared) {
            return last.proved;
        }
        let has_ended = confirmation.has_ended.notified();
        if !confirmation.is_reading.replace(true) {
            // A task of its own: a caller that gives up doesn't end the read of the others.
            actix_rt::spawn(read_for_all(state.clone(), readers.len()));
        }
        has_ended.await;
    }
}

/// Reads the store once, as soon as this node may, for all who wait.
async fn read_for_all<A: Adapter>(state: Rc<State<A>>, readers: usize) {
    wait_for_allowance(&state, readers).await;
    let began = state.clock.boot_time();
    state.metrics.settings.count_event("confirmed");
    let read = tokio::time::timeout(READ_TIMEOUT, read(&state)).await;
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
    let confirmation = &state.resumption.confirmation;
    let ended = state.clock.boot_time();
    confirmation.last.set(Some(Read { began, ended, proved }));
    confirmation.is_reading.set(false);
    confirmation.has_ended.notify_waiters();
}

/// Waits until this node may read the store, as one of so many readers.
async fn wait_for_allowance<A: Adapter>(state: &State<A>, readers: usize) {
    let allowance = &state.resumption.confirmation.allowance;
    loop {
        let now = state.clock.now();
        let mut next = allowance.get();
        let left = next.time_until_read(readers, now);
        if left.is_zero() {
            next.record_read(now);
            allowance.set(next);
            return;
        }
        tokio::time::sleep(left).await;
    }
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
