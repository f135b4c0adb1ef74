//! Detects server crashes, and records them against the requests that the server was running.
//!
//! A connection that ends early doesn't prove a crash: it may have been reset on the way, or by a healthy
//! server. So the server is probed with a new connection, and counts as crashed only if that is refused,
//! which means that nothing listens any more.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::Clock;
use http_client::Connection;
use policy::{Crash, Quarantine, Refusal, Subject};
use tokio::sync::oneshot;

use crate::submission::Refused;

/// Time between the end of a connection and the probe of its server. A process that exits closes all of
/// its sockets within this time.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Time within which a running server accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A server process that a request was sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of the process: another one after each restart, and the same on all nodes; none if restarts
    /// can't be told apart.
    pub instance: Option<u32>,
    /// IP address and port.
    pub address: String,
}

/// A request whose connection ended early.
#[derive(Debug)]
struct Interrupted {
    subject: Subject,
    sent: Instant,
    at: Instant,
    /// Receives whether the server has crashed.
    result: oneshot::Sender<bool>,
}

/// Server crashes, and the requests that are blocked because of them.
pub struct Crashes {
    /// The requests that may crash servers.
    pub quarantine: RefCell<Quarantine>,
    clock: clock::Runtime,
    /// The servers that are being probed, by address, and the requests that each one interrupted.
    probes: RefCell<HashMap<String, Vec<Interrupted>>>,
}

impl Crashes {
    /// Creates an empty table. Nodes with different seeds end their blocks at different times.
    ///
    /// ```
    /// let crashes = driver::Crashes::new(7, clock::Runtime::new());
    /// assert!(crashes.begin_attempt(&1.into()).is_ok());
    /// ```
    pub fn new(seed: u64, clock: clock::Runtime) -> Rc<Self> {
        let quarantine = RefCell::new(Quarantine::new(seed));
        Rc::new(Crashes { quarantine, clock, probes: RefCell::default() })
    }

    /// Records that the connection of a request, which was sent at `sent`, ended early. Starts a probe of
    /// its server, unless one is in progress; the receiver gets whether the server has crashed. The parts of its
    /// prompt aren't to blame if its answer had begun: pass [`Subject::whole`] then.
    pub fn record_lost_connection(
        self: &Rc<Self>,
        server: Target,
        subject: Subject,
        sent: Instant,
    ) -> oneshot::Receiver<bool> {
        let mut probes = self.probes.borrow_mut();
        let first = !probes.contains_key(&server.address);
        let (result, receiver) = oneshot::channel();
        let interrupted = Interrupted { subject, sent, at: self.clock.now(), result };
        probes.entry(server.address.clone()).or_default().push(interrupted);
        if first {
            actix_rt::spawn(self.clone().probe(server));
        }
        receiver
    }

    /// Probes a server, and records a crash against all requests that it interrupted if it refuses the
    /// connection.
    async fn probe(self: Rc<Self>, server: Target) {
        tokio::time::sleep(PROBE_DELAY).await;
        let result = Connection::connect(&server.address, PROBE_TIMEOUT).await;
        let refused = result.is_err_and(|cause| cause.kind() == ErrorKind::ConnectionRefused);
        let interrupted = self.probes.borrow_mut().remove(&server.address).unwrap_or_default();
        if refused {
            self.record_crash(&server, &interrupted);
        }
        for Interrupted { result, .. } in interrupted {
            // The request may have ended meanwhile.
            let _ = result.send(refused);
        }
    }

    /// Records a crash against the requests that a server was running.
    fn record_crash(&self, server: &Target, interrupted: &[Interrupted]) {
        // Without a key, each detected crash counts as one of another process.
        let instance = server.instance.unwrap_or_else(rand::random);
        let (mut quarantine, now) = (self.quarantine.borrow_mut(), self.clock.now());
        for Interrupted { subject, sent, at, .. } in interrupted {
            let blocked_before = quarantine.blocked_for(subject, now);
            quarantine.record_crash(subject, Crash { instance, sent: *sent, at: *at }, now);
            if let (None, Some(blocked)) = (blocked_before, quarantine.blocked_for(subject, now)) {
                let content = format!("{:016x}", subject.content);
                let blocked_ms = blocked.as_millis() as u64;
                log::warn!(
                    content = content.as_str(), held_ms = blocked_ms;
                    "request blocked: servers crashed while they ran it"
                );
            }
        }
        log::warn!(address = server.address.as_str(), requests = interrupted.len(); "server crashed");
    }

    /// Records that a request got a complete answer, be it a success or an error.
    pub fn record_completion(&self, content: u64) {
        self.quarantine.borrow_mut().record_completion(content, self.clock.now());
    }

    /// Records that the answer to a request began.
    pub fn record_beginning(&self, subject: &Subject) {
        self.quarantine.borrow_mut().record_beginning(subject, self.clock.now());
    }

    /// Checks whether a request may wait for a server.
    ///
    /// # Errors
    /// When it is blocked.
    pub fn check_quarantine(&self, subject: &Subject) -> Result<(), Refused> {
        match self.quarantine.borrow().blocked_for(subject, self.clock.now()) {
            Some(retry_after) => Err(Refused { refusal: Refusal::Quarantined, retry_after }),
            None => Ok(()),
        }
    }

    /// Checks whether a request may be sent now: requests with the same content may have crashed servers
    /// while it waited. After a block, this starts a trial attempt ([`Quarantine::begin_attempt`]).
    ///
    /// # Errors
    /// When it is blocked.
    pub fn begin_attempt(&self, subject: &Subject) -> Result<(), Refused> {
        let result = self.quarantine.borrow_mut().begin_attempt(subject, self.clock.now());
        result.map_err(|retry_after| Refused { refusal: Refusal::Quarantined, retry_after })
    }
}
