//! Whom a node asks for what is published: the store itself, or a peer that reads it.
//!
//! Load pattern: a fleet of hundreds of nodes and a store whose calls are limited and paid for. If each
//! node read it, every change would cost as many calls as there are nodes. So the few nodes that all
//! know from their settings, the seeds, read the store, and the others ask one of them, by hash.
//!
//! A node that starts asks the seeds too: hundreds that lost power together would otherwise all read a
//! long list over a narrow link at once.
//!
//! A seed that has lost the store asks the other seeds, then one of the nodes that asked it of late, its
//! delegate. Nodes whose seeds are all there, but have lost the store, wait for a delegate to bring it
//! back before they read the store themselves, and then spread their reads by the size of the fleet.
//! Where no seed answers at all a node reads the store at once.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a node that had to leave its first source tries it again; doubled each time that it
/// still fails.
const BACK: Duration = Duration::from_secs(1);
/// The longest such time.
const LONGEST: Duration = Duration::from_secs(5);
/// Time that a node which starts gives its first source to start as well.
const STARTING: Duration = Duration::from_secs(1);
/// Time after its start before a node that knows nothing yet reads the store. Machines that start together
/// do so within 0.3 s, seeds among them.
const GRACE: Duration = Duration::from_millis(300);
/// Longest list of servers, in bytes, that a node reads itself while seeds may have it.
const SHORT: usize = 16 << 10;
/// Time that a node which starts where the list is long waits for a seed that has it.
const SEEDS: Duration = Duration::from_secs(3);
/// Time that seeds which have lost the store are given to hear of it from a delegate. A proof is some two
/// seconds old by then and counts for nearly five.
const DEFERRAL: Duration = Duration::from_millis(600);
/// First reads of the store a second, over all nodes, once that time is over.
const FIRST_READS: f64 = 200.0;
/// Reads of a store that gives no answer a second, over all nodes that aren't seeds.
const LATER_READS: f64 = 50.0;
/// Time for which a node that was asked by a seed stays its delegate.
const DELEGATED: Duration = Duration::from_secs(3);
/// Nodes that a seed remembers as possible delegates.
const CALLERS: usize = 8;

derives::value! {
    /// Whom to ask.
    pub(crate) enum Source {
        /// A peer's listener.
        Peer(SocketAddr),
        /// The store.
        Store,
    }

    /// Why a source gave nothing that can be used.
    pub(crate) enum Failure {
        /// Its VM is there, and nothing listens.
        Refused,
        /// The peer is there and has lost the store.
        Lost,
        /// No answer, or none that makes sense.
        Down,
    }
}

/// The sources of one node, in the order in which it tries them.
#[derive(Debug)]
pub(crate) struct Sources {
    /// A seed has the store first, then the other seeds; another node the seeds, that of the own
    /// network first, and the store last.
    order: Vec<Source>,
    seed: bool,
    /// A node that a seed without the store asks.
    delegate: Option<SocketAddr>,
    turn: usize,
    left: Option<Instant>,
    /// The source that answers while the first one doesn't.
    working: Option<usize>,
    /// How often in a row the first source gave no answer.
    misses: u32,
    started: Instant,
    /// Something was read.
    read: bool,
    /// The list of servers was found to be long.
    long: bool,
    /// In this round some seed answered that it has lost the store.
    alive: bool,
    /// From when on the store may be read though seeds are there; set once they have all lost it.
    deferred: Option<Instant>,
}

/// What a node knows of itself and its fleet when it chooses a source.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Duty {
    /// A seed that has lost the store relies on this node.
    pub(crate) delegated: bool,
    /// Nodes of the fleet, as far as known.
    pub(crate) nodes: u32,
}

impl Sources {
    /// The sources of the node `name` that listens for peers at `own` and starts now.
    pub(crate) fn new(name: &str, own: SocketAddr, seeds: &[SocketAddr], now: Instant) -> Self {
        let seed = seeds.contains(&own);
        let mut order: Vec<_> =
            seeds_by_preference(name, own, seeds).into_iter().map(Source::Peer).collect();
        let store = if seed { 0 } else { order.len() };
        order.insert(store, Source::Store);
        Sources {
            order,
            seed,
            delegate: None,
            turn: 0,
            left: None,
            working: None,
            misses: 0,
            started: now,
            read: false,
            long: false,
            alive: false,
            deferred: None,
        }
    }

    /// Whom to ask now. A delegate stays at the store while it is one.
    pub(crate) fn now(&mut self, duty: Duty, now: Instant) -> Source {
        let back = (BACK * (1 << self.misses.saturating_sub(1).min(8))).min(LONGEST);
        let due = self.left.is_some_and(|left| now >= left + back);
        if due && !(duty.delegated && self.at(self.turn) == Source::Store) {
            (self.turn, self.left) = (0, None);
        }
        self.at(self.turn)
    }

    fn at(&self, turn: usize) -> Source {
        let delegate = self.delegate.map(Source::Peer);
        self.order.get(turn).copied().or(delegate).unwrap_or(self.order[0])
    }

    fn len(&self) -> usize {
        self.order.len() + usize::from(self.delegate.is_some())
    }

    /// Bytes of the store's list of servers that this node reads itself; without a limit if none.
    pub(crate) fn most(&self, now: Instant) -> Option<usize> {
        let seeds = !self.seed && self.order.len() > 1;
        let waits = seeds && !self.read && now < self.started + SEEDS;
        waits.then_some(SHORT)
    }

