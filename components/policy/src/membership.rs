//! Applies changes of many backend servers together.
//!
//! Load pattern: a seventh of thousands of servers crash or are replaced at once. Each pool ranks its servers
//! anew when they change. Once for each server, that keeps a node busy for seconds while its callers wait; so
//! pools are updated once, after all changes.

use crate::notices::Incarnation;
use crate::scheduler::Scheduler;
use crate::server;
use crate::terms::Server;

/// Changes of backend servers that take effect when it is dropped; see [`Scheduler::change_servers`].
#[derive(Debug)]
pub struct Batch<'a> {
    scheduler: &'a mut Scheduler,
}

impl Batch<'_> {
    /// Adds or updates a backend server; its load state is kept.
    pub fn set(&mut self, key: ids::Server, terms: Server) {
        let incarnation = Incarnation { salt: terms.salt, start: terms.start };
        self.scheduler.notices.apply_listing(incarnation);
        match self.scheduler.servers.get_mut(key) {
            Some(state) => state.terms = terms,
            None => {
                self.scheduler.servers.insert(key, server::State::new(terms));
            }
        }
    }

    /// Removes a backend server that the settings no longer name; it gets no new work.
    pub fn remove(&mut self, key: ids::Server) {
        self.scheduler.servers.remove(key);
        self.scheduler.permitted.remove(&key);
        self.scheduler.connected.remove(&key);
    }
}

impl Drop for Batch<'_> {
    fn drop(&mut self) {
        self.scheduler.rebuild_pools();
    }
}

impl Scheduler {
    /// Begins changes of backend servers that take effect together.
    ///
    /// ```
    /// let mut scheduler = policy::Scheduler::new();
    /// let mut batch = scheduler.change_servers();
    /// batch.remove(ids::Server::default());
    /// drop(batch);
    /// assert_eq!(scheduler.slots(ids::Server::default()), None);
    /// ```
    pub fn change_servers(&mut self) -> Batch<'_> {
        Batch { scheduler: self }
    }

    /// Adds or updates a backend server; its load state is kept.
    pub fn set_server(&mut self, key: ids::Server, terms: Server) {
        self.change_servers().set(key, terms);
    }

    /// Removes a backend server that the settings no longer name; it gets no new work.
    pub fn remove_server(&mut self, key: ids::Server) {
        self.change_servers().remove(key);
    }

    /// Servers that periodic work and changes of servers have looked at. It shows how this work grows with the
    /// number of servers.
    ///
    /// ```
    /// assert_eq!(policy::Scheduler::new().servers_examined(), 0);
    /// ```
    pub fn servers_examined(&self) -> u64 {
        self.servers_examined
    }
}
