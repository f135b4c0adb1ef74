//! Decides which engines are ordered to load other content, and when.
//!
//! A published revision may want other models, adapters, versions or roles on many engines at once. If all
//! were ordered together, whole pools would reload at the same time and their callers be refused, while the
//! rate-limited weight store serves none of them in time. So every node derives the same wanted content
//! from a revision, one node of the cell issues the orders, and it keeps to limits: a part of each pool in
//! change at once, bytes per second from the store, and never the last engine that serves a model.
//!
//! The fencing number of an order is the revision. Two issuers with the same revision give the same order;
//! an issuer that resumes after a pause gives an older number, which a fenced engine refuses. An engine that
//! ignores the number is checked by reading its content: it counts as in change until it shows what is
//! wanted, and gets no new work until then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::budget::Budget;

/// Time after which an order without effect is given again, because the engine may have restarted. Loading
/// the weights of a large model takes minutes.
const RETRY_AFTER: Duration = Duration::from_secs(300);

derives::data! {
    /// The content of an engine, present or wanted.
    #[derive(Default, Eq)]
    pub struct Content {
        /// Models.
        pub models: BTreeSet<String>,
        /// Adapters.
        pub adapters: BTreeSet<String>,
        /// Version of the models; none if any version is accepted.
        pub version: Option<String>,
        /// Which part of an answer the engine computes; empty if any role is accepted.
        pub role: String,
    }

    /// An engine that accepts orders.
    #[derive(Eq)]
    pub struct Engine {
        /// [`wire::key`] of its name.
        pub server: u32,
        /// Content that the settings want on it.
        pub wanted: Content,
        /// Content that it last showed; none if it hasn't been read.
        pub shown: Option<Content>,
        /// Fencing number of the last order that it accepted, if it reports one.
        pub accepted_fence: Option<u64>,
        /// Bytes that a change would load from the weight store.
        pub load_bytes: u64,
    }

    /// An order to an engine to change its content.
    #[derive(Eq)]
    pub struct Order {
        /// [`wire::key`] of the engine's name.
        pub server: u32,
        /// Fencing number: the revision of the settings.
        pub fence: u64,
        /// Content that the engine should load.
        pub wanted: Content,
    }

    /// Limits on changes.
    #[derive(Copy, Eq)]
    pub struct Limits {
        /// Part of a pool that may be in change at once, in percent; one engine always may.
        pub change_percent: u32,
        /// Bytes per second that this cell may load from the weight store.
        pub store_bytes: u32,
    }
}

impl Content {
    /// Whether an engine with this content has what `wanted` asks for.
    ///
    /// ```
    /// use fleet::orders::Content;
    /// let wanted = Content { models: ["small".into()].into(), ..Default::default() };
    /// let shown = Content { version: Some("7".into()), ..wanted.clone() };
    /// assert!(shown.satisfies(&wanted) && !Content::default().satisfies(&wanted));
    /// ```
    pub fn satisfies(&self, wanted: &Content) -> bool {
        let version = wanted.version.is_none() || self.version == wanted.version;
        let role = wanted.role.is_empty() || self.role == wanted.role;
        self.models == wanted.models
            && self.adapters.is_superset(&wanted.adapters)
            && version
            && role
    }
}

/// An order in progress.
#[derive(Clone, Copy, Debug)]
struct Change {
    fence: u64,
    since: Instant,
}

/// Issues the orders of one cell. An issuer that replaces another learns from the engines which orders are in
/// progress.
#[derive(Debug)]
pub struct Issuer {
    changes: BTreeMap<u32, Change>,
    store_budget: Budget,
}

impl Issuer {
    /// An issuer without orders in progress.
    pub fn new(limits: Limits, now: Instant) -> Self {
        Issuer { changes: BTreeMap::new(), store_budget: Budget::new(limits.store_bytes, now) }
    }

    /// Keys of the engines with an order in progress.
    pub fn changing(&self) -> impl Iterator<Item = u32> {
        self.changes.keys().copied()
    }

    /// Records that an order couldn't be delivered: it isn't in progress.
    pub fn record_failure(&mut self, server: u32) {
        self.changes.remove(&server);
    }

