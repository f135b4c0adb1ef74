//! Keeps this node's copy of the published settings and backend servers up to date, from the store or a peer.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use clock::Clock;
use futures_util::future::select_all;
use rand::Rng;
use wire::updates::Update;

use crate::adapter::{Adapter, Item, Record, Store, StoreError, Versioned, WatchReply};
use crate::mechanism::Mechanism;
use crate::source::{Context, Failure, Source, Sources};
use crate::state::State;
use crate::{proof, updates};

/// How long a watch waits for a change. Each answer renews the proof that nothing newer is in force, and
/// each call is paid for. The younger the proof is when contact with the store is lost, the longer a node can
/// serve without it: with this wait, nearly all nodes serve for the first three seconds of an outage.
const WAIT: Duration = Duration::from_millis(1_200);
/// Wait at a peer for a node that has nothing yet, or at a delegate. Within it, a peer that has just started
/// itself has read thousands of servers.
const FIRST_WAIT: Duration = Duration::from_millis(600);
/// Wait after a failure, so that a node which lost contact for a moment is soon ready again.
const PROBE_WAIT: Duration = Duration::from_millis(100);
/// Shortest time between the beginnings of two watches, so that changes in quick succession are received
/// together. Well under the time in which a leaving server must stop getting new work.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(700);
/// Age of its proof from which on a peer counts as having lost contact with the store. The proof of a peer that
/// reads the store is at most as old as [`WAIT`], [`proof::WATCH_BLIND_TAIL`] and the network delay together.
const MAX_PEER_PROOF_AGE: Duration = Duration::from_millis(2_600);
/// Interval at which seeds report work to each other. Work is averaged over seconds.
const WORK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a starting node asks all seeds at once, before it tries one source after the other. VMs that
/// start together do so within it.
const RACE_TIME: Duration = Duration::from_millis(300);
/// Time for which a starting node waits for a peer in its own region after one in another region is ready. Peers that
/// start together are ready within some round trips between regions.
const FAR_PEER_DELAY: Duration = Duration::from_millis(100);
/// Pause of a starting node after no source has answered.
const STARTUP_PAUSE: Duration = Duration::from_millis(40);
/// First pause after all sources have failed; doubled each time.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after all sources have failed, so that a store which is back is found within half a second.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Starts a task that reads settings and servers from the sources, and for each other seed one that
/// exchanges work with it. They end with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    actix_rt::spawn(follow_sources(Rc::downgrade(state)));
    for seed in state.other_seeds() {
        actix_rt::spawn(exchange_work(Rc::downgrade(state), seed));
    }
}

/// Asks one source after the other for as long as the node runs.
async fn follow_sources<A: Adapter>(weak: Weak<State<A>>) {
    let Some(mut sources) = weak.upgrade().map(|state| state.sources()) else { return };
    let mut failed_rounds = 0;
    if let Some(state) = weak.upgrade()
        && !state.is_seed()
        && let Some(peer) = race_peers(&state, &mut sources).await
    {
        record_answer(&state, Source::Peer(peer));
        sources.record_first_answer(peer, state.clock.now());
    }
    loop {
        let Some(state) = weak.upgrade() else { return };
        let context = source_context(&state);
        if let Some(nearest) = state.nearest_seed.get() {
            sources.prefer(nearest);
        }
        let source = sources.select(context, state.clock.now());
        let list_limit = sources.list_limit(state.clock.now());
        if source == Source::Store {
            doubt_missing_servers(&state);
        }
        let step = expire_servers_during(&state, async {
            match source {
                Source::Store => ask_store(&state, list_limit).await,
                Source::Peer(peer) => ask_peer(&state, peer).await,
            }
        });
        let step = step.await;
        match step {
            Ok(pause) => {
                record_answer(&state, source);
                sources.record_success();
                failed_rounds = 0;
                tokio::time::sleep(pause).await;
            }
            Err(StoreError::ListTooLong(bytes)) => {
                log::info!(bytes = bytes; "the list of servers is long; asking seeds for it");
                sources.record_long_list();
            }
            Err(cause) => {
                if !sources.is_probing_first() {
                    record_failure(&state, source, &cause);
                }
                sources.set_delegate(state.delegates.pick_candidate());
                if sources.record_failure(classify_failure(&cause), context, state.clock.now()) {
                    failed_rounds += 1;
                    let pause = if sources.awaits_first_answer() {
                        jittered(STARTUP_PAUSE)
                    } else {
                        pause_after(failed_rounds)
                    };
                    tokio::time::sleep(pause).await;
                }
            }
        }
        expire_servers(&state);
    }
}

