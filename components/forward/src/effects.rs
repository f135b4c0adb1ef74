//! Puts changes of the store's items into effect: settings, evacuations, and the servers that may be used.

use std::rc::Rc;
use std::time::{Duration, Instant};

use catalog::{Change, Entry, Settings};
use clock::Clock;
use replica::{Changes, Content};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::{Adapter, Item, Record, Store};
use crate::state::State;
use crate::{brittle, cold, limits};

/// Servers that are logged one by one when they change together; a node that starts learns of thousands at once.
const MAX_LOGGED_SERVERS: usize = 256;
/// Items of which it is logged that they are overruled.
const MAX_LOGGED_ITEMS: usize = 32;

/// Reads items by the adapter's store.
pub(crate) struct Reader<'a, A: Adapter>(pub(crate) &'a State<A>);

impl<A: Adapter> Content for Reader<'_, A> {
    fn is_renewed(&self, key: &str) -> bool {
        self.0.adapter.store.is_renewed(key)
    }

    fn is_superseded(&self, known: &Item, offered: &Item) -> bool {
        if self.is_renewed(&offered.key) {
            return false;
        }
        let revision = |item| match self.0.adapter.store.decode(item) {
            Some(Record::Settings(settings)) => Some(settings.revision),
            _ => None,
        };
        let offered = revision(offered);
        offered.is_some() && offered < revision(known)
    }

    fn start(&self, item: &Item) -> Option<u64> {
        let entry = self.entry(item)?;
        Some(xxh3_64(format!("{} {:?}", entry.name, entry.started).as_bytes()))
    }

    fn is_final(&self, item: &Item) -> bool {
        self.0.adapter.store.may_leave(item) && self.entry(item).is_some_and(|entry| entry.leaving)
    }
}

impl<A: Adapter> Reader<'_, A> {
    /// The entry of a server, if the item is one.
    fn entry(&self, item: &Item) -> Option<Entry> {
        match self.0.adapter.store.decode(item)? {
            Record::Server(Change::Listed(entry)) => Some(entry),
            _ => None,
        }
    }
}

/// Puts what a source sent into effect.
pub(crate) fn apply<A: Adapter>(state: &State<A>, changes: Changes) {
    let now = state.clock.now();
    if let Some(former) = changes.former_era {
        let era = state.replica.borrow().era();
        log::warn!(era = era, former = former; "the store came back from a copy");
        state.metrics.settings.count_event("restored");
        // Entries that were written after the copy was made are missing until their servers write them again.
        let mut membership = state.membership.borrow_mut();
        membership.mark_unavailable();
        membership.mark_available(now);
    }
    for (key, revision) in changes.overruled.iter().take(MAX_LOGGED_ITEMS) {
        log::info!(key = key.as_str(), revision = *revision; "the store has an older version of an item; the known one stands");
    }
    for item in &changes.renewed {
        if let Some(Record::Server(change)) = state.adapter.store.decode(item) {
            record_unseen(state, &change);
        }
    }
    apply_items(state, changes.items);
}

/// Time until something expires: a server that is missing from the list, or a version that stands against the store's.
pub(crate) fn time_until_expiry<A: Adapter>(state: &State<A>) -> Option<Duration> {
    let now = state.clock.now();
    let removal = state.membership.borrow().time_until_removal(now);
    let release = next_release(state).map(|at| at.saturating_duration_since(now));
    removal.into_iter().chain(release).min()
}

fn next_release<A: Adapter>(state: &State<A>) -> Option<Instant> {
    state.replica.borrow().next_release(state.node().renewal_time(), &Reader(state))
}

/// Drops missing servers whose time to be listed again is over, and uses those that the store goes on listing.
pub(crate) fn expire<A: Adapter>(state: &State<A>) {
    let now = state.clock.now();
    let time = state.node().renewal_time();
    let released = state.replica.borrow_mut().release(time, &Reader(state), now);
    for item in &released {
        log::info!(key = item.key.as_str(), revision = item.revision; "the store's version of an item is in effect after all");
    }
    apply_items(state, released);
    let gone = state.membership.borrow_mut().remove_lapsed(now);
    apply_servers(state, gone);
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
            Record::Evacuation { domain, in_force } => apply_evacuation(state, &domain, in_force),
            Record::Settings(settings) => apply_settings(state, settings),
            Record::InvalidSettings(cause) => {
                log::error!(
                    cause = cause.as_str();
                    "a revision of the settings can't be used; the last usable one stays in force"
                );
                state.metrics.settings.count_event("refused");
                state.newest_invalid.set(true);
            }
            Record::Server(change) => {
                record_unseen(state, &change);
                let changed = state.membership.borrow_mut().apply(change, state.clock.now());
                servers.extend(changed);
            }
        }
    }
    apply_servers(state, servers);
}

/// Records what a change of the list hides. An entry that is replaced or gone before this node used it had been listed. A peer
/// sends only what is left of several changes: unless a server is listed and has been the same process all the while, other
/// versions may have come and gone unseen.
fn record_unseen<A: Adapter>(state: &State<A>, change: &Change) {
    let (name, after) = match change {
        Change::Listed(entry) => (&entry.name, Some(entry)),
        Change::Gone(name) => (name, None),
    };
    let (membership, registry) = (state.membership.borrow(), state.registry.borrow());
    let (before, used) = (membership.get(name).map(Rc::as_ref), registry.entry(name));
    let now = state.clock.now();
    if let Some(before) = before.filter(|before| !after.is_some_and(|after| is_same(before, after)))
        && !used.is_some_and(|used| is_same(before, used))
    {
        state.resumption.apply_passing(before, now);
    }
    let is_known = before.zip(after).is_some_and(|(before, after)| {
        // Without the time of its start, a server may have been another one in between.
        is_same(before, after) && after.started.is_some()
    });
    if !is_known && !state.contact.path.borrow().is_direct() {
        state.resumption.record_gap(now);
    }
}

