//! Reports to other nodes, and takes in from them, what each knows of the engines' load and prefix caches.
//!
//! Load pattern: several nodes before the same engines, and a burst of long prompts. With only local counts a
//! node sends to an engine that seems idle, where prompts of other nodes wait already, and learns it seconds
//! later from a late first token.

use std::time::{Duration, Instant};

use crate::prefill::Peers;
use crate::scheduler::Scheduler;
use crate::server;
use crate::terms::{Backlog, Cached};

/// Shortest backlog that is reported, in seconds.
const MIN_REPORTED_SECONDS: f64 = 0.005;
/// An engine that sent a first token within this time is reported even if nothing waits there: it isn't
/// stalled, which a node whose request waits there may not know.
const RECENT: Duration = Duration::from_secs(1);

/// Whether anything of an engine may be worth reporting; it isn't for most of thousands of engines.
fn has_own_work(state: &server::State, now: Instant) -> bool {
    let last = state.prefill.last_own_first_token();
    state.sent > 0 || last.is_some_and(|last| now < last + RECENT)
}

fn worth_reporting(backlog: &Backlog) -> bool {
    let seconds: f64 = backlog.prefill.iter().chain(&backlog.overdue).sum();
    let occupied: f64 = backlog.occupied.iter().sum();
    seconds > MIN_REPORTED_SECONDS
        || occupied > 0.0
        || backlog.running_tokens + backlog.inserted_tokens > 0.0
        || backlog.since_first_token.is_some_and(|age| age < RECENT)
}

impl Scheduler {
    /// Backlogs of engines by this node's requests, without those that aren't worth reporting.
    ///
    /// ```
    /// assert!(policy::Scheduler::new().backlogs(std::time::Instant::now()).is_empty());
    /// ```
    pub fn backlogs(&self, now: Instant) -> Vec<Backlog> {
        let engines = self.servers.iter().filter(|(_, state)| state.terms.prefill_rate.is_some());
        let with_memory =
            engines.map(|(server, state)| (server, state, self.memory_to_report(state, now)));
        let engines = with_memory.filter(|(_, state, (running, inserted))| {
            has_own_work(state, now) || running + inserted > 0.0
        });
        let backlogs = engines.map(|(server, state, (running_tokens, inserted_tokens))| Backlog {
            server,
            prefill: state.prefill.own_queued().to_vec(),
            overdue: self.own_overdue(state, now).to_vec(),
            occupied: state.occupied.to_vec(),
            since_first_token: state
                .prefill
                .last_own_first_token()
                .map(|last| now.saturating_duration_since(last)),
            running_tokens,
            inserted_tokens,
        });
        backlogs.filter(worth_reporting).collect()
    }

    /// Sets the backlogs of engines by the requests of all other nodes; engines that aren't named have
    /// none.
    pub fn set_backlogs(&mut self, others: &[Backlog], now: Instant) {
        for server in std::mem::take(&mut self.peer_loaded) {
            if let Some(state) = self.servers.get_mut(server) {
                state.prefill.set_peers(Peers::default(), now);
                state.memory.set_peers(0.0, 0.0, now);
            }
        }
        for backlog in others {
            let Some(state) = self.servers.get_mut(backlog.server) else { continue };
            self.peer_loaded.push(backlog.server);
            let peers = Peers {
                queued: backlog.prefill.as_slice().into(),
                overdue: backlog.overdue.as_slice().into(),
                occupied: backlog.occupied.as_slice().into(),
                last_first_token: backlog.since_first_token.and_then(|age| now.checked_sub(age)),
            };
            state.prefill.set_peers(peers, now);
            state.memory.set_peers(backlog.running_tokens, backlog.inserted_tokens, now);
            self.update_horizon(backlog.server, now);
        }
        self.update_horizons(now);
    }

    /// Cached prompt parts to report to other nodes.
    pub fn cache_updates(&mut self, now: Instant) -> Vec<Cached> {
        self.update_horizons(now);
        self.prefixes.parts_to_report(now)
    }

    /// Takes in the cached prompt parts that other nodes reported.
    pub fn apply_cache_updates(&mut self, updates: impl IntoIterator<Item = Cached>, now: Instant) {
        for cached in updates {
            if self.servers.contains_key(cached.server) {
                self.prefixes.apply_update(cached, now);
            }
        }
    }
}
