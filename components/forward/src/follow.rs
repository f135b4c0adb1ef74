//! Follows what is published: what is in force, and which backend servers there are.

use std::rc::{Rc, Weak};
use std::time::Duration;

use clock::Clock;
use rand::Rng;

use crate::adapter::{Adapter, Item, Record, Store, StoreError, Versioned, WatchReply};
use crate::mechanism::Mechanism;
use crate::source::{Duty, Failure, Source};
use crate::state::State;
use crate::{proof, updates};

/// How long a watch waits for a change. Each answer proves anew that nothing newer is in force, and
/// each call is paid for; but the younger the proof when the store goes away, the longer a node can
/// serve without it. With this, nearly all nodes serve for the first three seconds of an outage.
const WAIT: Duration = Duration::from_millis(1_200);
/// The same at a peer for one that knows nothing yet. A peer that has just started itself has read
/// thousands of servers by then.
const FIRST: Duration = Duration::from_millis(600);
/// The same after a failure, so that a node which was lost for a moment is soon ready again.
const PROBE: Duration = Duration::from_millis(100);
/// Time from one watch to the next at least, so that changes which come in quick succession are
/// taken in together. Well under the time in which a leaving server must get no new work.
const LEAST_INTERVAL: Duration = Duration::from_millis(700);
/// A peer whose proof is older than this has lost the store: one that reads it has a proof of at most
/// [`WAIT`] and [`proof::BLIND`], and the way.
const PEERS: Duration = Duration::from_millis(2_600);
/// How often seeds tell each other of work: it is averaged over seconds.
const EXCHANGE: Duration = Duration::from_secs(1);
/// Pause of a node that starts, once no seed could be asked.
const STARTS: Duration = Duration::from_millis(40);
/// First pause after all sources failed; doubled by each time.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, so that a store which is back is found within half a second.
const LONGEST: Duration = Duration::from_millis(500);

/// Starts the tasks; they end with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    actix_rt::spawn(follow(Rc::downgrade(state)));
    for seed in state.other_seeds() {
        actix_rt::spawn(exchange(Rc::downgrade(state), seed));
    }
}

async fn follow<A: Adapter>(weak: Weak<State<A>>) {
    let Some(mut sources) = weak.upgrade().map(|state| state.sources()) else { return };
    let mut rounds = 0;
    loop {
        let Some(state) = weak.upgrade() else { return };
        let duty = duty(&state);
        let source = sources.now(duty, state.clock.now());
        let most = sources.most(state.clock.now());
        if source == Source::Store {
            doubt_what_is_missing(&state);
        }
        let step = expiring(&state, async {
            match source {
                Source::Store => store(&state, most).await,
                Source::Peer(peer) => self::peer(&state, peer).await,
            }
        });
        let step = step.await;
        match step {
            Ok(space) => {
                answered(&state, source);
                sources.answered();
                rounds = 0;
                tokio::time::sleep(space).await;
            }
            Err(StoreError::ListTooLong(bytes)) => {
                log::info!(bytes = bytes; "the list of servers is long; seeds are asked for it");
                sources.found_long();
            }
            Err(cause) => {
                if !sources.probes() {
                    failed(&state, source, &cause);
                }
                sources.set_delegate(state.followers.pick());
                if sources.failed(failure(&cause), duty, state.clock.now()) {
                    rounds += 1;
                    let pause = if sources.starting() { jittered(STARTS) } else { pause(rounds) };
                    tokio::time::sleep(pause).await;
                }
            }
        }
        expire(&state);
    }
}

/// Drops servers that are missing as soon as they had their time to come back, also while a step goes
/// on: a watch may wait for longer than a server that left may go on getting work.
async fn expiring<A: Adapter, T>(state: &State<A>, step: impl Future<Output = T>) -> T {
    let mut step = std::pin::pin!(step);
    loop {
        let left = state.roster.borrow().left(state.clock.now());
        let Some(left) = left else { return step.await };
        match tokio::time::timeout(left, &mut step).await {
            Ok(done) => return done,
            Err(_) => expire(state),
        }
    }
}

