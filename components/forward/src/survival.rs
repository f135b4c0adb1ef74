//! Asks servers whether they still run, after the connection of an answer without a length ended.
//!
//! What their responses show is decided in `endings`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::hash_map;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::{Bytes, BytesMut};
use catalog::Entry;
use endings::{Finding, Inquiries, Process, Proof, Settled, Testimony};
use http_client::{Body, Connection, Error, Pool};
use policy::Incarnation;
use telemetry::Metrics;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::adapter::ServerProtocol;
use crate::registry;

/// Time within which a server must respond. The end of an answer waits no longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before a server is asked again whose response showed nothing.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Most bytes of a response that are read.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// What the health of a server shows that doesn't state its start.
const NAMED: Finding = Finding::Runs(Proof::Name);
/// Time for which a witness counts if its server doesn't state how long it keeps idle connections.
const WITNESS_TIME: Duration = Duration::from_secs(4);

/// A connection to a server that is opened while the server gives an answer without a length. It ends with the process
/// at its other side, so a later process at the same address, under the same name, doesn't respond on it.
struct Witness {
    connection: Connection,
    /// Until when the server keeps it open while it runs.
    until: Instant,
}

/// The connection of a question was closed before a response.
struct Cut;

/// A response that was read to its end, and how long its connection is kept open while idle, if the server stated that.
type Kept = (Body, Option<Duration>);

/// Finds out whether the process that gave an answer still runs.
pub(crate) struct Survival {
    servers: Box<dyn ServerProtocol>,
    pool: Pool,
    metrics: Rc<Metrics>,
    inquiries: RefCell<Inquiries<Incarnation, oneshot::Sender<Finding>>>,
    /// One for each server that doesn't state its start and gives answers without a length; none while it is opened.
    witnesses: RefCell<HashMap<Incarnation, Option<Witness>>>,
}

/// An answer that waits until it is known whether its server still runs.
pub(crate) struct Waiting {
    finding: oneshot::Receiver<Finding>,
    until: Instant,
}

impl Waiting {
    /// What is found out in time. May be called again if it was dropped before it returned.
    pub(crate) async fn finding(&mut self) -> Finding {
        let finding = tokio::time::timeout_at(self.until, &mut self.finding).await;
        finding.map_or(Finding::Unknown, |finding| finding.unwrap_or(Finding::Unknown))
    }
}

impl Survival {
    /// Asks over the connections of `pool`.
    pub(crate) fn new(
        servers: impl ServerProtocol + 'static,
        pool: Pool,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let (inquiries, witnesses) = (RefCell::default(), RefCell::default());
        Rc::new(Survival { servers: Box::new(servers), pool, metrics, inquiries, witnesses })
    }

    /// Opens a witness for an answer without a length that has begun, unless there is one, or the server states its start
    /// when it is asked.
    pub(crate) fn watch(self: &Rc<Self>, server: &Rc<Entry>, health_path: Option<&str>) {
        if server.engine {
            return;
        }
        let incarnation = registry::incarnation(server);
        let now = Instant::now();
        let mut witnesses = self.witnesses.borrow_mut();
        let lives = |witness: &Witness| now < witness.until && witness.connection.is_idle();
        witnesses.retain(|_, witness| witness.as_ref().is_none_or(lives));
        if let hash_map::Entry::Vacant(vacant) = witnesses.entry(incarnation)
            && let Some(head) = self.servers.self_report_request(server, health_path)
        {
            vacant.insert(None);
            actix_rt::spawn(self.clone().open_witness(server.clone(), head));
        }
    }

