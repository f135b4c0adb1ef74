//! Where log lines go: standard output, through a thread of its own, so that a reader who stops
//! reading never stops the process. Lines beyond the bound are counted and the count is told.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for the writer: a second's worth of a busy node.
const WAITING: usize = 1_024;
/// Lines a second, and at once, that are written; a node at its peak of requests writes fewer, and
/// a storm of failures would cost the processor time that requests need.
const LINES: f64 = 400.0;
/// Time that a process which ends waits for its last lines.
const LAST: Duration = Duration::from_millis(200);

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// A bound on lines, and what went beyond it.
struct Bound {
    left: f64,
    filled: Instant,
}

impl Bound {
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let gone = now.saturating_duration_since(self.filled).as_secs_f64();
        self.left = (self.left + gone * LINES).min(LINES);
        self.filled = now;
        let room = self.left >= 1.0;
        if room {
            self.left -= 1.0;
        }
        room
    }
}

/// Takes lines for standard output without ever waiting.
pub(crate) struct Sink {
    writer: SyncSender<Message>,
    bound: Mutex<Bound>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the writer.
    pub(crate) fn start() -> io::Result<Self> {
        let (writer, lines) = sync_channel(WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::Builder::new().name("log".to_string()).spawn(move || write(&lines, &counted))?;
        let _ = WRITER.set(writer.clone());
        let bound = Mutex::new(Bound { left: LINES, filled: Instant::now() });
        Ok(Sink { writer, bound, dropped })
    }

    /// Takes a line, or counts it as left out.
    pub(crate) fn line(&self, line: String) {
        let room = self.bound.lock().map_or(true, |mut bound| bound.take());
        let full =
            || matches!(self.writer.try_send(Message::Line(line)), Err(TrySendError::Full(_)));
        if !room || full() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Waits a moment until what was logged is written.
pub fn flush() {
    let Some(writer) = WRITER.get() else { return };
    let (done, written) = sync_channel(1);
    if writer.try_send(Message::Flush(done)).is_ok() {
        let _ = written.recv_timeout(LAST);
    }
}

fn write(lines: &Receiver<Message>, dropped: &AtomicU64) {
    let mut out = io::BufWriter::new(io::stdout());
    while let Ok(message) = lines.recv() {
        let mut next = Some(message);
        while let Some(message) = next {
            put(&mut out, message, dropped);
            next = lines.try_recv().ok();
        }
        let _ = out.flush();
    }
}

/// A write that fails has nobody to be told.
fn put(out: &mut impl Write, message: Message, dropped: &AtomicU64) {
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
