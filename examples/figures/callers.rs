//! Callers over plain sockets, cheap enough not to be what is measured.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Threads that carry the callers.
const THREADS: usize = 2;
/// Streams begin this far apart, so that their tokens don't all fall due together.
const APART: Duration = Duration::from_micros(500);

const POLL: Duration = Duration::from_millis(10);
/// Time for connections that were closed to be gone on both sides.
const SETTLE: Duration = Duration::from_millis(500);

/// What callers ask for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// One whole answer after another.
    Whole,
    /// A stream without end.
    Stream,
}

#[derive(Default)]
struct Counts {
    stopped: AtomicBool,
    open: AtomicUsize,
    events: AtomicU64,
}

/// Callers at work, until this is dropped.
pub struct Load(Arc<Counts>);

impl Load {
    pub fn start(addresses: &[SocketAddr], callers: usize, kind: Kind) -> Self {
        let counts = Arc::<Counts>::default();
        for thread in 0..THREADS {
            let (addresses, counts) = (addresses.to_vec(), counts.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    for index in (thread..callers).step_by(THREADS) {
                        let address = addresses[index / THREADS % addresses.len()];
                        actix_rt::spawn(call(address, kind, counts.clone()));
                        tokio::time::sleep(APART).await;
                    }
                    while !counts.stopped.load(Ordering::Relaxed) {
                        tokio::time::sleep(POLL).await;
                    }
                });
            });
        }
        Load(counts)
    }

    /// Waits until so many streams are open.
    pub fn open(&self, streams: usize) {
        while self.0.open.load(Ordering::Relaxed) < streams {
            std::thread::sleep(POLL);
        }
    }

    /// Events, or whole answers, that came so far.
    pub fn events(&self) -> u64 {
        self.0.events.load(Ordering::Relaxed)
    }

    /// Answers a second over a time.
    pub fn rate(&self, window: Duration) -> f64 {
        std::thread::sleep(Duration::from_millis(500));
        let before = self.events();
        let begun = Instant::now();
        std::thread::sleep(window);
        (self.events() - before) as f64 / begun.elapsed().as_secs_f64()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.stopped.store(true, Ordering::Relaxed);
        std::thread::sleep(SETTLE);
    }
}

async fn call(address: SocketAddr, kind: Kind, counts: Arc<Counts>) {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    let _ = stream.set_nodelay(true);
    let (streamed, tokens) = if kind == Kind::Stream { (true, 10_000_000) } else { (false, 1) };
    let request = request(streamed, tokens);
    let mut buf = vec![0; 4 << 10];
    loop {
        if stream.write_all(&request).await.is_err() {
            return;
        }
        let mut opened = false;
        loop {
            let count = match stream.read(&mut buf).await {
                Ok(count) if count > 0 => count,
                _ => return,
            };
            if kind == Kind::Whole {
                // Small enough to come at once.
                counts.events.fetch_add(1, Ordering::Relaxed);
                break;
            }
            let ends = memchr::memchr_iter(b'\n', &buf[..count]).filter(|at| *at > 0);
            let events = ends.filter(|at| buf[at - 1] == b'\n').count();
            counts.events.fetch_add(events as u64, Ordering::Relaxed);
            if !opened && events > 0 {
                opened = true;
                counts.open.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn request(streamed: bool, tokens: u32) -> Vec<u8> {
    let body = format!(r#"{{"model":"small","max_tokens":{tokens},"stream":{streamed}}}"#);
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer choir-key\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Times to the first event of streams, directly and through the router, by turns.
pub fn first_events(
    engine: SocketAddr,
    router: SocketAddr,
    calls: usize,
) -> Vec<(Duration, Duration)> {
    let connect = |address| {
        let stream = std::net::TcpStream::connect(address).expect("a listener");
        let _ = stream.set_nodelay(true);
        stream
    };
    let (mut direct, mut routed) = (connect(engine), connect(router));
    let request = request(true, 1);
    let mut times = vec![];
    for _ in 0..calls {
        times.push((first_event(&mut direct, &request), first_event(&mut routed, &request)));
    }
    times
}

/// One call; returns when its first event came, and takes the rest.
fn first_event(stream: &mut std::net::TcpStream, request: &[u8]) -> Duration {
    let mut buf = [0; 4 << 10];
    let mut first = None;
    let begun = Instant::now();
    stream.write_all(request).expect("an open connection");
    loop {
        let count = stream.read(&mut buf).expect("an answer");
        assert!(count > 0, "the connection ended");
        if first.is_none() && memchr::memmem::find(&buf[..count], b"data: ").is_some() {
            first = Some(begun.elapsed());
        }
        if buf[..count].ends_with(b"0\r\n\r\n") {
            return first.expect("an event before the end");
        }
    }
}
