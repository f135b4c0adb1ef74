//! Reads the bodies of requests and tells the sizes that their heads state.

use actix_http::body::BoxBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

/// Bytes of a header line beside its name and value: the colon, a space, CR and LF.
const HEADER_OVERHEAD: usize = 4;

derives::value! {
    /// Why a request's body couldn't be read.
    pub enum BodyError {
        /// The body is larger than the limit.
        TooLarge,
        /// The body ended early or isn't well formed.
        Malformed,
    }
}

impl BodyError {
    /// The response to a peer: a status with an empty body, because no person reads it.
    pub fn response(self) -> Response<BoxBody> {
        let status = match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Malformed => StatusCode::BAD_REQUEST,
        };
        Response::new(status).map_into_boxed_body()
    }
}

/// Size of a request's head in bytes: its target and its headers.
///
/// ```
/// assert_eq!(listen::head_size(&actix_http::Request::new()), "/".len());
/// ```
pub fn head_size(request: &Request) -> usize {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD);
    let target = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    headers.sum::<usize>() + target
}

/// Length of the body in bytes as the `Content-Length` header states it; `None` if the header is
/// missing or isn't a number.
///
/// ```
/// assert_eq!(listen::content_length(&actix_http::Request::new()), None);
/// ```
pub fn content_length(request: &Request) -> Option<usize> {
    let length = request.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Reads the whole body of a request, of at most `max_bytes` bytes.
///
/// # Errors
/// When the body is larger, ends early or isn't well formed.
pub async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(bytes) = payload.next().await {
        let bytes = bytes.map_err(|_| BodyError::Malformed)?;
        if body.len() + bytes.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body.freeze())
}