fn expire<A: Adapter>(state: &State<A>) {
    let gone = state.roster.borrow_mut().expire(state.clock.now());
    state.apply_servers(gone);
}

/// A node whose seeds have lost the store, and that now reads it itself for them, can't tell whether it was
/// away: entries that are missing may only have lapsed.
fn doubt_what_is_missing<A: Adapter>(state: &State<A>) {
    let unseen = state.seeds_lost_store.get() && state.from_peer.get();
    if unseen && state.disabled.is_enabled(Mechanism::OutageGrace) {
        state.roster.borrow_mut().away();
    }
}

fn answered<A: Adapter>(state: &State<A>, source: Source) {
    state.from_peer.set(source != Source::Store);
    state.seeds_lost_store.set(false);
    let failures = state.store_failures.take();
    if failures > 0 {
        log::info!(failures = failures; "store answers again");
    }
}

fn failed<A: Adapter>(state: &State<A>, source: Source, cause: &StoreError) {
    if source == Source::Store && state.disabled.is_enabled(Mechanism::OutageGrace) {
        state.roster.borrow_mut().away();
    }
    if matches!(cause, StoreError::LostByPeer(_)) {
        state.seeds_lost_store.set(true);
    }
    let failures = state.store_failures.get() + 1;
    state.store_failures.set(failures);
    state.updated.notify_waiters();
    state.metrics.settings.event("unread");
    if failures.is_power_of_two() {
        log::warn!(cause:% = cause, failures = failures, age_ms = state.proof_age_ms(); "store lost");
    }
}