/// Runs a step, and meanwhile drops missing servers as soon as their time to be listed again is over: a watch
/// may wait for longer than a server that has left may go on getting work.
async fn expire_servers_during<A: Adapter, T>(
    state: &State<A>,
    step: impl Future<Output = T>,
) -> T {
    let mut step = std::pin::pin!(step);
    loop {
        let left = state.membership.borrow().time_until_removal(state.clock.now());
        let Some(left) = left else { return step.await };
        match tokio::time::timeout(left, &mut step).await {
            Ok(done) => return done,
            Err(_) => expire_servers(state),
        }
    }
}

/// Drops missing servers whose time to be listed again is over.
fn expire_servers<A: Adapter>(state: &State<A>) {
    let gone = state.membership.borrow_mut().remove_lapsed(state.clock.now());
    state.apply_servers(gone);
}

/// Keeps missing servers for a while when this node turns to the store because its seeds have lost contact with
/// it. The node can't tell whether the store was down, in which case their entries may only have expired.
fn doubt_missing_servers<A: Adapter>(state: &State<A>) {
    let unobserved = state.seeds_lost_store.get() && state.from_peer.get();
    if unobserved && state.switches.is_on(Mechanism::OutageGrace) {
        state.membership.borrow_mut().mark_unavailable();
    }
}

fn record_answer<A: Adapter>(state: &State<A>, source: Source) {
    state.from_peer.set(source != Source::Store);
    state.seeds_lost_store.set(false);
    let failures = state.store_failures.take();
    if failures > 0 {
        log::info!(failures = failures; "store answers again");
    }
}

fn record_failure<A: Adapter>(state: &State<A>, source: Source, cause: &StoreError) {
    if source == Source::Store && state.switches.is_on(Mechanism::OutageGrace) {
        state.membership.borrow_mut().mark_unavailable();
    }
    if matches!(cause, StoreError::LostByPeer(_)) {
        state.seeds_lost_store.set(true);
    }
    let failures = state.store_failures.get() + 1;
    state.store_failures.set(failures);
    state.updated.notify_waiters();
    state.metrics.settings.count_event("unread");
    if failures.is_power_of_two() {
        log::warn!(cause:% = cause, failures = failures, age_ms = state.proof_age_ms(); "store lost");
    }
}

