//! Serves calls with an idempotency key: each goes to the node that owns the key, which lets it run at
//! most once.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodyStream;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use clock::Clock;
use engine::wire::{NOT_RUN, REPLAYED, REQUEST_ID};
use engine::{Batch, Call, Client, Kind, Reply, WholeReply};
use futures_util::stream;
use idempotency::{CallKey, Member, Record, StoredAnswer};
use lifecycle::{Admitted, Outcome, Reason, Sending, Unsent, Waiting};
use settings::Effective;
use wire::KeyedCall;

use crate::answer::{self, Answer, Error, OUTCOME_HEADER, STREAMING};
use crate::claim::Claim;
use crate::relay::{self, Job, Payload};
use crate::state::{OpenRequest, State};
use crate::{peers, stream as relay_stream};

/// Path of a keyed call at the listener for peers.
pub(crate) const PATH: &str = "/keyed";
/// Bytes that a frame may need in addition to the caller's body.
const FRAME_OVERHEAD_BYTES: usize = 16 << 10;
/// Time that an owner gets after the call's deadline to answer a call that it let run.
const OWNER_GRACE: Duration = Duration::from_secs(5);

/// Serves a call that has a key.
pub(crate) async fn serve(
    state: Rc<State>,
    job: Job,
    key: ids::Request,
    open: OpenRequest,
) -> Answer {
    let (owner, is_self) = {
        let records = state.key_owner.borrow();
        let owner = records.owner_of(key).cloned();
        let is_self = owner.as_ref().is_some_and(|owner| records.is_self(owner));
        (owner, is_self)
    };
    match owner {
        _ if is_self => serve_as_owner(state, job, key, open).await,
        Some(owner) if !may_receive(&state, &job, &owner) => {
            refuse(&state, &job.payload, job.lifecycle, Error::NoOwner)
        }
        Some(owner) => forward_to_owner(state, job, key, owner, open).await,
        None => refuse(&state, &job.payload, job.lifecycle, Error::NoOwner),
    }
}

/// Whether the owner of a key is in a region in which the call's body may be.
fn may_receive(state: &State, job: &Job, owner: &Member) -> bool {
    let Some(regions) = &job.payload.request.regions else { return true };
    let view = state.view.borrow();
    let domain = view.members().find(|(name, _)| **name == owner.name);
    let settings = state.settings();
    let region = domain
        .zip(settings.as_ref())
        .and_then(|((_, member), settings)| settings.region_of(&member.domain));
    region.is_some_and(|region| regions.contains(&region))
}

/// Serves a call whose key this node owns: runs it, or answers that it ran before or mustn't run.
async fn serve_as_owner(
    state: Rc<State>,
    mut job: Job,
    key: ids::Request,
    open: OpenRequest,
) -> Answer {
    let name = CallKey { workspace: job.payload.workspace.clone(), key };
    let id = job.lifecycle.id();
    match Claim::acquire(&state, name) {
        Ok(claim) => {
            job.payload.claim = Some(claim);
            relay::serve(state, job, open).await
        }
        Err(idempotency::Decision::Duplicate(Record::Complete(Some(stored)))) => {
            replay(&state, id, &job, &stored)
        }
        Err(idempotency::Decision::Duplicate(Record::Running)) => {
            refuse_duplicate(&state, id, &job, Error::Running)
        }
        Err(idempotency::Decision::Duplicate(_)) => {
            refuse_duplicate(&state, id, &job, Error::AlreadyRan)
        }
        Err(idempotency::Decision::MayHaveRun)
            if is_deduplicated_by_server(&state, &job.payload) =>
        {
            relay::serve(state, job, open).await
        }
        Err(idempotency::Decision::MayHaveRun) => {
            refuse_duplicate(&state, id, &job, Error::MayHaveRun)
        }
        Err(idempotency::Decision::Undated) => {
            refuse(&state, &job.payload, job.lifecycle, Error::UndatedKey)
        }
        Err(_) => refuse(&state, &job.payload, job.lifecycle, Error::NoOwner),
    }
}

/// Whether the only server for the call itself runs each key at most once, and still remembers the key
/// because it was issued recently enough.
fn is_deduplicated_by_server(state: &State, payload: &Payload) -> bool {
    let Some(settings) = state.settings() else { return false };
    let mut servers =
        settings.servers.values().filter(|server| server.models.contains(&payload.request.model));
    let keyed = servers.next().is_some_and(|server| server.keyed) && servers.next().is_none();
    let issued = payload.key.and_then(|key| key.issued());
    let (window, now) = (settings.limits.key_window, state.key_time());
    keyed && issued.is_some_and(|issued| issued + window >= now && issued <= now)
}

fn refuse(
    state: &State,
    payload: &Payload,
    lifecycle: lifecycle::Request<Admitted>,
    error: Error,
) -> Answer {
    let id = lifecycle.id();
    let outcome = lifecycle.end_not_run(Reason::NoServer);
    relay::record_outcome(state, id, &payload.class.name, outcome);
    state.metrics.count_refusal(error.as_str());
    answer::error(id, outcome, &error, error.retry_after())
}

