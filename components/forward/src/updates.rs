//! Exchanges updates of the published settings and servers, and reports of work, between nodes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Method, Request, Response, StatusCode};
use awc::ClientResponse;
use awc::error::{ConnectError, SendRequestError};
use clock::Clock;
use futures_util::StreamExt;
use wire::updates::{Items, Presence, Update, UpdateRequest, Work};

use crate::adapter::{Adapter, StoreError};
use crate::answer::Answer;
use crate::gossip;
use crate::hop;
use crate::resumption;
use crate::standing;
use crate::state::State;

/// Path on the listener for peers at which a node asks for updates.
const UPDATES_PATH: &str = "/updates";
/// Path at which a starting node asks where a peer is and whether it can answer at [`UPDATES_PATH`].
const READY_PATH: &str = "/updates/ready";
/// Path at which seeds report work to each other.
const WORK_PATH: &str = "/work";
/// Largest request in bytes: a name and a few numbers.
const MAX_REQUEST_BYTES: usize = 4 << 10;
/// Largest answer in bytes: everything that is published, several megabytes for ten thousand servers.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time beyond its wait within which a peer must have answered.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Longest pause between two chunks of an answer. An answer with everything, some 400 KB for ten thousand
/// servers, may take longer as a whole: when all nodes start, a peer sends it to hundreds at once. If they gave up
/// after a fixed time, all would ask again together, and none would ever get it.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(900);
/// Slowest pace of an answer in bytes per second, counted from [`CHUNK_TIMEOUT`] after it began.
const MIN_BYTES_PER_S: f64 = 8_192.0;
/// Time to connect to a peer. One that runs takes a round trip, at most some 20 ms between regions. One
/// without power doesn't answer at all, and would keep a starting node waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a node's report of its work counts.
const WORK_LIFETIME: Duration = Duration::from_secs(5);
/// Number of nodes whose work is remembered; bounds the memory under a flood of names.
const MAX_NODES: usize = 2_000;

/// The last report of work of each other node, by the node's name.
#[derive(Default)]
pub(crate) struct WorkReports {
    nodes: RefCell<HashMap<String, (Instant, Work)>>,
}

impl WorkReports {
    pub(crate) fn record(&self, name: &str, work: Work, now: Instant) {
        let mut nodes = self.nodes.borrow_mut();
        nodes.retain(|_, (at, _)| now < *at + WORK_LIFETIME);
        if nodes.len() < MAX_NODES || nodes.contains_key(name) {
            nodes.insert(name.to_string(), (now, work));
        }
    }

    /// The sum of the reports that still count.
    pub(crate) fn sum(&self, now: Instant) -> Work {
        let nodes = self.nodes.borrow();
        let fresh = nodes.values().filter(|(at, _)| now < *at + WORK_LIFETIME);
        fresh.fold(Work::default(), |sum, (_, work)| sum.plus(*work))
    }
}

/// An HTTP client for calls to peers.
pub(crate) fn peer_client() -> awc::Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// A message of this node with its address, era and digest.
fn message<A: Adapter>(state: &State<A>) -> UpdateRequest {
    let replica = state.replica.borrow();
    UpdateRequest {
        from: state.node().name.clone(),
        address: Some(state.node().peers),
        era: replica.position().map(|position| position.era),
        standing: replica.standing_digest(),
        ..UpdateRequest::default()
    }
}

/// The answer of a peer that has begun to arrive.
pub(crate) struct Incoming {
    peer: SocketAddr,
    response: ClientResponse,
}

/// Asks a peer for the changes after this node's position, or for everything; the peer may wait up to `wait` for a
/// change. Returns as soon as its answer begins to arrive.
pub(crate) async fn request_update<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    wait: Duration,
) -> Result<Incoming, StoreError> {
    let ask = UpdateRequest {
        revision: state.replica.borrow().continues_from().map(|known| known.revision),
        wait_ms: wait.as_millis() as u32,
        work: state.own_work(),
        ..message(state)
    };
    let request = state.peer_client.post(format!("http://{peer}{UPDATES_PATH}"));
    let answer = tokio::time::timeout(wait + ANSWER_GRACE, request.send_body(ask.encode())).await;
    let response = answer.map_err(|_| down(peer, &"no answer in time"))?;
    let response = response.map_err(|cause| match cause {
        SendRequestError::Connect(ConnectError::Io(cause))
            if cause.kind() == io::ErrorKind::ConnectionRefused =>
        {
            StoreError::ConnectionRefused(peer)
        }
        cause => down(peer, &cause),
    })?;
    match response.status() {
        StatusCode::OK => Ok(Incoming { peer, response }),
        status => Err(down(peer, &status)),
    }
}

