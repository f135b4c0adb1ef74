//! Asks servers whether they still run, after the connection of an answer without a length ended.
//!
//! What their responses show is decided in `endings`.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use attribution::{Content, Message, Naming, Outcome};
use buffers::{Budget, Buffer};
use bytes::Bytes;
use catalog::Entry;
use endings::{Finding, Inquiries, Process, Proof, Settled, Testimony};
use http_client::{Body, Connection, Error, Pool};
use policy::Incarnation;
use telemetry::Metrics;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::adapter::{ServerProtocol, Statement};
use crate::attempt::CONNECT_TIMEOUT;
use crate::registry;
use crate::response::MAX_SKIPPED;

/// Time within which a server must respond. The end of an answer waits no longer.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before a server is asked again whose response showed nothing.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Most bytes of a response that are read.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// What the health of a server shows that doesn't state its start.
const NAMED: Finding = Finding::Runs(Proof::Name);
/// Witnesses of a server, each for one question: what comes after a second one could be the response to the first. With two, the
/// answers that end while one is asked have another that was opened before.
const WITNESSES: usize = 2;
/// Time for which a witness counts if its server doesn't state how long it keeps idle connections.
const WITNESS_TIME: Duration = Duration::from_secs(4);

/// A connection to a server that was opened before an answer without a length, or as the first one began. It ends with the
/// process at its other side, so a later process at the same address, under the same name, doesn't respond on it.
struct Witness {
    connection: Connection,
    opened: Instant,
    /// Until when the server keeps it open while it runs.
    until: Instant,
}

/// What a witness shows of an answer that has ended.
enum Witnessed {
    /// Whether the process of the answer still runs.
    Shows(Finding),
    /// Nothing, as the server may have closed it after its time.
    Expired,
    /// Nothing, as there is none that was opened early enough.
    Missing,
}

/// An answer whose connection has ended.
struct Ended {
    /// When bytes of it last arrived.
    alive_at: Instant,
    /// A witness was opened before its request was sent, or should have been.
    prepared: bool,
    finding: oneshot::Sender<Finding>,
}

/// The connection of a question was closed before a response.
struct Cut;

/// A response to a question that was read to its end.
pub(crate) struct Kept {
    pub(crate) body: Body,
    /// What its connection has carried with it.
    pub(crate) outcome: Outcome,
    /// How long its connection is kept open while idle, if the server stated that.
    keep_alive: Option<Duration>,
}

