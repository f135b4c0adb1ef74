//! Relays a stream from a backend server to a caller, no faster than the caller reads it. If the stream
//! ends early, or the scheduler stops it, a server that supports resumption continues it.

use std::io;
use std::time::{Duration, Instant};

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use bytes::Bytes;
use clock::Clock;
use engine::{Batch, Call, Checkpoint, Failure, Reply};
use futures_util::stream;
use lifecycle::{Outcome, Streaming};
use policy::Ending;
use tokio::sync::mpsc;

use crate::relay::{AttemptError, Payload, record_outcome, record_response_time};
use crate::state::OpenRequest;
use crate::submission::Submission;

/// Pieces of a stream that are buffered for a slow caller, if the stream is read independently of its
/// caller.
const BUFFERED_PIECES: usize = 64;
/// Time for the last event to reach the socket before the connection is aborted.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Outcome in logs and metrics of a stream whose caller disconnected.
const CALLER_GONE: &str = "caller-gone";
/// First line of the event that ends a truncated stream.
pub(crate) const ERROR_EVENT: &str = "event: error\n";

/// A stream that is relayed from a backend server to a caller.
pub(crate) struct Relay {
    submission: Submission,
    lifecycle: Option<lifecycle::Request<Streaming>>,
    source: Box<engine::Stream>,
    /// What the server sent before the response to the caller began.
    first: Option<Batch>,
    payload: Payload,
    /// When tokens were last relayed.
    last_tokens: Option<Instant>,
    /// Tokens relayed so far; set to 0 at the regular end of the stream.
    tokens: u32,
    /// The error event was sent; the connection must be aborted next.
    truncated: bool,
    #[allow(dead_code, reason = "counts the request until the stream ends")]
    open: OpenRequest,
}

impl Relay {
    pub(crate) fn new(
        submission: Submission,
        lifecycle: lifecycle::Request<Streaming>,
        source: Box<engine::Stream>,
        first: Option<Batch>,
        payload: Payload,
        open: OpenRequest,
    ) -> Self {
        let lifecycle = Some(lifecycle);
        Relay {
            submission,
            lifecycle,
            source,
            first,
            payload,
            last_tokens: None,
            tokens: 0,
            truncated: false,
            open,
        }
    }

