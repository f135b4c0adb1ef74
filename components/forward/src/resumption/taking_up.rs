//! Finds out which version began the stream that a caller takes up.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use origins::{Destination, Evidence, Origin, Seen, Span, Stream, Version};
use wire::origins::{Answer as Reply, Asked, Message};

use crate::adapter::Adapter;
use crate::answer::Error;
use crate::intake::Received;
use crate::proof;
use crate::state::State;

use super::confirming::{confirm, readers};
use super::telling::{CONFIRM_TIMEOUT, announce, is_alone, post};
use super::{
    EXPIRY_MARGIN, MAX_LIST_AGE, destination_of, has_current_list, millis, origin_of, proof_age,
};

/// Time after a node's start in which it may not have the list of nodes yet, so that it asks again.
const SETTLING: Duration = Duration::from_secs(1);
/// Pause before it asks again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Readers of the store that are asked beside the keepers, so that there is another if one doesn't answer.
const READERS_ASKED: usize = 2;
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

/// Which peers answered a question.
#[derive(Clone, Debug, Default)]
struct Answers {
    received: Vec<SocketAddr>,
    missing: usize,
    /// Those that answered and whose lists of servers are up to date.
    current: Vec<SocketAddr>,
}

/// Restricts a request that takes a stream up to the version that began it.
///
/// # Errors
/// When that version can't be found out, or when the request begins a stream at a node that is out of step with the others.
pub(crate) async fn restrict<A: Adapter>(
    state: &Rc<State<A>>,
    received: &mut Received,
) -> Result<(), Error> {
    let call = &received.call;
    let takes_up = call.resumes.is_some() || call.last_event_id.is_some();
    if !received.is_resumable() {
        return Ok(());
    }
    if !takes_up {
        let reason = "this node's list of servers is out of date";
        let may_begin = announce(state, received).await;
        return may_begin.then_some(()).ok_or(Error::Refused { reason, retry_after: RETRY_AFTER });
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
        list_age_ms = state.proof_age_ms(), answered = answers.received.len(), silent = answers.missing,
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

/// A question for a stream that a request takes up.
#[derive(Clone, Copy, Debug)]
struct Question {
    asked: Asked,
    /// The route of the request, and where it leads.
    destination: Destination,
    /// The time in which a server that began the stream was listed. A stream is no older than the longest life of one when its
    /// caller takes it up, and began before that. The list of the node that began it was no older than nodes accept keys by.
    life: Span,
    /// Longest life of a stream as this node knew it when it asked.
    longest: Duration,
}

impl Question {
    fn message(&self, confirm: bool) -> Message {
        let (asked, destination) = (Some(self.asked), self.destination.0);
        Message { asked, destination, confirm, ..Message::default() }
    }
}

/// The question for the stream that a request takes up; none if its service isn't known.
fn question<A: Adapter>(state: &State<A>, received: &Received) -> Option<Question> {
    let resumption = &state.resumption;
    let name = state.registry.borrow().service_name(received.service)?;
    let longest = resumption.lifetime.borrow().longest(state.clock.now());
    let until = received.arrived.boot_time;
    let since = until.saturating_sub(longest + state.node().max_proof_age());
    let ago = state.clock.boot_time().saturating_sub(since);
    // Of a caller that names no try, peers can only tell which versions they have seen.
    let stream = received.call.resumes.as_deref().map_or(Stream(0), Stream::begun_by);
    let lifetime_ms = millis(ago + EXPIRY_MARGIN);
    Some(Question {
        asked: Asked { stream: stream.0, service: wire::key(&name), lifetime_ms },
        destination: destination_of(received.route()),
        life: Span { since, until },
        longest,
    })
}

/// Finds out which version began the stream that a request takes up.
async fn find<A: Adapter>(state: &Rc<State<A>>, received: &Received) -> (Finding, Answers) {
    let (resumption, now) = (&state.resumption, state.clock.now());
    let mut answers = Answers::default();
    let Some(question) = question(state, received) else { return (Finding::Unknown, answers) };
    let stream = Stream(question.asked.stream);
    if let Some(origin) = resumption.table.borrow().origin(stream, now) {
        return (Finding::Own(origin), answers);
    }
    let told = |(peer, origin): (SocketAddr, Origin)| {
        let expires = now + received.time_left(state);
        resumption.table.borrow_mut().insert(stream, origin, expires, now);
        Finding::Peer(peer, origin)
    };
    let readers = preferred_readers(state);
    let mut evidence = match ask(state, question, &readers, &mut answers).await {
        Ok(known) => return (told(known), answers),
        Err(evidence) => evidence,
    };
    evidence.push(own_evidence(state, question, proof_age(state)));
    // The service is drawn by the id of the try that began the stream.
    let may_be_elsewhere = received.route().split.len() > 1 && received.call.resumes.is_none();
    if may_be_elsewhere || Evidence::only_version(&evidence).is_none() {
        return (Finding::Unknown, answers);
    }
    if Evidence::conclude(&evidence, question.life).is_none() {
        let reader = pick_reader(state, &readers, &answers);
        match confirm_evidence(state, question, reader).await {
            Some(Confirmed::Known(peer, origin)) => return (told((peer, origin)), answers),
            Some(Confirmed::Evidence(confirmed)) => evidence.push(confirmed),
            None => {}
        }
    }
    // A peer that knows a longer life has stated it by now.
    let longest = resumption.lifetime.borrow().longest(state.clock.now());
    let only = Evidence::conclude(&evidence, question.life).filter(|_| longest <= question.longest);
    (only.map_or(Finding::Unknown, Finding::OnlyVersion), answers)
}

/// What this node has seen, with a proof of this age.
fn own_evidence<A: Adapter>(
    state: &State<A>,
    question: Question,
    proof_age: Option<Duration>,
) -> Evidence {
    let (asked, destination) = (question.asked, Some(question.destination));
    let Seen { covered, versions } = state.resumption.seen(asked, destination, state.clock.now());
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

/// The nodes that read the store for take-ups, beginning with the one from which this node has its list of servers.
fn preferred_readers<A: Adapter>(state: &State<A>) -> Vec<SocketAddr> {
    let mut readers = readers(state);
    let path = state.contact.path.borrow();
    let reads_itself = state.is_seed() && path.is_direct();
    let usual = if reads_itself { Some(state.node().peers) } else { path.reader() };
    if let Some(place) = readers.iter().position(|reader| Some(*reader) == usual) {
        readers[..=place].rotate_right(1);
    }
    readers
}

/// The first of these readers whose list of servers is up to date, else the first that answers; it may be this node.
fn pick_reader<A: Adapter>(
    state: &State<A>,
    readers: &[SocketAddr],
    answers: &Answers,
) -> Option<SocketAddr> {
    let (own, is_own_current) = (state.node().peers, has_current_list(state));
    let answered = |reader: &&SocketAddr| **reader == own || answers.received.contains(reader);
    let mut candidates = readers.iter().filter(answered).copied();
    let is_current = |reader: &SocketAddr| {
        if *reader == own { is_own_current } else { answers.current.contains(reader) }
    };
    candidates.clone().find(is_current).or_else(|| candidates.next())
}

/// Asks the keepers of a stream which version began it, and the first of the `readers`; returns the first that knows.
///
/// # Errors
/// When none does: the versions of the service that those who answered have seen.
async fn ask<A: Adapter>(
    state: &State<A>,
    question: Question,
    readers: &[SocketAddr],
    answers: &mut Answers,
) -> Result<(SocketAddr, Origin), Vec<Evidence>> {
    let (resumption, own) = (&state.resumption, state.node().peers);
    let began = state.clock.boot_time();
    let mut peers = resumption.members.borrow().asked(Stream(question.asked.stream));
    for reader in readers.iter().take(READERS_ASKED) {
        if !peers.contains(reader) {
            peers.push(*reader);
        }
    }
    let message = question.message(false);
    let post = async |peer| (peer, post(state, peer, &message).await);
    let mut replies: FuturesUnordered<_> =
        peers.into_iter().filter(|peer| *peer != own).map(post).collect();
    let mut evidence = vec![];
    while let Some((peer, reply)) = replies.next().await {
        let reply = match reply {
            Ok(reply) => reply,
            Err(cause) => {
                log::debug!(peer:% = peer, cause = cause.as_str(); "a peer didn't say who began a stream");
                answers.missing += 1;
                continue;
            }
        };
        answers.received.push(peer);
        if reply.known {
            return Ok((peer, origin_of(reply.version)));
        }
        if reply
            .proof_age_ms
            .is_some_and(|age| age <= millis(MAX_LIST_AGE + proof::WATCH_BLIND_TAIL))
        {
            answers.current.push(peer);
        }
        evidence.push(peer_evidence(state, reply, began));
    }
    Err(evidence)
}

/// What a read of the store shows.
enum Confirmed {
    /// A peer knows by now which version began the stream.
    Known(SocketAddr, Origin),
    /// Evidence of a list that was complete after the caller took the stream up.
    Evidence(Evidence),
}

/// Has the store read by a `reader`, which may be this node. Without one nothing is proved: the number of readers is bounded.
async fn confirm_evidence<A: Adapter>(
    state: &Rc<State<A>>,
    question: Question,
    reader: Option<SocketAddr>,
) -> Option<Confirmed> {
    let (since, reader) = (question.life.until, reader?);
    if reader == state.node().peers {
        let confirming = tokio::time::timeout(CONFIRM_TIMEOUT, confirm(state, since));
        let is_confirmed = confirming.await.unwrap_or(false);
        let age = state.clock.boot_time().saturating_sub(since);
        return is_confirmed.then(|| Confirmed::Evidence(own_evidence(state, question, Some(age))));
    }
    let asked = state.clock.boot_time();
    let reply = post(state, reader, &question.message(true)).await.ok()?;
    if reply.known {
        return Some(Confirmed::Known(reader, origin_of(reply.version)));
    }
    let is_confirmed = reply.proof_age_ms == Some(0);
    is_confirmed.then(|| Confirmed::Evidence(peer_evidence(state, reply, asked)))
}
