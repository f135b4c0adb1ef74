//! Follows what the published list and the settings make of the cells.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use clock::Clock;
use fleet::cells::{Division, Member, Size, divide};
use policy::{Policy, Share};
use settings::Effective;

use crate::state::State;

/// The division in force, and what it was worked out from.
#[derive(Default)]
pub(crate) struct Cells {
    basis: u64,
    /// The revision, and a hash of its servers' facts: most revisions change none of them, and
    /// dividing a large fleet takes tens of milliseconds.
    facts: (u64, u64),
    own: u32,
    count: u32,
    /// Servers that this node uses, by the key of their name.
    servers: BTreeMap<u32, ids::Server>,
}

impl Cells {
    /// Servers that this node uses, by the key of their name: those of its cell, and those of models
    /// that the cell has no server of.
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
    pub(crate) fn own(&self) -> u32 {
        self.own
    }
}

/// Works the division out anew if what it depends on changed.
pub(crate) fn follow(state: &State) {
    let Some(settings) = state.settings() else { return };
    let mut nodes: Vec<_> = {
        let view = state.view.borrow();
        let listed = view.members().filter(|(_, member)| member.listed);
        listed.map(|(_, member)| (member.key, wire::key(&member.domain))).collect()
    };
    let own = wire::key(&state.node.name);
    nodes.push((own, wire::key(&state.node.domain)));
    nodes.sort_unstable();
    let mut facts = state.cells.borrow().facts;
    if facts.0 != settings.revision {
        let models: Vec<_> = settings.servers.values().map(|server| &server.models).collect();
        facts = (settings.revision, hash(&(places(&settings), models)));
        state.cells.borrow_mut().facts = facts;
    }
    let basis = hash(&(facts.1, &nodes));
    if state.cells.borrow().basis == basis {
        return;
    }
    let division = divided(&settings, &nodes);
    let cell = division.nodes[&own];
    let mates = division.nodes.iter().filter(|(_, held)| **held == cell).map(|(key, _)| *key);
    let mates: BTreeSet<u32> = mates.collect();
    log::info!(cell = cell, of = division.count, nodes = mates.len(); "cell");
    state.view.borrow_mut().set_cell_nodes(mates);
    let servers = servers(&settings, &division, cell);
    let now = state.clock.now();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    for (key, server) in &settings.servers {
        if !servers.contains_key(&wire::key(&server.name)) {
            scheduler.set_share(key, Share { slots: 0, sent: 0, waiting: None }, now);
        }
    }
    *state.cells.borrow_mut() = Cells { basis, facts, own: cell, count: division.count, servers };
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn divided(settings: &Effective, nodes: &[(u32, u32)]) -> Division {
    let nodes: Vec<_> =
        nodes.iter().map(|(key, domain)| Member { key: *key, domain: *domain, group: 0 }).collect();
    let size = Size { nodes: settings.limits.cell_nodes, servers: settings.limits.cell_servers };
    divide(&nodes, &places(settings), size)
}

/// Where the servers stand, and what they are dealt out by.
fn places(settings: &Effective) -> Vec<Member> {
    let place = |server: &std::rc::Rc<settings::Server>| Member {
        key: wire::key(&server.name),
        domain: wire::key(settings.domain_names.name(server.domain)),
        group: server.models.first().map_or(0, |m| wire::key(settings.model_names.name(*m))),
    };
    settings.servers.values().map(place).collect()
}

fn servers(settings: &Effective, division: &Division, cell: u32) -> BTreeMap<u32, ids::Server> {
    let named = settings.servers.iter().map(|(key, server)| (wire::key(&server.name), key, server));
    let own = |name: u32| division.servers[&name] == cell;
    let mine = named.clone().filter(|(name, _, _)| own(*name));
    let served: BTreeSet<_> = mine.flat_map(|(_, _, s)| s.models.iter().copied()).collect();
    let used = named.filter(|(name, _, server)| {
        own(*name) || server.models.iter().any(|model| !served.contains(model))
    });
    used.map(|(name, key, _)| (name, key)).collect()
}

/// Work of this node's cell by tier, as far as it knows.
pub(crate) fn sum(state: &State, own: &fleet::exchange::LocalState) -> Vec<wire::Cell> {
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
    let sent: u32 = rows.iter().map(|row| row.in_flight).sum();
    let ranks: BTreeSet<u8> = settings.classes.values().map(|class| class.rank).collect();
    let sum = |tier: u8| wire::Cell {
        cell: cells.own(),
        age_ms: 0,
        tier,
        waiting: rows.iter().filter(|row| row.tier == tier).map(|row| row.waiting).sum(),
        free: slots.saturating_sub(sent),
    };
    ranks.into_iter().map(sum).collect()
}
