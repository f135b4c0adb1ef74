use super::{DELETED, Mirror};
use crate::seam::Item;

fn item(key: &str, revision: u64) -> Item {
    let value = Some(vec![revision as u8].into());
    Item { key: key.to_string(), revision, value }
}

fn deleted(key: &str, revision: u64) -> Item {
    Item { key: key.to_string(), revision, value: None }
}

fn keys(items: &[Item]) -> Vec<&str> {
    items.iter().map(|item| item.key.as_str()).collect()
}

/// A node hears an older version of an item from a peer that is behind. Taken up, a withdrawn key
/// would be good again.
#[test]
fn nothing_goes_back() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 5)], 6);
    assert!(mirror.apply(vec![item("a", 4)], 5).is_empty());
    assert!(mirror.replace(vec![item("a", 4)], 5).is_empty());
    assert_eq!(mirror.at(), Some(6));
    mirror.apply(vec![deleted("a", 7)], 7);
    assert!(mirror.replace(vec![item("a", 5)], 6).is_empty());
}

/// A peer that knows a position is told what came after it, deletions too; one that knows nothing is
/// told all that there is.
#[test]
fn a_peer_is_told_what_it_lacks() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2), item("c", 3)], 3);
    mirror.apply(vec![item("a", 4), deleted("b", 5)], 5);
    assert_eq!(keys(&mirror.since(Some(3)).1), ["a", "b"]);
    assert_eq!(keys(&mirror.since(Some(4)).1), ["b"]);
    let (whole, all) = mirror.since(None);
    assert!(whole);
    assert_eq!(keys(&all), ["a", "c"]);
    assert!(mirror.since(Some(2)).0, "deletions before the first read aren't known");
}

/// The store dropped its history, and a server was deleted meanwhile. All that is missing from what
/// is read anew is told as deleted, here and to peers.
#[test]
fn what_is_missing_was_deleted() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![item("a", 1), item("b", 2)], 2);
    let news = mirror.replace(vec![item("a", 1)], 9);
    assert_eq!(news, [deleted("b", 9)]);
    assert_eq!(mirror.since(Some(2)).1, [deleted("b", 9)]);
}

/// Servers come and go for months. What is remembered of them stays bounded, and a peer that was
/// away for longer than that is told all.
#[test]
fn deletions_are_forgotten_in_the_end() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![], 0);
    let last = DELETED as u64 + 10;
    for revision in 1..=last {
        mirror.apply(vec![deleted(&format!("k{revision}"), revision)], revision);
    }
    assert_eq!(mirror.since(Some(last - 1)).1.len(), 1);
    assert!(!mirror.since(Some(10)).0);
    assert!(mirror.since(Some(9)).0);
}
