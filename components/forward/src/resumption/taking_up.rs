//! Finds out which version began the stream that a caller takes up.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::stream::FuturesUnordered;
use origins::{Evidence, Origin, Seen, Span, Stream, Version};
use wire::origins::{Answer as Reply, Asked, Message};

use crate::adapter::Adapter;
use crate::answer::Error;
use crate::intake::Received;
use crate::state::State;

use super::confirming::confirm;
use super::telling::post;
use super::{millis, origin_of, proof_age};

/// Time after a node's start in which it may not have the list of nodes yet, so that it asks again.
const SETTLING: Duration = Duration::from_secs(1);
/// Pause before it asks again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Time after which this node reads the store itself if the node that it asks to do so hasn't answered.
const CONFIRM_PAUSE: Duration = Duration::from_millis(150);
/// When a caller may come again whose stream no node knows.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Who knows which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Finding {
    /// This node.
    Own(Origin),
    /// A peer.
    Peer(SocketAddr, Origin),
    /// Nobody, but no other version can have begun it.
    OnlyVersion(Version),
    /// Nobody.
    Unknown,
}

impl Finding {
    fn as_str(self) -> &'static str {
        match self {
            Finding::Own(Origin::Version(_)) => "own",
            Finding::Peer(_, Origin::Version(_)) => "told",
            Finding::Own(Origin::Uncertain) | Finding::Peer(_, Origin::Uncertain) => "uncertain",
            Finding::OnlyVersion(_) => "only-version",
            Finding::Unknown => "unknown",
        }
    }

    fn version(self) -> Option<Version> {
        match self {
            Finding::Own(Origin::Version(version))
            | Finding::Peer(_, Origin::Version(version))
            | Finding::OnlyVersion(version) => Some(version),
            _ => None,
        }
    }
}

/// How many peers answered a question, and how many didn't.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    received: usize,
    missing: usize,
}

/// Restricts a request that takes a stream up to the version that began it.
///
/// # Errors
/// When that version can't be found out.
pub(crate) async fn restrict<A: Adapter>(
    state: &Rc<State<A>>,
    received: &mut Received,
) -> Result<(), Error> {
    let call = &received.call;
    let takes_up = call.resumes.is_some() || call.last_event_id.is_some();
    if !takes_up || !received.is_resumable() {
        return Ok(());
    }
    let (mut finding, mut answers) = find(state, received).await;
    while finding == Finding::Unknown && is_settling(state) {
        tokio::time::sleep(ASK_PAUSE).await;
        (finding, answers) = find(state, received).await;
    }
    state.metrics.count_taken_up(finding.as_str());
    let peer = if let Finding::Peer(peer, _) = finding { Some(peer.to_string()) } else { None };
    log::info!(
        request = received.call.id.as_str(), resumes = received.call.resumes.as_deref(),
        after_event = received.call.last_event_id, origin = finding.as_str(), peer = peer,
        list_age_ms = state.proof_age_ms(), answered = answers.received, silent = answers.missing,
        took_ms = state.elapsed_since(received.arrived).as_millis() as u64;
        "a caller takes a stream up"
    );
    let Some(version) = finding.version() else {
        let reason = "the version that began its stream isn't known";
        return Err(Error::Refused { reason, retry_after: RETRY_AFTER });
    };
    received.request.version = Some(state.registry.borrow_mut().version(version));
    Ok(())
}

/// Whether this node has just started, so that it may not know all nodes.
fn is_settling<A: Adapter>(state: &State<A>) -> bool {
    !is_alone(state) && state.clock.now() < state.resumption.started + SETTLING
}

/// Whether no other node is expected.
fn is_alone<A: Adapter>(state: &State<A>) -> bool {
    let node = state.node();
    node.seeds.iter().all(|seed| *seed == node.peers)
        && state.resumption.members.borrow().others(node.peers) == 0
}

/// Finds out which version began the stream that a request takes up.
async fn find<A: Adapter>(state: &Rc<State<A>>, received: &Received) -> (Finding, Answers) {
    let (resumption, now) = (&state.resumption, state.clock.now());
    let mut answers = Answers::default();
    let Some(name) = state.registry.borrow().service_name(received.service) else {
        return (Finding::Unknown, answers);
    };
    // Of a caller that names no try, peers can only tell which versions they have seen.
    let stream = received.call.resumes.as_deref().map_or(Stream(0), Stream::begun_by);
    if let Some(origin) = resumption.table.borrow().origin(stream, now) {
        return (Finding::Own(origin), answers);
    }
    let life = life(state, received);
    let lifetime_ms = millis(life.until.saturating_sub(life.since));
    let asked = Asked { stream: stream.0, service: wire::key(&name), lifetime_ms };
    let mut evidence = match ask(state, asked, &mut answers).await {
        Ok((peer, origin)) => {
            let expires = now + received.time_left(state);
            resumption.table.borrow_mut().insert(stream, origin, expires, now);
            return (Finding::Peer(peer, origin), answers);
        }
        Err(evidence) => evidence,
    };
    evidence.push(own_evidence(state, asked, proof_age(state)));
    if Evidence::only_version(&evidence).is_none() {
        return (Finding::Unknown, answers);
    }
    if Evidence::conclude(&evidence, life).is_none() {
        evidence.extend(ask_to_confirm(state, asked, life.until).await);
    }
    let only = Evidence::conclude(&evidence, life);
    (only.map_or(Finding::Unknown, Finding::OnlyVersion), answers)
}

