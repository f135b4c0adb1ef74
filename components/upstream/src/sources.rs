//! Chooses whom a node asks for published settings and servers: the store itself, or a peer that reads it.
//!
//! Load pattern: a fleet of hundreds of nodes, and a store whose calls are limited and paid for. If each
//! node read the store, every change would cost as many calls as there are nodes. So only the seeds, a
//! few nodes that all nodes know from their settings, read the store; the others ask one of the seeds,
//! which they choose by hash.
//!
//! A node that starts asks the seeds as well: hundreds that lost power together would otherwise all read
//! a long list over a narrow link at once.
//!
//! Where the store answers none of the seeds, a node that has read it after its start offers them what it has, so that they
//! needn't find out which node that is.
//!
//! A seed that has lost contact with the store asks the other seeds, then its delegate: one of the nodes
//! that asked it recently, which reads the store itself when the seeds can't serve it. If all seeds run but
//! have lost contact with the store, the other nodes give the delegates time to reach it before they read
//! the store themselves, and then spread their reads by the size of the fleet. If no seed answers at all, a
//! node reads the store at once.

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

/// Time after which a node that left its first source tries it again; doubled each time that this fails.
const FIRST_RETRY_MIN: Duration = Duration::from_secs(1);
/// Upper bound of the time after which a node tries its first source again.
const FIRST_RETRY_MAX: Duration = Duration::from_secs(5);
/// Time after its own start during which a node goes on asking its first source although that refuses
/// connections: it may be starting as well.
const STARTUP: Duration = Duration::from_secs(1);
/// Time after its start before a node that has received nothing yet reads the store. VMs that start
/// together, seeds included, do so within 0.3 s.
const FIRST_STORE_READ_DELAY: Duration = Duration::from_millis(300);
/// Longest list of servers, in bytes, that a starting node reads from the store while seeds may have it.
const SHORT_LIST_BYTES: usize = 16 << 10;
/// Time after its start during which a node leaves a list longer than [`SHORT_LIST_BYTES`] to the seeds.
const LONG_LIST_WAIT: Duration = Duration::from_secs(3);
/// Time for which nodes wait for a delegate to bring seeds that have lost contact with the store up to date.
/// By its end the nodes' last proof is about two seconds old; a proof counts for nearly five.
const DELEGATE_WAIT: Duration = Duration::from_millis(600);
/// First reads of the store per second, over all nodes, once [`DELEGATE_WAIT`] is over.
const FIRST_READS_PER_S: f64 = 200.0;
/// Reads per second of a store that doesn't answer, over all nodes that aren't seeds.
const LATER_READS_PER_S: f64 = 50.0;
/// Time for which a node remains a delegate after a seed asked it.
const DELEGATION: Duration = Duration::from_secs(3);
/// Number of nodes that a seed remembers as possible delegates.
const MAX_CANDIDATES: usize = 8;

derives::value! {
    /// Whom to ask.
    pub enum Source {
        /// A peer, by the address of its listener for peers.
        Peer(SocketAddr),
        /// The store.
        Store,
    }

    /// Why a source gave no usable answer.
    pub enum Failure {
        /// The peer's VM runs, but nothing listens at the port.
        Refused,
        /// The peer runs, but has lost contact with the store.
        StoreLost,
        /// There was no answer, or one that can't be used.
        Down,
    }
}

/// The sources of one node, in the order in which it tries them.
#[derive(Debug)]
pub struct Sources {
    /// For a seed the store, then the other seeds; for another node the seeds, beginning with the nearest or the
    /// one in its own network, then the store.
    order: Vec<Source>,
    is_seed: bool,
    /// Peers that are known to be in this node's region.
    near: HashSet<SocketAddr>,
    /// Node that a seed without contact to the store asks after all others.
    delegate: Option<SocketAddr>,
    /// Index in the order of the source that is asked now.
    current: usize,
    /// When the first source was left for another.
    left_first: Option<Instant>,
    /// Index of the source that answers while the first one doesn't.
    fallback: Option<usize>,
    /// Consecutive failures of the first source.
    first_failures: u32,
    started: Instant,
    /// Whether any source has answered since the start.
    has_read: bool,
    /// Whether the list of servers was found to be longer than [`SHORT_LIST_BYTES`].
    list_is_long: bool,
    /// Whether a peer answered in this round that it has lost contact with the store.
    peer_without_store: bool,
    /// When the store may be read although seeds run; set once all of them have lost contact with it.
    store_read_at: Option<Instant>,
    /// When a node that isn't a seed last read the store in vain.
    store_failed: Option<Instant>,
}

