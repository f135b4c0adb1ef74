//! Runs an admitted request: waits until the scheduler selects a server, sends the request to it, and
//! relays the response.

use std::rc::Rc;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use clock::Clock;
use engine::wire::REQUEST_ID;
use engine::{Batch, Call, Failure, Kind, Reply, WholeReply};
use idempotency::StoredAnswer;
use lifecycle::{Outcome, Reason, Repeatable, Sending, Unsent, Waiting};
use policy::{Ending, Refusal};
use settings::{Server, ServerKind};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{self, Answer, Error, OUTCOME_HEADER};
use crate::claim::Claim;
use crate::state::{OpenRequest, State};
use crate::stream::{self, Relay};
use crate::submission::{Refused, Submission};

/// Bytes at the start of a body by which prompts that share a cached prefix are recognized.
const PREFIX_BYTES: usize = 1024;
/// Average bytes of text for one token; the estimate is corrected as the tokens of responses are
/// counted.
const BYTES_PER_TOKEN: usize = 4;

/// An admitted request.
pub(crate) struct Job {
    pub(crate) lifecycle: lifecycle::Request<lifecycle::Admitted>,
    pub(crate) payload: Payload,
}

/// The content of a request, which each attempt sends.
pub(crate) struct Payload {
    pub(crate) class: Rc<settings::Class>,
    /// Name of the workspace.
    pub(crate) workspace: String,
    /// Name of the model, or path prefix of the plain service.
    pub(crate) model: String,
    pub(crate) path: String,
    pub(crate) media: String,
    pub(crate) body: Bytes,
    pub(crate) key: Option<ids::Request>,
    /// The claim of its idempotency key, if it has one and must not run twice.
    pub(crate) claim: Option<Claim>,
    pub(crate) request: policy::Request,
}

impl Payload {
    pub(crate) fn build_call(&self, id: ids::Request, attempt: u32, server: &Server) -> Call {
        Call {
            id,
            attempt,
            kind: match server.kind {
                ServerKind::Engine => Kind::Completion,
                ServerKind::Plain => Kind::Plain,
            },
            address: server.address.clone(),
            path: self.path.clone(),
            media_type: self.media.clone(),
            body: self.body.clone(),
            priority: self.class.rank,
            fresh_connection: !self.class.idempotent,
            idempotency_key: self.key,
            headers: vec![],
        }
    }

    /// Hash of the content, the same for each attempt.
    pub(crate) fn content_hash(&self) -> u64 {
        let texts = [&self.workspace, &self.class.name, &self.path].map(|text| text.as_bytes());
        let [workspace, class, path] = texts;
        driver::fingerprint(&[workspace, class, path, &self.body])
    }

    /// Proof that the request may run more than once, if it may.
    pub(crate) fn repeatable(&self) -> Option<Repeatable> {
        Repeatable::if_idempotent(self.class.idempotent)
    }
}

/// Hash of the start of a body, by which prompts that share a cached prefix are recognized.
pub(crate) fn prefix_hash(body: &[u8]) -> u64 {
    xxh3_64(&body[..body.len().min(PREFIX_BYTES)])
}

/// Estimated length of a prompt in tokens.
pub(crate) fn estimate_tokens(body: &[u8]) -> u32 {
    (body.len() / BYTES_PER_TOKEN) as u32
}

/// Why an attempt failed.
pub(crate) enum AttemptError {
    /// The backend server failed.
    Failure(Failure),
    /// The scheduler stopped the attempt.
    Stopped,
    /// The deadline passed.
    Late,
}

impl AttemptError {
    /// Logs why the attempt failed, and records it if the server may have crashed.
    pub(crate) fn record(&self, submission: &Submission, id: ids::Request, attempt: u32) {
        let cause = match self {
            AttemptError::Failure(failure) => failure.to_string(),
            AttemptError::Stopped => "stopped for a higher tier".to_string(),
            AttemptError::Late => "its deadline passed".to_string(),
        };
        if let AttemptError::Failure(Failure::Mismatched { .. }) = self {
            submission.state.metrics.count_mismatched_answer();
        }
        if let AttemptError::Failure(Failure::Indeterminate { address, .. }) = self {
            submission.record_lost_connection(address);
        }
        log::warn!(request:% = id, attempt = attempt, cause = cause.as_str(); "attempt failed");
    }

    /// Proof that the attempt didn't run, if there is one.
    pub(crate) fn not_run_proof(&self) -> Option<Unsent> {
        match self {
            AttemptError::Failure(failure) if failure.was_not_executed() => Some(Unsent::assume()),
            _ => None,
        }
    }

    /// How the attempt ended, if another may follow.
    pub(crate) fn ending(&self) -> Ending {
        match self {
            AttemptError::Failure(failure) if failure.was_not_executed() => Ending::NotRun,
            AttemptError::Failure(_) => Ending::Failed,
            AttemptError::Stopped => Ending::Stopped,
            AttemptError::Late => Ending::Cancelled,
        }
    }

