//! Takes in a revision that someone shows: whole or not at all.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Clock;
use configuration::peer::{Delta, Update};
use configuration::wire::Manifest;
use configuration::{Configuration, Peer};
use futures_util::{StreamExt, TryStreamExt, stream};
use settings::mark::{Shown, Verdict};
use settings::{Effective, Part, part};

use crate::state::State;

/// Values read at once by a node that starts; the service counts each, so few.
const AT_ONCE: usize = 4;

/// Who shows a revision.
pub(super) enum Source {
    /// The configuration service.
    Service(Configuration),
    /// A peer.
    Peer(Peer),
}

/// Why nothing came of it.
pub(super) enum Fault {
    /// A value can't be read now.
    Unread(configuration::Error),
    /// A peer's parts don't come to what it claimed.
    Lie,
}

impl Source {
    async fn value(&self, digest: &str) -> Result<String, configuration::Error> {
        match self {
            Source::Service(service) => service.value(digest).await,
            Source::Peer(peer) => peer.value(digest).await,
        }
    }

    fn peer(&self) -> Option<SocketAddr> {
        match self {
            Source::Service(_) => None,
            Source::Peer(peer) => Some(peer.address()),
        }
    }

    fn word(&self) -> String {
        self.peer().map_or_else(|| "the service".to_string(), |peer| format!("peer {peer}"))
    }
}

/// The number and digest of a manifest.
pub(super) fn shown(manifest: &Manifest) -> Shown {
    let parts = manifest.parts.iter().map(|part| (&*part.name, &*part.digest));
    Shown { revision: manifest.revision, digest: part::whole(parts) }
}

/// The number and the claimed digest of what a peer tells.
pub(super) fn claimed(news: &Update) -> Shown {
    match news {
        Update::Manifest(manifest) => shown(manifest),
        Update::Delta(delta) => Shown { revision: delta.revision, digest: delta.digest },
    }
}

/// Looks at a revision that is shown and notes what that says. Returns whether to take it.
pub(super) fn judge(state: &State, shown: Shown, by: &str) -> bool {
    let revisions = &state.revisions;
    let verdict = revisions.mark.borrow().judge(shown);
    let events = &state.metrics.settings;
    match verdict {
        Verdict::Newer => return true,
        Verdict::Same => revisions.confirmed.set(Some(state.clock.now())),
        Verdict::Refused => {}
        Verdict::Older => events.event("stale"),
        Verdict::Conflict if revisions.conflict.get() != Some(shown.revision) => {
            revisions.conflict.set(Some(shown.revision));
            events.event("conflict");
            events.conflict(true);
            let digest = format!("{:016x}", shown.digest);
            log::error!(
                revision = shown.revision, digest = digest.as_str(), by = by;
                "one revision has two contents; publish the wanted one under a higher number"
            );
        }
        Verdict::Conflict => {}
    }
    false
}

/// Takes a manifest in.
pub(super) async fn manifest(
    state: &Rc<State>,
    source: &Source,
    manifest: &Manifest,
) -> Result<(), Fault> {
    let shown = shown(manifest);
    if !judge(state, shown, &source.word()) {
        return Ok(());
    }
    let held = state.settings();
    let read = manifest.parts.iter().map(|listed| {
        let held = held.as_ref().and_then(|held| held.part(&listed.digest));
        let held = held.filter(|held| *held.name == *listed.name).cloned();
        async move {
            match held {
                Some(held) => Ok(held),
                None => {
                    let text = source.value(&listed.digest).await?;
                    Ok(Rc::new(Part::parse(&listed.name, &text)))
                }
            }
        }
    });
    let parts: Result<Vec<_>, _> = stream::iter(read).buffered(AT_ONCE).try_collect().await;
    put(state, source, shown, parts.map_err(Fault::Unread)?);
    Ok(())
}

/// Takes in what a peer tells.
pub(super) async fn news(state: &Rc<State>, source: &Source, news: Update) -> Result<(), Fault> {
    match news {
        Update::Manifest(shown) => manifest(state, source, &shown).await,
        Update::Delta(told) => delta(state, source, told),
    }
}

fn delta(state: &Rc<State>, source: &Source, delta: Delta) -> Result<(), Fault> {
    let shown = Shown { revision: delta.revision, digest: delta.digest };
    if !judge(state, shown, &source.word()) {
        return Ok(());
    }
    let Some(held) = state.settings() else { return Err(Fault::Lie) };
    let fresh = delta.changed.iter().map(|c| Rc::new(Part::parse(&c.name, &c.text)));
    let mut parts: Vec<Rc<Part>> = fresh.collect();
    let replaced: HashSet<&str> = delta.changed.iter().map(|c| &*c.name).collect();
    let gone: HashSet<&str> = delta.gone.iter().map(|name| &**name).collect();
    let kept =
        held.parts.iter().filter(|p| !replaced.contains(&*p.name) && !gone.contains(&*p.name));
    parts.extend(kept.cloned());
    let digest = part::whole(parts.iter().map(|part| (&*part.name, &*part.digest)));
    if digest != shown.digest {
        return Err(Fault::Lie);
    }
    put(state, source, shown, parts);
    Ok(())
}

fn put(state: &Rc<State>, source: &Source, shown: Shown, parts: Vec<Rc<Part>>) {
    let last = state.settings();
    match Effective::compose(shown.revision, parts, last.as_deref()) {
        Ok(effective) => {
            state.revisions.confirmed.set(Some(state.clock.now()));
            state.accept(effective);
        }
        Err(faults) => {
            state.revisions.mark.borrow_mut().refuse(shown);
            state.metrics.settings.event("refused");
            let by = source.word();
            log::error!(revision = shown.revision, by = by.as_str(), faults:% = faults; "settings refused");
            *state.refused.borrow_mut() = Some(faults.to_string());
        }
    }
}

/// Notes what came of asking someone.
pub(super) fn note(state: &State, source: &Source, fault: &Fault) {
    match fault {
        Fault::Unread(cause) => {
            state.metrics.settings.event("unread");
            log::warn!(cause:% = cause; "can't read the settings");
        }
        Fault::Lie => {
            state.metrics.settings.event("peer-fault");
            let by = source.word();
            log::error!(by = by.as_str(); "a peer's settings don't come to the digest it claims");
            if let Some(peer) = source.peer() {
                state.revisions.distrust(peer, state.clock.now());
            }
        }
    }
}
