//! Exchange of the rate limits that servers name, and the permits that seeds hand out.

use std::time::{Duration, Instant};

use clock::Clock;
use policy::RateLimit;
use wire::gossip::{Limit, Position, Report, Summary};

use super::cursor::Cursor;
use crate::adapter::Adapter;
use crate::limits;
use crate::state::State;

/// Limits are reported as requests in so many seconds, in whole numbers.
const RATE_SECONDS: f64 = 1_000.0;

/// Adds to a report what the seed may not know, and asks for the rest.
pub(super) fn report<A: Adapter>(state: &State<A>, cursor: &mut Cursor, report: Report) -> Report {
    let (named, version) = state.rate_limits.throttle.borrow().changes_since(cursor.reported());
    cursor.report(version);
    let limits = to_wire(&named, state.clock.now());
    Report { limits, limits_known: cursor.received(), ..report }
}

/// Takes in a seed's answer, with the permits in it.
pub(super) fn answered<A: Adapter>(state: &State<A>, cursor: &mut Cursor, summary: &Summary) {
    if !state.loaded.get() {
        // What is said of servers that aren't listed yet would be lost.
        return;
    }
    let now = state.clock.now();
    cursor.answered(summary.at.boot, summary.limits_at);
    let before = state.rate_limits.throttle.borrow().version();
    limits::learn(state, summary.limits.iter().filter_map(|limit| from_wire(limit, now)));
    cursor.learned(before, state.rate_limits.throttle.borrow().version());
    limits::permit(state, &summary.permits);
}

/// Takes in what a node or another seed reports, and adds to its answer what it may not know. Nodes get
/// permits as well.
pub(super) fn answer<A: Adapter>(
    state: &State<A>,
    (reported, known): (&[Limit], u64),
    at: Option<Position>,
    summary: Summary,
    permits: Vec<(u32, u32)>,
) -> Summary {
    let now = state.clock.now();
    limits::learn(state, reported.iter().filter_map(|limit| from_wire(limit, now)));
    let known = at.filter(|at| at.boot == summary.at.boot).map_or(0, |_| known);
    let (named, limits_at) = state.rate_limits.throttle.borrow().changes_since(known);
    Summary { limits: to_wire(&named, now), limits_at, permits, ..summary }
}

/// Limits as they go to other nodes: their clocks differ, so times are ages.
fn to_wire(named: &[RateLimit], now: Instant) -> Vec<Limit> {
    let limit = |named: &RateLimit| {
        let age = now.saturating_duration_since(named.at).as_millis();
        Limit {
            server: named.server,
            rate: named.rate.map(|rate| (rate * RATE_SECONDS).round() as u32),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    };
    named.iter().map(limit).collect()
}

/// A limit that another node received; none if it is older than this node's clock can tell.
fn from_wire(limit: &Limit, now: Instant) -> Option<RateLimit> {
    let at = now.checked_sub(Duration::from_millis(limit.age_ms.into()))?;
    let rate = limit.rate.map(|rate| f64::from(rate) / RATE_SECONDS);
    Some(RateLimit { server: limit.server, rate, at })
}
