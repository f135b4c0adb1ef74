//! HTTP client that sends calls to backend servers and checks that each answer is the call's own
//! and complete.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, Uri};
use attribution::{Attributed, Content, Message, Naming, Outcome, Tag};
use buffers::Budget;
use bytes::{Bytes, BytesMut};
use http_client::{Body, Connection, Delimiter, Pool};
use serde::Deserialize;
use tokio::time::Instant;

use crate::events::{Batch, Parser, StreamError};
use crate::wire::{
    ATTEMPT, IDEMPOTENCY_KEY, LAST_EVENT, LOAD_PATH, Load, NOT_RUN, PRIORITY, REPLAYED, REQUEST_ID,
    RESUME,
};

/// Largest accepted body of an answer that isn't streamed.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Most bytes that the heads of all answers take that are being received.
const HEAD_BYTES: usize = 16 << 20;

derives::data! {
    /// Checks that an answer must pass.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// A completion: the answer, or each event of a stream, carries the request id, and each
        /// choice has a finish reason.
        Completion,
        /// Any body: complete once `content-length` bytes or the last chunk have arrived, and not if only the end of its
        /// connection marks its end.
        Plain,
    }

    /// One call to a backend server.
    pub struct Call {
        /// Request id; the answer must carry the same.
        pub id: ids::Request,
        /// Number of this attempt at the request.
        pub attempt: u32,
        /// Checks that the answer must pass.
        pub kind: Kind,
        /// Host and port of the server.
        pub address: String,
        /// Path and query.
        pub path: String,
        /// Media type of the body.
        pub media_type: String,
        /// Request body.
        pub body: Bytes,
        /// Rank of the request's tier; 0 is the highest.
        pub priority: u8,
        /// Opens a new connection for this call and doesn't reuse it afterwards.
        pub fresh_connection: bool,
        /// Idempotency key, sent to the server if set.
        pub idempotency_key: Option<ids::Request>,
        /// Additional headers.
        pub headers: Vec<(&'static str, String)>,
    }

    /// An answer that was read to its end.
    pub struct WholeReply {
        /// HTTP status code.
        pub status: u16,
        /// `content-type` header; empty if absent.
        pub media_type: String,
        /// Response body.
        pub body: Bytes,
        /// `x-outcome` header, which another router sets with the outcome of the request; empty if
        /// absent.
        pub outcome: String,
        /// Another router replayed its stored answer to an earlier call with the same idempotency
        /// key.
        pub replayed: bool,
    }
}

/// Why a call has no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The call wasn't sent: it couldn't be encoded, or the connection failed.
    #[error("call not sent to {address} ({cause})")]
    Unconnected {
        /// Address of the server.
        address: String,
        /// Error from the connection or the encoding.
        cause: String,
    },
    /// The server refused the call and stated that it didn't run it.
    #[error("{address} declined with status {status}")]
    Declined {
        /// Address of the server.
        address: String,
        /// HTTP status code of the refusal.
        status: u16,
        /// Proof that the refusal is of this call.
        proof: Attributed,
    },
    /// The answer belongs to another request or another attempt. This call may have run.
    #[error("{address} returned the answer to another request or attempt")]
    Mismatched {
        /// Address of the server.
        address: String,
    },
    /// The call was sent and failed before a valid, complete answer arrived. It may have run.
    #[error("{address} failed after the call was sent ({cause})")]
    Indeterminate {
        /// Address of the server.
        address: String,
        /// Error from the connection or from the check of the answer.
        cause: String,
    },
}

impl Failure {
    /// Whether the server certainly didn't run the call.
    pub fn was_not_executed(&self) -> bool {
        matches!(self, Failure::Unconnected { .. } | Failure::Declined { .. })
    }
}

/// An answer: a stream that has started, or a complete body.
pub enum Reply {
    /// A stream of server-sent events.
    Stream(Box<Stream>),
    /// A complete answer.
    Whole(WholeReply),
}

/// A streamed answer. Dropping it closes the connection, which cancels the request at the server.
pub struct Stream {
    address: String,
    idle_timeout: Duration,
    parser: Option<Parser>,
    body: Body,
    /// When the last token arrived, or the last bytes if the stream isn't parsed.
    last_progress: Instant,
    ended: bool,
}

