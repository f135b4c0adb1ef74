//! The stores of the nodes, which come back from copies again and again. Whatever was written since is written again.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::fixture::store::{Mode, Store};

/// Times between copies and restores, in ms. A copy is some seconds old at most.
const COPY_AGE_MS: std::ops::Range<u64> = 200..2_500;
/// Time for which the store is away before it comes back.
const AWAY_MS: std::ops::Range<u64> = 0..1_200;
/// Pause before each item that is written again.
const REWRITE_MS: std::ops::Range<u64> = 0..120;

/// A store, and what was last written to it.
struct Kept {
    store: Store,
    written: RefCell<BTreeMap<String, Option<String>>>,
}

impl Kept {
    fn put(&self, key: &str, value: &str) {
        self.written.borrow_mut().insert(key.to_string(), Some(value.to_string()));
        self.store.put(key, value);
    }

    fn delete(&self, key: &str) {
        self.written.borrow_mut().insert(key.to_string(), None);
        self.store.delete(key);
    }

    /// Whether the store has what was last written.
    fn is_current(&self, key: &str) -> bool {
        self.written.borrow().get(key).cloned().flatten() == self.store.get(key)
    }

    /// Writes an item again if the store has another version of it.
    fn write_again(&self, key: &str) {
        if self.is_current(key) {
            return;
        }
        let written = self.written.borrow().get(key).cloned().flatten();
        match written {
            Some(value) => self.store.put(key, &value),
            None => self.store.delete(key),
        }
    }
}

/// The stores of the nodes: one for all, or one for each, which differ in the addresses of servers only.
pub struct Stores(Vec<Kept>);

impl Stores {
    pub async fn start(count: usize) -> Self {
        let mut stores = vec![];
        for _ in 0..count {
            stores.push(Kept { store: Store::start().await, written: RefCell::default() });
        }
        Stores(stores)
    }

    /// Address of the store of a node.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.of_node(node).store.address()
    }

    fn of_node(&self, node: usize) -> &Kept {
        &self.0[node % self.0.len()]
    }

    /// Writes a text under a key of a node's store.
    pub fn put_for(&self, node: usize, key: &str, value: &str) {
        self.of_node(node).put(key, value);
    }

    /// Writes a text under a key.
    pub fn put(&self, key: &str, value: &str) {
        self.0.iter().for_each(|kept| kept.put(key, value));
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.0.iter().for_each(|kept| kept.delete(key));
    }

    /// Lets lists come in pages of so many items.
    pub fn set_page_size(&self, items: usize) {
        self.0.iter().for_each(|kept| kept.store.set_page_size(items));
    }

    pub fn set_mode(&self, mode: Mode) {
        self.0.iter().for_each(|kept| kept.store.set_mode(mode));
    }

    pub fn drop_history(&self) {
        self.0.iter().for_each(|kept| kept.store.drop_history());
    }

    /// The stores come back from copies, again and again.
    pub async fn drills(&self, rng: &mut SmallRng, time: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < time {
            let copies: Vec<_> = self.0.iter().map(|kept| kept.store.copy()).collect();
            pause(rng, COPY_AGE_MS).await;
            if rng.random() {
                self.set_mode(Mode::Rejecting);
                pause(rng, AWAY_MS).await;
            }
            self.0.iter().zip(&copies).for_each(|(kept, copy)| kept.store.restore(copy));
            self.set_mode(Mode::Normal);
            let mut keys: Vec<_> = self.0[0].written.borrow().keys().cloned().collect();
            keys.shuffle(rng);
            for key in keys {
                if self.0.iter().all(|kept| kept.is_current(&key)) {
                    continue;
                }
                pause(rng, REWRITE_MS).await;
                self.0.iter().for_each(|kept| kept.write_again(&key));
            }
        }
    }
}

async fn pause(rng: &mut SmallRng, millis: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(millis))).await;
}
