//! Pays for what servers receive again, by service.
//!
//! Load pattern: a fleet of nodes that don't know each other's retries, each of which may be killed and start anew
//! at any time. The servers of a service may get so many requests again in any span of time: a part of the requests
//! for it, and a slack for the whole fleet.
//!
//! Each first attempt earns its part of a retry. A budget holds no more than the node's part of the slack, so that
//! nothing is saved up beyond it. Where the slack is known, a budget begins empty: one that begins full would be
//! granted anew with each start of the node, and nobody counts the starts of all nodes.

use slotmap::SecondaryMap;

use crate::bucket::Bucket;
use crate::scheduler::Scheduler;
use crate::terms::Limits;

/// The retry budgets of one node.
#[derive(Clone, Debug)]
pub(crate) struct Retries {
    budgets: SecondaryMap<ids::Model, Bucket>,
    /// What a first attempt earns.
    earned: f64,
    /// The most that a budget holds.
    capacity: f64,
    /// Budgets begin empty.
    begins_empty: bool,
}

/// Part of the fleet's slack that the nodes use together. The rest is for nodes of which others don't know yet, and
/// for requests that were sent long after they arrived.
const USED_SLACK: f64 = 0.75;

/// The most that a node's budget holds in a fleet of so many nodes with a slack for all. The last retry that a node
/// can save up is its own also where the slack has less than one for each.
///
/// ```
/// assert_eq!(policy::retry_capacity(56.0, 7), 6.0);
/// assert_eq!(policy::retry_capacity(640.0, 584), 1.0);
/// ```
pub fn retry_capacity(slack: f64, nodes: u32) -> f64 {
    (slack * USED_SLACK / f64::from(nodes.max(1))).max(1.0)
}

impl Retries {
    pub(crate) fn new(limits: &Limits) -> Self {
        let mut retries = Retries {
            budgets: SecondaryMap::new(),
            earned: 0.0,
            capacity: 0.0,
            begins_empty: false,
        };
        retries.set_limits(limits);
        retries
    }

    /// Applies new limits. A change of the retry burst refills the budgets.
    pub(crate) fn set_limits(&mut self, limits: &Limits) {
        self.earned = f64::from(limits.retry_percent) / 100.0;
        let capacity = f64::from(limits.retry_burst);
        if capacity != self.capacity && !self.begins_empty {
            self.capacity = capacity;
            self.budgets.clear();
        }
    }

    fn budget(&mut self, service: ids::Model) -> &mut Bucket {
        if !self.budgets.contains_key(service) {
            let empty = self.begins_empty;
            let bucket = if empty { Bucket::empty } else { Bucket::new };
            self.budgets.insert(service, bucket(self.capacity));
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
        let unused = if self.begins_empty { 0.0 } else { self.capacity };
        self.budgets.get(service).map_or(unused, Bucket::balance)
    }
}

impl Scheduler {
    /// Sets the most that each retry budget holds, in place of the burst of the limits. Budgets begin empty from now
    /// on, and those that hold more lose the rest.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// scheduler.set_retry_capacity(policy::retry_capacity(54.0, 7));
    /// ```
    pub fn set_retry_capacity(&mut self, capacity: f64) {
        self.retries.capacity = capacity;
        self.retries.begins_empty = true;
        self.retries.budgets.values_mut().for_each(|budget| budget.set_capacity(capacity));
    }
}
