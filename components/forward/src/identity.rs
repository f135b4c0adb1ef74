//! Asks the process behind a connection when it started, before a stream is sent to it that may go on elsewhere.
//!
//! A server may start again under its name with other software, and serve before its entry says so. What the start that it
//! states shows of its software is decided in `origins`.

use std::time::Duration;

use attribution::Message;
use catalog::Entry;
use http_client::Connection;
use origins::Identity;

use crate::adapter::{Adapter, ServerProtocol};
use crate::attempt::{self, AttemptError};
use crate::state::State;

/// Time within which a server must say when it started; the request waits for it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Connections on which it is asked: an idle one may have been closed meanwhile.
const MAX_QUESTIONS: usize = 2;

/// Finds out which process is behind a connection to a server, on which `message` is to be sent. It is asked once for each
/// connection. If the connection is lost with the question, or the response couldn't be distinguished from earlier
/// ones, another connection is returned.
///
/// # Errors
/// When no other connection can be made.
pub(crate) async fn identify<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    connection: Connection,
    message: Message,
) -> Result<(Connection, Identity), AttemptError> {
    // Only engines say when they started.
    let is_asked = server.engine && server.started.is_some();
    if !is_asked || connection.stated_start().is_some() {
        let identity = Identity::judge(server.started, connection.stated_start());
        return Ok((connection, identity));
    }
    let messages = [Message::Question, message];
    let mut connection = connection;
    if !connection.history().admits(Message::Question) {
        state.pool.put_unused(&server.address, connection);
        connection = attempt::connect(state, server, &messages).await?;
    }
    for _ in 0..MAX_QUESTIONS {
        let asking = tokio::time::timeout(ANSWER_TIMEOUT, ask(state, server, connection)).await;
        let is_silent = asking.is_err();
        if let Ok(Some(kept)) = asking {
            connection = kept;
            break;
        }
        connection = attempt::connect(state, server, &messages).await?;
        if is_silent || connection.stated_start().is_some() {
            break;
        }
    }
    let identity = Identity::judge(server.started, connection.stated_start());
    if identity != Identity::Listed {
        log::info!(
            server = server.name.as_str(), listed = server.started,
            stated = connection.stated_start(), identity = identity.as_str();
            "a server isn't shown to be the listed one"
        );
    }
    Ok((connection, identity))
}

/// Asks for the start of a server; returns the connection, if it can be used again.
async fn ask<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    connection: Connection,
) -> Option<Connection> {
    let question = state.adapter.servers.self_report_request(server, None)?;
    state.metrics.count_identity_question();
    let (testimony, kept) = state.survival.exchange(connection, &question).await.ok()?;
    let mut connection = kept.body.into_connection(kept.outcome)?;
    if let Some(start) = testimony.start {
        connection.record_start(start);
    }
    Some(connection)
}
