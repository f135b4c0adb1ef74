//! Continues streams that callers take up, at the software version that began them.
//!
//! Which version that is, and who knows it, is decided in the crate `origins`. Here its messages are sent and
//! answered. Events don't wait for messages: what a node hasn't told before it ends isn't known afterwards, and what
//! isn't known isn't guessed. Only the first events of a version of which other nodes may not have heard wait until
//! its keepers have, since the others would conclude that another version was the only one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use catalog::{Entry, Kind, Settings};
use clock::Clock;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use origins::{Census, Evidence, Members, Origin, Outbox, Record, Stream, Table, Version};
use tokio::sync::mpsc;
use wire::gossip::Peer;
use wire::origins::{Answer as Reply, Asked, Message, Row};

use crate::adapter::{Adapter, Call};
use crate::answer::{Answer, Error};
use crate::intake::Received;
use crate::state::State;

/// Path on the listener for peers.
pub(crate) const PATH: &str = "/origins";
/// Time within which a peer must answer: several round trips between two regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after a node's start in which it may not have the list of nodes yet, so that it asks again.
const SETTLING: Duration = Duration::from_secs(1);
/// Pause before it asks again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// Age of the proof that a node's list of servers is the newest, up to which the list counts without a peer's. It is
/// a little longer than a watch of the store lasts.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_500);
/// Time by which a caller may take a stream up later than its own time limit says.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);
/// Longest life of a stream while no settings are known.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(60);
/// When a caller may come again whose stream no node knows.
const RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// What a node knows of the streams that callers may take up, and of the nodes that know of others.
#[derive(Debug)]
pub(crate) struct Resumption {
    table: RefCell<Table>,
    census: RefCell<Census>,
    pub(crate) members: RefCell<Members>,
    outbox: RefCell<Outbox>,
    /// Random number that identifies this process.
    boot: u32,
    started: Instant,
    /// Longest life of a stream.
    lifetime: Cell<Duration>,
    /// Keepers to which sending has to begin.
    begin_sending: mpsc::UnboundedSender<SocketAddr>,
    to_begin: RefCell<Option<mpsc::UnboundedReceiver<SocketAddr>>>,
}

impl Resumption {
    pub(crate) fn new(now: Instant) -> Self {
        let (begin_sending, to_begin) = mpsc::unbounded_channel();
        Resumption {
            table: RefCell::default(),
            census: RefCell::default(),
            members: RefCell::default(),
            outbox: RefCell::default(),
            boot: rand::random(),
            started: now,
            lifetime: Cell::new(DEFAULT_LIFETIME),
            begin_sending,
            to_begin: RefCell::new(Some(to_begin)),
        }
    }

    /// Derives the longest life of a stream from the settings.
    pub(crate) fn apply_settings(&self, settings: &Settings) {
        let resumable =
            settings.routes().filter(|route| route.kind == Kind::Stream { resumable: true });
        if let Some(longest) = resumable.map(|route| route.timeout).max() {
            self.lifetime.set(longest + EXPIRY_MARGIN);
        }
    }

    /// Records a change of the list of servers.
    pub(crate) fn apply_server(&self, before: Option<&Entry>, after: Option<&Entry>, now: Instant) {
        let key = |entry: &Entry| (wire::key(&entry.service), version_of(entry));
        if before.map(key) == after.map(key) {
            return;
        }
        if let Some((service, version)) = before.map(key) {
            self.census.borrow_mut().remove(service, version, now);
        }
        if let (Some(before), Some(_)) = (before, after) {
            let server = wire::key(&before.name);
            self.tell(self.table.borrow_mut().mark_uncertain(server));
        }
        let Some((service, version)) = after.map(key) else { return };
        let was_mixed = self.is_mixed(service, now);
        self.census.borrow_mut().add(service, version, now);
        if !was_mixed && self.is_mixed(service, now) {
            let begun = self.table.borrow().own_streams(Some(service));
            self.tell(begun);
        }
    }

    fn is_mixed(&self, service: u32, now: Instant) -> bool {
        self.census.borrow().is_mixed(service, self.lifetime.get(), now)
    }

