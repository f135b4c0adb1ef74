use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, Uri};
use bytes::{Bytes, BytesMut};
use http_client::{Body, Connection, Pool};
use serde::Deserialize;
use tokio::time::Instant;

use crate::scan::{Garbled, Piece, Scan};
use crate::wire::{
    ATTEMPT, KEY, LAST_EVENT, LOAD, Load, NOT_RUN, PRIORITY, REPLAYED, REQUEST_ID, RESUME,
};

/// Largest whole answer that is taken in.
const LARGEST: usize = 16 << 20;

derives::data! {
    /// What an answer is checked for.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// A completion: each part names the request, and a finish mark ends it.
        Completion,
        /// Anything: whole once its length or last chunk came.
        Plain,
    }

    /// One call to a backend server.
    pub struct Call {
        /// The request's id.
        pub id: ids::Request,
        /// Number of the attempt.
        pub attempt: u32,
        /// What the answer is checked for.
        pub kind: Kind,
        /// Address of the server.
        pub address: String,
        /// Path and query.
        pub path: String,
        /// Media type of the body.
        pub media: String,
        /// The body.
        pub body: Bytes,
        /// Rank of the tier.
        pub priority: u8,
        /// Use a connection that carried nothing before, and carries nothing after.
        pub fresh: bool,
        /// Idempotency key.
        pub key: Option<ids::Request>,
        /// Further headers.
        pub headers: Vec<(&'static str, String)>,
    }

    /// A whole answer.
    pub struct Whole {
        /// Status.
        pub status: u16,
        /// Media type.
        pub media: String,
        /// Body.
        pub body: Bytes,
        /// What another router said of the request's outcome, where it answered.
        pub outcome: String,
        /// Another router gave the answer of an earlier call with the same key.
        pub replayed: bool,
    }
}

/// Why a call gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No connection was made, so nothing was sent.
    #[error("no connection to {address} ({cause})")]
    Unconnected {
        /// Address of the server.
        address: String,
        /// What the connection said.
        cause: String,
    },
    /// The server said that it ran nothing.
    #[error("{address} declined with status {status}")]
    Declined {
        /// Address of the server.
        address: String,
        /// Its status.
        status: u16,
    },
    /// An answer to another request, or to an older attempt of this one. Ours may have run.
    #[error("{address} answered another request or attempt")]
    Crossed {
        /// Address of the server.
        address: String,
    },
    /// It may have run.
    #[error("{address} failed after the call was sent ({cause})")]
    Lost {
        /// Address of the server.
        address: String,
        /// What was seen.
        cause: String,
    },
}

impl Failure {
    /// Whether the call provably ran nothing.
    pub fn unsent(&self) -> bool {
        matches!(self, Failure::Unconnected { .. } | Failure::Declined { .. })
    }
}

/// The start of an answer.
pub enum Reply {
    /// A stream of server-sent events.
    Stream(Box<Stream>),
    /// The whole answer.
    Whole(Whole),
}

/// An answer that comes in pieces. Dropping it closes the connection, which cancels the work.
pub struct Stream {
    address: String,
    idle: Duration,
    scan: Option<Scan>,
    body: Body,
    /// When the last token came.
    progress: Instant,
    ended: bool,
}

impl Stream {
    /// The next whole events and the number of tokens in them; none at the true end of the answer.
    pub async fn next(&mut self) -> Result<Option<Piece>, Failure> {
        if self.ended || self.scan.as_ref().is_some_and(Scan::done) {
            return Ok(None);
        }
        // Comments keep a connection alive without being progress: an engine that hangs behind a
        // live front would hold its caller for ever, so the time since the last token counts.
        let due = self.progress + self.idle;
        let Ok(piece) = tokio::time::timeout_at(due, self.piece()).await else {
            return Err(self.lost("silent for too long"));
        };
        let moved = |piece: &Piece| piece.tokens > 0 || self.scan.is_none();
        if piece.as_ref().is_ok_and(|piece| piece.as_ref().is_some_and(moved)) {
            self.progress = Instant::now();
        }
        piece
    }

    /// What another server needs to go on: the state and the text so far.
    pub fn point(&self) -> Option<Point> {
        let scan = self.scan.as_ref()?;
        let (event, text) = scan.point()?;
        Some(Point { event, text: text.to_string(), scan: scan.resumed() })
    }

