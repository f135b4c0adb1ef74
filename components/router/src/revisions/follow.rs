//! Follows the settings: looks around at the start and after a pause, then watches the service or
//! hears from peers, as its place in the spread says.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use clock::Clock;
use configuration::peer::Update;
use configuration::topology::{DIRECT_READ_INTERVAL, ISOLATED_READ_INTERVAL, Position, jittered};
use configuration::wire::Manifest;
use configuration::{Configuration, Peer, VmList};
use futures_util::future::join_all;
use settings::mark::Shown;

use super::take::{self, Fault, Source};
use crate::peers::SECRET;
use crate::state::State;

/// Pause after a failed read, doubled with each up to [`LONGEST`], so that a service that comes
/// back isn't met by a rush.
const PAUSE: Duration = Duration::from_millis(500);
const LONGEST: Duration = Duration::from_secs(4);
/// How often frames are looked at for a higher revision: half a second of the 4 s that a change may
/// take.
const TICK: Duration = Duration::from_millis(500);
/// A tick that comes later than this tells that the process was paused.
const PAUSED: Duration = Duration::from_secs(3);
/// Peers asked when looking around: enough that one stale peer isn't alone, few enough that a fleet
/// that restarts doesn't meet itself.
const ASKED: usize = 3;

/// Starts the tasks; they end with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(follow(Rc::downgrade(state)));
    actix_rt::spawn(ticks(Rc::downgrade(state)));
}

async fn follow(weak: Weak<State>) {
    let Some(service) = weak.upgrade().map(|s| Configuration::new(s.node.configuration)) else {
        return;
    };
    let mut failures = 0;
    loop {
        let Some(state) = weak.upgrade() else { return };
        if state.settings().is_none() {
            around(&state, &service).await;
            let pause = jittered(PAUSE, rand::random());
            if state.settings().is_none() {
                drop(state);
                tokio::time::sleep(pause).await;
            }
            continue;
        }
        let place = state.revisions.place(&state.node.name, &state.node.domain);
        drop(state);
        let came = match place {
            Position::Watcher => watch(&weak, &service).await,
            Position::Follower(ahead) => listen(&weak, ahead, &service).await,
        };
        failures = if came { 0 } else { (failures + 1).min(8) };
        if failures > 0 {
            let mean = (PAUSE * (1 << (failures - 1))).min(LONGEST);
            tokio::time::sleep(jittered(mean, rand::random())).await;
        }
    }
}

fn known(state: &State) -> Shown {
    let mark = state.revisions.mark.borrow();
    let digest = mark.held.map_or(0, |held| held.digest);
    Shown { revision: mark.top().unwrap_or(0), digest }
}

/// Waits for the service to show something new. Returns whether it answered.
async fn watch(weak: &Weak<State>, service: &Configuration) -> bool {
    let Some(after) = weak.upgrade().map(|state| known(&state).revision) else { return true };
    let answer = service.watch(Some(after)).await;
    let Some(state) = weak.upgrade() else { return true };
    match answer {
        Ok(None) => {
            state.revisions.confirmed.set(Some(state.clock.now()));
            true
        }
        Ok(Some(manifest)) => from_service(&state, service, &manifest).await,
        Err(cause) => noted(&state, &Source::Service(service.clone()), Fault::Unread(cause)),
    }
}

async fn from_service(state: &Rc<State>, service: &Configuration, manifest: &Manifest) -> bool {
    let source = Source::Service(service.clone());
    // An answer to a watch that isn't newer comes from a replica that is behind: pause.
    let newer = known(state).revision < manifest.revision;
    match take::manifest(state, &source, manifest).await {
        Ok(()) => newer,
        Err(fault) => noted(state, &source, fault),
    }
}

fn noted(state: &State, source: &Source, fault: Fault) -> bool {
    take::note(state, source, &fault);
    false
}

/// Waits for a peer to tell something new; if all are silent, reads the service. Returns whether
/// anyone answered.
async fn listen(weak: &Weak<State>, ahead: Vec<SocketAddr>, service: &Configuration) -> bool {
    for address in ahead {
        let Some(state) = weak.upgrade() else { return true };
        if !state.revisions.trusted(address, state.clock.now()) {
            continue;
        }
        let peer = peer(&state, address);
        let theirs = known(&state);
        drop(state);
        let answer = peer.watch(theirs.revision, theirs.digest).await;
        let Some(state) = weak.upgrade() else { return true };
        match answer {
            Ok(None) => return true,
            Ok(Some(news)) => {
                let source = Source::Peer(peer);
                return match take::news(&state, &source, news).await {
                    Ok(()) if known(&state).revision > theirs.revision => true,
                    // An answer that isn't newer than what was asked for would be asked for again
                    // at once, and the two would keep each other busy.
                    Ok(()) => noted(&state, &source, Fault::Lie),
                    Err(fault) => noted(&state, &source, fault),
                };
            }
            Err(_) => {}
        }
    }
    tokio::time::sleep(jittered(ISOLATED_READ_INTERVAL, rand::random())).await;
    let Some(state) = weak.upgrade() else { return true };
    read(&state, service).await;
    false
}

