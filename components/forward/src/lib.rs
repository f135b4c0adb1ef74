//! Proxies requests between callers and backend servers without reading their bodies. The traits of
//! [`adapter`] define how a platform's callers, servers and store communicate; the crate `policy`
//! decides which requests are served, which wait and which server each is sent to, as it does for the
//! router's own interface.

pub mod adapter;
mod answer;
mod attempt;
mod brittle;
mod check;
mod cold;
mod contact;
mod crossing;
mod effects;
mod evacuation;
mod events;
mod follow;
mod gossip;
mod held;
mod hop;
mod identity;
mod intake;
mod limits;
mod mechanism;
mod node;
mod operators;
mod passing;
mod peers;
mod proof;
mod race;
mod reach;
mod registry;
mod response;
mod resumption;
mod serve;
mod standing;
mod state;
mod statements;
mod stop;
mod stream;
mod survival;
mod updates;

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use listen::{Limits, Listener};
use stopping::Schedule;
use tokio::sync::watch;

pub use attempt::end_to_end_headers;
pub use node::{Error, Node, Promises, Resources};

use crate::adapter::{Adapter, Protocols};
use crate::mechanism::Mechanism;
use crate::state::State;

/// Aborted requests that are logged one by one.
const LOGGED_ABORTS: usize = 100;

/// A running node.
pub struct Proxy<A: Adapter> {
    state: Rc<State<A>>,
    callers: Listener,
    operators: Listener,
    peers: Listener,
}

impl<A: Adapter> Proxy<A> {
    /// Starts a node. It is ready once it has the settings in force.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub async fn start(node: Node, adapter: Protocols<A>) -> anyhow::Result<Self> {
        let (callers, operators, peers) = (node.callers, node.operators, node.peers);
        let state = State::new(node, adapter);
        let shared = state.clone();
        let handler = move |request| serve::handle(shared.clone(), request);
        let limits = state.listener_limits.subscribe();
        let callers =
            Listener::open_named_within("callers", &state.buffers, callers, limits, handler)
                .await?;
        let shared = state.clone();
        let handler = move |request| operators::handle(shared.clone(), request);
        let own = watch::channel(Limits::default()).1;
        let operators =
            Listener::open_named_within("operators", &state.buffers, operators, own, handler)
                .await?;
        let shared = state.clone();
        let handler = move |request| updates::handle(shared.clone(), request);
        let own = watch::channel(Limits::default()).1;
        let peers =
            Listener::open_named_within("peers", &state.buffers, peers, own, handler).await?;
        let disabled = state.node().disabled.join(", ");
        if !disabled.is_empty() {
            log::warn!(without = disabled.as_str(); "mechanisms are disabled");
        }
        follow::start(&state);
        reach::start(&state);
        check::start(&state);
        resumption::start(&state);
        if state.switches.is_on(Mechanism::LoadGossip) {
            gossip::start(&state);
        }
        gossip::rates::start(&state);
        state.driver.spawn_timer();
        Ok(Proxy { state, callers, operators, peers })
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the listener for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Address of the listener for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Whether the node has the settings in force, can prove that they are the newest, and isn't
    /// draining.
    pub fn ready(&self) -> bool {
        self.state.ready()
    }

    /// Number of requests that were received and not yet answered to the end.
    pub fn open_requests(&self) -> usize {
        self.state.open_requests()
    }

    /// Applies the node's own settings after they were read again. No open request is aborted;
    /// changed addresses of the listeners and the store only take effect after a restart.
    pub fn reload(&self, node: Node) {
        let current = self.state.node();
        let moved = (current.callers, current.operators, current.store)
            != (node.callers, node.operators, node.store);
        if moved {
            log::warn!("addresses in the node's settings changed; restart the node to use them");
        }
        self.state.reload(node);
    }

    /// Shuts down gracefully: reports that the node isn't ready, keeps the listener open until the
    /// load balancer has noticed, and finishes open requests within the grace period. Shortly before
    /// its end, requests that are still open get error responses. Connections that are open after that
    /// are aborted; returns the ids of their requests.
    pub async fn drain(&self) -> Vec<String> {
        let schedule = Schedule::new(self.state.node().grace_period());
        self.state.begin_stop(schedule);
        self.callers.drain();
        let stop = &self.state.stop;
        let _ = stop.until_responding(tokio::time::sleep(schedule.listening)).await;
        let mut answered = pin!(async {
            self.callers.close().await;
            self.state.wait_until_idle().await;
            // Peers take the rest of their answers. What they ask besides isn't waited for: they ask other nodes.
            tokio::select! {
                () = self.peers.close() => {}
                () = stop.until_hops_closed() => {}
            }
        });
        let waiting = schedule.waiting - schedule.listening;
        if stop.timeout(waiting, &mut answered).await.is_err() {
            log::info!(open = self.open_requests(); "servers are no longer waited for");
            stop.end_waiting();
            let responding = schedule.responding - schedule.waiting;
            let _ = tokio::time::timeout(responding, answered).await;
        }
        self.abort()
    }

    /// Ends the waiting for servers in a graceful shutdown: all open requests get error responses now, as they would shortly
    /// before the end of the grace period.
    pub fn end_waiting(&self) {
        self.state.stop.end_waiting();
    }

    /// Closes all callers' connections at once; returns the ids of the requests that were aborted.
    pub fn abort(&self) -> Vec<String> {
        let aborted = self.state.open_request_ids();
        for id in aborted.iter().take(LOGGED_ABORTS) {
            log::warn!(request = id.as_str(); "cut");
        }
        self.callers.abort();
        aborted
    }
}
