//! Passes a request on to a peer, for a node that can't reach the servers of a service.
//!
//! The peer serves it like one of its own callers', within the time that is left, and never passes it on again.
//! What the peer did not run is not run; once a request was sent to a peer and no answer came, it may have run and
//! isn't sent to any other.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, Request, RequestHead, ResponseHead, Uri};
use attribution::{Naming, Outcome};
use buffers::Buffer;
use bytes::Bytes;
use catalog::Entry;
use futures_util::stream;
use http_client::{Body, Connection, Delimiter};
use lifecycle::Streaming;
use policy::{Incarnation, Prior};
use serde_bytes::ByteBuf;
use wire::hop::Request as Message;

use crate::adapter::{Adapter, CallerProtocol};
use crate::answer::{Answer, Error, Origin};
use crate::attempt::{
    AttemptError, CONNECT_TIMEOUT, MAX_BUFFERED_BYTES, WholeReply, end_to_end_headers,
};
use crate::intake::{self, Content, Hop, Received};
use crate::registry;
use crate::serve::{self, ActiveRequest};
use crate::state::State;
use crate::statements;
use crate::stream::FLUSH_DELAY;

/// Path on the listener for peers.
pub(crate) const PATH: &str = "/hop";
/// Header of the peer's answer with its [`Origin`]. A peer that doesn't know the path sends none.
const ORIGIN: HeaderName = HeaderName::from_static("x-hop-origin");
/// Header of the peer's answer with the start of the server that gave it, as two hexadecimal numbers.
const SERVER: HeaderName = HeaderName::from_static("x-hop-server");
/// Bytes of a message beyond the body and the head of its request.
const MESSAGE_OVERHEAD: usize = 4 << 10;
/// Time beyond its time limit in which the peer itself answers that none came.
const ANSWER_GRACE: Duration = Duration::from_millis(150);

/// The answer of a peer.
pub(crate) enum Reply {
    /// It is complete.
    Whole(Origin, WholeReply),
    /// The rest of a server's answer follows.
    Partial(Box<PartialReply>),
}

/// An answer whose body is still being received from a peer.
pub(crate) struct PartialReply {
    pub(crate) head: WholeReply,
    peer: SocketAddr,
    /// What was read beyond the bytes in [`PartialReply::head`].
    rest: Bytes,
    body: Body,
    ended: bool,
}

impl PartialReply {
    /// The next bytes of the answer; none after its regular end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, http_client::Error> {
        if let Some(bytes) = self.head.body.take_slice() {
            return Ok(Some(bytes));
        }
        if !self.rest.is_empty() {
            return Ok(Some(std::mem::take(&mut self.rest)));
        }
        let next = self.body.next().await?;
        self.ended = next.is_none();
        Ok(next)
    }

    /// Returns the connection to the pool if the answer has ended regularly.
    pub(crate) fn release_connection<A: Adapter>(self, state: &State<A>) {
        if self.ended {
            state.pool.put(&self.peer.to_string(), self.body, Outcome::Answered, None);
        }
    }
}

/// Passes a request on to a peer and waits for its answer, or the start of a stream.
pub(crate) async fn send<A: Adapter>(
    state: &State<A>,
    received: &Received,
    peer: SocketAddr,
    may_have_run: bool,
    prior: Prior,
) -> Result<Reply, AttemptError> {
    let address = peer.to_string();
    let connection = match state.pool.take(&address, &[received.message()]) {
        Some(connection) => connection,
        None => {
            let connection = Connection::connect(&address, CONNECT_TIMEOUT).await;
            connection.map_err(|cause| AttemptError::Unreached(cause.to_string()))?
        }
    };
    let time_left = received.time_left(state);
    let message = encode(state, received, may_have_run, prior, time_left);
    let mut head = RequestHead::default();
    (head.method, head.uri) = (Method::POST, Uri::from_static(PATH));
    head.headers.insert(actix_http::header::HOST, header_value(address.as_bytes()));
    head.set_connection_type(ConnectionType::KeepAlive);
    let answer = async {
        let mut share = state.buffers.share();
        let (head, body) = connection
            .exchange(received.message(), head, message.into(), &mut share)
            .await
            .map_err(lost)?;
        receive(state, peer, head, body).await
    };
    let answer = state.stop.timeout(time_left + ANSWER_GRACE, answer).await;
    answer.unwrap_or(Err(AttemptError::TimedOut))
}

