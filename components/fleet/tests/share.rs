//! Shares of one server, judged by what all nodes together may put on it.

use fleet::share::{Claim, Need, Pool, Voice};
use proptest::prelude::*;

fn claim(node: u32, tier: u8, places: f64, sent: u32) -> Claim {
    let waiting = (places > f64::from(sent)).then_some(tier);
    Claim { node, voice: Voice::Fresh, needs: vec![Need { tier, places }], sent, waiting }
}

fn shares(pool: Pool, claims: &[Claim]) -> Vec<u32> {
    let one = |own: &Claim| {
        let peers: Vec<_> = claims.iter().filter(|c| c.node != own.node).cloned().collect();
        pool.share(own, 0.0, &peers).places
    };
    claims.iter().map(one).collect()
}

fn sided(claims: &[Claim], side: impl Fn(u32) -> bool) -> Vec<Claim> {
    let voice = |node| if side(node) { Voice::Fresh } else { Voice::Silent };
    claims.iter().map(|c| Claim { voice: voice(c.node), sent: 0, ..c.clone() }).collect()
}

#[test]
fn can_divide_by_demand() {
    let pool = Pool { key: 5, slots: 12, round: 0 };
    let claims = [claim(1, 0, 9.0, 0), claim(2, 0, 1.0, 0), claim(3, 0, 2.0, 0)];
    assert_eq!(shares(pool, &claims), [9, 1, 2]);
    let claims = [claim(1, 0, 0.0, 0), claim(2, 0, 0.0, 0), claim(3, 0, 0.0, 0)];
    assert_eq!(shares(pool, &claims), [4, 4, 4]);
}

// Drafts fill a server from one node, and a booking waits on another. If places went by demand
// alone, the booking would queue behind a hundred drafts of the neighbour.
#[test]
fn can_put_a_top_tier_first_across_nodes() {
    let pool = Pool { key: 5, slots: 8, round: 0 };
    let claims = [claim(1, 2, 100.0, 0), claim(2, 0, 3.0, 0)];
    assert_eq!(shares(pool, &claims), [5, 3]);
    let peers = [claims[1].clone()];
    assert_eq!(pool.share(&claims[0], 0.0, &peers).waiting, Some(0));
}

// Seven nodes before a server of four places: each has little more than half a place. A node whose
// part were always rounded down would never serve a caller from there.
#[test]
fn can_give_each_node_its_turn_where_places_are_few() {
    let claims: Vec<_> = (1..=7).map(|node| claim(node, 0, 4.0, 0)).collect();
    let mut longest = [0; 7];
    let mut since = [0; 7];
    for round in 0..1000 {
        let shares = shares(Pool { key: 77, slots: 4, round }, &claims);
        assert_eq!(shares.iter().sum::<u32>(), 4, "round {round}");
        for (node, places) in shares.iter().enumerate() {
            since[node] = if *places == 0 { since[node] + 1 } else { 0 };
            longest[node] = since[node].max(longest[node]);
        }
    }
    assert!(longest.iter().all(|rounds| *rounds <= 2), "rounds without a place: {longest:?}");
}

// A caller meets an idle node whose share is rounded to nothing, while the server stands empty.
#[test]
fn can_use_an_empty_server_at_once() {
    for round in 0..20 {
        let claims: Vec<_> = (1..=7).map(|node| claim(node, 0, 0.0, 0)).collect();
        let share = Pool { key: 77, slots: 4, round }.share(&claims[0], 1.0, &claims[1..]);
        assert!(share.places >= 1);
    }
}

// A node falls silent: it may be dead, or on the other side of a partition and as busy as ever.
#[test]
fn can_take_half_of_a_silent_nodes_places() {
    let claims: Vec<_> = (1..=4).map(|node| claim(node, 0, 20.0, 0)).collect();
    let claims = sided(&claims, |node| node != 4);
    let pool = Pool { key: 5, slots: 16, round: 0 };
    assert_eq!(shares(pool, &claims)[..3].iter().sum::<u32>(), 14);
}

// A node leaves: it takes no new work, so its places go to the others without a wait, but for what
// it still has in flight.
#[test]
fn can_take_all_of_a_leaving_nodes_places() {
    let mut claims = [claim(1, 0, 20.0, 0), claim(2, 0, 20.0, 2)];
    claims[1].voice = Voice::Leaving;
    let share = Pool { key: 5, slots: 8, round: 0 }.share(&claims[0], 0.0, &claims[1..]);
    assert_eq!(share.places, 6);
}

fn any_claims() -> impl Strategy<Value = Vec<Claim>> {
    let one = (0u8..3, 0.0..20.0f64, 0u32..3);
    prop::collection::vec(one, 1..9).prop_map(|rows| {
        let rows = rows.into_iter().enumerate();
        rows.map(|(i, (tier, places, sent))| claim(i as u32 + 1, tier, places, sent)).collect()
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

    // All hear each other: never more than the server has.
    #[test]
    fn can_never_overrun_together(claims in any_claims(), slots in 1u32..40, key: u32, round in 0u64..9999) {
        let sum: u32 = shares(Pool { key, slots, round }, &claims).iter().sum();
        prop_assert!(sum <= slots, "{sum} of {slots}");
    }

    // The fleet splits into up to four sides for an hour, and on each side everyone wants
    // everything. Callers notice it as engines that queue; the bound keeps that to half again.
    #[test]
    fn can_bound_the_overrun_of_a_partition(
        claims in any_claims(), slots in 1u32..40, key: u32, round in 0u64..9999, sides in 2u32..5,
    ) {
        let mut sum = 0;
        for side in 0..sides {
            let claims = sided(&claims, |node| node % sides == side);
            let live: Vec<_> = claims.iter().filter(|c| c.voice == Voice::Fresh).collect();
            for own in live {
                let peers: Vec<_> = claims.iter().filter(|c| c.node != own.node).cloned().collect();
                sum += Pool { key, slots, round }.share(own, 0.0, &peers).places;
            }
        }
        prop_assert!(f64::from(sum) <= f64::from(slots) * 1.5 + f64::from(sides), "{sum} of {slots}");
    }

    // Demand moved everywhere at once and nobody has heard of it yet.
    #[test]
    fn can_bound_the_overrun_of_moving_demand(
        claims in any_claims(), slots in 1u32..40, key: u32, round in 0u64..9999,
    ) {
        let nodes = claims.len() as u32;
        let one = |own: &Claim| {
            let peers: Vec<_> = claims.iter().filter(|c| c.node != own.node).cloned().collect();
            Pool { key, slots, round }.share(own, 1e6, &peers).places
        };
        let sum: u32 = claims.iter().map(one).sum();
        prop_assert!(sum <= slots + slots.div_ceil(2) + nodes, "{sum} of {slots}, {nodes} nodes");
    }
}

// Bookings wait at a neighbour for another model. They can't use this server, so they must neither
// take its places nor hold back its callers.
#[test]
fn can_tell_models_apart() {
    let target = fleet::claims::Target { server: 5, part: 0.5, models: vec![(1, 1.0)] };
    let row = wire::Demand { tier: 0, waiting: 9, sent: 0 };
    let waits = |model| vec![wire::Queued { model, tier: 0, count: 9 }];
    let own = |model| fleet::exchange::Own {
        demand: vec![row],
        waits: waits(model),
        ..Default::default()
    };
    let (same, other) =
        (fleet::claims::own(&own(1), &target), fleet::claims::own(&own(2), &target));
    assert_eq!((same.needs[0].places, same.waiting), (9.0, Some(0)));
    assert_eq!((other.needs[0].places, other.waiting), (0.0, None));
}
