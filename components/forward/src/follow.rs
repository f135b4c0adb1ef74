//! Keeps this node's copy of the published settings and backend servers up to date, from the store or a peer.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

use clock::Clock;
use futures_util::future::{Either, select};
use rand::Rng;
use upstream::{Context, Failure, Path, Source};
use wire::updates::Update;

use crate::adapter::{Adapter, Position, Store, StoreError, Versioned, WatchReply};
use crate::contact;
use crate::effects::{self, Reader};
use crate::mechanism::Mechanism;
use crate::race::race_peers;
use crate::state::State;
use crate::{proof, standing, updates};

/// How long a watch waits for a change. Each answer renews the proof that nothing newer is in force, and
/// each call is paid for. The younger the proof is when contact with the store is lost, the longer a node can
/// serve without it: with this wait, nearly all nodes serve for the first three seconds of an outage.
const WAIT: Duration = Duration::from_millis(1_100);
/// How long a peer that reads the store waits for a change. By then its own watch has ended, so that each of its proofs
/// is received at once.
const PEER_WAIT: Duration = Duration::from_millis(1_300);
/// Wait at a peer for a node that has nothing yet, or at a delegate. Within it, a peer that has just started
/// itself has read thousands of servers.
pub(crate) const FIRST_WAIT: Duration = Duration::from_millis(600);
/// Wait after a failure, so that a node which lost contact for a moment is soon ready again.
const PROBE_WAIT: Duration = Duration::from_millis(100);
/// Shortest time between the beginnings of two watches, so that changes in quick succession are received
/// together. Well under the time in which a leaving server must stop getting new work.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(700);
/// Age of its proof from which on a peer counts as having lost contact with the store, if it doesn't count before by
/// the time within which changes must be in force. The proof of a peer that reads the store is at most as old as
/// [`WAIT`], [`proof::WATCH_BLIND_TAIL`] and the network delay together.
const MAX_PEER_PROOF_AGE: Duration = Duration::from_millis(2_600);
/// Time that a read of everything waits for each answer of the store. A healthy one answers in milliseconds; up to this time
/// it counts as slow, not as unavailable.
const LIST_PATIENCE: Duration = Duration::from_secs(1);
/// The same for a node that has nothing, beside its other sources, after the store hasn't answered it within
/// [`LIST_PATIENCE`]: two answers of a store that takes seconds for each still come within the time of a restart.
const LONG_PATIENCE: Duration = Duration::from_secs(4);
/// Longest list of servers, in bytes, that a node reads from the store although it asks peers.
const MAX_RENEWED_LIST_BYTES: usize = 16 << 10;
/// Interval at which seeds report work to each other. Work is averaged over seconds.
const WORK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause of a starting node after no source has answered.
pub(crate) const STARTUP_PAUSE: Duration = Duration::from_millis(40);
/// First pause after all sources have failed; doubled each time.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after all sources have failed, so that a store which is back is found within half a second.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Starts a task that reads settings and servers from the sources, one that reads the store when these don't keep the
/// node up to date, and for each other seed one that exchanges work with it. They end with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    actix_rt::spawn(follow_sources(Rc::downgrade(state)));
    actix_rt::spawn(renew_proof(Rc::downgrade(state)));
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
        contact::record_answer(&state, Source::Peer(peer));
        sources.record_first_answer(peer, state.clock.now());
    }
    loop {
        let Some(state) = weak.upgrade() else { return };
        let context = source_context(&state);
        if let Some(nearest) = state.nearest_seed.get() {
            sources.prefer(nearest);
        }
        let store_answers = state.contact.store_answered.take();
        if store_answers {
            sources.retry_store();
        }
        let source = sources.select(context, state.clock.now());
        if source == Source::Store && sources.is_probing_first() && !store_answers {
            // The peers that answer in its place are asked meanwhile.
            state.contact.probe.notify_one();
            sources.record_failure(Failure::Down, context, state.clock.now());
            continue;
        }
        let list_limit = sources.list_limit(state.clock.now());
        if source == Source::Store {
            contact::doubt_missing_servers(&state);
        }
        let step = expire_during(&state, async {
            match source {
                Source::Store => ask_store(&state, list_limit).await,
                Source::Peer(peer) => ask_peer(&state, peer).await,
            }
        });
        let step = match until_interrupted(&state, source, context, step).await {
            Ok(step) => step,
            // The delegate of a seed reads the store.
            Err(Interruption::Delegated) => continue,
            Err(Interruption::Received(peer)) => {
                sources.use_delegate(peer, state.clock.now());
                Ok(Duration::ZERO)
            }
        };
        contact::record_absence(&state);
        match step {
            Ok(pause) => {
                contact::record_answer(&state, sources.current());
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
                    contact::record_failure(&state, source, &cause);
                }
                let is_silent =
                    source == Source::Store && matches!(cause, StoreError::Unavailable(_));
                if is_silent && !state.replica.borrow().is_loaded() {
                    read_patiently(&state);
                }
                sources.set_delegate(state.delegates.pick_candidate());
                if sources.record_failure(classify_failure(&cause), context, state.clock.now()) {
                    failed_rounds += 1;
                    let pause = if sources.awaits_first_answer() {
                        jittered(STARTUP_PAUSE)
                    } else {
                        pause_after(failed_rounds)
                    };
                    // The delegate of a seed reads the store at once.
                    let delegated = state.contact.delegated.notified();
                    let _ = tokio::time::timeout(pause, delegated).await;
                }
            }
        }
        effects::expire(&state);
    }
}

