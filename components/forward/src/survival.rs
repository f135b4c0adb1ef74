//! Asks servers whether they still run, after the connection of an answer without a length ended.
//!
//! What their responses show is decided in `endings`.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::{Bytes, BytesMut};
use catalog::Entry;
use endings::{Channel, Finding, Inquiries, Process, Settled, Testimony};
use http_client::{Connection, Error, Pool};
use policy::Incarnation;
use telemetry::Metrics;
use tokio::sync::oneshot;

use crate::adapter::{SelfReport, ServerProtocol};
use crate::attempt::CONNECT_TIMEOUT;
use crate::registry;

/// Time within which a server must respond. The end of its answer waits as long.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Most bytes of a response that are read.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Finds out whether the process that gave an answer still runs.
pub(crate) struct Survival {
    servers: Box<dyn ServerProtocol>,
    pool: Pool,
    metrics: Rc<Metrics>,
    inquiries: RefCell<Inquiries<Incarnation, oneshot::Sender<Finding>>>,
}

impl Survival {
    /// Asks over the connections of `pool`.
    pub(crate) fn new(
        servers: impl ServerProtocol + 'static,
        pool: Pool,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let inquiries = RefCell::default();
        Rc::new(Survival { servers: Box::new(servers), pool, metrics, inquiries })
    }

    /// Finds out whether the process of `server`, the connection of whose answer has ended, still runs. Plain services
    /// are asked at `health_path`, if they have one.
    pub(crate) async fn confirm(
        self: &Rc<Self>,
        server: &Rc<Entry>,
        health_path: Option<&str>,
    ) -> Finding {
        let Some(head) = self.servers.self_report_request(server, health_path) else {
            return Finding::Unknown;
        };
        let (sender, receiver) = oneshot::channel();
        let first = self.inquiries.borrow_mut().add(registry::incarnation(server), sender);
        if first {
            actix_rt::spawn(self.clone().inquire(server.clone(), head));
        }
        let finding = receiver.await.unwrap_or(Finding::Unknown);
        self.metrics.count_end_by_connection(finding.as_str());
        finding
    }

    /// Asks a server until all answers that wait for its response are settled.
    async fn inquire(self: Rc<Self>, server: Rc<Entry>, head: RequestHead) {
        let process = registry::incarnation(&server);
        loop {
            self.metrics.count_survival_question();
            let asked = tokio::time::timeout(RESPONSE_TIMEOUT, self.ask(&server, &head)).await;
            let finding = asked.unwrap_or(Finding::Unknown);
            let Settled { waiters, ask_again } =
                self.inquiries.borrow_mut().settle(&process, finding);
            for waiter in waiters {
                // The caller may have left meanwhile.
                let _ = waiter.send(finding);
            }
            if !ask_again {
                return;
            }
        }
    }

    /// Sends one question, over an idle connection if there is one.
    async fn ask(&self, server: &Entry, head: &RequestHead) -> Finding {
        let process = Process { name: server.name.clone(), start: server.started };
        while let Some(connection) = self.pool.take(&server.address) {
            let response = self.exchange(connection, server, head).await;
            if let Ok(report) = response {
                return process.judge(&testimony(report, Channel::Earlier));
            }
        }
        self.metrics.count_connection();
        match Connection::connect(&server.address, CONNECT_TIMEOUT).await {
            Ok(connection) => match self.exchange(connection, server, head).await {
                Ok(report) => process.judge(&testimony(report, Channel::Later)),
                Err(_) => Finding::Unknown,
            },
            Err(cause) if cause.kind() == ErrorKind::ConnectionRefused => Finding::Ended,
            Err(_) => Finding::Unknown,
        }
    }

    /// Sends a question and reads what the server says of itself.
    async fn exchange(
        &self,
        connection: Connection,
        server: &Entry,
        head: &RequestHead,
    ) -> Result<SelfReport, Error> {
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
        let keep_alive = self.servers.read_statement(&head).keep_alive;
        self.pool.put(&server.address, body, keep_alive);
        Ok(self.servers.read_self_report(&head, &bytes))
    }
}

fn testimony(report: SelfReport, channel: Channel) -> Testimony {
    let SelfReport { name, start, misdirected } = report;
    Testimony { channel, name, start, misdirected }
}
