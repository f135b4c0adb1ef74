//! Header names, paths and messages of the protocol with backend servers: chat and text completions
//! over HTTP, as one body or as server-sent events, with the request id in a header of the request
//! and of the answer.

use serde::{Deserialize, Serialize};

/// Header with the request id; the answer must carry the same.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the number of the attempt. A server that supports it repeats it on the answer, so
/// that an answer to an earlier attempt can be told apart.
pub const ATTEMPT: &str = "x-attempt";
/// Header with the idempotency key of a call that must not be executed twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that marks an answer as a replay of the stored answer to an earlier call with the same
/// idempotency key.
pub const REPLAYED: &str = "x-replayed";
/// Header with the number of the last event that was received. The answer continues with the next
/// event; the body has the text so far in the field [`RESUME`].
pub const LAST_EVENT: &str = "last-event-id";
/// Field of a request body with the text generated so far, which the answer continues.
pub const RESUME: &str = "resume";
/// Header with the rank of the request's tier; 0 is the highest.
pub const PRIORITY: &str = "x-priority";
/// Header on an error by which a server states that it didn't execute the request.
pub const NOT_RUN: &str = "x-not-run";
/// Path of the load report.
pub const LOAD_PATH: &str = "/engine/load";
/// Data of the event that ends a complete stream.
pub const DONE: &[u8] = b"[DONE]";

derives::data! {
    /// An engine's load report.
    #[derive(Serialize, Deserialize)]
    pub struct Load {
        /// Milliseconds since the engine measured its load.
        pub age_ms: u64,
        /// Number of requests that are running.
        pub running: u32,
        /// Number of requests that are waiting.
        pub queued: u32,
        /// Number of requests that the engine can run at once.
        pub slots: u32,
        /// Time between tokens of a stream in microseconds.
        pub token_interval_us: u64,
        /// Whether the engine accepts no new requests.
        #[serde(default)]
        pub leaving: bool,
    }
}
