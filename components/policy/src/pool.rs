//! Backend servers that stand in for one another, and the requests that wait for one of them.
//!
//! All requests of a pool ask for the same model and may use the same servers, so when the head of
//! a class finds no place, nothing behind it would either, and a decision needn't look further.

use crate::forecast::Throughput;
use crate::isolation::Isolation;
use crate::queue::Lanes;

slotmap::new_key_type! {
    /// A pool.
    pub(crate) struct Key;
}

/// Requests of one class that wait for a pool.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) class: ids::Class,
    pub(crate) tier: u8,
    pub(crate) on_time: Lanes,
    /// Those whose first-token target is missed.
    pub(crate) late: Lanes,
    pub(crate) throughput: Throughput,
    /// Epoch in which its head found no place.
    pub(crate) blocked_epoch: u64,
    /// Counter of the lane last served.
    pub(crate) last_counter: u64,
}

impl Queue {
    pub(crate) fn peek(&self) -> Option<ids::Job> {
        self.on_time.peek().or_else(|| self.late.peek())
    }

    pub(crate) fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.on_time.tokens() + self.late.tokens()
    }

    pub(crate) fn lanes_mut(&mut self, late: bool) -> &mut Lanes {
        if late { &mut self.late } else { &mut self.on_time }
    }
}

/// A server of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) server: ids::Server,
    pub(crate) region: ids::Region,
    /// Its place among those of its region that take new work, by a hash that all nodes share.
    pub(crate) rank: usize,
}

/// A pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) model: ids::Model,
    /// Servers that its workspaces may use; empty means all.
    pub(crate) allowed: Vec<ids::Server>,
    pub(crate) servers: Vec<ids::Server>,
    /// Those of them that take new work.
    pub(crate) members: Vec<Member>,
    pub(crate) isolation: Isolation,
    /// By tier, then class.
    pub(crate) queues: Vec<Queue>,
    /// Epoch in which none of its servers had a place for this node.
    pub(crate) full_epoch: u64,
    /// Requests that refer to it.
    pub(crate) jobs: usize,
    /// Tokens a second that this node may expect of it.
    pub(crate) token_rate: f64,
    /// Median seconds between tokens.
    pub(crate) token_interval: f64,
    /// Median seconds to the first token once sent.
    pub(crate) first_token_time: f64,
}

impl Pool {
    pub(crate) fn new(model: ids::Model, allowed: Vec<ids::Server>) -> Self {
        Pool {
            model,
            allowed,
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

    /// The line of a class, made if need be.
    pub(crate) fn queue_mut(&mut self, tier: u8, class: ids::Class) -> &mut Queue {
        let found = self.queues.binary_search_by_key(&(tier, class), |l| (l.tier, l.class));
        let index = found.unwrap_or_else(|index| {
            let (on_time, late, throughput) =
                (Lanes::default(), Lanes::default(), Throughput::default());
            let line =
                Queue { class, tier, on_time, late, throughput, blocked_epoch: 0, last_counter: 0 };
            self.queues.insert(index, line);
            index
        });
        &mut self.queues[index]
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    /// Seconds from being sent to the end, for an answer of so many tokens.
    pub(crate) fn service_seconds(&self, tokens: u32) -> f64 {
        self.first_token_time + self.token_interval * f64::from(tokens)
    }
}