fn peer(state: &State, address: SocketAddr) -> Peer {
    Peer::new(state.http.clone(), address, SECRET, state.node.secret.clone())
}

async fn read(state: &Rc<State>, service: &Configuration) {
    match service.read().await {
        Ok(manifest) => {
            from_service(state, service, &manifest).await;
        }
        Err(cause) => {
            noted(state, &Source::Service(service.clone()), Fault::Unread(cause));
        }
    }
}

/// Asks the service and some peers at once and takes the highest that any of them can show whole.
async fn around(state: &Rc<State>, service: &Configuration) {
    if state.revisions.list.borrow().is_empty()
        && let Ok(list) = VmList::new(state.node.list).read().await
    {
        state.revisions.listed(&list);
    }
    let now = state.clock.now();
    let listed = state.revisions.peers(&state.node.name, &state.node.domain);
    let mut peers = state.node.seeds.clone();
    peers.extend(listed.into_iter().filter(|peer| !state.node.seeds.contains(peer)));
    peers.retain(|peer| state.revisions.trusted(*peer, now));
    let theirs = known(state);
    let asked = peers.into_iter().take(ASKED).map(|address| async move {
        let peer = peer(state, address);
        let news = peer.read(theirs.revision, theirs.digest).await.ok().flatten()?;
        Some((Source::Peer(peer), news))
    });
    let (manifest, told) = tokio::join!(service.read(), join_all(asked));
    let mut shown: Vec<_> = told.into_iter().flatten().collect();
    match manifest {
        // Number 0 is what the service shows before anything was published.
        Ok(manifest) if manifest.revision > 0 => {
            shown.push((Source::Service(service.clone()), Update::Manifest(manifest)));
        }
        Ok(_) => {}
        Err(cause) => log::warn!(cause:% = cause; "can't read the settings"),
    }
    // The highest first; what is lower then only confirms or raises an alarm.
    shown.sort_by_key(|(_, news)| std::cmp::Reverse(take::claimed(news).revision));
    for (source, news) in shown {
        if let Err(fault) = take::news(state, &source, news).await {
            noted(state, &source, fault);
        }
    }
}

async fn ticks(weak: Weak<State>) {
    let Some(service) = weak.upgrade().map(|s| Configuration::new(s.node.configuration)) else {
        return;
    };
    let mut due = None;
    let mut before = None;
    loop {
        let Some(state) = weak.upgrade() else { return };
        let now = state.clock.now();
        let paused = before.is_some_and(|before| now - before > PAUSED);
        if paused && state.settings().is_some() {
            state.revisions.woken.set(true);
            state.metrics.settings.event("woken");
            log::warn!("the process was paused; looking for newer settings");
            around(&state, &service).await;
            state.revisions.woken.set(false);
        }
        compare(&state).await;
        let place = state.revisions.place(&state.node.name, &state.node.domain);
        if due.is_some_and(|due| now >= due) && place != Position::Watcher {
            read(&state, &service).await;
        }
        if due.is_none_or(|due| now >= due) {
            due = Some(now + jittered(DIRECT_READ_INTERVAL, rand::random()));
        }
        before = Some(state.clock.now());
        drop(state);
        tokio::time::sleep(TICK).await;
    }
}

/// Looks at what peers' frames say of their revisions and asks the highest for what is new.
async fn compare(state: &Rc<State>) {
    let mut higher: Vec<(Shown, SocketAddr)> = vec![];
    let now = state.clock.now();
    for (name, member) in state.view.borrow().members() {
        let Some(frame) = member.last_frame.as_ref().filter(|frame| frame.revision > 0) else {
            continue;
        };
        let shown = Shown { revision: frame.revision, digest: frame.digest };
        let Ok(address) = member.address.parse() else { continue };
        let older = known(state).revision > shown.revision;
        // That a peer lags is no news; its own exchange brings it up.
        if !older && take::judge(state, shown, name) && state.revisions.trusted(address, now) {
            higher.push((shown, address));
        }
    }
    higher.sort_by_key(|(shown, _)| std::cmp::Reverse(shown.revision));
    for (claimed, address) in higher.into_iter().take(ASKED) {
        let theirs = known(state);
        if theirs.revision >= claimed.revision {
            return;
        }
        let peer = peer(state, address);
        let Ok(news) = peer.read(theirs.revision, theirs.digest).await else { continue };
        let source = Source::Peer(peer);
        let kept =
            news.as_ref().is_some_and(|news| take::claimed(news).revision >= claimed.revision);
        let taken = match news {
            Some(news) => take::news(state, &source, news).await,
            None => Ok(()),
        };
        match taken {
            Ok(()) if !kept => {
                noted(state, &source, Fault::Lie);
            }
            Ok(()) => {}
            Err(fault) => {
                noted(state, &source, fault);
                state.revisions.distrust(address, now);
            }
        }
    }
}
