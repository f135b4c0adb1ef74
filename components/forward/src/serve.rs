//! Serves a request from its arrival to its end: waits for a server, sends attempts, and passes the
//! answer on.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{ConnectionType, Request, Response};
use catalog::Entry;
use clock::Clock;
use driver::{Refused, Submission, Target};
use lifecycle::{Outcome, Reason, Sending, Waiting};
use policy::{Ending, Expected, Refusal};
use tokio::sync::oneshot;

use crate::adapter::{Adapter, CallerProtocol};
use crate::answer::{Answer, Error, RETRY_ELSEWHERE};
use crate::attempt::{self, AttemptError, End, Plan, Reply, WholeReply};
use crate::intake::{self, Received};
use crate::passing::Passed;
use crate::reach;
use crate::resumption;
use crate::state::{OpenRequest, State};
use crate::stop::Elapsed;
use crate::stream::{self, Relay};

/// A server that hasn't started to answer after this many times the route's target is abandoned for
/// another, if the request may run again. Answers rarely take that long, and the next server gets as
/// much time.
const STALL_TARGETS: u32 = 2;

/// Time for which a sound server may be silent.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Part of the time left in which it must answer nevertheless, so that the caller can try again.
const SILENCE_FRACTION: f64 = 2.0 / 3.0;