/// Why a node leaves a step unfinished.
enum Interruption {
    /// A seed has made it its delegate.
    Delegated,
    /// It has received everything from this peer.
    Received(SocketAddr),
}

/// Runs a step, unless a seed makes this node its delegate while it asks a peer, or this node is a seed without anything and
/// receives everything from a node that offers it.
async fn until_interrupted<A: Adapter, T>(
    state: &Rc<State<A>>,
    source: Source,
    context: Context,
    step: impl Future<Output = T>,
) -> Result<T, Interruption> {
    let interruption = async {
        if state.is_seed() && !state.replica.borrow().is_loaded() {
            return Interruption::Received(receive_offered(state).await);
        }
        if source == Source::Store || context.is_delegate {
            return std::future::pending().await;
        }
        state.contact.delegated.notified().await;
        Interruption::Delegated
    };
    match select(pin!(step), pin!(interruption)).await {
        Either::Left((done, _)) => Ok(done),
        Either::Right((interruption, _)) => Err(interruption),
    }
}

/// Waits for offers of everything that is published and asks for it; returns the peer that has sent it.
async fn receive_offered<A: Adapter>(state: &Rc<State<A>>) -> SocketAddr {
    loop {
        let Some(peer) = state.delegates.offer() else {
            state.contact.offered.notified().await;
            continue;
        };
        match ask_peer(state, peer).await {
            Ok(_) => return peer,
            Err(cause) => {
                log::info!(peer:% = peer, cause:% = cause; "a peer doesn't keep its offer");
                state.delegates.withdraw_offer(peer);
            }
        }
    }
}

