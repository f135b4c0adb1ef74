//! Exchanges with peers what nodes know better than a store that came back from a copy.
//!
//! Load pattern: hundreds of nodes, of which each may have known something that the store has forgotten, and some of which
//! start when the store no longer has it. Nodes compare digests in the messages that they exchange anyway. Only where these
//! differ, the few items that they stand for are sent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Response, StatusCode};
use clock::Clock;
use futures_util::future::join_all;
use wire::updates::{Items, Update, UpdateRequest};

use crate::adapter::{Adapter, Item, Position, StoreError};
use crate::answer::Answer;
use crate::effects::{self, Reader};
use crate::state::State;
use crate::updates;

/// Path on the listener for peers at which a node is asked for these items.
pub(crate) const PATH: &str = "/updates/standing";
/// Time for which a starting node waits for them. Peers that run answer within some round trips between regions.
const START_TIMEOUT: Duration = Duration::from_millis(150);
/// Time within which a peer must answer otherwise.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two questions to peers whose digest differs.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// When this node last asked a peer because of its digest.
#[derive(Default)]
pub(crate) struct Exchange {
    asked: Cell<Option<Instant>>,
}

/// What a peer at a position knows better than the store.
pub(crate) struct Known {
    items: Vec<Item>,
    position: Position,
}

/// What the other seeds know better than the store, if this node is a seed.
pub(crate) async fn fetch_from_seeds<A: Adapter>(state: &State<A>) -> Vec<Known> {
    let seeds = state.other_seeds();
    let fetched = join_all(seeds.into_iter().map(|seed| fetch(state, seed, START_TIMEOUT))).await;
    fetched.into_iter().filter_map(Result::ok).collect()
}

async fn fetch<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    timeout: Duration,
) -> Result<Known, StoreError> {
    let answer = updates::request_standing(state, peer);
    let answer = tokio::time::timeout(timeout, answer).await;
    let update = answer.map_err(|_| StoreError::Unavailable(format!("peer {peer}")))??;
    read(&update)
}

/// What the answer of a peer says that the peer knows better than the store.
pub(crate) fn read(update: &Update) -> Result<Known, StoreError> {
    let items = update.standing.unpack();
    let items = items.map_err(|cause| StoreError::Malformed(cause.to_string()))?;
    Ok(Known { items, position: update.position() })
}

/// Adopts what peers know better than the store.
pub(crate) fn learn<A: Adapter>(state: &State<A>, known: Known) {
    let Known { items, position } = known;
    if items.is_empty() {
        return;
    }
    let now = state.clock.now();
    let changes = state.replica.borrow_mut().learn(items, position, &Reader(state), now);
    let news = !changes.items.is_empty();
    effects::apply(state, changes);
    if news {
        state.contact.updated.notify_waiters();
    }
}

/// Asks the sender of a message for what it knows better than the store, if its digest differs from this node's.
pub(crate) fn compare<A: Adapter>(state: &Rc<State<A>>, message: &UpdateRequest) {
    let (digest, era) = {
        let replica = state.replica.borrow();
        (replica.standing_digest(), replica.era())
    };
    let differs = message.standing != 0 && message.standing != digest && message.era == Some(era);
    let Some(peer) = message.address.filter(|_| differs) else { return };
    let now = state.clock.now();
    if state.standing.asked.get().is_some_and(|asked| now < asked + MIN_INTERVAL) {
        return;
    }
    state.standing.asked.set(Some(now));
    let state = state.clone();
    actix_rt::spawn(async move {
        match fetch(&state, peer, TIMEOUT).await {
            Ok(known) => learn(&state, known),
            Err(cause) => {
                log::debug!(peer:% = peer, cause:% = cause; "a peer doesn't say what it knows better than the store")
            }
        }
    });
}

/// Answers with what this node knows better than the store.
pub(crate) fn answer<A: Adapter>(state: &State<A>) -> Answer {
    let replica = state.replica.borrow();
    let Some(position) = replica.position() else {
        return Response::new(StatusCode::SERVICE_UNAVAILABLE).map_into_boxed_body();
    };
    let update = Update {
        revision: position.revision,
        era: position.era,
        standing: Items::pack(&replica.standing()),
        ..Update::default()
    };
    Response::build(StatusCode::OK).body(update.encode()).map_into_boxed_body()
}
