//! Thousands of servers and few requests: work that isn't for a request doesn't grow with the servers, and requests
//! meet on a part of the engines.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Fixture;
use common::prompts::{DRAFT, complete, fixture_with_engines, send};
use policy::Policy;

const SLOTS: u32 = 16;
const TICK: Duration = Duration::from_millis(50);
/// Servers that a node may look at in a second without a decision.
const EXAMINED_PER_SECOND: u64 = 10_000;

/// The servers that a scheduler looks at while it runs.
fn examined(fixture: &mut Fixture, work: impl FnOnce(&mut Fixture)) -> u64 {
    let before = fixture.scheduler.servers_examined();
    work(fixture);
    fixture.scheduler.servers_examined() - before
}

/// A node with one request in progress is ticked all the time. A tick that compared each server with all others
/// took more than its share of a core.
#[test]
fn ticks_look_at_a_bounded_number_of_servers_each_second() {
    for servers in [200, 6_000, 12_000] {
        let mut fixture = fixture_with_engines(servers, SLOTS);
        send(&mut fixture, DRAFT, 0);
        let count = examined(&mut fixture, |fixture| {
            for _ in 0..20 {
                fixture.now += TICK;
                fixture.scheduler.poll(fixture.now, &mut vec![]);
            }
        });
        assert!(count <= EXAMINED_PER_SECOND.max(servers as u64), "{servers} servers: {count}");
    }
}

/// A seventh of the servers crash at once. A node that ranked its servers after each of them would answer nobody
/// for seconds.
#[test]
fn servers_that_go_together_are_ranked_once() {
    for servers in [6_000, 12_000] {
        let mut fixture = fixture_with_engines(servers, SLOTS);
        send(&mut fixture, DRAFT, 0);
        let gone = fixture.servers[..servers / 7].to_vec();
        let count = examined(&mut fixture, |fixture| {
            let mut batch = fixture.scheduler.change_servers();
            gone.iter().for_each(|server| batch.remove(*server));
        });
        assert!(count <= 2 * servers as u64, "{servers} servers: {count}");
    }
}

/// Work for some dozens of thousands of engines. Spread over all, every request would open a connection, and every
/// engine would prefill the parts of prompts that all sessions share.
#[test]
fn few_requests_meet_on_a_part_of_the_engines() {
    for servers in [6_000, 12_000] {
        let mut fixture = fixture_with_engines(servers, SLOTS);
        let mut used = BTreeSet::new();
        for session in 0..4_000 {
            let (job, server) = send(&mut fixture, DRAFT, session);
            used.insert(server);
            complete(&mut fixture, job, Duration::from_millis(10));
        }
        assert!(used.len() <= 256, "{} of {servers} engines", used.len());
    }
}

/// Recent engine time of a node, in seconds.
fn engine_seconds(fixture: &Fixture) -> f64 {
    fixture.scheduler.recent_engine_seconds(fixture.now).iter().sum()
}

/// A node has used some dozens of thousands of engines. The others count as fast as those, or the work would seem to
/// take many times as many engines.
#[test]
fn engines_that_a_node_hasnt_used_count_as_fast_as_the_others() {
    const NEW: u64 = 20;
    let mut fixture = fixture_with_engines(6_000, SLOTS);
    for session in 0..NEW {
        let (job, _) = send(&mut fixture, DRAFT, session);
        for _ in 0..10 {
            fixture.now += Duration::from_millis(50);
            fixture.scheduler.record_tokens(job, 10, fixture.now);
        }
        complete(&mut fixture, job, Duration::from_millis(20));
    }
    fixture.scheduler.poll(fixture.now, &mut vec![]);
    let before = engine_seconds(&fixture);
    for session in NEW..2 * NEW {
        send(&mut fixture, DRAFT, session);
    }
    let each = (engine_seconds(&fixture) - before) / NEW as f64;
    // A prompt of 9,000 tokens, and its part of the engine for an answer of 100 that takes half a second.
    assert!(each < 0.3, "{each} s");
}

/// A fleet has started, and no node has received an answer yet. At a guess that is ten times too slow, the first
/// requests would seem to take many times as many engines, and it takes a minute until their number has come down.
#[test]
fn engines_of_unknown_speed_add_no_time_for_tokens() {
    const REQUESTS: u64 = 20;
    let mut fixture = fixture_with_engines(6_000, SLOTS);
    for session in 0..REQUESTS {
        send(&mut fixture, DRAFT, session);
    }
    let each = engine_seconds(&fixture) / REQUESTS as f64;
    // A prompt of 9,000 tokens.
    assert!(each < 0.15, "{each} s");
}

/// Nodes needn't hear of single prompts where a request can go to another engine.
#[test]
fn a_pool_has_a_reserve_where_engines_are_many() {
    for (engines, reserve) in [(90, false), (6_000, true)] {
        let mut fixture = fixture_with_engines(engines, SLOTS);
        send(&mut fixture, DRAFT, 0);
        assert_eq!(fixture.scheduler.has_reserve(fixture.servers[0]), reserve, "{engines}");
    }
}

/// A burst of long prompts that the active engines could only prefill one after the other. The engines in reserve
/// take what would wait, before the number of active engines has followed.
#[test]
fn a_burst_takes_engines_from_the_reserve() {
    const BURST: u64 = 4_000;
    /// Prefill of a prompt whose prefix an engine doesn't cache, and target of its first token, in seconds.
    const PREFILL: f64 = 0.12;
    const TARGET: f64 = 1.5;
    let mut fixture = fixture_with_engines(6_000, SLOTS);
    for session in 0..BURST {
        send(&mut fixture, DRAFT, session);
    }
    let loads = fixture.servers.iter().map(|server| fixture.scheduler.in_flight_at(*server));
    let most = loads.max().unwrap();
    assert!(f64::from(most) * PREFILL <= TARGET, "{most} requests at one engine");
}
