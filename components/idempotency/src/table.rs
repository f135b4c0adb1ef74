//! Remembers the calls that an owner let through, and short answers to repeat.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Number of keys that are remembered; a window holds some thousand. Beyond this a new key is refused
/// as not run, because a call whose key was forgotten early could run again.
const MAX_KEYS: usize = 50_000;
/// Longest answer that is kept for a repeated call; the answer to a booking takes some hundred bytes.
const MAX_ANSWER_BYTES: usize = 4 << 10;
/// Bytes of all answers that are kept: an eighth of the memory that a node may use for control.
const MAX_TOTAL_ANSWER_BYTES: usize = 4 << 20;

derives::data! {
    /// Identity of a call: its workspace and its idempotency key.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct CallKey {
        /// Workspace of the caller; two workspaces may use the same key.
        pub workspace: String,
        /// Idempotency key.
        pub key: ids::Request,
    }

    /// A complete answer, kept for a repeated call.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct StoredAnswer {
        /// HTTP status.
        pub status: u16,
        /// Media type.
        pub media: String,
        /// Body.
        pub body: Vec<u8>,
    }

    /// What is known of a call that was let through.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub enum Record {
        /// The call is queued or running.
        Running,
        /// The call may have run.
        Unknown,
        /// The call ran, and its complete answer was sent; contains the answer if it is short.
        Complete(Option<Rc<StoredAnswer>>),
    }
}

/// The calls that an owner let through, for as long as their keys can be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Table {
    records: BTreeMap<CallKey, (SystemTime, Record)>,
    answer_bytes: usize,
}

impl Table {
    pub(crate) fn get(&self, call: &CallKey) -> Option<&Record> {
        self.records.get(call).map(|(_, record)| record)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= MAX_KEYS
    }

    /// Inserts or replaces a record. Its answer is dropped if it is too long or there is no space left.
    pub(crate) fn insert(&mut self, call: CallKey, issued: SystemTime, record: Record) {
        self.remove(&call);
        let record = match record {
            Record::Complete(Some(answer)) if !self.has_space(&answer) => Record::Complete(None),
            other => other,
        };
        self.answer_bytes += answer_size(&record);
        self.records.insert(call, (issued, record));
    }

    pub(crate) fn remove(&mut self, call: &CallKey) {
        if let Some((_, record)) = self.records.remove(call) {
            self.answer_bytes -= answer_size(&record);
        }
    }

    /// Removes keys that were issued longer ago than `window`; their age alone gets them refused.
    pub(crate) fn remove_expired(&mut self, window: Duration, now: SystemTime) {
        let answer_bytes = &mut self.answer_bytes;
        self.records.retain(|_, (issued, record)| {
            let usable = *issued + window >= now;
            if !usable {
                *answer_bytes -= answer_size(record);
            }
            usable
        });
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&CallKey, &Record)> {
        self.records.iter().map(|(call, (_, record))| (call, record))
    }

    fn has_space(&self, answer: &StoredAnswer) -> bool {
        answer.body.len() <= MAX_ANSWER_BYTES
            && self.answer_bytes + answer.body.len() <= MAX_TOTAL_ANSWER_BYTES
    }
}

/// Length in bytes of the answer that a record holds.
fn answer_size(record: &Record) -> usize {
    match record {
        Record::Complete(Some(answer)) => answer.body.len(),
        _ => 0,
    }
}
