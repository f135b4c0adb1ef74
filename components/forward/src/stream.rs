//! Passes an answer on as it arrives, and no faster than the caller reads it. If a stream is
//! interrupted, it is resumed at another server where its route allows that.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_http::body::{BodyStream, BoxBody, MessageBody};
use attribution::Outcome;
use bytes::Bytes;
use catalog::Entry;
use clock::Clock;
use futures_util::stream;
use lifecycle::{Ended, Orphaned, Streaming};
use origins::Identity;
use policy::Ending;
use tokio::sync::oneshot;

use crate::adapter::{Adapter, ServerProtocol};
use crate::attempt::{AttemptError, Chunk, PartialReply, Reply};
use crate::held::Held;
use crate::mechanism::Mechanism;
use crate::serve::ActiveRequest;

/// Time for the last events to reach the socket before the connection is closed after an error.
pub(crate) const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// A pause this many times as long as the route's target for pauses counts as a stall. Pauses longer
/// than the target occur when an engine's batch is full, pauses three times as long don't.
const STALL_PAUSES: u32 = 3;
/// Shortest pause that counts as a stall.
const MIN_STALL: Duration = Duration::from_secs(1);

/// An answer that is being passed on from a server to a caller.
pub(crate) struct Relay<A: Adapter> {
    active: ActiveRequest<A>,
    life: Option<lifecycle::Request<Streaming>>,
    reply: Option<Box<PartialReply>>,
    /// What is left of the last chunk.
    rest: Held,
    /// The server that began the answer, as it was when the request was sent to it.
    began: Rc<Entry>,
    /// Which process of that server began it.
    identity: Identity,
    /// The status with which the answer began.
    status: StatusCode,
    /// When the last chunk with events was passed on.
    last_chunk: Option<Instant>,
    /// Time for which its server was waited for since then.
    waited: Duration,
    /// Tokens passed on in an answer that hasn't ended regularly.
    tokens: u32,
    /// The answer was interrupted and isn't resumed; the caller's connection is closed.
    broken: bool,
}

impl<A: Adapter> Relay<A> {
    pub(crate) fn new(
        mut active: ActiveRequest<A>,
        life: lifecycle::Request<Streaming>,
        reply: Box<PartialReply>,
    ) -> Self {
        active.weights = reply.weights;
        let (began, status, identity) = (reply.server().clone(), reply.status, reply.identity);
        let (life, reply) = (Some(life), Some(reply));
        Relay {
            active,
            life,
            reply,
            rest: Held::default(),
            began,
            identity,
            status,
            last_chunk: None,
            waited: Duration::ZERO,
            tokens: 0,
            broken: false,
        }
    }

