//! The peers to which a node can pass requests on while it can't reach the servers of a service.
//!
//! Seeds know which nodes report to them and which of those reach servers; a node that doesn't asks for some of
//! the others with its reports. Nothing is sent about it while all nodes reach servers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clock::Clock;
use rand::seq::IteratorRandom;
use wire::gossip::{Report, Summary};

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
    address: SocketAddr,
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
    named: RefCell<Vec<(SocketAddr, Instant)>>,
    /// When a request last needed a peer.
    demanded: Cell<Option<Instant>>,
    /// A seed asked for the address of this node.
    address_wanted: Cell<bool>,
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
        self.named.borrow_mut().retain(|(known, _)| *known != peer);
    }

    fn add(&self, peers: &[SocketAddr], now: Instant) {
        let mut named = self.named.borrow_mut();
        named.retain(|(known, at)| now < *at + PEERS_LIFETIME && !peers.contains(known));
        named.extend(peers.iter().map(|peer| (*peer, now)));
        let excess = named.len().saturating_sub(2 * MAX_PEERS);
        named.drain(..excess);
    }

    /// The peers that may take a request, beginning with another one for each request.
    pub(crate) fn for_request<A: Adapter>(&self, state: &State<A>) -> Vec<SocketAddr> {
        let mut peers = self.candidates(state);
        let turn = self.turns.replace(self.turns.get().wrapping_add(1));
        let count = peers.len().max(1);
        peers.rotate_left(turn % count);
        peers
    }

    /// All peers that reach servers as far as this node knows, in a fixed order.
    fn candidates<A: Adapter>(&self, state: &State<A>) -> Vec<SocketAddr> {
        let (now, own) = (state.clock.now(), state.node().peers);
        let named = self.named.borrow();
        let named =
            named.iter().filter(|(_, at)| now < *at + PEERS_LIFETIME).map(|(peer, _)| *peer);
        let reporters = self.reporters.borrow();
        let usable = reporters.values().filter(|reporter| reporter.is_usable(now));
        let mut peers: Vec<_> = named.chain(usable.map(|reporter| reporter.address)).collect();
        peers.retain(|peer| *peer != own);
        peers.sort();
        peers.dedup();
        peers
    }
}

/// Adds to a report whether this node wants peers, and its address if the seed asked for it.
pub(crate) fn add_to_report<A: Adapter>(state: &State<A>, report: Report) -> Report {
    let wants_peers = wants_peers(state);
    let address = state.peers.address_wanted.take().then(|| state.node().peers);
    Report { wants_peers, address, ..report }
}

fn wants_peers<A: Adapter>(state: &State<A>) -> bool {
    let needed = state.reach.borrow().any_lost() || state.peers.is_demanded(state.clock.now());
    needed && state.switches.is_on(Mechanism::Hop)
}

/// Takes the peers over that a seed names.
pub(crate) fn apply_summary<A: Adapter>(state: &State<A>, summary: &Summary) {
    if summary.wants_address {
        state.peers.address_wanted.set(true);
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
        reporter.address = report.address.unwrap_or(reporter.address);
        if report.wants_peers {
            reporter.wanted_peers = Some(now);
        }
    } else if let Some(address) = report.address
        && reporters.len() < MAX_REPORTERS
    {
        let wanted_peers = report.wants_peers.then_some(now);
        reporters.insert(report.from.clone(), Reporter { address, reported: now, wanted_peers });
    }
}

/// Names peers in the answer to a report, if its node wants some, and asks for its address if it isn't known.
pub(crate) fn add_to_summary<A: Adapter>(
    state: &State<A>,
    from: &str,
    from_seed: bool,
    wants_peers: bool,
    summary: Summary,
) -> Summary {
    let reporters = state.peers.reporters.borrow();
    let known = reporters.get(from).map(|reporter| reporter.address);
    let wants_address = known.is_none() && !from_seed && state.switches.is_on(Mechanism::Hop);
    if !wants_peers {
        return Summary { wants_address, ..summary };
    }
    drop(reporters);
    let mut peers = state.peers.candidates(state);
    if !self::wants_peers(state) {
        peers.push(state.node().peers);
    }
    peers.retain(|peer| Some(*peer) != known);
    let peers = peers.into_iter().choose_multiple(&mut rand::rng(), MAX_PEERS);
    Summary { peers, wants_address, ..summary }
}
