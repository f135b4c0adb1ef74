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

/// Part of an engine's memory that running requests and what is inserted in ten seconds must exceed: below it, nothing
/// is evicted early, and nodes decide as if nothing was known of the memory.
const CROWDED_MEMORY_PART: f64 = 0.5;
/// Ten seconds, as a multiple of the time over which inserted tokens are stated.
const TEN_SECONDS: f64 = 10.0 / 8.0;

/// What a seed knows of an engine itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Engine {
    pub(super) slots: u32,
    /// Tokens that its memory holds; none if that isn't taken into account.
    pub(super) cache_tokens: Option<u32>,
    /// Other engines are in reserve.
    pub(super) has_reserve: bool,
}

/// What nodes are sent of the load of an engine; none if that is nothing.
pub(super) fn needed(mut load: Load, engine: Engine) -> Option<Load> {
    let Engine { slots, cache_tokens, has_reserve } = engine;
    let inserted = f64::from(load.inserted_kilotokens) * TEN_SECONDS;
    let used = (f64::from(load.running_kilotokens) + inserted) * 1_000.0;
    if cache_tokens.is_none_or(|tokens| used <= f64::from(tokens) * CROWDED_MEMORY_PART) {
        load = load.without_memory();
    }
    if has_reserve && load.prefill_ms.iter().sum::<u32>() <= QUIET_MS {
        load.prefill_ms.clear();
    }
    let occupied: u32 = load.occupied.iter().sum();
    if f64::from(occupied) < f64::from(slots) * CROWDED_PART {
        load.occupied.clear();
    }
    let amounts = [&load.prefill_ms, &load.overdue_ms, &load.occupied];
    let any = amounts.iter().any(|amounts| !amounts.is_empty()) || load.has_memory();
    any.then_some(load)
}

/// The rows that a node can decode: older ones reject a message that contains a row with numbers on memory.
pub(super) fn decodable(loads: Vec<Load>, takes_memory: bool) -> Vec<Load> {
    if takes_memory { loads } else { loads.into_iter().map(Load::without_memory).collect() }
}

#[cfg(test)]
mod tests;
