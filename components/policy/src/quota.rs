//! Counts waiting requests by model, and applies a workspace's limit on requests in flight.

use crate::scheduler::Scheduler;

derives::value! {
    /// Requests of one tier that wait for servers of one model.
    pub struct Wait {
        /// The model.
        pub model: ids::Model,
        /// Rank of the tier; 0 is the highest.
        pub tier: u8,
        /// Number of requests that wait.
        pub count: u32,
    }
}

impl Scheduler {
    /// Requests that wait, by model and tier.
    ///
    /// ```
    /// assert!(policy::Scheduler::new().waits_by_model().is_empty());
    /// ```
    pub fn waits_by_model(&self) -> Vec<Wait> {
        let mut waits: Vec<Wait> = vec![];
        for pool in self.pools.values() {
            for queue in pool.queues.iter().filter(|queue| queue.len() > 0) {
                let (model, tier, count) = (pool.scope.model, queue.tier, queue.len() as u32);
                match waits.iter_mut().find(|wait| wait.model == model && wait.tier == tier) {
                    Some(wait) => wait.count += count,
                    None => waits.push(Wait { model, tier, count }),
                }
            }
        }
        waits
    }

    /// Requests of a workspace that are in flight on this node.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::new();
    /// assert_eq!(scheduler.in_flight(ids::Workspace::default()), 0);
    /// ```
    pub fn in_flight(&self, workspace: ids::Workspace) -> u32 {
        self.in_flight.get(workspace).copied().unwrap_or(0)
    }

    /// Sets how many requests of a workspace may be in flight on this node.
    pub fn set_in_flight_limit(&mut self, workspace: ids::Workspace, limit: u32) {
        let Some(terms) = self.workspaces.get_mut(workspace) else { return };
        if terms.in_flight != limit {
            terms.in_flight = limit;
            self.update_lanes(workspace);
        }
    }
}
