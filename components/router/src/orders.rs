//! Gives engines their orders, when this node is the issuer of its cell, and says which engines
//! must get no new work until they show what is wanted. Engines for which the settings name a
//! version or adapters take orders; what others hold is nobody's business.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use clock::Clock;
use engine::orders::{Content, Orders, Taken};
use fleet::orders::{self, Engine, Issuer, Limits, Order};
use fleet::{MemberStatus, polling};
use settings::{Effective, Role, Server, ServerKind};

use crate::state::State;

/// How often an issuer looks.
const LOOK: Duration = Duration::from_secs(1);
/// How often an engine is read that shows something else than is wanted.
const READ: Duration = Duration::from_secs(5);
/// How often one is read that shows what is wanted: it may restart with something else.
const CHECK: Duration = Duration::from_secs(60);
/// An engine answers within this.
const ANSWER: Duration = Duration::from_secs(1);
/// Taken for the weights of a model whose engine can't tell: a middling one.
const WEIGHTS: u64 = 8 << 30;

/// Starts the task; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(follow(Rc::downgrade(state)));
}

#[derive(Clone)]
struct Seen {
    at: Instant,
    content: Option<Content>,
}

async fn follow(weak: Weak<State>) {
    let client = Orders::new(ANSWER);
    let mut seen: BTreeMap<u32, Seen> = BTreeMap::new();
    let mut issuer = None;
    loop {
        let Some(state) = weak.upgrade() else { return };
        match state.settings().filter(|_| issues(&state)) {
            Some(settings) => look(&state, &settings, &client, &mut seen, &mut issuer).await,
            None => {
                seen.clear();
                issuer = None;
                state.unfit.borrow_mut().clear();
            }
        }
        drop(state);
        tokio::time::sleep(LOOK).await;
    }
}

/// Whether this node is the issuer of its cell, as far as it knows.
fn issues(state: &State) -> bool {
    let now = state.clock.now();
    let view = state.view.borrow();
    let alive = view.cell_peers().filter(|(_, m)| view.status(m, now) == MemberStatus::Alive);
    let alive = alive.filter(|(_, member)| !member.is_leaving()).map(|(_, member)| member.key);
    let cell = wire::key(&format!("orders of cell {}", state.cells.borrow().own()));
    !state.draining.get() && polling::is_poller(wire::key(&state.node.name), alive, cell)
}

async fn look(
    state: &State,
    settings: &Effective,
    client: &Orders,
    seen: &mut BTreeMap<u32, Seen>,
    issuer: &mut Option<Issuer>,
) {
    let ordered = ordered(state, settings);
    seen.retain(|name, _| ordered.contains_key(name));
    read(state, settings, client, &ordered, seen).await;
    let engines: Vec<_> =
        ordered.iter().map(|(name, server)| engine(*name, server, settings, seen)).collect();
    let now = state.clock.now();
    let limits = limits(state, settings);
    let issuer = issuer.get_or_insert_with(|| Issuer::new(limits, now));
    for order in issuer.issue_orders(&engines, settings.revision, limits, now) {
        let server = order.server;
        if !give(client, &ordered[&server], order).await {
            issuer.record_failure(server);
        }
    }
    let changing: BTreeSet<u32> = issuer.changing().collect();
    let unfit = engines.iter().filter(|engine| {
        let fenced = ordered[&engine.server].fenced;
        !orders::is_routable(engine, fenced, changing.contains(&engine.server))
    });
    *state.unfit.borrow_mut() = unfit.map(|engine| engine.server).collect();
}

/// The cell's engines that take orders.
fn ordered(state: &State, settings: &Effective) -> BTreeMap<u32, Rc<Server>> {
    let cells = state.cells.borrow();
    let used = cells.servers().filter_map(|(name, key)| Some((name, settings.servers.get(key)?)));
    let engines = used.filter(|(_, server)| {
        let named = server.version.is_some() || !server.adapters.is_empty();
        server.kind == ServerKind::Engine && named
    });
    engines.map(|(name, server)| (name, server.clone())).collect()
}

async fn read(
    state: &State,
    settings: &Effective,
    client: &Orders,
    ordered: &BTreeMap<u32, Rc<Server>>,
    seen: &mut BTreeMap<u32, Seen>,
) {
    for (name, server) in ordered {
        let now = state.clock.now();
        let met = {
            let engine = engine(*name, server, settings, seen);
            engine.shown.is_some_and(|shown| shown.satisfies(&engine.wanted))
        };
        let period = if met { CHECK } else { READ };
        if seen.get(name).is_some_and(|seen| now - seen.at < period) {
            continue;
        }
        let content = match client.content(&server.address).await {
            Ok(content) => Some(content),
            Err(cause) => {
                log::warn!(server = server.name.as_str(), cause:% = cause; "can't read what it holds");
                None
            }
        };
        seen.insert(*name, Seen { at: now, content });
    }
}

fn engine(name: u32, server: &Server, settings: &Effective, seen: &BTreeMap<u32, Seen>) -> Engine {
    let content = seen.get(&name).and_then(|seen| seen.content.as_ref());
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
        load_bytes: if bytes == 0 { WEIGHTS } else { bytes },
    }
}

/// The cell's part of what the deployment may load.
fn limits(state: &State, settings: &Effective) -> Limits {
    let cells = u64::from(state.cells.borrow().count().max(1));
    Limits {
        change_percent: settings.limits.change_percent,
        store_bytes: (settings.limits.store_bytes / cells).try_into().unwrap_or(u32::MAX),
    }
}

/// Gives an order; returns whether the engine answered.
async fn give(client: &Orders, server: &Server, order: Order) -> bool {
    let content = Content {
        models: order.wanted.models.into_iter().collect(),
        adapters: order.wanted.adapters.into_iter().collect(),
        version: order.wanted.version,
        role: order.wanted.role,
        fence: Some(order.fence),
        load_bytes: 0,
    };
    let name = server.name.as_str();
    let given = client.give(&server.address, &content).await;
    match &given {
        Ok(Taken::Yes) => log::info!(server = name, fence = order.fence; "ordered"),
        Ok(Taken::Old) => log::warn!(server = name, fence = order.fence; "order refused as old"),
        Err(cause) => log::warn!(server = name, cause:% = cause; "order not given"),
    }
    given.is_ok()
}