    /// Opens a witness and asks over it once, which tells whose it is and how long it is kept open.
    async fn open_witness(self: Rc<Self>, server: Rc<Entry>, head: RequestHead) {
        self.metrics.count_connection();
        self.metrics.count_survival_question();
        let response = async {
            let connection = Connection::connect(&server.address, RESPONSE_TIMEOUT).await?;
            self.exchange(connection, &head).await
        };
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, response).await;
        let kept = match response {
            Ok(Ok((testimony, kept))) if process(&server).judge(&testimony) == NAMED => Some(kept),
            _ => None,
        };
        self.keep_witness(registry::incarnation(&server), kept);
    }

    /// Keeps a connection as a witness, if it can be used again.
    fn keep_witness(&self, incarnation: Incarnation, kept: Option<Kept>) {
        let witness = kept.and_then(|(body, keep_alive)| {
            let until = Instant::now() + keep_alive.unwrap_or(WITNESS_TIME);
            Some(Witness { connection: body.into_connection()?, until })
        });
        let mut witnesses = self.witnesses.borrow_mut();
        match witness {
            Some(witness) => drop(witnesses.insert(incarnation, Some(witness))),
            None => drop(witnesses.remove(&incarnation)),
        }
    }

    /// Asks over the witness, if there is one. One that was closed before its time shows that the process has ended.
    async fn ask_witness(&self, server: &Entry, head: &RequestHead) -> Option<Finding> {
        let incarnation = registry::incarnation(server);
        let witness = {
            let mut witnesses = self.witnesses.borrow_mut();
            // One that is being opened stays.
            witnesses.get(&incarnation)?.as_ref()?;
            witnesses.remove(&incarnation)??
        };
        let until = witness.until;
        let response = self.exchange(witness.connection, head).await;
        match response {
            Ok((testimony, kept)) if process(server).judge(&testimony) == NAMED => {
                self.keep_witness(incarnation, Some(kept));
                Some(Finding::Runs(Proof::Connection))
            }
            Err(Error::Closed | Error::Send(_)) if Instant::now() < until => Some(Finding::Ended),
            _ => None,
        }
    }

    /// Begins to find out whether the process of `server`, the connection of whose answer has ended, still runs. Plain
    /// services are asked at `health_path`, if they have one.
    pub(crate) fn inquire(
        self: &Rc<Self>,
        server: &Rc<Entry>,
        health_path: Option<&str>,
    ) -> Waiting {
        let (sender, finding) = oneshot::channel();
        let until = Instant::now() + RESPONSE_TIMEOUT;
        if let Some(head) = self.servers.self_report_request(server, health_path)
            && self.inquiries.borrow_mut().add(registry::incarnation(server), sender)
        {
            actix_rt::spawn(self.clone().settle_all(server.clone(), head));
        }
        Waiting { finding, until }
    }

    /// Counts what was found out about the server of an answer.
    pub(crate) fn count(&self, finding: Finding) {
        self.metrics.count_end_by_connection(finding.as_str());
    }

    /// Asks a server until all answers that wait for its response are settled.
    async fn settle_all(self: Rc<Self>, server: Rc<Entry>, head: RequestHead) {
        let incarnation = registry::incarnation(&server);
        loop {
            let asked = tokio::time::timeout(RESPONSE_TIMEOUT, self.find_out(&server, &head)).await;
            let finding = asked.unwrap_or(Finding::Unknown);
            let Settled { waiters, ask_again } =
                self.inquiries.borrow_mut().settle(&incarnation, finding);
            for waiter in waiters {
                // The caller may have left meanwhile.
                let _ = waiter.send(finding);
            }
            if !ask_again {
                return;
            }
        }
    }

    /// Asks a server until a response shows whether its process runs.
    async fn find_out(&self, server: &Entry, head: &RequestHead) -> Finding {
        let mut cut = false;
        loop {
            self.metrics.count_survival_question();
            match self.ask(server, head).await {
                Ok(Finding::Unknown) => {}
                // The server may have been started again since a question was cut.
                Ok(Finding::Runs(Proof::Name | Proof::Address)) if cut => {}
                Ok(finding) => return finding,
                Err(Cut) => cut = true,
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    /// Sends one question, over an idle connection if there is one. Fails if the connection of the question is closed
    /// before a response.
    async fn ask(&self, server: &Entry, head: &RequestHead) -> Result<Finding, Cut> {
        if let Some(finding) = self.ask_witness(server, head).await {
            return Ok(finding);
        }
        let process = process(server);
        while let Some(connection) = self.pool.take(&server.address) {
            // What comes over an idle connection may have been on its way already; a start or a name is only in
            // responses to questions.
            match self.exchange(connection, head).await {
                Err(Error::Closed | Error::Send(_)) => return Err(Cut),
                Ok((testimony, kept))
                    if testimony.start.is_some()
                        || testimony.name.is_some()
                        || testimony.misdirected =>
                {
                    return Ok(self.judge(server, &process, &testimony, kept));
                }
                _ => {}
            }
        }
        self.metrics.count_connection();
        match Connection::connect(&server.address, RESPONSE_TIMEOUT).await {
            Ok(connection) => match self.exchange(connection, head).await {
                Ok((testimony, kept)) => Ok(self.judge(server, &process, &testimony, kept)),
                Err(Error::Closed | Error::Send(_)) => Err(Cut),
                Err(_) => Ok(Finding::Unknown),
            },
            Err(cause) if cause.kind() == ErrorKind::ConnectionRefused => Ok(Finding::Ended),
            Err(_) => Ok(Finding::Unknown),
        }
    }

    /// Judges a response, and keeps its connection if it is the response to a question for certain.
    fn judge(
        &self,
        server: &Entry,
        process: &Process,
        testimony: &Testimony,
        (body, keep_alive): Kept,
    ) -> Finding {
        let finding = process.judge(testimony);
        if let Finding::Runs(Proof::Start | Proof::Name) = finding {
            self.pool.put(&server.address, body, keep_alive);
        }
        finding
    }

    /// Sends a question and reads what the server says of itself.
    async fn exchange(
        &self,
        connection: Connection,
        head: &RequestHead,
    ) -> Result<(Testimony, Kept), Error> {
        let mut question = RequestHead::default();
        (question.method, question.uri) = (head.method.clone(), head.uri.clone());
        question.headers = head.headers.clone();
        let (head, mut body) = connection.exchange(question, Bytes::new()).await?;
        let mut bytes = BytesMut::new();
        while let Some(chunk) = body.next().await? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() > MAX_RESPONSE_BYTES {
                return Err(Error::Unframed);
            }
        }
        let testimony = self.servers.read_self_report(&head, &bytes);
        let keep_alive = self.servers.read_statement(&head).keep_alive;
        Ok((testimony, (body, keep_alive)))
    }
}

/// The process that an entry describes. Only engines state their start when they are asked.
fn process(server: &Entry) -> Process {
    let start = server.started.filter(|_| server.engine);
    Process { name: server.name.clone(), start }
}
