//! Tracks which backend servers exist, and keeps those whose entries expire during an outage of the
//! store that lists them.
//!
//! Servers keep their entries alive by writing to the store. During an outage of the store they can't,
//! and their entries expire although they go on serving: a node that believed the list on the store's
//! return would drop its whole fleet and answer nothing until all servers have written again. So
//! servers that go missing around an outage are kept for the time that a live server takes to write
//! its entry again.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after the store's return in which live servers have written their entries again. Those that
/// are missing after it are gone.
const REJOIN_TIME: Duration = Duration::from_secs(2);

derives::data! {
    /// A backend server, as its own entry in the list describes it.
    pub struct Entry {
        /// Name of the running server, unique in the list.
        pub name: String,
        /// Service that it belongs to.
        pub service: String,
        /// Version of its software. A stream that one version began can't be continued by another.
        pub version: String,
        /// IP address and port.
        pub address: String,
        /// Failure domain that it is in.
        pub domain: String,
        /// Requests that it runs at the same time.
        pub slots: u32,
        /// The server is shutting down and takes no new requests.
        pub leaving: bool,
        /// It is an inference engine, which prefills prompts and generates tokens; a plain service
        /// does neither.
        pub engine: bool,
        /// Models that it has loaded; a plain service has none.
        pub models: Vec<String>,
        /// Start time by its own clock; differs between two starts under one name.
        pub started: Option<u64>,
        /// How much longer the server is cold, by its own word when it wrote the entry; `None` if it
        /// doesn't say.
        pub cold: Option<Duration>,
    }

    /// A change of one server in the list.
    pub enum Change {
        /// The server is listed.
        Listed(Entry),
        /// The server of this name isn't listed, or its entry can't be read.
        Gone(String),
    }
}

/// The backend servers that exist.
#[derive(Debug, Default)]
pub struct Membership {
    entries: BTreeMap<String, Rc<Entry>>,
    /// Servers that went missing from the list around an outage of the store and are still kept.
    lapsed: BTreeSet<String>,
    /// The store doesn't answer.
    store_unavailable: bool,
    /// When the last outage of the store ended.
    store_returned: Option<Instant>,
}

impl Membership {
    /// Applies a change of the list; returns the names of the servers that changed.
    pub fn apply(&mut self, change: Change, now: Instant) -> Vec<String> {
        match change {
            Change::Listed(entry) => {
                self.lapsed.remove(&entry.name);
                let name = entry.name.clone();
                let same = self.entries.get(&name).is_some_and(|known| **known == entry);
                if same {
                    return vec![];
                }
                self.entries.insert(name.clone(), Rc::new(entry));
                vec![name]
            }
            Change::Gone(name) => self.apply_missing(name, now),
        }
    }

    fn apply_missing(&mut self, name: String, now: Instant) -> Vec<String> {
        let Some(entry) = self.entries.get(&name) else { return vec![] };
        // A server that announced its shutdown has ended; its entry didn't just expire.
        if self.may_have_lapsed(now) && !entry.leaving {
            self.lapsed.insert(name);
            return vec![];
        }
        self.entries.remove(&name);
        vec![name]
    }

    /// Records that the store doesn't answer.
    pub fn mark_unavailable(&mut self) {
        self.store_unavailable = true;
    }

    /// Records that the store was unavailable until `until`, as a peer that reads it reports.
    pub fn mark_unavailable_until(&mut self, until: Instant) {
        self.store_unavailable = false;
        self.store_returned = Some(until);
    }

    /// Time since the store's return, as long as a missing server may be one whose entry expired;
    /// `None` after that, during an outage, and if there was none.
    pub fn time_since_return(&self, now: Instant) -> Option<Duration> {
        let ago = now.saturating_duration_since(self.store_returned?);
        (!self.store_unavailable && ago < REJOIN_TIME).then_some(ago)
    }

    /// Time until [`Membership::remove_lapsed`] removes the missing servers; `None` if no server is
    /// missing, or during an outage, whose end isn't known.
    pub fn time_until_removal(&self, now: Instant) -> Option<Duration> {
        let ends =
            self.store_returned.filter(|_| !self.store_unavailable && !self.lapsed.is_empty())?
                + REJOIN_TIME;
        Some(ends.saturating_duration_since(now))
    }

    /// Whether a missing server may be live, with an entry that expired during an outage.
    fn may_have_lapsed(&self, now: Instant) -> bool {
        self.store_unavailable || self.time_since_return(now).is_some()
    }

    /// Records that the store answered; if it was unavailable, its outage ends now.
    pub fn mark_available(&mut self, now: Instant) {
        if std::mem::take(&mut self.store_unavailable) {
            self.store_returned = Some(now);
        }
    }

    /// Removes the missing servers once their time to come back has passed; returns their names.
    pub fn remove_lapsed(&mut self, now: Instant) -> Vec<String> {
        if self.may_have_lapsed(now) {
            return vec![];
        }
        let names: Vec<_> = std::mem::take(&mut self.lapsed).into_iter().collect();
        for name in &names {
            self.entries.remove(name);
        }
        names
    }

    /// The server with this name.
    pub fn get(&self, name: &str) -> Option<&Rc<Entry>> {
        self.entries.get(name)
    }

    /// All servers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Entry>> {
        self.entries.values()
    }
}
