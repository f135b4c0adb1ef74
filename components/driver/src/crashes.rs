//! Finds out which servers crashed under which requests.
//!
//! A connection that ends early tells little: it may have been reset on the way, or by a server that is
//! well. So the server is asked for another one, and only where nothing listens any more has it crashed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::Clock;
use http_client::Connection;
use policy::{Crash, Quarantine, Refusal};

use crate::submission::Refused;

/// Time between the end of a connection and the question whether its server listens: a process that ends
/// closes all it has open within it.
const SETTLE: Duration = Duration::from_millis(20);
/// Time in which a server that is there accepts a connection.
const CONNECT: Duration = Duration::from_millis(300);

/// A server as it was when a request was sent to it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of this start of it, the same at all nodes; none if its starts can't be told apart.
    pub instance: Option<u32>,
    /// IP number and port.
    pub address: String,
}

/// A request whose connection ended early.
#[derive(Clone, Copy, Debug)]
struct Lost {
    content: u64,
    sent: Instant,
    at: Instant,
}

/// Requests that servers crashed under.
pub struct Crashes {
    /// What is known of them.
    pub quarantine: RefCell<Quarantine>,
    clock: clock::Runtime,
    /// Servers that are being asked whether they are there.
    asked: RefCell<HashMap<String, Vec<Lost>>>,
}

impl Crashes {
    /// For a node that draws its times by a seed.
    ///
    /// ```
    /// let crashes = driver::Crashes::new(7, clock::Runtime::new());
    /// assert!(crashes.begin_attempt(1).is_ok());
    /// ```
    pub fn new(seed: u64, clock: clock::Runtime) -> Rc<Self> {
        let quarantine = RefCell::new(Quarantine::new(seed));
        Rc::new(Crashes { quarantine, clock, asked: RefCell::default() })
    }

    /// Takes in that the connection of a request, which was sent at a time, ended early. Asks its server
    /// whether it has crashed.
    pub fn record_lost_connection(self: &Rc<Self>, server: Target, content: u64, sent: Instant) {
        let mut asked = self.asked.borrow_mut();
        let first = !asked.contains_key(&server.address);
        let lost = Lost { content, sent, at: self.clock.now() };
        asked.entry(server.address.clone()).or_default().push(lost);
        if first {
            actix_rt::spawn(self.clone().ask(server));
        }
    }

    async fn ask(self: Rc<Self>, server: Target) {
        tokio::time::sleep(SETTLE).await;
        let answer = Connection::connect(&server.address, CONNECT).await;
        let refused = answer.is_err_and(|cause| cause.kind() == ErrorKind::ConnectionRefused);
        let lost = self.asked.borrow_mut().remove(&server.address).unwrap_or_default();
        if !refused {
            return;
        }
        let server_key = server.instance.unwrap_or_else(rand::random);
        let (mut quarantine, now) = (self.quarantine.borrow_mut(), self.clock.now());
        for Lost { content, sent, at } in lost.iter().copied() {
            let before = quarantine.blocked_for(content, now);
            quarantine.record_crash(content, Crash { instance: server_key, sent, at }, now);
            if let (None, Some(held)) = (before, quarantine.blocked_for(content, now)) {
                let (content, held_ms) = (format!("{content:016x}"), held.as_millis() as u64);
                log::warn!(
                    content = content.as_str(), held_ms = held_ms;
                    "servers crash under a request, it is held back"
                );
            }
        }
        log::warn!(address = server.address.as_str(), requests = lost.len(); "a server crashed");
    }

    /// Takes in that a request got a whole answer, good or bad.
    pub fn record_completion(&self, content: u64) {
        self.quarantine.borrow_mut().record_completion(content, self.clock.now());
    }

    /// Whether a request may wait for a server.
    ///
    /// # Errors
    /// When it is held back.
    pub fn check_quarantine(&self, content: u64) -> Result<(), Refused> {
        match self.quarantine.borrow().blocked_for(content, self.clock.now()) {
            Some(retry_after) => Err(Refused { refusal: Refusal::Quarantined, retry_after }),
            None => Ok(()),
        }
    }

    /// Whether a request may be sent now. Others may have crashed servers while it waited.
    ///
    /// # Errors
    /// When it is held back.
    pub fn begin_attempt(&self, content: u64) -> Result<(), Refused> {
        let passed = self.quarantine.borrow_mut().begin_attempt(content, self.clock.now());
        passed.map_err(|retry_after| Refused { refusal: Refusal::Quarantined, retry_after })
    }
}