/// Whether two entries are of one start of a server, as far as they say.
fn is_same(one: &Entry, other: &Entry) -> bool {
    let identity = |entry: &Entry| (entry.service.clone(), entry.version.clone(), entry.started);
    identity(one) == identity(other)
}

/// Puts a revision of the settings in force if it is newer than the current one.
fn apply_settings<A: Adapter>(state: &State<A>, settings: Settings) {
    let last = state.settings.borrow().as_ref().map(|last| last.revision);
    if last.is_some_and(|last| last >= settings.revision) {
        return;
    }
    state.newest_invalid.set(false);
    state.resumption.apply_settings(&settings, state.clock.now());
    if !state.contact.path.borrow().is_direct() {
        // A peer sends only the last of several revisions.
        state.resumption.record_gap(state.clock.now());
    }
    state.registry.borrow_mut().apply_settings(&mut state.driver.scheduler.borrow_mut(), &settings);
    state.listener_limits.send_modify(|limits| {
        limits.head_timeout = settings.limits.head_timeout;
        // Callers reuse connections that were idle for nearly as long as this allows.
        limits.keep_alive = settings.limits.idle_timeout;
    });
    log::info!(
        revision = settings.revision, last = last, routes = settings.routes().count(),
        path:% = state.contact.path.borrow(), age_ms = state.proof_age_ms();
        "settings in force"
    );
    state.metrics.settings.count_event("accepted");
    state.metrics.settings.set_revision(settings.revision);
    *state.settings.borrow_mut() = Some(Rc::new(settings));
    state.driver.run_actions();
}

/// Updates the scheduler after these servers were listed, changed or removed.
fn apply_servers<A: Adapter>(state: &State<A>, servers: Vec<String>) {
    for (key, entry) in register_servers(state, servers) {
        cold::apply_entry(state, key, &entry);
    }
    brittle::apply_servers(state);
    state.driver.run_actions();
}

/// Registers servers that are listed with the scheduler and removes the others; returns those that are
/// listed. What their entries say of cold servers was true when they came, so it is applied only then.
pub(crate) fn register_servers<A: Adapter>(
    state: &State<A>,
    servers: Vec<String>,
) -> Vec<(ids::Server, Rc<catalog::Entry>)> {
    let mut listed = vec![];
    if servers.is_empty() {
        return listed;
    }
    let now = state.clock.now();
    let membership = state.membership.borrow();
    let mut registry = state.registry.borrow_mut();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    let mut batch = scheduler.change_servers();
    let each = servers.len() <= MAX_LOGGED_SERVERS;
    if !each {
        log::info!(servers = servers.len(); "servers listed or gone");
    }
    for name in servers {
        let (before, after) = (registry.entry(&name), membership.get(&name));
        state.resumption.apply_server(before.map(Rc::as_ref), after.map(Rc::as_ref), now);
        match after {
            Some(entry) => {
                if each {
                    log::info!(
                        server = name.as_str(), service = entry.service.as_str(),
                        version = entry.version.as_str(), address = entry.address.as_str(),
                        leaving = entry.leaving;
                        "server listed"
                    );
                }
                let evacuated = state.evacuations.contains(&entry.domain);
                let domains = &state.node().domains;
                let key = registry.set_server(&mut batch, entry, domains, evacuated, now);
                listed.push((key, entry.clone()));
            }
            None => {
                if each {
                    log::info!(server = name.as_str(); "server gone");
                }
                registry.remove_server(&mut batch, &name);
                state.rate_limits.throttle.borrow_mut().forget(wire::key(&name));
            }
        }
    }
    drop(batch);
    drop((membership, registry, scheduler));
    limits::apply_to_scheduler(state);
    listed
}

/// Starts or ends the evacuation of a failure domain. Its servers may be cold when it ends.
fn apply_evacuation<A: Adapter>(state: &State<A>, domain: &str, in_force: bool) {
    if !state.evacuations.set(domain, in_force, state.clock.now()) {
        return;
    }
    state.metrics.set_evacuated_domains(state.evacuations.all().len());
    let membership = state.membership.borrow();
    let entries: Vec<_> =
        membership.iter().filter(|entry| entry.domain == domain).cloned().collect();
    drop(membership);
    log::info!(domain = domain, in_force = in_force, servers = entries.len(); "evacuation");
    let mut registry = state.registry.borrow_mut();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    let domains = &state.node().domains;
    let mut batch = scheduler.change_servers();
    let now = state.clock.now();
    let set = |entry| registry.set_server(&mut batch, entry, domains, in_force, now);
    let changed: Vec<_> = entries.iter().map(set).collect();
    drop(batch);
    let returned = if in_force { vec![] } else { changed };
    for key in returned {
        scheduler.record_return(key, state.clock.now());
    }
    drop((registry, scheduler));
    state.driver.run_actions();
}
