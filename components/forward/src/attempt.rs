//! Sends one attempt of a request to one backend server and receives the start of its answer.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, Response, ResponseHead, StatusCode, Uri, Version};
use attribution::{Attributed, Message, Outcome};
use buffers::{Buffer, Exceeded, Share};
use bytes::Bytes;
use catalog::Entry;
use clock::Clock;
use endings::Finding;
use http_client::{Body, Connection, Delimiter};
use lifecycle::Unsent;
use origins::Identity;
use policy::{Ending, Reason};
use tokio::time::Instant;

use crate::adapter::{Adapter, Attempt, ServerProtocol, Statement, Verdict};
use crate::answer::Answer;
use crate::cold;
use crate::events::{Gap, OutOfOrder, Splitter, Truncated};
use crate::held::Held;
use crate::hop;
use crate::identity;
use crate::intake::Received;
use crate::mechanism::Mechanism;
use crate::reach;
use crate::response::{self, Arrival, Source};
use crate::state::State;
use crate::statements;
use crate::survival::{self, Survival};

/// Time to connect to a server. A running one accepts within a round trip of a few tens of
/// milliseconds; nothing was sent yet, so another server can be tried at once.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Most that is read of a body which no caller gets, so that its connection can be used again.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Longest time for which such a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest event of a stream. It is held until it is whole, and hundreds of streams are open at once.
const MAX_EVENT_BYTES: usize = 128 << 10;
/// A buffer that grows has room for up to so many times what it holds.
const GROWTH: usize = 2;
/// Largest answer that is buffered until it is complete, so that the request can still be retried at
/// another server if it is interrupted. A larger one is passed on as it arrives, and so is any for which the budget of the
/// node's buffers has no room.
pub(crate) const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Why an attempt brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// No connection was made.
    #[error("can't connect to the server ({0})")]
    Unreached(String),
    /// The server may no longer be sent the request.
    #[error("the request wasn't sent: the server is {}", .0.as_str())]
    Held(Reason),
    /// Another server has the address.
    #[error("another server has its address now")]
    Misdirected(Attributed),
    /// Nothing shows that the server has the software with which a stream must go on.
    #[error("the request wasn't sent: the process there isn't known to be the listed one ({})", .0.as_str())]
    Unidentified(Identity),
    /// The server states that it didn't run the request.
    #[error("the server declined with status {0}")]
    Declined(u16, Attributed),
    /// The connection broke or the response is invalid; the request may have run.
    #[error("{0}")]
    Lost(String),
    /// The events aren't those of one answer, so no other server can continue it.
    #[error("the events of the answer are out of order: {0}")]
    OutOfOrder(OutOfOrder),
    /// The server left events out, which another one can still send.
    #[error("{0}")]
    Incomplete(Gap),
    /// The stream began with weights of another version.
    #[error("the server went on with weights {got}, and the stream has {expected}")]
    OtherWeights {
        /// Version of the stream's last event.
        expected: u64,
        /// Version that the server stated.
        got: u64,
    },
    /// The request ran, and the server responded with an error.
    #[error("the server failed with status {}", .0.status.as_u16())]
    ServerError(Box<WholeReply>),
    /// The part of the answer that isn't whole takes more room than this node has left.
    #[error("{0}")]
    Full(Exceeded),
    /// No answer came in time; the request may have run.
    #[error("no answer in time")]
    TimedOut,
}

impl From<http_client::Error> for AttemptError {
    fn from(cause: http_client::Error) -> Self {
        match cause {
            http_client::Error::Full(cause) => AttemptError::Full(cause),
            cause => AttemptError::Lost(cause.to_string()),
        }
    }
}

impl AttemptError {
    /// Proof that the attempt didn't run, if there is one.
    pub(crate) fn not_run_proof(&self) -> Option<Unsent> {
        match self {
            AttemptError::Unreached(_)
            | AttemptError::Held(_)
            | AttemptError::Misdirected(_)
            | AttemptError::Unidentified(_)
            | AttemptError::Declined(..) => Some(Unsent::assume()),
            AttemptError::Lost(_)
            | AttemptError::OutOfOrder(_)
            | AttemptError::Incomplete(_)
            | AttemptError::OtherWeights { .. }
            | AttemptError::ServerError(_)
            | AttemptError::Full(_)
            | AttemptError::TimedOut => None,
        }
    }

