//! Records whether this node reaches the servers of each service, and probes those that are silent.
//!
//! What follows from it is decided in `policy::reach`.

use std::rc::{Rc, Weak};
use std::time::Duration;

use catalog::Entry;
use clock::Clock;
use futures_util::future::join_all;
use http_client::Connection;
use rand::seq::IteratorRandom;

use crate::adapter::Adapter;
use crate::attempt::CONNECT_TIMEOUT;
use crate::state::State;

/// Pause between two looks at which services are to be probed.
const PAUSE: Duration = Duration::from_millis(100);
/// Servers of a service that are probed at once.
const PROBES: usize = 3;

/// Starts the task that probes services. It ends with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    actix_rt::spawn(run(Rc::downgrade(state)));
}

async fn run<A: Adapter>(weak: Weak<State<A>>) {
    while let Some(state) = weak.upgrade() {
        let due = state.reach.borrow_mut().due_probes(state.clock.now());
        join_all(due.into_iter().map(|service| probe(&state, service))).await;
        drop(state);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Connects to some servers of a service. Connections that are made are kept for requests.
async fn probe<A: Adapter>(state: &State<A>, service: ids::Model) {
    let Some(name) = state.registry.borrow().service_name(service) else { return };
    let entries: Vec<_> = {
        let registry = state.registry.borrow();
        let entries = registry.servers().map(|(_, entry)| entry);
        let entries = entries.filter(|entry| entry.service == name && !entry.leaving).cloned();
        entries.choose_multiple(&mut rand::rng(), PROBES)
    };
    let connected = join_all(entries.iter().map(|entry| async {
        state.metrics.count_connection();
        let connection = Connection::connect(&entry.address, CONNECT_TIMEOUT).await.ok()?;
        state.pool.put_unused(&entry.address, connection);
        Some(())
    }))
    .await;
    let reached = connected.iter().flatten().count();
    let changed = state.reach.borrow_mut().record_probe(service, reached, entries.len());
    if changed {
        log_change(state, service, &name);
    }
}

/// Records that no connection to a server could be made.
pub(crate) fn record_unreached<A: Adapter>(state: &State<A>, server: &Entry) {
    let (key, service, count) = {
        let mut registry = state.registry.borrow_mut();
        let service = registry.service_key(&server.service);
        if state.reach.borrow().is_lost(service) {
            return;
        }
        let servers = registry.servers();
        let count = servers.filter(|(_, entry)| entry.service == server.service).count();
        let Some(key) = registry.server_by_wire_key(wire::key(&server.name)) else { return };
        (key, service, count)
    };
    let now = state.clock.now();
    if state.reach.borrow_mut().record_unreached(service, key, count, now) {
        log_change(state, service, &server.service);
    }
}

/// Records that a request is sent to a server.
pub(crate) fn record_sent<A: Adapter>(state: &State<A>, server: &Entry) {
    let service = state.registry.borrow_mut().service_key(&server.service);
    state.reach.borrow_mut().record_sent(service, state.clock.now());
}

/// Records that a server accepted a connection or sent something.
pub(crate) fn record_reached<A: Adapter>(state: &State<A>, server: &Entry) {
    let service = state.registry.borrow_mut().service_key(&server.service);
    state.reach.borrow_mut().record_reached(service);
}

/// For how long a service has been silent, in milliseconds.
pub(crate) fn silence_ms<A: Adapter>(state: &State<A>, service: &str) -> Option<u64> {
    let service = state.registry.borrow_mut().service_key(service);
    let silence = state.reach.borrow().silence(service, state.clock.now())?;
    Some(silence.as_millis() as u64)
}

fn log_change<A: Adapter>(state: &State<A>, service: ids::Model, name: &str) {
    if state.reach.borrow().is_lost(service) {
        let silent_ms = silence_ms(state, name);
        log::warn!(service = name, silent_ms = silent_ms; "no server of the service can be reached");
    } else {
        log::info!(service = name; "servers of the service can be reached again");
    }
}
