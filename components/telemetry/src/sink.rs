//! Writes log lines to standard output from a thread of its own, so that a reader who stops reading
//! the output can't block the process. Lines beyond the rate limit or the queue's capacity are
//! dropped, and a log line reports their count.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait for the writer: what a busy node logs in about a second.
const QUEUE_CAPACITY: usize = 1_024;
/// Limit on the lines per second, and on the size of a burst. A node at its peak request rate logs
/// fewer lines; without the limit, logging during mass failures would take processor time from
/// requests.
const MAX_LINES_PER_SECOND: f64 = 400.0;
/// Longest time that an ending process waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// A token bucket that limits the rate of lines.
struct RateLimit {
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    /// Refills the bucket and takes a token from it; returns `false` if there is none.
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * MAX_LINES_PER_SECOND).min(MAX_LINES_PER_SECOND);
        self.refilled = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// Queues lines for the writer thread without blocking.
pub(crate) struct Sink {
    writer: SyncSender<Message>,
    rate_limit: Mutex<RateLimit>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the writer thread.
    pub(crate) fn start() -> io::Result<Self> {
        let (writer, lines) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = dropped.clone();
        thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_queued_lines(&lines, &writer_dropped))?;
        let _ = WRITER.set(writer.clone());
        let rate_limit =
            Mutex::new(RateLimit { tokens: MAX_LINES_PER_SECOND, refilled: Instant::now() });
        Ok(Sink { writer, rate_limit, dropped })
    }

    /// Queues a line, or counts it as dropped if it exceeds the rate limit or the queue is full.
    pub(crate) fn write_line(&self, line: String) {
        let allowed = self.rate_limit.lock().map_or(true, |mut rate_limit| rate_limit.try_take());
        let full =
            || matches!(self.writer.try_send(Message::Line(line)), Err(TrySendError::Full(_)));
        if !allowed || full() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits until all queued lines are written, for 200 ms at most. Returns at once if the queue is full.
pub fn flush_log() {
    let Some(writer) = WRITER.get() else { return };
    let (done, written) = sync_channel(1);
    if writer.try_send(Message::Flush(done)).is_ok() {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_queued_lines(lines: &Receiver<Message>, dropped: &AtomicU64) {
    let mut out = io::BufWriter::new(io::stdout());
    while let Ok(message) = lines.recv() {
        let mut next = Some(message);
        while let Some(message) = next {
            write_message(&mut out, message, dropped);
            next = lines.try_recv().ok();
        }
        let _ = out.flush();
    }
}

/// Writes a message, then the count of lines that were dropped since the last one. A failed write is
/// ignored: there is no other place to report it.
fn write_message(out: &mut impl Write, message: Message, dropped: &AtomicU64) {
    match message {
        Message::Line(line) => {
            let _ = writeln!(out, "{line}");
        }
        Message::Flush(done) => {
            let _ = out.flush();
            let _ = done.try_send(());
        }
    }
    let count = dropped.swap(0, Ordering::Relaxed);
    if count > 0 {
        let _ = writeln!(out, r#"{{"level":"warn","msg":"log lines left out","count":{count}}}"#);
    }
}