    /// Whether the server may have received the request, even if it didn't run it.
    pub(crate) fn may_have_arrived(&self) -> bool {
        !matches!(
            self,
            AttemptError::Unreached(_) | AttemptError::Held(_) | AttemptError::Unidentified(_)
        )
    }

    /// How the attempt ended, for the scheduler.
    pub(crate) fn ending(&self) -> Ending {
        match self {
            AttemptError::Unreached(_) => Ending::Unreached,
            AttemptError::Misdirected(_) | AttemptError::Unidentified(Identity::Other) => {
                Ending::Misdirected
            }
            AttemptError::Held(_) => Ending::Held,
            AttemptError::Declined(..) | AttemptError::Unidentified(_) => Ending::NotRun,
            AttemptError::ServerError(_) => Ending::ServerError,
            AttemptError::Lost(_) => Ending::Broken,
            AttemptError::OutOfOrder(_)
            | AttemptError::Incomplete(_)
            | AttemptError::OtherWeights { .. }
            | AttemptError::Full(_)
            | AttemptError::TimedOut => Ending::Failed,
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct WholeReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Held,
}

impl WholeReply {
    /// The response to the caller.
    pub(crate) fn into_response(self) -> Answer {
        let mut response = Response::new(self.status);
        *response.headers_mut() = self.headers;
        response.set_body(self.body).map_into_boxed_body()
    }
}

/// An answer that may be passed on to the caller.
pub(crate) enum Reply {
    /// It is complete.
    Whole(WholeReply),
    /// The rest follows.
    Partial(Box<PartialReply>),
}

impl Reply {
    /// Its status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Reply::Whole(whole) => whole.status,
            Reply::Partial(partial) => partial.status,
        }
    }
}

/// An answer whose body is still being received.
pub(crate) struct PartialReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// Version of the model's weights with which it begins, if the server states that.
    pub(crate) weights: Option<u64>,
    /// What the head holds, until it is passed on.
    head_share: Option<Share>,
    server: Rc<Entry>,
    /// How long the server keeps the connection open while idle, if it stated that.
    keep_alive: Option<Duration>,
    body: Body,
    /// Splits the body into events, if it is a stream of them.
    splitter: Option<Splitter>,
    /// What the splitter holds.
    share: Share,
    /// Chunks that were read before the answer was passed on.
    first: VecDeque<Chunk>,
    ended: bool,
    /// What followed the last whole event, once the body has ended.
    rest: Option<Bytes>,
    survival: Rc<Survival>,
    /// When bytes of it last arrived.
    alive_at: Instant,
    /// A witness of its server was opened before its request was sent, or should have been.
    prepared: bool,
    /// Which process of its server sends it.
    pub(crate) identity: Identity,
    /// The question to the server whether it still runs.
    waiting: Option<survival::Waiting>,
    /// Where a server that isn't an engine is asked for its health.
    health_path: Option<String>,
    /// Whether the server still ran after the answer had ended with its connection.
    finding: Option<Finding>,
}

/// What is known of the end of an answer.
#[derive(Clone, Copy)]
pub(crate) struct End {
    /// How the end is marked.
    pub(crate) delimiter: Delimiter,
    /// Number of bytes after the last whole event.
    pub(crate) cut_bytes: usize,
    /// Ids between those of its events that no event had.
    pub(crate) skipped_ids: u64,
    /// Whether the server still ran after the answer had ended with its connection; none if it hasn't ended so.
    pub(crate) finding: Option<Finding>,
}

/// A chunk of an answer.
pub(crate) struct Chunk {
    pub(crate) bytes: Held,
    /// Number of events with an id in it; 1 if the answer isn't a stream.
    pub(crate) events: u32,
}