/// Reads the store whenever the proof of this node has grown old, whatever its peers answer meanwhile, and when a seed is to
/// try it again.
async fn renew_proof<A: Adapter>(weak: Weak<State<A>>) {
    while let Some(state) = weak.upgrade() {
        let left = time_until_read(&state);
        if left > Duration::ZERO {
            let probe = state.contact.probe.clone();
            drop(state);
            if tokio::time::timeout(left, probe.notified()).await.is_err() {
                continue;
            }
        }
        let Some(state) = weak.upgrade() else { return };
        let read = read_changes(&state).await;
        let mut renewal = state.contact.renewal.get();
        match read {
            Ok(()) => {
                renewal.record_success();
                state.contact.store_answered.set(true);
                if time_until_read(&state).is_zero() {
                    // The answer proves nothing, as the newest settings can't be used.
                    renewal.record_failure(state.clock.now());
                }
            }
            Err(cause) => {
                renewal.record_failure(state.clock.now());
                if state.proof_age_ms() >= Some(max_proof_age(&state).as_millis() as u64) {
                    contact::keep_missing_servers(&state);
                }
                log::info!(cause:% = cause, age_ms = state.proof_age_ms(); "the store doesn't answer this node either");
            }
        }
        contact::record_absence(&state);
        state.contact.renewal.set(renewal);
        effects::expire(&state);
    }
}

/// Time until this node has to read the store itself. One that has read nothing yet looks for a source first.
fn time_until_read<A: Adapter>(state: &State<A>) -> Duration {
    let now = state.clock.boot_time();
    let age = state.replica.borrow().freshness().age(now);
    let Some(age) = age else { return MIN_PAUSE };
    let (nodes, limits) = (state.fleet_nodes.get(), state.node().proof_limits());
    state.contact.renewal.get().time_until_read(age, nodes, limits, state.clock.now())
}

/// Age of its proof at which this node reads the store itself.
fn max_proof_age<A: Adapter>(state: &State<A>) -> Duration {
    let (nodes, limits) = (state.fleet_nodes.get(), state.node().proof_limits());
    state.contact.renewal.get().max_age(nodes, limits)
}

/// Reads from the store what has changed, or everything if that is short.
async fn read_changes<A: Adapter>(state: &Rc<State<A>>) -> Result<(), StoreError> {
    state.metrics.settings.count_event("renewed");
    let age = state.proof_age_ms().map(Duration::from_millis);
    if age.is_none_or(|age| age >= state.node().proof_limits().lapse) {
        contact::doubt_missing_servers(state);
    }
    let position = state.replica.borrow().continues_from();
    log::info!(
        age_ms = state.proof_age_ms(), path:% = state.contact.path.borrow();
        "reading the store beside the other sources"
    );
    if let Some(after) = position {
        watch_store(state, after, PROBE_WAIT).await?;
    }
    if state.replica.borrow().continues_from().is_none() {
        list_store(state, Some(MAX_RENEWED_LIST_BYTES), LIST_PATIENCE).await?;
    }
    Ok(())
}

/// Runs a step, and meanwhile drops missing servers as soon as their time to be listed again is over: a watch
/// may wait for longer than a server that has left may go on getting work.
async fn expire_during<A: Adapter, T>(state: &State<A>, step: impl Future<Output = T>) -> T {
    let mut step = std::pin::pin!(step);
    loop {
        let Some(left) = effects::time_until_expiry(state) else { return step.await };
        match tokio::time::timeout(left, &mut step).await {
            Ok(done) => return done,
            Err(_) => effects::expire(state),
        }
    }
}

/// The pause after so many rounds in which all sources failed.
fn pause_after(rounds: u32) -> Duration {
    jittered((MIN_PAUSE * (1 << rounds.min(4))).min(MAX_PAUSE))
}

pub(crate) fn jittered(pause: Duration) -> Duration {
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
    let position = state.replica.borrow().continues_from();
    match position {
        Some(after) => {
            let wait = if state.contact.failures.get() > 0 { PROBE_WAIT } else { WAIT };
            watch_store(state, after, wait).await
        }
        None => list_store(state, list_limit, LIST_PATIENCE).await,
    }
}

