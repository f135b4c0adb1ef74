//! Tests the lookup of routes and workspaces, tiers and traffic splits.

use std::time::Duration;

use catalog::{Denied, Kind, RequestLimits, Residency, Route, Settings, Split, Workspace};

fn route(name: &str, prefix: &str, tier: u8) -> Route {
    Route {
        name: name.to_string(),
        host: "desk.example".to_string(),
        prefix: prefix.to_string(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_pause: None,
        tier,
        split: vec![Split { service: "a".to_string(), weight: 1 }],
        max_attempts: 1,
        public: name == "open",
        residency: Residency::default(),
    }
}

fn settings(routes: Vec<Route>) -> Settings {
    let limits = RequestLimits {
        max_head: 1 << 10,
        max_body: 1 << 10,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let workspace = |name: &str, tier| Workspace {
        name: name.to_string(),
        tier,
        residency: Residency::default(),
    };
    let workspaces = vec![
        (workspace("choir", Some(1)), vec!["k1".to_string(), "k2".to_string()]),
        (workspace("radio", Some(0)), vec!["k3".to_string()]),
        (workspace("guest", None), vec!["k4".to_string()]),
    ];
    Settings::new(7, limits, vec![], routes, workspaces)
}

/// The route with the longest prefix of the path must match, on the request's host, with or without
/// a port and in upper or lower case. Otherwise a caller would be served by another route's settings.
#[test]
fn the_longest_prefix_decides() {
    let settings =
        settings(vec![route("all", "/", 2), route("a", "/a/", 2), route("ab", "/a/b/", 2)]);
    let name = |host, path| {
        settings.match_request(host, path, Some("k1")).map(|found| found.route.name.clone())
    };
    assert_eq!(name("desk.example", "/a/b/c"), Ok("ab".to_string()));
    assert_eq!(name("Desk.Example:80", "/a/bc"), Ok("a".to_string()));
    assert_eq!(name("desk.example", "/a"), Ok("all".to_string()));
    assert_eq!(name("other.example", "/a/"), Err(Denied::NoRoute));
}

/// Each API key must find its own workspace; without a key only public routes may match.
#[test]
fn keys_find_their_workspace() {
    let settings = settings(vec![route("a", "/a/", 2), route("open", "/open/", 2)]);
    let workspace =
        |path, key| settings.match_request("desk.example", path, key).map(|found| found.workspace);
    assert_eq!(workspace("/a/", Some("k2")).unwrap().unwrap().name, "choir");
    assert_eq!(workspace("/a/", Some("k3")).unwrap().unwrap().name, "radio");
    assert_eq!(workspace("/a/", Some("k9")), Err(Denied::UnknownKey));
    assert_eq!(workspace("/a/", None), Err(Denied::UnknownKey));
    assert_eq!(workspace("/open/", None), Ok(None));
}

/// A high-tier workspace goes first in queues with all its requests. At an engine its long draft must
/// still have a lower priority than any steady stream, or the engine would preempt the streams that
/// others are reading.
#[test]
fn tiers_order_by_workspace_and_priorities_by_route() {
    let settings = settings(vec![route("steady", "/s/", 0), route("draft", "/d/", 2)]);
    let found = |path, key| settings.match_request("desk.example", path, Some(key)).unwrap();
    let (high_tier, other) = (found("/d/", "k3"), found("/s/", "k1"));
    assert!(high_tier.tier() < other.tier());
    assert!(high_tier.priority() > other.priority());
    assert!(found("/s/", "k3").priority() < other.priority());
    assert_eq!(found("/d/", "k4").tier(), 8);
    assert!(high_tier.priority() <= 9 && found("/d/", "k4").priority() <= 9);
}

/// If a route is split between services, a session must stay with one of them, and the sessions
/// together must be distributed by weight.
#[test]
fn splits_keep_sessions_and_weights() {
    let mut split = route("a", "/a/", 2);
    split.split = vec![
        Split { service: "old".to_string(), weight: 90 },
        Split { service: "new".to_string(), weight: 10 },
        Split { service: "none".to_string(), weight: 0 },
    ];
    let count = |name: &str| (0..10_000).filter(|s| split.service(*s) == Some(name)).count();
    assert!((800..1_200).contains(&count("new")), "{}", count("new"));
    assert_eq!(count("none"), 0);
    assert_eq!(split.service(7), split.service(7));
    split.split.clear();
    assert_eq!(split.service(7), None);
}