impl PartialReply {
    /// Takes the headers, which are written at once.
    pub(crate) fn take_headers(&mut self) -> HeaderMap {
        self.head_share = None;
        std::mem::take(&mut self.headers)
    }

    /// The server that sends the answer.
    pub(crate) fn server(&self) -> &Rc<Entry> {
        &self.server
    }

    /// Id of the last event that [`PartialReply::next_chunk`] returned or will return next.
    pub(crate) fn last_event_id(&self) -> Option<u64> {
        self.splitter.as_ref().and_then(Splitter::last_id)
    }

    /// The next chunk; none after the regular end of the answer.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Chunk>, AttemptError> {
        if let Some(first) = self.first.pop_front() {
            return Ok(Some(first));
        }
        while !self.ended {
            if let Some(gap) = self.splitter.as_ref().and_then(Splitter::gap) {
                return Err(AttemptError::Incomplete(gap));
            }
            let Some(bytes) = self.body.next().await? else {
                return self.end().await;
            };
            self.alive_at = Instant::now();
            let Some(splitter) = &mut self.splitter else {
                return Ok(Some(Chunk { bytes: bytes.into(), events: 1 }));
            };
            let growth = splitter.pending_bytes() + bytes.len();
            self.share.resize(GROWTH * growth).map_err(AttemptError::Full)?;
            let batch = splitter.push(&bytes).map_err(AttemptError::OutOfOrder)?;
            if let Some(batch) = batch {
                let share = self.share.split(GROWTH * batch.bytes.len());
                let bytes = Held::new(batch.bytes, share);
                return Ok(Some(Chunk { bytes, events: batch.events }));
            }
            if self.cut_bytes() > MAX_EVENT_BYTES {
                return Err(AttemptError::Lost("an event of the answer doesn't end".to_string()));
            }
        }
        Ok(None)
    }

    /// Ends the answer, whose body has ended regularly, and returns what is left of it. If only the end of the
    /// connection marks its end, it is complete only if its server still runs.
    async fn end(&mut self) -> Result<Option<Chunk>, AttemptError> {
        if self.rest.is_none() {
            let rest = self.finish().map_err(|cause| AttemptError::Lost(cause.to_string()))?;
            self.rest = Some(rest);
        }
        if self.delimiter() == Delimiter::Connection {
            let finding = match (self.finding, &mut self.waiting) {
                (Some(finding), _) => finding,
                (None, Some(waiting)) => waiting.finding().await,
                (None, None) => {
                    let since = (self.alive_at, self.prepared);
                    let health_path = self.health_path.as_deref();
                    let waiting = self.survival.inquire(&self.server, health_path, since);
                    self.waiting.insert(waiting).finding().await
                }
            };
            if self.finding.replace(finding).is_none() {
                self.survival.count(finding);
            }
            if !finding.is_complete() {
                let cause = "the connection ended without proof that the answer is complete";
                return Err(AttemptError::Lost(format!("{cause} (server: {})", finding.as_str())));
            }
        }
        self.ended = true;
        let bytes = self.rest.take().unwrap_or_default();
        Ok((!bytes.is_empty()).then_some(Chunk { bytes: bytes.into(), events: 0 }))
    }

    /// Whether its body has ended regularly, and only proof that it is complete is missing.
    pub(crate) fn awaits_proof(&self) -> bool {
        self.rest.is_some()
    }

    /// Whether it is a stream of events, which another server can continue.
    pub(crate) fn is_stream(&self) -> bool {
        self.splitter.is_some()
    }

    /// How the end of the answer is marked.
    fn delimiter(&self) -> Delimiter {
        self.body.delimiter()
    }

    /// Number of bytes that arrived after the last whole event.
    fn cut_bytes(&self) -> usize {
        self.splitter.as_ref().map_or(0, Splitter::pending_bytes)
    }

    /// What is known of the end of the answer.
    pub(crate) fn end_state(&self) -> End {
        End {
            delimiter: self.delimiter(),
            cut_bytes: self.cut_bytes(),
            skipped_ids: self.splitter.as_ref().map_or(0, Splitter::skipped_ids),
            finding: self.finding,
        }
    }

    /// Checks that the body, which ended regularly, holds a complete answer; returns what is left of it.
    fn finish(&mut self) -> Result<Bytes, Truncated> {
        let delimiter = self.delimiter();
        self.splitter.as_mut().map_or(Ok(Bytes::new()), |splitter| splitter.finish(delimiter))
    }

    /// Returns the connection to the pool if the answer has ended regularly; `outcome` is what it has carried with it.
    pub(crate) fn release_connection<A: Adapter>(self, state: &State<A>, outcome: Outcome) {
        if self.ended {
            state.keep_connection(&self.server, self.body, outcome, self.keep_alive);
        }
    }
}