    /// Nothing was read since the start.
    pub(crate) fn starting(&self) -> bool {
        !self.read
    }

    /// The list is too long to be read here.
    pub(crate) fn found_long(&mut self) {
        (self.long, self.turn, self.left) = (true, 0, None);
    }

    /// The one asked answered.
    pub(crate) fn answered(&mut self) {
        (self.read, self.alive) = (true, false);
        self.working = (self.turn != 0).then_some(self.turn);
        if self.turn == 0 {
            self.misses = 0;
        }
        if self.at(self.turn) != Source::Store {
            self.deferred = None;
        }
    }

    /// Whether the first source is only tried again, while another one answers.
    pub(crate) fn probes(&self) -> bool {
        self.turn == 0 && self.working.is_some()
    }

    /// A seed's next delegate, if it needs one.
    pub(crate) fn set_delegate(&mut self, delegate: Option<SocketAddr>) {
        if self.seed && !self.probes() && self.turn < self.order.len() {
            self.delegate = delegate;
        }
    }

    /// The one asked gave nothing that can be used. Returns whether to pause before the next: all have
    /// been tried in turn, or the first may only be starting.
    pub(crate) fn failed(&mut self, failure: Failure, duty: Duty, now: Instant) -> bool {
        if self.probes()
            && let Some(working) = self.working
        {
            self.misses += 1;
            (self.turn, self.left) = (working, Some(now));
            return false;
        }
        self.working = None;
        let asked = self.at(self.turn);
        self.alive |= failure == Failure::Lost;
        if self.turn == 0 && asked != Source::Store {
            let starts = self.read && now < self.started + STARTING;
            if starts && failure == Failure::Refused {
                return true;
            }
            self.misses += u32::from(self.read);
        }
        if asked == Source::Store && !self.seed {
            self.defer(LATER_READS, Duration::ZERO, duty, now);
        }
        self.turn = (self.turn + 1) % self.len();
        if self.at(self.turn) == Source::Store && !self.seed && !self.may_read_store(duty, now) {
            self.turn = (self.turn + 1) % self.len();
        }
        self.left = (self.turn != 0).then_some(now);
        if self.turn == 0 {
            self.alive = false;
        }
        self.turn == 0
    }

    /// Whether a node that isn't a seed may read the store, all seeds having failed.
    fn may_read_store(&mut self, duty: Duty, now: Instant) -> bool {
        if !self.read {
            let seeds_have_it = self.long && now < self.started + SEEDS;
            return now >= self.started + GRACE && !seeds_have_it;
        }
        if !self.alive || duty.delegated {
            return true;
        }
        if self.deferred.is_none() {
            self.defer(FIRST_READS, DEFERRAL, duty, now);
        }
        self.deferred.is_some_and(|until| now >= until)
    }

    /// Puts the next read of the store off, so that all nodes together make so many a second.
    fn defer(&mut self, reads: f64, least: Duration, duty: Duty, now: Instant) {
        let spread = f64::from(duty.nodes) / reads * rand::rng().random_range(0.0..1.0);
        self.deferred = Some(now + least + Duration::from_secs_f64(spread));
    }
}

/// The nodes that asked a seed of late, any of which may be its delegate, and whether this node is one.
#[derive(Debug, Default)]
pub(crate) struct Delegates {
    recent: RefCell<VecDeque<SocketAddr>>,
    asked: Cell<Option<Instant>>,
}

impl Delegates {
    /// A node that listens for peers at an address asked.
    pub(crate) fn add_candidate(&self, address: SocketAddr) {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|known| *known != address);
        recent.truncate(CALLERS - 1);
        recent.push_front(address);
    }

    /// One of them by chance, so that one which has lost the store too isn't asked again and again.
    pub(crate) fn pick_candidate(&self) -> Option<SocketAddr> {
        let recent = self.recent.borrow();
        let index = rand::rng().random_range(0..recent.len().max(1));
        recent.get(index).copied()
    }

    /// A seed asked this node.
    pub(crate) fn record_delegation(&self, now: Instant) {
        self.asked.set(Some(now));
    }

    /// Whether this node is a seed's delegate.
    pub(crate) fn is_delegate(&self, now: Instant) -> bool {
        self.asked.get().is_some_and(|asked| now < asked + DELEGATED)
    }
}

/// The seeds but `own`: that of the own network first, then by a hash that differs by node.
pub(crate) fn seeds_by_preference(
    name: &str,
    own: SocketAddr,
    seeds: &[SocketAddr],
) -> Vec<SocketAddr> {
    let mut peers: Vec<_> = seeds.iter().copied().filter(|seed| *seed != own).collect();
    peers.sort_by_key(|seed| {
        let hash = xxh3_64(format!("{name} {seed}").as_bytes());
        (network(seed.ip()) != network(own.ip()), hash)
    });
    peers
}

/// The network of an address, as far as can be told from it: a failure domain mostly has one of its
/// own. What is published crosses to another domain once for its seed, not for each of its nodes.
fn network(address: IpAddr) -> [u8; 2] {
    match address {
        IpAddr::V4(address) => [address.octets()[0], address.octets()[1]],
        IpAddr::V6(address) => [address.octets()[4], address.octets()[5]],
    }
}

#[cfg(test)]
mod tests;