    /// The next bytes for the caller. A truncated stream ends with an error event, and then with an I/O
    /// error, so that the last chunk is missing: neither SSE nor HTTP shows it as complete.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.truncated {
            self.truncated = false;
            tokio::time::sleep(FLUSH_DELAY).await;
            return Some(Err(io::Error::other("the answer broke off")));
        }
        self.lifecycle.as_ref()?;
        loop {
            let error = match self.next_piece().await {
                Ok(Some(piece)) => return Some(Ok(self.record_piece(piece))),
                Ok(None) => return self.finish(),
                Err(error) => error,
            };
            // Boxed, because it is rarely needed and would double the memory of each open stream.
            if !Box::pin(self.resume(error)).await {
                return self.truncate();
            }
        }
    }

    async fn next_piece(&mut self) -> Result<Option<Batch>, AttemptError> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.payload.repeatable().is_none() {
            return self.source.next().await.map_err(AttemptError::Failure);
        }
        tokio::select! {
            piece = self.source.next() => piece.map_err(AttemptError::Failure),
            _ = self.submission.wait_for_stop() => Err(AttemptError::Stopped),
        }
    }

    /// Updates metrics and the scheduler; returns the bytes for the caller.
    fn record_piece(&mut self, piece: Batch) -> Bytes {
        let state = &self.submission.state;
        for _ in 0..piece.dropped {
            state.metrics.count_mismatched_answer();
        }
        if piece.tokens == 0 {
            return piece.bytes;
        }
        self.tokens += piece.tokens;
        let now = state.clock.now();
        let class = &self.payload.class.name;
        self.submission.record_tokens(piece.tokens);
        match self.last_tokens.replace(now) {
            None => state.metrics.observe_first_token(class, now - self.payload.request.arrived),
            Some(last) => state.metrics.observe_token_interval(class, (now - last) / piece.tokens),
        }
        piece.bytes
    }

    /// Ends a complete stream.
    fn finish(&mut self) -> Option<io::Result<Bytes>> {
        let lifecycle = self.lifecycle.take()?;
        self.submission.end_attempt(Ending::Completed);
        self.tokens = 0;
        record_response_time(&self.submission.state, &self.payload);
        if let Some(claim) = &self.payload.claim {
            claim.complete(None);
        }
        record_outcome(
            &self.submission.state,
            lifecycle.id(),
            &self.payload.class.name,
            lifecycle.complete(),
        );
        None
    }

    /// Ends a truncated stream; returns the error event.
    fn truncate(&mut self) -> Option<io::Result<Bytes>> {
        let lifecycle = self.lifecycle.take()?;
        let id = lifecycle.id();
        self.truncated = true;
        record_outcome(&self.submission.state, id, &self.payload.class.name, lifecycle.truncated());
        Some(Ok(truncated_event(id)))
    }

    /// Continues the stream at another server where it stopped; returns whether one does.
    async fn resume(&mut self, error: AttemptError) -> bool {
        let Some(mut lifecycle) = self.lifecycle.take() else { return false };
        let mut error = error;
        loop {
            error.record(&self.submission, lifecycle.id(), lifecycle.attempt());
            self.submission.state.metrics.count_failed_attempt(&self.payload.class.name);
            let point = self.source.checkpoint();
            self.submission.restrict_to_version();
            let (Some(proof), Some(point)) = (self.payload.repeatable(), point) else {
                self.submission.end_attempt(error.final_ending());
                break;
            };
            if !self.submission.end_attempt(error.ending()) {
                break;
            }
            let server = self.submission.wait_for_server().await;
            let Some(server) = server.ok().filter(|server| server.resumes) else { break };
            lifecycle = lifecycle.pause(proof).resume();
            let call = self.payload.build_call(lifecycle.id(), lifecycle.attempt(), &server);
            error = match self.request_resumption(&call, &point).await {
                Ok(source) => {
                    self.source = source;
                    self.lifecycle = Some(lifecycle);
                    return true;
                }
                Err(error) => error,
            };
        }
        self.lifecycle = Some(lifecycle);
        false
    }

    async fn request_resumption(
        &mut self,
        call: &Call,
        point: &Checkpoint,
    ) -> Result<Box<engine::Stream>, AttemptError> {
        let engines = self.submission.state.engine_client.borrow().clone();
        let reply = tokio::select! {
            reply = engines.resume(call, point) => reply.map_err(AttemptError::Failure)?,
            _ = self.submission.wait_for_stop() => return Err(AttemptError::Stopped),
        };
        match reply {
            Reply::Stream(source) => Ok(source),
            Reply::Whole(whole) => Err(AttemptError::Failure(Failure::Indeterminate {
                address: call.address.clone(),
                cause: format!("status {} in place of a stream", whole.status),
            })),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(lifecycle) = &self.lifecycle {
            let (id, class) = (lifecycle.id(), self.payload.class.name.as_str());
            self.submission.state.metrics.count_outcome(class, CALLER_GONE);
            log::info!(request:% = id, class = class, outcome = CALLER_GONE; "ended");
        }
        if self.tokens > 0 {
            self.submission
                .state
                .metrics
                .add_wasted_tokens(&self.payload.class.name, self.tokens.into());
        }
    }
}

/// The event that ends a truncated stream; no end mark follows it.
pub(crate) fn truncated_event(id: ids::Request) -> Bytes {
    let error = serde_json::json!({"error": {
        "message": "the answer broke off; what came isn't whole, send the request again",
        "type": "server_error",
        "outcome": Outcome::Truncated.as_str(),
        "request_id": id.to_string(),
    }});
    Bytes::from(format!("{ERROR_EVENT}data: {error}\n\n"))
}

/// The body of the response. The stream of a request that must not run twice is read to its end even if
/// the caller disconnects, because closing it would cancel a request that can't be sent again.
pub(crate) fn body(relay: Relay) -> BoxBody {
    if relay.payload.class.idempotent {
        let events = stream::unfold(relay, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((bytes, relay))
        });
        return BodyStream::new(Box::pin(events)).boxed();
    }
    let (sender, receiver) = mpsc::channel(BUFFERED_PIECES);
    actix_rt::spawn(forward_all(relay, sender));
    let events = stream::unfold(receiver, |mut receiver| async move {
        let bytes = receiver.recv().await?;
        Some((bytes, receiver))
    });
    BodyStream::new(Box::pin(events)).boxed()
}

async fn forward_all(mut relay: Relay, sender: mpsc::Sender<io::Result<Bytes>>) {
    while let Some(bytes) = relay.next().await {
        let _ = sender.send(bytes).await;
    }
}