/// The pause after so many rounds in which all sources failed.
fn pause_after(rounds: u32) -> Duration {
    jittered((MIN_PAUSE * (1 << rounds.min(4))).min(MAX_PAUSE))
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

fn source_context<A: Adapter>(state: &State<A>) -> Context {
    let is_delegate = state.delegates.is_delegate(state.clock.now());
    Context { is_delegate, fleet_nodes: state.fleet_nodes.get() }
}

fn classify_failure(cause: &StoreError) -> Failure {
    match cause {
        StoreError::ConnectionRefused(_) => Failure::Refused,
        StoreError::LostByPeer(_) => Failure::StoreLost,
        _ => Failure::Down,
    }
}

/// Asks the store: reads everything if this node has nothing yet, unless the list of servers is longer than
/// `list_limit` bytes; else watches for changes. Returns the pause before the next call.
async fn ask_store<A: Adapter>(
    state: &Rc<State<A>>,
    list_limit: Option<usize>,
) -> Result<Duration, StoreError> {
    let asked = state.clock.boot_time();
    let position = state.replica.borrow().position().filter(|_| !state.history_lost.take());
    let Some(after) = position else {
        let Versioned { value, position } = state.adapter.store.list(list_limit).await?;
        state.membership.borrow_mut().mark_available(state.clock.now());
        log_older(state, &value, position);
        let updates = state.replica.borrow_mut().replace(value, position);
        apply_items(state, updates);
        confirm_freshness(state, asked);
        state.loaded.set(true);
        return Ok(Duration::ZERO);
    };
    let wait = if state.store_failures.get() > 0 { PROBE_WAIT } else { WAIT };
    let Versioned { value, position } = match state.adapter.store.watch(after, wait).await? {
        WatchReply::Changes(changes) => changes,
        WatchReply::HistoryLost => {
            log::info!(
                after = after;
                "the store no longer has its history after this position; reading everything again"
            );
            state.history_lost.set(true);
            return Ok(Duration::ZERO);
        }
    };
    state.membership.borrow_mut().mark_available(state.clock.now());
    let waited = state.clock.boot_time().saturating_sub(asked);
    let has_changes = !value.is_empty();
    let updates = state.replica.borrow_mut().apply(value, position);
    apply_items(state, updates);
    let quiet = !has_changes && waited >= WAIT;
    confirm_freshness(state, if quiet { proof::from_quiet_watch(asked, WAIT) } else { asked });
    Ok(if quiet { Duration::ZERO } else { MIN_WATCH_INTERVAL.saturating_sub(waited) })
}

/// Logs that the store's position is before this node's, and the items whose versions are ignored as they aren't newer
/// than those that this node knows, although they differ.
fn log_older<A: Adapter>(state: &State<A>, items: &[Item], position: u64) {
    let replica = state.replica.borrow();
    if let Some(known) = replica.position().filter(|known| position < *known) {
        log::warn!(position = position, known = known; "the store's position is before this node's");
    }
    for (offered, known) in replica.differing(items) {
        log::warn!(
            key = offered.key.as_str(), offered = offered.revision, known = known;
            "an item of the store is ignored: its revision isn't newer"
        );
    }
}

/// Asks a peer for changes; returns the pause before the next call. The age of the peer's proof is counted
/// from when the answer was made, which is no earlier than the question plus the time for which the peer held it.
async fn ask_peer<A: Adapter>(
    state: &Rc<State<A>>,
    peer: SocketAddr,
) -> Result<Duration, StoreError> {
    let asked = state.clock.boot_time();
    let wait = match state.replica.borrow().position() {
        None => FIRST_WAIT,
        // A delegate may have to read the store first.
        Some(_) if state.is_seed() && !state.node().seeds.contains(&peer) => FIRST_WAIT,
        Some(_) if state.store_failures.get() > 0 => PROBE_WAIT,
        Some(_) => WAIT,
    };
    let update = updates::request_update(state, peer, wait).await?.receive().await?;
    apply_update(state, peer, asked, update)
}

/// Asks all peers at once, each again and again, whether they are ready, and the first one that is for everything that
/// is published; returns which that was. Peers that lost power together with this node come back at different times,
/// and one without power doesn't even refuse a connection. If all peers sent everything, it would fill their links.
///
/// Those of this node's region come first, also in `sources`: everything is the most that a node is ever sent, and what
/// crosses to another region is paid for by volume.
async fn race_peers<A: Adapter>(state: &Rc<State<A>>, sources: &mut Sources) -> Option<SocketAddr> {
    let peers = sources.peers();
    if peers.is_empty() {
        return None;
    }
    let near = RefCell::new(HashSet::new());
    let race = select_all(peers.iter().map(|peer| Box::pin(wait_until_ready(state, *peer, &near))));
    let first = tokio::time::timeout(RACE_TIME, race).await;
    sources.prefer_region(near.take());
    let (peer, ..) = first.ok()?;
    match ask_peer(state, peer).await {
        Ok(_) => Some(peer),
        Err(cause) => {
            log::debug!(peer:% = peer, cause:% = cause; "a first answer can't be used");
            None
        }
    }
}

/// Waits until a peer is ready, and if it is in another region, for [`FAR_PEER_DELAY`] more. Adds it to `near` once it
/// has answered that it is in this node's region.
async fn wait_until_ready<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    near: &RefCell<HashSet<SocketAddr>>,
) -> SocketAddr {
    // The first question tells only where the peer is.
    let mut wait = Duration::ZERO;
    loop {
        match updates::request_presence(state, peer, wait).await {
            Ok(presence) => {
                wait = FIRST_WAIT;
                let is_near = state.is_in_own_region(&presence.domain);
                if is_near {
                    near.borrow_mut().insert(peer);
                }
                if presence.ready {
                    tokio::time::sleep(if is_near { Duration::ZERO } else { FAR_PEER_DELAY }).await;
                    return peer;
                }
            }
            Err(cause) => log::debug!(peer:% = peer, cause:% = cause; "not ready yet"),
        }
        tokio::time::sleep(jittered(STARTUP_PAUSE)).await;
    }
}