    /// How the attempt ended, if no other can follow.
    pub(crate) fn final_ending(&self) -> Ending {
        match self {
            AttemptError::Failure(_) => Ending::Failed,
            AttemptError::Stopped | AttemptError::Late => Ending::Cancelled,
        }
    }
}

/// A payload of which nothing was sent. If it is dropped, its caller disconnected while it was queued,
/// and its idempotency key may be used again.
struct QueuedPayload(Option<Payload>);

impl Drop for QueuedPayload {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take().and_then(|payload| payload.claim) {
            claim.release();
        }
    }
}

/// Serves an admitted request. A request that must not run twice goes on when its caller disconnects,
/// but only once it may have been sent; before that it is dropped, because it would run for nobody.
pub(crate) async fn serve(state: Rc<State>, job: Job, open: OpenRequest) -> Answer {
    let Job { lifecycle, payload } = job;
    let id = lifecycle.id();
    let waiting = Waiting::Queued(lifecycle.queue());
    // The node stops.
    let late = Refused { refusal: Refusal::Late, ..Refused::NO_SERVER };
    if !state.accepts(&payload.request) {
        return refuse(&state, &payload, waiting, late);
    }
    let mut submission = Submission::new(&state, &payload);
    let mut queued = QueuedPayload(Some(payload));
    let selected = state.until_responding(submission.wait_for_server()).await;
    let Some(payload) = queued.0.take() else {
        return answer::error(id, Outcome::Unknown, &Error::Unknown, None);
    };
    let server = match selected.unwrap_or(Err(late)) {
        Ok(server) => server,
        Err(refused) => return refuse(&state, &payload, waiting, refused),
    };
    let idempotent = payload.class.idempotent;
    let class = payload.class.clone();
    let running = run(state.clone(), payload, waiting, submission, server, open);
    let unknown = || answer::error(id, Outcome::Unknown, &Error::Unknown, None);
    if idempotent {
        let ended = state.until_responding(running).await;
        return ended.unwrap_or_else(|| {
            record_outcome(&state, id, &class.name, Outcome::Unknown);
            unknown()
        });
    }
    // The task goes on after its caller was answered, until the process ends.
    let ended = state.until_responding(actix_rt::spawn(running)).await;
    ended.and_then(Result::ok).unwrap_or_else(unknown)
}

async fn run(
    state: Rc<State>,
    payload: Payload,
    mut waiting: Waiting,
    mut submission: Submission,
    mut server: Rc<Server>,
    open: OpenRequest,
) -> Answer {
    loop {
        if let Some(refused) = late_refusal(&state, &payload) {
            submission.end_attempt(Ending::NotRun);
            return refuse(&state, &payload, waiting, refused);
        }
        let sending = waiting.send();
        let id = sending.id();
        let (sending, ended) =
            attempt_with_repeat(&mut submission, &payload, sending, &server).await;
        let error = match ended {
            Ok(reply) => return relay_reply(submission, sending, reply, payload, open),
            Err(error) => error,
        };
        state.metrics.count_failed_attempt(&payload.class.name);
        let requeued = submission.end_attempt(error.ending());
        waiting = match sending.fail(error.not_run_proof(), payload.repeatable()) {
            Ok(waiting) => waiting,
            Err(outcome) => return answer_unknown(&state, &payload, id, outcome),
        };
        if !requeued {
            return refuse(&state, &payload, waiting, Refused::NO_SERVER);
        }
        server = match submission.wait_for_server().await {
            Ok(server) => server,
            Err(refused) => return refuse(&state, &payload, waiting, refused),
        };
    }
}

/// Makes an attempt, and a second one at the same server if the first may have run and the server itself
/// runs each key at most once.
async fn attempt_with_repeat(
    submission: &mut Submission,
    payload: &Payload,
    sending: Sending,
    server: &Server,
) -> (Sending, Result<ReadyReply, AttemptError>) {
    let call = payload.build_call(sending.id(), sending.attempt(), server);
    let error = match make_attempt(submission, payload, &call).await {
        Ok(reply) => return (sending, Ok(reply)),
        Err(error) => error,
    };
    error.record(submission, call.id, call.attempt);
    let proof = Repeatable::if_idempotent(server.keyed && call.idempotency_key.is_some());
    if payload.class.idempotent || proof.is_none() || error.not_run_proof().is_some() {
        return (sending, Err(error));
    }
    let sending = match sending.fail(None, proof) {
        Ok(waiting) => waiting.send(),
        Err(_) => unreachable!("a proof was given"),
    };
    let call = payload.build_call(sending.id(), sending.attempt(), server);
    let ended = make_attempt(submission, payload, &call).await;
    if let Err(error) = &ended {
        error.record(submission, call.id, call.attempt);
    }
    (sending, ended)
}

/// The refusal of a request whose deadline passed after the scheduler selected a server, which happens
/// if the process was paused in between.
fn late_refusal(state: &State, payload: &Payload) -> Option<Refused> {
    let late = state.clock.now() >= payload.request.deadline;
    late.then_some(Refused { refusal: Refusal::Late, ..Refused::NO_SERVER })
}

