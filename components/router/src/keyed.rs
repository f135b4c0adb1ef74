//! Calls with an idempotency key: each goes to the home of its key, which lets it through once.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodyStream;
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use clock::Clock;
use engine::wire::{NOT_RUN, REPLAYED, REQUEST_ID};
use engine::{Call, Client, Kind, Piece, Reply, Whole};
use futures_util::stream;
use idempotency::{CallKey, Member, Record, StoredAnswer};
use lifecycle::{Admitted, Outcome, Reason, Sending, Unsent, Waiting};
use settings::Effective;
use wire::KeyedCall;

use crate::answer::{self, Answer, Error, OUTCOME, STREAMING};
use crate::claim::Claim;
use crate::relay::{self, Job, Parcel};
use crate::state::{Held, State};
use crate::{peers, stream as passing};

/// Path of a keyed call on the peers' listener.
pub(crate) const CALL: &str = "/keyed";
/// What a frame needs beside the caller's body.
const ROOM: usize = 16 << 10;
/// Time beyond its use that a home is given for a call that it let through.
const BEYOND: Duration = Duration::from_secs(5);

/// Serves a call that has a key.
pub(crate) async fn serve(state: Rc<State>, job: Job, key: ids::Request, held: Held) -> Answer {
    let (owner, mine) = {
        let home = state.home.borrow();
        let owner = home.owner_of(key).cloned();
        let mine = owner.as_ref().is_some_and(|owner| home.is_self(owner));
        (owner, mine)
    };
    match owner {
        _ if mine => here(state, job, key, held).await,
        Some(owner) => there(state, job, key, owner, held).await,
        None => refused(&state, &job.parcel, job.life, Error::NoHome),
    }
}

/// Lets a call through at this node, or not.
async fn here(state: Rc<State>, mut job: Job, key: ids::Request, held: Held) -> Answer {
    let name = CallKey { workspace: job.parcel.workspace.clone(), key };
    let id = job.life.id();
    match Claim::make(&state, name) {
        Ok(claim) => {
            job.parcel.claim = Some(claim);
            relay::serve(state, job, held).await
        }
        Err(idempotency::Decision::Duplicate(Record::Complete(Some(kept)))) => {
            again(&state, id, &job, &kept)
        }
        Err(idempotency::Decision::Duplicate(Record::Running)) => {
            told(&state, id, &job, Error::Running)
        }
        Err(idempotency::Decision::Duplicate(_)) => told(&state, id, &job, Error::Ran),
        Err(idempotency::Decision::MayHaveRun) if alone(&state, &job.parcel) => {
            relay::serve(state, job, held).await
        }
        Err(idempotency::Decision::MayHaveRun) => told(&state, id, &job, Error::MayHaveRun),
        Err(idempotency::Decision::Undated) => {
            refused(&state, &job.parcel, job.life, Error::Undated)
        }
        Err(_) => refused(&state, &job.parcel, job.life, Error::NoHome),
    }
}

/// Whether a server that runs a key at most once by itself is the only one for the call, and the key
/// is young enough to be remembered there.
fn alone(state: &State, parcel: &Parcel) -> bool {
    let Some(settings) = state.settings() else { return false };
    let mut servers =
        settings.servers.values().filter(|server| server.models.contains(&parcel.request.model));
    let keyed = servers.next().is_some_and(|server| server.keyed) && servers.next().is_none();
    let issued = parcel.key.and_then(|key| key.issued());
    let (window, now) = (settings.limits.key_window, state.wall());
    keyed && issued.is_some_and(|issued| issued + window >= now && issued <= now)
}

fn refused(
    state: &State,
    parcel: &Parcel,
    life: lifecycle::Request<Admitted>,
    error: Error,
) -> Answer {
    let id = life.id();
    let outcome = life.not_run(Reason::NoServer);
    relay::note(state, id, &parcel.class.name, outcome);
    state.metrics.refusal(error.word());
    answer::error(id, outcome, &error, error.again())
}

/// Tells of a call that ran or may have, and isn't run now.
fn told(state: &State, id: ids::Request, job: &Job, error: Error) -> Answer {
    relay::note(state, id, &job.parcel.class.name, Outcome::Unknown);
    answer::error(id, Outcome::Unknown, &error, error.again())
}

