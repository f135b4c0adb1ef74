//! Keeps idle connections for further requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use attribution::{History, Message, Outcome};
use tokio::time::Instant;

use crate::{Body, Connection};

/// Time between two removals of expired connections. Nothing else closes the connections to a server that
/// no longer gets requests.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which an idle connection is kept, whatever its server states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// How many connections are kept, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Idle connections that are kept to one server; a larger burst of requests opens new ones.
    pub max_idle: usize,
    /// Time after which an idle connection isn't used again, unless its server states another time. A
    /// request that is sent while the server closes the connection is lost.
    pub idle_timeout: Duration,
}

impl Default for PoolLimits {
    /// The idle timeout is below 5 s, after which servers commonly close idle connections.
    fn default() -> Self {
        PoolLimits { max_idle: 32, idle_timeout: Duration::from_secs(4) }
    }
}

/// A connection, and when it expires.
type Idle = (Connection, Instant);

/// Idle connections for further requests, by address.
#[derive(Clone, Default)]
pub struct Pool {
    limits: PoolLimits,
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
    last_sweep: Rc<Cell<Option<Instant>>>,
}

impl Pool {
    /// An empty pool with these limits.
    ///
    /// ```
    /// let pool = http_client::Pool::new(http_client::PoolLimits::default());
    /// assert!(pool.take("10.0.0.1:80", &[]).is_none());
    /// ```
    pub fn new(limits: PoolLimits) -> Self {
        Pool { limits, ..Pool::default() }
    }

    /// Takes the most recently used connection to `address` out of the pool whose history admits each of `messages`; none if all of
    /// them expired, were closed or received something since.
    pub fn take(&self, address: &str, messages: &[Message]) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(address)?;
        let now = Instant::now();
        idle.retain(|(connection, expires)| now < *expires && connection.is_idle());
        let admits = |history: &History| messages.iter().all(|message| history.admits(*message));
        let admitted = idle.iter().rposition(|(connection, _)| admits(&connection.history))?;
        Some(idle.remove(admitted).0)
    }

    /// Keeps the connection of a body that has ended, for `idle_timeout` if its server stated one. `outcome` is what the
    /// connection has carried with it. Returns when it expires; none if it can't be kept.
    pub fn put(
        &self,
        address: &str,
        body: Body,
        outcome: Outcome,
        idle_timeout: Option<Duration>,
    ) -> Option<Instant> {
        self.close_expired(Instant::now());
        let idle_timeout = idle_timeout.unwrap_or(self.limits.idle_timeout);
        self.keep(address, body.into_connection(outcome)?, idle_timeout)
    }

    /// Keeps a connection on which nothing was sent.
    pub fn put_unused(&self, address: &str, connection: Connection) {
        self.keep(address, connection, self.limits.idle_timeout);
    }

    fn keep(
        &self,
        address: &str,
        connection: Connection,
        idle_timeout: Duration,
    ) -> Option<Instant> {
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(address.to_string()).or_default();
        let expires = Instant::now() + idle_timeout.min(MAX_IDLE_TIMEOUT);
        let has_room = kept.len() < self.limits.max_idle;
        if has_room {
            kept.push((connection, expires));
        }
        has_room.then_some(expires)
    }

    /// Closes expired connections, at most once per [`SWEEP_INTERVAL`].
    fn close_expired(&self, now: Instant) {
        if self.last_sweep.get().is_some_and(|last| now < last + SWEEP_INTERVAL) {
            return;
        }
        self.last_sweep.set(Some(now));
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|(_, expires)| now < *expires);
            !kept.is_empty()
        });
    }
}