impl Stream {
    /// Returns the next complete events and the number of tokens in them, or `None` once the answer
    /// is complete. A stream that ends early is an error.
    pub async fn next(&mut self) -> Result<Option<Batch>, Failure> {
        if self.ended || self.parser.as_ref().is_some_and(Parser::is_done) {
            return Ok(None);
        }
        // The timeout runs from the last token rather than the last bytes: a proxy in front of a
        // stalled engine may keep sending SSE comments, and the caller would wait forever.
        let deadline = self.last_progress + self.idle_timeout;
        let Ok(batch) = tokio::time::timeout_at(deadline, self.next_batch()).await else {
            return Err(self.indeterminate("idle timeout"));
        };
        let made_progress = |batch: &Batch| batch.tokens > 0 || self.parser.is_none();
        if batch.as_ref().is_ok_and(|batch| batch.as_ref().is_some_and(made_progress)) {
            self.last_progress = Instant::now();
        }
        batch
    }

    /// State from which another server can continue the answer. `None` if the stream isn't parsed,
    /// its events aren't numbered, or the answer has several choices.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let parser = self.parser.as_ref()?;
        let (event, text) = parser.checkpoint()?;
        Some(Checkpoint { event, text: text.to_string(), parser: parser.resumed() })
    }

    /// Reads from the connection until at least one event is complete. Bytes of a stream that isn't
    /// parsed are returned as they arrive.
    async fn next_batch(&mut self) -> Result<Option<Batch>, Failure> {
        loop {
            let bytes = match self.body.next().await {
                Err(cause) => return Err(self.indeterminate(cause)),
                Ok(bytes) => bytes,
            };
            let Some(parser) = &mut self.parser else {
                self.ended = bytes.is_none();
                if self.ended && self.body.delimiter() == Delimiter::Connection {
                    return Err(self.indeterminate("only the end of the connection marks the end"));
                }
                return Ok(bytes.map(|bytes| Batch { bytes, tokens: 0, dropped: 0 }));
            };
            let Some(bytes) = bytes else {
                return Err(self.indeterminate("the stream ended without [DONE]"));
            };
            let batch = match parser.feed(&bytes) {
                Err(StreamError::Mismatched) => {
                    return Err(Failure::Mismatched { address: self.address.clone() });
                }
                Err(cause) => return Err(self.indeterminate(cause)),
                Ok(batch) => batch,
            };
            if batch.dropped > 0 || !batch.bytes.is_empty() {
                return Ok(Some(batch));
            }
        }
    }

    fn indeterminate(&self, cause: impl ToString) -> Failure {
        Failure::Indeterminate { address: self.address.clone(), cause: cause.to_string() }
    }
}

/// State from which another server can continue a stream.
#[derive(Clone, Debug)]
pub struct Checkpoint {
    event: u64,
    text: String,
    parser: Parser,
}

impl Checkpoint {
    /// Returns the request body with the text generated so far added to it; `None` if the body
    /// isn't a JSON object.
    fn resume_body(&self, body: &[u8]) -> Option<Bytes> {
        let mut body: serde_json::Map<String, serde_json::Value> =
            serde_json::from_slice(body).ok()?;
        body.insert(RESUME.to_string(), self.text.clone().into());
        serde_json::to_vec(&body).ok().map(Bytes::from)
    }
}

