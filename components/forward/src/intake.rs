//! Receives a request: matches its route and workspace, checks its size, and reads its body.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use attribution::{Message, Tag};
use bytes::{Bytes, BytesMut};
use catalog::{Denied, Kind, Match, Settings};
use clock::Clock;
use futures_util::StreamExt;
use policy::{Prior, Subject};
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::{Adapter, Call, Malformed};
use crate::answer::Error;
use crate::state::{OpenRequest, State, Timestamp};

/// Bodies may take this fraction of a node's memory: one in so many. Each body is in memory once here
/// and, while it is sent, once more in the connection's buffer.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Time that a request waits for the settings at a node that is starting. A seed and the store
/// together answer within it, and the caller has as much time left to retry at another node.
const STARTUP_WAIT: Duration = Duration::from_millis(300);

/// A request that was received whole and may be served.
pub(crate) struct Received {
    pub(crate) call: Call,
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    /// Its route and workspace.
    pub(crate) found: Match,
    /// Revision of the settings by which it is served.
    pub(crate) revision: u64,
    pub(crate) arrived: Timestamp,
    /// Time from its arrival within which the answer must end.
    pub(crate) time_limit: Duration,
    /// Hash of its content and workspace, the same for each try of the caller, and the parts of its prompt.
    pub(crate) subject: Subject,
    pub(crate) request: policy::Request,
    /// Key that stands for the service as a whole that serves it.
    pub(crate) service: ids::Model,
    /// How it came from a peer; none if it came from its caller.
    pub(crate) hop: Option<Hop>,
    /// Number of times that this node sent it to a server.
    pub(crate) arrivals: Cell<u32>,
    /// A server began to answer it.
    pub(crate) began: Cell<bool>,
}

derives::value! {
    /// How a request came from a peer, which it isn't passed on to any other.
    pub(crate) struct Hop {
        /// Revision of the settings by which the peer accepted it.
        pub(crate) revision: u64,
        /// An earlier attempt may have run it.
        pub(crate) may_have_run: bool,
        /// Its earlier attempts.
        pub(crate) prior: Prior,
    }
}

impl Received {
    pub(crate) fn route(&self) -> &catalog::Route {
        &self.found.route
    }

    /// What it is on a connection.
    pub(crate) fn message(&self) -> Message {
        Message::Request(Tag::new(&self.call.id))
    }

    /// The fingerprint as written in logs.
    pub(crate) fn fingerprint_hex(&self) -> String {
        format!("{:016x}", self.subject.content)
    }

    /// The parts of its prompt that other requests share, as written in logs: their ids in order.
    pub(crate) fn shared_parts(&self) -> String {
        let ids = self.call.prompt.shared_parts().iter().map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Time left until the answer must end, which is also before the node stops.
    pub(crate) fn time_left<A: Adapter>(&self, state: &State<A>) -> Duration {
        let own = self.time_limit.saturating_sub(state.elapsed_since(self.arrived));
        state.time_until_responses().map_or(own, |stop| stop.min(own))
    }

    /// Whether its answer is a stream that another server may continue.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route().kind == Kind::Stream { resumable: true }
    }

    /// Proof that the request may run more than once, if its route allows that.
    pub(crate) fn repeatable(&self) -> Option<lifecycle::Repeatable> {
        let may_have_run = self.hop.is_some_and(|hop| hop.may_have_run);
        lifecycle::Repeatable::if_idempotent(self.route().kind.is_repeatable() && !may_have_run)
    }
}

/// Receives a request whose head was parsed: matches its route and workspace, checks its size, and
/// reads its body.
pub(crate) async fn receive<A: Adapter>(
    state: &Rc<State<A>>,
    mut head: Request,
    call: Result<Call, Malformed>,
    arrived: Timestamp,
    open: &mut OpenRequest<A>,
) -> Result<Received, Error> {
    let settings = wait_for_settings(state).await.ok_or(Error::SettingsTooOld)?;
    check_sizes(&head, &settings)?;
    let call = call.map_err(|Malformed(what)| Error::Malformed(what))?;
    let found = find_route(state, &settings, &call)?;
    let time_limit = call.timeout.min(found.route.timeout);
    let body = state.stop.timeout(time_limit, read_body(state, &mut head, &settings, open)).await;
    let late = || if state.stop.is_responding() { Error::Stopping } else { Error::BodyTimeout };
    let body = body.map_err(|_| late())??;
    listen::mark_body_received(&head);
    let received = admit(state, &settings, Content { head, call, body }, found, arrived, None)?;
    if !state.accepts(&received) {
        return Err(Error::Stopping);
    }
    Ok(received)
}

/// Admits a request that a peer received whole and passed on. By older settings than the peer's it isn't served.
pub(crate) async fn receive_from_peer<A: Adapter>(
    state: &Rc<State<A>>,
    content: Content,
    arrived: Timestamp,
    hop: Hop,
) -> Result<Received, Error> {
    let settings = wait_for_settings(state).await.ok_or(Error::SettingsTooOld)?;
    if settings.revision < hop.revision {
        return Err(Error::SettingsTooOld);
    }
    let found = find_route(state, &settings, &content.call)?;
    admit(state, &settings, content, found, arrived, Some(hop))
}

/// A request as it was received.
pub(crate) struct Content {
    pub(crate) head: Request,
    pub(crate) call: Call,
    pub(crate) body: Bytes,
}

