//! Limits on what one request brings in.

use actix_http::Request;
use bytes::Bytes;
use listen::BodyError;
use settings::Limits;

use crate::answer::Error;

/// Refuses a head that is too large.
pub(crate) fn head(request: &Request, limits: &Limits) -> Result<(), Error> {
    if listen::head_size(request) > limits.max_head {
        return Err(Error::Head(limits.max_head));
    }
    Ok(())
}

/// Reads a body whole, within its limits of size and time.
pub(crate) async fn body(request: &mut Request, limits: &Limits) -> Result<Bytes, Error> {
    let large = || Error::Large(limits.max_body);
    if listen::content_length(request).is_some_and(|length| length > limits.max_body) {
        return Err(large());
    }
    let all = listen::read_body(request, limits.max_body);
    let read = tokio::time::timeout(limits.body_time, all).await.map_err(|_| Error::Slow)?;
    let body = read.map_err(|unread| match unread {
        BodyError::TooLarge => large(),
        BodyError::Malformed => Error::Body("its chunks can't be read".to_string()),
    })?;
    listen::mark_body_received(request);
    Ok(body)
}
