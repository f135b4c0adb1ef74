//! Finds out which version began the stream that a caller takes up.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Clock;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use origins::{Evidence, Origin, Stream, Version};
use wire::origins::{Asked, Message};

use crate::adapter::Adapter;
use crate::answer::Error;
use crate::intake::Received;
use crate::state::State;

use super::telling::post;
use super::{has_current_list, millis, origin_of};

/// Time after a node's start in which it may not have the list of nodes yet, so that it asks again.
const SETTLING: Duration = Duration::from_secs(1);
/// Pause before it asks again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// When a caller may come again whose stream no node knows.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Who knows which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Finding {
    /// This node.
    Own(Origin),
    /// A peer.
    Peer(SocketAddr, Origin),
    /// Nobody, but one version has served.
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
    state: &State<A>,
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
async fn find<A: Adapter>(state: &State<A>, received: &Received) -> (Finding, Answers) {
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
    let (service, lifetime) = (wire::key(&name), resumption.lifetime.get());
    let others = match ask(state, stream, service, &mut answers).await {
        Ok((peer, origin)) => {
            let expires = now + received.time_left(state);
            resumption.table.borrow_mut().insert(stream, origin, expires, now);
            return (Finding::Peer(peer, origin), answers);
        }
        Err(others) => others,
    };
    let mut seen = resumption.census.borrow().evidence(service, lifetime, now);
    if !has_current_list(state) {
        seen.covered = Duration::ZERO;
    }
    let only = seen.conclude(&others, lifetime);
    (only.map_or(Finding::Unknown, Finding::OnlyVersion), answers)
}

/// Asks the keepers of a stream which version began it; returns the first that knows.
///
/// # Errors
/// When none does: the versions of the service that those who answered have seen.
async fn ask<A: Adapter>(
    state: &State<A>,
    stream: Stream,
    service: u32,
    answers: &mut Answers,
) -> Result<(SocketAddr, Origin), Vec<Evidence>> {
    let (resumption, own) = (&state.resumption, state.node().peers);
    let lifetime_ms = millis(resumption.lifetime.get());
    let asked = Asked { stream: stream.0, service, lifetime_ms };
    let message = Message { told: vec![], asked: Some(asked) };
    let peers = resumption.members.borrow().asked(stream);
    let post = async |peer| (peer, post(state, peer, &message).await);
    let mut replies: FuturesUnordered<_> =
        peers.into_iter().filter(|peer| *peer != own).map(post).collect();
    let mut others = vec![];
    while let Some((peer, reply)) = replies.next().await {
        *if reply.is_ok() { &mut answers.received } else { &mut answers.missing } += 1;
        match reply {
            Ok(reply) if reply.known => return Ok((peer, origin_of(reply.version))),
            Ok(reply) => others.push(Evidence {
                covered: Duration::from_millis(reply.covered_ms.into()),
                versions: reply.seen.into_iter().map(Version).collect(),
            }),
            Err(cause) => {
                log::debug!(peer:% = peer, cause = cause.as_str(); "a peer didn't say who began a stream");
            }
        }
    }
    Err(others)
}