fn lost(cause: http_client::Error) -> AttemptError {
    match cause {
        http_client::Error::Full(cause) => AttemptError::Full(cause),
        cause => AttemptError::Lost(format!("peer: {cause}")),
    }
}

fn header_value(bytes: &[u8]) -> HeaderValue {
    HeaderValue::from_bytes(bytes).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn encode<A: Adapter>(
    state: &State<A>,
    received: &Received,
    may_have_run: bool,
    prior: Prior,
    time_left: Duration,
) -> Vec<u8> {
    let head = received.head.head();
    let headers = end_to_end_headers(&head.headers);
    let pairs = headers
        .iter()
        .map(|(name, value)| (name.as_str().to_string(), ByteBuf::from(value.as_bytes())));
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    Message {
        from: state.node().name.clone(),
        revision: received.revision,
        time_left_ms: time_left.as_millis().try_into().unwrap_or(u32::MAX),
        may_have_run,
        attempts: prior.attempts,
        reached: prior.reached,
        method: head.method.to_string(),
        target: target.to_string(),
        headers: pairs.collect(),
        body: ByteBuf::from(received.body.to_vec()),
    }
    .encode()
}

/// Names the server of an answer to the node that passed its request on: that node learns what the server says of itself
/// from this answer, as if it had received it from there.
pub(crate) fn name_server(headers: &mut HeaderMap, server: &Entry) {
    let Incarnation { salt, start } = registry::incarnation(server);
    headers.insert(SERVER, header_value(format!("{salt:x} {start:x}").as_bytes()));
}

/// The server that gave a peer's answer, if it is named.
fn read_server(headers: &HeaderMap) -> Option<Incarnation> {
    let (salt, start) = headers.get(SERVER)?.to_str().ok()?.split_once(' ')?;
    let number = |text| u64::from_str_radix(text, 16).ok();
    Some(Incarnation { salt: number(salt)?, start: number(start)? })
}

/// Receives the answer of a peer: the whole of it, or the start of a stream.
async fn receive<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    head: ResponseHead,
    mut body: Body,
) -> Result<Reply, AttemptError> {
    let origin = head.headers.get(ORIGIN).and_then(|value| value.to_str().ok()?.parse().ok());
    let is_refusal = matches!(origin, None | Some(Origin::Elsewhere));
    let content =
        if is_refusal { attribution::Content::Refusal } else { attribution::Content::Answer };
    // The responses of peers bear no id. The connections of their refusals aren't kept.
    let Some(attributed) = body.attribute(Naming::Missing, content) else {
        return Err(AttemptError::Lost("peer: the response may be an earlier one".to_string()));
    };
    let origin = match origin {
        None | Some(Origin::Elsewhere) => {
            return Err(AttemptError::Declined(head.status.as_u16(), attributed));
        }
        Some(origin) => origin,
    };
    if body.delimiter() == Delimiter::Connection {
        return Err(AttemptError::Lost("peer: the answer has no length".to_string()));
    }
    let media = head.headers.get("content-type").and_then(|value| value.to_str().ok());
    let is_stream = media.is_some_and(|media| media.starts_with("text/event-stream"));
    let mut headers = end_to_end_headers(&head.headers);
    if let Some(server) = read_server(&headers) {
        statements::record_from_peer(state, server, &head);
    }
    headers.remove(ORIGIN);
    headers.remove(SERVER);
    let mut received = Buffer::new(state.buffers.share());
    let mut rest = Bytes::new();
    while !is_stream && rest.is_empty() {
        let Some(bytes) = body.next().await.map_err(lost)? else {
            state.pool.put(&peer.to_string(), body, Outcome::Answered, None);
            let whole = WholeReply { status: head.status, headers, body: received.into() };
            return Ok(Reply::Whole(origin, whole));
        };
        let fits = received.len() + bytes.len() <= MAX_BUFFERED_BYTES;
        if !fits || received.push(&bytes).is_err() {
            rest = bytes;
        }
    }
    let head = WholeReply { status: head.status, headers, body: received.into() };
    Ok(Reply::Partial(Box::new(PartialReply { head, peer, rest, body, ended: false })))
}

/// An answer that is being passed on from a peer to a caller.
struct Relay<A: Adapter> {
    active: ActiveRequest<A>,
    life: Option<lifecycle::Request<Streaming>>,
    reply: Option<Box<PartialReply>>,
}

