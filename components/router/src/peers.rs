//! Exchanges gossip frames with the other routers and serves their other calls. Requests without the
//! shared secret are rejected.

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

/// Header with the nodes' shared secret.
pub(crate) const SECRET_HEADER: &str = "x-peer-secret";
/// Time between two exchanges until there are settings.
const DEFAULT_EXCHANGE_PERIOD: Duration = Duration::from_millis(500);
/// Time for a peer to answer; one that doesn't is tried again when it is its turn.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Largest frame that is accepted.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// Percentage of the rate for control traffic that frames may use; polls of load reports use the rest.
pub(crate) const FRAMES_PERCENT: u32 = 60;

/// Starts the exchange of frames; it ends with the router.
pub(crate) fn start(state: &Rc<State>) {
    actix_rt::spawn(exchange_frames(Rc::downgrade(state)));
}

/// Answers a peer's request; a frame is answered with this node's own.
pub(crate) async fn handle(state: Rc<State>, mut request: Request) -> Answer {
    let secret =
        request.headers().get(SECRET_HEADER).map(|value| value.as_bytes()).unwrap_or_default();
    if !bool::from(secret.ct_eq(state.node.secret.as_bytes())) {
        return Response::new(StatusCode::FORBIDDEN).map_into_boxed_body();
    }
    match request.path() {
        keyed::PATH => return keyed::handle(state, request).await,
        handover::PATH => return handover::handle(state, request).await,
        path if path.starts_with(revisions::PATH_PREFIX) => {
            return revisions::handle(state, &request).await;
        }
        _ => {}
    }
    let body = match listen::read_body(&mut request, MAX_FRAME_BYTES).await {
        Ok(body) => body,
        Err(error) => return error.response(),
    };
    let theirs = match Frame::decode(&body) {
        Ok(theirs) => theirs,
        Err(cause) => {
            log::warn!(cause:% = cause; "peer sent a malformed frame");
            return Response::new(StatusCode::BAD_REQUEST).map_into_boxed_body();
        }
    };
    let peer = theirs.from.clone();
    receive(&state, theirs);
    let frame = build_frame(&state, &peer);
    let bytes = frame.encode();
    let mut exchange = state.exchange.borrow_mut();
    exchange.record_sent(bytes.len() + ANSWER_OVERHEAD_BYTES);
    exchange.record_delivery(&peer, &frame, state.clock.now());
    Response::build(StatusCode::OK).body(bytes).map_into_boxed_body()
}

/// Applies a peer's frame, and passes new load reports in it to the scheduler.
fn receive(state: &State, theirs: Frame) {
    if theirs.from == state.node.name {
        return;
    }
    let mut view = state.view.borrow_mut();
    view.receive(theirs, state.clock.now());
    let updates = view.take_load_updates();
    drop(view);
    updates.iter().for_each(|report| engines::apply_report(state, report));
}

/// What this node reports of itself to its peers.
pub(crate) fn local_state(state: &State) -> LocalState {
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
        address: state.peer_address.borrow().clone(),
        domain: state.node.domain.clone(),
        incarnation: state.incarnation,
        revision: settings.as_ref().map_or(0, |settings| settings.revision),
        digest: settings.as_ref().map_or(0, |settings| settings.digest),
        leaving: state.draining.get(),
        in_flight: counts.filter(|row| row.count > 0).collect(),
        demand,
        queued: queued_requests(settings.as_deref(), &scheduler),
        workspaces: workspaces_in_flight(settings.as_deref(), &scheduler),
        suspects: state.unroutable.borrow().iter().copied().collect(),
        cells: vec![],
    }
}

fn queued_requests(settings: Option<&Effective>, scheduler: &Scheduler) -> Vec<wire::Queued> {
    let Some(settings) = settings else { return vec![] };
    let row = |wait: policy::Wait| wire::Queued {
        model: wire::key(settings.model_names.name(wait.model)),
        tier: wait.tier,
        count: wait.count,
    };
    scheduler.waits_by_model().into_iter().map(row).collect()
}

fn workspaces_in_flight(settings: Option<&Effective>, scheduler: &Scheduler) -> Vec<InFlight> {
    let all = settings.iter().flat_map(|settings| &settings.workspaces);
    let limited = all.filter(|(_, workspace)| workspace.in_flight < u32::MAX);
    let counts = limited.map(|(key, workspace)| (workspace, scheduler.in_flight(key)));
    let busy = counts.filter(|(_, count)| *count > 0);
    busy.map(|(workspace, count)| InFlight { key: wire::key(&workspace.name), count }).collect()
}

fn build_frame(state: &State, to: &str) -> Frame {
    let mut own = local_state(state);
    own.cells = cells::load_by_tier(state, &own);
    let view = state.view.borrow();
    state.exchange.borrow_mut().build_frame(&own, to, &view, state.clock.now())
}

async fn exchange_frames(weak: Weak<State>) {
    loop {
        let Some(state) = weak.upgrade() else { return };
        let period =
            state.settings().map_or(DEFAULT_EXCHANGE_PERIOD, |settings| settings.limits.exchange);
        cells::update(&state);
        let own = local_state(&state);
        for target in next_targets(&state, &own, period) {
            actix_rt::spawn(send_frame(state.clone(), target));
        }
        shares::update(&state, &own);
        state.driver.run_actions();
        drop(state);
        tokio::time::sleep(period).await;
    }
}

/// The peers to send a frame to now; the configured seeds while no peer is known.
fn next_targets(state: &State, own: &LocalState, period: Duration) -> Vec<Target> {
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

async fn send_frame(state: Rc<State>, target: Target) {
    let frame = build_frame(&state, &target.name);
    let bytes = frame.encode();
    state.exchange.borrow_mut().record_sent(bytes.len() + REQUEST_OVERHEAD_BYTES);
    let request =
        state.peer_client.post(format!("http://{}/frame", target.address)).timeout(TIMEOUT);
    let request = request.insert_header((SECRET_HEADER, state.node.secret.clone()));
    let Ok(mut response) = request.send_body(bytes).await else { return };
    if let Ok(body) = response.body().limit(MAX_FRAME_BYTES).await
        && let Ok(theirs) = Frame::decode(&body)
    {
        state.exchange.borrow_mut().record_delivery(&target.name, &frame, state.clock.now());
        receive(&state, theirs);
    }
}
