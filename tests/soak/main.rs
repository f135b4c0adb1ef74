//! A randomized soak: real nodes as processes of their own before stand-ins of the store and of
//! servers, with faults injected from outside them by signals, by proxies and by the stand-ins. What
//! callers and servers see is checked against what is promised.
//!
//! A seed sets what happens; when exactly depends on the machine, and no check depends on that.
//! `SOAK_SEEDS=50 cargo test --release --test soak -- --ignored --nocapture` plays many.

mod nodes;
#[path = "../../platform/tests/site/mod.rs"]
mod site;
mod world;

use std::time::Duration;

use world::World;

/// Seeds that CI plays. Each that ever failed is added, with a line on the cause.
const SEEDS: [u64; 2] = [1, 2];
/// How long faults go on.
const SHORT: Duration = Duration::from_secs(8);
const LONG: Duration = Duration::from_secs(15);

async fn play(seed: u64, time: Duration) {
    let world = World::start(seed).await;
    let (faults, ()) = tokio::join!(world.faults(time), world.callers(time));
    let told = world.check().await;
    println!("seed {seed}: {told}; {faults} faults");
}

/// Nodes are stopped, paused, killed and cut off while servers and the store fail. A charge runs twice,
/// or a caller is told that nothing ran though it did, or has half an answer that looks whole, or a
/// withdrawn key is served.
#[actix_rt::test]
async fn promises_hold_under_faults_of_all_kinds() {
    for seed in SEEDS {
        play(seed, SHORT).await;
    }
}

/// As above, with as many fresh seeds as `SOAK_SEEDS` says, from `SOAK_FIRST` on.
#[actix_rt::test]
#[ignore = "takes minutes; run by hand"]
async fn promises_hold_for_many_seeds() {
    let number = |name: &str, other| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(other)
    };
    let (first, count) = (number("SOAK_FIRST", 100), number("SOAK_SEEDS", 5));
    for seed in first..first + count {
        play(seed, LONG).await;
    }
}