impl<A: Adapter> Relay<A> {
    /// The next bytes for the caller; none after the regular end of the answer. An error closes the caller's
    /// connection.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let state = &self.active.state;
        let time_left = self.active.received.time_left(state) + ANSWER_GRACE;
        let next = match &mut self.reply {
            Some(reply) => state.stop.timeout(time_left, reply.next()).await,
            None => return Some(Err(io::Error::other("the answer broke off"))),
        };
        let life = match next {
            Ok(Ok(Some(bytes))) => return Some(Ok(bytes)),
            Ok(Ok(None)) => {
                self.reply.take()?.release_connection(&self.active.state);
                self.active.record_outcome(self.life.take()?.complete().as_str(), 0);
                return None;
            }
            Ok(Err(_)) | Err(_) => self.life.take(),
        };
        self.reply = None;
        if let Some(life) = life {
            self.active.record_outcome(life.truncated().as_str(), 0);
        }
        tokio::time::sleep(FLUSH_DELAY).await;
        Some(Err(io::Error::other("the answer broke off")))
    }
}

/// The body of the response to the caller, from a peer's answer.
pub(crate) fn body<A: Adapter>(
    active: ActiveRequest<A>,
    life: lifecycle::Request<Streaming>,
    reply: Box<PartialReply>,
) -> BoxBody {
    let relay = Relay { active, life: Some(life), reply: Some(reply) };
    let chunks = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Some((bytes, relay))
    });
    BodyStream::new(Box::pin(chunks)).boxed()
}

/// Serves a request that a peer passed on.
pub(crate) async fn answer<A: Adapter>(state: Rc<State<A>>, mut request: Request) -> Answer {
    listen::keep_until_closed(&request, state.stop.hop_guard());
    let mut answer = match read_message(&state, &mut request).await {
        Ok(message) => serve_message(state, message).await,
        Err(answer) => answer,
    };
    let origin = answer.extensions().get::<Origin>().copied().unwrap_or(Origin::Server);
    answer.headers_mut().insert(ORIGIN, HeaderValue::from_static(origin.as_str()));
    answer
}

async fn read_message<A: Adapter>(
    state: &State<A>,
    request: &mut Request,
) -> Result<Message, Answer> {
    let limits = state.settings.borrow().as_ref().map(|settings| settings.limits);
    let Some(limits) = limits else { return Err(Error::SettingsTooOld.response()) };
    let most = limits.max_body + limits.max_head + MESSAGE_OVERHEAD;
    let unreadable = |_| Error::Malformed("a peer's message can't be read".to_string()).response();
    let body = listen::read_body(request, most).await.map_err(unreadable)?;
    listen::mark_body_received(request);
    Message::decode(&body).map_err(|cause| Error::Malformed(cause.to_string()).response())
}

async fn serve_message<A: Adapter>(state: Rc<State<A>>, message: Message) -> Answer {
    if state.draining.get() {
        return Error::Unreachable.response();
    }
    let arrived = state.timestamp();
    let from = message.from.clone();
    let prior = Prior { attempts: message.attempts, reached: message.reached };
    let hop = Hop { revision: message.revision, may_have_run: message.may_have_run, prior };
    let time_left = Duration::from_millis(message.time_left_ms.into());
    let body = Bytes::from(message.body.into_vec());
    let Some(head) = decode_head(&message.method, &message.target, &message.headers) else {
        return Error::Malformed("its head isn't valid".to_string()).response();
    };
    let call = match state.adapter.callers.parse(head.head()) {
        Ok(call) => crate::adapter::Call { timeout: time_left, ..call },
        Err(malformed) => return Error::Malformed(malformed.0).response(),
    };
    let id = call.id.clone();
    let mut open = state.open_request(&id);
    open.add_body_bytes(body.len());
    let content = Content { head, call, body };
    match intake::receive_from_peer(&state, content, arrived, hop).await {
        Ok(received) => {
            log::debug!(request = id.as_str(), from = from.as_str(); "received from a peer");
            serve::serve(state, received, open).await
        }
        Err(error) => {
            log::info!(
                request = id.as_str(), from = from.as_str(), outcome = error.as_str(), cause:% = error;
                "not taken in from a peer"
            );
            error.response()
        }
    }
}

fn decode_head(method: &str, target: &str, headers: &[(String, ByteBuf)]) -> Option<Request> {
    let mut request = Request::new();
    let head = request.head_mut();
    head.method = Method::from_str(method).ok()?;
    head.uri = Uri::from_str(target).ok()?;
    for (name, value) in headers {
        let name = HeaderName::from_str(name).ok()?;
        head.headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(request)
}