    async fn piece(&mut self) -> Result<Option<Piece>, Failure> {
        loop {
            let bytes = match self.body.next().await {
                Err(cause) => return Err(self.lost(cause)),
                Ok(bytes) => bytes,
            };
            let Some(scan) = &mut self.scan else {
                self.ended = bytes.is_none();
                return Ok(bytes.map(|bytes| Piece { bytes, tokens: 0, dropped: 0 }));
            };
            let Some(bytes) = bytes else {
                return Err(self.lost("the stream ended without its end mark"));
            };
            let piece = match scan.feed(&bytes) {
                Err(Garbled::Crossed) => {
                    return Err(Failure::Crossed { address: self.address.clone() });
                }
                Err(cause) => return Err(self.lost(cause)),
                Ok(piece) => piece,
            };
            if piece.dropped > 0 || !piece.bytes.is_empty() {
                return Ok(Some(piece));
            }
        }
    }

    fn lost(&self, cause: impl ToString) -> Failure {
        Failure::Lost { address: self.address.clone(), cause: cause.to_string() }
    }
}

/// Where a stream stopped.
#[derive(Clone, Debug)]
pub struct Point {
    event: u64,
    text: String,
    scan: Scan,
}

impl Point {
    /// The body with the text so far in it; none if the body isn't a JSON object.
    fn body(&self, body: &[u8]) -> Option<Bytes> {
        let mut body: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(body).ok()?;
        body.insert(RESUME.to_string(), self.text.clone().into());
        serde_json::to_vec(&body).ok().map(Bytes::from)
    }
}

/// Client of backend servers.
#[derive(Clone)]
pub struct Client {
    pooled: awc::Client,
    pool: Pool,
    connect: Duration,
    idle: Duration,
}

impl Client {
    /// A client that waits `connect` for a connection and `idle` for the next bytes.
    pub fn new(connect: Duration, idle: Duration) -> Self {
        let connector = awc::Connector::new().timeout(connect).limit(0);
        let builder = awc::Client::builder().connector(connector).disable_timeout();
        let pooled = builder.disable_redirects().finish();
        Client { pooled, pool: Pool::default(), connect, idle }
    }

    /// Sends a call once and waits for the start of its answer. Nothing is ever sent a second
    /// time here, whatever happens to the connection.
    pub async fn call(&self, call: &Call) -> Result<Reply, Failure> {
        let scan = Scan::new(&call.id.to_string());
        self.send(call, call.body.clone(), scan, None).await
    }

    /// Sends a call whose answer begins after `point`.
    pub async fn resume(&self, call: &Call, point: &Point) -> Result<Reply, Failure> {
        let body = point.body(&call.body);
        let body = body.ok_or_else(|| Failure::Unconnected {
            address: call.address.clone(),
            cause: "the body takes no text so far".to_string(),
        })?;
        self.send(call, body, point.scan.clone(), Some(point.event)).await
    }

    async fn send(
        &self,
        call: &Call,
        body: Bytes,
        scan: Scan,
        last: Option<u64>,
    ) -> Result<Reply, Failure> {
        let lost = |cause: String| Failure::Lost { address: call.address.clone(), cause };
        let unconnected =
            |cause: String| Failure::Unconnected { address: call.address.clone(), cause };
        let head = head(call, last).map_err(unconnected)?;
        let kept = if call.fresh { None } else { self.pool.take(&call.address) };
        let connection = match kept {
            Some(connection) => connection,
            None => Connection::connect(&call.address, self.connect)
                .await
                .map_err(|cause| unconnected(cause.to_string()))?,
        };
        let answer = tokio::time::timeout(self.idle, connection.exchange(head, body)).await;
        let answer = answer.map_err(|_| lost("no answer in time".to_string()))?;
        let (head, body) = answer.map_err(|cause| lost(cause.to_string()))?;
        judge(call, &head)?;
        let media = text(&head, "content-type").to_string();
        if head.status.is_success() && media.starts_with("text/event-stream") {
            let scan = (call.kind == Kind::Completion).then_some(scan);
            let (address, idle) = (call.address.clone(), self.idle);
            let progress = Instant::now();
            let stream = Stream { address, idle, scan, body, progress, ended: false };
            return Ok(Reply::Stream(Box::new(stream)));
        }
        let read = tokio::time::timeout(self.idle, self.read(call, &head, body)).await;
        let body = read.map_err(|_| lost("silent for too long".to_string()))??;
        let outcome = text(&head, "x-outcome").to_string();
        let replayed = text(&head, REPLAYED) == "true";
        let status = head.status.as_u16();
        Ok(Reply::Whole(Whole { status, media, body, outcome, replayed }))
    }

