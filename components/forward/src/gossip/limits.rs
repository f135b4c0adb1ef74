//! Exchanges the rate limits that servers name, and the permits that seeds issue, between nodes and seeds.

use std::time::{Duration, Instant};

use clock::Clock;
use policy::RateLimit;
use wire::gossip::{Limit, Position, Report, Summary};

use super::cursor::Cursor;
use crate::adapter::Adapter;
use crate::limits;
use crate::state::State;

/// Time in seconds over which a limit is given on the wire: there it is a whole number of requests.
const RATE_SECONDS: f64 = 1_000.0;

/// Adds to a report the limits that the seed may not have, and the version up to which the node has the seed's.
pub(super) fn add_to_report<A: Adapter>(
    state: &State<A>,
    cursor: &mut Cursor,
    report: Report,
) -> Report {
    let (limits, version) =
        state.rate_limits.throttle.borrow().changes_since(cursor.acknowledged());
    cursor.begin_report(version);
    let limits = to_wire(&limits, state.clock.now());
    Report { limits, limits_known: cursor.received(), ..report }
}

/// Applies the limits and permits in a seed's answer.
pub(super) fn apply_summary<A: Adapter>(state: &State<A>, cursor: &mut Cursor, summary: &Summary) {
    if !state.replica.borrow().is_loaded() {
        // Limits of servers that aren't listed are dropped, so the answer must be sent again once servers are
        // known.
        return;
    }
    let now = state.clock.now();
    cursor.record_answer(summary.position.boot, summary.limits_version);
    let before = state.rate_limits.throttle.borrow().version();
    limits::merge_reported(state, summary.limits.iter().filter_map(|limit| from_wire(limit, now)));
    cursor.skip_learned(before, state.rate_limits.throttle.borrow().version());
    limits::add_permits(state, &summary.permits);
}

/// Merges the limits that a node or another seed reports, and adds to the answer those that it may not have.
/// `permits` are for nodes only; a seed gets none.
pub(super) fn merge_and_add_to_summary<A: Adapter>(
    state: &State<A>,
    (reported, known): (&[Limit], u64),
    at: Option<Position>,
    summary: Summary,
    permits: Vec<(u32, u32)>,
) -> Summary {
    let now = state.clock.now();
    limits::merge_reported(state, reported.iter().filter_map(|limit| from_wire(limit, now)));
    let known = at.filter(|at| at.boot == summary.position.boot).map_or(0, |_| known);
    let (limits, limits_version) = state.rate_limits.throttle.borrow().changes_since(known);
    Summary { limits: to_wire(&limits, now), limits_version, permits, ..summary }
}

/// Limits in the form in which they are sent. Times are sent as ages, since the clocks of nodes differ.
fn to_wire(limits: &[RateLimit], now: Instant) -> Vec<Limit> {
    let row = |limit: &RateLimit| {
        let age = now.saturating_duration_since(limit.at).as_millis();
        Limit {
            server: limit.server,
            rate: limit.rate.map(|rate| (rate * RATE_SECONDS).round() as u32),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    };
    limits.iter().map(row).collect()
}

/// A limit from another node; none if it is older than this node's clock can represent.
fn from_wire(limit: &Limit, now: Instant) -> Option<RateLimit> {
    let at = now.checked_sub(Duration::from_millis(limit.age_ms.into()))?;
    let rate = limit.rate.map(|rate| f64::from(rate) / RATE_SECONDS);
    Some(RateLimit { server: limit.server, rate, at })
}
