//! Follows the engines: their load reports, asked for or heard from peers.

use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use clock::Clock;
use fleet::{LoadReport, MemberStatus, polling};
use policy::{Policy, Report};
use settings::{Effective, ServerKind};
use slotmap::SecondaryMap;

use crate::peers::FRAMES_PERCENT;
use crate::state::State;

/// How often it is looked whom to ask.
const LOOK: Duration = Duration::from_millis(500);
/// An engine is given this long to answer.
const ANSWER: Duration = Duration::from_millis(500);
/// A report older than so many periods is asked for by everyone: whose turn it is may be deaf.
const OVERDUE: u32 = 4;

/// Starts the task; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(follow(Rc::downgrade(state)));
}

async fn follow(weak: Weak<State>) {
    let mut asked: SecondaryMap<ids::Server, Instant> = SecondaryMap::new();
    loop {
        let Some(state) = weak.upgrade() else { return };
        if let Some(settings) = state.settings() {
            asked.retain(|key, _| settings.servers.contains_key(key));
            look(&state, &settings, &mut asked);
        }
        drop(state);
        tokio::time::sleep(LOOK).await;
    }
}

fn look(state: &Rc<State>, settings: &Effective, asked: &mut SecondaryMap<ids::Server, Instant>) {
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
    let mine = |name: u32| polling::is_poller(own, alive.iter().copied(), name);
    let count = engines.iter().filter(|(_, name, _)| mine(*name)).count();
    let bytes = settings.limits.control_bytes * (100 - FRAMES_PERCENT) / 100;
    let period = polling::poll_period(count, bytes);
    for (key, name, address) in engines {
        let due = asked.get(key).is_none_or(|at| now - *at >= period);
        let held = view.loads().find(|reported| reported.load.server == name);
        let overdue = held.is_none_or(|held| now - held.measured_at > period * OVERDUE);
        if due && (overdue || mine(name)) {
            asked.insert(key, now);
            actix_rt::spawn(ask(state.clone(), name, address.clone()));
        }
    }
}

async fn ask(state: Rc<State>, server: u32, address: String) {
    let engines = state.engines.borrow().clone();
    let Ok(load) = engines.load(&address, ANSWER).await else { return };
    let now = state.clock.now();
    let reported = LoadReport {
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
    if state.view.borrow_mut().record_load(reported) {
        take(&state, &reported);
        state.driver.run_actions();
    }
}

/// Hands a report to the decisions.
pub(crate) fn take(state: &State, reported: &LoadReport) {
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
