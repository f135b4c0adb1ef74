//! Enforces the limits on the size of a request and on the time to read it.

use actix_http::Request;
use bytes::Bytes;
use listen::BodyError;
use settings::Limits;

use crate::answer::Error;

/// Rejects a head that is too large.
pub(crate) fn check_head(request: &Request, limits: &Limits) -> Result<(), Error> {
    if listen::head_size(request) > limits.max_head {
        return Err(Error::HeadTooLarge(limits.max_head));
    }
    Ok(())
}

/// Reads the whole body within the limits of size and time.
pub(crate) async fn read_body(request: &mut Request, limits: &Limits) -> Result<Bytes, Error> {
    let too_large = || Error::BodyTooLarge(limits.max_body);
    if listen::content_length(request).is_some_and(|length| length > limits.max_body) {
        return Err(too_large());
    }
    let reading = listen::read_body(request, limits.max_body);
    let read =
        tokio::time::timeout(limits.body_time, reading).await.map_err(|_| Error::BodyTooSlow)?;
    let body = read.map_err(|error| match error {
        BodyError::TooLarge => too_large(),
        BodyError::Malformed => Error::Body("its chunks can't be read".to_string()),
    })?;
    listen::mark_body_received(request);
    Ok(body)
}
