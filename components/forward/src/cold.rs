//! Applies what is known of cold servers to the scheduler, and exchanges the permits for them with seeds.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use catalog::{Entry, Service};
use clock::Clock;
use policy::Reason;
use policy::cold::{Allowance, Issuer, LIFETIME, Part};
use wire::gossip::{Report, Summary};

use crate::adapter::Adapter;
use crate::state::{State, Timestamp};

/// Difference between readings of the two clocks that doesn't count as a suspension of the VM.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(20);

/// The permits that this node issues as a seed, and whether those that it received can be trusted.
#[derive(Debug)]
pub(crate) struct Permits {
    issuer: RefCell<Issuer>,
    started: Timestamp,
    /// For how long the VM had been suspended since the start when permits were last received.
    suspended: Cell<Duration>,
}

impl Permits {
    /// The permits of a node that starts now.
    pub(crate) fn new(now: Timestamp) -> Self {
        Permits {
            issuer: RefCell::new(Issuer::new(now.at)),
            started: now,
            suspended: Cell::new(Duration::ZERO),
        }
    }

    /// For how long the VM has been suspended since the start: only one of its clocks counts that time.
    fn total_suspension<A: Adapter>(&self, state: &State<A>) -> Duration {
        let running = state.clock.now().saturating_duration_since(self.started.at);
        state.elapsed_since(self.started).saturating_sub(running)
    }

    /// Whether the VM was suspended since permits were last received. They expire by a clock that stood still.
    fn outdated<A: Adapter>(&self, state: &State<A>) -> bool {
        self.total_suspension(state) > self.suspended.get() + CLOCK_TOLERANCE
    }
}

/// Requests that all nodes together may send to a cold server of a service in any second; none if the servers
/// of the service are never cold.
fn allowance<A: Adapter>(state: &State<A>, service: &Service) -> Option<u32> {
    let promises = &state.node().promises;
    let rate = service.cold?.requests_per_second * promises.cold_overshoot;
    Some((rate + promises.cold_slack) as u32)
}

/// Uses the permit of a request that was assigned to a cold server. Returns why the request may not be sent, if the
/// permit can't be trusted.
pub(crate) fn use_permit<A: Adapter>(state: &State<A>, job: ids::Job) -> Option<Reason> {
    state.driver.scheduler.borrow().send_by(job)?;
    if state.cold_permits.outdated(state) {
        return Some(Reason::Cold);
    }
    state.metrics.add_cold_permits("used", 1);
    None
}

/// Adds to a report how many permits this node could use, and which servers it takes for cold by itself.
pub(crate) fn add_to_report<A: Adapter>(state: &State<A>, report: Report) -> Report {
    let (scheduler, now) = (state.driver.scheduler.borrow(), state.clock.now());
    if scheduler.cold_servers(false, now).next().is_none() {
        return report;
    }
    let registry = state.registry.borrow();
    let keys = scheduler.cold_servers(true, now);
    let keys = keys.filter_map(|key| Some(wire::key(&registry.server(key)?.name)));
    Report { cold: keys.collect(), permits_wanted: Some(scheduler.wanted_permits(now)), ..report }
}

/// Adds to a summary the permits for a node that reported.
pub(crate) fn add_to_summary<A: Adapter>(
    state: &State<A>,
    (reported, wanted): (&[u32], Option<u32>),
    summary: Summary,
) -> Summary {
    let permits = wanted.map(|wanted| issue(state, reported, wanted)).unwrap_or_default();
    Summary { cold_permits: permits, ..summary }
}

/// Issues permits for the servers that this seed knows to be cold, and for those that a node takes for cold.
fn issue<A: Adapter>(state: &State<A>, reported: &[u32], wanted: u32) -> Vec<(u32, u32)> {
    let node = state.node();
    // A node that other nodes take for a seed by old settings has no part to issue.
    let Some(index) = node.seeds.iter().position(|seed| *seed == node.peers) else { return vec![] };
    let part = Part { index: index as u32, issuers: node.seeds.len() as u32 };
    let (scheduler, registry) = (state.driver.scheduler.borrow(), state.registry.borrow());
    let (settings, now) = (state.settings.borrow(), state.clock.now());
    let reported = reported.iter().filter_map(|key| registry.server_by_wire_key(*key));
    let cold: BTreeSet<_> = scheduler.cold_servers(false, now).chain(reported).collect();
    let allowance = |key| {
        let entry: &Entry = registry.server(key)?;
        let service = settings.as_ref()?.services.get(&entry.service)?;
        let requests = allowance(state, service)?;
        (!entry.leaving && !state.is_evacuated(&entry.domain))
            .then_some(Allowance { server: wire::key(&entry.name), requests })
    };
    let cold: Vec<_> = cold.into_iter().filter_map(allowance).collect();
    let permits = state.cold_permits.issuer.borrow_mut().issue(&cold, part, wanted, now);
    let issued: u32 = permits.iter().map(|(_, count)| count).sum();
    if issued > 0 {
        state.metrics.add_cold_permits("issued", issued.into());
    }
    permits
}

/// Issues permits to this seed itself.
pub(crate) fn issue_to_self<A: Adapter>(state: &State<A>) {
    let report = add_to_report(state, Report::default());
    let asked = state.clock.now();
    let summary = add_to_summary(state, (&report.cold, report.permits_wanted), Summary::default());
    apply_permits(state, &summary.cold_permits, asked);
}

/// Hands permits to the scheduler that this node asked for at `asked`.
pub(crate) fn apply_permits<A: Adapter>(state: &State<A>, permits: &[(u32, u32)], asked: Instant) {
    let mut scheduler = state.driver.scheduler.borrow_mut();
    if state.cold_permits.outdated(state) {
        scheduler.clear_cold_permits();
        state.cold_permits.suspended.set(state.cold_permits.total_suspension(state));
        // The permits may have been under way during the suspension.
        return;
    }
    let (registry, now) = (state.registry.borrow(), state.clock.now());
    for (server, count) in permits {
        if let Some(server) = registry.server_by_wire_key(*server) {
            scheduler.add_cold_permits(server, *count, asked + LIFETIME, now);
        }
    }
    let received: u32 = permits.iter().map(|(_, count)| count).sum();
    drop((scheduler, registry));
    if received > 0 {
        state.metrics.add_cold_permits("received", received.into());
        state.driver.run_actions();
    }
}

/// Goes on without permits where no seed issues any. Servers that this node takes for cold by itself are used
/// again; those whose entries say so aren't until they are warm.
pub(crate) fn continue_without_seeds<A: Adapter>(state: &State<A>) {
    if state.rate_limits.seeds_silent(state.clock.now()) {
        state.driver.scheduler.borrow_mut().forget_silence();
    }
}

/// Applies what a server's entry says of how long it is cold. Does nothing while gossip is disabled: without it
/// no permits are issued.
pub(crate) fn apply_entry<A: Adapter>(state: &State<A>, key: ids::Server, entry: &Entry) {
    let now = state.clock.now();
    let mut scheduler = state.driver.scheduler.borrow_mut();
    let was_cold = scheduler.is_cold(key, now);
    scheduler.set_cold(key, entry.cold, now);
    if scheduler.is_cold(key, now) != was_cold {
        let stated_ms = entry.cold.map(|left| left.as_millis() as u64);
        log::info!(
            server = entry.name.as_str(), cold = !was_cold, stated_ms = stated_ms;
            "server's coldness"
        );
    }
}