/// Gives the answer of the first call once more.
fn again(state: &State, id: ids::Request, job: &Job, kept: &StoredAnswer) -> Answer {
    relay::note(state, id, &job.parcel.class.name, Outcome::Complete);
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    response.insert_header(("content-type", kept.media.clone()));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME, Outcome::Complete.as_str()));
    response.insert_header((REPLAYED, "true"));
    response.body(kept.body.clone()).map_into_boxed_body()
}

/// Sends a call to its home, once. This adds no run: the home lets it through at most once. And it
/// adds no false "not run": that is told only if no connection was made, or the home said so.
async fn there(state: Rc<State>, job: Job, key: ids::Request, owner: Member, held: Held) -> Answer {
    let Job { life, parcel } = job;
    let id = life.id();
    let left = parcel.request.deadline.saturating_duration_since(state.clock.now());
    let call = call(&state, &parcel, id, key, &owner, left);
    let Some(settings) = state.settings() else {
        return refused(&state, &parcel, life, Error::NoSettings);
    };
    let limits = &settings.limits;
    let client = Client::new(limits.connect, left + limits.idle_stream + BEYOND);
    let sending = Waiting::Queued(life.queue()).send();
    let failure = match client.call(&call).await {
        Ok(Reply::Whole(whole)) => return whole_answer(&state, &parcel, sending, whole),
        Ok(Reply::Stream(source)) => return streamed(&state, &parcel, sending, source, held),
        Err(failure) => failure,
    };
    log::warn!(request:% = id, home = owner.name.as_str(), cause:% = failure; "home gave no answer");
    let unsent = failure.unsent().then(Unsent::vouch);
    let outcome = match sending.fail(unsent, None) {
        Ok(waiting) => waiting.refuse(Reason::NoServer),
        Err(outcome) => outcome,
    };
    relay::note(&state, id, &parcel.class.name, outcome);
    let error = if outcome == Outcome::Unknown { Error::Unknown } else { Error::NoHome };
    answer::error(id, outcome, &error, error.again())
}

fn call(
    state: &State,
    parcel: &Parcel,
    id: ids::Request,
    key: ids::Request,
    owner: &Member,
    left: Duration,
) -> Call {
    let keyed = KeyedCall {
        id: id.to_string(),
        key: key.to_string(),
        workspace: parcel.workspace.clone(),
        class: parcel.class.name.clone(),
        model: parcel.model.clone(),
        path: parcel.path.clone(),
        media: parcel.media.clone(),
        deadline_ms: left.as_millis() as u64,
        max_tokens: parcel.request.max_tokens,
        body: parcel.body.to_vec(),
    };
    Call {
        id,
        attempt: 1,
        // The home has checked the answer; here its frame on the wire is.
        kind: Kind::Plain,
        address: owner.address.clone(),
        path: CALL.to_string(),
        media: "application/msgpack".to_string(),
        body: keyed.encode().into(),
        priority: parcel.class.rank,
        fresh: true,
        key: Some(key),
        headers: vec![(peers::SECRET, state.node.secret.clone())],
    }
}

fn whole_answer(state: &State, parcel: &Parcel, sending: Sending, whole: Whole) -> Answer {
    let id = sending.id();
    let outcome = match whole.outcome.as_str() {
        "complete" => sending.complete(),
        _ => Outcome::Unknown,
    };
    relay::note(state, id, &parcel.class.name, outcome);
    let status = StatusCode::from_u16(whole.status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    response.insert_header(("content-type", whole.media));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME, outcome.as_str()));
    if whole.replayed {
        response.insert_header((REPLAYED, "true"));
    }
    response.body(whole.body).map_into_boxed_body()
}

/// Passes a stream on that the home passes on.
fn streamed(
    state: &Rc<State>,
    parcel: &Parcel,
    sending: Sending,
    source: Box<engine::Stream>,
    held: Held,
) -> Answer {
    let id = sending.id();
    let (state, class) = (state.clone(), parcel.class.name.clone());
    let life = Some(sending.stream());
    let carried = Carried { state, class, source, life, told: false, cut: false, held };
    let mut response = Response::build(StatusCode::OK);
    response.insert_header(("content-type", "text/event-stream"));
    response.insert_header(("cache-control", "no-cache"));
    response.insert_header((REQUEST_ID, id.to_string()));
    response.insert_header((OUTCOME, STREAMING));
    let events = stream::unfold(carried, |mut carried| async move {
        let bytes = carried.next().await?;
        Some((bytes, carried))
    });
    response.body(BodyStream::new(Box::pin(events))).map_into_boxed_body()
}

