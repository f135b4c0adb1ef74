//! A workspace's limit on requests in flight, over a fleet of routers.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::{PACE, post, session, vms};
use fakes::{Engine, Plain, Platform};
use router::Router;

const ROUTERS: usize = 3;
const LIMIT: u32 = 6;

struct Site {
    engines: Vec<Engine>,
    _desk: Plain,
    _platform: Platform,
    routers: Vec<Router>,
}

async fn start() -> Site {
    tokio::time::pause();
    let mut engines = vec![];
    for _ in 0..6 {
        engines.push(Engine::start(PACE).await.unwrap());
    }
    let desk = Plain::start().await.unwrap();
    let platform = Platform::start().await.unwrap();
    let limited = format!("[workspace.choir]\nin_flight = {LIMIT}\n");
    let tree = common::tree(&engines, &desk).replace("[workspace.choir]\n", &limited);
    platform.publish(1, &[("tree", &tree)]);
    let mut routers = vec![];
    for index in 0..ROUTERS {
        routers.push(Router::start(common::node(index, &platform)).await.unwrap());
    }
    platform.list(vms(&routers));
    tokio::time::sleep(Duration::from_secs(6)).await;
    Site { engines, _desk: desk, _platform: platform, routers }
}

/// Calls `routers` of the site in turn, fifty times a second; returns the most in flight at once
/// over the second half, and the calls without a whole answer.
async fn call(site: &Site, routers: usize, seconds: usize) -> (u32, usize) {
    let mut calls = vec![];
    let most = Rc::new(Cell::new(0));
    for index in 0..seconds * 50 {
        let address = site.routers[index % routers].caller_address();
        calls.push(actix_rt::spawn(async move {
            let body = r#"{"model":"small","max_tokens":20,"messages":[]}"#;
            let answer = session(address, &post("/v1/chat/completions", "", body)).await;
            !answer.contains("x-outcome: complete")
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
        if index > seconds * 25 {
            let running = site.engines.iter().map(Engine::running).sum();
            most.set(most.get().max(running));
        }
    }
    let mut lost = 0;
    for call in calls {
        lost += usize::from(call.await.unwrap());
    }
    (most.get(), lost)
}

// One workspace's callers press on all nodes. Held by each node alone, its limit would be worth as
// many times itself as there are nodes, and it would take the servers from its neighbours.
#[actix_rt::test]
async fn can_hold_a_limit_over_all_nodes() {
    let site = start().await;
    let (most, lost) = call(&site, ROUTERS, 10).await;
    println!("most {most} of a limit of {LIMIT}, {lost} lost");
    assert_eq!(lost, 0);
    assert!(most <= LIMIT + ROUTERS as u32, "{most} in flight");
    assert!(most >= LIMIT - 1, "{most} in flight: the limit isn't used");
}

// All callers of a workspace come to one node, because their connections are long-lived. A limit
// split evenly once for all would give them a third of what they are due.
#[actix_rt::test]
async fn can_move_a_limit_to_where_the_callers_are() {
    let site = start().await;
    let (most, lost) = call(&site, 1, 20).await;
    println!("most {most} of a limit of {LIMIT}, {lost} lost");
    assert_eq!(lost, 0);
    assert!((LIMIT - 1..=LIMIT).contains(&most), "{most} in flight");
}