impl Incoming {
    /// Receives the whole answer, for as long as it goes on arriving at some pace.
    pub(crate) async fn receive(mut self) -> Result<Update, StoreError> {
        let (mut body, begun) = (vec![], tokio::time::Instant::now());
        loop {
            let pace = Duration::from_secs_f64(body.len() as f64 / MIN_BYTES_PER_S);
            let slowest =
                (begun + CHUNK_TIMEOUT + pace).duration_since(tokio::time::Instant::now());
            let chunk =
                tokio::time::timeout(CHUNK_TIMEOUT.min(slowest), self.response.next()).await;
            let chunk = chunk.map_err(|_| down(self.peer, &"its answer stopped arriving"))?;
            let Some(chunk) = chunk else { break };
            body.extend_from_slice(&chunk.map_err(|cause| down(self.peer, &cause))?);
            if body.len() > MAX_ANSWER_BYTES {
                return Err(down(self.peer, &"its answer is too long"));
            }
        }
        Update::decode(&body).map_err(|cause| down(self.peer, &cause))
    }
}

/// The error of a peer that gave no usable answer.
fn down(peer: SocketAddr, cause: &dyn std::fmt::Display) -> StoreError {
    StoreError::Unavailable(format!("peer {peer}: {cause}"))
}

/// Asks a peer in which failure domain it is and whether it can send everything that is published; the peer may wait
/// up to `wait` until it can.
pub(crate) async fn request_presence<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    wait: Duration,
) -> Result<Presence, StoreError> {
    let wait_ms = wait.as_millis() as u32;
    let ask =
        UpdateRequest { from: state.node().name.clone(), wait_ms, ..UpdateRequest::default() };
    let request = state.peer_client.post(format!("http://{peer}{READY_PATH}"));
    let sent = request.timeout(wait + ANSWER_GRACE).send_body(ask.encode()).await;
    let mut response = sent.map_err(|cause| down(peer, &cause))?;
    if response.status() != StatusCode::OK {
        return Err(down(peer, &response.status()));
    }
    let body = response.body().limit(MAX_REQUEST_BYTES).await;
    let body = body.map_err(|cause| down(peer, &cause))?;
    Presence::decode(&body).map_err(|cause| down(peer, &cause))
}

/// Offers a seed everything that is published. It asks for it if it has nothing.
pub(crate) async fn offer<A: Adapter>(
    state: &State<A>,
    seed: SocketAddr,
) -> Result<(), StoreError> {
    let revision = state.replica.borrow().continues_from().map(|known| known.revision);
    let ask = UpdateRequest { revision, ..message(state) };
    let request = state.peer_client.post(format!("http://{seed}{READY_PATH}"));
    let sent = request.timeout(ANSWER_GRACE).send_body(ask.encode()).await;
    sent.map(|_| ()).map_err(|cause| down(seed, &cause))
}

/// Asks a peer for what it knows better than the store.
pub(crate) async fn request_standing<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
) -> Result<Update, StoreError> {
    let url = format!("http://{peer}{}", standing::PATH);
    let response = state.peer_client.post(url).send_body(message(state).encode()).await;
    let response = response.map_err(|cause| down(peer, &cause))?;
    match response.status() {
        StatusCode::OK => Incoming { peer, response }.receive().await,
        status => Err(down(peer, &status)),
    }
}

/// Reports to another seed the work of this node and of the nodes that ask it.
pub(crate) async fn report_work<A: Adapter>(
    state: &State<A>,
    seed: SocketAddr,
) -> Result<(), StoreError> {
    let work = state.own_work().plus(state.work_reports.sum(state.clock.now()));
    let ask = UpdateRequest { work, ..message(state) };
    let request = state.peer_client.post(format!("http://{seed}{WORK_PATH}")).timeout(ANSWER_GRACE);
    let sent = request.send_body(ask.encode()).await;
    sent.map(|_| ()).map_err(|cause| StoreError::Unavailable(format!("seed {seed}: {cause}")))
}

