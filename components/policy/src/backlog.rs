//! What nodes tell each other of the prompts that engines have still to read.
//!
//! Pattern: several nodes before the same engines, and a burst of long prompts. Each node sees but its
//! own prompts, a part of some dozen: it sends to an engine that seems idle, where those of the others
//! wait already, and learns it seconds later from a first token that is late. On a heavy day nearly all
//! who missed their first-token target had been sent to an engine that seemed idle to their node.

use std::time::Instant;

use crate::reading::Work;
use crate::scheduler::Scheduler;
use crate::terms::{Backlog, Holding};

/// Backlogs below this, in seconds, aren't worth the bytes: no target is missed for them.
const WORTH: f64 = 0.005;

impl Scheduler {
    /// What this node's prompts take engines still to read, of those where it is worth telling.
    ///
    /// ```
    /// assert!(policy::Scheduler::new().backlogs(std::time::Instant::now()).is_empty());
    /// ```
    pub fn backlogs(&self, now: Instant) -> Vec<Backlog> {
        let engines = self.servers.iter().filter(|(_, known)| known.terms.reads.is_some());
        let told = engines.map(|(server, known)| Backlog {
            server,
            reading: known.reading.own().iter().collect(),
            overdue: self.hangs(known, now).max(0.0),
        });
        told.filter(|told| told.reading.iter().sum::<f64>() + told.overdue > WORTH).collect()
    }

    /// Takes in what all other nodes' prompts take engines still to read. Engines that aren't named
    /// have none to speak of.
    pub fn set_backlogs(&mut self, others: &[Backlog], now: Instant) {
        for known in self.servers.values_mut().filter(|known| known.terms.reads.is_some()) {
            known.reading.heard(Work::default(), 0.0, now);
        }
        for told in others {
            let Some(known) = self.servers.get_mut(told.server) else { continue };
            let mut work = Work::default();
            for (rank, seconds) in told.reading.iter().enumerate() {
                work.add(rank.min(usize::from(u8::MAX)) as u8, *seconds);
            }
            known.reading.heard(work, told.overdue, now);
        }
    }

    /// What engines keep that others had better hear of.
    pub fn holdings(&mut self, now: Instant) -> Vec<Holding> {
        self.holdings.news(now)
    }

    /// Takes in what others saw that engines keep.
    pub fn set_holdings(&mut self, heard: impl IntoIterator<Item = Holding>, now: Instant) {
        for holding in heard {
            if self.servers.contains_key(holding.server) {
                self.holdings.heard(holding, now);
            }
        }
    }
}