    /// Takes over the list of nodes, and tells the new keepers of the streams that this node sends.
    pub(crate) fn apply_members(&self, members: Vec<Peer>, now: Instant) {
        if !members.is_empty() && self.members.borrow_mut().apply(members) {
            self.tell_again(now);
        }
    }

    /// Updates a seed's list of nodes.
    pub(crate) fn refresh_members(&self, own: Peer, now: Instant) {
        let mut members = self.members.borrow_mut();
        members.record(own, now);
        if members.refresh(now) {
            drop(members);
            self.tell_again(now);
        }
    }

    /// Tells the keepers of all streams that this node sends, where several versions serve.
    fn tell_again(&self, now: Instant) {
        let mixed = |stream: &Stream| {
            let service = self.table.borrow().own_service(*stream);
            service.is_some_and(|service| self.is_mixed(service, now))
        };
        let own = self.table.borrow().own_streams(None);
        self.tell(own.into_iter().filter(mixed).collect());
        let members = self.members.borrow();
        self.outbox.borrow_mut().retain(|address| members.contains(address));
    }

    fn tell(&self, streams: Vec<Stream>) {
        let members = self.members.borrow();
        for stream in streams {
            members.keepers(stream).into_iter().for_each(|keeper| self.push(keeper, stream));
        }
    }

    fn push(&self, keeper: SocketAddr, stream: Stream) {
        if self.outbox.borrow_mut().push(keeper, stream) {
            // The task that receives it ends with the node.
            let _ = self.begin_sending.send(keeper);
        }
    }

    /// Records that this node no longer sends a stream.
    pub(crate) fn end(&self, call: &Call) {
        self.table.borrow_mut().end(stream_of(call));
    }

    /// The answer to a peer's message.
    fn answer(&self, message: Message, now: Instant) -> Reply {
        let mut table = self.table.borrow_mut();
        for row in message.told {
            let origin = row.version.map_or(Origin::Uncertain, |key| Origin::Version(Version(key)));
            let lifetime = Duration::from_millis(row.lifetime_ms.into());
            table.insert(Stream(row.stream), origin, now + lifetime, now);
        }
        let mut reply = Reply { boot: self.boot, ..Reply::default() };
        let Some(Asked { stream, service, lifetime_ms }) = message.asked else { return reply };
        let origin = table.origin(Stream(stream), now);
        reply.known = origin.is_some();
        reply.version = origin.and_then(version_key);
        if origin.is_none() {
            let within = Duration::from_millis(lifetime_ms.into());
            let Evidence { covered, versions } =
                self.census.borrow().evidence(service, within, now);
            reply.covered_ms = millis(covered);
            reply.seen = versions.into_iter().map(|Version(key)| key).collect();
        }
        reply
    }

    /// The message that tells a keeper of streams.
    fn message(&self, streams: Vec<Stream>, now: Instant) -> Message {
        let table = self.table.borrow();
        let records = streams.into_iter().filter_map(|stream| table.record(stream, now));
        let row = |record: Record| Row {
            stream: record.stream.0,
            version: version_key(record.origin),
            lifetime_ms: millis(record.expires - now),
        };
        Message { told: records.map(row).collect(), asked: None }
    }
}

/// Key of a version on the wire; none if it is uncertain.
fn version_key(origin: Origin) -> Option<u32> {
    match origin {
        Origin::Version(Version(key)) => Some(key),
        Origin::Uncertain => None,
    }
}

fn version_of(entry: &Entry) -> Version {
    Version::of(&entry.service, &entry.version)
}

fn millis(time: Duration) -> u32 {
    time.as_millis().try_into().unwrap_or(u32::MAX)
}

