//! Computes this node's shares of the servers' slots and of the workspaces' limits from the peers'
//! reports.

use std::time::UNIX_EPOCH;

use clock::Clock;
use fleet::claims::{self, Target};
use fleet::exchange::LocalState;
use fleet::share::Pool;
use policy::Policy;
use slotmap::SecondaryMap;

use crate::state::State;

/// Computes this node's share of each server and of each limited workspace, and passes them to the
/// scheduler.
pub(crate) fn update(state: &State, own: &LocalState) {
    let Some(settings) = state.settings() else { return };
    let now = state.clock.now();
    let mut history = state.history.borrow_mut();
    history.record(now, own.clone());
    let empty = LocalState { name: own.name.clone(), ..Default::default() };
    let settled = history.settled(now).unwrap_or(&empty);
    let view = state.view.borrow();
    let cells = state.cells.borrow();
    let since_1970 = state.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let used =
        || cells.servers().filter_map(|(name, key)| Some((name, key, settings.servers.get(key)?)));
    let mut unroutable = state.unroutable.borrow().clone();
    let fresh =
        view.cell_peers().map(|(_, member)| member).filter(|member| view.is_fresh(member, now));
    unroutable.extend(
        fresh.filter_map(|member| member.last_frame.as_ref()).flat_map(|last| &last.suspects),
    );
    // Waiting requests count at each server by the server's fraction of all slots.
    let mut all_slots = 0.0;
    let mut by_model: SecondaryMap<ids::Model, f64> = SecondaryMap::new();
    for (_, _, server) in used() {
        all_slots += f64::from(server.slots);
        for model in &server.models {
            let sum = by_model.get(*model).copied().unwrap_or(0.0);
            by_model.insert(*model, sum + f64::from(server.slots));
        }
    }
    let mut scheduler = state.driver.scheduler.borrow_mut();
    for (name, key, server) in used() {
        if unroutable.contains(&name) {
            scheduler.set_share(key, policy::Share { slots: 0, sent: 0, waiting: None }, now);
            continue;
        }
        let slots = f64::from(server.slots);
        let fraction = |model: &ids::Model| {
            (wire::key(settings.model_names.name(*model)), slots / by_model[*model])
        };
        let models = server.models.iter().map(fraction).collect();
        let target = Target { server: name, fraction: slots / all_slots, models };
        let peers = claims::peer_claims(&view, &target, now);
        let claimed = claims::own_claim(settled, &target);
        let need = claims::own_claim(own, &target).needs.iter().map(|need| need.slots).sum();
        let share = Pool::new(name, server.slots, since_1970).share(&claimed, need, &peers);
        let share = policy::Share {
            slots: share.slots,
            sent: share.peers_in_flight,
            waiting: share.waiting_tier,
        };
        scheduler.set_share(key, share, now);
    }
    for (key, workspace) in settings.workspaces.iter().filter(|(_, w)| w.in_flight < u32::MAX) {
        let name = wire::key(&workspace.name);
        let peers = claims::peer_workspace_claims(&view, name, now);
        let claimed = claims::own_workspace_claim(settled, name);
        let need = f64::from(scheduler.in_flight(key) + 1);
        let pool = Pool::new(name, workspace.in_flight, since_1970);
        // At least one, so that no caller waits for the next exchange. The limit may be exceeded by at
        // most one request for each node.
        scheduler.set_in_flight_limit(key, pool.share(&claimed, need, &peers).slots.max(1));
    }
}
