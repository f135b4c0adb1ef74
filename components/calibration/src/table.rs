//! Numbers the changes of a table of estimates.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::estimator::Estimate;
use crate::ledger::FIRST_VERSION;

/// A change is published if it exceeds this part of the published rate.
const NOTICEABLE_DIVISOR: u32 = 8;
/// Time for which a row without an estimate is kept, so that peers are sent it. A peer that hasn't asked for longer than
/// [`crate::SILENCE_TIMEOUT`] begins anew.
const EMPTY_ROW_LIFETIME: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Row<K> {
    key: K,
    estimate: Option<Estimate>,
    at: Instant,
}

/// Published estimates, each with the version at which it changed.
#[derive(Debug)]
pub(crate) struct Table<K> {
    version: u64,
    /// Rows by version.
    rows: BTreeMap<u64, Row<K>>,
    versions: HashMap<K, u64>,
}

impl<K> Default for Table<K> {
    fn default() -> Self {
        Table { version: FIRST_VERSION, rows: BTreeMap::new(), versions: HashMap::new() }
    }
}

/// Whether an estimate differs from the published one so much that peers are sent it.
fn differs_noticeably(published: Estimate, new: Estimate) -> bool {
    let change = published.tokens_per_second.abs_diff(new.tokens_per_second);
    change > published.tokens_per_second / NOTICEABLE_DIVISOR
        || (published.samples == 0) != (new.samples == 0)
}

impl<K: Copy + Eq + Hash> Table<K> {
    /// Publishes the estimates that differ noticeably. An engine that isn't in `estimates` has none.
    pub(crate) fn update(&mut self, estimates: &HashMap<K, Estimate>, now: Instant) {
        for (key, estimate) in estimates {
            if self.published(*key).is_none_or(|known| differs_noticeably(known, *estimate)) {
                self.publish(*key, Some(*estimate), now);
            }
        }
        let gone = |row: &&Row<K>| row.estimate.is_some() && !estimates.contains_key(&row.key);
        let gone: Vec<_> = self.rows.values().filter(gone).map(|row| row.key).collect();
        gone.into_iter().for_each(|key| self.publish(key, None, now));
        let versions = &mut self.versions;
        self.rows.retain(|_, row| {
            let outdated = row.estimate.is_none() && now >= row.at + EMPTY_ROW_LIFETIME;
            if outdated {
                versions.remove(&row.key);
            }
            !outdated
        });
    }

    fn published(&self, key: K) -> Option<Estimate> {
        self.rows[self.versions.get(&key)?].estimate
    }

    fn publish(&mut self, key: K, estimate: Option<Estimate>, now: Instant) {
        self.version += 1;
        if let Some(before) = self.versions.insert(key, self.version) {
            self.rows.remove(&before);
        }
        self.rows.insert(self.version, Row { key, estimate, at: now });
    }

    /// The oldest changes after a version, at most so many, and the version up to which they are complete.
    pub(crate) fn changes_since(
        &self,
        version: u64,
        most: usize,
    ) -> (Vec<(K, Option<Estimate>)>, u64) {
        let mut changes = self.rows.range(version.saturating_add(1)..);
        let rows: Vec<_> = changes.by_ref().take(most).collect();
        let last = rows.last().map_or(self.version, |(last, _)| **last);
        let version = if changes.next().is_some() { last } else { self.version };
        (rows.into_iter().map(|(_, row)| (row.key, row.estimate)).collect(), version)
    }

    /// All published estimates.
    pub(crate) fn estimates(&self) -> impl Iterator<Item = (K, Estimate)> {
        self.rows.values().filter_map(|row| Some((row.key, row.estimate?)))
    }
}
