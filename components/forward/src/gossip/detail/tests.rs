use wire::gossip::Load;

use super::{Engine, QUIET_MS};

const SLOTS: u32 = 16;
const CACHE_TOKENS: u32 = 200_000;

fn needed(load: Load, slots: u32, has_reserve: bool) -> Option<Load> {
    super::needed(load, Engine { slots, cache_tokens: Some(CACHE_TOKENS), has_reserve })
}

fn load(prefill_ms: u32, occupied: u32) -> Load {
    Load { prefill_ms: vec![0, prefill_ms], occupied: vec![0, occupied], ..Load::empty(7) }
}

/// Thousands of engines with one prompt each: nodes that can go to an idle one needn't know of them.
#[test]
fn single_prompts_are_left_out_where_there_is_a_reserve() {
    assert_eq!(needed(load(QUIET_MS, 1), SLOTS, true), None);
    assert!(needed(load(QUIET_MS, 1), SLOTS, false).is_some());
}

/// A queue is passed on in any case, and so is an engine whose slots run out or whose first tokens are overdue.
#[test]
fn what_requests_would_wait_for_is_passed_on() {
    assert!(needed(load(QUIET_MS + 1, 1), SLOTS, true).is_some());
    assert!(needed(load(0, SLOTS / 2), SLOTS, true).is_some());
    let overdue = Load { overdue_ms: vec![300], ..load(0, 1) };
    assert_eq!(needed(overdue, SLOTS, true).unwrap().overdue_ms, [300]);
}

/// Memory that is less than half used evicts nothing early. Passing its use on would cost bytes for each busy engine.
#[test]
fn memory_is_passed_on_once_it_is_crowded() {
    let load = |running_kilotokens, inserted_kilotokens| Load {
        running_kilotokens,
        inserted_kilotokens,
        ..Load::empty(7)
    };
    assert_eq!(needed(load(50, 40), SLOTS, true), None);
    assert_eq!(needed(load(61, 40), SLOTS, true), Some(load(61, 40)));
    let unknown = Engine { slots: SLOTS, ..Engine::default() };
    assert_eq!(super::needed(load(61, 40), unknown), None, "memory isn't stated");
}

/// During an update an older seed must still get the loads of newer nodes, without what it can't decode.
#[test]
fn older_nodes_are_sent_loads_without_memory() {
    let loads = vec![Load { running_kilotokens: 90, ..load(QUIET_MS, 1) }];
    assert_eq!(super::decodable(loads.clone(), false), [load(QUIET_MS, 1)]);
    assert_eq!(super::decodable(loads.clone(), true), loads);
}
