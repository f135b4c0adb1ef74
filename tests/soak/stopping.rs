//! A planned stop of a node, late in whose grace callers send requests on connections that they kept, to servers that take long.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::{Raw, Step};
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{
    API_KEY, ATTEMPT_ID, CONFIGURATION, Kind, RESPONSE_HEAD, Reply, server_entry,
};
use crate::nodes::Node;
use crate::stores::Stores;
use crate::world;

/// Apart from the seeds of soaks, which name files by them.
const SEED: u64 = 3 << 32;
/// Time within which a node that has just started serves all callers, and the pause after a try that it didn't serve.
const START_LIMIT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Callers, and the pause between two of them. The last one sends at the end of the grace.
const CALLERS: u64 = 76;
const PACE: Duration = Duration::from_millis(50);
const KINDS: [Kind; 2] = [Kind::Read, Kind::Charge];
/// Nodes close connections without a request later in the grace, so the last byte of a body arrives alone then.
const HEAD_LATEST: Duration = Duration::from_millis(1_500);
/// Times in ms that servers take; none if they never answer.
const WORK_MS: [Option<u64>; 4] = [Some(0), Some(400), Some(1_500), None];
/// How an answer with success begins.
const SERVED: &[u8] = b"HTTP/1.1 200";
/// A caller gives up after this.
const PATIENCE: Duration = Duration::from_secs(6);

/// What a caller sent during the stop, and what came back.
struct Sent {
    id: String,
    kind: Kind,
    text: String,
}

/// Stops a node while callers send. Fails if a request that ran is lost, or is said not to have run.
pub async fn play() {
    let stores = Stores::start(1).await;
    let server = Raw::named(ATTEMPT_ID, |_| {
        let answer = Step::Write(format!("{RESPONSE_HEAD}content-length: 6\r\n\r\nbooked"));
        let mut steps = vec![Step::Run];
        for (number, work) in WORK_MS.iter().enumerate() {
            let wait = work.map_or(Step::Hang, |time| Step::Wait(Duration::from_millis(time)));
            steps.push(Step::IfHead(work_query(number), vec![wait, answer.clone()]));
        }
        steps.push(answer);
        steps
    });
    let server = server.await.unwrap();
    let entry = server_entry(&server.address(), "ready");
    stores.put("servers/i-0", &entry.replace("\"slots\":8", "\"slots\":100"));
    let nodes = Node::fleet(SEED, &[stores.address(0)], false);
    stores.put(CONFIGURATION, &world::settings(1, &[API_KEY]));
    let connecting = (0..CALLERS).map(|number| connect(nodes[0].callers, number));
    let connecting = futures_util::future::join_all(connecting);
    let connections = tokio::time::timeout(START_LIMIT, connecting).await;
    let connections = connections.expect("the node serves all callers before the stop");
    nodes[0].signal(Signal::TERM);
    let calls = (0..).zip(connections).map(|(number, connection)| call(connection, number));
    let sent = futures_util::future::join_all(calls).await;
    check(&server, sent.into_iter().flatten().collect());
}

fn kind_of(number: u64) -> Kind {
    KINDS[number as usize % KINDS.len()]
}

/// A request that leaves its connection open.
fn request(kind: Kind, id: &str, query: &str) -> String {
    let text = kind.request(id).replace("connection: close\r\n", "");
    text.replace("x=%2F1", query)
}

/// Opens a connection, and sends requests until one is served.
async fn connect(node: SocketAddr, caller: u64) -> TcpStream {
    for number in 0.. {
        let text = request(kind_of(caller), &format!("early-{caller}-{number}"), "x=early");
        if let Some(connection) = exchange_early(node, &text).await {
            return connection;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    unreachable!("tries end when one is served")
}

/// Sends a request on a connection of its own; returns the connection if the request was served.
async fn exchange_early(node: SocketAddr, text: &str) -> Option<TcpStream> {
    let mut connection = TcpStream::connect(node).await.ok()?;
    connection.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = vec![];
    while !bytes.ends_with(b"booked") {
        let count = connection.read_buf(&mut bytes).await.ok()?;
        if count == 0 || !SERVED.starts_with(&bytes[..bytes.len().min(SERVED.len())]) {
            return None;
        }
    }
    Some(connection)
}

/// Sends a request on a connection that has had an answer before; none if it was closed meanwhile.
async fn call(mut connection: TcpStream, number: u64) -> Option<Sent> {
    let kind = kind_of(number);
    let work = number as usize / KINDS.len() % WORK_MS.len();
    let id = format!("late-{number}");
    let at = PACE * (number as u32 + 1);
    let begins = if kind == Kind::Charge { at.min(HEAD_LATEST) } else { at };
    let text = request(kind, &id, &work_query(work));
    let (first, last) = text.as_bytes().split_at(text.len() - 1);
    tokio::time::sleep(begins).await;
    connection.write_all(first).await.ok()?;
    tokio::time::sleep(at - begins).await;
    connection.write_all(last).await.ok()?;
    let mut bytes = vec![];
    let reading =
        async { while connection.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {} };
    let _ = tokio::time::timeout(PATIENCE, reading).await;
    Some(Sent { id, kind, text: String::from_utf8_lossy(&bytes).to_string() })
}

fn work_query(number: usize) -> String {
    format!("x=work-{number}")
}

fn check(server: &Raw, sent: Vec<Sent>) {
    let (mut served, mut refused, mut others, mut unread) = (0, 0, 0, 0);
    let mut faults = vec![];
    for Sent { id, kind, text } in &sent {
        let (reply, runs) = (Reply::parse(text), server.runs(id));
        match reply.status {
            0 if runs > 0 => faults.push(format!("LOST: {id}, {kind:?}, ran and has no answer")),
            0 => unread += 1,
            200 if reply.complete => served += 1,
            503 if runs > 0 && !kind.repeatable() => {
                faults.push(format!("REFUSED: {id}, {kind:?}, ran: {reply:?}"));
            }
            503 => refused += 1,
            _ => others += 1,
        }
        if runs > 1 && !kind.repeatable() {
            faults.push(format!("TWICE: {id} ran {runs} times"));
        }
    }
    println!(
        "{} sent in a stop: {served} served, {refused} refused, {others} other answers, {unread} not read",
        sent.len()
    );
    assert!(faults.is_empty(), "{}:\n{}", faults.len(), faults.join("\n"));
    assert!(served > 0, "nothing was served in the stop");
}