/// A response of which enough was received to begin the response to the caller.
enum ReadyReply {
    Whole(WholeReply),
    /// A stream and its first events.
    Stream(Box<engine::Stream>, Option<Batch>),
}

/// Sends a call and waits for the whole response or the first events of a stream. Until then nothing
/// was sent to the caller, and another attempt may follow.
async fn send_call(engines: &engine::Client, call: &Call) -> Result<ReadyReply, AttemptError> {
    match engines.call(call).await.map_err(AttemptError::Failure)? {
        Reply::Whole(whole) => Ok(ReadyReply::Whole(whole)),
        Reply::Stream(mut stream) => {
            let first = stream.next().await.map_err(AttemptError::Failure)?;
            Ok(ReadyReply::Stream(stream, first))
        }
    }
}

/// Makes one attempt. The attempt of a request that must not run twice is never stopped.
async fn make_attempt(
    submission: &mut Submission,
    payload: &Payload,
    call: &Call,
) -> Result<ReadyReply, AttemptError> {
    let engines = submission.state.engine_client.borrow().clone();
    let sending = send_call(&engines, call);
    if !payload.class.idempotent {
        return sending.await;
    }
    tokio::select! {
        reply = sending => reply,
        _ = submission.wait_for_stop() => Err(AttemptError::Stopped),
        _ = tokio::time::sleep_until(payload.request.deadline.into()) => Err(AttemptError::Late),
    }
}

/// Counts and logs the outcome of a request.
pub(crate) fn record_outcome(state: &State, id: ids::Request, class: &str, outcome: Outcome) {
    state.metrics.count_outcome(class, outcome.as_str());
    log::info!(request:% = id, class = class, outcome = outcome.as_str(); "ended");
}

/// Records how long a complete response took.
pub(crate) fn record_response_time(state: &State, payload: &Payload) {
    let settings = state.settings();
    let workspace = settings.as_ref().and_then(|s| s.workspaces.get(payload.request.workspace));
    let workspace = workspace.map_or("", |workspace| &workspace.name);
    state.record_duration(&payload.request, true);
    let time = state.clock.now() - payload.request.arrived;
    state.metrics.observe_answer(&payload.class.name, workspace, time);
}

fn refuse(state: &State, payload: &Payload, waiting: Waiting, refused: Refused) -> Answer {
    let id = waiting.id();
    let outcome = waiting.refuse(match refused.refusal {
        Refusal::Full | Refusal::Displaced | Refusal::OverShare | Refusal::Overloaded => {
            Reason::Full
        }
        Refusal::Late | Refusal::Resting => Reason::Late,
        Refusal::NoServer => Reason::NoServer,
        Refusal::Quarantined => Reason::Quarantined,
    });
    if outcome == Outcome::Unknown {
        return answer_unknown(state, payload, id, outcome);
    }
    if let Some(claim) = &payload.claim {
        claim.release();
    }
    record_outcome(state, id, &payload.class.name, outcome);
    state.metrics.count_refusal(answer::refusal_text(refused.refusal));
    let retry_after = refused.retry_after;
    let error = Error::Refused(answer::refusal_text(refused.refusal), retry_after.as_millis());
    answer::error(id, outcome, &error, Some(retry_after))
}

/// Answers a request that may have run.
fn answer_unknown(state: &State, payload: &Payload, id: ids::Request, outcome: Outcome) -> Answer {
    state.record_duration(&payload.request, false);
    record_outcome(state, id, &payload.class.name, outcome);
    answer::error(id, outcome, &Error::Unknown, None)
}

/// Builds the response to the caller from a server's.
fn relay_reply(
    mut submission: Submission,
    sending: Sending,
    reply: ReadyReply,
    payload: Payload,
    open: OpenRequest,
) -> Answer {
    let id = sending.id();
    let status = match &reply {
        ReadyReply::Stream(..) => StatusCode::OK,
        ReadyReply::Whole(whole) => StatusCode::from_u16(whole.status).unwrap_or(StatusCode::OK),
    };
    let mut response = Response::build(status);
    response.insert_header((REQUEST_ID, id.to_string()));
    match reply {
        ReadyReply::Whole(whole) => {
            submission.end_attempt(Ending::Completed);
            let outcome = sending.complete();
            if let Some(claim) = &payload.claim {
                let (media, body) = (whole.media_type.clone(), whole.body.to_vec());
                claim.complete(Some(StoredAnswer { status: whole.status, media, body }));
            }
            record_outcome(&submission.state, id, &payload.class.name, outcome);
            record_response_time(&submission.state, &payload);
            response.insert_header(("content-type", whole.media_type));
            response.insert_header((OUTCOME_HEADER, outcome.as_str()));
            response.body(whole.body).map_into_boxed_body()
        }
        ReadyReply::Stream(source, first) => {
            response.insert_header(("content-type", "text/event-stream"));
            response.insert_header(("cache-control", "no-cache"));
            response.insert_header((OUTCOME_HEADER, answer::STREAMING));
            let relay = Relay::new(submission, sending.stream(), source, first, payload, open);
            response.body(stream::body(relay)).map_into_boxed_body()
        }
    }
}
