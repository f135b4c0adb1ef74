use super::{CHANGED, DELETED, Replica};
use crate::adapter::Item;

fn item(key: &str, revision: u64) -> Item {
    let value = Some(vec![revision as u8].into());
    Item { key: key.to_string(), revision, value }
}

fn deleted(key: &str, revision: u64) -> Item {
    Item { key: key.to_string(), revision, value: None }
}

/// What a peer is told that knows a position.
fn told(replica: &mut Replica, position: u64) -> Vec<Item> {
    replica.since(position).unwrap().unpack().unwrap()
}

fn keys(items: &[Item]) -> Vec<&str> {
    items.iter().map(|item| item.key.as_str()).collect()
}

/// A node hears an older version of an item from a peer that is behind. Taken up, a withdrawn key
/// would be good again.
#[test]
fn nothing_goes_back() {
    let mut replica = Replica::default();
    replica.replace(vec![item("a", 5)], 6);
    assert!(replica.apply(vec![item("a", 4)], 5).is_empty());
    assert!(replica.replace(vec![item("a", 4)], 5).is_empty());
    assert_eq!(replica.at(), Some(6));
    replica.apply(vec![deleted("a", 7)], 7);
    assert!(replica.replace(vec![item("a", 5)], 6).is_empty());
}

/// A peer that knows a position is told what came after it, deletions too; one that knows nothing is
/// told all that there is.
#[test]
fn a_peer_is_told_what_it_lacks() {
    let mut replica = Replica::default();
    replica.replace(vec![item("a", 1), item("b", 2), item("c", 3)], 3);
    replica.apply(vec![item("a", 4), deleted("b", 5)], 5);
    assert_eq!(keys(&told(&mut replica, 3)), ["a", "b"]);
    assert_eq!(keys(&told(&mut replica, 4)), ["b"]);
    let (base, newer) = replica.all();
    assert_eq!(keys(&base.items.unpack().unwrap()), ["a", "c"]);
    assert_eq!(newer.unpack().unwrap(), []);
    assert_eq!(replica.since(2), None, "deletions before the first read aren't known");
}

/// A node that starts is sent what was packed for another before, and a server was deleted since. It
/// must learn of that too, or it sends work to a server that is gone.
#[test]
fn what_was_packed_before_comes_with_what_changed_since() {
    let mut replica = Replica::default();
    let all: Vec<_> = (0..1_000).map(|n| item(&format!("s{n}"), 3)).collect();
    replica.replace(all, 3);
    let (first, _) = replica.all();
    replica.apply(vec![deleted("s7", 4), item("s8", 5)], 5);
    let (base, newer) = replica.all();
    assert_eq!(base, first, "all was packed anew for two changes");
    assert_eq!(newer.unpack().unwrap(), [deleted("s7", 4), item("s8", 5)]);
    let mut other = Replica::default();
    other.replace(base.items.unpack().unwrap(), base.at);
    other.apply(newer.unpack().unwrap(), 5);
    assert_eq!(other.since(3), replica.since(3));
    let many = (0..=CHANGED).map(|n| item(&format!("s{n}"), 6)).collect();
    replica.apply(many, 6);
    let (base, newer) = replica.all();
    assert_eq!((base.at, newer.unpack().unwrap().len()), (6, 0));
}

/// The store dropped its history, and a server was deleted meanwhile. All that is missing from what
/// is read anew is told as deleted, here and to peers.
#[test]
fn what_is_missing_was_deleted() {
    let mut replica = Replica::default();
    replica.replace(vec![item("a", 1), item("b", 2)], 2);
    let news = replica.replace(vec![item("a", 1)], 9);
    assert_eq!(news, [deleted("b", 9)]);
    assert_eq!(told(&mut replica, 2), [deleted("b", 9)]);
}

/// Servers come and go for months. What is remembered of them stays bounded, and a peer that was
/// away for longer than that is told all.
#[test]
fn deletions_are_forgotten_in_the_end() {
    let mut replica = Replica::default();
    replica.replace(vec![], 0);
    let last = DELETED as u64 + 10;
    for revision in 1..=last {
        replica.apply(vec![deleted(&format!("k{revision}"), revision)], revision);
    }
    assert_eq!(told(&mut replica, last - 1).len(), 1);
    assert!(replica.since(10).is_some());
    assert_eq!(replica.since(9), None);
}
