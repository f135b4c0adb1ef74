//! Computes each node's claim on a server's slots, from what the nodes of a cell report.
//!
//! Work queued on a node can go to any of several servers. If all of it counted at each server, ten queued
//! calls would claim ten slots at every server and crowd out the other nodes; if it didn't count, a node
//! without slots would never get one. So queued work claims at each server a part that corresponds to the
//! server's part of all slots, and requests in flight claim their own slots at their server.

use std::time::Instant;

use wire::{Demand, InFlight, Queued};

use crate::exchange::LocalState;
use crate::share::{Claim, Freshness, Need};
use crate::view::{Member, MemberStatus, View};

/// A server on whose slots nodes have claims.
#[derive(Clone, Debug)]
pub struct Target {
    /// [`wire::key`] of its name.
    pub server: u32,
    /// Its part of the slots of all servers, from 0 to 1.
    pub fraction: f64,
    /// Its models by key, each with the server's part of the slots of all servers of the model.
    pub models: Vec<(u32, f64)>,
}

/// This node's own claim.
///
/// ```
/// use fleet::claims::Target;
/// let local = fleet::exchange::LocalState { name: "entry-0".into(), ..Default::default() };
/// let target = Target { server: 7, fraction: 0.5, models: vec![(9, 1.0)] };
/// assert_eq!(fleet::claims::own_claim(&local, &target).in_flight, 0);
/// ```
pub fn own_claim(local: &LocalState, target: &Target) -> Claim {
    let found = local.in_flight.iter().find(|row| row.key == target.server);
    let in_flight = found.map_or(0, |row| row.count);
    Claim {
        node: wire::key(&local.name),
        freshness: Freshness::Fresh,
        needs: needs(&local.demand, &local.queued, in_flight, target),
        in_flight,
        waiting_tier: waiting_tier(&local.queued, target),
    }
}

/// The claims of the cell's other nodes.
///
/// ```
/// let target = fleet::claims::Target { server: 7, fraction: 0.5, models: vec![] };
/// let claims = fleet::claims::peer_claims(&fleet::View::new(), &target, std::time::Instant::now());
/// assert!(claims.is_empty());
/// ```
pub fn peer_claims(view: &View, target: &Target, now: Instant) -> Vec<Claim> {
    view.cell_peers().map(|(_, member)| peer_claim(view, member, target, now)).collect()
}

/// This node's own claim on a workspace's limit: its requests in flight, and one more.
///
/// ```
/// let local = fleet::exchange::LocalState { name: "entry-0".into(), ..Default::default() };
/// assert!(fleet::claims::own_workspace_claim(&local, 7).needs.is_empty());
/// ```
pub fn own_workspace_claim(local: &LocalState, workspace: u32) -> Claim {
    workspace_claim(wire::key(&local.name), Freshness::Fresh, &local.workspaces, workspace)
}

/// The claims of the cell's other nodes on a workspace's limit.
///
/// ```
/// let view = fleet::View::new();
/// assert!(fleet::claims::peer_workspace_claims(&view, 7, std::time::Instant::now()).is_empty());
/// ```
pub fn peer_workspace_claims(view: &View, workspace: u32, now: Instant) -> Vec<Claim> {
    let claim = |member: &Member| {
        let rows = member.last_frame.as_ref().map_or(&[][..], |last| &last.workspaces);
        workspace_claim(member.key, freshness(view, member, now), rows, workspace)
    };
    view.cell_peers().map(|(_, member)| claim(member)).collect()
}

fn workspace_claim(node: u32, freshness: Freshness, rows: &[InFlight], workspace: u32) -> Claim {
    let in_flight = rows.iter().find(|row| row.key == workspace).map_or(0, |row| row.count);
    let need = Need { tier: 0, slots: f64::from(in_flight + 1) };
    let needs = if in_flight > 0 && freshness == Freshness::Fresh { vec![need] } else { vec![] };
    Claim { node, freshness, needs, in_flight, waiting_tier: None }
}

/// How fresh the knowledge of a peer is.
fn freshness(view: &View, member: &Member, now: Instant) -> Freshness {
    match view.status(member, now) {
        _ if member.is_leaving() => Freshness::Leaving,
        MemberStatus::Unreachable => Freshness::Unreachable,
        _ if view.is_fresh(member, now) => Freshness::Fresh,
        _ => Freshness::Stale,
    }
}

fn peer_claim(view: &View, member: &Member, target: &Target, now: Instant) -> Claim {
    let in_flight = member.in_flight.get(&target.server).copied().unwrap_or(0);
    let freshness = freshness(view, member, now);
    let fresh = member.last_frame.as_ref().filter(|_| freshness == Freshness::Fresh);
    let demand = fresh.map_or(&[][..], |last| &last.demand);
    let queued = fresh.map_or(&[][..], |last| &last.queued);
    let needs = needs(demand, queued, in_flight, target);
    Claim {
        node: member.key,
        freshness,
        needs,
        in_flight,
        waiting_tier: waiting_tier(queued, target),
    }
}

/// Slots that a node could fill at one server, by tier: those that it fills, distributed like the tiers of
/// all its work in flight, and the server's part of its queued work.
fn needs(demand: &[Demand], queued: &[Queued], in_flight: u32, target: &Target) -> Vec<Need> {
    let total: u32 = demand.iter().map(|row| row.in_flight).sum();
    let filled =
        |row: &Demand| f64::from(in_flight) * f64::from(row.in_flight) / f64::from(total.max(1));
    let waiting = |row: &Demand| {
        // Demand is a mean over seconds; when no request is queued right now, the models that it was for
        // aren't known.
        if queued.is_empty() {
            return f64::from(row.waiting) * target.fraction;
        }
        let rows = queued.iter().filter(|queued| queued.tier == row.tier);
        rows.map(|queued| f64::from(queued.count) * model_fraction(target, queued.model)).sum()
    };
    let need = |row: &Demand| Need { tier: row.tier, slots: filled(row) + waiting(row) };
    demand.iter().map(need).collect()
}

/// The server's part of the slots of all servers of a model; 0 for a model that it doesn't serve.
fn model_fraction(target: &Target, model: u32) -> f64 {
    target.models.iter().find(|(key, _)| *key == model).map_or(0.0, |(_, fraction)| *fraction)
}

/// Rank of the highest tier with queued work that the server could run.
fn waiting_tier(queued: &[Queued], target: &Target) -> Option<u8> {
    let rows = queued
        .iter()
        .filter(|queued| queued.count > 0 && model_fraction(target, queued.model) > 0.0);
    rows.map(|queued| queued.tier).min()
}