/// Answers a call that isn't run now, because it ran or may have run before.
fn refuse_duplicate(state: &State, id: ids::Request, job: &Job, error: Error) -> Answer {
    relay::record_outcome(state, id, &job.payload.class.name, Outcome::Unknown);
    answer::error(id, Outcome::Unknown, &error, error.retry_after())
}

/// Answers a duplicate with the stored answer of the first call.
fn replay(state: &State, id: ids::Request, job: &Job, stored: &StoredAnswer) -> Answer {
    relay::record_outcome(state, id, &job.payload.class.name, Outcome::Complete);
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    response.insert_header(("content-type", stored.media.clone()));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME_HEADER, Outcome::Complete.as_str()));
    response.insert_header((REPLAYED, "true"));
    response.body(stored.body.clone()).map_into_boxed_body()
}

/// Sends a call to the owner of its key, once. This can't make it run twice, because the owner lets it
/// run at most once. Nor can the caller get a wrong "not run": that is the outcome only if the call
/// wasn't sent, or if the owner says so.
async fn forward_to_owner(
    state: Rc<State>,
    job: Job,
    key: ids::Request,
    owner: Member,
    open: OpenRequest,
) -> Answer {
    let Job { lifecycle, payload } = job;
    let id = lifecycle.id();
    let time_left = payload.request.deadline.saturating_duration_since(state.clock.now());
    let call = owner_call(&state, &payload, id, key, &owner, time_left);
    let Some(settings) = state.settings() else {
        return refuse(&state, &payload, lifecycle, Error::NoSettings);
    };
    let limits = &settings.limits;
    let client = Client::new(limits.connect, time_left + limits.idle_stream + OWNER_GRACE);
    let sending = Waiting::Queued(lifecycle.queue()).send();
    let Some(ended) = state.until_responding(client.call(&call)).await else {
        relay::record_outcome(&state, id, &payload.class.name, Outcome::Unknown);
        return answer::error(id, Outcome::Unknown, &Error::Unknown, None);
    };
    let failure = match ended {
        Ok(Reply::Whole(whole)) => return whole_answer(&state, &payload, sending, whole),
        Ok(Reply::Stream(source)) => return stream_answer(&state, &payload, sending, source, open),
        Err(failure) => failure,
    };
    log::warn!(request:% = id, home = owner.name.as_str(), cause:% = failure; "owner of the key didn't answer");
    let unsent = failure.was_not_executed().then(Unsent::assume);
    let outcome = match sending.fail(unsent, None) {
        Ok(waiting) => waiting.refuse(Reason::NoServer),
        Err(outcome) => outcome,
    };
    relay::record_outcome(&state, id, &payload.class.name, outcome);
    let error = if outcome == Outcome::Unknown { Error::Unknown } else { Error::NoOwner };
    answer::error(id, outcome, &error, error.retry_after())
}

fn owner_call(
    state: &State,
    payload: &Payload,
    id: ids::Request,
    key: ids::Request,
    owner: &Member,
    time_left: Duration,
) -> Call {
    let keyed = KeyedCall {
        id: id.to_string(),
        key: key.to_string(),
        workspace: payload.workspace.clone(),
        class: payload.class.name.clone(),
        model: payload.model.clone(),
        path: payload.path.clone(),
        media: payload.media.clone(),
        deadline_ms: time_left.as_millis() as u64,
        max_tokens: payload.request.max_tokens,
        body: payload.body.to_vec(),
    };
    Call {
        id,
        attempt: 1,
        // The owner has checked the content of the answer; here only its framing is checked.
        kind: Kind::Plain,
        address: owner.address.clone(),
        path: PATH.to_string(),
        media_type: "application/msgpack".to_string(),
        body: keyed.encode().into(),
        priority: payload.class.rank,
        fresh_connection: true,
        idempotency_key: Some(key),
        headers: vec![(peers::SECRET_HEADER, state.node.secret.clone())],
    }
}

fn whole_answer(state: &State, payload: &Payload, sending: Sending, whole: WholeReply) -> Answer {
    let id = sending.id();
    let outcome = match whole.outcome.as_str() {
        "complete" => sending.complete(),
        _ => Outcome::Unknown,
    };
    relay::record_outcome(state, id, &payload.class.name, outcome);
    let status = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    response.insert_header(("content-type", whole.media_type));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME_HEADER, outcome.as_str()));
    if whole.replayed {
        response.insert_header((REPLAYED, "true"));
    }
    response.body(whole.body).map_into_boxed_body()
}

