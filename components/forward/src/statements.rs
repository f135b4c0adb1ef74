//! Applies what servers say of themselves in the heads of their answers.

use std::time::Instant;

use actix_http::ResponseHead;
use catalog::Entry;
use clock::Clock;
use policy::Incarnation;

use crate::adapter::{Adapter, ServerProtocol, StatedLimit, StatedRest, Statement, Verdict};
use crate::registry::{self, Registry};
use crate::state::State;
use crate::{brittle, limits};

/// Names of notices in logs and metrics.
const LEAVING: &str = "leaving";
const REST: &str = "rest";

/// Records what the head of an answer says of its server. The request was sent to `server` at `sent`.
pub(crate) fn record<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    head: &ResponseHead,
    verdict: &Verdict,
    statement: &Statement,
    sent: Instant,
) {
    if let Some(author) = author(&state.registry.borrow(), server, verdict, statement) {
        record_leaving(state, author, head, statement);
        record_rest(state, author, head, statement);
    }
    if !matches!(verdict, Verdict::Answer | Verdict::Declined) {
        return;
    }
    brittle::record_answer(state, server, statement.brittle, sent);
    // A server that declines or fails may omit its limit; that doesn't lift a limit stated before.
    if statement.rate_limit != StatedLimit::Unspecified || head.status.is_success() {
        limits::record_answer(state, server, &statement.rate_limit, sent);
    }
}

/// Records what the head of a response to an earlier request says of its server. That it leaves holds as long as it runs; the
/// rest holds for a time that may be over.
pub(crate) fn record_skipped<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    head: &ResponseHead,
    verdict: &Verdict,
) {
    let statement = state.adapter.servers.read_statement(head);
    if let Some(author) = author(&state.registry.borrow(), server, verdict, &statement) {
        record_leaving(state, author, head, &statement);
    }
}

/// The server that made a statement in answer to a request that was sent to `server`; none if it isn't known.
fn author<'a>(
    registry: &'a Registry,
    server: &'a Entry,
    verdict: &Verdict,
    statement: &Statement,
) -> Option<&'a Entry> {
    match &statement.name {
        Some(name) if *name == server.name => Some(server),
        Some(name) => registry.entry(name).map(|entry| &**entry),
        None => (!matches!(verdict, Verdict::Misdirected)).then_some(server),
    }
}

fn record_leaving<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    head: &ResponseHead,
    statement: &Statement,
) {
    if !statement.leaving {
        return;
    }
    let (incarnation, now) = (registry::incarnation(server), state.clock.now());
    if state.driver.scheduler.borrow_mut().record_leaving(incarnation, now) {
        log::info!(
            server = server.name.as_str(), service = server.service.as_str(), listed = !server.leaving,
            status = head.status.as_u16(); "server says that it leaves"
        );
        state.metrics.count_notice(LEAVING);
    }
}

fn record_rest<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    head: &ResponseHead,
    statement: &Statement,
) {
    let time = match &statement.rest {
        StatedRest::Unspecified => return,
        StatedRest::For(time) => *time,
        StatedRest::Malformed(text) => {
            log::warn!(
                server = server.name.as_str(), rest = text.as_str();
                "ignoring a time of rest that can't be parsed"
            );
            return;
        }
    };
    let (incarnation, now) = (registry::incarnation(server), state.clock.now());
    if state.driver.scheduler.borrow_mut().record_rest(incarnation, time, now) {
        log::info!(
            server = server.name.as_str(), service = server.service.as_str(),
            rest_ms = time.as_millis() as u64, status = head.status.as_u16();
            "server asks for rest"
        );
        state.metrics.count_notice(REST);
    }
}

/// Records what the head of a peer's answer says of the server that gave it.
pub(crate) fn record_from_peer<A: Adapter>(
    state: &State<A>,
    server: Incarnation,
    head: &ResponseHead,
) {
    if !state.adapter.servers.read_statement(head).leaving {
        return;
    }
    let now = state.clock.now();
    if state.driver.scheduler.borrow_mut().record_leaving(server, now) {
        log::info!(
            salt = server.salt, status = head.status.as_u16();
            "server says by way of a peer that it leaves"
        );
        state.metrics.count_notice(LEAVING);
    }
}

/// Counts and logs a request that is about to be sent to a server that has given a notice.
pub(crate) fn record_send<A: Adapter>(state: &State<A>, request: &str, server: &Entry) {
    let (incarnation, now) = (registry::incarnation(server), state.clock.now());
    let scheduler = state.driver.scheduler.borrow();
    if let Some(since) = scheduler.leaving_since(incarnation) {
        let age_ms = now.saturating_duration_since(since).as_millis() as u64;
        log::info!(
            request = request, server = server.name.as_str(), notice = LEAVING, age_ms = age_ms;
            "sent despite a notice"
        );
        state.metrics.count_sent_despite(LEAVING);
    }
    if let Some(until) = scheduler.rest_until(incarnation).filter(|until| now < *until) {
        let left_ms = (until - now).as_millis() as u64;
        log::info!(
            request = request, server = server.name.as_str(), notice = REST, left_ms = left_ms;
            "sent despite a notice"
        );
        state.metrics.count_sent_despite(REST);
    }
}
