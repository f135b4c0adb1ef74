//! Sends orders to load models and adapters to the engines, if this node is the issuer of its cell, and
//! determines which engines must get no new requests until they have what the settings want.
//!
//! Only engines for which the settings name a version or adapters get orders; the content of the others
//! isn't managed.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use clock::Clock;
use engine::orders::{Client, Content, Outcome};
use fleet::orders::{self, Engine, Issuer, Limits, Order};
use fleet::{MemberStatus, polling};
use settings::{Effective, Role, Server, ServerKind};

use crate::state::State;

/// Pause between two rounds of an issuer.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which an engine is read whose content isn't as wanted.
const PENDING_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which an engine is read whose content is as wanted: it may restart with other content.
const SATISFIED_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Time for an engine to answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Size assumed of a load by an engine that doesn't report it; that of a medium-sized model.
const DEFAULT_LOAD_BYTES: u64 = 8 << 30;

/// Starts the task; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(run(Rc::downgrade(state)));
}

/// The last read of an engine's content; `None` if it failed.
#[derive(Clone)]
struct LastRead {
    at: Instant,
    content: Option<Content>,
}

async fn run(weak: Weak<State>) {
    let client = Client::new(TIMEOUT);
    let mut last_reads: BTreeMap<u32, LastRead> = BTreeMap::new();
    let mut issuer = None;
    loop {
        let Some(state) = weak.upgrade() else { return };
        match state.settings().filter(|_| is_issuer(&state)) {
            Some(settings) => {
                run_round(&state, &settings, &client, &mut last_reads, &mut issuer).await
            }
            None => {
                last_reads.clear();
                issuer = None;
                state.unroutable.borrow_mut().clear();
            }
        }
        drop(state);
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Whether this node is the issuer of its cell, as far as it knows.
fn is_issuer(state: &State) -> bool {
    let now = state.clock.now();
    let view = state.view.borrow();
    let alive = view.cell_peers().filter(|(_, m)| view.status(m, now) == MemberStatus::Alive);
    let alive = alive.filter(|(_, member)| !member.is_leaving()).map(|(_, member)| member.key);
    let cell = wire::key(&format!("orders of cell {}", state.cells.borrow().own_cell()));
    !state.draining.get() && polling::is_poller(wire::key(&state.node.name), alive, cell)
}

async fn run_round(
    state: &State,
    settings: &Effective,
    client: &Client,
    last_reads: &mut BTreeMap<u32, LastRead>,
    issuer: &mut Option<Issuer>,
) {
    let ordered = ordered_engines(state, settings);
    last_reads.retain(|name, _| ordered.contains_key(name));
    read_contents(state, settings, client, &ordered, last_reads).await;
    let engines: Vec<_> = ordered
        .iter()
        .map(|(name, server)| engine_state(*name, server, settings, last_reads))
        .collect();
    let now = state.clock.now();
    let limits = cell_limits(state, settings);
    let issuer = issuer.get_or_insert_with(|| Issuer::new(limits, now));
    for order in issuer.issue_orders(&engines, settings.revision, limits, now) {
        let server = order.server;
        if !send_order(client, &ordered[&server], order).await {
            issuer.record_failure(server);
        }
    }
    let changing: BTreeSet<u32> = issuer.changing().collect();
    let unroutable = engines.iter().filter(|engine| {
        let fenced = ordered[&engine.server].fenced;
        !orders::is_routable(engine, fenced, changing.contains(&engine.server))
    });
    *state.unroutable.borrow_mut() = unroutable.map(|engine| engine.server).collect();
}

/// The engines that this node uses and that get orders.
fn ordered_engines(state: &State, settings: &Effective) -> BTreeMap<u32, Rc<Server>> {
    let cells = state.cells.borrow();
    let used = cells.servers().filter_map(|(name, key)| Some((name, settings.servers.get(key)?)));
    let engines = used.filter(|(_, server)| {
        let is_managed = server.version.is_some() || !server.adapters.is_empty();
        server.kind == ServerKind::Engine && is_managed
    });
    engines.map(|(name, server)| (name, server.clone())).collect()
}

/// Reads the content of the engines that are due.
async fn read_contents(
    state: &State,
    settings: &Effective,
    client: &Client,
    ordered: &BTreeMap<u32, Rc<Server>>,
    last_reads: &mut BTreeMap<u32, LastRead>,
) {
    for (name, server) in ordered {
        let now = state.clock.now();
        let satisfied = {
            let engine = engine_state(*name, server, settings, last_reads);
            engine.shown.is_some_and(|shown| shown.satisfies(&engine.wanted))
        };
        let period = if satisfied { SATISFIED_READ_INTERVAL } else { PENDING_READ_INTERVAL };
        if last_reads.get(name).is_some_and(|read| now - read.at < period) {
            continue;
        }
        let content = match client.fetch_content(&server.address).await {
            Ok(content) => Some(content),
            Err(cause) => {
                log::warn!(server = server.name.as_str(), cause:% = cause; "failed to read the engine's content");
                None
            }
        };
        last_reads.insert(*name, LastRead { at: now, content });
    }
}

fn engine_state(
    name: u32,
    server: &Server,
    settings: &Effective,
    last_reads: &BTreeMap<u32, LastRead>,
) -> Engine {
    let content = last_reads.get(&name).and_then(|read| read.content.as_ref());
    let models = server.models.iter().map(|model| settings.model_names.name(*model).to_string());
    let role = match server.role {
        Role::Mixed => "mixed",
        Role::Prefill => "prefill",
        Role::Decode => "decode",
    };
    let shown = content.map(|content| orders::Content {
        models: content.models.iter().cloned().collect(),
        adapters: content.adapters.iter().cloned().collect(),
        version: content.version.clone(),
        role: content.role.clone(),
    });
    let bytes = content.map_or(0, |content| content.load_bytes);
    Engine {
        server: name,
        wanted: orders::Content {
            models: models.collect(),
            adapters: server.adapters.iter().cloned().collect(),
            version: server.version.clone(),
            role: role.to_string(),
        },
        shown,
        accepted_fence: content.and_then(|content| content.fence),
        load_bytes: if bytes == 0 { DEFAULT_LOAD_BYTES } else { bytes },
    }
}

/// The limits on loads, of which the rate of reads from the store is divided among the cells.
fn cell_limits(state: &State, settings: &Effective) -> Limits {
    let cells = u64::from(state.cells.borrow().count().max(1));
    Limits {
        change_percent: settings.limits.change_percent,
        store_bytes: (settings.limits.store_bytes / cells).try_into().unwrap_or(u32::MAX),
    }
}

/// Sends an order; returns whether the engine answered.
async fn send_order(client: &Client, server: &Server, order: Order) -> bool {
    let content = Content {
        models: order.wanted.models.into_iter().collect(),
        adapters: order.wanted.adapters.into_iter().collect(),
        version: order.wanted.version,
        role: order.wanted.role,
        fence: Some(order.fence),
        load_bytes: 0,
    };
    let name = server.name.as_str();
    let reply = client.send_order(&server.address, &content).await;
    match &reply {
        Ok(Outcome::Accepted) => log::info!(server = name, fence = order.fence; "ordered"),
        Ok(Outcome::Superseded) => {
            log::warn!(server = name, fence = order.fence; "engine rejected an outdated order")
        }
        Err(cause) => {
            log::warn!(server = name, cause:% = cause; "failed to send an order to the engine")
        }
    }
    reply.is_ok()
}
