//! Follows the settings: at the start and after a pause of the process reads the service and some peers,
//! otherwise watches the service or a peer by the node's position in the distribution tree.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use clock::Clock;
use configuration::peer::Update;
use configuration::topology::{DIRECT_READ_INTERVAL, ISOLATED_READ_INTERVAL, Position, jittered};
use configuration::wire::Manifest;
use configuration::{Configuration, Peer, VmList};
use futures_util::future::join_all;
use settings::watermark::RevisionId;

use super::apply::{self, Fault, Source};
use crate::peers::SECRET_HEADER;
use crate::state::State;

/// Pause after a failed read. It doubles with each failure up to [`MAX_RETRY_PAUSE`], so that a service
/// that comes back from an outage doesn't get all nodes' reads at once.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);
/// Interval at which the peers' frames are checked for a higher revision: half a second of the 4 s in
/// which a change must arrive.
const TICK: Duration = Duration::from_millis(500);
/// Time between two ticks above which the process must have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// Peers that are read at the start and after a pause: more than one, because one may be stale, and few,
/// so that the nodes of a fleet that restarts don't overload each other.
const MAX_PEERS_READ: usize = 3;

/// Starts the tasks; they end with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(follow(Rc::downgrade(state)));
    actix_rt::spawn(run_ticks(Rc::downgrade(state)));
}

async fn follow(weak: Weak<State>) {
    let Some(service) = weak.upgrade().map(|s| Configuration::new(s.node.configuration)) else {
        return;
    };
    let mut failures = 0;
    loop {
        let Some(state) = weak.upgrade() else { return };
        if state.settings().is_none() {
            read_all_sources(&state, &service).await;
            let pause = jittered(RETRY_PAUSE, rand::random());
            if state.settings().is_none() {
                drop(state);
                tokio::time::sleep(pause).await;
            }
            continue;
        }
        let position = state.revisions.position(&state.node.name, &state.node.domain);
        drop(state);
        let succeeded = match position {
            Position::Watcher => watch_service(&weak, &service).await,
            Position::Follower(peers) => watch_peers(&weak, peers, &service).await,
        };
        failures = if succeeded { 0 } else { (failures + 1).min(8) };
        if failures > 0 {
            let mean = (RETRY_PAUSE * (1 << (failures - 1))).min(MAX_RETRY_PAUSE);
            tokio::time::sleep(jittered(mean, rand::random())).await;
        }
    }
}

/// The highest known revision, with the digest of the one in force.
fn known_revision(state: &State) -> RevisionId {
    let mark = state.revisions.mark.borrow();
    let digest = mark.in_force.map_or(0, |held| held.digest);
    RevisionId { revision: mark.highest().unwrap_or(0), digest }
}

/// Waits for a newer revision from the service and applies it; returns whether the service can be
/// watched again without a pause.
async fn watch_service(weak: &Weak<State>, service: &Configuration) -> bool {
    let Some(after) = weak.upgrade().map(|state| known_revision(&state).revision) else {
        return true;
    };
    let answer = service.watch(Some(after)).await;
    let Some(state) = weak.upgrade() else { return true };
    match answer {
        Ok(None) => {
            state.revisions.confirmed.set(Some(state.clock.now()));
            true
        }
        Ok(Some(manifest)) => apply_from_service(&state, service, &manifest).await,
        Err(cause) => {
            record_failure(&state, &Source::Service(service.clone()), Fault::ReadFailed(cause))
        }
    }
}

async fn apply_from_service(
    state: &Rc<State>,
    service: &Configuration,
    manifest: &Manifest,
) -> bool {
    let source = Source::Service(service.clone());
    // A watch answered with a revision that isn't newer was served by a stale replica of the service;
    // the caller then pauses.
    let newer = known_revision(state).revision < manifest.revision;
    match apply::apply_manifest(state, &source, manifest).await {
        Ok(()) => newer,
        Err(fault) => record_failure(state, &source, fault),
    }
}

/// Records a fault; always returns false, because the source must not be read again without a pause.
fn record_failure(state: &State, source: &Source, fault: Fault) -> bool {
    apply::record_fault(state, source, &fault);
    false
}

/// Waits for a newer revision from the first peer that answers and applies it; if none answers, reads
/// the service. Returns whether a peer can be watched again without a pause.
async fn watch_peers(weak: &Weak<State>, peers: Vec<SocketAddr>, service: &Configuration) -> bool {
    for address in peers {
        let Some(state) = weak.upgrade() else { return true };
        if !state.revisions.is_trusted(address, state.clock.now()) {
            continue;
        }
        let peer = peer_client(&state, address);
        let theirs = known_revision(&state);
        drop(state);
        let answer = peer.watch(theirs.revision, theirs.digest).await;
        let Some(state) = weak.upgrade() else { return true };
        match answer {
            Ok(None) => return true,
            Ok(Some(update)) => {
                let source = Source::Peer(peer);
                return match apply::apply_update(&state, &source, update).await {
                    Ok(()) if known_revision(&state).revision > theirs.revision => true,
                    // The peer answered the watch with a revision that isn't newer. It would do so
                    // again at once, and both nodes would be in a busy loop.
                    Ok(()) => record_failure(&state, &source, Fault::FalseClaim),
                    Err(fault) => record_failure(&state, &source, fault),
                };
            }
            Err(_) => {}
        }
    }
    tokio::time::sleep(jittered(ISOLATED_READ_INTERVAL, rand::random())).await;
    let Some(state) = weak.upgrade() else { return true };
    read_service(&state, service).await;
    false
}

