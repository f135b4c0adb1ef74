//! What nodes report to each other of the prompts that engines have still to prefill.
//!
//! Load pattern: several nodes before the same engines, and a burst of long prompts. With only local counts a
//! node sends to an engine that seems idle, where prompts of other nodes wait already, and learns it seconds
//! later from a late first token.

use std::time::{Duration, Instant};

use crate::prefill::Peers;
use crate::scheduler::Scheduler;
use crate::terms::{Backlog, Cached};

/// Shortest backlog that is reported, in seconds.
const WORTH: f64 = 0.005;
/// An engine that began an answer so long ago is named though nothing waits there: it doesn't hang, which
/// a node whose request waits there may not know.
const LATELY: Duration = Duration::from_secs(1);

fn worth_telling(told: &Backlog) -> bool {
    let seconds: f64 = told.prefill.iter().chain(&told.overdue).sum();
    let taken: f64 = told.occupied.iter().sum();
    seconds > WORTH || taken > 0.0 || told.since_first_token.is_some_and(|age| age < LATELY)
}

impl Scheduler {
    /// What this node's prompts take engines still to read, of those where it is worth telling.
    ///
    /// ```
    /// assert!(policy::Scheduler::new().backlogs(std::time::Instant::now()).is_empty());
    /// ```
    pub fn backlogs(&self, now: Instant) -> Vec<Backlog> {
        let engines = self.servers.iter().filter(|(_, known)| known.terms.prefill_rate.is_some());
        let told = engines.map(|(server, known)| Backlog {
            server,
            prefill: known.prefill.own().to_vec(),
            overdue: self.overdue_here(known, now).to_vec(),
            occupied: known.taken.to_vec(),
            since_first_token: known
                .prefill
                .begun_here()
                .map(|begun| now.saturating_duration_since(begun)),
        });
        told.filter(worth_telling).collect()
    }

    /// Takes in what all other nodes' prompts take engines still to read, and what they saw of engines.
    /// Those that aren't named have nothing to speak of.
    pub fn set_backlogs(&mut self, others: &[Backlog], now: Instant) {
        for known in self.servers.values_mut().filter(|known| known.terms.prefill_rate.is_some()) {
            known.prefill.received(Peers::default(), now);
        }
        for told in others {
            let Some(known) = self.servers.get_mut(told.server) else { continue };
            let others = Peers {
                work: told.prefill.as_slice().into(),
                overdue: told.overdue.as_slice().into(),
                taken: told.occupied.as_slice().into(),
                begun: told.since_first_token.and_then(|age| now.checked_sub(age)),
            };
            known.prefill.received(others, now);
        }
    }

    /// What engines keep that others had better hear of.
    pub fn cache_updates(&mut self, now: Instant) -> Vec<Cached> {
        self.prefixes.updates(now)
    }

    /// Takes in what others saw that engines keep.
    pub fn apply_cache_updates(
        &mut self,
        received: impl IntoIterator<Item = Cached>,
        now: Instant,
    ) {
        for cached in received {
            if self.servers.contains_key(cached.server) {
                self.prefixes.apply_update(cached, now);
            }
        }
    }
}
