//! Interns names as keys that stay the same over all revisions.

use std::collections::HashMap;
use std::rc::Rc;

use slotmap::{Key, SlotMap};

#[derive(Clone, Debug)]
struct Table<K: Key> {
    names: SlotMap<K, Rc<str>>,
    keys: HashMap<Rc<str>, K>,
}

/// Names of one kind and their keys. A name keeps its key over all revisions in a process. Clones
/// share one table until a new name is added to one of them.
#[derive(Clone, Debug)]
pub struct Names<K: Key>(Rc<Table<K>>);

impl<K: Key> Default for Names<K> {
    fn default() -> Self {
        Names(Rc::new(Table { names: SlotMap::with_key(), keys: HashMap::new() }))
    }
}

impl<K: Key> Names<K> {
    /// Returns the key of a name, adding the name if it is new.
    ///
    /// ```
    /// let mut names = settings::Names::<ids::Class>::default();
    /// let key = names.intern("booking");
    /// assert_eq!(names.intern("booking"), key);
    /// assert_eq!(names.name(key), "booking");
    /// ```
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.key(name) {
            return key;
        }
        let table = Rc::make_mut(&mut self.0);
        let name: Rc<str> = name.into();
        let key = table.names.insert(name.clone());
        table.keys.insert(name, key);
        key
    }

    /// Returns the key of a name, if it has one.
    pub fn key(&self, name: &str) -> Option<K> {
        self.0.keys.get(name).copied()
    }

    /// Returns the name of a key; empty if the table doesn't hold the key.
    pub fn name(&self, key: K) -> &str {
        self.0.names.get(key).map_or("", |name| name)
    }
}