/// What the choice of a source depends on, apart from answers and failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context {
    /// Whether this node is the delegate of a seed that has lost contact with the store.
    pub is_delegate: bool,
    /// Number of nodes in the fleet, as far as known.
    pub fleet_nodes: u32,
}

impl Sources {
    /// The sources of the node `name`, which listens for peers at `own` and starts at `now`.
    pub fn new(name: &str, own: SocketAddr, seeds: &[SocketAddr], now: Instant) -> Self {
        let is_seed = seeds.contains(&own);
        let mut order: Vec<_> =
            seeds_by_preference(name, own, seeds).into_iter().map(Source::Peer).collect();
        let store = if is_seed { 0 } else { order.len() };
        order.insert(store, Source::Store);
        Sources {
            order,
            is_seed,
            near: HashSet::new(),
            delegate: None,
            current: 0,
            left_first: None,
            fallback: None,
            first_failures: 0,
            started: now,
            has_read: false,
            list_is_long: false,
            peer_without_store: false,
            store_read_at: None,
            store_failed: None,
        }
    }

    /// Selects the source to ask now. A delegate reads the store, unless it has just done so in vain. Goes back to
    /// the first source when that is due.
    pub fn select(&mut self, context: Context, now: Instant) -> Source {
        let has_lost_store = self.store_failed.is_some_and(|failed| now < failed + DELEGATION);
        if context.is_delegate && !self.is_seed && !has_lost_store {
            self.go_to_store(now);
            return Source::Store;
        }
        let retry = (FIRST_RETRY_MIN * (1 << self.first_failures.saturating_sub(1).min(8)))
            .min(FIRST_RETRY_MAX);
        let due = self.left_first.is_some_and(|left| now >= left + retry);
        if due {
            (self.current, self.left_first) = (0, None);
        }
        self.current()
    }

    /// The source that is asked now.
    pub fn current(&self) -> Source {
        self.source_at(self.current)
    }

    /// Makes the store the current source.
    fn go_to_store(&mut self, now: Instant) {
        if self.source_at(self.current) == Source::Store {
            return;
        }
        let store = self.order.iter().position(|source| *source == Source::Store);
        self.current = store.unwrap_or_default();
        self.left_first = (self.current != 0).then_some(now);
        self.fallback = None;
    }

    /// Lets a seed that asks peers in place of the store try the store next: it has just answered.
    pub fn retry_store(&mut self) {
        if self.is_seed {
            (self.current, self.left_first) = (0, None);
        }
    }

    /// The source at an index; the delegate comes after the order.
    fn source_at(&self, index: usize) -> Source {
        let delegate = self.delegate.map(Source::Peer);
        self.order.get(index).copied().or(delegate).unwrap_or(self.order[0])
    }

    /// Makes a node the delegate of this seed, and the current source, as it has just answered.
    pub fn use_delegate(&mut self, delegate: SocketAddr, now: Instant) {
        self.delegate = Some(delegate);
        (self.current, self.left_first) = (self.order.len(), Some(now));
    }

    /// Number of sources, the delegate included.
    fn len(&self) -> usize {
        self.order.len() + usize::from(self.delegate.is_some())
    }

    /// Longest list of servers in bytes that this node reads from the store; none if there is no limit.
    pub fn list_limit(&self, now: Instant) -> Option<usize> {
        let has_seeds = !self.is_seed && self.order.len() > 1;
        let waits = has_seeds && !self.has_read && now < self.started + LONG_LIST_WAIT;
        waits.then_some(SHORT_LIST_BYTES)
    }

    /// Whether no source has answered since the start.
    pub fn awaits_first_answer(&self) -> bool {
        !self.has_read
    }

    /// Records that the list in the store is longer than [`Sources::list_limit`], and goes back to the seeds.
    pub fn record_long_list(&mut self) {
        (self.list_is_long, self.current, self.left_first) = (true, 0, None);
    }

