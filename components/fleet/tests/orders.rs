//! Tests that orders to engines leave enough engines serving at any time.

use std::time::{Duration, Instant};

use fleet::orders::{Content, Engine, Issuer, Limits, is_routable};

const LIMITS: Limits = Limits { change_percent: 20, store_bytes: 1 << 30 };

fn content(models: &[&str], version: &str) -> Content {
    Content {
        models: models.iter().map(ToString::to_string).collect(),
        version: Some(version.to_string()),
        role: "mixed".to_string(),
        ..Default::default()
    }
}

fn pool(count: u32, models: &[&str]) -> Vec<Engine> {
    let engine = |server| Engine {
        server,
        wanted: content(models, "2"),
        shown: Some(content(models, "1")),
        accepted_fence: None,
        load_bytes: 1 << 30,
    };
    (0..count).map(engine).collect()
}

// A revision wants a new version on all ten engines of a model. If all reloaded together, no engine would
// serve the model; orders must be issued two at a time, and none twice to an engine.
#[test]
fn can_change_a_pool_in_parts() {
    let mut now = Instant::now();
    let mut engines = pool(10, &["small"]);
    let mut issuer = Issuer::new(LIMITS, now);
    let mut ordered = vec![];
    for _ in 0..100 {
        now += Duration::from_secs(10);
        let issued = issuer.issue_orders(&engines, 7, LIMITS, now);
        let changing = issuer.changing().count();
        assert!(changing <= 2, "{changing} in change at once");
        for order in issued {
            assert_eq!(order.fence, 7);
            ordered.push(order.server);
        }
        if let Some(done) = ordered.last() {
            engines[*done as usize].shown = Some(content(&["small"], "2"));
        }
        for server in &ordered {
            engines[*server as usize].shown = Some(content(&["small"], "2"));
        }
    }
    ordered.sort_unstable();
    assert_eq!(ordered, (0..10).collect::<Vec<_>>());
}

// A revision wants another model on the only engine that serves a model. Until another engine serves the
// first model, changing the engine would leave that model unserved.
#[test]
fn can_keep_the_last_engine_of_a_model() {
    let now = Instant::now();
    let mut engines = pool(1, &["old"]);
    engines[0].wanted = content(&["new"], "1");
    let mut other = engines[0].clone();
    (other.server, other.wanted, other.shown) = (1, content(&["old"], "1"), None);
    engines.push(other);
    let mut issuer = Issuer::new(LIMITS, now);
    assert_eq!(issuer.issue_orders(&engines, 1, LIMITS, now), []);
    engines[1].shown = Some(content(&["old"], "1"));
    let issued = issuer.issue_orders(&engines, 1, LIMITS, now);
    assert_eq!(issued.iter().map(|order| order.server).collect::<Vec<_>>(), [0]);
}

// The weight store's rate is limited. If too many engines loaded weights at once, each load would take so
// long that no engine is ready in time.
#[test]
fn can_keep_to_the_weight_stores_rate() {
    let mut now = Instant::now();
    let mut engines: Vec<_> = (0..30).flat_map(|m| pool(2, &[&format!("m{m}")])).collect();
    engines.iter_mut().enumerate().for_each(|(index, engine)| engine.server = index as u32);
    let limits = Limits { store_bytes: 100 << 20, ..LIMITS };
    let mut issuer = Issuer::new(limits, now);
    let mut issued = 0;
    for _ in 0..100 {
        now += Duration::from_secs(1);
        issued += issuer.issue_orders(&engines, 1, limits, now).len();
    }
    // 100 s and a burst of 2 s, at a tenth of a load per second, and one load on debt.
    assert!((9..=12).contains(&issued), "{issued} loads of 1 GiB in 100 s");
}

// The issuer is replaced while two of ten engines load. Its successor must count them, or four engines
// would be in change at once.
#[test]
fn can_take_over_from_another_issuer() {
    let now = Instant::now();
    let mut engines = pool(10, &["small"]);
    engines[3].accepted_fence = Some(7);
    engines[4].accepted_fence = Some(7);
    let mut issuer = Issuer::new(LIMITS, now);
    assert_eq!(issuer.issue_orders(&engines, 7, LIMITS, now), []);
    engines[3].shown = Some(content(&["small"], "2"));
    assert_eq!(issuer.issue_orders(&engines, 7, LIMITS, now).len(), 1);
}

// A newer revision wants other content while an order for the previous one is in progress. The engine must
// get the new order at once, with the newer fencing number.
#[test]
fn can_supersede_its_own_order() {
    let now = Instant::now();
    let mut engines = pool(5, &["small"]);
    let mut issuer = Issuer::new(LIMITS, now);
    assert_eq!(issuer.issue_orders(&engines, 1, LIMITS, now).len(), 1);
    engines.iter_mut().for_each(|engine| engine.wanted = content(&["small"], "3"));
    let issued = issuer.issue_orders(&engines, 2, LIMITS, now);
    assert_eq!(issued.iter().map(|o| (o.server, o.fence)).collect::<Vec<_>>(), [(0, 2)]);
    assert_eq!(
        issuer.issue_orders(&engines, 1, LIMITS, now),
        [],
        "an older revision gives no orders"
    );
}

// An issuer resumes after a pause and gives orders for an old revision. An engine that ignores fencing
// numbers obeys; if it got new work, it would answer callers with the wrong version.
#[test]
fn can_keep_work_from_an_engine_with_the_wrong_content() {
    let engine = pool(1, &["small"]).remove(0);
    let table = [
        (true, false, true, "fenced and not in change: its order hasn't been given yet"),
        (true, true, false, "fenced and in change"),
        (false, false, false, "ignores fencing numbers and shows the wrong version"),
    ];
    for (fenced, changing, expected, case) in table {
        assert_eq!(is_routable(&engine, fenced, changing), expected, "{case}");
    }
    let right = Engine { shown: Some(engine.wanted.clone()), ..engine.clone() };
    assert!(is_routable(&right, false, true));
    assert!(
        !is_routable(&Engine { shown: None, ..engine }, false, false),
        "its content was never read"
    );
}