/// What an attempt adds to the request of the caller.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// Id of the event after which a stream has to continue.
    pub(crate) last_event_id: Option<u64>,
    /// The server whose cached part of the prompt is copied.
    pub(crate) fetch_from: Option<Rc<Entry>>,
    /// The server that keeps a copy of the run.
    pub(crate) backup: Option<Rc<Entry>>,
    /// The run continues from the copy that the attempt's server keeps.
    pub(crate) from_copy: bool,
    /// Version of the model's weights with which the stream has to continue.
    pub(crate) weights: Option<u64>,
    /// The scheduler's key of the request.
    pub(crate) job: ids::Job,
}

/// Sends a request to a server and waits for its answer, or the start of one that is passed on as it
/// arrives. Until this returns, the caller has received nothing, and another attempt may follow.
pub(crate) async fn send<A: Adapter>(
    state: &Rc<State<A>>,
    received: &Received,
    server: &Rc<Entry>,
    plan: &Plan,
) -> Result<Reply, AttemptError> {
    let prepared = state.survival.prepare(server).await.map_err(|cause| {
        reach::record_unreached(state, server);
        AttemptError::Unreached(cause.to_string())
    })?;
    let message = received.message();
    let mut connection = connect(state, server, &[message]).await?;
    let mut identity = Identity::Unstated;
    if received.is_resumable() {
        (connection, identity) = identity::identify(state, server, connection, message).await?;
        let continues = received.request.version.is_some() || plan.last_event_id.is_some();
        if continues && !plan.from_copy && !identity.is_accepted() {
            state.pool.put_unused(&server.address, connection);
            return Err(AttemptError::Unidentified(identity));
        }
    }
    if let Some(reason) = hold_reason(state, plan.job) {
        state.pool.put_unused(&server.address, connection);
        return Err(AttemptError::Held(reason));
    }
    let head = request_head(state, received, server, plan);
    let earlier = received.arrivals.replace(received.arrivals.get() + 1);
    state.metrics.count_arrival(&received.route().name, earlier > 0);
    let sent = state.clock.now();
    reach::record_sent(state, server);
    statements::record_send(state, &received.call.id, server);
    let carried = connection.history().carried();
    let source = Source { port: connection.local_port(), carried };
    let mut share = state.buffers.share();
    let (head, body) =
        connection.exchange(message, head, received.body.clone(), &mut share).await?;
    reach::record_reached(state, server);
    let response =
        response::receive(state, received, server, source, (head, body), &mut share).await?;
    let Arrival { head, body, verdict, attributed, .. } = response;
    let statement = state.adapter.servers.read_statement(&head);
    statements::record(state, server, &head, &verdict, &statement, sent);
    match verdict {
        Verdict::Answer => {}
        Verdict::Declined => {
            let status = head.status.as_u16();
            log::info!(
                request = received.call.id.as_str(), server = server.name.as_str(), status = status,
                connection = source.port, carried = source.carried, skipped = response.skipped;
                "the server declined a request"
            );
            let refused = (body, Outcome::Refused(response.naming));
            let recycling = recycle(state.clone(), server.clone(), refused, statement.keep_alive);
            actix_rt::spawn(recycling);
            return Err(AttemptError::Declined(status, attributed));
        }
        // It may be the server that was expected, with other weights.
        Verdict::Misdirected if plan.weights.is_some() && statement.name.is_none() => {
            return Err(AttemptError::Declined(head.status.as_u16(), attributed));
        }
        Verdict::Misdirected => return Err(AttemptError::Misdirected(attributed)),
        Verdict::Unsigned(cause) | Verdict::Invalid(cause) => {
            return Err(AttemptError::Lost(cause));
        }
    }
    if let (Some(expected), Some(got)) = (plan.weights, statement.weights)
        && expected != got
        && head.status.is_success()
    {
        return Err(AttemptError::OtherWeights { expected, got });
    }
    let after = plan.last_event_id;
    let received_from = (body, share, prepared);
    let mut reply =
        receive_reply(state, received, server, (head, statement), received_from, after).await?;
    if let Reply::Partial(reply) = &mut reply {
        reply.identity = identity;
    }
    Ok(reply)
}

