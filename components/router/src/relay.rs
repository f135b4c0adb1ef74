//! Carries a request from admission to its end: waits for a place, sends, passes the answer on.

use std::rc::Rc;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use clock::Clock;
use engine::wire::REQUEST_ID;
use engine::{Call, Failure, Kind, Piece, Reply, Whole};
use idempotency::StoredAnswer;
use lifecycle::{Outcome, Reason, Repeatable, Sending, Unsent, Waiting};
use policy::{Ending, Refusal};
use settings::{Server, ServerKind};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{self, Answer, Error, OUTCOME};
use crate::claim::Claim;
use crate::place::{Place, Refused};
use crate::state::{Held, State};
use crate::stream::{self, Passing};

/// Bytes of a prompt's head that tell whether two prompts share a cached prefix.
const HEAD: usize = 1024;
/// Bytes of text a token stands for, on average; corrected as answers are counted.
const BYTES_A_TOKEN: usize = 4;

/// A request that was admitted.
pub(crate) struct Job {
    pub(crate) life: lifecycle::Request<lifecycle::Admitted>,
    pub(crate) parcel: Parcel,
}

/// What every attempt of a request sends.
pub(crate) struct Parcel {
    pub(crate) class: Rc<settings::Class>,
    /// Name of the workspace.
    pub(crate) workspace: String,
    /// Name of the model, or path prefix of the plain service.
    pub(crate) model: String,
    pub(crate) path: String,
    pub(crate) media: String,
    pub(crate) body: Bytes,
    pub(crate) key: Option<ids::Request>,
    /// What lets it through, where it has a key and may not be repeated.
    pub(crate) claim: Option<Claim>,
    pub(crate) request: policy::Request,
}

impl Parcel {
    pub(crate) fn call(&self, id: ids::Request, attempt: u32, server: &Server) -> Call {
        Call {
            id,
            attempt,
            kind: match server.kind {
                ServerKind::Engine => Kind::Completion,
                ServerKind::Plain => Kind::Plain,
            },
            address: server.address.clone(),
            path: self.path.clone(),
            media: self.media.clone(),
            body: self.body.clone(),
            priority: self.class.rank,
            fresh: !self.class.idempotent,
            key: self.key,
            headers: vec![],
        }
    }

    /// Hash of what it asks, the same for each try of it.
    pub(crate) fn content(&self) -> u64 {
        let texts = [&self.workspace, &self.class.name, &self.path].map(|text| text.as_bytes());
        let [workspace, class, path] = texts;
        driver::fingerprint(&[workspace, class, path, &self.body])
    }

    /// Proof that it may run more than once, if it may.
    pub(crate) fn repeatable(&self) -> Option<Repeatable> {
        Repeatable::if_idempotent(self.class.idempotent)
    }
}

/// Hash of a prompt's head, by which two prompts that share a cached prefix are known.
pub(crate) fn prefix(body: &[u8]) -> u64 {
    xxh3_64(&body[..body.len().min(HEAD)])
}

/// Length of a prompt in tokens, estimated.
pub(crate) fn tokens(body: &[u8]) -> u32 {
    (body.len() / BYTES_A_TOKEN) as u32
}

/// Why an attempt brought no answer.
pub(crate) enum Trouble {
    /// The backend server.
    Failure(Failure),
    /// The decisions stopped it.
    Stopped,
    /// The answer is of no use any more.
    Late,
}

impl Trouble {
    /// Logs why an attempt brought no answer, and finds out whether the server crashed under it.
    pub(crate) fn note(&self, place: &Place, id: ids::Request, attempt: u32) {
        let cause = match self {
            Trouble::Failure(failure) => failure.to_string(),
            Trouble::Stopped => "stopped for a higher tier".to_string(),
            Trouble::Late => "its deadline passed".to_string(),
        };
        if let Trouble::Failure(Failure::Crossed { .. }) = self {
            place.state.metrics.count_mismatched_answer();
        }
        if let Trouble::Failure(Failure::Lost { address, .. }) = self {
            place.lost(address);
        }
        log::warn!(request:% = id, attempt = attempt, cause = cause.as_str(); "attempt failed");
    }

    pub(crate) fn unsent(&self) -> Option<Unsent> {
        match self {
            Trouble::Failure(failure) if failure.unsent() => Some(Unsent::vouch()),
            _ => None,
        }
    }