/// Applies a peer's answer to a question that was asked at `asked`; returns the pause before the next call.
fn apply_update<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    asked: Duration,
    update: Update,
) -> Result<Duration, StoreError> {
    let now = state.clock.now();
    if update.store_lost {
        // Only this peer may be cut off from the store; the next source shows whether others are as well.
        return Err(StoreError::LostByPeer(peer));
    }
    if update.history_lost {
        log::info!(peer:% = peer; "the peer no longer knows all changes after this node's position; asking for everything");
        state.history_lost.set(true);
        return Ok(Duration::ZERO);
    }
    match update.store_returned_ms.map(|ago| Duration::from_millis(ago.into())) {
        Some(ago) if state.switches.is_on(Mechanism::OutageGrace) => {
            state
                .membership
                .borrow_mut()
                .mark_unavailable_until(now.checked_sub(ago).unwrap_or(now));
        }
        _ => state.membership.borrow_mut().mark_available(now),
    }
    state.set_fleet_work(update.work);
    let garbled = |cause: wire::Error| StoreError::Malformed(cause.to_string());
    let changes = update.items.unpack().map_err(garbled)?;
    if let Some(base) = update.base {
        let all = base.items.unpack().map_err(garbled)?;
        state.history_lost.set(false);
        let items = state.replica.borrow_mut().replace(all, base.position);
        apply_items(state, items);
    }
    let items = state.replica.borrow_mut().apply(changes, update.position);
    apply_items(state, items);
    state.loaded.set(true);
    let Some(age) = update.age_ms.map(|age| Duration::from_millis(age.into())) else {
        return Err(StoreError::Unavailable(format!(
            "peer {peer} has no proof that its settings are the newest"
        )));
    };
    confirm_freshness(
        state,
        proof::from_peer(asked, Duration::from_millis(update.waited_ms.into()), age),
    );
    if age > MAX_PEER_PROOF_AGE {
        log::debug!(
            peer:% = peer, age_ms = age.as_millis() as u64;
            "the peer's proof is too old; it has lost contact with the store"
        );
        return Err(StoreError::LostByPeer(peer));
    }
    Ok(Duration::ZERO)
}

/// Records that the list of servers of this node was complete at a time, and its settings were the newest, unless the
/// newest revision can't be used.
fn confirm_freshness<A: Adapter>(state: &State<A>, at: Duration) {
    if !state.newest_invalid.get() {
        state.freshness.borrow_mut().confirm(at);
    }
    let age = state.clock.boot_time().saturating_sub(at);
    if let Some(at) = state.clock.now().checked_sub(age) {
        state.driver.scheduler.borrow_mut().confirm_list(at);
    }
    state.updated.notify_waiters();
}

/// Puts changed settings, evacuations and servers into force. What restricts the use of servers goes first, so
/// that no request is sent between two changes of one answer to a server that the other forbids.
fn apply_items<A: Adapter>(state: &State<A>, items: Vec<Item>) {
    let mut records: Vec<_> =
        items.iter().filter_map(|item| state.adapter.store.decode(item)).collect();
    records.sort_by_key(|record| match record {
        Record::Evacuation { .. } => 0,
        Record::Settings(_) | Record::InvalidSettings(_) => 1,
        Record::Server(_) => 2,
    });
    let mut servers = vec![];
    for record in records {
        match record {
            Record::Evacuation { domain, in_force } => state.apply_evacuation(&domain, in_force),
            Record::Settings(settings) => state.apply_settings(settings),
            Record::InvalidSettings(cause) => {
                log::error!(
                    cause = cause.as_str();
                    "a revision of the settings can't be used; the last usable one stays in force"
                );
                state.metrics.settings.count_event("refused");
                state.newest_invalid.set(true);
            }
            Record::Server(change) => {
                let changed = state.membership.borrow_mut().apply(change, state.clock.now());
                servers.extend(changed);
            }
        }
    }
    state.apply_servers(servers);
}

/// Reports to another seed the work that nodes have reported to this one, again and again. A failed report is
/// only logged: the next one replaces it.
async fn exchange_work<A: Adapter>(weak: Weak<State<A>>, seed: SocketAddr) {
    while let Some(state) = weak.upgrade() {
        if let Err(cause) = updates::report_work(&state, seed).await {
            log::debug!(cause:% = cause; "failed to report work to a seed");
        }
        state.set_fleet_work(state.fleet_work());
        drop(state);
        tokio::time::sleep(WORK_INTERVAL).await;
    }
}