/// Takes an idle connection to a server that may carry `messages`, or makes one.
pub(crate) async fn connect<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    messages: &[Message],
) -> Result<Connection, AttemptError> {
    if let Some(connection) = state.pool.take(&server.address, messages) {
        return Ok(connection);
    }
    state.metrics.count_connection();
    let connection = Connection::connect(&server.address, CONNECT_TIMEOUT).await;
    match connection {
        Ok(_) => reach::record_reached(state, server),
        Err(_) => reach::record_unreached(state, server),
    }
    connection.map_err(|cause| AttemptError::Unreached(cause.to_string()))
}

/// Why a request may not be sent to the server that it was assigned to; none if it may. What is known of the server
/// may have changed while the connection was made.
fn hold_reason<A: Adapter>(state: &State<A>, job: ids::Job) -> Option<Reason> {
    let hold = state.driver.scheduler.borrow().hold_at_send(job, state.clock.now());
    hold.map(|hold| hold.reason).or_else(|| cold::use_permit(state, job))
}

/// Receives an answer whose head was accepted: the first events of a stream, or the whole of any other
/// answer up to [`MAX_BUFFERED_BYTES`].
async fn receive_reply<A: Adapter>(
    state: &Rc<State<A>>,
    received: &Received,
    server: &Rc<Entry>,
    (head, statement): (ResponseHead, Statement),
    (body, head_share, prepared): (Body, Share, bool),
    last_event_id: Option<u64>,
) -> Result<Reply, AttemptError> {
    let media = head.headers.get("content-type").and_then(|value| value.to_str().ok());
    let events = media.is_some_and(|media| media.starts_with("text/event-stream"));
    let success = head.status.is_success();
    log::debug!(server = server.name.as_str(), idle:? = statement.keep_alive; "answer started");
    let mut headers = end_to_end_headers(&head.headers);
    if received.hop.is_some() {
        hop::name_server(&mut headers, server);
    }
    let splitter = (success && events)
        .then(|| Splitter::resuming_after(last_event_id).sent_by(state.numberings.source(server)));
    let mut reply = PartialReply {
        status: head.status,
        headers,
        weights: statement.weights,
        server: server.clone(),
        keep_alive: statement.keep_alive,
        body,
        splitter,
        head_share: Some(head_share),
        share: state.buffers.share(),
        first: VecDeque::new(),
        ended: false,
        rest: None,
        survival: state.survival.clone(),
        alive_at: Instant::now(),
        prepared,
        identity: Identity::Unstated,
        waiting: None,
        health_path: None,
        finding: None,
    };
    if reply.delimiter() == Delimiter::Connection {
        reply.health_path = health_path(state, server);
        state.survival.watch(server);
    }
    if reply.splitter.is_some() {
        reply.first = reply.next_chunk().await?.into_iter().collect();
        if reply.first.front().is_some_and(|chunk| chunk.events > 0) {
            received.began.set(true);
            state.crashes.record_beginning(&received.subject);
        }
        return Ok(Reply::Partial(Box::new(reply)));
    }
    if success && received.route().kind.is_stream() {
        return Err(AttemptError::Lost("the answer isn't a stream of events".to_string()));
    }
    let max_buffered =
        if state.switches.is_on(Mechanism::AnswerBuffering) { MAX_BUFFERED_BYTES } else { 0 };
    let mut all = Buffer::new(state.buffers.share());
    while let Some(chunk) = reply.next_chunk().await? {
        let fits = all.len() + chunk.bytes.len() <= max_buffered;
        if !fits || all.push(chunk.bytes.as_slice()).is_err() {
            let before = (!all.is_empty()).then(|| Chunk { bytes: all.into(), events: 1 });
            reply.first = before.into_iter().chain([chunk]).collect();
            return Ok(Reply::Partial(Box::new(reply)));
        }
    }
    let (status, headers) = (reply.status, std::mem::take(&mut reply.headers));
    let is_failed = status.is_server_error() && received.repeatable().is_some();
    let outcome = if is_failed { Outcome::Failed } else { Outcome::Answered };
    reply.release_connection(state, outcome);
    let whole = WholeReply { status, headers, body: all.into() };
    if status.is_server_error() {
        return Err(AttemptError::ServerError(Box::new(whole)));
    }
    Ok(Reply::Whole(whole))
}

