//! Tells the interim responses that may stand before a response from the response itself.

use actix_http::{ResponseHead, StatusCode};

use crate::Error;

/// Most interim responses that are skipped before a response.
const MAX_INTERIM: u32 = 16;

/// Counts the interim responses before a response.
#[derive(Default)]
pub(crate) struct Interim {
    count: u32,
}

impl Interim {
    /// Whether `head` is that of an interim response, and another head follows. Such a response says nothing of the
    /// request's outcome, whatever headers it has.
    pub(crate) fn is_next(&mut self, head: &ResponseHead) -> Result<bool, Error> {
        if !head.status.is_informational() {
            return Ok(false);
        }
        self.count += 1;
        if head.status == StatusCode::SWITCHING_PROTOCOLS || self.count > MAX_INTERIM {
            return Err(Error::Interim(head.status.as_u16()));
        }
        Ok(true)
    }
}
