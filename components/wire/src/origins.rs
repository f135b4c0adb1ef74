//! Messages in which nodes tell and ask each other which software version began a stream.

use serde::{Deserialize, Serialize};

use crate::{is_false, is_zero};

derives::data! {
    /// Streams that a node has begun, and its question for one that a caller takes up.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Message {
        /// Streams that the node has begun.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub told: Vec<Row>,
        /// A stream that is asked for.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        pub asked: Option<Asked>,
        /// Whether the answer is to say what the list of servers is when the question arrives, by a read of the store.
        #[serde(rename = "c", default, skip_serializing_if = "is_false")]
        pub confirm: bool,
        /// Hash of the route of the stream that is asked for and of the services that it leads to; 0 if it isn't stated.
        #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
        pub destination: u64,
    }

    /// The answer to a [`Message`].
    #[derive(Default, Serialize, Deserialize)]
    pub struct Answer {
        /// Random number that identifies the process that answers.
        #[serde(rename = "b")]
        pub boot: u32,
        /// Whether the node knows the stream that was asked for.
        #[serde(rename = "k", default, skip_serializing_if = "is_false")]
        pub known: bool,
        /// The version that began it; none if that is uncertain.
        #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
        pub version: Option<u32>,
        /// As [`Answer::followed_ms`], for a node of an earlier release, which has no use for the age of the proof: zero if
        /// the list may be out of date.
        #[serde(rename = "c", default)]
        pub covered_ms: u32,
        /// Time over which the node has followed the list of servers, and the route has led to the same services, in
        /// milliseconds.
        #[serde(rename = "f", default)]
        pub followed_ms: u32,
        /// Age of the proof that the node's list is complete, in milliseconds; none if it has no proof.
        #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
        pub proof_age_ms: Option<u32>,
        /// Versions of the service that it has seen.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        pub seen: Vec<u32>,
        /// The longest life of a stream that may still go on, by the limits that the node knows, in milliseconds; 0 from a node of
        /// an earlier release.
        #[serde(rename = "l", default, skip_serializing_if = "is_none")]
        pub longest_ms: u32,
        /// How much longer such a stream may go on, in milliseconds.
        #[serde(rename = "e", default, skip_serializing_if = "is_none")]
        pub left_ms: u32,
    }
}

row! {
    /// A stream and the version that began it.
    pub struct Row {
        /// Hash of the id of the try that began the stream.
        pub stream: u64,
        /// Hash of the names of the service and the version; none if it is uncertain which one began the stream.
        pub version: Option<u32>,
        /// Time for which the stream may be taken up, in milliseconds.
        pub lifetime_ms: u32,
    }
}

row! {
    /// A question for a stream.
    pub struct Asked {
        /// Hash of the id of the try that began the stream.
        pub stream: u64,
        /// [`crate::key`] of the name of its service.
        pub service: u32,
        /// Longest life of a stream, in milliseconds.
        pub lifetime_ms: u32,
    }
}

fn is_none(millis: &u32) -> bool {
    *millis == 0
}

messages!(Message, Answer);
