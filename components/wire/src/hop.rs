//! The message with which a node passes a caller's request on to a peer.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

derives::data! {
    /// A caller's request, as the node received it.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Request {
        /// Name of the node that received it from its caller.
        #[serde(rename = "f")]
        pub from: String,
        /// Revision of the settings by which that node accepted it; an older one doesn't serve it.
        #[serde(rename = "r")]
        pub revision: u64,
        /// Time left for the whole answer, in milliseconds.
        #[serde(rename = "t")]
        pub time_left_ms: u32,
        /// Whether an earlier attempt may have run it.
        #[serde(rename = "a", default)]
        pub may_have_run: bool,
        /// Attempts that count towards the limit of its route.
        #[serde(rename = "n", default)]
        pub attempts: u8,
        /// Whether a server received one of them.
        #[serde(rename = "s", default)]
        pub reached: bool,
        /// Method.
        #[serde(rename = "m")]
        pub method: String,
        /// Path and query.
        #[serde(rename = "u")]
        pub target: String,
        /// Headers in order.
        #[serde(rename = "h")]
        pub headers: Vec<(String, ByteBuf)>,
        /// Body.
        #[serde(rename = "b", default)]
        pub body: ByteBuf,
    }
}

messages!(Request);
