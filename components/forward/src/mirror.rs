//! What the store holds, as far as this node knows, for itself and for peers that ask.

use std::collections::BTreeMap;

use crate::seam::Item;

/// Deletions that are remembered. A peer that knows less than the oldest of them is told all.
const DELETED: usize = 1_000;

/// A copy of the store's items. Nothing in it ever goes back: of two versions of an item the one
/// with the higher revision stays, in whatever order they come and from whomever.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
    items: BTreeMap<String, Item>,
    at: Option<u64>,
    /// Deletions before this position aren't known.
    floor: u64,
}

impl Mirror {
    /// Position in the store's history up to which all is known; none before the first read.
    pub(crate) fn at(&self) -> Option<u64> {
        self.at
    }

    /// Takes changes in, all of them up to a position; returns those that were news.
    pub(crate) fn apply(&mut self, items: Vec<Item>, at: u64) -> Vec<Item> {
        let mut news = vec![];
        for item in items {
            let known = self.items.get(&item.key).map(|held| held.revision);
            if known.is_some_and(|known| known >= item.revision) {
                continue;
            }
            self.items.insert(item.key.clone(), item.clone());
            news.push(item);
        }
        self.at = self.at.max(Some(at));
        self.forget();
        news
    }

    /// Takes in all that there is at a position; what isn't among it was deleted. Returns the news.
    pub(crate) fn replace(&mut self, items: Vec<Item>, at: u64) -> Vec<Item> {
        let gone = |held: &&Item| {
            held.value.is_some()
                && held.revision < at
                && !items.iter().any(|item| item.key == held.key)
        };
        let deleted = |held: &Item| Item { key: held.key.clone(), revision: at, value: None };
        let deleted: Vec<_> = self.items.values().filter(gone).map(deleted).collect();
        if self.at.is_none() {
            self.floor = at;
        }
        let mut news = self.apply(deleted, at);
        news.extend(self.apply(items, at));
        news
    }

    /// What changed after a position, and whether that is all there is instead.
    pub(crate) fn since(&self, position: Option<u64>) -> (bool, Vec<Item>) {
        let known = position.filter(|position| *position >= self.floor);
        let wanted = |item: &&Item| match known {
            Some(position) => item.revision > position,
            None => item.value.is_some(),
        };
        (known.is_none(), self.items.values().filter(wanted).cloned().collect())
    }

    /// Forgets the oldest deletions.
    fn forget(&mut self) {
        let deleted = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<_> = deleted.map(|item| item.revision).collect();
        let Some(over) = revisions.len().checked_sub(DELETED).filter(|over| *over > 0) else {
            return;
        };
        revisions.sort_unstable();
        let last = revisions[over - 1];
        self.items.retain(|_, item| item.value.is_some() || item.revision > last);
        self.floor = self.floor.max(last);
    }
}

#[cfg(test)]
mod tests;
