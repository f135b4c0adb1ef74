//! What nodes ask each other of what is published, and report of their work.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Method, Request, Response, StatusCode};
use awc::error::{ConnectError, SendRequestError};
use clock::Clock;
use wire::updates::{Update, UpdateRequest, Work};

use crate::adapter::{Adapter, StoreError};
use crate::answer::Answer;
use crate::gossip;
use crate::state::State;

/// Path of the question for updates on the peers' listener.
const UPDATES: &str = "/updates";
/// Path at which seeds tell each other of work.
const WORK: &str = "/work";
/// Largest question: a name and a few numbers.
const QUESTION: usize = 4 << 10;
/// Largest answer: all that is published, several megabytes for ten thousand servers.
const ANSWER: usize = 16 << 20;
/// Time beyond its wait in which a peer must have answered.
const OVERDUE: Duration = Duration::from_millis(500);
/// The same for all there is: some 400 KB for ten thousand servers, which a peer sends to all nodes of
/// its region at once where all of them start.
const ALL: Duration = Duration::from_millis(900);
/// Time to connect to a peer. One that is there takes a round trip, at most some 20 ms between regions;
/// one that has no power would otherwise keep a node waiting that starts without it.
const CONNECT: Duration = Duration::from_millis(60);
/// Time for which a node's report of its work counts.
const COUNTS_FOR: Duration = Duration::from_secs(5);
/// Nodes whose work is remembered, against a flood of names.
const NODES: usize = 2_000;

/// The work that other nodes reported.
#[derive(Default)]
pub(crate) struct Received {
    nodes: RefCell<HashMap<String, (Instant, Work)>>,
}

impl Received {
    fn note(&self, name: &str, work: Work, now: Instant) {
        let mut nodes = self.nodes.borrow_mut();
        nodes.retain(|_, (at, _)| now < *at + COUNTS_FOR);
        if nodes.len() < NODES || nodes.contains_key(name) {
            nodes.insert(name.to_string(), (now, work));
        }
    }

    /// The sum of all of it.
    pub(crate) fn sum(&self, now: Instant) -> Work {
        let nodes = self.nodes.borrow();
        let fresh = nodes.values().filter(|(at, _)| now < *at + COUNTS_FOR);
        fresh.fold(Work::default(), |sum, (_, work)| sum.plus(*work))
    }
}

/// A client of peers.
pub(crate) fn client() -> awc::Client {
    let connector = awc::Connector::new().timeout(CONNECT);
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// Asks a peer for what changed after a position.
pub(crate) async fn ask<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    wait: Duration,
) -> Result<Update, StoreError> {
    let ask = UpdateRequest {
        from: state.node().name.clone(),
        address: Some(state.node().peers),
        position: state.replica.borrow().at(),
        wait_ms: wait.as_millis() as u32,
        work: state.own_work(),
    };
    let down =
        |cause: &dyn std::fmt::Display| StoreError::Unavailable(format!("peer {peer}: {cause}"));
    let call = async {
        let request = state.peer_client.post(format!("http://{peer}{UPDATES}"));
        let mut response = request.send_body(ask.encode()).await.map_err(|cause| match cause {
            SendRequestError::Connect(ConnectError::Io(cause))
                if cause.kind() == io::ErrorKind::ConnectionRefused =>
            {
                StoreError::ConnectionRefused(peer)
            }
            cause => down(&cause),
        })?;
        let body = response.body().limit(ANSWER).await.map_err(|cause| down(&cause))?;
        match response.status() {
            StatusCode::OK => Update::decode(&body).map_err(|cause| down(&cause)),
            status => Err(down(&status)),
        }
    };
    let overdue = if ask.position.is_none() { ALL } else { OVERDUE };
    let answer = tokio::time::timeout(wait + overdue, call).await;
    answer.unwrap_or_else(|_| Err(down(&"it is silent")))
}

