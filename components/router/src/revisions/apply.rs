//! Applies a revision that a source offers, either completely or not at all.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Clock;
use configuration::peer::{Delta, Update};
use configuration::wire::Manifest;
use configuration::{Configuration, Peer};
use futures_util::{StreamExt, TryStreamExt, stream};
use settings::watermark::{RevisionId, Verdict};
use settings::{Effective, Part, part};

use crate::state::State;

/// Values read concurrently. A node that starts reads all values, and each read counts against the
/// service's limit on calls, so there are few.
const CONCURRENT_READS: usize = 4;

/// Where a revision is read from.
pub(super) enum Source {
    /// The configuration service.
    Service(Configuration),
    /// A peer.
    Peer(Peer),
}

/// Why a revision couldn't be applied.
pub(super) enum Fault {
    /// The manifest or a value couldn't be read.
    ReadFailed(configuration::Error),
    /// A peer's content contradicts the digest or revision number that it claimed.
    FalseClaim,
}

impl Source {
    async fn read_value(&self, digest: &str) -> Result<String, configuration::Error> {
        match self {
            Source::Service(service) => service.read_value(digest).await,
            Source::Peer(peer) => peer.read_value(digest).await,
        }
    }

    fn peer(&self) -> Option<SocketAddr> {
        match self {
            Source::Service(_) => None,
            Source::Peer(peer) => Some(peer.address()),
        }
    }

    fn label(&self) -> String {
        self.peer().map_or_else(|| "the service".to_string(), |peer| format!("peer {peer}"))
    }
}

/// Number and digest of the revision of a manifest.
pub(super) fn manifest_revision(manifest: &Manifest) -> RevisionId {
    let parts = manifest.parts.iter().map(|part| (&*part.name, &*part.digest));
    RevisionId { revision: manifest.revision, digest: part::revision_digest(parts) }
}

/// Number and claimed digest of the revision in a peer's update.
pub(super) fn claimed_revision(update: &Update) -> RevisionId {
    match update {
        Update::Manifest(manifest) => manifest_revision(manifest),
        Update::Delta(delta) => RevisionId { revision: delta.revision, digest: delta.digest },
    }
}

/// Compares an offered revision with the known ones and records the result; returns whether to apply
/// it.
pub(super) fn check_offered_revision(state: &State, offered: RevisionId, by: &str) -> bool {
    let revisions = &state.revisions;
    let verdict = revisions.mark.borrow().classify(offered);
    let events = &state.metrics.settings;
    match verdict {
        Verdict::Newer => return true,
        Verdict::Same => revisions.confirmed.set(Some(state.clock.now())),
        Verdict::Refused => {}
        Verdict::Older => events.count_event("stale"),
        Verdict::Conflict if revisions.conflict.get() != Some(offered.revision) => {
            revisions.conflict.set(Some(offered.revision));
            events.count_event("conflict");
            events.set_conflict(true);
            let digest = format!("{:016x}", offered.digest);
            log::error!(
                revision = offered.revision, digest = digest.as_str(), by = by;
                "one revision has two contents; publish the wanted one under a higher number"
            );
        }
        Verdict::Conflict => {}
    }
    false
}

/// Applies the revision of a manifest; only values that this node doesn't have are read.
pub(super) async fn apply_manifest(
    state: &Rc<State>,
    source: &Source,
    manifest: &Manifest,
) -> Result<(), Fault> {
    let offered = manifest_revision(manifest);
    if !check_offered_revision(state, offered, &source.label()) {
        return Ok(());
    }
    let current = state.settings();
    let read = manifest.parts.iter().map(|listed| {
        let known = current.as_ref().and_then(|current| current.part_by_digest(&listed.digest));
        let known = known.filter(|known| *known.name == *listed.name).cloned();
        async move {
            match known {
                Some(known) => Ok(known),
                None => {
                    let text = source.read_value(&listed.digest).await?;
                    Ok(Rc::new(Part::parse(&listed.name, &text)))
                }
            }
        }
    });
    let parts: Result<Vec<_>, _> =
        stream::iter(read).buffered(CONCURRENT_READS).try_collect().await;
    compose_and_apply(state, source, offered, parts.map_err(Fault::ReadFailed)?);
    Ok(())
}

/// Applies a peer's update.
pub(super) async fn apply_update(
    state: &Rc<State>,
    source: &Source,
    update: Update,
) -> Result<(), Fault> {
    match update {
        Update::Manifest(offered) => apply_manifest(state, source, &offered).await,
        Update::Delta(delta) => apply_delta(state, source, delta),
    }
}

fn apply_delta(state: &Rc<State>, source: &Source, delta: Delta) -> Result<(), Fault> {
    let offered = RevisionId { revision: delta.revision, digest: delta.digest };
    if !check_offered_revision(state, offered, &source.label()) {
        return Ok(());
    }
    let Some(current) = state.settings() else { return Err(Fault::FalseClaim) };
    let changed = delta.changed.iter().map(|c| Rc::new(Part::parse(&c.name, &c.text)));
    let mut parts: Vec<Rc<Part>> = changed.collect();
    let replaced: HashSet<&str> = delta.changed.iter().map(|c| &*c.name).collect();
    let gone: HashSet<&str> = delta.gone.iter().map(|name| &**name).collect();
    let kept =
        current.parts.iter().filter(|p| !replaced.contains(&*p.name) && !gone.contains(&*p.name));
    parts.extend(kept.cloned());
    let digest = part::revision_digest(parts.iter().map(|part| (&*part.name, &*part.digest)));
    if digest != offered.digest {
        return Err(Fault::FalseClaim);
    }
    compose_and_apply(state, source, offered, parts);
    Ok(())
}

/// Builds the settings of a revision from its parts and puts them in force; if they are invalid, the
/// revision is rejected and the previous one stays.
fn compose_and_apply(
    state: &Rc<State>,
    source: &Source,
    offered: RevisionId,
    parts: Vec<Rc<Part>>,
) {
    let last = state.settings();
    match Effective::from_parts(offered.revision, parts, last.as_deref()) {
        Ok(effective) => {
            state.revisions.confirmed.set(Some(state.clock.now()));
            state.apply_settings(effective);
        }
        Err(faults) => {
            state.revisions.mark.borrow_mut().record_refused(offered);
            state.metrics.settings.count_event("refused");
            let by = source.label();
            log::error!(revision = offered.revision, by = by.as_str(), faults:% = faults; "settings refused");
            *state.refusal.borrow_mut() = Some(faults.to_string());
        }
    }
}

/// Counts and logs a fault of a source; a peer that made a false claim is distrusted for a while.
pub(super) fn record_fault(state: &State, source: &Source, fault: &Fault) {
    match fault {
        Fault::ReadFailed(cause) => {
            state.metrics.settings.count_event("unread");
            log::warn!(cause:% = cause; "can't read the settings");
        }
        Fault::FalseClaim => {
            state.metrics.settings.count_event("peer-fault");
            let by = source.label();
            log::error!(by = by.as_str(); "a peer's settings contradict the revision that it claims");
            if let Some(peer) = source.peer() {
                state.revisions.distrust(peer, state.clock.now());
            }
        }
    }
}
