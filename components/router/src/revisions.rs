//! The settings' revisions: what this node knows of them, whom it hears them from, and what it
//! shows to its peers.

mod follow;
mod serve;
mod take;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use configuration::topology::{self, Position};
use configuration::wire::{Role, Vm};
use serde_json::json;
use settings::mark::{Mark, Shown};
use settings::{Effective, Part};
use tokio::sync::watch;

pub(crate) use follow::start;
pub(crate) use serve::{PREFIX, handle};

/// Revisions kept to tell peers what changed since: at one a second in bursts, a peer that was
/// away for longer than 16 s takes the list of all parts instead.
const RECENT: usize = 16;
/// A peer that didn't keep what it showed isn't asked for this long.
const DISTRUST: Duration = Duration::from_secs(30);

struct Past {
    shown: Shown,
    parts: Rc<[Rc<Part>]>,
}

/// What a node knows of revisions.
pub(crate) struct Revisions {
    mark: RefCell<Mark>,
    /// The number in force; peers that hear from this node wait on it.
    shown: watch::Sender<u64>,
    recent: RefCell<VecDeque<Past>>,
    /// The number that was shown with two digests.
    conflict: Cell<Option<u64>>,
    /// When someone last showed that what is in force is the newest.
    confirmed: Cell<Option<Instant>>,
    /// The process was paused and hasn't looked for a newer revision since.
    woken: Cell<bool>,
    distrusted: RefCell<HashMap<SocketAddr, Instant>>,
    list: RefCell<Vec<Vm>>,
}

impl Revisions {
    pub(crate) fn new() -> Self {
        Revisions {
            mark: RefCell::default(),
            shown: watch::channel(0).0,
            recent: RefCell::default(),
            conflict: Cell::default(),
            confirmed: Cell::default(),
            woken: Cell::default(),
            distrusted: RefCell::default(),
            list: RefCell::default(),
        }
    }

    /// Notes that a revision is in force. Returns false unless it is newer than all before.
    pub(crate) fn hold(&self, effective: &Effective) -> bool {
        let shown = Shown { revision: effective.revision, digest: effective.digest };
        if !self.mark.borrow_mut().hold(shown) {
            return false;
        }
        let mut recent = self.recent.borrow_mut();
        recent.push_back(Past { shown, parts: effective.parts.clone() });
        if recent.len() > RECENT {
            recent.pop_front();
        }
        self.conflict.set(None);
        self.shown.send_replace(effective.revision);
        true
    }

    /// Whether the process was paused and hasn't looked for a newer revision since.
    pub(crate) fn woken(&self) -> bool {
        self.woken.get()
    }

    /// Takes in the published list of VMs; an empty one is taken for a fault of its publisher.
    pub(crate) fn listed(&self, list: &[Vm]) {
        if !list.is_empty() {
            *self.list.borrow_mut() = list.to_vec();
        }
    }

    fn place(&self, name: &str, domain: &str) -> Position {
        topology::position(&self.list.borrow(), name, domain)
    }

    /// Listed peers, those of the own failure domain first.
    fn peers(&self, name: &str, domain: &str) -> Vec<SocketAddr> {
        let list = self.list.borrow();
        let mut entries: Vec<_> =
            list.iter().filter(|vm| vm.role == Role::Entry && vm.name != name).collect();
        entries.sort_by_key(|vm| (vm.domain != domain, vm.leaving));
        entries.into_iter().filter_map(|vm| vm.address.parse().ok()).collect()
    }

    fn distrust(&self, peer: SocketAddr, now: Instant) {
        self.distrusted.borrow_mut().insert(peer, now + DISTRUST);
    }

    fn trusted(&self, peer: SocketAddr, now: Instant) -> bool {
        let mut distrusted = self.distrusted.borrow_mut();
        distrusted.retain(|_, until| *until > now);
        !distrusted.contains_key(&peer)
    }

    /// What operators see of it.
    pub(crate) fn status(&self, name: &str, domain: &str, now: Instant) -> serde_json::Value {
        let mark = self.mark.borrow();
        let age = self.confirmed.get().map(|at| (now - at).as_millis() as u64);
        let role = match self.place(name, domain) {
            Position::Watcher => "watches the service",
            Position::Follower(_) => "hears from peers",
        };
        json!({
            "confirmed_ms_ago": age,
            "refused_revision": mark.refused.filter(|r| Some(r.revision) == mark.top())
                .map(|refused| refused.revision),
            "conflict": self.conflict.get(),
            "role": role,
        })
    }
}