/// Tells a seed of the work that this one heard of itself.
pub(crate) async fn tell<A: Adapter>(state: &State<A>, seed: SocketAddr) -> Result<(), StoreError> {
    let work = state.own_work().plus(state.node_work.sum(state.clock.now()));
    let ask = UpdateRequest { from: state.node().name.clone(), work, ..UpdateRequest::default() };
    let request = state.peer_client.post(format!("http://{seed}{WORK}")).timeout(OVERDUE);
    let sent = request.send_body(ask.encode()).await;
    sent.map(|_| ()).map_err(|cause| StoreError::Unavailable(format!("seed {seed}: {cause}")))
}

/// Answers a call of a peer.
pub(crate) async fn handle<A: Adapter>(state: Rc<State<A>>, mut request: Request) -> Answer {
    let status = |status| Response::new(status).map_into_boxed_body();
    let path = request.path().to_string();
    if request.method() == Method::POST && [gossip::NODES, gossip::SEEDS].contains(&path.as_str()) {
        return gossip::handle(&state, request).await;
    }
    if request.method() != Method::POST || ![UPDATES, WORK].contains(&path.as_str()) {
        return status(StatusCode::NOT_FOUND);
    }
    let body = match listen::whole(&mut request, QUESTION).await {
        Ok(body) => body,
        Err(unread) => return unread.answer(),
    };
    listen::received(&request);
    let Ok(ask) = UpdateRequest::decode(&body) else { return status(StatusCode::BAD_REQUEST) };
    let now = state.clock.now();
    if path == WORK {
        state.seed_work.note(&ask.from, ask.work, now);
        return status(StatusCode::OK);
    }
    match ask.address {
        Some(address) if state.is_seed() => state.followers.note(address),
        _ => state.followers.delegated(now),
    }
    if !loaded(&state, Duration::from_millis(ask.wait_ms.into())).await {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.node_work.note(&ask.from, ask.work, now);
    tell_updates(&state, &ask).await
}

/// Whether settings and servers are known, at once or within a time.
async fn loaded<A: Adapter>(state: &State<A>, within: Duration) -> bool {
    let known = async {
        while !state.loaded.get() {
            state.updated.notified().await;
        }
    };
    tokio::time::timeout(within, known).await.is_ok()
}

/// Ends once something was learned. A seed asks its delegate when it has lost the store itself, so what
/// it waits for is that the delegate has read it.
async fn learned<A: Adapter>(state: &State<A>) {
    loop {
        state.updated.notified().await;
        if state.is_seed() || state.store_failures.get() == 0 {
            return;
        }
    }
}

/// Answers once there is an update, or a younger proof that there is none.
async fn tell_updates<A: Adapter>(state: &State<A>, ask: &UpdateRequest) -> Answer {
    let asked = state.clock.awake();
    let update = || state.replica.borrow().at() > ask.position;
    if ask.position.is_some() && !update() {
        let wait = Duration::from_millis(ask.wait_ms.into());
        let _ = tokio::time::timeout(wait, learned(state)).await;
    }
    let (base, items) = match ask.position {
        Some(position) => (None, state.replica.borrow_mut().since(position)),
        None => {
            let (base, newer) = state.replica.borrow_mut().all();
            (Some(base), Some(newer))
        }
    };
    let now = state.clock.now();
    let update = Update {
        at: state.replica.borrow().at().unwrap_or_default(),
        base,
        unknown: items.is_none(),
        items: items.unwrap_or_default(),
        age_ms: state.proof_age_ms().map(|age| age.try_into().unwrap_or(u32::MAX)),
        held_ms: state.clock.awake().saturating_sub(asked).as_millis() as u32,
        lost: state.store_failures.get() > 0,
        returned_ms: state.roster.borrow().returned(now).map(|ago| ago.as_millis() as u32),
        work: state.fleet_work(),
    };
    let mut response = Response::build(StatusCode::OK);
    response.body(update.encode()).map_into_boxed_body()
}
