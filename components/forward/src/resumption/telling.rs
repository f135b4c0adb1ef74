//! Tells keepers which version began a stream, and answers the messages of others.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use catalog::Entry;
use clock::Clock;
use origins::{Identity, Origin, Record, Stream};
use wire::origins::{Answer as Reply, Message, Row};

use crate::adapter::Adapter;
use crate::answer::Answer;
use crate::intake::Received;
use crate::state::State;

use super::confirming::confirm;
use super::{EXPIRY_MARGIN, PATH, has_current_list, millis, proof_age, stream_of, version_of};

/// Time within which a peer must answer: several round trips between two regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The same for a peer that is to read the store first.
pub(super) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// Starts the task that tells keepers of streams. It ends with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    let Some(mut to_begin) = state.resumption.to_begin.take() else { return };
    let weak = Rc::downgrade(state);
    actix_rt::spawn(async move {
        while let Some(keeper) = to_begin.recv().await {
            actix_rt::spawn(send_all(weak.clone(), keeper));
        }
    });
}

/// Sends messages to a keeper until nothing is left to tell it.
async fn send_all<A: Adapter>(weak: Weak<State<A>>, keeper: SocketAddr) {
    while let Some(state) = weak.upgrade() {
        let resumption = &state.resumption;
        let batch = resumption.outbox.borrow_mut().next_batch(keeper);
        if batch.is_empty() {
            return;
        }
        if keeper == state.node().peers {
            continue;
        }
        let message = resumption.message(batch, state.clock.now());
        let reply = post(&state, keeper, &message).await;
        let boot = reply.as_ref().ok().map(|reply| reply.boot);
        if let Err(cause) = &reply {
            log::debug!(keeper:% = keeper, cause = cause.as_str(); "a keeper of streams gave no answer");
        }
        if resumption.outbox.borrow_mut().record_answer(keeper, boot) {
            let own = resumption.table.borrow().own_streams(None);
            let members = resumption.members.borrow();
            let kept = own.into_iter().filter(|stream| members.keepers(*stream).contains(&keeper));
            kept.for_each(|stream| resumption.push(keeper, stream));
        }
    }
}

/// Sends a message to a peer; returns its answer, or the cause of the failure as a text.
pub(super) async fn post<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    message: &Message,
) -> Result<Reply, String> {
    let timeout = if message.confirm { CONFIRM_TIMEOUT } else { ANSWER_TIMEOUT };
    let request = state.peer_client.post(format!("http://{peer}{PATH}")).timeout(timeout);
    let sent = request.send_body(message.encode()).await;
    let mut response = sent.map_err(|cause| cause.to_string())?;
    let body = response.body().limit(MAX_MESSAGE_BYTES).await.map_err(|cause| cause.to_string())?;
    match response.status() {
        StatusCode::OK => {
            let reply = Reply::decode(&body).map_err(|cause| cause.to_string())?;
            state.resumption.learn_life(&reply, state.clock.now());
            Ok(reply)
        }
        status => Err(format!("status {status}")),
    }
}

/// Answers a peer's message.
pub(crate) async fn answer<A: Adapter>(state: Rc<State<A>>, mut request: Request) -> Answer {
    let body = match listen::read_body(&mut request, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(unread) => return unread.response(),
    };
    listen::mark_body_received(&request);
    let Ok(message) = Message::decode(&body) else {
        return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
    };
    let asked = state.clock.boot_time();
    let is_confirmed = message.confirm && confirm(&state, asked).await;
    let proof_age = if is_confirmed { Some(Duration::ZERO) } else { proof_age(&state) };
    let reply = state.resumption.answer(message, proof_age, state.clock.now());
    Response::build(StatusCode::OK).body(reply.encode()).map_into_boxed_body()
}

/// Records that the first events of a request's answer have arrived from a server, if another one may continue it.
/// Returns once they may be passed on.
pub(crate) async fn begin<A: Adapter>(
    state: &State<A>,
    received: &Received,
    server: &Entry,
    identity: Identity,
) {
    if !received.is_resumable() {
        return;
    }
    let (resumption, now) = (&state.resumption, state.clock.now());
    let stream = stream_of(&received.call);
    let is_certain = state.registry.borrow().has_version_of(server);
    let origin = if is_certain { identity.origin(version_of(server)) } else { Origin::Uncertain };
    let expires = now + received.time_left(state) + EXPIRY_MARGIN;
    let (service, name) = (wire::key(&server.service), wire::key(&server.name));
    let record = Record { stream, origin, expires };
    resumption.table.borrow_mut().begin(record, service, name, now);
    let is_mixed = resumption.is_mixed(service, now);
    let is_uncertain = origin == Origin::Uncertain;
    if !is_mixed && !is_uncertain && has_current_list(state) {
        return;
    }
    let is_news = is_mixed && resumption.census.borrow().is_news(service, version_of(server), now);
    // Others would conclude that a version which they list began it.
    if is_uncertain || is_news {
        tell_at_once(state, stream).await;
    } else {
        resumption.tell(vec![stream]);
    }
}

/// Whether a request may begin a stream at this node. If its list is so old that servers on it may be long gone for others, these
/// may conclude that a version which they list began the stream. So keepers are told that nothing is known of its version, and
/// none may have a newer list: they must have lost the store too.
pub(super) async fn announce<A: Adapter>(state: &State<A>, received: &Received) -> bool {
    if state.is_fresh() || is_alone(state) {
        return true;
    }
    let (stream, own) = (stream_of(&received.call), state.node().peers);
    let lifetime_ms = millis(received.time_left(state) + EXPIRY_MARGIN);
    let row = Row { stream: stream.0, version: None, lifetime_ms };
    let message = Message { told: vec![row], ..Message::default() };
    let keepers = state.resumption.members.borrow().keepers(stream);
    let others = keepers.into_iter().filter(|keeper| *keeper != own);
    let tell = async |keeper| post(state, keeper, &message).await.ok();
    let replies = futures_util::future::join_all(others.map(tell)).await;
    let newest = millis(state.node().max_proof_age());
    let has_newer = |reply: &Reply| reply.proof_age_ms.is_some_and(|age| age < newest);
    let mut replies = replies.iter().flatten().peekable();
    replies.peek().is_some() && !replies.any(has_newer)
}

/// Whether no other node is expected. One that is silent, or no longer listed as no seed has a report of it, may still run.
pub(super) fn is_alone<A: Adapter>(state: &State<A>) -> bool {
    let node = state.node();
    node.seeds.iter().all(|seed| *seed == node.peers)
        && !state.resumption.members.borrow().has_met_other(node.peers)
}

/// Tells the keepers of a stream, and returns once each has answered or is silent.
async fn tell_at_once<A: Adapter>(state: &State<A>, stream: Stream) {
    let (resumption, own) = (&state.resumption, state.node().peers);
    let message = resumption.message(vec![stream], state.clock.now());
    let keepers = resumption.members.borrow().keepers(stream);
    let tell = async |keeper| (keeper, post(state, keeper, &message).await);
    let others = keepers.into_iter().filter(|keeper| *keeper != own);
    for (keeper, reply) in futures_util::future::join_all(others.map(tell)).await {
        if let Err(cause) = reply {
            log::debug!(keeper:% = keeper, cause = cause.as_str(); "a keeper of streams gave no answer");
        }
    }
}
