//! Orders to engines by running routers, judged by what engines show and callers receive.

mod common;

use std::time::Duration;

use common::{PACE, post, session, vms};
use engine::orders::Content;
use fakes::{Engine, Plain, Platform};
use router::Router;

const ENGINES: usize = 4;
const ROUTERS: usize = 3;
/// Time that an engine takes to load.
const LOAD: Duration = Duration::from_secs(20);

struct Site {
    engines: Vec<Engine>,
    desk: Plain,
    platform: Platform,
    routers: Vec<Router>,
}

fn content(version: &str) -> Content {
    Content {
        models: vec!["small".to_string()],
        version: Some(version.to_string()),
        role: "mixed".to_string(),
        load_bytes: 1,
        ..Content::default()
    }
}

/// Starts engines that hold `held`, and routers whose settings want version 1 of them.
async fn start(held: [&str; ENGINES], fenced: bool) -> Site {
    tokio::time::pause();
    let mut engines = vec![];
    for version in held {
        let engine = Engine::start(PACE).await.unwrap();
        engine.orders().hold(content(version));
        engine.orders().set_load(LOAD);
        if !fenced {
            engine.orders().set_unfenced();
        }
        engines.push(engine);
    }
    let desk = Plain::start().await.unwrap();
    let platform = Platform::start().await.unwrap();
    let mut site = Site { engines, desk, platform, routers: vec![] };
    site.publish(1, "1", fenced);
    for index in 0..ROUTERS {
        let node = common::node(index, &site.platform);
        site.routers.push(Router::start(node).await.unwrap());
    }
    site.platform.list(vms(&site.routers));
    tokio::time::sleep(Duration::from_secs(5)).await;
    site
}

impl Site {
    fn publish(&self, revision: u64, version: &str, fenced: bool) {
        let leaves = format!("slots = 4\nversion = \"{version}\"\nfenced = {fenced}\n");
        let tree = common::tree(&self.engines, &self.desk).replace("slots = 4\n", &leaves);
        self.platform.publish(revision, &[("tree", &tree)]);
    }

    /// Calls each router in turn, four times a second; returns how many got no whole answer.
    async fn call(&self, seconds: usize) -> usize {
        let mut calls = vec![];
        for index in 0..seconds * 4 {
            let address = self.routers[index % ROUTERS].caller_address();
            calls.push(actix_rt::spawn(async move {
                // Prompts that share no head, so that no engine is liked better for its cache.
                let prompt = format!(r#"{{"role":"user","content":"{index} bookings"}}"#);
                let body = format!(r#"{{"model":"small","max_tokens":10,"messages":[{prompt}]}}"#);
                let answer = session(address, &post("/v1/chat/completions", "", &body)).await;
                !answer.contains("x-outcome: complete")
            }));
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        let mut lost = 0;
        for call in calls {
            lost += usize::from(call.await.unwrap());
        }
        lost
    }

    fn versions(&self) -> Vec<String> {
        let version = |engine: &Engine| engine.orders().held().version.unwrap_or_default();
        self.engines.iter().map(version).collect()
    }
}

// A revision wants a new version on every engine of the only model. Each is ordered once, by one
// of three routers, one after another, and callers are served all the while.
#[actix_rt::test]
async fn can_roll_a_version_out_under_load() {
    let site = start(["1"; ENGINES], true).await;
    site.publish(2, "2", true);
    assert_eq!(site.call(30).await, 0);
    let done = site.versions().iter().filter(|version| *version == "2").count();
    assert!((1..=2).contains(&done), "{done} of {ENGINES} after 30 s");
    assert_eq!(site.call(120).await, 0);
    assert_eq!(site.versions(), ["2"; ENGINES]);
    let given: Vec<_> = site.engines.iter().map(|engine| engine.orders().given()).collect();
    assert_eq!(given, [[2]; ENGINES]);
}

// An engine that ignores fencing numbers obeyed an order of long ago and holds another version.
// A caller sent there would get an answer of the wrong model, and nothing would tell.
#[actix_rt::test]
async fn can_send_nothing_to_an_engine_that_holds_the_wrong_version() {
    let site = start(["0", "1", "1", "1"], false).await;
    let before = site.engines[0].total();
    assert_eq!(site.call(10).await, 0);
    assert_eq!(site.engines[0].total(), before);
    assert_eq!(site.call(30).await, 0);
    assert_eq!(site.versions(), ["1"; ENGINES], "it was ordered and came right");
    let totals: Vec<_> = site.engines.iter().map(Engine::total).collect();
    assert!(totals[0] > 0, "and serves again: {totals:?}");
}

// The configuration service was restored from an old copy, so its revision is lower than the one
// that an engine last obeyed. The engine refuses; the routers must not give the order for ever.
#[actix_rt::test]
async fn can_bear_an_engine_that_took_a_newer_order() {
    let site = start(["9", "1", "1", "1"], true).await;
    site.engines[0].orders().hold(Content { fence: Some(9), ..content("9") });
    assert_eq!(site.call(60).await, 0);
    assert_eq!(site.versions()[0], "9");
    assert!(site.engines[0].orders().given().len() <= 2);
}
