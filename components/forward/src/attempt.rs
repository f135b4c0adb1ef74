//! One attempt at one backend server.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead, StatusCode, Uri, Version};
use bytes::{Bytes, BytesMut};
use catalog::Entry;
use clock::Clock;
use life::Unsent;
use link::{Body, Link};
use policy::Ending;

use crate::adapter::{Adapter, Attempt, ServerProtocol, StatedLimit, Verdict};
use crate::events::{Disorder, Scan};
use crate::intake::Job;
use crate::limits;
use crate::mechanism::Mechanism;
use crate::state::State;

/// Time to connect to a server. One that is there answers within a round trip of a few tens of
/// milliseconds; nothing was sent yet, so another server can be tried at once.
const CONNECT: Duration = Duration::from_millis(300);
/// Answers to other requests that are read past on one connection.
const CROSSED: u32 = 2;
/// Bytes of an answer that are held back until all of it came, so that a server which breaks it off
/// can still be replaced by another. A longer one is passed on as it comes.
const WHOLE: usize = 256 << 10;

/// Why an attempt brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Trouble {
    /// No connection was made.
    #[error("no connection ({0})")]
    Unreached(String),
    /// Another server has the address.
    #[error("another server has its address now")]
    Misdirected,
    /// The server says that it ran nothing.
    #[error("it declined with status {0}")]
    Declined(u16),
    /// It may have run.
    #[error("{0}")]
    Lost(String),
    /// Its events aren't those of one answer, so no other server can go on with it.
    #[error("its events are out of order: {0}")]
    Disorder(Disorder),
    /// It ran, and the server answered that it failed.
    #[error("it failed with status {}", .0.status.as_u16())]
    Failed(Box<Whole>),
    /// The time for an answer passed.
    #[error("no answer in time")]
    Late,
}

impl Trouble {
    /// Proof that nothing ran, if there is.
    pub(crate) fn unsent(&self) -> Option<Unsent> {
        match self {
            Trouble::Unreached(_) | Trouble::Misdirected | Trouble::Declined(_) => {
                Some(Unsent::vouch())
            }
            Trouble::Lost(_) | Trouble::Disorder(_) | Trouble::Failed(_) | Trouble::Late => None,
        }
    }

