//! Finds the peer from which a starting node gets everything that is published.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select_all;
use upstream::Sources;

use crate::adapter::Adapter;
use crate::follow::{FIRST_WAIT, STARTUP_PAUSE, ask_peer, jittered};
use crate::state::State;
use crate::updates;

/// Time for which a starting node asks all seeds at once, before it tries one source after the other. VMs that
/// start together do so within it.
const RACE_TIME: Duration = Duration::from_millis(300);
/// Time for which a starting node waits for a peer in its own region after one in another region is ready. Peers that
/// start together are ready within some round trips between regions.
const FAR_PEER_DELAY: Duration = Duration::from_millis(100);

/// Asks all peers at once, each again and again, whether they are ready, and the first one that is for everything that
/// is published; returns which that was. Peers that lost power together with this node come back at different times,
/// and one without power doesn't even refuse a connection. If all peers sent everything, it would fill their links.
///
/// Those of this node's region come first, also in `sources`: everything is the most that a node is ever sent, and what
/// crosses to another region is paid for by volume.
pub(crate) async fn race_peers<A: Adapter>(
    state: &Rc<State<A>>,
    sources: &mut Sources,
) -> Option<SocketAddr> {
    let peers = sources.peers();
    if peers.is_empty() {
        return None;
    }
    let near = RefCell::new(HashSet::new());
    let race = select_all(peers.iter().map(|peer| Box::pin(wait_until_ready(state, *peer, &near))));
    let first = tokio::time::timeout(RACE_TIME, race).await;
    sources.prefer_region(near.take());
    let (peer, ..) = first.ok()?;
    match ask_peer(state, peer).await {
        Ok(_) => Some(peer),
        Err(cause) => {
            log::debug!(peer:% = peer, cause:% = cause; "a first answer can't be used");
            None
        }
    }
}

/// Waits until a peer is ready, and if it is in another region, for [`FAR_PEER_DELAY`] more. Adds it to `near` once it
/// has answered that it is in this node's region.
async fn wait_until_ready<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    near: &RefCell<HashSet<SocketAddr>>,
) -> SocketAddr {
    // The first question tells only where the peer is.
    let mut wait = Duration::ZERO;
    loop {
        match updates::request_presence(state, peer, wait).await {
            Ok(presence) => {
                wait = FIRST_WAIT;
                let is_near = state.is_in_own_region(&presence.domain);
                if is_near {
                    near.borrow_mut().insert(peer);
                }
                if presence.ready {
                    tokio::time::sleep(if is_near { Duration::ZERO } else { FAR_PEER_DELAY }).await;
                    return peer;
                }
            }
            Err(cause) => log::debug!(peer:% = peer, cause:% = cause; "not ready yet"),
        }
        tokio::time::sleep(jittered(STARTUP_PAUSE)).await;
    }
}
