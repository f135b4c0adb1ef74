//! Continues streams that callers take up, at the software version that began them.
//!
//! Which version that is, and who knows it, is decided in the crate `origins`. Here its messages are sent and
//! answered. Events don't wait for messages: what a node hasn't told before it ends isn't known afterwards, and what
//! isn't known isn't guessed. Only the first events of a version of which other nodes may not have heard wait until
//! its keepers have, since the others would conclude that another version was the only one.

mod confirming;
mod taking_up;
mod telling;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::{Entry, Kind, Route, Settings};
use clock::Clock;
use origins::{
    Census, Destination, Destinations, Life, Lifetime, Members, Origin, Outbox, Record, Seen,
    Stream, Table, Version,
};
use tokio::sync::mpsc;
use wire::gossip::Peer;
use wire::origins::{Answer as Reply, Asked, Message, Row};

use crate::adapter::{Adapter, Call};
use crate::proof;
use crate::state::State;

use confirming::Confirmation;
pub(crate) use taking_up::restrict;
pub(crate) use telling::{answer, begin, start};

/// Path on the listener for peers.
pub(crate) const PATH: &str = "/origins";
/// Time by which a caller may take a stream up later than its own time limit says.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);
/// Age of the proof that a node's list of servers is the newest, from which on other nodes may conclude that versions on the list
/// don't serve any more. It is a little longer than a watch of the store lasts.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_500);
/// Longest life of a stream while no settings are known.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(60);