    pub(crate) fn ending(&self) -> Ending {
        match self {
            Trouble::Unreached(_) | Trouble::Misdirected => Ending::Unreached,
            Trouble::Declined(_) => Ending::NotRun,
            Trouble::Failed(_) => Ending::ServerError,
            Trouble::Lost(_) | Trouble::Disorder(_) | Trouble::Late => Ending::Failed,
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The start of an answer that may be passed on.
pub(crate) enum Start {
    /// All of it.
    Whole(Whole),
    /// The rest follows.
    Passing(Box<Source>),
}

/// An answer under way.
pub(crate) struct Source {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    address: String,
    idle: Option<Duration>,
    body: Body,
    /// Splits it into events, if it is a stream of them.
    scan: Option<Scan>,
    /// What came before it was passed on.
    first: Option<Part>,
    ended: bool,
}

/// A part of an answer.
pub(crate) struct Part {
    pub(crate) bytes: Bytes,
    /// Events in it.
    pub(crate) events: u32,
}

impl Source {
    /// Id of the last event that was passed on, or will be with the part at hand.
    pub(crate) fn last(&self) -> Option<u64> {
        self.scan.as_ref().and_then(Scan::last)
    }

    /// The next part; none at the true end of the answer.
    pub(crate) async fn next(&mut self) -> Result<Option<Part>, Trouble> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        let lost = |cause: link::Error| Trouble::Lost(cause.to_string());
        while !self.ended {
            let Some(bytes) = self.body.next().await.map_err(lost)? else {
                self.ended = true;
                let rest = self.scan.as_mut().map(Scan::rest).unwrap_or_default();
                return Ok((!rest.is_empty()).then_some(Part { bytes: rest, events: 0 }));
            };
            let Some(scan) = &mut self.scan else { return Ok(Some(Part { bytes, events: 1 })) };
            let piece = scan.push(&bytes).map_err(Trouble::Disorder)?;
            if let Some(piece) = piece {
                return Ok(Some(Part { bytes: piece.bytes, events: piece.events }));
            }
        }
        Ok(None)
    }

    /// Keeps the connection, once the answer has ended.
    pub(crate) fn keep<A: Adapter>(self, state: &State<A>) {
        if self.ended {
            state.pool.put(&self.address, self.body, self.idle);
        }
    }
}

/// Sends a request to a server and waits for the first of its answer that a caller can be given.
/// Until then nothing is promised to the caller, and another attempt may follow.
pub(crate) async fn ask<A: Adapter>(
    state: &Rc<State<A>>,
    job: &Job,
    server: &Entry,
    after: Option<u64>,
    fetch: Option<Rc<Entry>>,
) -> Result<Start, Trouble> {
    let link = match state.pool.take(&server.address) {
        Some(link) => link,
        None => {
            state.metrics.connected();
            let link = Link::connect(&server.address, CONNECT).await;
            link.map_err(|cause| Trouble::Unreached(cause.to_string()))?
        }
    };
    let head = outgoing(state, job, server, after, fetch);
    let sent = state.clock.now();
    let lost = |cause: link::Error| Trouble::Lost(cause.to_string());
    let (mut head, mut body) = link.exchange(head, job.body.clone()).await.map_err(lost)?;
    let mut crossed = 0;
    loop {
        let verdict = state.adapter.servers.check_response(&head, &job.call, server);
        if matches!(verdict, Verdict::Answer | Verdict::Declined) {
            let limit = state.adapter.servers.rate_limit(&head);
            // What a server says that runs nothing, or fails, needn't name its limit.
            if limit != StatedLimit::Unspecified || head.status.is_success() {
                limits::record_answer(state, server, &limit, sent);
            }
        }
        match verdict {
            Verdict::Answer => break,
            Verdict::Declined => {
                let status = head.status.as_u16();
                drain(state, server, &head, body).await;
                return Err(Trouble::Declined(status));
            }
            Verdict::Misdirected => return Err(Trouble::Misdirected),
            Verdict::Invalid(cause) => return Err(Trouble::Lost(cause)),
            Verdict::Mismatched if crossed < CROSSED => {
                crossed += 1;
                state.metrics.crossed();
                while body.next().await.map_err(lost)?.is_some() {}
                (head, body) = body.further().await.map_err(lost)?;
            }
            Verdict::Mismatched => return Err(Trouble::Lost("it answers other requests".into())),
        }
    }
    begin(state, job, server, head, body, after).await
}

/// The answer begins.
async fn begin<A: Adapter>(
    state: &Rc<State<A>>,
    job: &Job,
    server: &Entry,
    head: ResponseHead,
    body: Body,
    after: Option<u64>,
) -> Result<Start, Trouble> {
    let media = head.headers.get("content-type").and_then(|value| value.to_str().ok());
    let events = media.is_some_and(|media| media.starts_with("text/event-stream"));
    let success = head.status.is_success();
    let idle = state.adapter.servers.keep_alive(&head);
    log::debug!(server = server.name.as_str(), idle:? = idle; "answer begins");
    let mut source = Source {
        status: head.status,
        headers: end_to_end_headers(&head.headers),
        address: server.address.clone(),
        idle,
        body,
        scan: (success && events).then(|| Scan::after(after)),
        first: None,
        ended: false,
    };
    if source.scan.is_some() {
        source.first = source.next().await?;
        return Ok(Start::Passing(Box::new(source)));
    }
    if success && job.route().kind.streams() {
        return Err(Trouble::Lost("its answer isn't a stream of events".to_string()));
    }
    let hold = if state.disabled.is_enabled(Mechanism::AnswerBuffering) { WHOLE } else { 0 };
    let mut all = BytesMut::new();
    while let Some(part) = source.next().await? {
        all.extend_from_slice(&part.bytes);
        if all.len() > hold {
            source.first = Some(Part { bytes: all.freeze(), events: 1 });
            return Ok(Start::Passing(Box::new(source)));
        }
    }
    let (status, headers) = (source.status, std::mem::take(&mut source.headers));
    source.keep(state);
    let whole = Whole { status, headers, body: all.freeze() };
    if status.is_server_error() {
        return Err(Trouble::Failed(Box::new(whole)));
    }
    Ok(Start::Whole(whole))
}

/// Reads the rest of an answer that says nothing more, so that its connection can be kept.
async fn drain<A: Adapter>(state: &State<A>, server: &Entry, head: &ResponseHead, mut body: Body) {
    let idle = state.adapter.servers.keep_alive(head);
    loop {
        match body.next().await {
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(cause) => {
                log::debug!(server = server.name.as_str(), cause:% = cause; "connection not kept");
                return;
            }
        }
    }
    state.pool.put(&server.address, body, idle);
}

/// The head of an attempt: the method and target that the caller sent, and the headers of the
/// server's dialect.
fn outgoing<A: Adapter>(
    state: &State<A>,
    job: &Job,
    server: &Entry,
    after: Option<u64>,
    fetch: Option<Rc<Entry>>,
) -> RequestHead {
    let attempt = Attempt {
        server,
        time_left: job.left(state),
        workspace: job.found.workspace.as_ref().map(|workspace| workspace.name.as_str()),
        priority: job.found.urgency(),
        last_event_id: after,
        fetch_from: fetch.as_deref(),
    };
    let mut head = RequestHead::default();
    head.method = job.head.method().clone();
    let target = job.head.uri().path_and_query().cloned();
    head.uri = target.map_or_else(Uri::default, Uri::from);
    head.version = Version::HTTP_11;
    head.headers = state.adapter.servers.request_headers(job.head.head(), &job.call, &attempt);
    head.set_connection_type(link::connection(false));
    head
}

/// Headers that concern one connection only; so do those that `connection` names.
const HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// The headers that a message keeps on its way to the next connection.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all("connection").filter_map(|value| value.to_str().ok());
    let named: Vec<_> =
        named.flat_map(|value| value.split(',')).map(|name| name.trim().to_lowercase()).collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop = HOP.contains(&name.as_str()) || named.iter().any(|hop| hop == name.as_str());
        if !hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