/// Client that sends calls to backend servers.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    pool: Pool,
    /// Buffers of the heads of all answers.
    heads: Rc<Budget>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl Client {
    /// Creates a client that waits `connect_timeout` for a connection, and `idle_timeout` for the
    /// head of an answer, for all of a body that isn't streamed, and for each next token of a
    /// stream (the next bytes, if the stream isn't parsed).
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let connector = awc::Connector::new().timeout(connect_timeout).limit(0);
        let builder = awc::Client::builder().connector(connector).disable_timeout();
        let http = builder.disable_redirects().finish();
        let heads = Budget::new(HEAD_BYTES);
        Client { http, pool: Pool::default(), heads, connect_timeout, idle_timeout }
    }

    /// Sends a call and waits for its answer, or for the start of a stream. The call is sent at
    /// most once: it isn't retried here on any connection error, because the server may have run
    /// it.
    pub async fn call(&self, call: &Call) -> Result<Reply, Failure> {
        let parser = Parser::new(&call.id.to_string());
        self.send(call, call.body.clone(), parser, None).await
    }

    /// Sends a call whose answer continues after `checkpoint`. Fails with [`Failure::Unconnected`]
    /// if the body of the call isn't a JSON object.
    pub async fn resume(&self, call: &Call, checkpoint: &Checkpoint) -> Result<Reply, Failure> {
        let body = checkpoint.resume_body(&call.body);
        let body = body.ok_or_else(|| Failure::Unconnected {
            address: call.address.clone(),
            cause: "the body isn't a JSON object, so the generated text can't be added".to_string(),
        })?;
        self.send(call, body, checkpoint.parser.clone(), Some(checkpoint.event)).await
    }

    async fn send(
        &self,
        call: &Call,
        body: Bytes,
        parser: Parser,
        last_event: Option<u64>,
    ) -> Result<Reply, Failure> {
        let indeterminate =
            |cause: String| Failure::Indeterminate { address: call.address.clone(), cause };
        let unconnected =
            |cause: String| Failure::Unconnected { address: call.address.clone(), cause };
        let head = request_head(call, last_event).map_err(unconnected)?;
        let message = Message::Request(Tag::new(&call.id.to_string()));
        let pooled =
            if call.fresh_connection { None } else { self.pool.take(&call.address, &[message]) };
        let connection = match pooled {
            Some(connection) => connection,
            None => Connection::connect(&call.address, self.connect_timeout)
                .await
                .map_err(|cause| unconnected(cause.to_string()))?,
        };
        let mut share = self.heads.share();
        let answer = connection.exchange(message, head, body, &mut share);
        let answer = tokio::time::timeout(self.idle_timeout, answer).await;
        let answer = answer.map_err(|_| {
            indeterminate("timed out waiting for the head of the answer".to_string())
        })?;
        let (head, mut body) = answer.map_err(|cause| indeterminate(cause.to_string()))?;
        check_head(call, &head, &mut body)?;
        let media_type = header_text(&head, "content-type").to_string();
        if head.status.is_success() && media_type.starts_with("text/event-stream") {
            let parser = (call.kind == Kind::Completion).then_some(parser);
            let (address, idle_timeout) = (call.address.clone(), self.idle_timeout);
            let last_progress = Instant::now();
            let stream =
                Stream { address, idle_timeout, parser, body, last_progress, ended: false };
            return Ok(Reply::Stream(Box::new(stream)));
        }
        let read = tokio::time::timeout(self.idle_timeout, self.read_body(call, &head, body)).await;
        let body = read.map_err(|_| indeterminate("idle timeout".to_string()))??;
        let outcome = header_text(&head, "x-outcome").to_string();
        let replayed = header_text(&head, REPLAYED) == "true";
        let status = head.status.as_u16();
        Ok(Reply::Whole(WholeReply { status, media_type, body, outcome, replayed }))
    }

    /// Reads a body to its end, checks that it is complete, and returns the connection to the pool
    /// unless the call has a connection of its own.
    async fn read_body(
        &self,
        call: &Call,
        head: &ResponseHead,
        body: Body,
    ) -> Result<Bytes, Failure> {
        let indeterminate =
            |cause: String| Failure::Indeterminate { address: call.address.clone(), cause };
        let content_length = header_text(head, "content-length").parse::<usize>().ok();
        let chunked = body.delimiter() == Delimiter::Length
            && !header_text(head, "transfer-encoding").is_empty();
        if content_length.is_none() && !chunked && head.status.as_u16() != 204 {
            return Err(indeterminate(
                "the body has neither a content-length nor chunks".to_string(),
            ));
        }
        let mut body = body;
        let mut all = BytesMut::new();
        while let Some(bytes) =
            body.next().await.map_err(|cause| indeterminate(cause.to_string()))?
        {
            all.extend_from_slice(&bytes);
            if all.len() > MAX_BODY_BYTES {
                return Err(indeterminate(format!("the body exceeds {MAX_BODY_BYTES} bytes")));
            }
        }
        if content_length.is_some_and(|length| length != all.len()) {
            return Err(indeterminate(format!(
                "received {} bytes, content-length is {content_length:?}",
                all.len()
            )));
        }
        if call.kind == Kind::Completion && head.status.is_success() {
            check_completion(call, &all)?;
        }
        if !call.fresh_connection {
            self.pool.put(&call.address, body, Outcome::Answered, None);
        }
        Ok(all.freeze())
    }

    /// Fetches a server's load report.
    pub async fn fetch_load(&self, address: &str, timeout: Duration) -> Result<Load, Failure> {
        let indeterminate =
            |cause: String| Failure::Indeterminate { address: address.to_string(), cause };
        let request = self.http.get(format!("http://{address}{LOAD_PATH}")).timeout(timeout);
        let mut response = request.send().await.map_err(|e| indeterminate(e.to_string()))?;
        let body = response.body().await.map_err(|e| indeterminate(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| indeterminate(e.to_string()))
    }
}

