//! What each node of a cell has and wants at one server, out of what they told.
//!
//! The pattern: work waits on a node for any of several servers, so it can't be counted whole at
//! each. Counted whole, ten waiting calls would claim ten places at every server and push the
//! neighbours out; not counted, a node without places would never get one. So what waits claims at
//! each server its part of the places of all, and what is in flight there claims its own.

use std::time::Instant;

use wire::{Demand, InFlight, Queued};

use crate::exchange::Own;
use crate::share::{Claim, Need, Voice};
use crate::view::{Member, Standing, View};

/// A server, as claims see it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of its name.
    pub server: u32,
    /// Its part of the places of all servers.
    pub part: f64,
    /// Its models by key, each with its part of the places of all servers of the model.
    pub models: Vec<(u32, f64)>,
}

/// The claim of a node by what it tells of itself.
///
/// ```
/// use fleet::claims::Target;
/// let own = fleet::exchange::Own { name: "entry-0".into(), ..Default::default() };
/// let target = Target { server: 7, part: 0.5, models: vec![(9, 1.0)] };
/// assert_eq!(fleet::claims::own(&own, &target).sent, 0);
/// ```
pub fn own(own: &Own, target: &Target) -> Claim {
    let found = own.sent.iter().find(|sent| sent.key == target.server);
    let sent = found.map_or(0, |sent| sent.count);
    Claim {
        node: wire::key(&own.name),
        voice: Voice::Fresh,
        needs: needs(&own.demand, &own.waits, sent, target),
        sent,
        waiting: waiting(&own.waits, target),
    }
}

/// The claims of the cell's other nodes.
///
/// ```
/// let target = fleet::claims::Target { server: 7, part: 0.5, models: vec![] };
/// let claims = fleet::claims::peers(&fleet::View::new(), &target, std::time::Instant::now());
/// assert!(claims.is_empty());
/// ```
pub fn peers(view: &View, target: &Target, now: Instant) -> Vec<Claim> {
    view.mates().map(|(_, member)| peer(view, member, target, now)).collect()
}

/// The claim of a node on a workspace's limit: what it has in flight, and one more.
///
/// ```
/// let own = fleet::exchange::Own { name: "entry-0".into(), ..Default::default() };
/// assert!(fleet::claims::own_workspace(&own, 7).needs.is_empty());
/// ```
pub fn own_workspace(own: &Own, workspace: u32) -> Claim {
    on_limit(wire::key(&own.name), Voice::Fresh, &own.workspaces, workspace)
}

/// The claims of the cell's other nodes on a workspace's limit.
///
/// ```
/// let view = fleet::View::new();
/// assert!(fleet::claims::peers_workspace(&view, 7, std::time::Instant::now()).is_empty());
/// ```
pub fn peers_workspace(view: &View, workspace: u32, now: Instant) -> Vec<Claim> {
    let claim = |member: &Member| {
        let rows = member.last.as_ref().map_or(&[][..], |last| &last.workspaces);
        on_limit(member.key, voice(view, member, now), rows, workspace)
    };
    view.mates().map(|(_, member)| claim(member)).collect()
}

fn on_limit(node: u32, voice: Voice, rows: &[InFlight], workspace: u32) -> Claim {
    let sent = rows.iter().find(|row| row.key == workspace).map_or(0, |row| row.count);
    let need = Need { tier: 0, places: f64::from(sent + 1) };
    let needs = if sent > 0 && voice == Voice::Fresh { vec![need] } else { vec![] };
    Claim { node, voice, needs, sent, waiting: None }
}

fn voice(view: &View, member: &Member, now: Instant) -> Voice {
    match view.standing(member, now) {
        _ if member.leaving() => Voice::Leaving,
        Standing::Silent => Voice::Silent,
        _ if view.fresh(member, now) => Voice::Fresh,
        _ => Voice::Stale,
    }
}

fn peer(view: &View, member: &Member, target: &Target, now: Instant) -> Claim {
    let sent = member.sent.get(&target.server).copied().unwrap_or(0);
    let voice = voice(view, member, now);
    let fresh = member.last.as_ref().filter(|_| voice == Voice::Fresh);
    let demand = fresh.map_or(&[][..], |last| &last.demand);
    let waits = fresh.map_or(&[][..], |last| &last.queued);
    let needs = needs(demand, waits, sent, target);
    Claim { node: member.key, voice, needs, sent, waiting: waiting(waits, target) }
}

/// Places that a node could fill at one server, by tier: those it fills, by the tiers of its work
/// in flight, and its part of what waits.
fn needs(demand: &[Demand], waits: &[Queued], sent: u32, target: &Target) -> Vec<Need> {
    let all: u32 = demand.iter().map(|row| row.in_flight).sum();
    let filled = |row: &Demand| f64::from(sent) * f64::from(row.in_flight) / f64::from(all.max(1));
    let waiting = |row: &Demand| {
        // Demand is a mean over seconds; when nothing waits just now, its models aren't known.
        if waits.is_empty() {
            return f64::from(row.waiting) * target.part;
        }
        let rows = waits.iter().filter(|wait| wait.tier == row.tier);
        rows.map(|wait| f64::from(wait.count) * part(target, wait.model)).sum()
    };
    let need = |row: &Demand| Need { tier: row.tier, places: filled(row) + waiting(row) };
    demand.iter().map(need).collect()
}

fn part(target: &Target, model: u32) -> f64 {
    target.models.iter().find(|(held, _)| *held == model).map_or(0.0, |(_, part)| *part)
}

fn waiting(waits: &[Queued], target: &Target) -> Option<u8> {
    let rows = waits.iter().filter(|wait| wait.count > 0 && part(target, wait.model) > 0.0);
    rows.map(|wait| wait.tier).min()
}
