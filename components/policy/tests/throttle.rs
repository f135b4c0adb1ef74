//! Servers with a rate limit for all nodes together.

mod common;

use std::time::{Duration, Instant};

use common::Fixture;
use policy::{Action, Issuer, Policy, RateLimit};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SECOND: Duration = Duration::from_secs(1);

/// The servers to which requests are sent now.
fn poll_sends(fixture: &mut Fixture) -> Vec<ids::Server> {
    let mut actions = vec![];
    fixture.scheduler.poll(fixture.now, &mut actions);
    let server = |action: Action| match action {
        Action::Send { server, .. } => Some(server),
        _ => None,
    };
    actions.into_iter().filter_map(server).collect()
}

fn submit(fixture: &mut Fixture, count: usize) {
    for _ in 0..count {
        let request = fixture.request(0, 0, SECOND * 10);
        fixture.scheduler.submit(request, fixture.now);
    }
}

/// Guards against sending requests to a server whose limit is reached while others have free slots.
#[test]
fn requests_go_to_servers_without_a_limit() {
    let mut fixture = Fixture::new(1, 3, 4, 100);
    let limited = fixture.servers[0];
    fixture.scheduler.set_rate_limited(limited, true);
    submit(&mut fixture, 6);
    let servers = poll_sends(&mut fixture);
    assert_eq!(servers.len(), 6);
    assert!(!servers.contains(&limited));
}

/// Guards against sending a whole queue to a server once there is a permit for a single request.
#[test]
fn requests_wait_for_permits_where_all_servers_are_limited() {
    let mut fixture = Fixture::new(1, 1, 8, 100);
    let server = fixture.servers[0];
    fixture.scheduler.set_rate_limited(server, true);
    submit(&mut fixture, 5);
    assert_eq!(poll_sends(&mut fixture), []);
    for permits in [1, 2] {
        fixture.now += SECOND;
        fixture.scheduler.add_permits(server, permits, fixture.now);
        assert_eq!(poll_sends(&mut fixture).len(), permits as usize);
    }
    fixture.scheduler.add_permits(server, 1, fixture.now);
    fixture.now += SECOND * 2;
    assert_eq!(poll_sends(&mut fixture), [], "the permit has expired");
    fixture.scheduler.set_rate_limited(server, false);
    assert_eq!(poll_sends(&mut fixture).len(), 2);
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against nodes that together send more than a server takes, however many they are, whichever seed
    /// each of them reaches, and also when seeds restart.
    #[test]
    fn permits_of_all_seeds_keep_to_a_limit(
        rate in prop_oneof![0.0..4.0_f64, 4.0..60.0, 60.0..2_000.0],
        seeds in 1_usize..4,
        nodes in 1_usize..300,
        calls in prop::collection::vec((0_usize..3, 0_u64..60, 0_u32..100), 100..400),
    ) {
        let start = Instant::now();
        let limit = RateLimit { server: 1, rate: Some(rate), at: start };
        let mut issuers: Vec<_> = (0..seeds).map(|_| Issuer::default()).collect();
        let (mut now, mut issued) = (start, vec![]);
        for (seed, pause, restart) in calls {
            now += Duration::from_millis(pause);
            let issuer = &mut issuers[seed % seeds];
            if restart == 0 {
                *issuer = Issuer::default();
            }
            let permits = issuer.issue([limit].into_iter(), seeds as f64, nodes, now);
            issued.extend(permits.into_iter().map(|(_, count)| (now, count)));
        }
        // A permit is valid for a second, so the permits issued in five seconds may be used within four.
        for (end, _) in &issued {
            let window = issued.iter().filter(|(at, _)| at <= end && *end < *at + SECOND * 5);
            let used: u32 = window.map(|(_, count)| count).sum();
            let allowed = 1.5 * 4.0 * rate + 5.0;
            prop_assert!(f64::from(used) <= allowed, "{} of {}", used, allowed);
        }
    }
}
