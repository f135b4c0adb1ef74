//! Groups interchangeable backend servers into pools, with the queues of requests that wait for them.
//!
//! All requests of a pool ask for the same model and may use the same servers, in the same regions. So when the
//! first request of a class gets no slot, no request behind it would, and the dispatcher needn't look further.

use crate::forecast::Throughput;
use crate::isolation::Isolation;
use crate::queue::Lanes;
use crate::terms::Server;

slotmap::new_key_type! {
    /// Key of a pool.
    pub(crate) struct Key;
}

/// The requests of one class that wait for a pool.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) class: ids::Class,
    pub(crate) tier: u8,
    /// Requests that can still meet their first-token target or whose answer has begun; served first.
    pub(crate) on_time: Lanes,
    /// Requests that will miss it or have missed it.
    pub(crate) late: Lanes,
    pub(crate) throughput: Throughput,
    /// Epoch of the scheduler in which its first request got no slot; it isn't tried again in that epoch. 0 if
    /// it may be tried.
    pub(crate) blocked_epoch: u64,
    /// Highest counter of the lanes served so far.
    pub(crate) last_counter: u64,
}

impl Queue {
    /// The request to serve next.
    pub(crate) fn peek(&self) -> Option<ids::Job> {
        self.on_time.peek().or_else(|| self.late.peek())
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    /// Sum of the requests' expected tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.on_time.tokens() + self.late.tokens()
    }

    pub(crate) fn lanes_mut(&mut self, late: bool) -> &mut Lanes {
        if late { &mut self.late } else { &mut self.on_time }
    }
}

/// What the requests of a pool have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Scope {
    pub(crate) model: ids::Model,
    /// Servers that their workspaces may use; empty if they may use all.
    pub(crate) servers: Vec<ids::Server>,
    /// Regions in which they may be served; all if it is `None`.
    pub(crate) regions: Option<Vec<ids::Region>>,
}

impl Scope {
    /// Whether a request may be sent to a server.
    pub(crate) fn contains(&self, key: ids::Server, terms: &Server) -> bool {
        let listed = self.servers.is_empty() || self.servers.contains(&key);
        listed && terms.models.contains(&self.model) && self.allows_region(terms.region)
    }

    /// Whether a request, or what is cached of it, may be in a region.
    pub(crate) fn allows_region(&self, region: ids::Region) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(&region))
    }
}

/// A server of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) server: ids::Server,
    pub(crate) region: ids::Region,
    /// Its position among the members of its region, by a hash of its name that is the same on all nodes.
    pub(crate) rank: usize,
}

/// A pool of backend servers.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) scope: Scope,
    pub(crate) servers: Vec<ids::Server>,
    /// The servers that take new work.
    pub(crate) members: Vec<Member>,
    pub(crate) isolation: Isolation,
    /// Sorted by tier, then class.
    pub(crate) queues: Vec<Queue>,
    /// Epoch of the scheduler in which none of its servers had a slot for this node; 0 if there was none.
    pub(crate) full_epoch: u64,
    /// Number of requests that belong to it, waiting or sent.
    pub(crate) jobs: usize,
    /// Tokens a second that this node can expect of it.
    pub(crate) token_rate: f64,
    /// Median time between tokens at its servers, in seconds.
    pub(crate) token_interval: f64,
    /// Median time from sending a request to its first token, in seconds.
    pub(crate) first_token_time: f64,
}

impl Pool {
    pub(crate) fn new(scope: Scope) -> Self {
        Pool {
            scope,
            servers: vec![],
            members: vec![],
            isolation: Isolation::default(),
            queues: vec![],
            full_epoch: 0,
            jobs: 0,
            token_rate: 0.0,
            token_interval: crate::server::DEFAULT_TOKEN_SECONDS,
            first_token_time: crate::server::DEFAULT_FIRST_TOKEN_SECONDS,
        }
    }

    /// The queue of a class, created if it doesn't exist.
    pub(crate) fn queue_mut(&mut self, tier: u8, class: ids::Class) -> &mut Queue {
        let found =
            self.queues.binary_search_by_key(&(tier, class), |queue| (queue.tier, queue.class));
        let index = found.unwrap_or_else(|index| {
            let (on_time, late, throughput) =
                (Lanes::default(), Lanes::default(), Throughput::default());
            let queue =
                Queue { class, tier, on_time, late, throughput, blocked_epoch: 0, last_counter: 0 };
            self.queues.insert(index, queue);
            index
        });
        &mut self.queues[index]
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Time from sending a request to the end of an answer of so many tokens, in seconds.
    pub(crate) fn service_seconds(&self, tokens: u32) -> f64 {
        self.first_token_time + self.token_interval * f64::from(tokens)
    }
}