/// A stream on its way from the home to the caller.
struct Carried {
    state: Rc<State>,
    class: String,
    source: Box<engine::Stream>,
    life: Option<lifecycle::Request<lifecycle::Streaming>>,
    /// The home has told the caller that the stream broke off.
    told: bool,
    /// The connection to the caller is cut next.
    cut: bool,
    #[allow(dead_code, reason = "counts the request until the stream ends")]
    held: Held,
}

impl Carried {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.cut {
            self.cut = false;
            tokio::time::sleep(passing::FLUSH).await;
            return Some(Err(io::Error::other("the answer broke off")));
        }
        let life = self.life.take()?;
        let id = life.id();
        match self.source.next().await {
            Ok(Some(Piece { bytes, .. })) => {
                self.told = bytes.starts_with(passing::BROKEN.as_bytes());
                self.life = Some(life);
                Some(Ok(bytes))
            }
            Ok(None) => {
                relay::note(&self.state, id, &self.class, life.complete());
                None
            }
            Err(cause) => {
                log::warn!(request:% = id, cause:% = cause; "stream from the home broke off");
                relay::note(&self.state, id, &self.class, life.truncated());
                self.cut = true;
                let event = if self.told { Bytes::new() } else { passing::broken(id) };
                Some(Ok(event))
            }
        }
    }
}

/// Answers a call that another node sends to this one as its key's home. What didn't run carries
/// the mark by which the other node knows.
pub(crate) async fn handle(state: Rc<State>, request: Request) -> Answer {
    let mut answer = match read(&state, request).await {
        Some((job, key)) => {
            let held = state.hold(job.life.id());
            here(state, job, key, held).await
        }
        None => Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body(),
    };
    let outcome = answer.headers().get(OUTCOME).and_then(|value| value.to_str().ok());
    if outcome.is_none_or(|outcome| outcome == "not-run") {
        let mark = actix_http::header::HeaderValue::from_static("true");
        let name = actix_http::header::HeaderName::from_static(NOT_RUN);
        answer.headers_mut().insert(name, mark);
    }
    answer
}

async fn read(state: &State, mut request: Request) -> Option<(Job, ids::Request)> {
    let settings = state.settings()?;
    let all = listen::read_body(&mut request, settings.limits.max_body + ROOM);
    let body = tokio::time::timeout(settings.limits.body_time, all).await.ok()?.ok()?;
    let keyed = KeyedCall::decode(&body).ok()?;
    let key = ids::Request::parse(&keyed.key).ok()?;
    Some((job(state, &settings, keyed, key)?, key))
}

/// The call by this node's settings; none if they don't know of its class, workspace or model, or
/// hold it idempotent.
fn job(state: &State, settings: &Effective, keyed: KeyedCall, key: ids::Request) -> Option<Job> {
    let class_key = settings.class_names.key(&keyed.class)?;
    let class = settings.classes.get(class_key).filter(|class| !class.idempotent)?.clone();
    let workspace = settings.workspace_names.key(&keyed.workspace)?;
    let model = settings.model_names.key(&keyed.model)?;
    let id = ids::Request::parse(&keyed.id).ok()?;
    let arrived = state.clock.now();
    let useful = Duration::from_millis(keyed.deadline_ms).min(class.deadline);
    let request = policy::Request {
        class: class_key,
        workspace,
        model,
        prefix: relay::prefix(&keyed.body),
        prompt_tokens: relay::tokens(&keyed.body),
        shared: vec![],
        max_tokens: keyed.max_tokens,
        arrived,
        deadline: arrived + useful,
        idempotent: false,
        region: settings.region_names.key(&state.node.region).unwrap_or_default(),
    };
    Some(Job {
        life: lifecycle::Request::new(id).admit(),
        parcel: Parcel {
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
