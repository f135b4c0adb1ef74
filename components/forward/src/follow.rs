//! Follows the store: what is in force, and which backend servers there are.

use std::rc::{Rc, Weak};
use std::time::Duration;

use clock::Clock;
use rand::Rng;

use crate::seam::{Event, Reading, Site, Store, StoreError, Watched};
use crate::state::State;

/// How long a watch waits for a change. Each answer proves anew that nothing newer is in force, and
/// each call is paid for; but the younger the proof when the store goes away, the longer a node can
/// serve without it. With this, nearly all nodes serve for the first three seconds of an outage.
const WAIT: Duration = Duration::from_millis(1_200);
/// The same after a failure, so that a node which was lost for a moment is soon ready again.
const GLANCE: Duration = Duration::from_millis(100);
/// A store that is about to drop its history leaves its watches unanswered for a second while changes
/// are made, and then cuts them. So a watch that heard nothing to its end is no proof for its last
/// second, but it is one for all before, as it is longer than that second itself.
const DEAF: Duration = Duration::from_millis(1_050);
/// Time from one watch to the next at least, so that changes which come in quick succession are
/// taken in together. Well under the time in which a leaving server must get no new work.
const SPACE: Duration = Duration::from_millis(700);
/// First pause after a failure; doubled by each.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, so that a store which is back is found within half a second.
const LONGEST: Duration = Duration::from_millis(500);

/// Starts the task; it ends with the node.
pub(crate) fn start<S: Site>(state: &Rc<State<S>>) {
    actix_rt::spawn(follow(Rc::downgrade(state)));
}

async fn follow<S: Site>(weak: Weak<State<S>>) {
    let mut at = None;
    loop {
        let Some(state) = weak.upgrade() else { return };
        let step = match at {
            None => load(&state).await.map(|at| (Some(at), Duration::ZERO)),
            Some(after) => watch(&state, after).await,
        };
        match step {
            Ok((next, space)) => {
                answered(&state);
                at = next;
                tokio::time::sleep(space).await;
            }
            Err(cause) => {
                let failures = state.failures.get() + 1;
                state.failures.set(failures);
                failed(&state, failures, &cause);
                pause(failures).await;
            }
        }
        let gone = state.roster.borrow_mut().expire(state.clock.now());
        state.changed(gone);
    }
}

fn answered<S: Site>(state: &State<S>) {
    let failures = state.failures.take();
    state.roster.borrow_mut().answered(state.clock.now());
    if failures > 0 {
        log::info!(failures = failures; "store answers again");
    }
}

fn failed<S: Site>(state: &State<S>, failures: u32, cause: &StoreError) {
    state.roster.borrow_mut().away();
    state.metrics.settings.event("unread");
    if failures.is_power_of_two() {
        log::warn!(cause:% = cause, failures = failures, age_ms = state.age_ms(); "store lost");
    }
}

async fn pause(failures: u32) {
    let pause = (PAUSE * (1 << failures.min(4))).min(LONGEST);
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(pause.mul_f64(jitter)).await;
}

/// Reads all; returns the position to watch from.
async fn load<S: Site>(state: &Rc<State<S>>) -> Result<u64, StoreError> {
    let asked = state.clock.awake();
    let settings = state.site.store.settings().await?;
    let servers = state.site.store.servers().await?;
    let now = state.clock.now();
    state.roster.borrow_mut().answered(now);
    let changed = state.roster.borrow_mut().replace(servers.value, now);
    state.changed(changed);
    if let Some(event) = settings.value {
        take(state, event);
    }
    confirm(state, asked);
    state.loaded.set(true);
    Ok(settings.at.min(servers.at))
}

/// Waits for changes; returns the position to go on from, none if all has to be read again, and the
/// time to let pass before.
async fn watch<S: Site>(
    state: &Rc<State<S>>,
    after: u64,
) -> Result<(Option<u64>, Duration), StoreError> {
    let asked = state.clock.awake();
    let wait = if state.failures.get() > 0 { GLANCE } else { WAIT };
    let Reading { value, at } = match state.site.store.watch(after, wait).await? {
        Watched::Events(reading) => reading,
        Watched::Forgotten => {
            log::info!(after = after; "the store forgot its history; all is read again");
            return Ok((None, Duration::ZERO));
        }
    };
    state.roster.borrow_mut().answered(state.clock.now());
    let waited = state.clock.awake().saturating_sub(asked);
    let heard = !value.is_empty();
    for event in value {
        take(state, event);
    }
    let next = Some(at.max(after));
    if heard || waited < WAIT {
        confirm(state, asked);
        return Ok((next, SPACE.saturating_sub(waited)));
    }
    confirm(state, asked + WAIT - DEAF);
    Ok((next, Duration::ZERO))
}

/// What is held was the newest when the read began, unless the newest can't be used.
fn confirm<S: Site>(state: &State<S>, asked: Duration) {
    if !state.unusable.get() {
        state.freshness.borrow_mut().confirm(asked);
    }
}

fn take<S: Site>(state: &State<S>, event: Event) {
    match event {
        Event::Settings(book) => state.accept(book),
        Event::Unusable(cause) => {
            log::error!(cause = cause.as_str(); "a revision can't be used; the last good one stays in force");
            state.metrics.settings.event("refused");
            state.unusable.set(true);
        }
        Event::Server(change) => {
            let changed = state.roster.borrow_mut().apply(change, state.clock.now());
            state.changed(changed);
        }
    }
}