/// What a node knows of the streams that callers may take up, and of the nodes that know of others.
#[derive(Debug)]
pub(crate) struct Resumption {
    table: RefCell<Table>,
    census: RefCell<Census>,
    pub(crate) members: RefCell<Members>,
    outbox: RefCell<Outbox>,
    confirmation: Confirmation,
    /// Random number that identifies this process.
    boot: u32,
    started: Instant,
    /// Longest life of a stream.
    lifetime: RefCell<Lifetime>,
    destinations: RefCell<Destinations>,
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
            confirmation: Confirmation::default(),
            boot: rand::random(),
            started: now,
            lifetime: RefCell::new(Lifetime::new(DEFAULT_LIFETIME)),
            destinations: RefCell::default(),
            begin_sending,
            to_begin: RefCell::new(Some(to_begin)),
        }
    }

    /// Derives from the settings the longest life of a stream, and where routes lead.
    pub(crate) fn apply_settings(&self, settings: &Settings, now: Instant) {
        let resumable =
            settings.routes().filter(|route| route.kind == Kind::Stream { resumable: true });
        if let Some(longest) = resumable.map(|route| route.timeout).max() {
            self.lifetime.borrow_mut().set(longest + EXPIRY_MARGIN, now);
        }
        let routes = settings.routes();
        let routes =
            routes.map(|route| (route.host.as_str(), route.prefix.as_str(), destination_of(route)));
        self.destinations.borrow_mut().set(routes, now);
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
        let Some(after) = after else { return };
        let (service, version) = key(after);
        let uncertain = self.table.borrow_mut().mark_uncertain(wire::key(&after.name), version);
        self.tell(uncertain);
        let was_mixed = self.is_mixed(service, now);
        self.census.borrow_mut().add(service, version, now);
        if !was_mixed && self.is_mixed(service, now) {
            let begun = self.table.borrow().own_streams(Some(service));
            self.tell(begun);
        }
    }

    /// Records that a server was listed for a moment and isn't listed any more, or not as it was.
    pub(crate) fn apply_passing(&self, entry: &Entry, now: Instant) {
        let (service, version) = (wire::key(&entry.service), version_of(entry));
        let uncertain = self.table.borrow_mut().mark_uncertain(wire::key(&entry.name), version);
        self.tell(uncertain);
        let was_mixed = self.is_mixed(service, now);
        self.census.borrow_mut().add_passing(service, version, now);
        if !was_mixed && self.is_mixed(service, now) {
            let begun = self.table.borrow().own_streams(Some(service));
            self.tell(begun);
        }
    }

    fn is_mixed(&self, service: u32, now: Instant) -> bool {
        self.census.borrow().is_mixed(service, self.lifetime.borrow().longest(now), now)
    }

    /// Takes over the list of nodes, and tells the new keepers of the streams that this node sends.
    pub(crate) fn apply_members(&self, members: Vec<Peer>, now: Instant) {
        if !members.is_empty() && self.members.borrow_mut().apply(members) {
            self.tell_again(now);
        }
    }

    /// Records that changes of the list of servers may have been missed.
    pub(crate) fn record_gap(&self, now: Instant) {
        self.census.borrow_mut().record_gap(now);
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

    /// The answer to a peer's message, at a node whose list has a proof of this age.
    fn answer(&self, message: Message, proof_age: Option<Duration>, now: Instant) -> Reply {
        let mut table = self.table.borrow_mut();
        for row in message.told {
            let origin = origin_of(row.version);
            let lifetime = Duration::from_millis(row.lifetime_ms.into());
            table.insert(Stream(row.stream), origin, now + lifetime, now);
        }
        // Rounded up, so that the list isn't taken to be newer than it is.
        let rounding = Duration::from_micros(999);
        let proof_age_ms = proof_age.map(|age| millis(age + rounding));
        let life = self.lifetime.borrow().stated(now);
        let ceil = |time: Duration| millis(time + rounding);
        let (longest_ms, left_ms) =
            life.map_or((0, 0), |Life { longest, left }| (ceil(longest), ceil(left)));
        let boot = self.boot;
        let mut reply = Reply { boot, proof_age_ms, longest_ms, left_ms, ..Reply::default() };
        let Some(asked) = message.asked else { return reply };
        let Asked { stream, .. } = asked;
        let origin = table.origin(Stream(stream), now);
        reply.known = origin.is_some();
        reply.version = origin.and_then(version_key);
        if origin.is_none() {
            let destination = Some(message.destination).filter(|hash| *hash != 0);
            let Seen { covered, versions } = self.seen(asked, destination.map(Destination), now);
            let is_current = proof_age.is_some_and(|age| age <= MAX_LIST_AGE);
            reply.followed_ms = millis(covered);
            reply.covered_ms = if is_current { reply.followed_ms } else { 0 };
            reply.seen = versions.into_iter().map(|Version(key)| key).collect();
        }
        reply
    }

    /// Takes over the longest life of a stream that a peer knows.
    fn learn_life(&self, reply: &Reply, now: Instant) {
        let [longest, left] =
            [reply.longest_ms, reply.left_ms].map(|ms| Duration::from_millis(ms.into()));
        self.lifetime.borrow_mut().learn(Life { longest, left }, now);
    }

    /// What this node has seen of the versions of the service that is asked for, over the time in which requests for a
    /// destination went there.
    fn seen(&self, asked: Asked, destination: Option<Destination>, now: Instant) -> Seen {
        let within = Duration::from_millis(asked.lifetime_ms.into());
        let Seen { covered, versions } = self.census.borrow().seen(asked.service, within, now);
        let led =
            destination.map(|destination| self.destinations.borrow().followed(destination, now));
        Seen { covered: led.map_or(covered, |led| covered.min(led)), versions }
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
        Message { told: records.map(row).collect(), ..Message::default() }
    }
}

/// Age of the proof that this node's list of servers is complete; none without a proof. A short watch may have missed changes
/// in its last moments.
fn proof_age<A: Adapter>(state: &State<A>) -> Option<Duration> {
    let age = state.replica.borrow().freshness().age(state.clock.boot_time())?;
    Some(age + proof::WATCH_BLIND_TAIL)
}

/// Whether this node's list is so recent that others still count the versions on it.
fn has_current_list<A: Adapter>(state: &State<A>) -> bool {
    let age = state.replica.borrow().freshness().age(state.clock.boot_time());
    age.is_some_and(|age| age <= MAX_LIST_AGE)
}

/// Key of a version on the wire; none if it is uncertain.
fn version_key(origin: Origin) -> Option<u32> {
    match origin {
        Origin::Version(Version(key)) => Some(key),
        Origin::Uncertain => None,
    }
}

fn origin_of(version_key: Option<u32>) -> Origin {
    version_key.map_or(Origin::Uncertain, |key| Origin::Version(Version(key)))
}

fn destination_of(route: &Route) -> Destination {
    let split = route.split.iter().map(|split| (split.service.as_str(), split.weight));
    Destination::of(&route.host, &route.prefix, split)
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