/// Finds out whether the process that gave an answer still runs.
pub(crate) struct Survival {
    servers: Box<dyn ServerProtocol>,
    pool: Pool,
    metrics: Rc<Metrics>,
    buffers: Rc<Budget>,
    inquiries: RefCell<Inquiries<Incarnation, Ended>>,
    /// Up to [`WITNESSES`] for each server that doesn't state its start and gives answers without a length, the oldest first.
    witnesses: RefCell<HashMap<Incarnation, Vec<Witness>>>,
    /// Services whose servers have given answers without a length.
    undelimited: RefCell<HashSet<String>>,
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
        buffers: Rc<Budget>,
    ) -> Rc<Self> {
        Rc::new(Survival {
            servers: Box::new(servers),
            pool,
            metrics,
            buffers,
            inquiries: RefCell::default(),
            witnesses: RefCell::default(),
            undelimited: RefCell::default(),
        })
    }

    /// Opens a witness before a request is sent to a server, if the service is known to give answers without a length, there
    /// is no witness, and the server doesn't state its start when it is asked. Returns whether there is one now.
    ///
    /// # Errors
    /// When no connection to the server can be made, so that a request wouldn't reach it either.
    pub(crate) async fn prepare(self: &Rc<Self>, server: &Rc<Entry>) -> io::Result<bool> {
        let expected = self.undelimited.borrow().contains(&server.service);
        if !expected || server.engine {
            return Ok(false);
        }
        self.witnesses.borrow_mut().retain(|_, all| {
            all.retain(|witness| witness.connection.is_idle());
            !all.is_empty()
        });
        let count = self.witnesses.borrow().get(&registry::incarnation(server)).map_or(0, Vec::len);
        if count == 0 {
            self.open_witness(server).await?;
        }
        if count < WITNESSES {
            self.replenish(server);
        }
        Ok(true)
    }

    /// Opens one more witness, unless there are enough by then.
    async fn open_witness(&self, server: &Entry) -> io::Result<()> {
        self.metrics.count_connection();
        let connection = Connection::connect(&server.address, CONNECT_TIMEOUT).await?;
        let opened = Instant::now();
        let witness = Witness { connection, opened, until: opened + WITNESS_TIME };
        let mut witnesses = self.witnesses.borrow_mut();
        let all = witnesses.entry(registry::incarnation(server)).or_default();
        if all.len() < WITNESSES {
            all.push(witness);
        }
        Ok(())
    }

    /// Opens one more witness in the background.
    fn replenish(self: &Rc<Self>, server: &Rc<Entry>) {
        let (survival, server) = (self.clone(), server.clone());
        actix_rt::spawn(async move {
            if let Err(cause) = survival.open_witness(&server).await {
                log::debug!(server = server.name.as_str(), cause:% = cause; "no witness");
            }
        });
    }

    /// Takes the oldest witness of a server.
    fn take_witness(&self, server: &Entry) -> Option<Witness> {
        let mut witnesses = self.witnesses.borrow_mut();
        let all = witnesses.get_mut(&registry::incarnation(server))?;
        (!all.is_empty()).then(|| all.remove(0))
    }

    /// Records that a server gives an answer without a length. Opens a witness for the first one of its service.
    pub(crate) fn watch(self: &Rc<Self>, server: &Rc<Entry>) {
        if server.engine {
            return;
        }
        if self.undelimited.borrow_mut().insert(server.service.clone()) {
            let (survival, server) = (self.clone(), server.clone());
            actix_rt::spawn(async move {
                if let Err(cause) = survival.prepare(&server).await {
                    log::debug!(server = server.name.as_str(), cause:% = cause; "no witness");
                }
            });
        }
    }

    /// Asks over the witness whether the process runs that gave an answer, of which bytes arrived at `alive_at`. A witness
    /// that was closed before its time shows that the process has ended.
    async fn ask_witness(
        &self,
        server: &Entry,
        head: &RequestHead,
        alive_at: Instant,
    ) -> Witnessed {
        let Some(Witness { connection, opened, until }) = self.take_witness(server) else {
            return Witnessed::Missing;
        };
        let response = self.exchange(connection, head).await;
        let finding = match response {
            Ok((testimony, kept)) if process(server).judge(&testimony) == NAMED => {
                self.keep(server, kept);
                Finding::Runs(Proof::Connection)
            }
            Err(Error::Closed | Error::Send(_)) if Instant::now() < until => Finding::Ended,
            Err(Error::Closed | Error::Send(_)) => return Witnessed::Expired,
            _ => return Witnessed::Missing,
        };
        if opened <= alive_at { Witnessed::Shows(finding) } else { Witnessed::Missing }
    }

    /// Begins to find out whether the process of `server`, the connection of whose answer has ended, still runs. Plain
    /// services are asked at `health_path`, if they have one. Bytes of the answer last arrived at `alive_at`; `prepared` is
    /// what [`Survival::prepare`] returned.
    pub(crate) fn inquire(
        self: &Rc<Self>,
        server: &Rc<Entry>,
        health_path: Option<&str>,
        (alive_at, prepared): (Instant, bool),
    ) -> Waiting {
        let (sender, finding) = oneshot::channel();
        let until = Instant::now() + RESPONSE_TIMEOUT;
        let ended = Ended { alive_at, prepared, finding: sender };
        if let Some(head) = self.servers.self_report_request(server, health_path)
            && self.inquiries.borrow_mut().add(registry::incarnation(server), ended)
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
            let (alive_at, prepared) = {
                let inquiries = self.inquiries.borrow();
                let asked = inquiries.asked(&incarnation);
                let alive_at = asked.iter().map(|ended| ended.alive_at).min();
                let prepared = asked.iter().any(|ended| ended.prepared);
                (alive_at.unwrap_or_else(Instant::now), prepared)
            };
            let finding = self.find_out(&server, &head, alive_at, prepared);
            let finding = tokio::time::timeout(RESPONSE_TIMEOUT, finding).await;
            let finding = finding.unwrap_or(Finding::Unknown);
            if prepared && finding == Finding::Runs(Proof::Connection) {
                self.replenish(&server);
            }
            let Settled { waiters, ask_again } =
                self.inquiries.borrow_mut().settle(&incarnation, finding);
            for waiter in waiters {
                // The caller may have left meanwhile.
                let _ = waiter.finding.send(finding);
            }
            if !ask_again {
                return;
            }
        }
    }

    /// Asks a server until a response shows whether its process runs.
    async fn find_out(
        &self,
        server: &Entry,
        head: &RequestHead,
        alive_at: Instant,
        prepared: bool,
    ) -> Finding {
        self.metrics.count_survival_question();
        let mut names_count = match self.ask_witness(server, head, alive_at).await {
            Witnessed::Shows(finding) => return finding,
            Witnessed::Expired => true,
            Witnessed::Missing => !prepared,
        };
        loop {
            self.metrics.count_survival_question();
            match self.ask(server, head).await {
                Ok(Finding::Unknown) => {}
                Ok(Finding::Runs(Proof::Name | Proof::Address)) if !names_count => {}
                Ok(finding) => return finding,
                // The server may have been started again under its name when it is asked next.
                Err(Cut) => names_count = false,
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    /// Sends one question, over an idle connection if there is one. Fails if the connection of the question is closed
    /// before a response.
    async fn ask(&self, server: &Entry, head: &RequestHead) -> Result<Finding, Cut> {
        let process = process(server);
        while let Some(connection) = self.pool.take(&server.address, &[Message::Question]) {
            // An idle connection that was asked nothing before: a start or a name is only in responses to questions.
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
        kept: Kept,
    ) -> Finding {
        let finding = process.judge(testimony);
        if let Finding::Runs(Proof::Start | Proof::Name) = finding {
            self.keep(server, kept);
        }
        finding
    }

    /// Keeps the connection of a question for requests. It is asked no further question.
    fn keep(&self, server: &Entry, Kept { body, outcome, keep_alive }: Kept) {
        self.pool.put(&server.address, body, outcome, keep_alive);
    }

    /// Sends a question and reads what the server says of itself. Responses to earlier requests are skipped.
    pub(crate) async fn exchange(
        &self,
        connection: Connection,
        head: &RequestHead,
    ) -> Result<(Testimony, Kept), Error> {
        let mut question = RequestHead::default();
        (question.method, question.uri) = (head.method.clone(), head.uri.clone());
        question.headers = head.headers.clone();
        let mut share = self.buffers.share();
        let sent = connection.exchange(Message::Question, question, Bytes::new(), &mut share);
        let (mut head, mut body) = sent.await?;
        for _ in 0..=MAX_SKIPPED {
            let bytes = self.read_whole(&mut body).await?;
            let testimony = self.servers.read_self_report(&head, bytes.as_slice());
            let Statement { declined, keep_alive, .. } = self.servers.read_statement(&head);
            let naming = if testimony.unrelated { Naming::Other } else { Naming::Missing };
            let content = if declined { Content::Refusal } else { Content::Report };
            if body.attribute(naming, content).is_some() {
                let outcome = if declined { Outcome::Refused(naming) } else { Outcome::Reported };
                return Ok((testimony, Kept { body, outcome, keep_alive }));
            }
            self.metrics.count_mismatched_answer();
            (head, body) = body.next_response(&mut share).await?;
        }
        Err(Error::Unrelated)
    }

    /// Reads a body to its end.
    async fn read_whole(&self, body: &mut Body) -> Result<Buffer, Error> {
        let mut bytes = Buffer::new(self.buffers.share());
        while let Some(chunk) = body.next().await? {
            bytes.push(&chunk)?;
            if bytes.len() > MAX_RESPONSE_BYTES {
                return Err(Error::Unframed);
            }
        }
        Ok(bytes)
    }
}

/// The process that an entry describes. Only engines state their start when they are asked.
fn process(server: &Entry) -> Process {
    let start = server.started.filter(|_| server.engine);
    Process { name: server.name.clone(), start }
}
