use std::time::{Duration, Instant};

use super::{DECLINED_PAUSE, Guard, brittle_share};

/// Spreads numbers over all 64 bits, as hashes of names are.
fn hash(node: u64, server: u64) -> u64 {
    let mut mixed = (node << 32 | server).wrapping_add(0x9e37_79b9_7f4a_7c15);
    for shift in [30, 27, 31] {
        mixed = (mixed ^ (mixed >> shift)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    mixed
}

fn total_share(slots: u32, nodes: u32, server: u64) -> u32 {
    (0..nodes).map(|node| brittle_share(slots, nodes, hash(node.into(), server))).sum()
}

/// All nodes use the server to the full at the same moment. Together they must not exceed its slots.
#[test]
fn the_parts_of_all_nodes_fit_into_the_slots() {
    for (slots, nodes) in [(128, 7), (128, 8), (128, 71), (64, 9), (6, 6), (6, 1)] {
        let total = total_share(slots, nodes, 1);
        assert!(total <= slots, "{total} at {slots} slots by {nodes} nodes");
        assert!(total * 2 > slots, "{total} of {slots} slots used by {nodes} nodes");
    }
}

/// There are more nodes than slots. On average as many nodes use a server as it has slots, and none far more.
#[test]
fn a_server_with_few_slots_is_used_by_few_nodes() {
    for (slots, nodes) in [(6, 7), (6, 71), (6, 295), (128, 295), (128, 584)] {
        let totals: Vec<_> = (0..200).map(|server| total_share(slots, nodes, server)).collect();
        let mean = f64::from(totals.iter().sum::<u32>()) / totals.len() as f64;
        assert!((mean / f64::from(slots) - 1.0).abs() < 0.1, "{mean} of {slots}, {nodes} nodes");
        let bound = slots + (4.0 * f64::from(slots).sqrt()) as u32;
        assert!(totals.iter().all(|total| *total <= bound), "{slots}, {nodes}: {totals:?}");
    }
}

/// A server declines although its node kept to its part. If the node went on, the server would crash.
#[test]
fn a_server_that_declined_is_left_alone() {
    let (mut guard, now) = (Guard::new(2), Instant::now());
    assert!(guard.admits(1, now) && !guard.admits(2, now));
    guard.record_declined(now);
    assert!(!guard.admits(0, now + DECLINED_PAUSE - Duration::from_millis(1)));
    assert!(guard.admits(0, now + DECLINED_PAUSE));
}