fn pause(rounds: u32) -> Duration {
    jittered((PAUSE * (1 << rounds.min(4))).min(LONGEST))
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn duty<A: Adapter>(state: &State<A>) -> Duty {
    let delegated = state.followers.is_delegate(state.clock.now());
    Duty { delegated, nodes: state.fleet_nodes.get() }
}

fn failure(cause: &StoreError) -> Failure {
    match cause {
        StoreError::ConnectionRefused(_) => Failure::Refused,
        StoreError::LostByPeer(_) => Failure::Lost,
        _ => Failure::Down,
    }
}

/// Reads the store, unless what it lists is longer than `most` bytes, or waits there for changes; returns
/// the time to let pass before the next call.
async fn store<A: Adapter>(
    state: &Rc<State<A>>,
    most: Option<usize>,
) -> Result<Duration, StoreError> {
    let asked = state.clock.awake();
    let at = state.replica.borrow().at().filter(|_| !state.history_lost.take());
    let Some(after) = at else {
        let Versioned { value, position: at } = state.adapter.store.list(most).await?;
        state.roster.borrow_mut().answered(state.clock.now());
        let news = state.replica.borrow_mut().replace(value, at);
        take(state, news);
        confirm(state, asked);
        state.loaded.set(true);
        return Ok(Duration::ZERO);
    };
    let wait = if state.store_failures.get() > 0 { PROBE } else { WAIT };
    let Versioned { value, position: at } = match state.adapter.store.watch(after, wait).await? {
        WatchReply::Changes(reading) => reading,
        WatchReply::HistoryLost => {
            log::info!(after = after; "the store forgot its history; all is read again");
            state.history_lost.set(true);
            return Ok(Duration::ZERO);
        }
    };
    state.roster.borrow_mut().answered(state.clock.now());
    let waited = state.clock.awake().saturating_sub(asked);
    let heard = !value.is_empty();
    let news = state.replica.borrow_mut().apply(value, at);
    take(state, news);
    let silent = !heard && waited >= WAIT;
    confirm(state, if silent { proof::of_silence(asked, WAIT) } else { asked });
    Ok(if silent { Duration::ZERO } else { LEAST_INTERVAL.saturating_sub(waited) })
}

/// Asks a peer that reads the store. Its proof is as old as it says, counted from when the answer was
/// made, which is no earlier than the question and the time for which it was held.
async fn peer<A: Adapter>(
    state: &Rc<State<A>>,
    peer: std::net::SocketAddr,
) -> Result<Duration, StoreError> {
    let asked = state.clock.awake();
    let wait = match state.replica.borrow().at() {
        None => FIRST,
        // A delegate may have to read the store first.
        Some(_) if state.is_seed() && !state.node().seeds.contains(&peer) => FIRST,
        Some(_) if state.store_failures.get() > 0 => PROBE,
        Some(_) => WAIT,
    };
    let update = updates::ask(state, peer, wait).await?;
    let now = state.clock.now();
    if update.lost {
        // The store may be well, and only this peer cut off from it; others will tell.
        return Err(StoreError::LostByPeer(peer));
    }
    if update.unknown {
        return Err(StoreError::Unavailable(format!(
            "peer {peer} knows too little of what changed"
        )));
    }
    match update.returned_ms.map(|ago| Duration::from_millis(ago.into())) {
        Some(ago) if state.disabled.is_enabled(Mechanism::OutageGrace) => {
            state.roster.borrow_mut().doubt(now.checked_sub(ago).unwrap_or(now));
        }
        _ => state.roster.borrow_mut().answered(now),
    }
    state.set_fleet_work(update.work);
    let garbled = |cause: wire::Error| StoreError::Malformed(cause.to_string());
    let changes = update.items.unpack().map_err(garbled)?;
    if let Some(base) = update.base {
        let all = base.items.unpack().map_err(garbled)?;
        let items = state.replica.borrow_mut().replace(all, base.at);
        take(state, items);
    }
    let items = state.replica.borrow_mut().apply(changes, update.at);
    take(state, items);
    state.loaded.set(true);
    let Some(age) = update.age_ms.map(|age| Duration::from_millis(age.into())) else {
        return Err(StoreError::Unavailable(format!("peer {peer} has no proof")));
    };
    confirm(state, proof::of_peer(asked, Duration::from_millis(update.held_ms.into()), age));
    if age > PEERS {
        log::debug!(peer:% = peer, age_ms = age.as_millis() as u64; "a peer's proof is old");
        return Err(StoreError::LostByPeer(peer));
    }
    Ok(Duration::ZERO)
}

/// What is held was the newest at that time, unless the newest can't be used.
fn confirm<A: Adapter>(state: &State<A>, at: Duration) {
    if !state.newest_invalid.get() {
        state.freshness.borrow_mut().confirm(at);
    }
    state.updated.notify_waiters();
}

fn take<A: Adapter>(state: &State<A>, items: Vec<Item>) {
    for item in items {
        match state.adapter.store.decode(&item) {
            Some(Record::Settings(book)) => state.apply_settings(book),
            Some(Record::InvalidSettings(cause)) => {
                log::error!(
                    cause = cause.as_str();
                    "a revision can't be used; the last good one stays in force"
                );
                state.metrics.settings.event("refused");
                state.newest_invalid.set(true);
            }
            Some(Record::Server(change)) => {
                let changed = state.roster.borrow_mut().apply(change, state.clock.now());
                state.apply_servers(changed);
            }
            None => {}
        }
    }
}

/// Nodes that read the store tell each other of the work that they heard of. A seed that takes none is
/// told again the next time; nothing depends on it.
async fn exchange<A: Adapter>(weak: Weak<State<A>>, seed: std::net::SocketAddr) {
    while let Some(state) = weak.upgrade() {
        if let Err(cause) = updates::tell(&state, seed).await {
            log::debug!(cause:% = cause; "a seed wasn't told of work");
        }
        state.set_fleet_work(state.fleet_work());
        drop(state);
        tokio::time::sleep(EXCHANGE).await;
    }
}
