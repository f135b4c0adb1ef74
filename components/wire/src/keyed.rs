//! What a node sends to the home of a key: a caller's call, and on leaving the calls it let
//! through.

use serde::{Deserialize, Serialize};

derives::data! {
    /// A caller's call that the home of its key lets through, or doesn't.
    #[derive(Serialize, Deserialize)]
    pub struct Keyed {
        /// The request's id.
        pub id: String,
        /// Its idempotency key.
        pub key: String,
        /// Name of the workspace.
        pub workspace: String,
        /// Name of the class.
        pub class: String,
        /// Name of the model, or path prefix of the plain service.
        pub model: String,
        /// Path and query.
        pub path: String,
        /// Media type of the body.
        pub media: String,
        /// Milliseconds for which the answer is of use.
        pub deadline_ms: u64,
        /// Limit on the answer in tokens that the caller set.
        #[serde(default)]
        pub max_tokens: Option<u32>,
        /// The body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// Calls that a leaving home let through.
    #[derive(Serialize, Deserialize)]
    pub struct Handover {
        /// The calls.
        pub calls: Vec<Call>,
    }

    /// A call that was let through.
    #[derive(Serialize, Deserialize)]
    pub struct Call {
        /// Name of the workspace.
        pub workspace: String,
        /// Its idempotency key.
        pub key: String,
        /// The whole answer, if it is known and kept.
        #[serde(default)]
        pub answer: Option<Answer>,
    }

    /// A whole answer.
    #[derive(Serialize, Deserialize)]
    pub struct Answer {
        /// Status.
        pub status: u16,
        /// Media type.
        pub media: String,
        /// Body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }
}

messages!(Keyed, Handover);
