//! Forwards requests unread between callers and backend servers. What a site speaks stands behind
//! the interfaces of [`site`]; whom to serve, who waits and where work goes is decided by `policy`, as
//! for the router's own interface.

mod answer;
mod attempt;
mod crossing;
mod events;
mod follow;
mod gossip;
mod intake;
mod limits;
mod mechanism;
mod names;
mod node;
mod operators;
mod proof;
mod replica;
mod serve;
pub mod site;
mod source;
mod state;
mod stream;
mod updates;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use listen::{Limits, Listener};
use tokio::sync::watch;

pub use attempt::end_to_end;
pub use node::{Error, Node, Promises, Room};

use crate::mechanism::Mechanism;
use crate::site::{Dialects, Site};
use crate::state::State;

/// Time that the callers' listener stays open once readiness is gone: the balancer asks once a
/// second and takes a node out after two misses.
const BALANCER: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace at which what is left is cut, so that the cut is logged.
const SPARE: Duration = Duration::from_millis(400);
/// Requests that a log of what was cut names one by one.
const NAMED: usize = 100;

/// A running node.
pub struct Forward<S: Site> {
    state: Rc<State<S>>,
    callers: Listener,
    operators: Listener,
    peers: Listener,
}

impl<S: Site> Forward<S> {
    /// Starts a node. It is ready once it knows what is in force.
    ///
    /// # Errors
    /// When an address can't be listened at.
    pub async fn start(node: Node, site: Dialects<S>) -> anyhow::Result<Self> {
        let (callers, operators, peers) = (node.callers, node.operators, node.peers);
        let state = State::new(node, site);
        let shared = state.clone();
        let handler = move |request| serve::handle(shared.clone(), request);
        let limits = state.intake.subscribe();
        let callers = Listener::open_for("callers", callers, limits, handler).await?;
        let shared = state.clone();
        let handler = move |request| operators::handle(shared.clone(), request);
        let own = watch::channel(Limits::default()).1;
        let operators = Listener::open_for("operators", operators, own, handler).await?;
        let shared = state.clone();
        let handler = move |request| updates::handle(shared.clone(), request);
        let own = watch::channel(Limits::default()).1;
        let peers = Listener::open_for("peers", peers, own, handler).await?;
        let left_out = state.node().without.join(", ");
        if !left_out.is_empty() {
            log::warn!(without = left_out.as_str(); "mechanisms are left out");
        }
        follow::start(&state);
        if state.without.has(Mechanism::Loads) {
            gossip::start(&state);
        }
        state.turns.start();
        Ok(Forward { state, callers, operators, peers })
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators reach it.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Where peers reach it.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Whether it knows what is in force and isn't draining.
    pub fn ready(&self) -> bool {
        self.state.ready()
    }

    /// Requests that were received and haven't been answered to the end.
    pub fn held(&self) -> usize {
        self.state.held()
    }

    /// Puts the node's own settings, read again, in force. Nothing under way is cut; where the node
    /// listens and where its store is stay as they are until it starts anew.
    pub fn reload(&self, node: Node) {
        let held = self.state.node();
        let moved = (held.callers, held.operators, held.store)
            != (node.callers, node.operators, node.store);
        if moved {
            log::warn!("addresses in the node's settings changed; restart the node to use them");
        }
        self.state.reload(node);
    }

    /// Goes down without cutting a request: readiness goes first, the listener stays open until the
    /// balancer has noticed, and what is in flight is answered within the grace. Returns the names
    /// of requests that were cut.
    pub async fn drain(&self) -> Vec<String> {
        self.state.draining.set(true);
        self.callers.drain();
        let grace = self.state.node().grace().saturating_sub(SPARE);
        let balancer = BALANCER.min(grace / 2);
        tokio::time::sleep(balancer).await;
        let answered = async {
            self.callers.close().await;
            self.state.idle().await;
        };
        let _ = tokio::time::timeout(grace - balancer, answered).await;
        self.cut()
    }

    /// Cuts all callers' connections; returns the names of requests that were cut.
    pub fn cut(&self) -> Vec<String> {
        let cut = self.state.held_ids();
        for id in cut.iter().take(NAMED) {
            log::warn!(request = id.as_str(); "cut");
        }
        self.callers.cut();
        cut
    }
}
