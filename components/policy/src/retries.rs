//! Pays for what servers receive again, by service.
//!
//! Load pattern: a fleet of nodes that don't know each other's retries, each of which may be killed and start anew
//! at any time. The servers of a service may get so many requests again in any span of time: a part of the requests
//! for it, and a slack for the whole fleet.
//!
//! Each first attempt earns its part of a retry. A budget holds no more than the node's part of the slack, so that
//! nothing is saved up beyond it.

use slotmap::SecondaryMap;

use crate::bucket::Bucket;
use crate::terms::Limits;

/// The retry budgets of one node.
#[derive(Debug)]
pub(crate) struct Retries {
    budgets: SecondaryMap<ids::Model, Bucket>,
    /// What a first attempt earns.
    earned: f64,
    /// The most that a budget holds.
    capacity: f64,
}

impl Retries {
    pub(crate) fn new(limits: &Limits) -> Self {
        let mut retries = Retries { budgets: SecondaryMap::new(), earned: 0.0, capacity: 0.0 };
        retries.set_limits(limits);
        retries
    }

    /// Applies new limits. A change of the retry burst refills the budgets.
    pub(crate) fn set_limits(&mut self, limits: &Limits) {
        self.earned = f64::from(limits.retry_percent) / 100.0;
        let capacity = f64::from(limits.retry_burst);
        if capacity != self.capacity {
            self.capacity = capacity;
            self.budgets.clear();
        }
    }

    fn budget(&mut self, service: ids::Model) -> &mut Bucket {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service, Bucket::new(self.capacity));
        }
        &mut self.budgets[service]
    }

    /// Adds what a first attempt earns; returns how much that is.
    pub(crate) fn earn(&mut self, service: ids::Model) -> f64 {
        let earned = self.earned;
        self.budget(service).add(earned)
    }

    /// Takes back what an attempt earned that no server received.
    pub(crate) fn take_back(&mut self, service: ids::Model, earned: f64) {
        self.budget(service).overdraw(earned);
    }

    /// Pays for a retry if the budget holds one; returns whether it did.
    pub(crate) fn try_pay(&mut self, service: ids::Model) -> bool {
        self.budget(service).try_take(1.0)
    }

    /// Retries that a budget holds, which may be a fraction.
    pub(crate) fn balance(&self, service: ids::Model) -> f64 {
        self.budgets.get(service).map_or(self.capacity, Bucket::balance)
    }
}
