//! Keeps a copy of the store's items, as far as this node has received them, for itself and for peers.

use std::collections::{BTreeMap, HashMap, HashSet};

use wire::updates::{Base, Items};

use crate::adapter::Item;

/// Least number of deletions that are remembered; as many as there are items if these are more. A peer whose
/// position is older than these can't be sent changes, and has to ask for all items.
const MIN_DELETIONS: usize = 1_000;

/// Number of items that may have changed since the base was packed before it is packed again.
const MAX_CHANGES_SINCE_BASE: usize = 100;

/// Number of positions for which packed changes are kept.
const MAX_PACKED_POSITIONS: usize = 16;

/// A copy of the store's items. An item is never replaced by an older version: the one with the highest
/// revision stays, in whatever order versions arrive and whoever sends them.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    items: BTreeMap<String, Item>,
    position: Option<u64>,
    /// Deletions before this position aren't known.
    floor: u64,
    /// All items, packed for peers that have none: hundreds ask at once when a fleet starts.
    base: Option<Base>,
    /// Changes since a position, packed. Peers that received the last change at the same time ask from
    /// the same position.
    packed_changes: HashMap<u64, Items>,
}

impl Replica {
    /// Position in the store's history up to which all changes are contained; none before the first read.
    pub(crate) fn position(&self) -> Option<u64> {
        self.position
    }

    /// The items that differ from those that are known although their revision isn't newer, each with the known revision.
    pub(crate) fn differing<'a>(
        &'a self,
        items: &'a [Item],
    ) -> impl Iterator<Item = (&'a Item, u64)> {
        items.iter().filter_map(|item| {
            let known = self.items.get(&item.key)?;
            let ignored = known.revision >= item.revision && known.value != item.value;
            ignored.then_some((item, known.revision))
        })
    }

    /// Applies all changes up to a position; returns those that were new.
    pub(crate) fn apply(&mut self, items: Vec<Item>, position: u64) -> Vec<Item> {
        let mut updates = vec![];
        for item in items {
            let known = self.items.get(&item.key).map(|current| current.revision);
            if known.is_some_and(|known| known >= item.revision) {
                continue;
            }
            self.packed_changes.clear();
            self.items.insert(item.key.clone(), item.clone());
            updates.push(item);
        }
        self.position = self.position.max(Some(position));
        self.forget_oldest_deletions();
        updates
    }

    /// Applies the complete list of items at a position: items that aren't in it were deleted. Returns the
    /// changes that were new.
    pub(crate) fn replace(&mut self, items: Vec<Item>, position: u64) -> Vec<Item> {
        let listed: HashSet<_> = items.iter().map(|item| item.key.as_str()).collect();
        let missing = |current: &&Item| {
            current.value.is_some()
                && current.revision < position
                && !listed.contains(current.key.as_str())
        };
        let deletion =
            |current: &Item| Item { key: current.key.clone(), revision: position, value: None };
        let deletions: Vec<_> = self.items.values().filter(missing).map(deletion).collect();
        if self.position.is_none() {
            self.floor = position;
        }
        let mut updates = self.apply(deletions, position);
        updates.extend(self.apply(items, position));
        updates
    }

    /// Changes after a position; none if deletions after it have been forgotten.
    pub(crate) fn changes_since(&mut self, position: u64) -> Option<Items> {
        if position < self.floor {
            return None;
        }
        if let Some(items) = self.packed_changes.get(&position) {
            return Some(items.clone());
        }
        let newer: Vec<_> = self.items_after(position).cloned().collect();
        let items = Items::pack(&newer);
        if self.packed_changes.len() >= MAX_PACKED_POSITIONS {
            self.packed_changes.clear();
        }
        self.packed_changes.insert(position, items.clone());
        Some(items)
    }

    fn items_after(&self, position: u64) -> impl Iterator<Item = &Item> {
        self.items.values().filter(move |item| item.revision > position)
    }

    /// All items as a packed base, and the changes since it was packed.
    pub(crate) fn snapshot(&mut self) -> (Base, Items) {
        let recent =
            |base: &&Base| self.items_after(base.position).count() <= MAX_CHANGES_SINCE_BASE;
        if let Some(base) = self.base.as_ref().filter(recent).cloned()
            && let Some(newer) = self.changes_since(base.position)
        {
            return (base, newer);
        }
        let live: Vec<_> =
            self.items.values().filter(|item| item.value.is_some()).cloned().collect();
        let base = Base { position: self.position.unwrap_or_default(), items: Items::pack(&live) };
        self.base = Some(base.clone());
        (base, Items::default())
    }

    /// Forgets the oldest deletions beyond those that are remembered.
    fn forget_oldest_deletions(&mut self) {
        let deletions = self.items.values().filter(|item| item.value.is_none());
        let mut revisions: Vec<_> = deletions.map(|item| item.revision).collect();
        let remembered = MIN_DELETIONS.max(self.items.len() - revisions.len());
        let Some(excess) = revisions.len().checked_sub(remembered).filter(|excess| *excess > 0)
        else {
            return;
        };
        revisions.sort_unstable();
        let last = revisions[excess - 1];
        self.items.retain(|_, item| item.value.is_some() || item.revision > last);
        self.floor = self.floor.max(last);
    }
}

#[cfg(test)]
mod tests;
