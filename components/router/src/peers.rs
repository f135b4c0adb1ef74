//! Carries frames between routers. A frame without the shared secret is refused.

use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::{HttpMessage, Request, Response, StatusCode};
use clock::Clock;
use fleet::exchange::{ANSWER_OVERHEAD_BYTES, LocalState, REQUEST_OVERHEAD_BYTES, Target};
use policy::Scheduler;
use settings::Effective;
use subtle::ConstantTimeEq;
use wire::{Demand, Frame, InFlight};

use crate::answer::Answer;
use crate::revisions;
use crate::state::State;
use crate::{cells, engines, handover, keyed, shares};

pub(crate) const SECRET: &str = "x-peer-secret";
/// Time between two exchanges until settings say otherwise.
const EXCHANGE: Duration = Duration::from_millis(500);
/// A peer that hasn't answered within this is tried again in its turn.
const ANSWER: Duration = Duration::from_secs(1);
/// Largest frame taken in.
const LARGEST: usize = 64 << 10;
/// Part of the bytes for control that frames may take, in percent; load reports take the rest.
pub(crate) const FRAMES_PERCENT: u32 = 60;

/// Starts the exchange; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(exchange(Rc::downgrade(state)));
}

/// Answers a peer's frame with one's own.
pub(crate) async fn handle(state: Rc<State>, mut request: Request) -> Answer {
    let given = request.headers().get(SECRET).map(|value| value.as_bytes()).unwrap_or_default();
    if !bool::from(given.ct_eq(state.node.secret.as_bytes())) {
        return Response::new(StatusCode::FORBIDDEN).map_into_boxed_body();
    }
    match request.path() {
        keyed::CALL => return keyed::handle(state, request).await,
        handover::PATH => return handover::handle(state, request).await,
        path if path.starts_with(revisions::PREFIX) => {
            return revisions::handle(state, &request).await;
        }
        _ => {}
    }
    let body = match listen::read_body(&mut request, LARGEST).await {
        Ok(body) => body,
        Err(unread) => return unread.response(),
    };
    let theirs = match Frame::decode(&body) {
        Ok(theirs) => theirs,
        Err(cause) => {
            log::warn!(cause:% = cause; "bad frame");
            return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
        }
    };
    let peer = theirs.from.clone();
    heard(&state, theirs);
    let frame = frame(&state, &peer);
    let bytes = frame.encode();
    let mut exchange = state.exchange.borrow_mut();
    exchange.record_sent(bytes.len() + ANSWER_OVERHEAD_BYTES);
    exchange.record_delivery(&peer, &frame, state.clock.now());
    Response::build(StatusCode::OK).body(bytes).map_into_boxed_body()
}

fn heard(state: &State, theirs: Frame) {
    if theirs.from == state.node.name {
        return;
    }
    let mut view = state.view.borrow_mut();
    view.receive(theirs, state.clock.now());
    let news = view.take_load_updates();
    drop(view);
    news.iter().for_each(|reported| engines::take(state, reported));
}

/// What this node tells of itself now.
pub(crate) fn own(state: &State) -> LocalState {
    let settings = state.settings();
    let scheduler = state.driver.scheduler.borrow();
    let cells = state.cells.borrow();
    let counts = cells
        .servers()
        .map(|(server, key)| InFlight { key: server, count: scheduler.in_flight_at(key) });
    let mut demand: Vec<Demand> = vec![];
    for work in scheduler.demand() {
        let class = settings.as_ref().and_then(|settings| settings.classes.get(work.class));
        let Some(tier) = class.map(|class| class.rank) else { continue };
        let row = match demand.iter_mut().find(|row| row.tier == tier) {
            Some(row) => row,
            None => {
                demand.push(Demand { tier, waiting: 0, in_flight: 0 });
                demand.last_mut().expect("just pushed")
            }
        };
        row.waiting += work.waiting;
        row.in_flight += work.sent;
    }
    LocalState {
        name: state.node.name.clone(),
        address: state.address.borrow().clone(),
        domain: state.node.domain.clone(),
        incarnation: state.incarnation,
        revision: settings.as_ref().map_or(0, |settings| settings.revision),
        digest: settings.as_ref().map_or(0, |settings| settings.digest),
        leaving: state.draining.get(),
        in_flight: counts.filter(|row| row.count > 0).collect(),
        demand,
        queued: waits(settings.as_deref(), &scheduler),
        workspaces: workspaces(settings.as_deref(), &scheduler),
        suspects: state.unfit.borrow().iter().copied().collect(),
        cells: vec![],
    }
}

fn waits(settings: Option<&Effective>, scheduler: &Scheduler) -> Vec<wire::Queued> {
    let Some(settings) = settings else { return vec![] };
    let row = |wait: policy::Wait| wire::Queued {
        model: wire::key(settings.model_names.name(wait.model)),
        tier: wait.tier,
        count: wait.count,
    };
    scheduler.waits_by_model().into_iter().map(row).collect()
}

fn workspaces(settings: Option<&Effective>, scheduler: &Scheduler) -> Vec<InFlight> {
    let all = settings.iter().flat_map(|settings| &settings.workspaces);
    let limited = all.filter(|(_, workspace)| workspace.in_flight < u32::MAX);
    let counts = limited.map(|(key, workspace)| (workspace, scheduler.in_flight(key)));
    let busy = counts.filter(|(_, count)| *count > 0);
    busy.map(|(workspace, count)| InFlight { key: wire::key(&workspace.name), count }).collect()
}

fn frame(state: &State, to: &str) -> Frame {
    let mut own = own(state);
    own.cells = cells::sum(state, &own);
    let view = state.view.borrow();
    state.exchange.borrow_mut().build_frame(&own, to, &view, state.clock.now())
}

async fn exchange(weak: Weak<State>) {
    loop {
        let Some(state) = weak.upgrade() else { return };
        let period = state.settings().map_or(EXCHANGE, |settings| settings.limits.exchange);
        cells::follow(&state);
        let own = own(&state);
        for target in targets(&state, &own, period) {
            actix_rt::spawn(tell(state.clone(), target));
        }
        shares::apply(&state, &own);
        state.driver.run_actions();
        drop(state);
        tokio::time::sleep(period).await;
    }
}

fn targets(state: &State, own: &LocalState, period: Duration) -> Vec<Target> {
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    view.record_tick(now, period);
    if view.members().next().is_none() {
        let seeds = state.node.seeds.iter();
        return seeds
            .map(|address| Target { name: String::new(), address: address.to_string() })
            .collect();
    }
    let mut exchange = state.exchange.borrow_mut();
    if let Some(settings) = state.settings() {
        exchange.set_rate(settings.limits.control_bytes * FRAMES_PERCENT / 100);
    }
    exchange.next_targets(own, &view, now)
}

async fn tell(state: Rc<State>, target: Target) {
    let frame = frame(&state, &target.name);
    let bytes = frame.encode();
    state.exchange.borrow_mut().record_sent(bytes.len() + REQUEST_OVERHEAD_BYTES);
    let request = state.http.post(format!("http://{}/frame", target.address)).timeout(ANSWER);
    let request = request.insert_header((SECRET, state.node.secret.clone()));
    let Ok(mut response) = request.send_body(bytes).await else { return };
    if let Ok(body) = response.body().limit(LARGEST).await
        && let Ok(theirs) = Frame::decode(&body)
    {
        state.exchange.borrow_mut().record_delivery(&target.name, &frame, state.clock.now());
        heard(&state, theirs);
    }
}
