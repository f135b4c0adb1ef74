//! Remembers versions of items that were replaced, by which an older version is recognized when a restored store has it
//! again.

use std::collections::{HashSet, VecDeque};

use wire::updates::Item;
use xxhash_rust::xxh3::xxh3_64;

/// Versions that are remembered. A copy of a store is some seconds old, and fewer items change in that time.
const MAX_VERSIONS: usize = 4_096;

/// Starts of writers that are remembered.
const MAX_ENDED: usize = 512;

/// Versions of items that were replaced, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Recall {
    order: VecDeque<u64>,
    versions: HashSet<u64>,
    /// Starts of writers that have ended, the oldest first.
    ended: VecDeque<u64>,
}

impl Recall {
    pub(crate) fn insert(&mut self, replaced: &Item) {
        let version = version(replaced);
        if !self.versions.insert(version) {
            return;
        }
        self.order.push_back(version);
        if self.order.len() > MAX_VERSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.versions.remove(&oldest);
        }
    }

    /// Remembers that the start of a writer has ended.
    pub(crate) fn insert_ended(&mut self, start: u64) {
        if self.ended.contains(&start) {
            return;
        }
        self.ended.push_back(start);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }

    /// Whether the start of a writer is known to have ended.
    pub(crate) fn has_ended(&self, start: u64) -> bool {
        self.ended.contains(&start)
    }

    pub(crate) fn contains(&self, item: &Item) -> bool {
        self.versions.contains(&version(item))
    }
}

/// Identifies a version whatever the era in which it is seen. A revision that is given out again mostly has another value.
fn version(item: &Item) -> u64 {
    let value = item.value.as_ref().map_or(0, |value| xxh3_64(value));
    xxh3_64(format!("{} {} {value}", item.key, item.revision).as_bytes())
}