    /// The peers in the order in which they are tried.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let peer = |source: &Source| match source {
            Source::Peer(peer) => Some(*peer),
            Source::Store => None,
        };
        self.order.iter().filter_map(peer).collect()
    }

    /// Moves the peers of this node's region before the others, if no source has answered yet.
    pub fn prefer_region(&mut self, near: HashSet<SocketAddr>) {
        if self.has_read || self.is_seed {
            return;
        }
        self.near = near;
        let near = &self.near;
        self.order.sort_by_key(|source| match source {
            Source::Peer(peer) => (false, !near.contains(peer)),
            Source::Store => (true, false),
        });
    }

    /// Records that a peer gave this node its first answer. The node goes on with that peer, and tries its first
    /// source later.
    pub fn record_first_answer(&mut self, peer: SocketAddr, now: Instant) {
        let found = self.order.iter().position(|source| *source == Source::Peer(peer));
        self.current = found.unwrap_or_default();
        self.left_first = (self.current != 0).then_some(now);
        self.record_success();
    }

    /// Makes a peer the first source while the first one is in use: the nearest, as what crosses to another region
    /// is paid for by volume. One of another region stays behind those of this node's region.
    pub fn prefer(&mut self, peer: SocketAddr) {
        if !self.near.is_empty() && !self.near.contains(&peer) {
            return;
        }
        let in_use = self.has_read && self.current == 0 && self.fallback.is_none();
        let found = self.order.iter().position(|source| *source == Source::Peer(peer));
        if let Some(index) = found.filter(|_| in_use && !self.is_seed) {
            self.order[..=index].rotate_right(1);
        }
    }

    /// Records that the selected source answered.
    pub fn record_success(&mut self) {
        (self.has_read, self.peer_without_store) = (true, false);
        self.fallback = (self.current != 0).then_some(self.current);
        if self.current == 0 {
            self.first_failures = 0;
        }
        if self.source_at(self.current) == Source::Store {
            self.store_failed = None;
        } else {
            self.store_read_at = None;
        }
    }

    /// Whether the first source is only being tried again while another one answers.
    pub fn is_probing_first(&self) -> bool {
        self.current == 0 && self.fallback.is_some()
    }

    /// Sets the next delegate, if this node is a seed that has neither selected its delegate, the source
    /// after `order`, nor is probing its first source.
    pub fn set_delegate(&mut self, delegate: Option<SocketAddr>) {
        if self.is_seed && !self.is_probing_first() && self.current < self.order.len() {
            self.delegate = delegate;
        }
    }

    /// Records that the selected source gave no usable answer, and moves on to the next. Returns whether to
    /// pause before that: all sources have been tried in turn, or the first may only be starting.
    pub fn record_failure(&mut self, failure: Failure, context: Context, now: Instant) -> bool {
        if self.is_probing_first()
            && let Some(fallback) = self.fallback
        {
            self.first_failures += 1;
            (self.current, self.left_first) = (fallback, Some(now));
            return false;
        }
        self.fallback = None;
        let asked = self.source_at(self.current);
        self.peer_without_store |= failure == Failure::StoreLost;
        if self.current == 0 && asked != Source::Store {
            let may_be_starting = self.has_read && now < self.started + STARTUP;
            if may_be_starting && failure == Failure::Refused {
                return true;
            }
            self.first_failures += u32::from(self.has_read);
        }
        if asked == Source::Store && !self.is_seed {
            self.store_failed = Some(now);
            self.schedule_store_read(LATER_READS_PER_S, Duration::ZERO, context, now);
        }
        self.current = (self.current + 1) % self.len();
        if self.source_at(self.current) == Source::Store
            && !self.is_seed
            && !self.may_read_store(context, now)
        {
            self.current = (self.current + 1) % self.len();
        }
        self.left_first = (self.current != 0).then_some(now);
        if self.current == 0 {
            self.peer_without_store = false;
        }
        self.current == 0
    }

    /// Whether a node that isn't a seed may read the store after all seeds have failed.
    fn may_read_store(&mut self, context: Context, now: Instant) -> bool {
        if !self.has_read {
            let leave_to_seeds = self.list_is_long && now < self.started + LONG_LIST_WAIT;
            return now >= self.started + FIRST_STORE_READ_DELAY && !leave_to_seeds;
        }
        if !self.peer_without_store || context.is_delegate {
            return true;
        }
        if self.store_read_at.is_none() {
            self.schedule_store_read(FIRST_READS_PER_S, DELEGATE_WAIT, context, now);
        }
        self.store_read_at.is_some_and(|at| now >= at)
    }

    /// Schedules the next read of the store after `delay` and a random time, so that the whole fleet makes
    /// `reads_per_s`.
    fn schedule_store_read(
        &mut self,
        reads_per_s: f64,
        delay: Duration,
        context: Context,
        now: Instant,
    ) {
        let spread =
            f64::from(context.fleet_nodes) / reads_per_s * rand::rng().random_range(0.0..1.0);
        self.store_read_at = Some(now + delay + Duration::from_secs_f64(spread));
    }
}

