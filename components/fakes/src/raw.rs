//! A server that does wrong on the level of bytes, after a script.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::engine::wire::{ATTEMPT, LOAD_PATH, REQUEST_ID};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::any;

/// Path of questions for a server's health.
const HEALTH: &str = "/health";

derives::data! {
    /// What the server does next with a request whose head it has read.
    pub enum Step {
        /// Reads the body and runs the request.
        Run,
        /// Writes bytes; `{id}` stands for the request's id and `{attempt}` for its attempt.
        Write(String),
        /// Writes bytes again and again, with a pause after each time, until the other side ends the connection or has got
        /// [`ENDLESS_BYTES`].
        Repeat(String, Duration),
        /// Writes bytes once the next request on the connection was read, in front of what is written in answer to it; in the
        /// same piece as the first of that if `joined`.
        Late {
            /// The bytes, as in [`Step::Write`], with the id of the present request.
            text: String,
            /// Whether nothing is written before the answer.
            joined: bool,
        },
        /// Lets time pass.
        Wait(Duration),
        /// Ends the connection in order.
        Close,
        /// Resets the connection.
        Reset,
        /// Keeps the connection and does nothing.
        Hang,
        /// Plays these steps in place of those that follow, if the request's head holds this text.
        IfHead(String, Vec<Step>),
        /// Goes on if fewer than so many requests do, and else plays these steps in place of those that follow.
        Slots(u32, Vec<Step>),
        /// Ends the server, with all its connections, if the body that was run holds this text.
        CrashAt(String),
    }

    /// When an answer comes once more.
    #[derive(Copy)]
    pub enum Repeat {
        /// Where the next response on the connection is due.
        Next,
        /// After this time.
        After(Duration),
    }

    /// What a server has read of a request.
    pub struct Seen {
        /// The request's id.
        pub id: String,
        /// Its head.
        pub head: String,
        /// Its body, if it was run.
        pub body: String,
        /// When its head was read.
        pub at: Instant,
    }
}

/// Bytes after which [`Step::Repeat`] writes no more: a test at virtual time would never end otherwise.
pub const ENDLESS_BYTES: usize = 8 << 20;

type Script = Box<dyn Fn(u64) -> Vec<Step>>;

struct State {
    /// Header with the id of a request.
    name: &'static str,
    script: RefCell<Script>,
    received: Cell<u64>,
    runs: RefCell<HashMap<String, u32>>,
    seen: RefCell<Vec<Seen>>,
    open: Cell<u32>,
    /// Connections in [`Step::Repeat`].
    endless: Cell<u32>,
    /// Requests that occupy one of the server's slots.
    occupied: Cell<u32>,
    /// Answers to questions about itself, by path.
    pages: RefCell<HashMap<String, String>>,
    /// Questions that it has answered so.
    questions: Cell<u32>,
    /// When each of these answers comes once more, if it does.
    repeats: Cell<Option<Repeat>>,
    /// When it had no slot for a request.
    rejections: RefCell<Vec<Instant>>,
    /// Says when the server has crashed.
    crashed: watch::Sender<bool>,
    /// Changes when all its connections are to end.
    connections: watch::Sender<()>,
}

/// A server after a script.
pub struct Raw {
    address: String,
    state: Rc<State>,
    accepting: JoinHandle<()>,
}

impl Raw {
    /// Starts a server on a free port; `script` tells what it does with its n-th request, from 0.
    pub async fn start(script: impl Fn(u64) -> Vec<Step> + 'static) -> io::Result<Self> {
        Self::named(REQUEST_ID, script).await
    }

    /// As [`Raw::start`], where the header `name` carries the id of a request.
    pub async fn named(
        name: &'static str,
        script: impl Fn(u64) -> Vec<Step> + 'static,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(any()).await?;
        let address = socket.local_addr()?.to_string();
        let state = Rc::new(State {
            name,
            script: RefCell::new(Box::new(script)),
            received: Cell::new(0),
            runs: RefCell::default(),
            seen: RefCell::default(),
            open: Cell::new(0),
            endless: Cell::new(0),
            occupied: Cell::new(0),
            pages: RefCell::default(),
            questions: Cell::new(0),
            repeats: Cell::new(None),
            rejections: RefCell::default(),
            crashed: watch::channel(false).0,
            connections: watch::channel(()).0,
        });
        let accepting = actix_rt::spawn(accept(socket, state.clone()));
        Ok(Raw { address, state, accepting })
    }