/// The stream that a call begins, or that it takes up.
fn stream_of(call: &Call) -> Stream {
    Stream::begun_by(call.resumes.as_ref().unwrap_or(&call.id))
}

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
async fn post<A: Adapter>(
    state: &State<A>,
    peer: SocketAddr,
    message: &Message,
) -> Result<Reply, String> {
    let request = state.peer_client.post(format!("http://{peer}{PATH}")).timeout(ANSWER_TIMEOUT);
    let sent = request.send_body(message.encode()).await;
    let mut response = sent.map_err(|cause| cause.to_string())?;
    let body = response.body().limit(MAX_MESSAGE_BYTES).await.map_err(|cause| cause.to_string())?;
    match response.status() {
        StatusCode::OK => Reply::decode(&body).map_err(|cause| cause.to_string()),
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
    let reply = state.resumption.answer(message, state.clock.now());
    Response::build(StatusCode::OK).body(reply.encode()).map_into_boxed_body()
}

/// Records that the first events of a request's answer have arrived from a server, if another one may continue it.
/// Returns once they may be passed on.
pub(crate) async fn begin<A: Adapter>(state: &State<A>, received: &Received, server: &Entry) {
    if !received.is_resumable() {
        return;
    }
    let (resumption, now) = (&state.resumption, state.clock.now());
    let stream = stream_of(&received.call);
    let origin = Origin::Version(version_of(server));
    let expires = now + received.time_left(state) + EXPIRY_MARGIN;
    let (service, name) = (wire::key(&server.service), wire::key(&server.name));
    let record = Record { stream, origin, expires };
    resumption.table.borrow_mut().begin(record, service, name, now);
    if !resumption.is_mixed(service, now) {
        return;
    }
    if resumption.census.borrow().is_news(service, version_of(server), now) {
        tell_at_once(state, stream).await;
    } else {
        resumption.tell(vec![stream]);
    }
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
    let mut finding = find(state, received).await;
    while finding == Finding::Unknown && is_settling(state) {
        tokio::time::sleep(ASK_PAUSE).await;
        finding = find(state, received).await;
    }
    state.metrics.count_taken_up(finding.as_str());
    let peer = if let Finding::Peer(peer, _) = finding { Some(peer.to_string()) } else { None };
    log::info!(
        request = received.call.id.as_str(), resumes = received.call.resumes.as_deref(),
        after_event = received.call.last_event_id, origin = finding.as_str(), peer = peer,
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
async fn find<A: Adapter>(state: &State<A>, received: &Received) -> Finding {
    let (resumption, now) = (&state.resumption, state.clock.now());
    let Some(name) = state.registry.borrow().service_name(received.service) else {
        return Finding::Unknown;
    };
    let service = wire::key(&name);
    // A caller that doesn't name the try isn't asked for; peers tell which versions they have seen.
    let stream = received.call.resumes.as_deref().map_or(Stream(0), Stream::begun_by);
    if let Some(origin) = resumption.table.borrow().origin(stream, now) {
        return Finding::Own(origin);
    }
    let lifetime = resumption.lifetime.get();
    let asked = Asked { stream: stream.0, service, lifetime_ms: millis(lifetime) };
    let message = Message { told: vec![], asked: Some(asked) };
    let own = state.node().peers;
    let peers = resumption.members.borrow().asked(stream);
    let peers = peers.into_iter().filter(|peer| *peer != own);
    let ask = async |peer| (peer, post(state, peer, &message).await);
    let mut replies: FuturesUnordered<_> = peers.map(ask).collect();
    let mut others = vec![];
    while let Some((peer, reply)) = replies.next().await {
        match reply {
            Ok(reply) if reply.known => {
                let origin =
                    reply.version.map_or(Origin::Uncertain, |key| Origin::Version(Version(key)));
                let expires = now + received.time_left(state);
                resumption.table.borrow_mut().insert(stream, origin, expires, now);
                return Finding::Peer(peer, origin);
            }
            Ok(reply) => others.push(Evidence {
                covered: Duration::from_millis(reply.covered_ms.into()),
                versions: reply.seen.into_iter().map(Version).collect(),
            }),
            Err(cause) => {
                log::debug!(peer:% = peer, cause = cause.as_str(); "a peer didn't say who began a stream");
            }
        }
    }
    let mut seen = resumption.census.borrow().evidence(service, lifetime, now);
    let proof_age = state.proof_age_ms().map(Duration::from_millis);
    if proof_age.is_none_or(|age| age > MAX_LIST_AGE) {
        seen.covered = Duration::ZERO;
    }
    let only = seen.conclude(&others, is_alone(state), lifetime);
    only.map_or(Finding::Unknown, Finding::OnlyVersion)
}