/// Answers a request on the listener for peers.
pub(crate) async fn handle<A: Adapter>(state: Rc<State<A>>, mut request: Request) -> Answer {
    let status = |status| Response::new(status).map_into_boxed_body();
    let path = request.path().to_string();
    if request.method() == Method::POST
        && [gossip::NODE_PATH, gossip::SEED_PATH].contains(&path.as_str())
    {
        return gossip::answer_report(&state, request).await;
    }
    if request.method() == Method::POST && path == hop::PATH {
        return hop::answer(state, request).await;
    }
    if request.method() == Method::POST && path == resumption::PATH {
        return resumption::answer(state, request).await;
    }
    let known = [UPDATES_PATH, READY_PATH, WORK_PATH, standing::PATH].contains(&path.as_str());
    if request.method() != Method::POST || !known {
        return status(StatusCode::NOT_FOUND);
    }
    let body = match listen::read_body(&mut request, MAX_REQUEST_BYTES).await {
        Ok(body) => body,
        Err(unread) => return unread.response(),
    };
    listen::mark_body_received(&request);
    let Ok(ask) = UpdateRequest::decode(&body) else { return status(StatusCode::BAD_REQUEST) };
    let now = state.clock.now();
    if path == standing::PATH {
        return standing::answer(&state);
    }
    standing::compare(&state, &ask);
    if let Some(address) = ask.address.filter(|_| ask.revision.is_some())
        && state.is_seed()
        && !state.replica.borrow().is_loaded()
    {
        state.delegates.add_offer(address);
        state.contact.offered.notify_one();
    }
    if path == WORK_PATH {
        state.seed_work_reports.record(&ask.from, ask.work, now);
        return status(StatusCode::OK);
    }
    if path == READY_PATH {
        let loaded = wait_until_loaded(&state, Duration::from_millis(ask.wait_ms.into())).await;
        let ready = loaded && state.contact.failures.get() == 0;
        let presence = Presence { domain: state.node().domain.clone(), ready };
        let mut response = Response::build(StatusCode::OK);
        return response.body(presence.encode()).map_into_boxed_body();
    }
    match ask.address {
        Some(address) if state.is_seed() => state.delegates.add_candidate(address),
        _ => {
            if state.delegates.record_delegation(now) {
                state.contact.delegated.notify_one();
            }
        }
    }
    if !wait_until_loaded(&state, Duration::from_millis(ask.wait_ms.into())).await {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.work_reports.record(&ask.from, ask.work, now);
    answer_update(&state, &ask).await
}

/// Waits until settings and servers are known, at most for a time; returns whether they are.
async fn wait_until_loaded<A: Adapter>(state: &State<A>, within: Duration) -> bool {
    let loaded = async {
        while !state.replica.borrow().is_loaded() {
            state.contact.updated.notified().await;
        }
    };
    tokio::time::timeout(within, loaded).await.is_ok()
}

/// Waits until this node has received an update, a newer proof or a failure of its source. A delegate waits until the
/// store has answered it: the seed asks because it has lost contact with the store itself, so it has no use for what
/// the delegate has from peers.
async fn wait_for_update<A: Adapter>(state: &State<A>) {
    loop {
        state.contact.updated.notified().await;
        if state.is_seed() || state.contact.is_direct() {
            return;
        }
    }
}

/// Answers once there is an update or a newer proof that there is none, or the wait is over.
async fn answer_update<A: Adapter>(state: &State<A>, ask: &UpdateRequest) -> Answer {
    let asked = state.clock.boot_time();
    let known = || {
        let replica = state.replica.borrow();
        (ask.position(replica.era()), replica.position())
    };
    let (from, own) = known();
    let has_news = state.is_seed() || state.contact.is_direct();
    if from.is_some() && (own <= from || !has_news) {
        let wait = Duration::from_millis(ask.wait_ms.into());
        let _ = tokio::time::timeout(wait, wait_for_update(state)).await;
    }
    let (from, own) = known();
    let own = own.unwrap_or_default();
    let gap = from.is_some_and(|from| state.replica.borrow().has_gap_after(from));
    let (base, items) = match from {
        Some(from) => (None, state.replica.borrow_mut().changes_since(from)),
        None => {
            let (base, newer) = state.replica.borrow_mut().snapshot();
            (Some(base), Some(newer))
        }
    };
    let is_known = state.replica.borrow().standing_digest() == ask.standing;
    let standing = if is_known { vec![] } else { state.replica.borrow().standing() };
    let now = state.clock.now();
    let update = Update {
        revision: own.revision,
        era: own.era,
        base,
        history_lost: items.is_none(),
        gap,
        items: items.unwrap_or_default(),
        standing: Items::pack(&standing),
        age_ms: state.proof_age_ms().map(|age| age.try_into().unwrap_or(u32::MAX)),
        waited_ms: state.clock.boot_time().saturating_sub(asked).as_millis() as u32,
        store_lost: state.contact.failures.get() > 0,
        store_returned_ms: state
            .membership
            .borrow()
            .time_since_return(now)
            .map(|ago| ago.as_millis() as u32),
        work: state.fleet_work(),
        path: state.contact.path.borrow().nodes().map(<[SocketAddr]>::to_vec),
    };
    let mut response = Response::build(StatusCode::OK);
    response.body(update.encode()).map_into_boxed_body()
}
