//! Keeps the division of nodes and servers into cells up to date with the published list and the
//! settings.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use clock::Clock;
use fleet::cells::{Division, Member, Size, divide};
use policy::{Policy, Share};
use settings::Effective;

use crate::state::State;

/// This node's part of the division in force, and what the division was computed from.
#[derive(Default)]
pub(crate) struct Cells {
    /// Hash of the nodes and servers that the division was computed from.
    input_hash: u64,
    /// A revision of the settings, and a hash of the servers in it as far as the division depends on
    /// them: most revisions don't change it, and dividing a large fleet takes tens of milliseconds.
    server_hash: (u64, u64),
    own_cell: u32,
    count: u32,
    /// Servers that this node uses, by the key of their name.
    servers: BTreeMap<u32, ids::Server>,
}

impl Cells {
    /// Servers that this node uses, by the key of their name: those of its cell, and those of models that
    /// no server of the cell has.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (u32, ids::Server)> {
        self.servers.iter().map(|(name, key)| (*name, *key))
    }

    /// The server with a key of its name, if this node uses it.
    pub(crate) fn server(&self, name: u32) -> Option<ids::Server> {
        self.servers.get(&name).copied()
    }

    /// Number of cells.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Number of this node's cell.
    pub(crate) fn own_cell(&self) -> u32 {
        self.own_cell
    }
}

/// Computes the division again if what it depends on changed.
pub(crate) fn update(state: &State) {
    let Some(settings) = state.settings() else { return };
    let mut nodes: Vec<_> = {
        let view = state.view.borrow();
        let listed = view.members().filter(|(_, member)| member.listed);
        listed.map(|(_, member)| (member.key, wire::key(&member.domain))).collect()
    };
    let own = wire::key(&state.node.name);
    nodes.push((own, wire::key(&state.node.domain)));
    nodes.sort_unstable();
    let mut server_hash = state.cells.borrow().server_hash;
    if server_hash.0 != settings.revision {
        let models: Vec<_> = settings.servers.values().map(|server| &server.models).collect();
        server_hash = (settings.revision, hash(&(server_members(&settings), models)));
        state.cells.borrow_mut().server_hash = server_hash;
    }
    let input_hash = hash(&(server_hash.1, &nodes));
    if state.cells.borrow().input_hash == input_hash {
        return;
    }
    let division = divide_fleet(&settings, &nodes);
    let cell = division.nodes[&own];
    let cell_nodes =
        division.nodes.iter().filter(|(_, other)| **other == cell).map(|(key, _)| *key);
    let cell_nodes: BTreeSet<u32> = cell_nodes.collect();
    log::info!(cell = cell, of = division.count, nodes = cell_nodes.len(); "cell");
    state.view.borrow_mut().set_cell_nodes(cell_nodes);
    let servers = used_servers(&settings, &division, cell);
    let now = state.clock.now();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    for (key, server) in &settings.servers {
        if !servers.contains_key(&wire::key(&server.name)) {
            scheduler.set_share(key, Share { slots: 0, sent: 0, waiting: None }, now);
        }
    }
    *state.cells.borrow_mut() =
        Cells { input_hash, server_hash, own_cell: cell, count: division.count, servers };
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn divide_fleet(settings: &Effective, nodes: &[(u32, u32)]) -> Division {
    let nodes: Vec<_> =
        nodes.iter().map(|(key, domain)| Member { key: *key, domain: *domain, group: 0 }).collect();
    let size = Size { nodes: settings.limits.cell_nodes, servers: settings.limits.cell_servers };
    divide(&nodes, &server_members(settings), size)
}

/// The servers with their failure domains and the groups that are distributed evenly over the cells.
fn server_members(settings: &Effective) -> Vec<Member> {
    let member = |server: &std::rc::Rc<settings::Server>| Member {
        key: wire::key(&server.name),
        domain: wire::key(settings.domain_names.name(server.domain)),
        group: server.models.first().map_or(0, |m| wire::key(settings.model_names.name(*m))),
    };
    settings.servers.values().map(member).collect()
}

/// The servers of the cell, and those of models that no server of the cell has.
fn used_servers(
    settings: &Effective,
    division: &Division,
    cell: u32,
) -> BTreeMap<u32, ids::Server> {
    let named = settings.servers.iter().map(|(key, server)| (wire::key(&server.name), key, server));
    let own = |name: u32| division.servers[&name] == cell;
    let in_cell = named.clone().filter(|(name, _, _)| own(*name));
    let served: BTreeSet<_> = in_cell.flat_map(|(_, _, s)| s.models.iter().copied()).collect();
    let used = named.filter(|(name, _, server)| {
        own(*name) || server.models.iter().any(|model| !served.contains(model))
    });
    used.map(|(name, key, _)| (name, key)).collect()
}

/// Waiting requests and free slots of this node's cell by tier, as far as this node knows.
pub(crate) fn load_by_tier(state: &State, own: &fleet::exchange::LocalState) -> Vec<wire::Cell> {
    let Some(settings) = state.settings() else { return vec![] };
    let cells = state.cells.borrow();
    let view = state.view.borrow();
    let now = state.clock.now();
    let fresh =
        view.cell_peers().map(|(_, member)| member).filter(|member| view.is_fresh(member, now));
    let last = fresh.filter_map(|member| member.last_frame.as_ref());
    let rows: Vec<_> = last.flat_map(|last| &last.demand).chain(&own.demand).copied().collect();
    let servers = cells.servers().filter_map(|(_, key)| settings.servers.get(key));
    let slots: u32 = servers.map(|server| server.slots).sum();
    let in_flight: u32 = rows.iter().map(|row| row.in_flight).sum();
    let tiers: BTreeSet<u8> = settings.classes.values().map(|class| class.rank).collect();
    let load = |tier: u8| wire::Cell {
        cell: cells.own_cell(),
        age_ms: 0,
        tier,
        waiting: rows.iter().filter(|row| row.tier == tier).map(|row| row.waiting).sum(),
        free: slots.saturating_sub(in_flight),
    };
    tiers.into_iter().map(load).collect()
}