    /// The next bytes for the caller; none after the regular end of the answer. An error closes the
    /// connection, so that the caller can't take an interrupted answer for a complete one.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if let Some(bytes) = self.rest.take_slice() {
                return Some(Ok(bytes));
            }
            if self.broken {
                tokio::time::sleep(FLUSH_DELAY).await;
                return Some(Err(io::Error::other("the answer broke off")));
            }
            let error = match self.next_chunk().await {
                Ok(Some(chunk)) => {
                    self.rest = self.record_chunk(chunk);
                    continue;
                }
                Ok(None) => return self.complete(),
                Err(error) => error,
            };
            if !self.resume(error).await {
                self.break_off();
            }
        }
    }

    /// The server's next chunk, within the time left and, if the request may run again, within the
    /// pause after which the stream counts as stalled.
    async fn next_chunk(&mut self) -> Result<Option<Chunk>, AttemptError> {
        let Some(reply) = &mut self.reply else { return Ok(None) };
        let time_left = self.active.received.time_left(&self.active.state);
        if time_left.is_zero() {
            return Err(AttemptError::TimedOut);
        }
        // What has begun as a plain answer can't be continued: another run answers from its first byte.
        let repeatable = reply.is_stream() && self.active.received.repeatable().is_some();
        let stalled = stall_after(self.active.received.route().target_pause);
        let patience = stalled.saturating_sub(self.waited);
        let timeout = if repeatable { time_left.min(patience) } else { time_left };
        let asked = self.active.state.clock.now();
        let stop = &self.active.state.stop;
        let mut next = stop.timeout(timeout, reply.next_chunk()).await;
        if next.is_err()
            && repeatable
            && (reply.awaits_proof() || !self.active.submission.may_retry())
        {
            // No other server may continue the stream, or nothing of it is missing, so its own is waited for.
            let time_left = self.active.received.time_left(&self.active.state);
            next = stop.timeout(time_left, reply.next_chunk()).await;
        }
        self.active.stats.end = Some(reply.end_state());
        // A server that sends nothing but comments is as good as silent.
        let has_events = matches!(&next, Ok(Ok(Some(chunk))) if chunk.events > 0);
        let waited = self.active.state.clock.now() - asked;
        self.waited = if has_events { Duration::ZERO } else { self.waited + waited };
        next.unwrap_or(Err(AttemptError::TimedOut))
    }

    /// Counts the tokens of a chunk and measures its delay; returns its bytes.
    fn record_chunk(&mut self, chunk: Chunk) -> Held {
        let ActiveRequest { state, received, submission, stats, server, weights, .. } =
            &mut self.active;
        if chunk.events > 0 {
            if weights.is_some() {
                *weights = state.adapter.servers.read_weights(chunk.bytes.as_slice()).or(*weights);
            }
            let settings = state.settings.borrow();
            let services = settings.as_ref().map(|settings| &settings.services);
            let service = server.as_ref().map(|server| &server.service);
            let service = services.zip(service).and_then(|(all, name)| all.get(name));
            let tokens = chunk.events * service.map_or(1, |service| service.tokens_per_event);
            self.tokens += tokens;
            stats.tokens += tokens;
            submission.record_tokens(tokens);
            let now = state.clock.now();
            let route = &received.route().name;
            match self.last_chunk.replace(now) {
                None => {
                    let first = now - received.arrived.at;
                    state.metrics.observe_first_token(route, first);
                    stats.first_event = Some(first);
                }
                Some(last) => {
                    state.metrics.observe_token_interval(route, (now - last) / tokens);
                    stats.longest_pause = stats.longest_pause.max(now - last);
                }
            }
        }
        chunk.bytes
    }

    /// Ends the request after a complete answer, and returns the connection to the pool.
    fn complete(&mut self) -> Option<io::Result<Bytes>> {
        let life = self.life.take()?;
        self.active.submission.end_attempt(Ending::Completed);
        self.tokens = 0;
        self.active.state.resumption.end(&self.active.received.call);
        if let Some(reply) = self.reply.take() {
            let status = reply.status.as_u16();
            reply.release_connection(&self.active.state, Outcome::Answered);
            self.active.state.crashes.record_completion(self.active.received.subject.content);
            self.active.record_outcome(life.complete().as_str(), status);
        }
        None
    }

    /// Ends the request after an answer that was interrupted and can't be resumed.
    fn break_off(&mut self) {
        self.broken = true;
        self.reply = None;
        if let Some(life) = self.life.take() {
            self.active.record_outcome(life.truncated().as_str(), 0);
        }
    }

    /// Restricts the rest of the answer to the version that began it; returns false if that isn't certain, because
    /// the server has started again with other software.
    fn restrict_to_version(&mut self) -> bool {
        let ActiveRequest { state, received, submission, .. } = &mut self.active;
        let mut registry = state.registry.borrow_mut();
        if !registry.has_version_of(&self.began) || !self.identity.is_accepted() {
            log::warn!(
                request = received.call.id.as_str(), server = self.began.name.as_str(),
                version = self.began.version.as_str(), identity = self.identity.as_str();
                "stream isn't resumed: its server may have started again with another version"
            );
            return false;
        }
        submission.restrict_to_version(registry.version_key(&self.began));
        true
    }

    /// Logs that another server continues the answer.
    fn log_resumed(&self, server: &Entry, after_event: Option<u64>) {
        log::info!(
            request = self.active.received.call.id.as_str(), server = server.name.as_str(),
            version = server.version.as_str(), weights = self.active.weights, after_event = after_event;
            "stream resumed at another server"
        );
    }

    /// Resumes an interrupted answer at another server; returns false if that isn't possible.
    async fn resume(&mut self, error: AttemptError) -> bool {
        let Some(mut life) = self.life.take() else { return false };
        let mut error = error;
        // Dropping the reply closes its connection: the previous server must not continue while
        // another one does.
        let reply = self.reply.take();
        let is_stream = reply.as_ref().is_some_and(|reply| reply.is_stream());
        let last = reply.and_then(|reply| reply.last_event_id());
        let last = last.max(self.active.received.call.last_event_id);
        loop {
            let crash = match self.active.server.clone() {
                Some(server) => self.active.record_failure(life.attempt(), &server, &error),
                None => None,
            };
            if self.active.has_backup()
                && let Some(crash) = crash
                && let Some(ended) = confirm_crash(crash).await
            {
                return self.continue_from_copy(life.orphan(ended), last, error).await;
            }
            let ending = error.ending();
            let enabled = self.active.state.switches.is_on(Mechanism::Resumption);
            let in_order = !matches!(error, AttemptError::OutOfOrder(_));
            let resumable = is_stream && enabled && in_order && self.restrict_to_version();
            let Some(proof) = self.active.received.repeatable().filter(|_| resumable) else {
                self.active.submission.end_attempt(ending);
                break;
            };
            if !self.active.submission.end_attempt(ending) {
                break;
            }
            let Ok(server) = self.active.wait_for_server().await else { break };
            life = life.pause(proof).resume();
            error = match self.active.send_attempt(life.attempt(), &server, last).await {
                Ok(Reply::Partial(reply)) if reply.status == self.status => {
                    self.reply = Some(reply);
                    self.life = Some(life);
                    self.waited = Duration::ZERO;
                    self.log_resumed(&server, last);
                    return true;
                }
                Ok(reply) => not_the_rest(reply.status()),
                Err(error) => error,
            };
        }
        self.life = Some(life);
        false
    }
}

