//! Where requests belong.

use std::time::Duration;

use catalog::{Book, Denied, Intake, Kind, Route, Split, Workspace};

fn route(name: &str, prefix: &str, tier: u8) -> Route {
    Route {
        name: name.to_string(),
        host: "desk.example".to_string(),
        prefix: prefix.to_string(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        pause: None,
        tier,
        split: vec![Split { service: "a".to_string(), weight: 1 }],
        attempts: 1,
        public: name == "open",
    }
}

fn book(routes: Vec<Route>) -> Book {
    let intake = Intake {
        head: 1 << 10,
        body: 1 << 10,
        head_time: Duration::from_secs(1),
        idle: Duration::from_secs(1),
    };
    let workspace = |name: &str, tier| Workspace { name: name.to_string(), tier };
    let workspaces = vec![
        (workspace("choir", Some(1)), vec!["k1".to_string(), "k2".to_string()]),
        (workspace("radio", Some(0)), vec!["k3".to_string()]),
        (workspace("guest", None), vec!["k4".to_string()]),
    ];
    Book::new(7, intake, vec![], routes, workspaces)
}

/// The longest prefix that begins the path decides, on the host that is named, with or without a
/// port and in any case. Else a caller would be served as another route says.
#[test]
fn the_longest_prefix_decides() {
    let book = book(vec![route("all", "/", 2), route("a", "/a/", 2), route("ab", "/a/b/", 2)]);
    let name = |host, path| book.find(host, path, Some("k1")).map(|found| found.route.name.clone());
    assert_eq!(name("desk.example", "/a/b/c"), Ok("ab".to_string()));
    assert_eq!(name("Desk.Example:80", "/a/bc"), Ok("a".to_string()));
    assert_eq!(name("desk.example", "/a"), Ok("all".to_string()));
    assert_eq!(name("other.example", "/a/"), Err(Denied::Route));
}

/// Each key finds its own workspace; without one only public routes are open.
#[test]
fn keys_find_their_workspace() {
    let book = book(vec![route("a", "/a/", 2), route("open", "/open/", 2)]);
    let who = |path, key| book.find("desk.example", path, key).map(|found| found.workspace);
    assert_eq!(who("/a/", Some("k2")).unwrap().unwrap().name, "choir");
    assert_eq!(who("/a/", Some("k3")).unwrap().unwrap().name, "radio");
    assert_eq!(who("/a/", Some("k9")), Err(Denied::Key));
    assert_eq!(who("/a/", None), Err(Denied::Key));
    assert_eq!(who("/open/", None), Ok(None));
}

/// A favoured workspace goes first with all it asks for; at an engine its long draft still yields to
/// any steady stream, or it would put back what others are reading.
#[test]
fn ranks_by_workspace_and_at_engines_by_route() {
    let book = book(vec![route("steady", "/s/", 0), route("draft", "/d/", 2)]);
    let found = |path, key| book.find("desk.example", path, Some(key)).unwrap();
    let (favoured, other) = (found("/d/", "k3"), found("/s/", "k1"));
    assert!(favoured.tier() < other.tier());
    assert!(favoured.urgency() > other.urgency());
    assert!(found("/s/", "k3").urgency() < other.urgency());
    assert_eq!(found("/d/", "k4").tier(), 8);
    assert!(favoured.urgency() <= 9 && found("/d/", "k4").urgency() <= 9);
}

/// A route is split between two services. A session stays with one of them, and sessions as a whole
/// are dealt out by weight.
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