    /// Its address.
    pub fn address(&self) -> String {
        self.address.clone()
    }

    /// Requests received so far, load reports left out.
    pub fn received(&self) -> u64 {
        self.state.received.get()
    }

    /// Requests run in all.
    pub fn total(&self) -> u32 {
        self.state.runs.borrow().values().sum()
    }

    /// How often a request with this id was run.
    pub fn runs(&self, id: &str) -> u32 {
        self.state.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// What was read so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.borrow().clone()
    }

    /// Most requests for which it had no slot within a second.
    pub fn rejections_in_a_second(&self) -> usize {
        let rejections = self.state.rejections.borrow();
        let second = Duration::from_secs(1);
        let from = |start: &Instant| {
            rejections.iter().filter(|at| *at >= start && **at < *start + second).count()
        };
        rejections.iter().map(from).max().unwrap_or(0)
    }

    /// Sets what it answers to questions for its health; without an answer it doesn't know the path.
    pub fn set_health(&self, answer: &str) {
        self.set_page(HEALTH, answer);
    }

    /// Sets what it answers to questions about itself at a path; an empty text keeps them waiting.
    pub fn set_page(&self, path: &str, answer: &str) {
        self.state.pages.borrow_mut().insert(path.to_string(), answer.to_string());
    }

    /// Makes it send each answer to a question about itself once more.
    pub fn repeat_pages(&self, when: Repeat) {
        self.state.repeats.set(Some(when));
    }

    /// Questions about itself that it has got at paths for which an answer is set.
    pub fn questions(&self) -> u32 {
        self.state.questions.get()
    }

    /// Ends all its connections, with what is played on them, as if its process were killed; it goes on with new ones.
    pub fn end_connections(&self) {
        self.state.connections.send_replace(());
    }

    /// Whether it has crashed.
    pub fn crashed(&self) -> bool {
        *self.state.crashed.borrow()
    }

    /// Connections that get bytes without end, and that the other side hasn't ended.
    pub fn endless(&self) -> u32 {
        self.state.endless.get()
    }

    /// Connections that the other side hasn't ended.
    pub fn open(&self) -> u32 {
        self.state.open.get()
    }
}

impl Drop for Raw {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(socket: TcpListener, state: Rc<State>) {
    let mut crashed = state.crashed.subscribe();
    loop {
        let stream = tokio::select! {
            Ok((stream, _)) = socket.accept() => stream,
            _ = crashed.changed() => return,
        };
        // Otherwise the kernel holds small writes back for 40 ms of real time, which is seconds of virtual time.
        let _ = stream.set_nodelay(true);
        let (state, mut crashed) = (state.clone(), state.crashed.subscribe());
        let mut connections = state.connections.subscribe();
        actix_rt::spawn(async move {
            state.open.set(state.open.get() + 1);
            tokio::select! {
                // First the ends: nothing is read from a connection that has been ended.
                biased;
                _ = connections.changed() => {}
                _ = crashed.changed() => {}
                _ = serve(stream, &state) => {}
            }
            state.open.set(state.open.get() - 1);
        });
    }
}

/// What is written in front of the next response on a connection.
#[derive(Default)]
struct Late {
    /// Written as soon as a request was read.
    apart: Vec<u8>,
    /// Written in the same piece as the response.
    joined: Vec<u8>,
}

async fn serve(mut stream: TcpStream, state: &State) -> io::Result<()> {
    let mut read = Vec::new();
    let mut late = Late::default();
    loop {
        let head = loop {
            if let Some(end) = read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let body = read.split_off(end + 4);
                break String::from_utf8_lossy(&std::mem::replace(&mut read, body)).to_string();
            }
            if stream.read_buf(&mut read).await? == 0 {
                return Ok(());
            }
        };
        stream.write_all(&std::mem::take(&mut late.apart)).await?;
        let path = head.strip_prefix("GET ").and_then(|rest| rest.split(' ').next());
        let page = path.and_then(|path| state.pages.borrow().get(path).cloned());
        if let Some(answer) = page {
            state.questions.set(state.questions.get() + 1);
            if answer.is_empty() {
                while stream.read_buf(&mut read).await? > 0 {}
                return Ok(());
            }
            stream.write_all(answer.as_bytes()).await?;
            match state.repeats.get() {
                None => {}
                Some(Repeat::Next) => late.apart.extend_from_slice(answer.as_bytes()),
                Some(Repeat::After(time)) => {
                    tokio::time::sleep(time).await;
                    stream.write_all(answer.as_bytes()).await?;
                }
            }
            continue;
        }
        // Load reports, and what a router of an earlier site still asks of a port that was its
        // platform's.
        if head.starts_with(&format!("GET {LOAD_PATH}")) || value(&head, state.name).is_empty() {
            return stream.write_all(b"HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n").await;
        }
        let number = state.received.replace(state.received.get() + 1);
        let steps = state.script.borrow()(number);
        if !play(&mut stream, state, &head, (&mut read, &mut late), steps).await? {
            return Ok(());
        }
    }
}

