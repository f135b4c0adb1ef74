//! Keeps track of the revisions of the settings: the one in force, the sources that newer ones are read
//! from, and what is served to peers.

mod apply;
mod follow;
mod serve;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use configuration::topology::{self, Position};
use configuration::wire::{Role, Vm};
use serde_json::json;
use settings::watermark::{RevisionId, Watermark};
use settings::{Effective, Part};
use tokio::sync::watch;

pub(crate) use follow::start;
pub(crate) use serve::{PATH_PREFIX, handle};

/// Past revisions kept to send peers only what changed. With one revision a second in bursts, a peer that
/// was unreachable for longer than 16 s gets the list of all parts instead.
const MAX_PAST_REVISIONS: usize = 16;
/// Time for which a peer isn't read from after it sent content that contradicts its own digest or
/// revision number.
const DISTRUST_TIME: Duration = Duration::from_secs(30);

/// A revision that was in force.
struct PastRevision {
    id: RevisionId,
    parts: Rc<[Rc<Part>]>,
}

/// What a node knows of the settings' revisions.
pub(crate) struct Revisions {
    mark: RefCell<Watermark>,
    /// Number of the revision in force; the watches of peers wait for it to change.
    in_force: watch::Sender<u64>,
    recent: RefCell<VecDeque<PastRevision>>,
    /// Number of a revision that was seen with two digests.
    conflict: Cell<Option<u64>>,
    /// When a source last confirmed that the revision in force is the newest.
    confirmed: Cell<Option<Instant>>,
    /// The process was paused and hasn't yet looked for a newer revision since.
    catching_up: Cell<bool>,
    distrusted: RefCell<HashMap<SocketAddr, Instant>>,
    list: RefCell<Vec<Vm>>,
}

impl Revisions {
    pub(crate) fn new() -> Self {
        Revisions {
            mark: RefCell::default(),
            in_force: watch::channel(0).0,
            recent: RefCell::default(),
            conflict: Cell::default(),
            confirmed: Cell::default(),
            catching_up: Cell::default(),
            distrusted: RefCell::default(),
            list: RefCell::default(),
        }
    }

    /// Records that a revision is in force; returns whether it is newer than all before. One that isn't
    /// changes nothing.
    pub(crate) fn record_in_force(&self, effective: &Effective) -> bool {
        let id = RevisionId { revision: effective.revision, digest: effective.digest };
        if !self.mark.borrow_mut().accept(id) {
            return false;
        }
        let mut recent = self.recent.borrow_mut();
        recent.push_back(PastRevision { id, parts: effective.parts.clone() });
        if recent.len() > MAX_PAST_REVISIONS {
            recent.pop_front();
        }
        self.conflict.set(None);
        self.in_force.send_replace(effective.revision);
        true
    }

    /// Whether the process was paused and hasn't yet looked for a newer revision since.
    pub(crate) fn is_catching_up(&self) -> bool {
        self.catching_up.get()
    }

    /// Applies the published list of VMs. An empty list is ignored as a fault of its publisher.
    pub(crate) fn apply_list(&self, list: &[Vm]) {
        if !list.is_empty() {
            *self.list.borrow_mut() = list.to_vec();
        }
    }

    /// Position of this node in the tree that distributes the settings.
    fn position(&self, name: &str, domain: &str) -> Position {
        topology::position(&self.list.borrow(), name, domain)
    }

    /// Addresses of the listed peers, those of the node's own failure domain first.
    fn peer_addresses(&self, name: &str, domain: &str) -> Vec<SocketAddr> {
        let list = self.list.borrow();
        let mut entries: Vec<_> =
            list.iter().filter(|vm| vm.role == Role::Entry && vm.name != name).collect();
        entries.sort_by_key(|vm| (vm.domain != domain, vm.leaving));
        entries.into_iter().filter_map(|vm| vm.address.parse().ok()).collect()
    }

    /// Stops reading from a peer for [`DISTRUST_TIME`].
    fn distrust(&self, peer: SocketAddr, now: Instant) {
        self.distrusted.borrow_mut().insert(peer, now + DISTRUST_TIME);
    }

    fn is_trusted(&self, peer: SocketAddr, now: Instant) -> bool {
        let mut distrusted = self.distrusted.borrow_mut();
        distrusted.retain(|_, until| *until > now);
        !distrusted.contains_key(&peer)
    }

    /// The state of the revisions for `/status`.
    pub(crate) fn status(&self, name: &str, domain: &str, now: Instant) -> serde_json::Value {
        let mark = self.mark.borrow();
        let age = self.confirmed.get().map(|at| (now - at).as_millis() as u64);
        let role = match self.position(name, domain) {
            Position::Watcher => "watches the service",
            Position::Follower(_) => "hears from peers",
        };
        json!({
            "confirmed_ms_ago": age,
            "refused_revision": mark.refused.filter(|r| Some(r.revision) == mark.highest())
                .map(|refused| refused.revision),
            "conflict": self.conflict.get(),
            "role": role,
        })
    }
}
