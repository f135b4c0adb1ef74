//! Concentrates requests on a part of the engines where a pool has many more than its work takes.
//!
//! Load pattern: thousands of engines, and work for some dozens. Spread over all of them, hardly two requests of
//! a node meet the same engine: each opens a connection, has the prompt parts that all sessions share prefilled
//! once more, and adds an engine of which every node has to know.
//!
//! So requests go to the first engines of each region, in the same order on all nodes, and the others are in
//! reserve: a request takes one of them where it would have to wait otherwise. The number of active engines
//! follows the engine time that all nodes use. It is a power of two, so that nodes whose figures differ slightly
//! agree on it; it rises at once and falls slowly, because each change moves sessions away from what is cached.

use std::time::{Duration, Instant};

/// Fraction of their time that active engines may be busy. Requests rarely wait for each other there.
const UTILIZATION: f64 = 0.5;
/// Least number of active engines of a region; a pool with fewer uses all of them.
const MIN_ENGINES: usize = 256;
/// Time for which fewer engines must have been enough before their number is halved.
const SHRINK_AFTER: Duration = Duration::from_secs(10);

/// The number of active engines in each region of a pool.
#[derive(Clone, Debug)]
pub(crate) struct Active {
    engines: usize,
    /// When that many were last needed.
    needed: Option<Instant>,
}

impl Default for Active {
    fn default() -> Self {
        Active { engines: MIN_ENGINES, needed: None }
    }
}

impl Active {
    /// Updates the number by the engine time in seconds that all nodes use in a second. Each region gets enough
    /// for all of it, as most of the traffic may be in one.
    pub(crate) fn update(&mut self, work_per_second: f64, now: Instant) {
        let enough = (work_per_second / UTILIZATION).ceil() as usize;
        let wanted = enough.next_power_of_two().max(MIN_ENGINES);
        let needed = *self.needed.get_or_insert(now);
        if wanted >= self.engines {
            (self.engines, self.needed) = (wanted, Some(now));
        } else if now >= needed + SHRINK_AFTER {
            (self.engines, self.needed) = (self.engines / 2, Some(now));
        }
    }

    /// The number among so many engines of a region.
    pub(crate) fn of(&self, engines: usize) -> usize {
        self.engines.min(engines)
    }
}

#[cfg(test)]
mod tests;