/// Where the servers of a service that aren't engines are asked for their health.
fn health_path<A: Adapter>(state: &State<A>, server: &Entry) -> Option<String> {
    let settings = state.settings.borrow();
    settings.as_ref()?.services.get(&server.service)?.health_path.clone()
}

/// Reads and drops a body; returns whether it ended soon enough.
pub(crate) async fn discard(body: &mut Body) -> Result<bool, http_client::Error> {
    let reading = async {
        let mut discarded = 0;
        while let Some(bytes) = body.next().await? {
            discarded += bytes.len();
            if discarded > MAX_DISCARDED_BYTES {
                return Ok(false);
            }
        }
        Ok(true)
    };
    tokio::time::timeout(DISCARD_TIMEOUT, reading).await.unwrap_or(Ok(false))
}

/// Reads and drops the body of a response, and returns its connection to the pool; `outcome` is what it has carried with it.
async fn recycle<A: Adapter>(
    state: Rc<State<A>>,
    server: Rc<Entry>,
    (mut body, outcome): (Body, Outcome),
    keep_alive: Option<Duration>,
) {
    match discard(&mut body).await {
        Ok(true) => state.keep_connection(&server, body, outcome, keep_alive),
        Ok(false) => {
            log::debug!(server = server.name.as_str(); "connection closed; a discarded response doesn't end");
        }
        Err(cause) => {
            log::debug!(
                server = server.name.as_str(), cause:% = cause;
                "connection closed; a discarded response can't be read to its end"
            );
        }
    }
}

/// The request head of an attempt: the caller's method and target, and the adapter's headers.
fn request_head<A: Adapter>(
    state: &State<A>,
    received: &Received,
    server: &Entry,
    plan: &Plan,
) -> RequestHead {
    let attempt = Attempt {
        server,
        time_left: received.time_left(state),
        workspace: received.found.workspace.as_ref().map(|workspace| workspace.name.as_str()),
        priority: received.found.priority(),
        last_event_id: plan.last_event_id,
        fetch_from: plan.fetch_from.as_deref(),
        backup: plan.backup.as_deref(),
        weights: plan.weights,
        from_copy: plan.from_copy,
    };
    let mut head = RequestHead::default();
    head.method = received.head.method().clone();
    let target = received.head.uri().path_and_query().cloned();
    head.uri = target.map_or_else(Uri::default, Uri::from);
    head.version = Version::HTTP_11;
    head.headers =
        state.adapter.servers.request_headers(received.head.head(), &received.call, &attempt);
    head.set_connection_type(http_client::connection_type(false));
    head
}

/// Headers that apply to one connection only, as do those that the `connection` header lists.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// The end-to-end headers of a message, without those that apply to one connection only.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all("connection").filter_map(|value| value.to_str().ok());
    let listed: Vec<_> =
        listed.flat_map(|value| value.split(',')).map(|name| name.trim().to_lowercase()).collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop =
            HOP_BY_HOP.contains(&name.as_str()) || listed.iter().any(|hop| hop == name.as_str());
        if !hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
