//! Serves the listener for operators: liveness, readiness for the load balancer, metrics, status, and where a request would
//! be sent.

mod route;

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode};

use crate::adapter::Adapter;
use crate::answer::Answer;
use crate::state::State;

/// Answers one request.
pub(crate) async fn handle<A: Adapter>(state: Rc<State<A>>, request: Request) -> Answer {
    match request.path() {
        "/healthz" => Response::new(StatusCode::OK).map_into_boxed_body(),
        "/readyz" if state.ready() => Response::new(StatusCode::OK).map_into_boxed_body(),
        "/readyz" => Response::new(StatusCode::SERVICE_UNAVAILABLE).map_into_boxed_body(),
        "/metrics" => text_response(state.metrics.render()),
        "/route" => route::answer(&state, &request),
        "/status" => text_response(status_json(&state).to_string()),
        _ => Response::new(StatusCode::NOT_FOUND).map_into_boxed_body(),
    }
}

fn text_response(body: String) -> Answer {
    Response::build(StatusCode::OK).body(body).map_into_boxed_body()
}

/// The node's settings revision and its view of each server.
fn status_json<A: Adapter>(state: &State<A>) -> serde_json::Value {
    use clock::Clock;
    let now = state.clock.now();
    let scheduler = state.driver.scheduler.borrow();
    let registry = state.registry.borrow();
    let servers = registry.servers().map(|(key, entry)| {
        let status = scheduler.status(key, now);
        serde_json::json!({
            "name": entry.name,
            "service": entry.service,
            "domain": entry.domain,
            "address": entry.address,
            "leaving": entry.leaving,
            "evacuated": state.is_evacuated(&entry.domain),
            "cold": scheduler.is_cold(key, now),
            "sent": status.as_ref().map(|status| status.sent),
            "unused": status.and_then(|status| status.unused).map(|unused| unused.as_str()),
        })
    });
    let evacuated = state.evacuations.all().into_iter().map(|(domain, since)| {
        let since_ms = now.saturating_duration_since(since).as_millis() as u64;
        serde_json::json!({ "domain": domain, "since_ms": since_ms })
    });
    let replica = state.replica.borrow();
    let position = replica.position();
    serde_json::json!({
        "node": state.node().name,
        "ready": state.ready(),
        "draining": state.draining.get(),
        "revision": state.settings.borrow().as_ref().map(|settings| settings.revision),
        "age_ms": state.proof_age_ms(),
        "path": state.contact.path.borrow().to_string(),
        "era": position.map(|position| position.era),
        "position": position.map(|position| position.revision),
        "overruled": replica.overruled_keys().collect::<Vec<_>>(),
        "held": state.open_requests(),
        "quarantined": state.crashes.quarantine.borrow().blocked_count(now),
        "without": state.node().disabled,
        "waiting": scheduler.waiting(),
        "evacuated": evacuated.collect::<Vec<_>>(),
        "servers": servers.collect::<Vec<_>>(),
    })
}