/// Plays a script; returns whether the connection goes on.
async fn play(
    stream: &mut TcpStream,
    state: &State,
    head: &str,
    (read, late): (&mut Vec<u8>, &mut Late),
    steps: Vec<Step>,
) -> io::Result<bool> {
    let id = value(head, state.name);
    state.seen.borrow_mut().push(Seen {
        id: id.clone(),
        head: head.to_string(),
        body: String::new(),
        at: Instant::now(),
    });
    let at = state.seen.borrow().len() - 1;
    let mut steps = VecDeque::from(steps);
    let mut slot = None;
    let mut joined = std::mem::take(&mut late.joined);
    while let Some(step) = steps.pop_front() {
        match step {
            Step::IfHead(text, others) if head.contains(&text) => steps = others.into(),
            Step::IfHead(..) => {}
            Step::Slots(count, others) if state.occupied.get() >= count => {
                state.rejections.borrow_mut().push(Instant::now());
                steps = others.into();
            }
            Step::Slots(..) => slot = Some(Slot::occupy(&state.occupied)),
            Step::Run => {
                let length = value(head, "content-length").parse().unwrap_or(0);
                while read.len() < length {
                    if stream.read_buf(read).await? == 0 {
                        return Ok(false);
                    }
                }
                let rest = read.split_off(length);
                let body = std::mem::replace(read, rest);
                state.seen.borrow_mut()[at].body = String::from_utf8_lossy(&body).to_string();
                *state.runs.borrow_mut().entry(id.clone()).or_default() += 1;
            }
            Step::Write(text) => {
                let text = text.replace("{id}", &id).replace("{attempt}", &value(head, ATTEMPT));
                let mut bytes = std::mem::take(&mut joined);
                bytes.extend_from_slice(text.as_bytes());
                stream.write_all(&bytes).await?;
            }
            Step::Repeat(text, pause) => {
                let _counted = Slot::occupy(&state.endless);
                let mut left = ENDLESS_BYTES;
                while left > 0 {
                    stream.write_all(text.as_bytes()).await?;
                    left = left.saturating_sub(text.len());
                    if !pause.is_zero() {
                        tokio::select! {
                            () = tokio::time::sleep(pause) => {}
                            count = stream.read_buf(read) => {
                                if count? == 0 {
                                    return Ok(false);
                                }
                            }
                        }
                    }
                }
                while stream.read_buf(read).await? > 0 {}
                return Ok(false);
            }
            Step::Late { text, joined } => {
                let text = text.replace("{id}", &id).replace("{attempt}", &value(head, ATTEMPT));
                let bytes = if joined { &mut late.joined } else { &mut late.apart };
                bytes.extend_from_slice(text.as_bytes());
            }
            Step::Wait(time) => tokio::time::sleep(time).await,
            Step::Close => return Ok(false),
            Step::Reset => {
                stream.set_zero_linger()?;
                return Ok(false);
            }
            Step::CrashAt(text) => {
                if state.seen.borrow()[at].body.contains(&text) {
                    state.crashed.send_replace(true);
                    return Ok(false);
                }
            }
            Step::Hang => {
                // Ends once the other side does, and ignores what it sends until then.
                while stream.read_buf(read).await? > 0 {}
                return Ok(false);
            }
        }
    }
    drop(slot);
    Ok(true)
}

/// An occupied slot, until it is dropped.
struct Slot<'a>(&'a Cell<u32>);

impl<'a> Slot<'a> {
    fn occupy(occupied: &'a Cell<u32>) -> Self {
        occupied.set(occupied.get() + 1);
        Slot(occupied)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn value(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_string()).unwrap_or_default()
}

/// A port that nobody listens at until a listener names it. It stays taken for all others, so that no
/// other server of a test run gets it and is sent what was meant to be refused, or for another.
pub struct Closed(TcpSocket);

impl Closed {
    /// Takes a free port.
    pub fn open() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(any())?;
        Ok(Closed(socket))
    }

    /// Its address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}