/// The time in which a server that began the stream was listed: the stream is no older than the longest life of one when its
/// caller takes it up, and the list of the node that began it no older than nodes accept keys by.
fn life<A: Adapter>(state: &State<A>, received: &Received) -> Span {
    let until = received.arrived.boot_time;
    let longest = state.resumption.lifetime.get() + state.node().max_proof_age();
    Span { since: until.saturating_sub(longest), until }
}

/// What this node has seen, with a proof of this age.
fn own_evidence<A: Adapter>(
    state: &State<A>,
    asked: Asked,
    proof_age: Option<Duration>,
) -> Evidence {
    let within = Duration::from_millis(asked.lifetime_ms.into());
    let census = state.resumption.census.borrow();
    let Seen { covered, versions } = census.seen(asked.service, within, state.clock.now());
    let now = state.clock.boot_time();
    Evidence { span: Span::stated(now, now, covered, proof_age), versions }
}

/// What a peer states in an answer that has just arrived to a question that was asked at `asked`.
fn peer_evidence<A: Adapter>(state: &State<A>, reply: Reply, asked: Duration) -> Evidence {
    let age = reply.proof_age_ms.map(|age| Duration::from_millis(age.into()));
    let followed = Duration::from_millis(reply.followed_ms.into());
    Evidence {
        span: Span::stated(asked, state.clock.boot_time(), followed, age),
        versions: reply.seen.into_iter().map(Version).collect(),
    }
}

/// Asks the keepers of a stream which version began it; returns the first that knows.
///
/// # Errors
/// When none does: the versions of the service that those who answered have seen.
async fn ask<A: Adapter>(
    state: &State<A>,
    asked: Asked,
    answers: &mut Answers,
) -> Result<(SocketAddr, Origin), Vec<Evidence>> {
    let (resumption, own) = (&state.resumption, state.node().peers);
    let began = state.clock.boot_time();
    let peers = resumption.members.borrow().asked(Stream(asked.stream));
    let message = Message { asked: Some(asked), ..Message::default() };
    let post = async |peer| (peer, post(state, peer, &message).await);
    let mut replies: FuturesUnordered<_> =
        peers.into_iter().filter(|peer| *peer != own).map(post).collect();
    let mut evidence = vec![];
    while let Some((peer, reply)) = replies.next().await {
        *if reply.is_ok() { &mut answers.received } else { &mut answers.missing } += 1;
        match reply {
            Ok(reply) if reply.known => return Ok((peer, origin_of(reply.version))),
            Ok(reply) => evidence.push(peer_evidence(state, reply, began)),
            Err(cause) => {
                log::debug!(peer:% = peer, cause = cause.as_str(); "a peer didn't say who began a stream");
            }
        }
    }
    Err(evidence)
}

/// Evidence of a list that is proved to have been complete at `since` or later: of the node that reads the store for this one,
/// so that many nodes share its reads, else of this node.
async fn ask_to_confirm<A: Adapter>(
    state: &Rc<State<A>>,
    asked: Asked,
    since: Duration,
) -> Option<Evidence> {
    let own = async {
        let is_confirmed = confirm(state, since).await;
        let age = state.clock.boot_time().saturating_sub(since);
        is_confirmed.then(|| own_evidence(state, asked, Some(age)))
    };
    let reader = state.contact.path.borrow().reader();
    let Some(reader) = reader.filter(|reader| *reader != state.node().peers) else {
        return own.await;
    };
    let began = state.clock.boot_time();
    let message = Message { asked: Some(asked), confirm: true, ..Message::default() };
    let other = async {
        let reply = post(state, reader, &message).await.ok()?;
        let is_confirmed = reply.proof_age_ms == Some(0);
        is_confirmed.then(|| peer_evidence(state, reply, began))
    };
    first_of(other, own).await
}

/// What `first` yields, or else `second`, which begins once `first` has failed or has taken too long.
async fn first_of<T>(
    first: impl Future<Output = Option<T>>,
    second: impl Future<Output = Option<T>>,
) -> Option<T> {
    let (mut first, second) = (pin!(first), pin!(second));
    match tokio::time::timeout(CONFIRM_PAUSE, &mut first).await {
        Ok(Some(found)) => return Some(found),
        Ok(None) => return second.await,
        Err(_) => {}
    }
    match select(first, second).await {
        Either::Left((Some(found), _)) | Either::Right((Some(found), _)) => Some(found),
        Either::Left((None, second)) => second.await,
        Either::Right((None, first)) => first.await,
    }
}
