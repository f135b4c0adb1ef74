//! Serves operators: health, readiness, metrics and status.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Request, Response, StatusCode};
use clock::Clock;
use policy::Status;
use serde_json::json;
use settings::Server;

use crate::answer::{self, Answer};
use crate::state::State;

/// Time within which a peer's frame must have been received for the peer to count as reachable: six
/// exchanges, the same as for its share of slots.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers one operator's request.
pub(crate) async fn handle(state: Rc<State>, request: Request) -> Answer {
    match request.path() {
        "/healthz" => text_response(StatusCode::OK, "alive\n"),
        "/readyz" if state.is_ready() => text_response(StatusCode::OK, "ready\n"),
        "/readyz" => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "no settings yet, or draining\n")
        }
        "/metrics" => text_response(StatusCode::OK, render_metrics(&state)),
        "/status" => answer::json(StatusCode::OK, &build_status(&state)),
        _ => text_response(StatusCode::NOT_FOUND, "see /healthz, /readyz, /metrics and /status\n"),
    }
}

fn text_response(status: StatusCode, body: impl Into<String>) -> Answer {
    Response::build(status).body(body.into()).map_into_boxed_body()
}

fn render_metrics(state: &State) -> String {
    let now = state.clock.now();
    let view = state.view.borrow();
    let is_recent = |at: Instant| now.saturating_duration_since(at) < PEER_TIMEOUT;
    let peers =
        view.members().filter(|(_, member)| member.last_received.is_some_and(is_recent)).count();
    let settings = state.settings();
    state.metrics.set_live_peers(peers);
    let demand = state.driver.scheduler.borrow().current_demand();
    for (key, class) in settings.iter().flat_map(|settings| &settings.classes) {
        let work = demand.iter().find(|work| work.class == key);
        let (waiting, sent) = work.map_or((0, 0), |work| (work.waiting, work.sent));
        state.metrics.set_request_counts(&class.name, waiting, sent);
    }
    state.metrics.render()
}

fn build_status(state: &State) -> serde_json::Value {
    let now = state.clock.now();
    let settings = state.settings();
    let scheduler = state.driver.scheduler.borrow();
    let view = state.view.borrow();
    let servers = settings.iter().flat_map(|settings| &settings.servers);
    let servers = servers.map(|(key, server)| {
        let peers = view.peers_in_flight(&server.name, now);
        server_status(server, scheduler.status(key, now), peers)
    });
    let demand = scheduler.current_demand();
    let classes = settings.iter().flat_map(|settings| &settings.classes).map(|(key, class)| {
        let work = demand.iter().find(|work| work.class == key);
        json!({
            "name": class.name,
            "waiting": work.map_or(0, |work| work.waiting),
            "in_flight": work.map_or(0, |work| work.sent),
        })
    });
    let members = view.members().map(|(name, member)| {
        let age = member.last_received.map(|at| millis(now.saturating_duration_since(at)));
        json!({"name": name, "address": member.address, "heard_ms_ago": age})
    });
    json!({
        "node": state.node.name,
        "ready": state.is_ready(),
        "draining": state.draining.get(),
        "revision": settings.as_ref().map(|s| s.revision),
        "digest": settings.as_ref().map(|s| format!("{:016x}", s.digest)),
        "refused": *state.refusal.borrow(),
        "settings": state.revisions.status(&state.node.name, &state.node.domain, now),
        "held": state.open_requests(),
        "waiting": scheduler.waiting(),
        "classes": classes.collect::<Vec<_>>(),
        "servers": servers.collect::<Vec<_>>(),
        "members": members.collect::<Vec<_>>(),
    })
}

/// What this node knows of a backend server, and the age of its last load report.
fn server_status(server: &Server, status: Option<Status>, peers: u32) -> serde_json::Value {
    let Some(status) = status else {
        return json!({"name": server.name, "unused": "not known to the decisions yet"});
    };
    json!({
        "name": server.name,
        "in_flight": status.sent,
        "in_flight_at_peers": peers,
        "places": status.slots,
        "load": (status.load * 100.0).round() / 100.0,
        "token_interval_ms": millis(status.interval),
        "reported_ms_ago": status.age.map(millis),
        "unused": status.unused.map(|unused| unused.as_str()),
    })
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
