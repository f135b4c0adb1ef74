//! Applies what servers say of themselves in the heads of their answers.

use std::time::Instant;

use actix_http::ResponseHead;
use catalog::Entry;

use crate::adapter::{Adapter, StatedLimit, Statement, Verdict};
use crate::state::State;
use crate::{brittle, limits};

/// Records what the head of an answer says of its server. The request was sent at `sent`.
pub(crate) fn record<A: Adapter>(
    state: &State<A>,
    server: &Entry,
    head: &ResponseHead,
    verdict: &Verdict,
    statement: &Statement,
    sent: Instant,
) {
    if !matches!(verdict, Verdict::Answer | Verdict::Declined) {
        return;
    }
    brittle::record_answer(state, server, statement.brittle, sent);
    // A server that declines or fails may omit its limit; that doesn't lift a limit stated before.
    if statement.rate_limit != StatedLimit::Unspecified || head.status.is_success() {
        limits::record_answer(state, server, &statement.rate_limit, sent);
    }
}
