//! Writes the error responses that callers get before a request reaches the handler, in the same
//! format as the handler's own.

use std::fmt::Write;

/// Header with the request's id, which every response of the handler carries.
const REQUEST_ID: &str = "x-request-id";
/// Bytes at the start of a response that are searched for the request id's header.
const SEARCH_BYTES: usize = 1 << 10;
const STATUS_OFFSET: usize = "HTTP/1.1 ".len();

/// Errors as status, reason phrase, and a message that says what to do.
const ERRORS: [(&str, &str, &str); 4] = [
    (
        "400",
        "Bad Request",
        "this isn't a well-formed HTTP/1.1 request; send it as the standard says",
    ),
    (
        "408",
        "Request Timeout",
        "the head of the request didn't come whole in time; send it at once",
    ),
    (
        "431",
        "Request Header Fields Too Large",
        "the head is too large; send fewer or shorter headers",
    ),
    (
        "503",
        "Service Unavailable",
        "this node holds as many connections as it may; send the request again to another node",
    ),
];

/// The bytes of the response for `status`, after which the connection ends; `None` if the status
/// isn't one of [`ERRORS`].
pub(crate) fn error_response(status: &str) -> Option<Vec<u8>> {
    let (status, reason, message) = ERRORS.iter().find(|(known, ..)| *known == status)?;
    let id = ids::Request::new();
    let busy = *status == "503";
    let kind = if busy { "overloaded_error" } else { "invalid_request_error" };
    let body =
        format!(r#"{{"error":{{"message":"{message}","type":"{kind}","request_id":"{id}"}}}}"#);
    let mut text = format!("HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n");
    let retry_after = if busy { "retry-after: 1\r\n" } else { "" };
    let _ = write!(
        text,
        "content-length: {}\r\nconnection: close\r\n{REQUEST_ID}: {id}\r\nx-outcome: not-run\r\n\
         {retry_after}\r\n{body}",
        body.len()
    );
    Some(text.into_bytes())
}

/// The bytes to write in place of a response that the HTTP library made by itself; `None` if the
/// response is the handler's. The library's has no request id, outcome or body, so a caller could
/// neither tell what went wrong nor report the request to the operators.
pub(crate) fn library_response_replacement(written: &[u8]) -> Option<Vec<u8>> {
    if !written.starts_with(b"HTTP/1.") {
        return None;
    }
    let head = &written[..written.len().min(SEARCH_BYTES)];
    if head.windows(REQUEST_ID.len()).any(|part| part == REQUEST_ID.as_bytes()) {
        return None;
    }
    let status = written.get(STATUS_OFFSET..STATUS_OFFSET + 3)?;
    std::str::from_utf8(status).ok().and_then(error_response)
}
