//! Turns what peers told into shares of the servers' places.

use std::time::UNIX_EPOCH;

use clock::Clock;
use fleet::claims::{self, Target};
use fleet::exchange::LocalState;
use fleet::share::Pool;
use policy::Policy;
use slotmap::SecondaryMap;

use crate::state::State;

/// Works out this node's share of each server and hands it to the decisions.
pub(crate) fn apply(state: &State, own: &LocalState) {
    let Some(settings) = state.settings() else { return };
    let now = state.clock.now();
    let mut past = state.past.borrow_mut();
    past.record(now, own.clone());
    let nobody = LocalState { name: own.name.clone(), ..Default::default() };
    let settled = past.settled(now).unwrap_or(&nobody);
    let view = state.view.borrow();
    let cells = state.cells.borrow();
    let since_1970 = state.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let used =
        || cells.servers().filter_map(|(name, key)| Some((name, key, settings.servers.get(key)?)));
    let mut unfit = state.unfit.borrow().clone();
    let fresh =
        view.cell_peers().map(|(_, member)| member).filter(|member| view.is_fresh(member, now));
    unfit.extend(
        fresh.filter_map(|member| member.last_frame.as_ref()).flat_map(|last| &last.suspects),
    );
    // What waits counts at each server by the server's part of all places.
    let mut all = 0.0;
    let mut by_model: SecondaryMap<ids::Model, f64> = SecondaryMap::new();
    for (_, _, server) in used() {
        all += f64::from(server.slots);
        for model in &server.models {
            let held = by_model.get(*model).copied().unwrap_or(0.0);
            by_model.insert(*model, held + f64::from(server.slots));
        }
    }
    let mut scheduler = state.driver.scheduler.borrow_mut();
    for (name, key, server) in used() {
        if unfit.contains(&name) {
            scheduler.set_share(key, policy::Share { slots: 0, sent: 0, waiting: None }, now);
            continue;
        }
        let slots = f64::from(server.slots);
        let part = |model: &ids::Model| {
            (wire::key(settings.model_names.name(*model)), slots / by_model[*model])
        };
        let models = server.models.iter().map(part).collect();
        let target = Target { server: name, fraction: slots / all, models };
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
        // At least one, so that no caller waits for a round: `nodes` more at most.
        scheduler.set_in_flight(key, pool.share(&claimed, need, &peers).slots.max(1));
    }
}
