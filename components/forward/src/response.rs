//! Finds the response that belongs to a request among those that come on its connection.

use std::rc::Rc;

use actix_http::ResponseHead;
use attribution::{Attributed, Naming};
use buffers::Share;
use catalog::Entry;
use http_client::Body;

use crate::adapter::{Adapter, ServerProtocol, Verdict};
use crate::attempt::{AttemptError, discard};
use crate::intake::Received;
use crate::state::State;
use crate::statements;

/// Responses to earlier messages that are skipped before the one that is due.
pub(crate) const MAX_SKIPPED: u32 = 16;

/// The connection of an attempt, as in logs.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    pub(crate) port: Option<u16>,
    /// Number of messages that it had carried before.
    pub(crate) carried: u32,
}

/// The response that belongs to a request.
pub(crate) struct Arrival {
    pub(crate) head: ResponseHead,
    pub(crate) body: Body,
    pub(crate) naming: Naming,
    pub(crate) verdict: Verdict,
    /// Proof that it belongs to the request.
    pub(crate) attributed: Attributed,
    /// Number of responses that were skipped before it.
    pub(crate) skipped: u32,
}

/// Skips responses to earlier requests, beginning with the one given, until the response to `received` comes.
///
/// # Errors
/// When there are too many of them, one doesn't end, or the connection fails.
pub(crate) async fn receive<A: Adapter>(
    state: &State<A>,
    received: &Received,
    server: &Rc<Entry>,
    source: Source,
    (mut head, mut body): (ResponseHead, Body),
    share: &mut Share,
) -> Result<Arrival, AttemptError> {
    let servers = &state.adapter.servers;
    for skipped in 0..=MAX_SKIPPED {
        let naming = servers.naming(&head, &received.call);
        let verdict = servers.check_response(&head, &received.call, server);
        if let Some(attributed) = body.attribute(naming, verdict.content()) {
            return Ok(Arrival { head, body, naming, verdict, attributed, skipped });
        }
        state.metrics.count_mismatched_answer();
        statements::record_skipped(state, server, &head, &verdict);
        log::warn!(
            request = received.call.id.as_str(), server = server.name.as_str(),
            status = head.status.as_u16(), connection = source.port, carried = source.carried,
            skipped = skipped; "a response that belongs to an earlier request is skipped"
        );
        if !discard(&mut body).await? {
            return Err(AttemptError::Lost("an answer to another request doesn't end".into()));
        }
        (head, body) = body.next_response(share).await?;
    }
    Err(AttemptError::Lost("the server responds to other requests".into()))
}
