//! Servers that are killed and started again under their names while the node that passes their answer on is paused, so
//! that it sees the end of the answer's connection when its server runs again.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use crate::fixture::{API_KEY, CONFIGURATION, Kind};
use crate::nodes::Node;
use crate::program::{Framing, Order};
use crate::servers::Servers;
use crate::stores::Stores;
use crate::world;

/// Apart from the seeds of soaks, which name files by them.
const SEED: u64 = 1 << 32;
/// Time until a node has its settings.
const READY: Duration = Duration::from_secs(2);
/// The stream lasts longer than all else here.
const ORDER: Order =
    Order { pieces: 150, pace: Duration::from_millis(10), framing: Framing::Connection };
/// Time after which a stream has some events.
const BEGUN: Duration = Duration::from_millis(400);

/// Plays this with a stream of a service; fails if its caller takes a part of it for all.
pub async fn play(service: &str, number: u64) {
    let stores = Stores::start(1).await;
    let servers = Servers::start(SEED + number, &stores, 8).await;
    let nodes = Node::fleet(SEED + number, &[stores.address(0)], false);
    stores.put(CONFIGURATION, &world::settings(1, &[API_KEY]));
    tokio::time::sleep(READY).await;
    let mut rng = SmallRng::seed_from_u64(number);
    let callers = [nodes[0].callers];
    let call = servers.call(&callers, service, "paused", Kind::Stream, &ORDER, &mut rng);
    let restart = async {
        tokio::time::sleep(BEGUN).await;
        nodes[0].signal(Signal::STOP);
        servers.restart(&stores, service).await;
        nodes[0].signal(Signal::CONT);
    };
    let (whole, ()) = tokio::join!(call, restart);
    assert!(!whole, "the stream was broken off");
    println!("{}", servers.check_faults());
}
