//! Polls the engines for load reports, and passes these and the peers' reports to the scheduler.

use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use clock::Clock;
use fleet::{LoadReport, MemberStatus, polling};
use policy::{Policy, Report};
use settings::{Effective, ServerKind};
use slotmap::SecondaryMap;

use crate::peers::FRAMES_PERCENT;
use crate::state::State;

/// Pause between two checks of which engines are due for a poll.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for an engine to answer.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of a report, in poll periods, from which on every node polls the engine: the one node that
/// is to poll it may be unable to reach it.
const OVERDUE_PERIODS: u32 = 4;

/// Starts the task; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(poll_engines(Rc::downgrade(state)));
}

async fn poll_engines(weak: Weak<State>) {
    let mut polled: SecondaryMap<ids::Server, Instant> = SecondaryMap::new();
    loop {
        let Some(state) = weak.upgrade() else { return };
        if let Some(settings) = state.settings() {
            polled.retain(|key, _| settings.servers.contains_key(key));
            poll_due(&state, &settings, &mut polled);
        }
        drop(state);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn poll_due(
    state: &Rc<State>,
    settings: &Effective,
    polled: &mut SecondaryMap<ids::Server, Instant>,
) {
    let now = state.clock.now();
    let view = state.view.borrow();
    let own = wire::key(&state.node.name);
    let alive = view.cell_peers().filter(|(_, m)| view.status(m, now) == MemberStatus::Alive);
    let alive: Vec<_> = alive.map(|(_, member)| member.key).collect();
    let cells = state.cells.borrow();
    let used =
        cells.servers().filter_map(|(name, key)| Some((name, key, settings.servers.get(key)?)));
    let engines = used.filter(|(_, _, server)| server.kind == ServerKind::Engine);
    let engines: Vec<_> = engines.map(|(name, key, s)| (key, name, &s.address)).collect();
    let is_poller = |name: u32| polling::is_poller(own, alive.iter().copied(), name);
    let count = engines.iter().filter(|(_, name, _)| is_poller(*name)).count();
    let bytes = settings.limits.control_bytes * (100 - FRAMES_PERCENT) / 100;
    let period = polling::poll_period(count, bytes);
    for (key, name, address) in engines {
        let due = polled.get(key).is_none_or(|at| now - *at >= period);
        let last = view.loads().find(|reported| reported.load.server == name);
        let overdue = last.is_none_or(|last| now - last.measured_at > period * OVERDUE_PERIODS);
        if due && (overdue || is_poller(name)) {
            polled.insert(key, now);
            actix_rt::spawn(poll(state.clone(), name, address.clone()));
        }
    }
}

async fn poll(state: Rc<State>, server: u32, address: String) {
    let engines = state.engine_client.borrow().clone();
    let Ok(load) = engines.fetch_load(&address, POLL_TIMEOUT).await else { return };
    let now = state.clock.now();
    let report = LoadReport {
        measured_at: now.checked_sub(Duration::from_millis(load.age_ms)).unwrap_or(now),
        load: wire::Load {
            server,
            age_ms: 0,
            running: load.running,
            queued: load.queued,
            slots: load.slots,
            token_interval_us: load.token_interval_us.try_into().unwrap_or(u32::MAX),
            leaving: load.leaving,
        },
    };
    if state.view.borrow_mut().record_load(report) {
        apply_report(&state, &report);
        state.driver.run_actions();
    }
}

/// Passes a report to the scheduler, if this node uses the engine.
pub(crate) fn apply_report(state: &State, reported: &LoadReport) {
    let load = &reported.load;
    let Some(key) = state.cells.borrow().server(load.server) else { return };
    let report = Report {
        at: reported.measured_at,
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        token_interval: Duration::from_micros(load.token_interval_us.into()),
        leaving: load.leaving,
    };
    state.driver.scheduler.borrow_mut().record_report(key, report, state.clock.now());
}