/// Relays a stream that the owner relays from a server.
fn stream_answer(
    state: &Rc<State>,
    payload: &Payload,
    sending: Sending,
    source: Box<engine::Stream>,
    open: OpenRequest,
) -> Answer {
    let id = sending.id();
    let (state, class) = (state.clone(), payload.class.name.clone());
    let lifecycle = Some(sending.stream());
    let relay =
        OwnerStream { state, class, source, lifecycle, event_sent: false, abort: false, open };
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "text/event-stream"));
    response.insert_header(("cache-control", "no-cache"));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME_HEADER, STREAMING));
    let events = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Some((bytes, relay))
    });
    response.body(BodyStream::new(Box::pin(events))).map_into_boxed_body()
}

/// A stream from the owner to the caller.
struct OwnerStream {
    state: Rc<State>,
    class: String,
    source: Box<engine::Stream>,
    lifecycle: Option<lifecycle::Request<lifecycle::Streaming>>,
    /// The owner's last event was the error event that ends a truncated stream.
    event_sent: bool,
    /// The connection to the caller must be closed next.
    abort: bool,
    #[allow(dead_code, reason = "counts the request until the stream ends")]
    open: OpenRequest,
}

impl OwnerStream {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.abort {
            self.abort = false;
            tokio::time::sleep(relay_stream::FLUSH_DELAY).await;
            return Some(Err(io::Error::other("the answer broke off")));
        }
        let lifecycle = self.lifecycle.take()?;
        let id = lifecycle.id();
        match self.source.next().await {
            Ok(Some(Batch { bytes, .. })) => {
                self.event_sent = bytes.starts_with(relay_stream::ERROR_EVENT.as_bytes());
                self.lifecycle = Some(lifecycle);
                Some(Ok(bytes))
            }
            Ok(None) => {
                relay::record_outcome(&self.state, id, &self.class, lifecycle.complete());
                None
            }
            Err(cause) => {
                log::warn!(request:% = id, cause:% = cause; "stream from the owner of the key ended early");
                relay::record_outcome(&self.state, id, &self.class, lifecycle.truncated());
                self.abort = true;
                let event =
                    if self.event_sent { Bytes::new() } else { relay_stream::truncated_event(id) };
                Some(Ok(event))
            }
        }
    }
}

/// Answers a call that another node sends to this one as the owner of its key. The response to a call
/// that didn't run has a header that tells the other node so.
pub(crate) async fn handle(state: Rc<State>, request: Request) -> Answer {
    let mut answer = match read_call(&state, request).await {
        Some((job, key)) => {
            let open = state.open_request(job.lifecycle.id());
            serve_as_owner(state, job, key, open).await
        }
        None => Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body(),
    };
    let outcome = answer.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    if outcome.is_none_or(|outcome| outcome == "not-run") {
        let value = actix_http::header::HeaderValue::from_static("true");
        let name = actix_http::header::HeaderName::from_static(NOT_RUN);
        answer.headers_mut().insert(name, value);
    }
    answer
}

async fn read_call(state: &State, mut request: Request) -> Option<(Job, ids::Request)> {
    let settings = state.settings()?;
    let reading = listen::read_body(&mut request, settings.limits.max_body + FRAME_OVERHEAD_BYTES);
    let body = tokio::time::timeout(settings.limits.body_time, reading).await.ok()?.ok()?;
    let keyed = KeyedCall::decode(&body).ok()?;
    let key = ids::Request::parse(&keyed.key).ok()?;
    Some((build_job(state, &settings, keyed, key)?, key))
}

/// Builds the job of a call by this node's settings; `None` if they don't have its class, workspace or
/// model, or if its class is idempotent.
fn build_job(
    state: &State,
    settings: &Effective,
    keyed: KeyedCall,
    key: ids::Request,
) -> Option<Job> {
    let class_key = settings.class_names.key(&keyed.class)?;
    let class = settings.classes.get(class_key).filter(|class| !class.idempotent)?.clone();
    let workspace = settings.workspace_names.key(&keyed.workspace)?;
    let model = settings.model_names.key(&keyed.model)?;
    let id = ids::Request::parse(&keyed.id).ok()?;
    let arrived = state.clock.now();
    let time_limit = Duration::from_millis(keyed.deadline_ms).min(class.deadline);
    let request = policy::Request {
        class: class_key,
        workspace,
        model,
        service: model,
        prefix: relay::prefix_hash(&keyed.body),
        prompt_tokens: relay::estimate_tokens(&keyed.body),
        shared: vec![],
        max_tokens: keyed.max_tokens,
        length_hint: None,
        arrived,
        deadline: arrived + time_limit,
        idempotent: false,
        region: settings.region_names.key(&state.node.region).unwrap_or_default(),
        regions: settings.allowed_regions(class_key, workspace),
        version: None,
        prior: policy::Prior::default(),
    };
    Some(Job {
        lifecycle: lifecycle::Request::new(id).admit(),
        payload: Payload {
            class,
            workspace: keyed.workspace,
            model: keyed.model,
            path: keyed.path,
            media: keyed.media,
            body: keyed.body.into(),
            key: Some(key),
            claim: None,
            request,
        },
    })
}
