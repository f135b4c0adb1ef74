//! What the store holds, as far as this node knows, for itself and for peers that ask.

use std::collections::{BTreeMap, HashMap};

use wire::updates::{Base, Items};

use crate::adapter::Item;

/// Deletions that are remembered. A peer that knows less than the oldest of them is told all.
const DELETED: usize = 1_000;

/// Items that changed since all of them were packed, from which on they are packed anew.
const CHANGED: usize = 100;

/// Positions from which changes are kept packed.
const POSITIONS: usize = 16;

/// A copy of the store's items. Nothing in it ever goes back: of two versions of an item the one
/// with the higher revision stays, in whatever order they come and from whomever.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    items: BTreeMap<String, Item>,
    at: Option<u64>,
    /// Deletions before this position aren't known.
    floor: u64,
    /// All items, packed for those who know nothing. Where a fleet starts, hundreds ask at once.
    base: Option<Base>,
    /// What changed since a position, packed. All who were told at once ask from the same one.
    changes: HashMap<u64, Items>,
}

impl Replica {
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
            self.changes.clear();
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

    /// What changed after a position; none if too little is known of what was deleted since.
    pub(crate) fn since(&mut self, position: u64) -> Option<Items> {
        if position < self.floor {
            return None;
        }
        if let Some(items) = self.changes.get(&position) {
            return Some(items.clone());
        }
        let newer: Vec<_> = self.newer(position).cloned().collect();
        let items = Items::pack(&newer);
        if self.changes.len() >= POSITIONS {
            self.changes.clear();
        }
        self.changes.insert(position, items.clone());
        Some(items)
    }

    fn newer(&self, position: u64) -> impl Iterator<Item = &Item> {
        self.items.values().filter(move |item| item.revision > position)
    }

    /// All that there is, and what changed since it was packed.
    pub(crate) fn all(&mut self) -> (Base, Items) {
        let near = |base: &&Base| self.newer(base.at).count() <= CHANGED;
        if let Some(base) = self.base.as_ref().filter(near).cloned()
            && let Some(newer) = self.since(base.at)
        {
            return (base, newer);
        }
        let live: Vec<_> =
            self.items.values().filter(|item| item.value.is_some()).cloned().collect();
        let base = Base { at: self.at.unwrap_or_default(), items: Items::pack(&live) };
        self.base = Some(base.clone());
        (base, Items::default())
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