/// Reads everything from the store. A seed asks the others meanwhile what the store has forgotten.
async fn list_store<A: Adapter>(
    state: &Rc<State<A>>,
    list_limit: Option<usize>,
    patience: Duration,
) -> Result<Duration, StoreError> {
    let asked = state.clock.boot_time();
    let is_first = !state.replica.borrow().is_loaded();
    let listing = state.adapter.store.list(list_limit, patience);
    let (listed, standing) = tokio::join!(listing, standing::fetch_from_seeds(state));
    let Versioned { value, position } = listed?;
    check_era(state, position)?;
    state.contact.set_path(Path::store());
    state.membership.borrow_mut().mark_available(state.clock.now());
    state.contact.listed.set(Some(state.clock.now()));
    let now = state.clock.now();
    let changes = state.replica.borrow_mut().replace(value, position, &Reader(state), now);
    effects::apply(state, changes);
    standing.into_iter().for_each(|known| standing::learn(state, known));
    confirm_freshness(state, asked);
    state.resumption.record_gap(now);
    if is_first && !state.is_seed() {
        offer_to_seeds(state);
    }
    Ok(Duration::ZERO)
}

/// Reads everything with more patience, beside the other sources: the store hasn't answered this node, which has nothing.
fn read_patiently<A: Adapter>(state: &Rc<State<A>>) {
    if state.contact.reads_patiently.replace(true) {
        return;
    }
    let leaves_long_lists = !state.is_seed() && !state.seeds().is_empty();
    let list_limit = leaves_long_lists.then_some(MAX_RENEWED_LIST_BYTES);
    let state = state.clone();
    actix_rt::spawn(async move {
        let read = list_store(&state, list_limit, LONG_PATIENCE).await;
        state.contact.reads_patiently.set(false);
        match read {
            Ok(_) => {
                state.contact.store_answered.set(true);
                contact::record_absence(&state);
            }
            Err(cause) => log::info!(cause:% = cause; "a patient read of the store fails as well"),
        }
    });
}

/// Offers the seeds what this node has read from the store: they may have nothing, and don't know which node has.
fn offer_to_seeds<A: Adapter>(state: &Rc<State<A>>) {
    for seed in state.seeds() {
        let state = state.clone();
        actix_rt::spawn(async move {
            if let Err(cause) = updates::offer(&state, seed).await {
                log::debug!(seed:% = seed, cause:% = cause; "a seed wasn't reached with an offer");
            }
        });
    }
}

/// Watches the store for changes after a position, for at most `wait`.
pub(crate) async fn watch_store<A: Adapter>(
    state: &Rc<State<A>>,
    after: Position,
    wait: Duration,
) -> Result<Duration, StoreError> {
    let asked = state.clock.boot_time();
    let Versioned { value, position } = match state.adapter.store.watch(after, wait).await? {
        WatchReply::Changes(changes) => changes,
        WatchReply::Restored(era) => {
            log::warn!(era = era, former = after.era; "the store is in a new era; reading everything again");
            state.replica.borrow_mut().mark_incomplete();
            return Ok(Duration::ZERO);
        }
        WatchReply::HistoryLost => {
            log::info!(
                after = after.revision;
                "the store no longer has its history after this position; reading everything again"
            );
            state.replica.borrow_mut().mark_incomplete();
            return Ok(state.contact.pause_before_list(state.clock.now()));
        }
    };
    check_era(state, position)?;
    state.contact.set_path(Path::store());
    let now = state.clock.now();
    state.membership.borrow_mut().mark_available(now);
    let waited = state.clock.boot_time().saturating_sub(asked);
    let has_changes = !value.is_empty();
    let changes = state.replica.borrow_mut().apply(value, position, &Reader(state), now);
    effects::apply(state, changes);
    let quiet = !has_changes && waited >= WAIT;
    confirm_freshness(state, if quiet { proof::from_quiet_watch(asked, WAIT) } else { asked });
    Ok(if quiet { Duration::ZERO } else { MIN_WATCH_INTERVAL.saturating_sub(waited) })
}

/// Rejects an answer of an era that has ended.
fn check_era<A: Adapter>(state: &State<A>, position: Position) -> Result<(), StoreError> {
    let known = state.replica.borrow().era();
    if position.era < known {
        return Err(StoreError::Outdated { era: position.era, known });
    }
    Ok(())
}

