//! What answers cost whose ends are marked by their connections: time, connections and questions.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::{API_KEY, CONFIGURATION, Kind};
use crate::nodes::Node;
use crate::program::{CONNECTION, Framing, Order, QUESTION, RUN};
use crate::servers::{SERVICES, Servers};
use crate::stores::Stores;
use crate::world;

/// Slots of each server.
const SLOTS: usize = 64;
const ANSWERS: usize = 1_000;
/// Requests that are under way at once.
const WIDTHS: [usize; 2] = [1, 50];
const ORDER: Order =
    Order { pieces: 5, pace: Duration::from_millis(2), framing: Framing::Connection };

/// Measures streams of servers that live, and prints the figures.
pub async fn measure() {
    let stores = Stores::start(1).await;
    let servers = Servers::start(0, &stores, SLOTS).await;
    let nodes = Node::fleet(0, &[stores.address(0)], false);
    stores.put(CONFIGURATION, &world::settings(1, &[API_KEY]));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let node = [nodes[0].callers];
    for framing in [Framing::Chunks, Framing::Connection] {
        for (service, _) in SERVICES {
            for width in WIDTHS {
                let order = Order { framing, ..ORDER };
                let name = format!("{service}-{width}-{}", framing.as_str());
                let before = servers.noted();
                let callers = (0..width).map(async |caller| {
                    let mut rng = SmallRng::seed_from_u64(caller as u64);
                    let mut times = vec![];
                    for number in 0..ANSWERS / width {
                        let begun = Instant::now();
                        let id = format!("{name}-{caller}-{number}");
                        let kind = Kind::Stream;
                        let whole = servers.call(&node, service, &id, kind, &order, &mut rng);
                        if whole.await {
                            times.push(begun.elapsed());
                        }
                    }
                    times
                });
                let mut times = join_all(callers).await.concat();
                times.sort();
                let notes = [RUN, QUESTION, CONNECTION].map(|word| {
                    let count = servers.noted().iter().filter(|each| *each == word).count();
                    count - before.iter().filter(|each| *each == word).count()
                });
                let part = |part: usize| times.get(times.len() * part / 100);
                println!(
                    "{name}: {} whole of {ANSWERS}, median {:?}, 99 of 100 {:?}, runs, questions, connections {notes:?}",
                    times.len(),
                    part(50),
                    part(99)
                );
            }
        }
    }
}
