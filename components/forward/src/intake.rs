//! Takes a request in: whose it is, where it belongs, and its body.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use bytes::{Bytes, BytesMut};
use catalog::{Book, Denied, Found};
use clock::Clock;
use futures_util::StreamExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::adapter::{Adapter, Call, Malformed};
use crate::answer::Error;
use crate::state::{OpenRequest, State, Timestamp};

/// Part of a node's memory that bodies may take together: each is held once here and, while it is
/// sent, once more in the connection's buffer.
const BODIES: u64 = 4;

/// Time that a request waits for a node which starts to know what is in force: a seed and the store
/// together have answered within it, and callers have as much left to go elsewhere.
const STARTING: Duration = Duration::from_millis(300);

/// A request that was taken in.
pub(crate) struct Job {
    pub(crate) call: Call,
    pub(crate) head: Request,
    pub(crate) body: Bytes,
    pub(crate) found: Found,
    pub(crate) revision: u64,
    pub(crate) arrived: Timestamp,
    /// Time from its arrival in which the answer must have ended.
    pub(crate) limit: Duration,
    /// Hash of what it asks, the same for each try of it.
    pub(crate) content: u64,
    pub(crate) request: policy::Request,
}

impl Job {
    pub(crate) fn route(&self) -> &catalog::Route {
        &self.found.route
    }

    /// What it asks, as logs name it.
    pub(crate) fn content_name(&self) -> String {
        format!("{:016x}", self.content)
    }

    /// Time that is left for its answer.
    pub(crate) fn left<A: Adapter>(&self, state: &State<A>) -> Duration {
        self.limit.saturating_sub(state.elapsed_since(self.arrived))
    }

    /// Proof that it may run more than once, if it may.
    pub(crate) fn repeatable(&self) -> Option<life::Repeatable> {
        life::Repeatable::when(self.route().kind.repeatable())
    }
}

/// Takes a request in.
pub(crate) async fn take<A: Adapter>(
    state: &Rc<State<A>>,
    mut head: Request,
    call: Result<Call, Malformed>,
    arrived: Timestamp,
    held: &mut OpenRequest<A>,
) -> Result<Job, Error> {
    let book = book(state).await.ok_or(Error::Stale)?;
    sized(&head, &book)?;
    let call = call.map_err(|Malformed(what)| Error::Malformed(what))?;
    let found = find(state, &book, &call)?;
    let limit = call.timeout.min(found.route.timeout);
    let body = tokio::time::timeout(limit, body(state, &mut head, &book, held)).await;
    let body = body.map_err(|_| Error::Slow)??;
    listen::received(&head);
    if call.prompt.tokens > 0 {
        state.crossing.record_sent(body.len(), state.clock.now());
    }
    let request = request(state, &book, &call, &found, arrived, limit)?;
    let content = content(&head, &call, &found, &body);
    let revision = book.revision;
    Ok(Job { call, head, body, found, revision, arrived, limit, content, request })
}

fn content(head: &Request, call: &Call, found: &Found, body: &[u8]) -> u64 {
    let workspace = found.workspace.as_ref().map_or("", |workspace| &workspace.name);
    let target = head.uri().path_and_query().map_or(call.path.as_str(), |target| target.as_str());
    let texts = [workspace, head.method().as_str(), &call.host, target].map(str::as_bytes);
    let [workspace, method, host, target] = texts;
    turns::fingerprint(&[workspace, method, host, target, body])
}

/// What is in force. A node that has just started knows it within some tens of milliseconds; whoever
/// comes before waits for it. Refused at once, callers who try again once or twice would have used that
/// up, and all come together where all nodes lost power.
async fn book<A: Adapter>(state: &State<A>) -> Option<Rc<Book>> {
    let held = || state.settings.borrow().clone();
    let read = async {
        while !state.loaded.get() || held().is_none() {
            state.updated.notified().await;
        }
    };
    let _ = tokio::time::timeout(STARTING, read).await;
    held()
}

/// Where a call belongs. What a node holds may be too old to deny a call, or to believe a key.
fn find<A: Adapter>(state: &State<A>, book: &Book, call: &Call) -> Result<Found, Error> {
    let found = book.find(&call.host, &call.path, call.key.as_deref());
    let fresh = state.is_fresh();
    match found {
        Ok(found) if found.workspace.is_none() || fresh => Ok(found),
        Err(Denied::Route) if fresh => Err(Error::Route),
        Err(Denied::Key) if fresh => Err(Error::Key),
        Ok(_) | Err(_) => Err(Error::Stale),
    }
}

/// Refuses a request whose head is too large, or that announces a body which is.
fn sized(request: &Request, book: &Book) -> Result<(), Error> {
    if listen::head(request) > book.intake.head {
        return Err(Error::Head(book.intake.head));
    }
    if listen::announced(request).is_some_and(|length| length > book.intake.body) {
        return Err(Error::Large(book.intake.body));
    }
    Ok(())
}

/// Reads a body whole.
async fn body<A: Adapter>(
    state: &State<A>,
    request: &mut Request,
    book: &Book,
    held: &mut OpenRequest<A>,
) -> Result<Bytes, Error> {
    let most = (state.node().room.memory_mb << 20) / BODIES;
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(bytes) = payload.next().await {
        let broken = |_| Error::Malformed("its body ends early or isn't well formed".to_string());
        let bytes = bytes.map_err(broken)?;
        if body.len() + bytes.len() > book.intake.body {
            return Err(Error::Large(book.intake.body));
        }
        held.add_body_bytes(bytes.len());
        if state.body_bytes.get() as u64 > most {
            return Err(Error::Full);
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
}

/// A request as the decisions see it.
fn request<A: Adapter>(
    state: &State<A>,
    book: &Book,
    call: &Call,
    found: &Found,
    arrived: Timestamp,
    limit: Duration,
) -> Result<policy::Request, Error> {
    // The last part is the request's own; what comes before it is shared.
    let shared = call.prompt.parts.len().checked_sub(2).map(|index| call.prompt.parts[index].id);
    let session = shared.unwrap_or_else(|| xxh3_64(call.id.as_bytes()));
    let service = found.route.service(session).ok_or(Error::Route)?;
    let mut names = state.registry.borrow_mut();
    let model = names.model(service, call.model.as_deref());
    let (class, workspace) =
        names.class_and_workspace(&mut state.driver.scheduler.borrow_mut(), book, found);
    let left = limit.saturating_sub(state.elapsed_since(arrived));
    Ok(policy::Request {
        class,
        workspace,
        model,
        prefix: session,
        prompt_tokens: call.prompt.tokens,
        shared: call.prompt.shared_parts().to_vec(),
        max_tokens: call.prompt.max_tokens,
        arrived: arrived.at,
        deadline: state.clock.now() + left,
        idempotent: found.route.kind.repeatable(),
        region: state.region,
    })
}
