//! The router's process: listeners for callers, peers and operators, and the tasks that follow the
//! platform. One thread carries it all, so its state needs no locks.

mod answer;
mod callers;
mod cells;
mod claim;
mod engines;
mod follow;
mod handover;
mod intake;
mod keyed;
mod operators;
mod orders;
mod peers;
mod place;
mod relay;
mod revisions;
mod shares;
mod state;
mod stream;
mod terms;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use listen::{Limits, Listener};
use settings::node::Node;
use tokio::sync::watch;

use crate::state::State;

/// Time that listeners stay open once readiness is gone, when there are no settings to say it.
const BALANCER: Duration = Duration::from_secs(3);
/// Requests that a log of what was cut names one by one.
const NAMED: usize = 1_000;

/// A running router.
pub struct Router {
    state: Rc<State>,
    callers: Listener,
    peers: Listener,
    operators: Listener,
}

impl Router {
    /// Starts a router with a node's own settings. It is ready once it has settings.
    pub async fn start(node: Node) -> anyhow::Result<Self> {
        let own = || watch::channel(Limits::default()).1;
        let (callers, peers, operators) = (node.callers, node.peers, node.operators);
        let state = State::new(node);
        let shared = state.clone();
        let handler = move |request| callers::handle(shared.clone(), request);
        let callers =
            Listener::open_named("callers", callers, state.limits.subscribe(), handler).await?;
        let shared = state.clone();
        let handler = move |request| peers::handle(shared.clone(), request);
        let peers = Listener::open_named("peers", peers, own(), handler).await?;
        *state.address.borrow_mut() = peers.address().to_string();
        let (name, address) = (state.node.name.clone(), peers.address().to_string());
        *state.home.borrow_mut() = idempotency::Owner::new(idempotency::Member { name, address });
        let shared = state.clone();
        let handler = move |request| operators::handle(shared.clone(), request);
        let operators = Listener::open_named("operators", operators, own(), handler).await?;
        follow::start(&state);
        revisions::start(&state);
        engines::start(&state);
        peers::start(&state);
        orders::start(&state);
        state.driver.spawn_timer();
        Ok(Router { state, callers, peers, operators })
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where peers reach it.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Where operators reach it.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Whether it has settings and isn't draining.
    pub fn ready(&self) -> bool {
        self.state.ready()
    }

    /// Revision of the settings in force.
    pub fn revision(&self) -> Option<u64> {
        self.state.settings().map(|settings| settings.revision)
    }

    /// Requests that were received and haven't been answered to the end.
    pub fn held(&self) -> usize {
        self.state.held()
    }

    /// Goes down without cutting a request: readiness goes first, listeners stay open until the
    /// balancer has noticed, and what is in flight is answered within the grace of the settings.
    /// Returns the requests that were cut.
    pub async fn drain(&self) -> Vec<ids::Request> {
        self.state.draining.set(true);
        self.callers.drain();
        let limits = self.state.settings().map(|settings| settings.limits.clone());
        let balancer = limits.as_ref().map_or(BALANCER, |limits| limits.balancer);
        let grace = limits.as_ref().map_or(Duration::ZERO, |limits| limits.grace);
        tokio::time::sleep(balancer).await;
        let answered = async {
            self.callers.close().await;
            // A request that may not be repeated outlives its caller's connection.
            self.state.idle().await;
        };
        let _ = tokio::time::timeout(grace, answered).await;
        handover::send(&self.state).await;
        self.cut()
    }

    /// Cuts all callers' connections; returns the requests that were cut.
    pub fn cut(&self) -> Vec<ids::Request> {
        let cut = self.state.held_ids();
        for id in cut.iter().take(NAMED) {
            log::warn!(request:% = id; "cut");
        }
        self.callers.abort();
        cut
    }
}
