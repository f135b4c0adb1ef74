//! What a fleet shares out: limits of workspaces that follow it, and what waits for it.

use crate::scheduler::Scheduler;

derives::value! {
    /// Work of one tier that waits for servers of one model.
    pub struct Wait {
        /// The model.
        pub model: ids::Model,
        /// Rank of the tier.
        pub tier: u8,
        /// Requests that wait.
        pub count: u32,
    }
}

impl Scheduler {
    /// Work that waits, by model and tier.
    ///
    /// ```
    /// assert!(policy::Scheduler::new().waits_by_model().is_empty());
    /// ```
    pub fn waits_by_model(&self) -> Vec<Wait> {
        let mut waits: Vec<Wait> = vec![];
        for pool in self.pools.values() {
            for line in pool.queues.iter().filter(|line| line.len() > 0) {
                let (model, tier, count) = (pool.model, line.tier, line.len() as u32);
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

    /// Changes how many requests of a workspace may be in flight on this node.
    pub fn set_in_flight(&mut self, workspace: ids::Workspace, most: u32) {
        let Some(terms) = self.workspaces.get_mut(workspace) else { return };
        if terms.in_flight != most {
            terms.in_flight = most;
            self.set_open(workspace);
        }
    }
}
