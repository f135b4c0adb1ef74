//! What the decisions believe, for operators to read.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::dispatch::STRAGGLER;
use crate::pending::Stage;
use crate::scheduler::Scheduler;
use crate::terms::Demand;

derives::data! {
    /// Why a backend server gets no work now, or less than others.
    #[derive(Copy, Eq)]
    pub enum Unused {
        /// Settings or its report say that it takes no new work.
        Leaving,
        /// Its attempts failed lately; it is tried again later.
        Ejected,
        /// All places that this node may fill are filled.
        Full,
        /// Its tokens come far slower than those of like servers.
        Straggling,
    }

    /// What is believed of one backend server.
    pub struct Status {
        /// Requests of this node there.
        pub sent: u32,
        /// Requests that this node may have there at once.
        pub slots: u32,
        /// Requests there in all, as far as can be told.
        pub load: f64,
        /// Time between tokens of a stream.
        pub interval: Duration,
        /// Time since the last report was made; none if none came.
        pub age: Option<Duration>,
        /// Why it isn't used, if so.
        pub unused: Option<Unused>,
    }
}

impl Unused {
    /// The word for it in status.
    ///
    /// ```
    /// assert_eq!(policy::Unused::Full.as_str(), "full");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Unused::Leaving => "leaving",
            Unused::Ejected => "ejected after failures",
            Unused::Full => "full",
            Unused::Straggling => "straggling",
        }
    }
}

impl Scheduler {
    /// What is believed of a server; none if the settings don't name it.
    ///
    /// ```
    /// let scheduler = policy::Scheduler::new();
    /// let now = std::time::Instant::now();
    /// assert!(scheduler.status(ids::Server::default(), now).is_none());
    /// ```
    pub fn status(&self, server: ids::Server, now: Instant) -> Option<Status> {
        let known = self.servers.get(server)?;
        let pools = self.pools.values().filter(|pool| pool.servers.contains(&server));
        let usual = pools.map(|pool| pool.token_interval).reduce(f64::max);
        let unused = if known.leaving() {
            Some(Unused::Leaving)
        } else if self.is_ejected(server, now) {
            Some(Unused::Ejected)
        } else if !known.has_free_slot(self.disabled) {
            Some(Unused::Full)
        } else if usual.is_some_and(|usual| known.token_interval() > usual * STRAGGLER) {
            Some(Unused::Straggling)
        } else {
            None
        };
        Some(Status {
            sent: known.sent,
            slots: known.node_slots(self.disabled),
            load: known.load(now, self.disabled),
            interval: Duration::from_secs_f64(known.token_interval()),
            age: known.report_age(now),
            unused,
        })
    }

    /// Requests held now, by class.
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
