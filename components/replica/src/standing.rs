//! Tracks the items whose version in the store is older than the one that this node knows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wire::updates::Item;
use xxhash_rust::xxh3::xxh3_64;

/// An item of the store that is overruled.
#[derive(Debug)]
struct Overruled {
    /// The store's version, if it has one.
    version: Option<Item>,
    since: Instant,
    /// The store's version is in effect after all.
    released: bool,
}

/// The items whose version in the store is overruled, by key.
#[derive(Debug, Default)]
pub(crate) struct Standing {
    overruled: BTreeMap<String, Overruled>,
}

impl Standing {
    pub(crate) fn insert(&mut self, key: &str, version: Option<Item>, now: Instant) {
        let since = self.overruled.get(key).map_or(now, |known| known.since);
        let overruled = Overruled { version, since, released: false };
        self.overruled.insert(key.to_string(), overruled);
    }

    /// The item was written again; what was known of it stands no longer.
    pub(crate) fn remove(&mut self, key: &str) {
        self.overruled.remove(key);
    }

    /// The store's version of an item that is overruled.
    pub(crate) fn version(&self, key: &str) -> Option<&Item> {
        self.overruled.get(key)?.version.as_ref()
    }

    /// The store's version of an item that was overruled and is in effect after all.
    pub(crate) fn released(&self, key: &str) -> Option<&Item> {
        self.overruled.get(key).filter(|overruled| overruled.released)?.version.as_ref()
    }

    /// Releases the items for which `is_due` holds and that were overruled for `time`; returns the store's versions.
    pub(crate) fn release(
        &mut self,
        time: Duration,
        now: Instant,
        is_due: impl Fn(&str) -> bool,
    ) -> Vec<Item> {
        let mut versions = vec![];
        for (key, overruled) in &mut self.overruled {
            if !overruled.released && now >= overruled.since + time && is_due(key) {
                overruled.released = true;
                versions.extend(overruled.version.clone());
            }
        }
        versions
    }

    /// When the next of the items for which `is_due` holds is released.
    pub(crate) fn next_release(
        &self,
        time: Duration,
        is_due: impl Fn(&str) -> bool,
    ) -> Option<Instant> {
        let waiting = self.overruled.iter().filter(|(key, of)| !of.released && is_due(key));
        waiting.map(|(_, overruled)| overruled.since + time).min()
    }

    /// Keys of the items that stand against the store's version.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &str> {
        let standing = self.overruled.iter().filter(|(_, overruled)| !overruled.released);
        standing.map(|(key, _)| key.as_str())
    }
}

/// Hash of items in any order; 0 if there are none.
pub(crate) fn digest<'a>(items: impl Iterator<Item = &'a Item>) -> u64 {
    items.fold(0, |digest, item| {
        digest ^ xxh3_64(format!("{} {:?}", item.key, item.place()).as_bytes())
    })
}
