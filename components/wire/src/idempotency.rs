//! Messages to the owner of an idempotency key: a call to run at most once, and the records that an
//! owner hands over when it leaves.

use serde::{Deserialize, Serialize};

derives::data! {
    /// A call with an idempotency key, sent to the owner of the key.
    #[derive(Serialize, Deserialize)]
    pub struct KeyedCall {
        /// Id of the request.
        pub id: String,
        /// Idempotency key.
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
        /// Time in milliseconds within which the answer is of use.
        pub deadline_ms: u64,
        /// Limit on the length of the answer in tokens, if the caller set one.
        #[serde(default)]
        pub max_tokens: Option<u32>,
        /// The body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// The calls that a leaving owner let through.
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
        /// Idempotency key.
        pub key: String,
        /// The complete answer, if it is known and was kept.
        #[serde(default)]
        pub answer: Option<Answer>,
    }

    /// A complete answer.
    #[derive(Serialize, Deserialize)]
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Media type.
        pub media: String,
        /// Body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }
}

messages!(KeyedCall, Handover);