fn peer_client(state: &State, address: SocketAddr) -> Peer {
    Peer::new(state.peer_client.clone(), address, SECRET_HEADER, state.node.secret.clone())
}

async fn read_service(state: &Rc<State>, service: &Configuration) {
    match service.read().await {
        Ok(manifest) => {
            apply_from_service(state, service, &manifest).await;
        }
        Err(cause) => {
            record_failure(state, &Source::Service(service.clone()), Fault::ReadFailed(cause));
        }
    }
}

/// Reads the service and some peers concurrently, and applies the highest revision that any of them can
/// provide completely.
async fn read_all_sources(state: &Rc<State>, service: &Configuration) {
    if state.revisions.list.borrow().is_empty()
        && let Ok(list) = VmList::new(state.node.list).read().await
    {
        state.revisions.apply_list(&list);
    }
    let now = state.clock.now();
    let listed = state.revisions.peer_addresses(&state.node.name, &state.node.domain);
    let mut peers = state.node.seeds.clone();
    peers.extend(listed.into_iter().filter(|peer| !state.node.seeds.contains(peer)));
    peers.retain(|peer| state.revisions.is_trusted(*peer, now));
    let theirs = known_revision(state);
    let reads = peers.into_iter().take(MAX_PEERS_READ).map(|address| async move {
        let peer = peer_client(state, address);
        let update = peer.read(theirs.revision, theirs.digest).await.ok().flatten()?;
        Some((Source::Peer(peer), update))
    });
    let (manifest, updates) = tokio::join!(service.read(), join_all(reads));
    let mut offered: Vec<_> = updates.into_iter().flatten().collect();
    match manifest {
        // The service has revision 0 before anything was published.
        Ok(manifest) if manifest.revision > 0 => {
            offered.push((Source::Service(service.clone()), Update::Manifest(manifest)));
        }
        Ok(_) => {}
        Err(cause) => log::warn!(cause:% = cause; "can't read the settings"),
    }
    // The highest first; a lower one then only confirms it or reveals a conflict.
    offered.sort_by_key(|(_, update)| std::cmp::Reverse(apply::claimed_revision(update).revision));
    for (source, update) in offered {
        if let Err(fault) = apply::apply_update(state, &source, update).await {
            record_failure(state, &source, fault);
        }
    }
}

/// Detects pauses of the process, and at intervals checks the peers' frames and reads the service
/// directly.
async fn run_ticks(weak: Weak<State>) {
    let Some(service) = weak.upgrade().map(|s| Configuration::new(s.node.configuration)) else {
        return;
    };
    let mut next_read = None;
    let mut before = None;
    loop {
        let Some(state) = weak.upgrade() else { return };
        let now = state.clock.now();
        let paused = before.is_some_and(|before| now - before > PAUSE_THRESHOLD);
        if paused && state.settings().is_some() {
            state.revisions.catching_up.set(true);
            state.metrics.settings.count_event("woken");
            log::warn!("the process was paused; looking for newer settings");
            read_all_sources(&state, &service).await;
            state.revisions.catching_up.set(false);
        }
        check_frames(&state).await;
        let position = state.revisions.position(&state.node.name, &state.node.domain);
        if next_read.is_some_and(|due| now >= due) && position != Position::Watcher {
            read_service(&state, &service).await;
        }
        if next_read.is_none_or(|due| now >= due) {
            next_read = Some(now + jittered(DIRECT_READ_INTERVAL, rand::random()));
        }
        before = Some(state.clock.now());
        drop(state);
        tokio::time::sleep(TICK).await;
    }
}

/// Compares the revisions in the peers' frames with the known one, and reads the highest ones from
/// their peers.
async fn check_frames(state: &Rc<State>) {
    let mut higher: Vec<(RevisionId, SocketAddr)> = vec![];
    let now = state.clock.now();
    for (name, member) in state.view.borrow().members() {
        let Some(frame) = member.last_frame.as_ref().filter(|frame| frame.revision > 0) else {
            continue;
        };
        let offered = RevisionId { revision: frame.revision, digest: frame.digest };
        let Ok(address) = member.address.parse() else { continue };
        let older = known_revision(state).revision > offered.revision;
        // A peer that is behind needs no action here: it catches up by itself.
        if !older
            && apply::check_offered_revision(state, offered, name)
            && state.revisions.is_trusted(address, now)
        {
            higher.push((offered, address));
        }
    }
    higher.sort_by_key(|(offered, _)| std::cmp::Reverse(offered.revision));
    for (claimed, address) in higher.into_iter().take(MAX_PEERS_READ) {
        let theirs = known_revision(state);
        if theirs.revision >= claimed.revision {
            return;
        }
        let peer = peer_client(state, address);
        let Ok(update) = peer.read(theirs.revision, theirs.digest).await else { continue };
        let source = Source::Peer(peer);
        let is_as_claimed = update
            .as_ref()
            .is_some_and(|update| apply::claimed_revision(update).revision >= claimed.revision);
        let applied = match update {
            Some(update) => apply::apply_update(state, &source, update).await,
            None => Ok(()),
        };
        match applied {
            Ok(()) if !is_as_claimed => {
                record_failure(state, &source, Fault::FalseClaim);
            }
            Ok(()) => {}
            Err(fault) => {
                record_failure(state, &source, fault);
                state.revisions.distrust(address, now);
            }
        }
    }
}