    pub(crate) fn ending(&self) -> Ending {
        match self {
            Trouble::Failure(failure) if failure.unsent() => Ending::NotRun,
            Trouble::Failure(_) => Ending::Failed,
            Trouble::Stopped => Ending::Stopped,
            Trouble::Late => Ending::Cancelled,
        }
    }

    /// How the attempt ended where no other can follow.
    pub(crate) fn last(&self) -> Ending {
        match self {
            Trouble::Failure(_) => Ending::Failed,
            Trouble::Stopped | Trouble::Late => Ending::Cancelled,
        }
    }
}

/// A parcel of which nothing was sent. Dropped as such, its caller went away while it waited, and
/// its key may be used again.
struct Queued(Option<Parcel>);

impl Drop for Queued {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take().and_then(|parcel| parcel.claim) {
            claim.not_run();
        }
    }
}

/// Serves an admitted request. Once it may have been sent, one that may not be repeated goes on
/// when its caller goes away; before that, it would run for nobody.
pub(crate) async fn serve(state: Rc<State>, job: Job, held: Held) -> Answer {
    let Job { life, parcel } = job;
    let id = life.id();
    let waiting = Waiting::Queued(life.queue());
    let mut place = Place::new(&state, &parcel);
    let mut queued = Queued(Some(parcel));
    let turn = place.turn().await;
    let Some(parcel) = queued.0.take() else {
        return answer::error(id, Outcome::Unknown, &Error::Unknown, None);
    };
    let server = match turn {
        Ok(server) => server,
        Err(refused) => return refuse(&state, &parcel, waiting, refused),
    };
    let idempotent = parcel.class.idempotent;
    let running = run(state, parcel, waiting, place, server, held);
    if idempotent {
        return running.await;
    }
    let task = actix_rt::spawn(running);
    task.await.unwrap_or_else(|_| answer::error(id, Outcome::Unknown, &Error::Unknown, None))
}

async fn run(
    state: Rc<State>,
    parcel: Parcel,
    mut waiting: Waiting,
    mut place: Place,
    mut server: Rc<Server>,
    held: Held,
) -> Answer {
    loop {
        if let Some(refused) = overtaken(&state, &parcel) {
            place.end(Ending::NotRun);
            return refuse(&state, &parcel, waiting, refused);
        }
        let sending = waiting.send();
        let id = sending.id();
        let (sending, ended) = tries(&mut place, &parcel, sending, &server).await;
        let trouble = match ended {
            Ok(start) => return pass(place, sending, start, parcel, held),
            Err(trouble) => trouble,
        };
        state.metrics.count_failed_attempt(&parcel.class.name);
        let again = place.end(trouble.ending());
        waiting = match sending.fail(trouble.unsent(), parcel.repeatable()) {
            Ok(waiting) => waiting,
            Err(outcome) => return unknown(&state, &parcel, id, outcome),
        };
        if !again {
            return refuse(&state, &parcel, waiting, Refused::NO_SERVER);
        }
        server = match place.turn().await {
            Ok(server) => server,
            Err(refused) => return refuse(&state, &parcel, waiting, refused),
        };
    }
}

/// An attempt, and a second one at the same server if that runs a key at most once by itself.
async fn tries(
    place: &mut Place,
    parcel: &Parcel,
    sending: Sending,
    server: &Server,
) -> (Sending, Result<Start, Trouble>) {
    let call = parcel.call(sending.id(), sending.attempt(), server);
    let trouble = match attempt(place, parcel, &call).await {
        Ok(start) => return (sending, Ok(start)),
        Err(trouble) => trouble,
    };
    trouble.note(place, call.id, call.attempt);
    let proof = Repeatable::if_idempotent(server.keyed && call.key.is_some());
    if parcel.class.idempotent || proof.is_none() || trouble.unsent().is_some() {
        return (sending, Err(trouble));
    }
    let sending = match sending.fail(None, proof) {
        Ok(waiting) => waiting.send(),
        Err(_) => unreachable!("a proof was given"),
    };
    let call = parcel.call(sending.id(), sending.attempt(), server);
    let ended = attempt(place, parcel, &call).await;
    if let Err(trouble) = &ended {
        trouble.note(place, call.id, call.attempt);
    }
    (sending, ended)
}

/// Why a request may not be sent though its turn has come: the process may have been paused since
/// the turn was given, and its answer be of no use any more.
fn overtaken(state: &State, parcel: &Parcel) -> Option<Refused> {
    let late = state.clock.now() >= parcel.request.deadline;
    late.then_some(Refused { refusal: Refusal::Late, ..Refused::NO_SERVER })
}

