//! Tests of a replica of a store that doesn't come back from a copy.

use std::time::{Duration, Instant};

use replica::Content;
use wire::updates::{Base, Item, Items, Position};

/// As in the replica.
const MIN_DELETIONS: usize = 1_000;
const MAX_CHANGES_SINCE_BASE: usize = 100;

/// Items that say nothing of themselves.
struct Plain;

impl Content for Plain {
    fn is_renewed(&self, _key: &str) -> bool {
        true
    }

    fn is_superseded(&self, _known: &Item, _offered: &Item) -> bool {
        false
    }

    fn start(&self, _item: &Item) -> Option<u64> {
        None
    }

    fn is_final(&self, _item: &Item) -> bool {
        false
    }
}

/// A replica of a store in its first era.
struct Replica(replica::Replica);

impl Default for Replica {
    fn default() -> Self {
        Replica(replica::Replica::new(Duration::from_secs(4)))
    }
}

impl Replica {
    fn replace(&mut self, items: Vec<Item>, revision: u64) -> Vec<Item> {
        self.0.replace(items, at(revision), &Plain, Instant::now()).items
    }

    fn apply(&mut self, items: Vec<Item>, revision: u64) -> Vec<Item> {
        self.0.apply(items, at(revision), &Plain, Instant::now()).items
    }

    fn position(&self) -> Option<u64> {
        self.0.position().map(|position| position.revision)
    }

    fn changes_since(&mut self, revision: u64) -> Option<Items> {
        self.0.changes_since(at(revision))
    }

    fn snapshot(&mut self) -> (Base, Items) {
        self.0.snapshot()
    }
}

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn item(key: &str, revision: u64) -> Item {
    let value = Some(vec![revision as u8].into());
    Item { key: key.to_string(), revision, era: 1, origin: None, value }
}

fn deleted(key: &str, revision: u64) -> Item {
    Item { value: None, ..item(key, revision) }
}

/// The changes that are sent to a peer at a position.
fn changes_since(replica: &mut Replica, position: u64) -> Vec<Item> {
    replica.changes_since(position).unwrap().unpack().unwrap()
}

fn keys(items: &[Item]) -> Vec<&str> {
    items.iter().map(|item| item.key.as_str()).collect()
}

/// Guards against a revoked key that becomes valid again: a node receives an older version of an item from
/// a peer that is behind.
#[test]
fn older_versions_are_ignored() {
    let mut replica = Replica::default();
    replica.replace(vec![item("a", 5)], 6);
    assert!(replica.apply(vec![item("a", 4)], 5).is_empty());
    assert!(replica.replace(vec![item("a", 4)], 5).is_empty());
    assert_eq!(replica.position(), Some(6));
    replica.apply(vec![deleted("a", 7)], 7);
    assert!(replica.replace(vec![item("a", 5)], 6).is_empty());
}

/// A peer at a known position is sent the changes after it, deletions included; a peer without a position
/// is sent all items.
#[test]
fn a_peer_is_sent_what_it_lacks() {
    let mut replica = Replica::default();
    replica.replace(vec![item("a", 1), item("b", 2), item("c", 3)], 3);
    replica.apply(vec![item("a", 4), deleted("b", 5)], 5);
    assert_eq!(keys(&changes_since(&mut replica, 3)), ["a", "b"]);
    assert_eq!(keys(&changes_since(&mut replica, 4)), ["b"]);
    let (base, newer) = replica.snapshot();
    assert_eq!(keys(&base.items.unpack().unwrap()), ["a", "c"]);
    assert_eq!(newer.unpack().unwrap(), []);
    assert_eq!(replica.changes_since(2), None, "deletions before the first read aren't known");
}

/// Guards against a starting node that sends work to a deleted server: it is sent a base that was packed for
/// another node before the deletion, so the deletion must come with it.
#[test]
fn a_packed_base_comes_with_later_changes() {
    let mut replica = Replica::default();
    let all: Vec<_> = (0..1_000).map(|n| item(&format!("s{n}"), 3)).collect();
    replica.replace(all, 3);
    let (first, _) = replica.snapshot();
    replica.apply(vec![deleted("s7", 4), item("s8", 5)], 5);
    let (base, newer) = replica.snapshot();
    assert_eq!(base, first, "the base was packed again for two changes");
    assert_eq!(newer.unpack().unwrap(), [deleted("s7", 4), item("s8", 5)]);
    let mut other = Replica::default();
    other.replace(base.items.unpack().unwrap(), base.revision);
    other.apply(newer.unpack().unwrap(), 5);
    assert_eq!(other.changes_since(3), replica.changes_since(3));
    let many = (0..=MAX_CHANGES_SINCE_BASE).map(|n| item(&format!("s{n}"), 6)).collect();
    replica.apply(many, 6);
    let (base, newer) = replica.snapshot();
    assert_eq!((base.revision, newer.unpack().unwrap().len()), (6, 0));
}

/// The store dropped its history, and a server was deleted meanwhile. Whatever is missing from the complete
/// list that is read then is a deletion, for this node and for its peers.
#[test]
fn items_missing_from_a_complete_list_are_deletions() {
    let mut replica = Replica::default();
    replica.replace(vec![item("a", 1), item("b", 2)], 2);
    let updates = replica.replace(vec![item("a", 1)], 9);
    assert_eq!(updates, [deleted("b", 9)]);
    assert_eq!(changes_since(&mut replica, 2), [deleted("b", 9)]);
}

/// Guards against memory that grows as servers come and go for months: the number of remembered deletions is
/// bounded, and a peer whose position is older than them can't be sent changes.
#[test]
fn the_oldest_deletions_are_forgotten() {
    let mut replica = Replica::default();
    replica.replace(vec![], 0);
    let last = MIN_DELETIONS as u64 + 10;
    for revision in 1..=last {
        replica.apply(vec![deleted(&format!("k{revision}"), revision)], revision);
    }
    assert_eq!(changes_since(&mut replica, last - 1).len(), 1);
    assert!(replica.changes_since(10).is_some());
    assert_eq!(replica.changes_since(9), None);
}

/// Guards against peers that all read a long list again: of thousands of servers, a third are replaced while a peer is
/// cut off. The deletions are remembered, since they are fewer than the items that are left.
#[test]
fn deletions_are_remembered_in_proportion_to_the_items() {
    let mut replica = Replica::default();
    let servers = 6 * MIN_DELETIONS as u64;
    replica.replace((0..servers).map(|n| item(&format!("s{n}"), 1)).collect(), 1);
    let gone = servers / 3;
    for n in 0..gone {
        replica.apply(vec![deleted(&format!("s{n}"), n + 2)], n + 2);
    }
    assert_eq!(changes_since(&mut replica, 1).len(), gone as usize);
}