    /// The orders to give now for revision `fence`; from now on they are in progress.
    ///
    /// ```
    /// use fleet::orders::{Issuer, Limits};
    /// let now = std::time::Instant::now();
    /// let limits = Limits { change_percent: 20, store_bytes: 1 << 20 };
    /// assert!(Issuer::new(limits, now).issue_orders(&[], 3, limits, now).is_empty());
    /// ```
    pub fn issue_orders(
        &mut self,
        engines: &[Engine],
        fence: u64,
        limits: Limits,
        now: Instant,
    ) -> Vec<Order> {
        self.store_budget.set_rate(limits.store_bytes);
        self.remove_finished(engines, now);
        self.adopt_orders(engines, fence, now);
        let mut issued = vec![];
        for engine in engines {
            let Some(shown) = &engine.shown else { continue };
            let change = self.changes.get(&engine.server);
            let is_newer = change.is_none_or(|change| change.fence < fence);
            if shown.satisfies(&engine.wanted) || !is_newer {
                continue;
            }
            let in_progress = change.is_some();
            let allowed = in_progress || self.may_change(engine, engines, limits);
            if !allowed
                || !leaves_models_served(engine, shown, engines, &self.changes)
                || !self.reserve_load(engine, now)
            {
                continue;
            }
            self.changes.insert(engine.server, Change { fence, since: now });
            let (server, wanted) = (engine.server, engine.wanted.clone());
            issued.push(Order { server, fence, wanted });
        }
        issued
    }

    /// Removes changes that took effect, or took too long.
    fn remove_finished(&mut self, engines: &[Engine], now: Instant) {
        self.changes.retain(|server, change| {
            let engine = engines.iter().find(|engine| engine.server == *server);
            let shown = engine.and_then(|engine| engine.shown.as_ref());
            let done =
                shown.is_some_and(|shown| engine.is_some_and(|e| shown.satisfies(&e.wanted)));
            engine.is_some() && !done && now - change.since < RETRY_AFTER
        });
    }

    /// Adds the orders in progress that another issuer gave for this revision.
    fn adopt_orders(&mut self, engines: &[Engine], fence: u64, now: Instant) {
        for engine in engines.iter().filter(|engine| engine.accepted_fence == Some(fence)) {
            let done = engine.shown.as_ref().is_some_and(|shown| shown.satisfies(&engine.wanted));
            if !done {
                self.changes.entry(engine.server).or_insert(Change { fence, since: now });
            }
        }
    }

    /// Whether one more engine may be in change in each pool to which this engine belongs.
    fn may_change(&self, engine: &Engine, engines: &[Engine], limits: Limits) -> bool {
        let changing = |other: &Engine| self.changes.contains_key(&other.server);
        engine.wanted.models.iter().all(|model| {
            let pool = engines.iter().filter(|other| other.wanted.models.contains(model));
            let size = pool.clone().count();
            let max_changing = (size * limits.change_percent as usize / 100).max(1);
            pool.filter(|other| changing(other)).count() < max_changing
        })
    }

    /// Spends the bytes that an engine would load; returns false if the weight store's budget is used up.
    fn reserve_load(&mut self, engine: &Engine, now: Instant) -> bool {
        // A load larger than the budget's burst is allowed by itself; its debt delays the next one.
        if self.store_budget.available(now) == 0 {
            return false;
        }
        self.store_budget.spend(engine.load_bytes as usize);
        true
    }
}

/// Whether every model that the engine serves now is also served by another engine that isn't in change, or
/// is no longer wanted on any engine.
fn leaves_models_served(
    engine: &Engine,
    shown: &Content,
    engines: &[Engine],
    changes: &BTreeMap<u32, Change>,
) -> bool {
    shown.models.iter().all(|model| {
        let mut others = engines.iter().filter(|other| other.server != engine.server);
        let wanted = engines.iter().any(|other| other.wanted.models.contains(model));
        let serves = |other: &Engine| {
            let shown = other.shown.as_ref().is_some_and(|shown| shown.models.contains(model));
            shown && !changes.contains_key(&other.server)
        };
        !wanted || others.any(serves)
    })
}

/// Whether an engine may get new work for the content that the settings want on it. `fenced` says that it
/// refuses orders with old fencing numbers, `changing` that an order is in progress. An engine that ignores
/// fencing numbers may have loaded what an outdated issuer ordered; a fenced one has the content of the
/// newest order, or is in change.
pub fn is_routable(engine: &Engine, fenced: bool, changing: bool) -> bool {
    match &engine.shown {
        Some(shown) => shown.satisfies(&engine.wanted) || (fenced && !changing),
        None => fenced,
    }
}
