//! Runs a router: the listeners for callers, peers and operators, and the tasks that follow the
//! configuration service, the list of VMs, the peers and the engines. All of it runs on one thread,
//! so that the shared state needs no locks.

mod answer;
mod callers;
mod cells;
mod claim;
mod engines;
mod handover;
mod keyed;
mod operators;
mod orders;
mod peers;
mod relay;
mod request;
mod revisions;
mod scheduler;
mod shares;
mod state;
mod stream;
mod submission;
mod vm_list;

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use listen::{Limits, Listener};
use settings::node::Node;
use tokio::sync::watch;

use crate::state::State;

/// Time that listeners stay open after the node stops being ready, while there are no settings.
const DEFAULT_BALANCER_DELAY: Duration = Duration::from_secs(3);
/// Part of the grace period that is reserved for error responses to requests that are still open: one
/// in so many.
const RESPONSE_DIVISOR: u32 = 20;
/// Most aborted requests that are logged one by one.
const MAX_LOGGED_ABORTS: usize = 1_000;

/// A running router.
pub struct Router {
    state: Rc<State>,
    callers: Listener,
    peers: Listener,
    operators: Listener,
}

impl Router {
    /// Starts a router with a node's own settings; it is ready once it has read the deployment's.
    ///
    /// # Errors
    /// When one of its addresses can't be bound.
    pub async fn start(node: Node) -> anyhow::Result<Self> {
        let default_limits = || watch::channel(Limits::default()).1;
        let (callers, peers, operators) = (node.callers, node.peers, node.operators);
        let state = State::new(node);
        let shared = state.clone();
        let handler = move |request| callers::handle(shared.clone(), request);
        let callers =
            Listener::open_named("callers", callers, state.listener_limits.subscribe(), handler)
                .await?;
        let shared = state.clone();
        let handler = move |request| peers::handle(shared.clone(), request);
        let peers = Listener::open_named("peers", peers, default_limits(), handler).await?;
        *state.peer_address.borrow_mut() = peers.address().to_string();
        let (name, address) = (state.node.name.clone(), peers.address().to_string());
        *state.key_owner.borrow_mut() =
            idempotency::Owner::new(idempotency::Member { name, address });
        let shared = state.clone();
        let handler = move |request| operators::handle(shared.clone(), request);
        let operators =
            Listener::open_named("operators", operators, default_limits(), handler).await?;
        vm_list::start(&state);
        revisions::start(&state);
        engines::start(&state);
        peers::start(&state);
        orders::start(&state);
        state.driver.spawn_timer();
        Ok(Router { state, callers, peers, operators })
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the listener for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Address of the listener for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Whether it has settings that aren't in doubt after a pause of the process, and isn't draining.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Revision of the settings in force.
    pub fn revision(&self) -> Option<u64> {
        self.state.settings().map(|settings| settings.revision)
    }

    /// Number of requests that were received and haven't been answered completely.
    pub fn open_requests(&self) -> usize {
        self.state.open_requests()
    }

    /// Shuts down gracefully: the node stops being ready, its listeners stay open until the load
    /// balancer has noticed, and requests in progress are answered within the settings' grace period:
    /// those whose servers haven't answered shortly before its end get an error response.
    /// Returns the requests that were aborted after it.
    pub async fn drain(&self) -> Vec<ids::Request> {
        self.state.draining.set(true);
        self.callers.drain();
        let limits = self.state.settings().map(|settings| settings.limits.clone());
        let balancer_delay =
            limits.as_ref().map_or(DEFAULT_BALANCER_DELAY, |limits| limits.balancer);
        let grace = limits.as_ref().map_or(Duration::ZERO, |limits| limits.grace);
        let responding = grace / RESPONSE_DIVISOR;
        let until = self.state.clock.now() + balancer_delay + grace - responding;
        self.state.waiting_until.set(Some(until));
        tokio::time::sleep(balancer_delay).await;
        let mut answered = pin!(async {
            self.callers.close().await;
            // A request that must not run twice goes on when its caller's connection ends.
            self.state.wait_until_idle().await;
        });
        if tokio::time::timeout(grace - responding, &mut answered).await.is_err() {
            self.state.end_waiting();
            let _ = tokio::time::timeout(responding, answered).await;
        }
        handover::send(&self.state).await;
        self.abort()
    }

    /// Closes all callers' connections at once; returns the requests that were aborted.
    pub fn abort(&self) -> Vec<ids::Request> {
        let aborted = self.state.open_request_ids();
        for id in aborted.iter().take(MAX_LOGGED_ABORTS) {
            log::warn!(request:% = id; "cut");
        }
        self.callers.abort();
        aborted
    }
}
