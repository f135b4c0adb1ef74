//! Tests the shares of one server by the number of requests that all nodes together may put on it.

use fleet::share::{Claim, Freshness, Need, Pool};
use proptest::prelude::*;

fn claim(node: u32, tier: u8, slots: f64, in_flight: u32) -> Claim {
    let waiting_tier = (slots > f64::from(in_flight)).then_some(tier);
    Claim {
        node,
        freshness: Freshness::Fresh,
        needs: vec![Need { tier, slots }],
        in_flight,
        waiting_tier,
    }
}

/// The slots of each node's share.
fn shares(pool: Pool, claims: &[Claim]) -> Vec<u32> {
    let share = |own: &Claim| {
        let peers: Vec<_> = claims.iter().filter(|c| c.node != own.node).cloned().collect();
        pool.share(own, 0.0, &peers).slots
    };
    claims.iter().map(share).collect()
}

/// The claims as seen from one side of a partition: nodes of the other sides are unreachable.
fn claims_from_side(claims: &[Claim], side: impl Fn(u32) -> bool) -> Vec<Claim> {
    let freshness = |node| if side(node) { Freshness::Fresh } else { Freshness::Unreachable };
    claims
        .iter()
        .map(|c| Claim { freshness: freshness(c.node), in_flight: 0, ..c.clone() })
        .collect()
}

#[test]
fn can_divide_by_demand() {
    let pool = Pool { key: 5, slots: 12, round: 0 };
    let claims = [claim(1, 0, 9.0, 0), claim(2, 0, 1.0, 0), claim(3, 0, 2.0, 0)];
    assert_eq!(shares(pool, &claims), [9, 1, 2]);
    let claims = [claim(1, 0, 0.0, 0), claim(2, 0, 0.0, 0), claim(3, 0, 0.0, 0)];
    assert_eq!(shares(pool, &claims), [4, 4, 4]);
}

// Drafts fill a server from one node, and bookings are queued on another. If slots were divided by demand
// alone, the bookings would wait for a hundred drafts of the other node.
#[test]
fn can_put_a_top_tier_first_across_nodes() {
    let pool = Pool { key: 5, slots: 8, round: 0 };
    let claims = [claim(1, 2, 100.0, 0), claim(2, 0, 3.0, 0)];
    assert_eq!(shares(pool, &claims), [5, 3]);
    let peers = [claims[1].clone()];
    assert_eq!(pool.share(&claims[0], 0.0, &peers).waiting_tier, Some(0));
}

// Seven nodes share a server with four slots: each has little more than half a slot. A node whose part were
// always rounded down could never use the server.
#[test]
fn can_rotate_slots_among_more_nodes_than_slots() {
    let claims: Vec<_> = (1..=7).map(|node| claim(node, 0, 4.0, 0)).collect();
    let mut longest = [0; 7];
    let mut since = [0; 7];
    for round in 0..1000 {
        let shares = shares(Pool { key: 77, slots: 4, round }, &claims);
        assert_eq!(shares.iter().sum::<u32>(), 4, "round {round}");
        for (node, slots) in shares.iter().enumerate() {
            since[node] = if *slots == 0 { since[node] + 1 } else { 0 };
            longest[node] = since[node].max(longest[node]);
        }
    }
    assert!(longest.iter().all(|rounds| *rounds <= 2), "rounds without a slot: {longest:?}");
}

// A request arrives at an idle node whose share is rounded down to no slot, while the server is idle. The
// node must be able to use the server at once.
#[test]
fn can_use_an_empty_server_at_once() {
    for round in 0..20 {
        let claims: Vec<_> = (1..=7).map(|node| claim(node, 0, 0.0, 0)).collect();
        let share = Pool { key: 77, slots: 4, round }.share(&claims[0], 1.0, &claims[1..]);
        assert!(share.slots >= 1);
    }
}

// A node becomes unreachable: it may have failed, or be on the other side of a partition and as busy as
// before. The others may use only half of its slots.
#[test]
fn can_use_half_of_an_unreachable_nodes_slots() {
    let claims: Vec<_> = (1..=4).map(|node| claim(node, 0, 20.0, 0)).collect();
    let claims = claims_from_side(&claims, |node| node != 4);
    let pool = Pool { key: 5, slots: 16, round: 0 };
    assert_eq!(shares(pool, &claims)[..3].iter().sum::<u32>(), 14);
}

