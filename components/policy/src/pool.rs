//! Backend servers that stand in for one another, and the requests that wait for one of them.
//!
//! All requests of a pool ask for the same model and may use the same servers, so when the head of
//! a class finds no place, nothing behind it would either, and a decision needn't look further.

use crate::forecast::Flow;
use crate::isolation::Isolation;
use crate::queue::Band;

slotmap::new_key_type! {
    /// A pool.
    pub(crate) struct Key;
}

/// Requests of one class that wait for a pool.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) class: ids::Class,
    pub(crate) tier: u8,
    pub(crate) fresh: Band,
    /// Those whose first-token target is missed.
    pub(crate) late: Band,
    pub(crate) flow: Flow,
    /// Epoch in which its head found no place.
    pub(crate) blocked: u64,
    /// Counter of the lane last served.
    pub(crate) floor: u64,
}

impl Line {
    pub(crate) fn head(&self) -> Option<ids::Job> {
        self.fresh.head().or_else(|| self.late.head())
    }

    pub(crate) fn len(&self) -> usize {
        self.fresh.len() + self.late.len()
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.fresh.tokens() + self.late.tokens()
    }

    pub(crate) fn band(&mut self, late: bool) -> &mut Band {
        if late { &mut self.late } else { &mut self.fresh }
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
    pub(crate) lines: Vec<Line>,
    /// Epoch in which none of its servers had a place for this node.
    pub(crate) full: u64,
    /// Requests that refer to it.
    pub(crate) jobs: usize,
    /// Tokens a second that this node may expect of it.
    pub(crate) rate: f64,
    /// Median seconds between tokens.
    pub(crate) interval: f64,
    /// Median seconds to the first token once sent.
    pub(crate) first: f64,
}

impl Pool {
    pub(crate) fn new(model: ids::Model, allowed: Vec<ids::Server>) -> Self {
        Pool {
            model,
            allowed,
            servers: vec![],
            members: vec![],
            isolation: Isolation::default(),
            lines: vec![],
            full: 0,
            jobs: 0,
            rate: 0.0,
            interval: crate::server::DEFAULT_TOKEN_SECONDS,
            first: crate::server::DEFAULT_FIRST_TOKEN_SECONDS,
        }
    }

    /// The line of a class, made if need be.
    pub(crate) fn line(&mut self, tier: u8, class: ids::Class) -> &mut Line {
        let found = self.lines.binary_search_by_key(&(tier, class), |l| (l.tier, l.class));
        let index = found.unwrap_or_else(|index| {
            let (fresh, late, flow) = (Band::default(), Band::default(), Flow::default());
            let line = Line { class, tier, fresh, late, flow, blocked: 0, floor: 0 };
            self.lines.insert(index, line);
            index
        });
        &mut self.lines[index]
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.lines.iter().map(Line::len).sum()
    }

    /// Seconds from being sent to the end, for an answer of so many tokens.
    pub(crate) fn service(&self, tokens: u32) -> f64 {
        self.first + self.interval * f64::from(tokens)
    }
}
