//! What a new era of the store costs a node and its peers, by the number of servers.

use std::time::{Duration, Instant};

use replica::{Content, Replica};
use wire::updates::{Item, Items, Position};

/// Servers whose entries the store has forgotten.
const FORGOTTEN: u64 = 12;
/// Bytes that a peer may be sent for each item that differs, and for all of them together.
const BYTES_PER_ITEM: usize = 256;
const OVERHEAD: usize = 256;

/// Entries that servers renew, and that say nothing of themselves.
struct Entries;

impl Content for Entries {
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

fn entry(era: u64, index: u64, revision: u64, state: &str) -> Item {
    let address = format!("10.{}.{}.{}:8060", index % 6, index / 250, index % 250);
    let value = format!(
        r#"{{"service":"models","address":"{address}","zone":"riga-{}","version":"v1","slots":16,"state":"{state}"}}"#,
        index % 3
    );
    let key = format!("servers/i-{:010x}", index.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24);
    Item { key, revision, era, origin: None, value: Some(value.into_bytes().into()) }
}

fn size(items: &Items) -> usize {
    rmp_serde::to_vec_named(items).unwrap().len()
}

/// Guards against nodes that are all sent everything anew in a new era: hundreds over the links of three seeds.
#[test]
fn a_new_era_costs_a_peer_what_differs() {
    for servers in [200, 6_000, 10_000] {
        let (mut seed, now) = (Replica::new(Duration::from_secs(4)), Instant::now());
        let at = |era, revision| Position { era, revision };
        let list = |era| (0..servers).map(|index| entry(era, index, index + 1, "ready")).collect();
        seed.replace(list(1), at(1, servers), &Entries, now);
        let changes = (0..FORGOTTEN).map(|index| entry(1, index, servers + 1 + index, "draining"));
        seed.apply(changes.collect(), at(1, servers + FORGOTTEN), &Entries, now);
        let began = Instant::now();
        seed.replace(list(2), at(2, servers), &Entries, now);
        let took = began.elapsed();
        let delta = seed.changes_since(at(1, servers + FORGOTTEN)).unwrap();
        let (base, _) = seed.snapshot();
        let (delta, all) = (size(&delta), size(&base.items));
        println!("{servers} servers: {delta} bytes of what differs, {all} of all, {took:?}");
        assert_eq!(seed.standing().len() as u64, 2 * FORGOTTEN);
        assert!(delta <= OVERHEAD + 2 * FORGOTTEN as usize * BYTES_PER_ITEM, "{delta} bytes");
        let same = seed.changes_since(at(2, servers)).unwrap();
        assert!(same.is_empty());
    }
}
