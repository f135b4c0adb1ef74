//! Streams whose events say which version of a server's software wrote them, and callers that read them.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::Step;

/// In the heads of requests that resume a stream after its first event.
pub const RESUMED: &str = "last-event-id: 1\r\n";
/// The end of a body in chunks.
const END: &str = "0\r\n\r\n";

/// An event of a stream that a server of a version wrote, as a chunk of a body.
///
/// ```
/// assert_eq!(fakes::versions::event(1, "v2"), "13\r\nid: 1\ndata: w1-v2\n\n\r\n");
/// ```
pub fn event(id: u32, version: &str) -> String {
    let text = format!("id: {id}\ndata: w{id}-{version}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The second and last event of a stream, with its end.
pub fn rest(version: &str) -> String {
    event(2, version) + END
}

/// Steps of a server of a version: it sends `head` and the first event of a stream and then follows `then`, or the
/// rest of a stream that is resumed.
pub fn steps(head: &str, version: &str, then: Vec<Step>) -> Vec<Step> {
    let resumed = Step::Write(format!("{head}{}", rest(version)));
    let begin = Step::Write(format!("{head}{}", event(1, version)));
    let begins = vec![Step::Run, Step::IfHead(RESUMED.to_string(), vec![resumed]), begin];
    [begins, then].concat()
}

/// The versions that wrote the events in a text, in order.
///
/// ```
/// let text = fakes::versions::event(1, "v1") + &fakes::versions::rest("v2");
/// assert_eq!(fakes::versions::written_by(&text), ["v1", "v2"]);
/// ```
pub fn written_by(text: &str) -> Vec<&str> {
    let events = text.split("data: w").skip(1).filter_map(|event| event.split_once('\n'));
    events.filter_map(|(event, _)| Some(event.split_once('-')?.1)).collect()
}

/// A caller's connection, and what it has read of the answer.
pub struct Caller {
    stream: TcpStream,
    /// What has arrived.
    pub text: String,
}

impl Caller {
    /// Sends a request to a node; none if that isn't there.
    pub async fn send(node: SocketAddr, request: &str) -> Option<Self> {
        let mut stream = TcpStream::connect(node).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        Some(Caller { stream, text: String::new() })
    }

    /// Reads until an event has arrived, or the answer has ended.
    pub async fn read_event(&mut self) {
        while written_by(&self.text).is_empty() && self.read().await {}
    }

    /// Reads until the connection ends.
    pub async fn read_to_end(&mut self) {
        while self.read().await {}
    }

    async fn read(&mut self) -> bool {
        let mut bytes = [0; 4_096];
        let count = self.stream.read(&mut bytes).await.unwrap_or_default();
        self.text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        count > 0
    }
}
