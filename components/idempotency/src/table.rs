use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Keys remembered at once. At today's sizes a window holds some thousand; beyond this a new key is
/// refused as not run, since forgetting an old one could run it again.
const KEYS: usize = 50_000;
/// Longest answer that is kept for a repeated call; a booking's is some hundred bytes.
const ANSWER: usize = 4 << 10;
/// Bytes of answers kept in all, an eighth of what a node may hold for control.
const ANSWERS: usize = 4 << 20;

derives::data! {
    /// Name of a call: its workspace and its idempotency key.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Name {
        /// Workspace whose key it is; two workspaces may use the same one.
        pub workspace: String,
        /// The key.
        pub key: ids::Request,
    }

    /// A whole answer, kept for a repeated call.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct Kept {
        /// Status.
        pub status: u16,
        /// Media type.
        pub media: String,
        /// Body.
        pub body: Vec<u8>,
    }

    /// What is known of a call that was let through.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub enum Record {
        /// It waits or runs.
        Running,
        /// It may have run.
        Unknown,
        /// It ran, and its whole answer went out; kept if it is short.
        Complete(Option<Rc<Kept>>),
    }
}

/// The calls that a home let through, for as long as their keys can be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Table {
    records: BTreeMap<Name, (SystemTime, Record)>,
    kept: usize,
}

impl Table {
    pub(crate) fn get(&self, name: &Name) -> Option<&Record> {
        self.records.get(name).map(|(_, record)| record)
    }

    pub(crate) fn full(&self) -> bool {
        self.records.len() >= KEYS
    }

    /// Puts a record in; a longer answer, or one that finds no room, isn't kept with it.
    pub(crate) fn put(&mut self, name: Name, issued: SystemTime, record: Record) {
        self.remove(&name);
        let record = match record {
            Record::Complete(Some(kept)) if !self.room(&kept) => Record::Complete(None),
            other => other,
        };
        self.kept += size(&record);
        self.records.insert(name, (issued, record));
    }

    pub(crate) fn remove(&mut self, name: &Name) {
        if let Some((_, record)) = self.records.remove(name) {
            self.kept -= size(&record);
        }
    }

    /// Forgets keys issued longer ago than `window`; they are refused by their age.
    pub(crate) fn forget(&mut self, window: Duration, now: SystemTime) {
        let kept = &mut self.kept;
        self.records.retain(|_, (issued, record)| {
            let usable = *issued + window >= now;
            if !usable {
                *kept -= size(record);
            }
            usable
        });
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, &Record)> {
        self.records.iter().map(|(name, (_, record))| (name, record))
    }

    fn room(&self, kept: &Kept) -> bool {
        kept.body.len() <= ANSWER && self.kept + kept.body.len() <= ANSWERS
    }
}

fn size(record: &Record) -> usize {
    match record {
        Record::Complete(Some(kept)) => kept.body.len(),
        _ => 0,
    }
}