impl<A: Adapter> Relay<A> {
    /// Continues an answer from the copy of its run, after its server has ended; returns whether that succeeds.
    async fn continue_from_copy(
        &mut self,
        life: lifecycle::Request<Orphaned>,
        last: Option<u64>,
        error: AttemptError,
    ) -> bool {
        let ended = self.active.server.clone();
        let Some(server) = self.active.continue_at_backup() else {
            self.active.submission.end_attempt(error.ending());
            self.active.record_outcome(life.truncated().as_str(), 0);
            return false;
        };
        let life = life.continue_from_copy();
        log::info!(
            request = self.active.received.call.id.as_str(), server = server.name.as_str(),
            ended = ended.map(|server| server.name.clone()), after_event = last;
            "the server ended; a copy of its run continues the answer"
        );
        let error = match self.active.continue_from_copy(&server, last).await {
            Ok(Reply::Partial(reply)) if reply.status == self.status => {
                self.active.state.metrics.count_continuation("continued");
                self.reply = Some(reply);
                self.life = Some(life);
                return true;
            }
            Ok(reply) => not_the_rest(reply.status()),
            Err(error) => error,
        };
        self.active.state.metrics.count_continuation("failed");
        let _ = self.active.record_failure(life.attempt(), &server, &error);
        // The request has run, so it must not be queued again even if this attempt ran nothing.
        let ran = error.not_run_proof().is_none();
        let ending = if ran { error.ending() } else { Ending::Cancelled };
        self.active.submission.end_attempt(ending);
        self.active.record_outcome(life.truncated().as_str(), 0);
        false
    }
}

/// Waits for the result of the check whether a server has crashed; none if it still runs, or that isn't known.
async fn confirm_crash(crash: oneshot::Receiver<bool>) -> Option<Ended> {
    crash.await.unwrap_or_default().then(Ended::assume)
}

impl<A: Adapter> Drop for Relay<A> {
    fn drop(&mut self) {
        if self.tokens > 0 {
            let route = &self.active.received.route().name;
            self.active.state.metrics.add_wasted_tokens(route, self.tokens.into());
        }
    }
}

/// The failure of an attempt whose answer doesn't continue a stream: it is none, or has another status, such as one of an
/// answer without a body.
fn not_the_rest(status: StatusCode) -> AttemptError {
    AttemptError::Lost(format!("status {} in place of the rest of a stream", status.as_u16()))
}

/// Pause after which a stream counts as stalled, given the route's target for the longest pause.
fn stall_after(pause: Option<Duration>) -> Duration {
    pause.map_or(MIN_STALL, |pause| (pause * STALL_PAUSES).max(MIN_STALL))
}

/// The body of the response to the caller.
pub(crate) fn body<A: Adapter>(relay: Relay<A>) -> BoxBody {
    let chunks = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Some((bytes, relay))
    });
    BodyStream::new(Box::pin(chunks)).boxed()
}
