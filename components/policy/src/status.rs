//! Reports the state of servers and requests to operators.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::dispatch::STRAGGLER_RATIO;
use crate::pending::Stage;
use crate::scheduler::Scheduler;
use crate::terms::Demand;

derives::data! {
    /// Why a backend server gets no work now, or less than others.
    #[derive(Copy, Eq)]
    pub enum Unused {
        /// The settings, its report or one of its answers say that it takes no new work.
        Leaving,
        /// It has asked this node for rest.
        Resting,
        /// Its recent attempts failed, or its reports stopped; it is tried again later.
        Ejected,
        /// All slots that this node may occupy there are occupied.
        Full,
        /// Its time between tokens is much longer than the median of the servers in its pool.
        Straggling,
    }

    /// The scheduler's view of one backend server.
    pub struct Status {
        /// Requests of this node there.
        pub sent: u32,
        /// Requests that this node may have there at once.
        pub slots: u32,
        /// Estimated number of requests there from all nodes.
        pub load: f64,
        /// Time between tokens of a stream.
        pub interval: Duration,
        /// Time since its last report was made; none if there was none.
        pub age: Option<Duration>,
        /// Why it isn't used, if so.
        pub unused: Option<Unused>,
    }
}

impl Unused {
    /// The word that stands for it in the status.
    ///
    /// ```
    /// assert_eq!(policy::Unused::Full.as_str(), "full");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Unused::Leaving => "leaving",
            Unused::Resting => "resting",
            Unused::Ejected => "ejected after failures",
            Unused::Full => "full",
            Unused::Straggling => "straggling",
        }
    }
}

impl Scheduler {
    /// The view of a server; none if the settings don't name it.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::new();
    /// let now = std::time::Instant::now();
    /// assert!(scheduler.status(ids::Server::default(), now).is_none());
    /// ```
    pub fn status(&self, server: ids::Server, now: Instant) -> Option<Status> {
        let state = self.servers.get(server)?;
        let pools = self.pools.values().filter(|pool| pool.has_server(server));
        let usual = pools.map(|pool| pool.token_interval).reduce(f64::max);
        let unused = if self.leaves(state) {
            Some(Unused::Leaving)
        } else if self.rests(state, now) {
            Some(Unused::Resting)
        } else if self.is_ejected(server, now) {
            Some(Unused::Ejected)
        } else if !state.has_free_slot(self.switches) {
            Some(Unused::Full)
        } else if usual.is_some_and(|usual| state.token_interval() > usual * STRAGGLER_RATIO) {
            Some(Unused::Straggling)
        } else {
            None
        };
        Some(Status {
            sent: state.sent,
            slots: state.node_slots(self.switches),
            load: state.load(now, self.switches),
            interval: Duration::from_secs_f64(state.token_interval()),
            age: state.report_age(now),
            unused,
        })
    }

    /// Requests that wait and that are in flight now, by class.
    pub fn current_demand(&self) -> Vec<Demand> {
        let mut all: SecondaryMap<ids::Class, Demand> = SecondaryMap::new();
        for pending in self.jobs.values() {
            let class = pending.request.class;
            let entry = all.entry(class);
            let fresh = Demand { class, waiting: 0, sent: 0 };
            let Some(demand) = entry.map(|entry| entry.or_insert(fresh)) else { continue };
            match pending.stage {
                Stage::Sent(_) => demand.sent += 1,
                _ => demand.waiting += 1,
            }
        }
        all.into_iter().map(|(_, demand)| demand).collect()
    }
}