fn request_head(call: &Call, last_event: Option<u64>) -> Result<RequestHead, String> {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.uri = call.path.parse::<Uri>().map_err(|cause| cause.to_string())?;
    head.set_connection_type(http_client::connection_type(call.fresh_connection));
    let mut headers = vec![
        ("host", call.address.clone()),
        ("content-type", call.media_type.clone()),
        (REQUEST_ID, call.id.to_string()),
        (ATTEMPT, call.attempt.to_string()),
        (PRIORITY, call.priority.to_string()),
    ];
    headers.extend(call.idempotency_key.map(|key| (IDEMPOTENCY_KEY, key.to_string())));
    headers.extend(last_event.map(|number| (LAST_EVENT, number.to_string())));
    headers.extend(call.headers.iter().cloned());
    for (name, value) in headers {
        let value = HeaderValue::try_from(value).map_err(|cause| cause.to_string())?;
        head.headers.insert(HeaderName::from_static(name), value);
    }
    Ok(head)
}

/// Checks from the head of an answer that it belongs to the call and that the server ran the call.
fn check_head(call: &Call, head: &ResponseHead, body: &mut Body) -> Result<(), Failure> {
    let address = call.address.clone();
    let status = head.status.as_u16();
    let attempt = header_text(head, ATTEMPT);
    if !attempt.is_empty() && attempt != call.attempt.to_string() {
        return Err(Failure::Mismatched { address });
    }
    let id = header_text(head, REQUEST_ID);
    // A server may refuse a call before it has read the request id, so the refusal may lack an id;
    // an id that is present must match.
    let id_matches = id == call.id.to_string();
    let naming = match id {
        _ if id_matches => Naming::Own,
        "" => Naming::Missing,
        _ => Naming::Other,
    };
    let is_refusal = header_text(head, NOT_RUN) == "true";
    let content = if is_refusal { Content::Refusal } else { Content::Answer };
    let Some(proof) = body.attribute(naming, content) else {
        return Err(Failure::Mismatched { address });
    };
    if is_refusal {
        return Err(Failure::Declined { address, status, proof });
    }
    // With both headers, the end of the body is ambiguous: by the wrong one, part of the answer
    // could pass for all of it.
    let lengths = ["content-length", "transfer-encoding"];
    if lengths.iter().all(|name| !header_text(head, name).is_empty()) {
        return Err(Failure::Indeterminate {
            address,
            cause: "the answer has both content-length and transfer-encoding".to_string(),
        });
    }
    if !id_matches || !(200..500).contains(&status) {
        let cause = format!("status {status}, request id {id:?}");
        return Err(Failure::Indeterminate { address, cause });
    }
    Ok(())
}

fn header_text<'a>(head: &'a ResponseHead, name: &str) -> &'a str {
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

/// Checks that a completion carries the request id and that each choice has a finish reason.
fn check_completion(call: &Call, body: &[u8]) -> Result<(), Failure> {
    let address = call.address.clone();
    let completion: Completion = match serde_json::from_slice(body) {
        Ok(completion) => completion,
        Err(cause) => return Err(Failure::Indeterminate { address, cause: cause.to_string() }),
    };
    if completion.id != call.id.to_string() {
        return Err(Failure::Mismatched { address });
    }
    let finished = completion.choices.iter().all(|choice| choice.finish_reason.is_some());
    if completion.choices.is_empty() || !finished {
        let cause = "the answer has no choices, or one without a finish reason".to_string();
        return Err(Failure::Indeterminate { address, cause });
    }
    Ok(())
}
