use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::Reach;

struct Service {
    key: ids::Model,
    servers: Vec<ids::Server>,
    reach: Reach,
}

fn service(count: usize) -> Service {
    let mut services = SlotMap::<ids::Model, ()>::with_key();
    let mut servers = SlotMap::<ids::Server, ()>::with_key();
    let key = services.insert(());
    Service {
        key,
        servers: (0..count).map(|_| servers.insert(())).collect(),
        reach: Reach::default(),
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A server crashes and refuses connections again and again. The others aren't out of reach.
#[test]
fn one_server_that_refuses_connections_is_no_lost_way() {
    let Service { key, servers, mut reach } = service(3);
    let start = Instant::now();
    for n in 0..20 {
        assert!(!reach.record_unreached(key, servers[0], 3, start + ms(n * 10)));
    }
    assert!(!reach.is_lost(key));
}

/// A third of the servers crash at once. Answers of the others show that there is a way.
#[test]
fn answers_between_failures_are_a_way() {
    let Service { key, servers, mut reach } = service(9);
    let now = Instant::now();
    for n in 0..6 {
        reach.record_unreached(key, servers[n % 3], 9, now + ms(n as u64));
        reach.record_reached(key);
    }
    assert!(!reach.is_lost(key));
}

/// All servers refuse connections: two of them are enough to notice.
#[test]
fn servers_that_all_refuse_connections_are_lost() {
    let Service { key, servers, mut reach } = service(9);
    let now = Instant::now();
    reach.record_unreached(key, servers[3], 9, now);
    assert!(reach.record_unreached(key, servers[7], 9, now + ms(30)));
    assert!(reach.is_lost(key) && reach.any_lost());
}

/// A service of one server is lost after two failures of it.
#[test]
fn the_only_server_must_fail_twice() {
    let Service { key, servers, mut reach } = service(1);
    let now = Instant::now();
    assert!(!reach.record_unreached(key, servers[0], 1, now));
    assert!(reach.record_unreached(key, servers[0], 1, now + ms(30)));
}

/// Two servers crash within a minute. Their failures have nothing to do with each other.
#[test]
fn failures_expire() {
    let Service { key, servers, mut reach } = service(9);
    let now = Instant::now();
    reach.record_unreached(key, servers[0], 9, now);
    assert!(!reach.record_unreached(key, servers[1], 9, now + ms(3_000)));
}

/// Connections hang without a sign. Requests were sent and nothing answers, so the service is probed, and
/// within a second it is known that it is out of reach.
#[test]
fn a_silent_service_is_probed() {
    let Service { key, mut reach, .. } = service(9);
    let now = Instant::now();
    reach.record_sent(key, now);
    reach.record_sent(key, now + ms(300));
    assert!(reach.due_probes(now + ms(400)).is_empty());
    assert_eq!(reach.due_probes(now + ms(500)), [key]);
    assert!(reach.due_probes(now + ms(600)).is_empty(), "one probe at a time");
    assert!(reach.record_probe(key, 0, 3));
    assert!(reach.is_lost(key));
}

/// A sound server falls silent for a second. Connections to others can be made, so nothing is lost.
#[test]
fn a_second_of_silence_is_no_lost_way() {
    let Service { key, mut reach, .. } = service(9);
    let now = Instant::now();
    reach.record_sent(key, now);
    assert_eq!(reach.due_probes(now + ms(500)), [key]);
    assert!(!reach.record_probe(key, 2, 3));
    assert!(!reach.is_lost(key) && reach.silence(key, now + ms(600)).is_none());
}

/// No request is sent, so silence means nothing, and no connection is opened.
#[test]
fn an_idle_service_is_not_probed() {
    let Service { key, mut reach, .. } = service(9);
    let now = Instant::now();
    reach.record_sent(key, now);
    reach.record_reached(key);
    assert!(reach.due_probes(now + ms(60_000)).is_empty());
}

/// A partition ends for one of many servers, or an answer from before it arrives late. Requests would go back
/// and forth between this node and its peers if that counted as the way back.
#[test]
fn a_lost_service_is_back_once_most_probes_succeed() {
    let Service { key, servers, mut reach } = service(9);
    let now = Instant::now();
    reach.record_unreached(key, servers[0], 9, now);
    reach.record_unreached(key, servers[1], 9, now);
    reach.record_reached(key);
    assert!(reach.is_lost(key));
    assert!(!reach.record_probe(key, 1, 3));
    assert!(reach.is_lost(key));
    assert_eq!(reach.due_probes(now + ms(500)), [key]);
    assert!(reach.record_probe(key, 2, 3));
    assert!(!reach.is_lost(key));
    assert!(
        !reach.record_unreached(key, servers[0], 9, now + ms(510)),
        "old failures are forgotten"
    );
}