/// The start of an answer that may be passed on.
enum Start {
    Whole(Whole),
    /// A stream and its first events.
    Stream(Box<engine::Stream>, Option<Piece>),
}

/// Sends a call and waits for the first of its answer that a caller can be given. Until then
/// nothing is promised to the caller, and another attempt may follow.
async fn ask(engines: &engine::Client, call: &Call) -> Result<Start, Trouble> {
    match engines.call(call).await.map_err(Trouble::Failure)? {
        Reply::Whole(whole) => Ok(Start::Whole(whole)),
        Reply::Stream(mut stream) => {
            let first = stream.next().await.map_err(Trouble::Failure)?;
            Ok(Start::Stream(stream, first))
        }
    }
}

/// One attempt. One that may not be repeated is never broken off from here.
async fn attempt(place: &mut Place, parcel: &Parcel, call: &Call) -> Result<Start, Trouble> {
    let engines = place.state.engines.borrow().clone();
    let asking = ask(&engines, call);
    if !parcel.class.idempotent {
        return asking.await;
    }
    tokio::select! {
        start = asking => start,
        _ = place.stopped() => Err(Trouble::Stopped),
        _ = tokio::time::sleep_until(parcel.request.deadline.into()) => Err(Trouble::Late),
    }
}

pub(crate) fn note(state: &State, id: ids::Request, class: &str, outcome: Outcome) {
    state.metrics.count_outcome(class, outcome.as_str());
    log::info!(request:% = id, class = class, outcome = outcome.as_str(); "ended");
}

/// Notes how long a whole answer took.
pub(crate) fn answered(state: &State, parcel: &Parcel) {
    let settings = state.settings();
    let workspace = settings.as_ref().and_then(|s| s.workspaces.get(parcel.request.workspace));
    let workspace = workspace.map_or("", |workspace| &workspace.name);
    let time = state.clock.now() - parcel.request.arrived;
    state.metrics.observe_answer(&parcel.class.name, workspace, time);
}

fn refuse(state: &State, parcel: &Parcel, waiting: Waiting, refused: Refused) -> Answer {
    let id = waiting.id();
    let outcome = waiting.refuse(match refused.refusal {
        Refusal::Full | Refusal::Displaced => Reason::Full,
        Refusal::Late => Reason::Late,
        Refusal::NoServer => Reason::NoServer,
        Refusal::Quarantined => Reason::Quarantined,
    });
    if outcome == Outcome::Unknown {
        return unknown(state, parcel, id, outcome);
    }
    if let Some(claim) = &parcel.claim {
        claim.not_run();
    }
    note(state, id, &parcel.class.name, outcome);
    state.metrics.count_refusal(answer::refusal(refused.refusal));
    let again = refused.retry_after;
    let error = Error::Refused(answer::refusal(refused.refusal), again.as_millis());
    answer::error(id, outcome, &error, Some(again))
}

fn unknown(state: &State, parcel: &Parcel, id: ids::Request, outcome: Outcome) -> Answer {
    note(state, id, &parcel.class.name, outcome);
    answer::error(id, outcome, &Error::Unknown, None)
}

fn pass(mut place: Place, sending: Sending, start: Start, parcel: Parcel, held: Held) -> Answer {
    let id = sending.id();
    let status = match &start {
        Start::Stream(..) => StatusCode::OK,
        Start::Whole(whole) => StatusCode::from_u16(whole.status).unwrap_or(StatusCode::OK),
    };
    let mut response = Response::build(status);
    response.insert_header((REQUEST_ID, id.to_string()));
    match start {
        Start::Whole(whole) => {
            place.end(Ending::Completed);
            let outcome = sending.complete();
            if let Some(claim) = &parcel.claim {
                let (media, body) = (whole.media.clone(), whole.body.to_vec());
                claim.complete(Some(StoredAnswer { status: whole.status, media, body }));
            }
            note(&place.state, id, &parcel.class.name, outcome);
            answered(&place.state, &parcel);
            response.insert_header(("content-type", whole.media));
            response.insert_header((OUTCOME, outcome.as_str()));
            response.body(whole.body).map_into_boxed_body()
        }
        Start::Stream(source, first) => {
            response.insert_header(("content-type", "text/event-stream"));
            response.insert_header(("cache-control", "no-cache"));
            response.insert_header((OUTCOME, answer::STREAMING));
            let passing = Passing::new(place, sending.stream(), source, first, parcel, held);
            response.body(stream::body(passing)).map_into_boxed_body()
        }
    }
}