// A leaving node accepts no new work, so the others get its slots at once, except those of its requests in
// flight.
#[test]
fn can_use_all_of_a_leaving_nodes_slots() {
    let mut claims = [claim(1, 0, 20.0, 0), claim(2, 0, 20.0, 2)];
    claims[1].freshness = Freshness::Leaving;
    let share = Pool { key: 5, slots: 8, round: 0 }.share(&claims[0], 0.0, &claims[1..]);
    assert_eq!(share.slots, 6);
}

fn any_claims() -> impl Strategy<Value = Vec<Claim>> {
    let one = (0u8..3, 0.0..20.0f64, 0u32..3);
    prop::collection::vec(one, 1..9).prop_map(|rows| {
        let rows = rows.into_iter().enumerate();
        rows.map(|(i, (tier, slots, in_flight))| claim(i as u32 + 1, tier, slots, in_flight))
            .collect()
    })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // All nodes receive each other's reports: the shares must not exceed the server's slots.
    #[test]
    fn can_keep_all_shares_within_the_slots(claims in any_claims(), slots in 1u32..40, key: u32, round in 0u64..9999) {
        let sum: u32 = shares(Pool { key, slots, round }, &claims).iter().sum();
        prop_assert!(sum <= slots, "{sum} of {slots}");
    }

    // The fleet splits into up to four sides for an hour, and the nodes of each side claim as much as they can. The
    // overload of a server makes requests queue at engines, and must be at most half its slots.
    #[test]
    fn can_bound_the_overload_in_a_partition(
        claims in any_claims(), slots in 1u32..40, key: u32, round in 0u64..9999, sides in 2u32..5,
    ) {
        let mut sum = 0;
        for side in 0..sides {
            let claims = claims_from_side(&claims, |node| node % sides == side);
            let live: Vec<_> = claims.iter().filter(|c| c.freshness == Freshness::Fresh).collect();
            for own in live {
                let peers: Vec<_> = claims.iter().filter(|c| c.node != own.node).cloned().collect();
                sum += Pool { key, slots, round }.share(own, 0.0, &peers).slots;
            }
        }
        prop_assert!(f64::from(sum) <= f64::from(slots) * 1.5 + f64::from(sides), "{sum} of {slots}");
    }

    // Demand changes on all nodes at once, and none has received the others' reports of it yet.
    #[test]
    fn can_bound_the_overload_when_demand_changes(
        claims in any_claims(), slots in 1u32..40, key: u32, round in 0u64..9999,
    ) {
        let nodes = claims.len() as u32;
        let share = |own: &Claim| {
            let peers: Vec<_> = claims.iter().filter(|c| c.node != own.node).cloned().collect();
            Pool { key, slots, round }.share(own, 1e6, &peers).slots
        };
        let sum: u32 = claims.iter().map(share).sum();
        prop_assert!(sum <= slots + slots.div_ceil(2) + nodes, "{sum} of {slots}, {nodes} nodes");
    }
}

// Bookings for another model are queued on another node. They can't use this server, so they must neither
// claim its slots nor hold back its callers.
#[test]
fn can_distinguish_models() {
    let target = fleet::claims::Target { server: 5, fraction: 0.5, models: vec![(1, 1.0)] };
    let row = wire::Demand { tier: 0, waiting: 9, in_flight: 0 };
    let queued = |model| vec![wire::Queued { model, tier: 0, count: 9 }];
    let local = |model| fleet::exchange::LocalState {
        demand: vec![row],
        queued: queued(model),
        ..Default::default()
    };
    let (same, other) = (
        fleet::claims::own_claim(&local(1), &target),
        fleet::claims::own_claim(&local(2), &target),
    );
    assert_eq!((same.needs[0].slots, same.waiting_tier), (9.0, Some(0)));
    assert_eq!((other.needs[0].slots, other.waiting_tier), (0.0, None));
}
