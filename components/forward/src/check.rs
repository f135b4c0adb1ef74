//! Asks servers that have said that they leave, but aren't listed so, whether they still do.
//!
//! Which of them, and when, is decided in `policy::notices`: a server may have said so by mistake, or a former start of it.
//! It is asked for its health, which a server that leaves doesn't confirm and which isn't a request of a caller.

use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, ResponseHead, Uri};
use attribution::Message;
use buffers::Share;
use bytes::Bytes;
use catalog::Entry;
use clock::Clock;
use futures_util::future::join_all;
use http_client::Connection;

use crate::adapter::{Adapter, ServerProtocol, Statement};
use crate::attempt::CONNECT_TIMEOUT;
use crate::registry;
use crate::state::State;

/// Pause between two looks at which servers are to be asked.
const PAUSE: Duration = Duration::from_millis(200);
/// Time within which a server must answer. The question may wait for a slot.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the task that asks servers. It ends with the node.
pub(crate) fn start<A: Adapter>(state: &Rc<State<A>>) {
    actix_rt::spawn(run(Rc::downgrade(state)));
}

async fn run<A: Adapter>(weak: Weak<State<A>>) {
    while let Some(state) = weak.upgrade() {
        let due = state.driver.scheduler.borrow_mut().due_checks(state.clock.now());
        join_all(due.into_iter().map(|server| check(&state, server))).await;
        drop(state);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks a server, and lets it have requests again if it answers that it takes some.
async fn check<A: Adapter>(state: &State<A>, key: ids::Server) {
    let Some(server) = state.registry.borrow().server(key).cloned() else { return };
    let settings = state.settings.borrow().clone();
    let service = settings.as_ref().and_then(|settings| settings.services.get(&server.service));
    let Some(path) = service.and_then(|service| service.health_path.as_deref()) else { return };
    state.metrics.count_health_check();
    let share = state.buffers.share();
    let asked = state.clock.now();
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, ask(&server.address, path, share)).await;
    let Ok(Some(head)) = answer else { return };
    let statement = state.adapter.servers.read_statement(&head);
    let incarnation = registry::incarnation(&server);
    if stays(&server, &head, &statement)
        && state.driver.scheduler.borrow_mut().record_staying(incarnation, asked)
    {
        log::info!(server = server.name.as_str(); "server takes requests after all");
        state.driver.run_actions();
    }
}

/// Whether an answer shows that a server is healthy and doesn't leave.
fn stays(server: &Entry, head: &ResponseHead, statement: &Statement) -> bool {
    let is_own = statement.name.as_ref() == Some(&server.name);
    is_own && head.status.is_success() && !statement.leaving
}

/// The head of a server's answer to the question for its health.
async fn ask(address: &str, path: &str, mut share: Share) -> Option<ResponseHead> {
    let mut head = RequestHead::default();
    (head.method, head.uri) = (Method::GET, path.parse::<Uri>().ok()?);
    head.headers.insert(HOST, HeaderValue::from_str(address).ok()?);
    head.set_connection_type(ConnectionType::Close);
    let connection = Connection::connect(address, CONNECT_TIMEOUT).await.ok()?;
    let (head, _body) =
        connection.exchange(Message::Question, head, Bytes::new(), &mut share).await.ok()?;
    Some(head)
}