/// Describes a request that was received whole to the scheduler.
fn admit<A: Adapter>(
    state: &Rc<State<A>>,
    settings: &Settings,
    content: Content,
    found: Match,
    arrived: Timestamp,
    hop: Option<Hop>,
) -> Result<Received, Error> {
    let Content { head, call, body } = content;
    let time_limit = call.timeout.min(found.route.timeout);
    if call.prompt.tokens > 0 {
        state.crossing.record_request_bytes(body.len(), state.clock.now());
    }
    let (mut request, service) =
        scheduler_request(state, settings, &call, &found, arrived, time_limit)?;
    request.idempotent &= !hop.is_some_and(|hop| hop.may_have_run);
    request.prior = hop.map(|hop| hop.prior).unwrap_or_default();
    let shared = call.prompt.shared_parts().iter().map(|part| part.id);
    let subject = Subject::new(fingerprint(&head, &call, &found, &body), shared);
    let revision = settings.revision;
    Ok(Received {
        call,
        head,
        body,
        found,
        revision,
        arrived,
        time_limit,
        subject,
        request,
        service,
        hop,
        arrivals: Cell::new(0),
        began: Cell::new(false),
    })
}

/// Hash of the request's content and workspace.
fn fingerprint(head: &Request, call: &Call, found: &Match, body: &[u8]) -> u64 {
    let workspace = found.workspace.as_ref().map_or("", |workspace| &workspace.name);
    let target = head.uri().path_and_query().map_or(call.path.as_str(), |target| target.as_str());
    let texts = [workspace, head.method().as_str(), &call.host, target].map(str::as_bytes);
    let [workspace, method, host, target] = texts;
    driver::fingerprint(&[workspace, method, host, target, body])
}

/// The settings in force; waits for them at a node that is starting, which receives them within some
/// tens of milliseconds. If it refused requests at once, callers that retry once or twice would use up
/// their retries, all of them at the same time after a power loss of all nodes.
async fn wait_for_settings<A: Adapter>(state: &State<A>) -> Option<Rc<Settings>> {
    let settings = || state.settings.borrow().clone();
    let read = async {
        while !state.replica.borrow().is_loaded() || settings().is_none() {
            state.contact.updated.notified().await;
        }
    };
    let _ = tokio::time::timeout(STARTUP_WAIT, read).await;
    settings()
}

/// Finds the route and workspace of a call. If the settings may be out of date, calls can't be denied
/// by them, nor can keys be accepted.
fn find_route<A: Adapter>(
    state: &State<A>,
    settings: &Settings,
    call: &Call,
) -> Result<Match, Error> {
    let found = settings.match_request(&call.host, &call.path, call.key.as_deref());
    let fresh = state.is_fresh();
    match found {
        Ok(found) if found.workspace.is_none() || fresh => Ok(found),
        Err(Denied::NoRoute) if fresh => Err(Error::NoRoute),
        Err(Denied::UnknownKey) if fresh => Err(Error::UnknownKey),
        Ok(_) | Err(_) => Err(Error::SettingsTooOld),
    }
}

/// Refuses a request whose head, or whose announced body, is too large.
fn check_sizes(request: &Request, settings: &Settings) -> Result<(), Error> {
    if listen::head_size(request) > settings.limits.max_head {
        return Err(Error::HeadTooLarge(settings.limits.max_head));
    }
    if listen::content_length(request).is_some_and(|length| length > settings.limits.max_body) {
        return Err(Error::BodyTooLarge(settings.limits.max_body));
    }
    Ok(())
}

/// Reads a body to its end, within the limits on one body and on all of them together.
async fn read_body<A: Adapter>(
    state: &State<A>,
    request: &mut Request,
    settings: &Settings,
    open: &mut OpenRequest<A>,
) -> Result<Bytes, Error> {
    let max_bytes = (state.node().room.memory_mb << 20) / BODY_MEMORY_DIVISOR;
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(bytes) = payload.next().await {
        let broken = |_| Error::Malformed("its body ends early or isn't well formed".to_string());
        let bytes = bytes.map_err(broken)?;
        if body.len() + bytes.len() > settings.limits.max_body {
            return Err(Error::BodyTooLarge(settings.limits.max_body));
        }
        open.add_body_bytes(bytes.len());
        if state.body_bytes.get() as u64 > max_bytes {
            return Err(Error::NodeFull);
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
}

/// The request as the scheduler needs it.
fn scheduler_request<A: Adapter>(
    state: &State<A>,
    settings: &Settings,
    call: &Call,
    found: &Match,
    arrived: Timestamp,
    time_limit: Duration,
) -> Result<(policy::Request, ids::Model), Error> {
    // The last part belongs to this request or session; the parts before it are shared.
    let shared = call.prompt.parts.len().checked_sub(2).map(|index| call.prompt.parts[index].id);
    // Each try of a stream goes to the service that began it.
    let begun_by = call.resumes.as_ref().unwrap_or(&call.id);
    let session = shared.unwrap_or_else(|| xxh3_64(begun_by.as_bytes()));
    let service = found.route.service(session).ok_or(Error::RouteUnusable)?;
    let residency = found.residency();
    if residency.regions().is_some() {
        state.metrics.count_bound_request();
    }
    let mut registry = state.registry.borrow_mut();
    let model = registry.requested_model(service, call.model.as_deref());
    let (class, workspace) = registry.register_class_and_workspace(
        &mut state.driver.scheduler.borrow_mut(),
        settings,
        found,
    );
    let time_left = time_limit.saturating_sub(state.elapsed_since(arrived));
    let request = policy::Request {
        class,
        workspace,
        model,
        service: registry.service_key(service),
        prefix: session,
        prompt_tokens: call.prompt.tokens,
        shared: call.prompt.shared_parts().to_vec(),
        max_tokens: call.prompt.max_tokens,
        length_hint: call.prompt.length_hint,
        arrived: arrived.at,
        deadline: state.clock.now() + time_left,
        idempotent: found.route.kind.is_repeatable(),
        region: state.region,
        regions: registry.allowed_regions(&residency),
        version: None,
        prior: Prior::default(),
    };
    Ok((request, registry.service_key(service)))
}