/// Answers one request. A node that isn't ready closes each connection after its answer, so that
/// callers with persistent connections move to other nodes too.
pub(crate) async fn handle<A: Adapter>(state: Rc<State<A>>, request: Request) -> Answer {
    let mut answer = receive_and_serve(state.clone(), request).await;
    if !state.ready() {
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

async fn receive_and_serve<A: Adapter>(state: Rc<State<A>>, request: Request) -> Answer {
    let arrived = state.timestamp();
    let call = state.adapter.callers.parse(request.head());
    let id = call.as_ref().map_or("", |call| call.id.as_str()).to_string();
    let path = request.path().to_string();
    let mut open = state.open_request(&id);
    let received = match intake::receive(&state, request, call, arrived, &mut open).await {
        Ok(received) => received,
        Err(error) => {
            state.metrics.count_refusal(error.as_str());
            let revision = state.settings.borrow().as_ref().map(|settings| settings.revision);
            log::info!(
                request = id.as_str(), path = path.as_str(), outcome = error.as_str(),
                cause:% = error, revision = revision, age_ms = state.proof_age_ms(); "not taken in"
            );
            return error.response();
        }
    };
    serve(state, received, open).await
}

/// A server declined and no further attempt is allowed. Other servers may have free slots, which the
/// caller's next try can use.
const DECLINED: Refused =
    Refused { refusal: Refusal::Full, retry_after: Duration::from_millis(50) };

/// The node stops, and the request wasn't sent, or no answer to it is likely to end in time.
const STOPPING: Refused = Refused { refusal: Refusal::Late, retry_after: RETRY_ELSEWHERE };

/// Outcome in logs and metrics of a request whose caller disconnected.
const CALLER_GONE: &str = "caller-gone";

/// Attempts of a request without a connection that are logged one by one. There may be a hundred while no
/// server can be reached.
const LOGGED_UNREACHED: u32 = 2;

/// Measurements of one request, for the log.
#[derive(Default)]
pub(crate) struct Stats {
    /// Time from its arrival to the first event.
    pub(crate) first_event: Option<Duration>,
    /// Longest pause between two chunks with events.
    pub(crate) longest_pause: Duration,
    /// Tokens of the answer that were passed on.
    pub(crate) tokens: u32,
    /// What is known of the end of the latest answer.
    pub(crate) end: Option<End>,
    /// Time from its arrival to its latest attempt.
    sent: Option<Duration>,
    /// Number of attempts.
    sends: u32,
    /// Number of attempts in which no connection was made.
    pub(crate) unreached: Cell<u32>,
    /// The peer that serves it.
    pub(crate) peer: Option<SocketAddr>,
    /// The scheduler's estimate for the engine of the latest attempt.
    expected: Option<Expected>,
}

/// A request that is being served.
pub(crate) struct ActiveRequest<A: Adapter> {
    pub(crate) state: Rc<State<A>>,
    pub(crate) received: Received,
    pub(crate) submission: Submission,
    open: OpenRequest<A>,
    /// The server of the latest attempt.
    pub(crate) server: Option<Rc<Entry>>,
    /// When the latest attempt was sent.
    sent: Instant,
    /// Version of the model's weights that wrote the last event for the caller, if it is known.
    pub(crate) weights: Option<u64>,
    pub(crate) stats: Stats,
    /// Its outcome was logged.
    ended: Cell<bool>,
    /// When it was last passed on to peers and none took it.
    pub(crate) peers_tried: Option<Instant>,
    /// An attempt may have run it.
    pub(crate) may_have_run: bool,
    /// Error response of an earlier attempt, for the caller if no other attempt succeeds.
    error_reply: Option<WholeReply>,
}

pub(crate) async fn serve<A: Adapter>(
    state: Rc<State<A>>,
    mut received: Received,
    open: OpenRequest<A>,
) -> Answer {
    let restricted = state.stop.until_responding(resumption::restrict(&state, &mut received));
    if let Err(error) = restricted.await.unwrap_or(Err(Error::Stopping)) {
        state.metrics.count_refusal(error.as_str());
        log::info!(
            request = received.call.id.as_str(), path = received.call.path.as_str(),
            outcome = error.as_str(), cause:% = error, revision = received.revision,
            age_ms = state.proof_age_ms(); "not taken in"
        );
        return error.response();
    }
    let mut waiting = Waiting::Queued(lifecycle::Request::new(ids::Request::new()).admit().queue());
    let submission = Submission::new(&state.driver, received.request.clone());
    let sent = state.clock.now();
    let mut active = ActiveRequest {
        state,
        received,
        submission,
        open,
        server: None,
        sent,
        weights: None,
        stats: Stats::default(),
        ended: Cell::new(false),
        peers_tried: None,
        may_have_run: false,
        error_reply: None,
    };
    if let Err(refused) = active.state.crashes.check_quarantine(&active.received.subject) {
        return active.refuse(waiting, refused);
    }
    loop {
        if !active.may_be_sent() {
            return active.refuse(waiting, STOPPING);
        }
        if active.needs_peer() {
            if active.received.hop.is_some() {
                return active.refuse_unreachable(waiting);
            }
            waiting = match active.pass_on(waiting).await {
                Ok(Passed::Reply(sending, peer, reply)) => {
                    return active.relay_from_peer(sending, peer, reply);
                }
                Ok(Passed::Answer(answer)) => return answer,
                Err(waiting) => waiting,
            };
        }
        let server = match active.wait_for_server().await {
            Ok(server) => server,
            Err(refused) => return active.refuse(waiting, refused),
        };
        if !active.may_be_sent() {
            active.submission.end_attempt(Ending::Cancelled);
            return active.refuse(waiting, STOPPING);
        }
        let sending = waiting.send();
        let error = match active
            .send_attempt(sending.attempt(), &server, active.received.call.last_event_id)
            .await
        {
            Ok(reply) => {
                if active.record_beginning(&reply).await.is_ok() {
                    return active.relay(sending, reply);
                }
                AttemptError::TimedOut
            }
            Err(error) => error,
        };
        let _ = active.record_failure(sending.attempt(), &server, &error);
        let again = active.submission.end_attempt(error.ending());
        let timed_out = matches!(error, AttemptError::TimedOut);
        let unsent = error.not_run_proof();
        active.may_have_run |= unsent.is_none();
        if let AttemptError::ServerError(whole) = error {
            active.error_reply = Some(*whole);
        }
        waiting = match sending.fail(unsent, active.received.repeatable()) {
            Ok(waiting) => waiting,
            Err(outcome) => return active.answer_without_reply(outcome, timed_out),
        };
        if !again {
            return active.refuse(waiting, DECLINED);
        }
    }
}

impl<A: Adapter> ActiveRequest<A> {
    /// Waits until the scheduler assigns a server; returns the server to send the request to.
    pub(crate) async fn wait_for_server(&mut self) -> Result<Rc<Entry>, Refused> {
        loop {
            let key = self.wait_in_queue().await?;
            if self.received.time_left(&self.state).is_zero() {
                // The process may have been suspended since the server was assigned.
                self.submission.end_attempt(Ending::Cancelled);
                return Err(Refused { refusal: Refusal::Late, ..Refused::NO_SERVER });
            }
            if let Err(refused) = self.state.crashes.begin_attempt(&self.received.subject) {
                self.submission.end_attempt(Ending::Cancelled);
                return Err(refused);
            }
            let server = self.state.registry.borrow().server(key).cloned();
            match server {
                Some(server) if !self.may_serve(&server) => {
                    self.submission.end_attempt(Ending::Cancelled);
                    return Err(Refused::NO_SERVER);
                }
                Some(server) => {
                    self.server = Some(server.clone());
                    self.stats.sent = Some(self.state.elapsed_since(self.received.arrived));
                    self.stats.sends += 1;
                    self.sent = self.state.clock.now();
                    self.stats.expected = self.submission.estimates();
                    self.observe_horizon();
                    return Ok(server);
                }
                None if self.submission.end_attempt(Ending::Unreached) => {}
                None => return Err(Refused::NO_SERVER),
            }
        }
    }

    /// Waits until the scheduler assigns a server, or until the node stops and the request wouldn't end in time.
    async fn wait_in_queue(&mut self) -> Result<ids::Server, Refused> {
        let state = self.state.clone();
        let mut assigned = pin!(self.submission.wait_for_server());
        if !state.draining.get() {
            tokio::select! {
                biased;
                server = &mut assigned => return server,
                () = state.stop.begun() => {}
            }
            if !state.accepts(&self.received) {
                return Err(STOPPING);
            }
        }
        state.stop.until_responding(assigned).await.unwrap_or(Err(STOPPING))
    }

    /// Counts the request among those that are being served.
    pub(crate) fn mark_sent(&self) {
        self.open.mark_sent(self.received.workload(), self.received.arrived);
    }

    /// Whether the request may be sent to a server or a peer: not if the node stops before its answer is likely to end.
    fn may_be_sent(&self) -> bool {
        self.state.accepts(&self.received)
    }

    /// Records that a server has begun to answer.
    async fn record_beginning(&self, reply: &Reply) -> Result<(), Elapsed> {
        let Reply::Partial(reply) = reply else { return Ok(()) };
        let begun = resumption::begin(&self.state, &self.received, reply.server(), reply.identity);
        self.state.stop.until_responding(begun).await
    }

    /// Whether a server is in a region in which the settings that are now in force allow the request. They may
    /// have changed while it waited.
    fn may_serve(&self, server: &Entry) -> bool {
        let settings = self.state.settings.borrow();
        let Some(settings) = settings.as_ref() else { return false };
        if settings.revision == self.received.revision {
            return true;
        }
        let call = &self.received.call;
        let found = settings.match_request(&call.host, &call.path, call.key.as_deref());
        let residency =
            found.map_or_else(|_| self.received.found.residency(), |found| found.residency());
        let node = self.state.node();
        let region = node.domains.get(&server.domain).map_or("", String::as_str);
        let allowed = residency.allows(region);
        if !allowed {
            log::info!(
                request = call.id.as_str(), server = server.name.as_str(), region = region,
                revision = settings.revision;
                "the settings no longer allow the request in the server's region"
            );
        }
        allowed
    }

    /// Sends attempt `number` and waits for the start of its answer until the request's time is over.
    /// An attempt that another one may follow is abandoned earlier, after [`STALL_TARGETS`].
    pub(crate) async fn send_attempt(
        &mut self,
        number: u32,
        server: &Rc<Entry>,
        last_event_id: Option<u64>,
    ) -> Result<Reply, AttemptError> {
        let time_left = self.received.time_left(&self.state);
        let may_retry = number < u32::from(self.received.route().max_attempts);
        let early = may_retry && self.received.repeatable().is_some();
        let stalled = self.received.route().target_latency * STALL_TARGETS;
        let timeout = if early { time_left.min(stalled) } else { time_left };
        let entry = |key: ids::Server| self.state.registry.borrow().server(key).cloned();
        let expected = self.stats.expected;
        let plan = Plan {
            last_event_id,
            fetch_from: expected.and_then(|expected| expected.fetch).and_then(entry),
            backup: expected.and_then(|expected| expected.backup).and_then(entry),
            from_copy: false,
            weights: self.weights,
            job: self.submission.job,
        };
        let mut sending = pin!(attempt::send(&self.state, &self.received, server, &plan));
        self.mark_sent();
        let stop = &self.state.stop;
        let mut result = stop.timeout(timeout, &mut sending).await;
        if result.is_err() && early && !self.submission.may_retry() {
            // A server that is only silent for a moment still answers, and no other may be sent the request.
            let tolerance = SILENCE.min(time_left.mul_f64(SILENCE_FRACTION));
            result = stop.timeout(tolerance.saturating_sub(timeout), &mut sending).await;
        }
        let reply = result.unwrap_or(Err(AttemptError::TimedOut))?;
        if last_event_id.is_some() && !self.state.registry.borrow().has_version_of(server) {
            let cause = "the server that resumes the stream is of another version than was listed";
            return Err(AttemptError::Lost(cause.to_string()));
        }
        Ok(reply)
    }

    /// Whether a server keeps a copy of the run.
    pub(crate) fn has_backup(&self) -> bool {
        self.stats.expected.is_some_and(|expected| expected.backup.is_some())
    }

    /// Moves the request to the server that keeps a copy of its run; none if that one may not be sent the
    /// request. The server that ran it must have ended.
    pub(crate) fn continue_at_backup(&mut self) -> Option<Rc<Entry>> {
        self.state.crashes.begin_attempt(&self.received.subject).ok()?;
        let backup = self.stats.expected?.backup?;
        let server = self.state.registry.borrow().server(backup).cloned()?;
        let ended = self.server.as_ref()?;
        if !self.may_serve(&server) || server.version != ended.version {
            return None;
        }
        self.submission.continue_at_backup()?;
        self.server = Some(server.clone());
        self.stats.sends += 1;
        self.stats.expected = None;
        self.sent = self.state.clock.now();
        Some(server)
    }

    /// Continues a stream after the event `last_event_id` from the copy of its run that `server` keeps.
    pub(crate) async fn continue_from_copy(
        &self,
        server: &Rc<Entry>,
        last_event_id: Option<u64>,
    ) -> Result<Reply, AttemptError> {
        let job = self.submission.job;
        let weights = self.weights;
        let plan = Plan { last_event_id, from_copy: true, weights, job, ..Plan::default() };
        let time_left = self.received.time_left(&self.state);
        let sending = attempt::send(&self.state, &self.received, server, &plan);
        let reply = self.state.stop.timeout(time_left, sending).await;
        reply.unwrap_or(Err(AttemptError::TimedOut))
    }

    /// Logs and counts a failed attempt, and lets [`driver::Crashes`] check whether the server crashed. The
    /// receiver gets the result of that check; there is none if the failure doesn't suggest a crash.
    pub(crate) fn record_failure(
        &self,
        attempt: u32,
        server: &Rc<Entry>,
        error: &AttemptError,
    ) -> Option<oneshot::Receiver<bool>> {
        let (request, name) = (self.received.call.id.as_str(), server.name.as_str());
        let left_ms = self.received.time_left(&self.state).as_millis() as u64;
        self.state.metrics.count_failed_attempt(&self.received.route().name);
        let mut level = log::Level::Warn;
        if let AttemptError::Unreached(_) = error {
            let unreached = self.stats.unreached.get() + 1;
            self.stats.unreached.set(unreached);
            if unreached > LOGGED_UNREACHED {
                level = log::Level::Debug;
            }
        }
        log::log!(
            level,
            request = request, content = self.received.fingerprint_hex(),
            parts = self.received.shared_parts(), began = self.received.began.get(), server = name,
            attempt = attempt, left_ms = left_ms, arrived = error.may_have_arrived(),
            retries_left = self.submission.retries_left(), cause:% = error; "attempt failed"
        );
        match error {
            AttemptError::ServerError(_) => {
                self.state.crashes.record_completion(self.received.subject.content);
                None
            }
            AttemptError::Lost(_) if self.should_be_running(name) => {
                let (target, subject) = (crash_target(server), &self.received.subject);
                let began = self.received.began.get();
                let subject = if began { subject.whole() } else { subject.clone() };
                Some(self.state.crashes.record_lost_connection(target, subject, self.sent))
            }
            _ => None,
        }
    }

    /// Whether a server is listed and isn't shutting down, so that it has crashed if it doesn't run.
    fn should_be_running(&self, server: &str) -> bool {
        self.state.membership.borrow().get(server).is_some_and(|entry| !entry.leaving)
    }

    /// Logs and counts the outcome of the request.
    pub(crate) fn record_outcome(&self, outcome: &str, status: u16) {
        let received = &self.received;
        let route = received.route().name.as_str();
        let time = self.state.elapsed_since(received.arrived);
        let server = self.server.as_ref().map_or("", |server| &server.name);
        self.ended.set(true);
        if self.stats.sends > 0 || self.stats.peer.is_some() {
            self.state.record_duration(received, outcome == Outcome::Complete.as_str());
        }
        let stopping = self.state.stopping_for();
        self.state.metrics.count_outcome(route, outcome);
        let millis = |time: Duration| time.as_millis() as u64;
        let silent_ms =
            self.server.as_ref().and_then(|server| reach::silence_ms(&self.state, &server.service));
        let Stats {
            first_event,
            longest_pause,
            tokens,
            end,
            sent,
            sends,
            unreached,
            peer,
            expected,
        } = &self.stats;
        let route_terms = received.route();
        log::info!(
            request = received.call.id.as_str(), content = received.fingerprint_hex(),
            parts = received.shared_parts(),
            peer = peer.map(|peer| peer.to_string()), unreached = unreached.get(), silent_ms = silent_ms,
            route = route, tier = received.found.tier(),
            server = server, version = self.server.as_ref().map(|server| server.version.as_str()),
            resumes = received.call.resumes.as_deref(), after_event = received.call.last_event_id,
            outcome = outcome, status = status, took_ms = millis(time),
            ended_by = end.map(|end| end.delimiter.as_str()), cut_bytes = end.map(|end| end.cut_bytes),
            skipped_ids = end.map(|end| end.skipped_ids),
            server_then = end.and_then(|end| end.finding).map(|finding| finding.as_str()),
            first_ms = first_event.map(millis), pause_ms = millis(*longest_pause), sends = sends,
            arrivals = received.arrivals.get(),
            sent_ms = sent.map(millis), home = expected.map(|expected| expected.preferred),
            reading_ms = expected.map(|expected| millis(expected.prefill)),
            backlog_ms = expected.map(|expected| millis(expected.backlog)),
            ahead_ms = expected.map(|expected| millis(expected.ahead)),
            overdue_ms = expected.map(|expected| millis(expected.overdue)),
            survival = expected.and_then(|expected| expected.survival),
            fetched = expected.map(|expected| expected.fetch.is_some()),
            prompt = received.request.prompt_tokens, tokens = tokens,
            most_tokens = received.request.max_tokens, guess = received.call.prompt.length_hint,
            target_ms = millis(route_terms.target_latency), bears_ms = route_terms.target_pause.map(millis),
            limit_ms = millis(received.time_limit), stopping_ms = stopping.map(millis),
            revision = received.revision, age_ms = self.state.proof_age_ms(); "ended"
        );
    }

    /// Records for how long the chosen engine caches a prompt part, if its memory is crowded.
    fn observe_horizon(&self) {
        if let Some(horizon) = self.stats.expected.and_then(|expected| expected.horizon) {
            self.state.metrics.observe_cache_horizon(&self.received.route().name, horizon);
        }
    }

    /// Answers a request for which no further attempt is made.
    fn refuse(&mut self, waiting: Waiting, refused: Refused) -> Answer {
        if let Some(whole) = self.error_reply.take() {
            return self.relay_whole(whole);
        }
        let outcome = waiting.refuse(match refused.refusal {
            Refusal::Full | Refusal::Displaced | Refusal::OverShare | Refusal::Overloaded => {
                Reason::Full
            }
            Refusal::Late | Refusal::Resting => Reason::Late,
            Refusal::NoServer => Reason::NoServer,
            Refusal::Quarantined => Reason::Quarantined,
        });
        if outcome == Outcome::Unknown {
            return self.answer_without_reply(outcome, refused.refusal == Refusal::Late);
        }
        if refused.refusal == Refusal::Late && self.state.draining.get() {
            let error = Error::Stopping;
            self.state.metrics.count_refusal(error.as_str());
            self.record_outcome(error.as_str(), error.status().as_u16());
            return error.response();
        }
        let reason = match refused.refusal {
            Refusal::Full => "no room",
            Refusal::Displaced => "given up for a higher tier",
            Refusal::Late => "it can't be served in time",
            Refusal::Resting => "all backend servers ask for rest",
            Refusal::OverShare => "over its share",
            Refusal::Overloaded => "overload",
            Refusal::NoServer if self.received.request.regions.is_some() => {
                "no backend server in its regions may take it"
            }
            Refusal::NoServer if self.received.request.version.is_some() => {
                "no backend server of the version that began its stream is left"
            }
            Refusal::NoServer => "no backend server may take it",
            Refusal::Quarantined => "servers ended under it",
        };
        let error = Error::Refused { reason, retry_after: refused.retry_after };
        self.state.metrics.count_refusal(reason);
        self.record_outcome(reason, error.status().as_u16());
        error.response()
    }

    /// Answers a request that may have run but brought no complete answer: with an earlier attempt's
    /// error response if there is one, or else with an error of the proxy.
    pub(crate) fn answer_without_reply(&mut self, outcome: Outcome, timed_out: bool) -> Answer {
        if let Some(whole) = self.error_reply.take() {
            return self.relay_whole(whole);
        }
        let error = if timed_out { Error::TimedOut } else { Error::Unknown };
        self.record_outcome(outcome.as_str(), error.status().as_u16());
        error.response()
    }

    /// Passes a complete answer on.
    pub(crate) fn relay_whole(&mut self, whole: WholeReply) -> Answer {
        let outcome = Outcome::Complete.as_str();
        if whole.status.is_success() {
            self.state.crashes.record_beginning(&self.received.subject);
        }
        self.record_outcome(outcome, whole.status.as_u16());
        self.state.crashes.record_completion(self.received.subject.content);
        let workspace =
            self.received.found.workspace.as_ref().map_or("", |workspace| &workspace.name);
        let time = self.state.elapsed_since(self.received.arrived);
        self.state.metrics.observe_answer(&self.received.route().name, workspace, time);
        whole.into_response()
    }

    /// Passes an answer on, at once if it is complete, or else as it arrives.
    fn relay(mut self, sending: Sending, reply: Reply) -> Answer {
        let mut reply = match reply {
            Reply::Whole(whole) => {
                self.submission.end_attempt(Ending::Completed);
                sending.complete();
                return self.relay_whole(whole);
            }
            Reply::Partial(reply) => reply,
        };
        let mut response = Response::new(reply.status);
        *response.headers_mut() = reply.take_headers();
        let relay = Relay::new(self, sending.stream(), reply);
        response.set_body(stream::body(relay)).map_into_boxed_body()
    }
}

/// Identifies a server for crash detection; a restart under the same name counts as another server.
fn crash_target(server: &Entry) -> Target {
    let start = format!("{} {}", server.name, server.started.unwrap_or_default());
    Target { instance: Some(wire::key(&start)), address: server.address.clone() }
}

/// A request whose caller disconnected is dropped at whatever point it is, and logged here.
impl<A: Adapter> Drop for ActiveRequest<A> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.record_outcome(CALLER_GONE, 0);
        }
    }
}