    /// Reads a whole body and checks that it is one.
    async fn read(&self, call: &Call, head: &ResponseHead, body: Body) -> Result<Bytes, Failure> {
        let lost = |cause: String| Failure::Lost { address: call.address.clone(), cause };
        let sized = text(head, "content-length").parse::<usize>().ok();
        let chunked = !text(head, "transfer-encoding").is_empty();
        if sized.is_none() && !chunked && head.status.as_u16() != 204 {
            return Err(lost("a body without a length".to_string()));
        }
        let mut body = body;
        let mut all = BytesMut::new();
        while let Some(bytes) = body.next().await.map_err(|cause| lost(cause.to_string()))? {
            all.extend_from_slice(&bytes);
            if all.len() > LARGEST {
                return Err(lost(format!("a body over {LARGEST} bytes")));
            }
        }
        if sized.is_some_and(|length| length != all.len()) {
            return Err(lost(format!("{} of {sized:?} bytes came", all.len())));
        }
        if call.kind == Kind::Completion && head.status.is_success() {
            finished(call, &all)?;
        }
        if !call.fresh {
            self.pool.put(&call.address, body, None);
        }
        Ok(all.freeze())
    }

    /// Reads a server's load report.
    pub async fn load(&self, address: &str, within: Duration) -> Result<Load, Failure> {
        let lost = |cause: String| Failure::Lost { address: address.to_string(), cause };
        let request = self.pooled.get(format!("http://{address}{LOAD}")).timeout(within);
        let mut response = request.send().await.map_err(|e| lost(e.to_string()))?;
        let body = response.body().await.map_err(|e| lost(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| lost(e.to_string()))
    }
}

fn head(call: &Call, last: Option<u64>) -> Result<RequestHead, String> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = call.path.parse::<Uri>().map_err(|cause| cause.to_string())?;
    head.set_connection_type(http_client::connection_type(call.fresh));
    let mut headers = vec![
        ("host", call.address.clone()),
        ("content-type", call.media.clone()),
        (REQUEST_ID, call.id.to_string()),
        (ATTEMPT, call.attempt.to_string()),
        (PRIORITY, call.priority.to_string()),
    ];
    headers.extend(call.key.map(|key| (KEY, key.to_string())));
    headers.extend(last.map(|last| (LAST_EVENT, last.to_string())));
    headers.extend(call.headers.iter().cloned());
    for (name, value) in headers {
        let value = HeaderValue::try_from(value).map_err(|cause| cause.to_string())?;
        head.headers.insert(HeaderName::from_static(name), value);
    }
    Ok(head)
}

/// Judges the head of an answer: whose it is, and whether the server ran the call.
fn judge(call: &Call, head: &ResponseHead) -> Result<(), Failure> {
    let address = call.address.clone();
    let status = head.status.as_u16();
    let attempt = text(head, ATTEMPT);
    if !attempt.is_empty() && attempt != call.attempt.to_string() {
        return Err(Failure::Crossed { address });
    }
    let id = text(head, REQUEST_ID);
    // A server that declines may do so before it has read the id; an id it gives must be ours.
    let ours = id == call.id.to_string();
    if text(head, NOT_RUN) == "true" && (ours || id.is_empty()) {
        return Err(Failure::Declined { address, status });
    }
    if !ours && !id.is_empty() {
        return Err(Failure::Crossed { address });
    }
    // Two lengths are two ways to read the answer, and the wrong one may be a part of it.
    let lengths = ["content-length", "transfer-encoding"];
    if lengths.iter().all(|name| !text(head, name).is_empty()) {
        return Err(Failure::Lost { address, cause: "an answer with two lengths".to_string() });
    }
    if !ours || !(200..500).contains(&status) {
        let cause = format!("status {status}, request id {id:?}");
        return Err(Failure::Lost { address, cause });
    }
    Ok(())
}

fn text<'a>(head: &'a ResponseHead, name: &str) -> &'a str {
    head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

#[derive(Deserialize)]
struct Completion {
    id: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<serde::de::IgnoredAny>,
}

/// Checks that a completion is the request's own, and finished.
fn finished(call: &Call, body: &[u8]) -> Result<(), Failure> {
    let address = call.address.clone();
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(cause) => return Err(Failure::Lost { address, cause: cause.to_string() }),
    };
    if completion.id != call.id.to_string() {
        return Err(Failure::Crossed { address });
    }
    let finished = completion.choices.iter().all(|choice| choice.finish_reason.is_some());
    if completion.choices.is_empty() || !finished {
        let cause = "the answer has no finish mark".to_string();
        return Err(Failure::Lost { address, cause });
    }
    Ok(())
}
