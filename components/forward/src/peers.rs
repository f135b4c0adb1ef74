//! The peers to which a node can pass requests on while it can't reach the servers of a service.
//!
//! Seeds know which nodes report to them and which of those reach servers; a node that doesn't asks for some of
//! the others with its reports. Nothing is sent about it while all nodes reach servers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalog::Residency;
use clock::Clock;
use rand::seq::IteratorRandom;
use wire::gossip::{Peer, Report, Summary};

use crate::adapter::Adapter;
use crate::mechanism::Mechanism;
use crate::state::State;

/// Time for which a node goes on asking for peers after a request needed one.
const DEMAND_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which the peers that a seed named are used.
const PEERS_LIFETIME: Duration = Duration::from_secs(3);
/// Time without a report after which a seed no longer names a node, and time for which it doesn't name one
/// that asked for peers itself.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Peers that a seed names in an answer: enough to spread the requests of one node.
const MAX_PEERS: usize = 4;
/// Nodes that a seed remembers; bounds the memory under a flood of names.
const MAX_REPORTERS: usize = 2_000;

/// A node that reports to this seed.
#[derive(Debug)]
struct Reporter {
    location: Peer,
    reported: Instant,
    wanted_peers: Option<Instant>,
}

impl Reporter {
    /// Whether it runs and reaches servers, as far as its reports show.
    fn is_usable(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now < at + REPORT_LIFETIME;
        is_recent(self.reported) && !self.wanted_peers.is_some_and(is_recent)
    }
}

/// The peers that a node knows, and as a seed the nodes that report to it.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    reporters: RefCell<HashMap<String, Reporter>>,
    named: RefCell<Vec<(Peer, Instant)>>,
    /// When a request last needed a peer.
    demanded: Cell<Option<Instant>>,
    /// A seed asked where this node is.
    location_wanted: Cell<bool>,
    /// Number of requests passed on, by which they take turns at the peers.
    turns: Cell<usize>,
}

impl Peers {
    /// Records that a request needs a peer.
    pub(crate) fn demand(&self, now: Instant) {
        self.demanded.set(Some(now));
    }

    fn is_demanded(&self, now: Instant) -> bool {
        self.demanded.get().is_some_and(|at| now < at + DEMAND_LIFETIME)
    }

    /// Removes a peer that didn't serve a request; a seed may name it again.
    pub(crate) fn remove(&self, peer: SocketAddr) {
        self.named.borrow_mut().retain(|(known, _)| known.address != peer);
    }

    fn add(&self, peers: &[Peer], now: Instant) {
        let mut named = self.named.borrow_mut();
        named.retain(|(known, at)| now < *at + PEERS_LIFETIME && !peers.contains(known));
        named.extend(peers.iter().map(|peer| (peer.clone(), now)));
        let excess = named.len().saturating_sub(2 * MAX_PEERS);
        named.drain(..excess);
    }

    /// The peers that may take a request, beginning with another one for each request. They are in regions in which
    /// it may be served.
    pub(crate) fn for_request<A: Adapter>(
        &self,
        state: &State<A>,
        residency: &Residency,
    ) -> Vec<SocketAddr> {
        let node = state.node();
        let region = |peer: &Peer| node.domains.get(&peer.domain).map_or("", String::as_str);
        let candidates = self.candidates(state).into_iter();
        let allowed = candidates.filter(|peer| residency.allows(region(peer)));
        let mut peers: Vec<_> = allowed.map(|peer| peer.address).collect();
        let turn = self.turns.replace(self.turns.get().wrapping_add(1));
        let count = peers.len().max(1);
        peers.rotate_left(turn % count);
        peers
    }

    /// All peers that reach servers as far as this node knows, in a fixed order.
    fn candidates<A: Adapter>(&self, state: &State<A>) -> Vec<Peer> {
        let (now, own) = (state.clock.now(), state.node().peers);
        let named = self.named.borrow();
        let named =
            named.iter().filter(|(_, at)| now < *at + PEERS_LIFETIME).map(|(peer, _)| peer.clone());
        let reporters = self.reporters.borrow();
        let usable = reporters.values().filter(|reporter| reporter.is_usable(now));
        let mut peers: Vec<_> =
            named.chain(usable.map(|reporter| reporter.location.clone())).collect();
        peers.retain(|peer| peer.address != own);
        peers.sort();
        peers.dedup();
        peers
    }
}

/// Adds to a report whether this node wants peers, and where it is if the seed asked for that.
pub(crate) fn add_to_report<A: Adapter>(state: &State<A>, report: Report) -> Report {
    let wants_peers = wants_peers(state);
    let location = state.peers.location_wanted.take().then(|| own_location(state));
    Report { wants_peers, location, ..report }
}

pub(crate) fn own_location<A: Adapter>(state: &State<A>) -> Peer {
    let node = state.node();
    Peer { address: node.peers, domain: node.domain.clone() }
}

fn wants_peers<A: Adapter>(state: &State<A>) -> bool {
    let needed = state.reach.borrow().any_lost() || state.peers.is_demanded(state.clock.now());
    needed && state.switches.is_on(Mechanism::Hop)
}

/// Takes the peers over that a seed names.
pub(crate) fn apply_summary<A: Adapter>(state: &State<A>, summary: &Summary) {
    if summary.wants_location {
        state.peers.location_wanted.set(true);
    }
    if !summary.peers.is_empty() {
        state.peers.add(&summary.peers, state.clock.now());
    }
}

/// Records a node's report at this seed.
pub(crate) fn record_report<A: Adapter>(state: &State<A>, report: &Report) {
    let now = state.clock.now();
    let mut reporters = state.peers.reporters.borrow_mut();
    reporters.retain(|_, reporter| now < reporter.reported + REPORT_LIFETIME);
    if let Some(reporter) = reporters.get_mut(&report.from) {
        reporter.reported = now;
        if let Some(location) = &report.location {
            reporter.location = location.clone();
        }
        if report.wants_peers {
            reporter.wanted_peers = Some(now);
        }
        state.resumption.members.borrow_mut().record(reporter.location.clone(), now);
    } else if let Some(location) = report.location.clone()
        && reporters.len() < MAX_REPORTERS
    {
        let wanted_peers = report.wants_peers.then_some(now);
        reporters.insert(report.from.clone(), Reporter { location, reported: now, wanted_peers });
    }
}

/// Names peers in the answer to a report, if its node wants some, and asks where that is if it isn't known.
pub(crate) fn add_to_summary<A: Adapter>(
    state: &State<A>,
    from: &str,
    from_seed: bool,
    wants_peers: bool,
    summary: Summary,
) -> Summary {
    let reporters = state.peers.reporters.borrow();
    let known = reporters.get(from).map(|reporter| reporter.location.address);
    let wants_location = known.is_none() && !from_seed && state.switches.is_on(Mechanism::Hop);
    if !wants_peers {
        return Summary { wants_location, ..summary };
    }
    drop(reporters);
    let mut peers = state.peers.candidates(state);
    if !self::wants_peers(state) {
        peers.push(own_location(state));
    }
    peers.retain(|peer| Some(peer.address) != known);
    let peers = peers.into_iter().choose_multiple(&mut rand::rng(), MAX_PEERS);
    Summary { peers, wants_location, ..summary }
}