/// Asks a peer for changes; returns the pause before the next call. The age of the peer's proof is counted
/// from when the answer was made, which is no earlier than the question plus the time for which the peer held it.
pub(crate) async fn ask_peer<A: Adapter>(
    state: &Rc<State<A>>,
    peer: SocketAddr,
) -> Result<Duration, StoreError> {
    let asked = state.clock.boot_time();
    let wait = match state.replica.borrow().position() {
        None => FIRST_WAIT,
        // A delegate may have to read the store first.
        Some(_) if state.is_seed() && !state.node().seeds.contains(&peer) => FIRST_WAIT,
        Some(_) if state.contact.failures.get() > 0 => PROBE_WAIT,
        Some(_) => PEER_WAIT,
    };
    let update = updates::request_update(state, peer, wait).await?.receive().await?;
    apply_update(state, peer, asked, update)
}

/// Applies a peer's answer to a question that was asked at `asked`; returns the pause before the next call.
fn apply_update<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    asked: Duration,
    update: Update,
) -> Result<Duration, StoreError> {
    let now = state.clock.now();
    let store_lost = update.store_lost;
    if store_lost && state.replica.borrow().is_loaded() {
        // Only this peer may be cut off from the store; the next source shows whether others are as well.
        return Err(StoreError::LostByPeer(peer));
    }
    check_era(state, update.position())?;
    let path = Path::stated(update.path.clone());
    let is_news = path.is_news_for(state.node().peers, state.is_seed());
    let reader = path.reader().filter(|reader| !is_news && *reader != state.node().peers);
    if let Some(reader) = reader {
        state.delegates.suggest(reader);
    }
    state.contact.set_path(path.through(peer));
    if update.history_lost {
        log::info!(peer:% = peer; "the peer no longer knows all changes after this node's position; asking for everything");
        state.replica.borrow_mut().mark_incomplete();
        return Ok(Duration::ZERO);
    }
    match update.store_returned_ms.map(|ago| Duration::from_millis(ago.into())) {
        _ if store_lost => contact::keep_missing_servers(state),
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
    let standing = standing::read(&update)?;
    if update.gap || update.base.is_some() {
        state.resumption.record_gap(now);
    }
    if let Some(base) = &update.base {
        let all = base.items.unpack().map_err(garbled)?;
        let base = state.replica.borrow_mut().replace(all, base.position(), &Reader(state), now);
        effects::apply(state, base);
    }
    if update.gap {
        state.replica.borrow_mut().skip_to(update.position());
    }
    let changes = state.replica.borrow_mut().apply(changes, update.position(), &Reader(state), now);
    effects::apply(state, changes);
    standing::learn(state, standing);
    let Some(age) = update.age_ms.map(|age| Duration::from_millis(age.into())) else {
        return Err(StoreError::Unavailable(format!(
            "peer {peer} has no proof that its settings are the newest"
        )));
    };
    confirm_freshness(
        state,
        proof::from_peer(asked, Duration::from_millis(update.waited_ms.into()), age),
    );
    if store_lost {
        // What the peer had from the store is more than nothing, for as long as its proof lasts.
        return Err(StoreError::LostByPeer(peer));
    }
    if !is_news {
        log::debug!(peer:% = peer, path:% = path; "the peer doesn't read the store itself");
        return Err(StoreError::LostByPeer(peer));
    }
    if age > MAX_PEER_PROOF_AGE.min(max_proof_age(state)) {
        log::info!(
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
        state.replica.borrow_mut().freshness_mut().confirm(at);
    }
    let age = state.clock.boot_time().saturating_sub(at);
    if let Some(at) = state.clock.now().checked_sub(age) {
        state.driver.scheduler.borrow_mut().confirm_list(at);
    }
    state.contact.updated.notify_waiters();
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
