//! Leaves out of a seed's answers what nodes needn't know of an engine.
//!
//! Load pattern: hundreds of nodes, each of which is sent every change at every busy engine. Most of these changes are
//! prompts that nobody waits for, and the answers cost more bytes than the requests.

use wire::gossip::Load;

/// Part of an engine's slots from which on the number of occupied ones is passed on. Below it nobody waits for
/// a slot.
const CROWDED_PART: f64 = 0.5;
/// Prefill of an engine in ms up to which it isn't passed on where other engines are in reserve: about one long
/// prompt. A node that doesn't know of it may choose that engine, where its request then waits for less than it would
/// notice.
const QUIET_MS: u32 = 150;

/// What nodes are sent of the load of an engine with so many slots; none if that is nothing.
pub(super) fn needed(mut load: Load, slots: u32, has_reserve: bool) -> Option<Load> {
    if has_reserve && load.prefill_ms.iter().sum::<u32>() <= QUIET_MS {
        load.prefill_ms.clear();
    }
    let occupied: u32 = load.occupied.iter().sum();
    if f64::from(occupied) < f64::from(slots) * CROWDED_PART {
        load.occupied.clear();
    }
    let amounts = [&load.prefill_ms, &load.overdue_ms, &load.occupied];
    amounts.iter().any(|amounts| !amounts.is_empty()).then_some(load)
}

#[cfg(test)]
mod tests;
