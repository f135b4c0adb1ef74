//! Connections kept for further requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::{Body, Connection};

/// How often connections past their time are looked for. Those of a server that is gone are closed by
/// nothing else.
const SWEEP: Duration = Duration::from_secs(1);

/// How many connections are kept, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Idle connections to one server; a burst above it connects anew.
    pub max_idle: usize,
    /// A connection idle for longer isn't used again, unless its server said another time: one
    /// that the server is about to close loses what is sent into it.
    pub idle_timeout: Duration,
}

impl Default for PoolLimits {
    /// Servers commonly close idle connections after 5 s.
    fn default() -> Self {
        PoolLimits { max_idle: 32, idle_timeout: Duration::from_secs(4) }
    }
}

/// A connection, and until when it may be used.
type Idle = (Connection, Instant);

/// Connections kept for further requests, by address.
#[derive(Clone, Default)]
pub struct Pool {
    kept: PoolLimits,
    idle: Rc<RefCell<HashMap<String, Vec<Idle>>>>,
    swept: Rc<Cell<Option<Instant>>>,
}

impl Pool {
    /// A pool that keeps connections within limits.
    ///
    /// ```
    /// let pool = http_client::Pool::new(http_client::PoolLimits::default());
    /// assert!(pool.take("10.0.0.1:80").is_none());
    /// ```
    pub fn new(kept: PoolLimits) -> Self {
        Pool { kept, ..Pool::default() }
    }

    /// The connection to `address` that was used last, if there is one on which nothing came since.
    pub fn take(&self, address: &str) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(address)?;
        let now = Instant::now();
        idle.retain(|(link, until)| now < *until && link.is_idle());
        idle.pop().map(|(link, _)| link)
    }

    /// Keeps the connection of a body that has ended, for `idle` if the server said how long.
    pub fn put(&self, address: &str, body: Body, idle: Option<Duration>) {
        let now = Instant::now();
        self.sweep(now);
        let Some(link) = body.link() else { return };
        let until = now + idle.unwrap_or(self.kept.idle_timeout);
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(address.to_string()).or_default();
        if kept.len() < self.kept.max_idle {
            kept.push((link, until));
        }
    }

    /// Closes the connections past their time, if it is time to look for them.
    fn sweep(&self, now: Instant) {
        if self.swept.get().is_some_and(|swept| now < swept + SWEEP) {
            return;
        }
        self.swept.set(Some(now));
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|(_, until)| now < *until);
            !kept.is_empty()
        });
    }
}