/// The nodes that a seed may choose as its delegate, and whether this node is the delegate of a seed.
#[derive(Debug, Default)]
pub struct Delegates {
    /// Nodes that asked this one most recently, by the addresses of their listeners for peers.
    candidates: RefCell<VecDeque<SocketAddr>>,
    /// When a seed last asked this node.
    asked_by_seed: Cell<Option<Instant>>,
    /// A node that reads the store for another seed.
    reader: Cell<Option<SocketAddr>>,
    /// A node that has offered this seed, which has nothing, everything that is published.
    offer: Cell<Option<SocketAddr>>,
}

impl Delegates {
    /// Adds a node that asked this one, by the address of its listener for peers.
    pub fn add_candidate(&self, address: SocketAddr) {
        let mut candidates = self.candidates.borrow_mut();
        candidates.retain(|known| *known != address);
        candidates.truncate(MAX_CANDIDATES - 1);
        candidates.push_front(address);
    }

    /// Records that a node reads the store for another seed: it is the next candidate.
    pub fn suggest(&self, reader: SocketAddr) {
        self.reader.set(Some(reader));
    }

    /// Records that a node has offered everything that is published to this seed, which has nothing.
    pub fn add_offer(&self, node: SocketAddr) {
        self.offer.set(Some(node));
    }

    /// The node that made the last offer, until it is withdrawn.
    pub fn offer(&self) -> Option<SocketAddr> {
        self.offer.get()
    }

    /// Withdraws the offer of a node that didn't keep it.
    ///
    /// ```
    /// let delegates = upstream::Delegates::default();
    /// let (one, other) = (([10, 0, 0, 1], 7).into(), ([10, 0, 0, 2], 7).into());
    /// delegates.add_offer(one);
    /// delegates.withdraw_offer(other);
    /// assert_eq!(delegates.offer(), Some(one));
    /// delegates.withdraw_offer(one);
    /// assert_eq!(delegates.offer(), None);
    /// ```
    pub fn withdraw_offer(&self, node: SocketAddr) {
        if self.offer.get() == Some(node) {
            self.offer.set(None);
        }
    }

    /// The node that was suggested, or a random candidate, so that one which has lost contact with the store as well isn't asked again and
    /// again.
    pub fn pick_candidate(&self) -> Option<SocketAddr> {
        if let Some(reader) = self.reader.take() {
            return Some(reader);
        }
        let candidates = self.candidates.borrow();
        let index = rand::rng().random_range(0..candidates.len().max(1));
        candidates.get(index).copied()
    }

    /// Records that a seed asked this node, which makes it the seed's delegate; returns whether it wasn't before.
    pub fn record_delegation(&self, now: Instant) -> bool {
        let was_delegate = self.is_delegate(now);
        self.asked_by_seed.set(Some(now));
        !was_delegate
    }

    /// Whether this node is the delegate of a seed.
    pub fn is_delegate(&self, now: Instant) -> bool {
        self.asked_by_seed.get().is_some_and(|asked| now < asked + DELEGATION)
    }
}

/// The seeds other than `own` in the order in which a node asks them: those in its own network first, then
/// by a hash that differs from node to node.
pub fn seeds_by_preference(name: &str, own: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut peers: Vec<_> = seeds.iter().copied().filter(|seed| *seed != own).collect();
    peers.sort_by_key(|seed| {
        let hash = xxh3_64(format!("{name} {seed}").as_bytes());
        (network_prefix(seed.ip()) != network_prefix(own.ip()), hash)
    });
    peers
}

/// The part of an address that names its network. A failure domain mostly has a network of its own, so what
/// is published crosses to another domain once for the domain's seed, not once for each of its nodes.
fn network_prefix(address: IpAddr) -> [u8; 2] {
    match address {
        IpAddr::V4(address) => [address.octets()[0], address.octets()[1]],
        IpAddr::V6(address) => [address.octets()[4], address.octets()[5]],
    }
}

#[cfg(test)]
mod tests;
