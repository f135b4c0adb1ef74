//! Tracks which services say that their servers are brittle, and applies it to the scheduler.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use catalog::Entry;
use clock::Clock;
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::Adapter;
use crate::limits;
use crate::state::State;

/// Pause between two updates of the scheduler for a service that stays brittle: servers and nodes come and go.
const UPDATE_PAUSE: Duration = Duration::from_millis(500);

/// What a service last said.
#[derive(Debug)]
struct Statement {
    /// When an answer last said that its servers are brittle.
    at: Instant,
    /// When the scheduler was last updated.
    applied: Instant,
}

/// The services whose servers are brittle, by name.
#[derive(Debug, Default)]
pub(crate) struct Services(RefCell<HashMap<String, Statement>>);

impl Services {
    /// Records an answer to a request that was sent at `sent`. Returns whether the scheduler must be updated. An
    /// answer to an earlier request than the last statement doesn't end it.
    fn record(&self, service: &str, brittle: bool, sent: Instant, now: Instant) -> bool {
        let mut services = self.0.borrow_mut();
        let Some(known) = services.get_mut(service) else {
            if brittle {
                services.insert(service.to_string(), Statement { at: now, applied: now });
            }
            return brittle;
        };
        if !brittle {
            let ends = sent > known.at;
            if ends {
                services.remove(service);
            }
            return ends;
        }
        known.at = now;
        let due = now >= known.applied + UPDATE_PAUSE;
        if due {
            known.applied = now;
        }
        due
    }

    fn contains(&self, service: &str) -> bool {
        self.0.borrow().contains_key(service)
    }
}

/// Records whether an answer of a server says that its service is brittle.
pub(crate) fn record_answer<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    brittle: bool,
    sent: Instant,
) {
    let before = state.brittle.contains(&server.service);
    if !state.brittle.record(&server.service, brittle, sent, state.clock.now()) {
        return;
    }
    if before != brittle {
        log::info!(service = server.service.as_str(), brittle = brittle; "servers of the service");
    }
    apply_to_scheduler(state, &server.service);
    state.driver.run_actions();
}

/// Updates the scheduler after servers were listed or removed.
pub(crate) fn apply_servers<A: Adapter>(state: &State<A>) {
    let services: Vec<_> = state.brittle.0.borrow().keys().cloned().collect();
    for service in services {
        apply_to_scheduler(state, &service);
    }
}

/// Sets in the scheduler which part of the slots of a service's servers is this node's. A node that gets none uses
/// the server with the lowest hash.
fn apply_to_scheduler<A: Adapter>(state: &State<A>, service: &str) {
    let brittle = state.brittle.contains(service);
    let (nodes, name) = (limits::assumed_nodes(state), state.node().name.clone());
    let registry = state.registry.borrow();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    let servers = registry.servers().filter(|(_, entry)| entry.service == service);
    let hash = |entry: &Entry| xxh3_64(format!("{name} {}", entry.name).as_bytes());
    let hashed: Vec<_> = servers.map(|(key, entry)| (hash(entry), key, entry.slots)).collect();
    let share = |hash, slots| policy::brittle_share(slots, nodes, hash);
    let has_none = hashed.iter().all(|(hash, _, slots)| share(*hash, *slots) == 0);
    let lowest = hashed.iter().min().map(|(_, key, _)| *key);
    for (hash, key, slots) in hashed {
        let least = u32::from(has_none && Some(key) == lowest);
        scheduler.set_brittle(key, brittle.then(|| share(hash, slots).max(least)));
    }
}

#[cfg(test)]
mod tests;
