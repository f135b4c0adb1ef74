//! The bytes of a connection, with the limits that the HTTP library has no setting for.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::conn::Conn;
use crate::{Limits, error};

/// Bytes taken in ahead of the answer under way. The HTTP library reads on while a request is
/// served and, once its buffer is full of further requests, wakes itself without end: one caller
/// that sends ahead would cost a whole core.
const AHEAD: usize = 16 << 10;
/// Bytes that a reader must take within [`Limits::slow_reader`]; a reader of fewer holds a place
/// at an engine for as long as it likes.
const LEAST: usize = 4 << 10;

pub(crate) struct Io {
    pub(crate) stream: TcpStream,
    pub(crate) conn: Rc<Conn>,
    pub(crate) limits: Limits,
    /// Bytes that came ahead of the answer under way.
    ahead: usize,
    /// How many requests were served when bytes of a further head came.
    begun: Option<u64>,
    between: Timer,
    /// What the timer between requests was started for.
    waits: (u64, bool),
    reader: Timer,
    /// Bytes that the reader took since its timer began.
    taken: usize,
    /// What is left to write in place of what the HTTP library wrote.
    instead: Option<Vec<u8>>,
    /// Requests whose answers were written out. One that was taken over since is the handler's own.
    written: u64,
}

impl Io {
    pub(crate) fn new(stream: TcpStream, conn: Rc<Conn>, limits: Limits) -> Self {
        let (between, reader) = (Timer::default(), Timer::default());
        let (begun, waits) = (None, (0, false));
        Io {
            stream,
            conn,
            limits,
            ahead: 0,
            begun,
            between,
            waits,
            reader,
            taken: 0,
            instead: None,
            written: 0,
        }
    }

    fn came(&mut self, count: usize) {
        if !self.conn.active() {
            self.begun = Some(self.conn.served());
        } else if self.conn.is_received() {
            self.ahead += count;
        }
    }

    /// No request is under way, and nothing of a further one came. Bytes that were read and not yet
    /// taken for a request would else be served on a connection that is being closed under them.
    fn idle(&self) -> bool {
        !self.conn.active() && self.begun != Some(self.conn.served())
    }

    /// No bytes are there; whether the connection stood between two requests for too long. The
    /// HTTP library itself watches the first head only.
    fn stale(&mut self, cx: &mut Context<'_>) -> bool {
        if self.conn.active() {
            return false;
        }
        self.ahead = 0;
        let served = self.conn.served();
        if served == 0 {
            return false;
        }
        let begun = self.begun == Some(served);
        if self.waits != (served, begun) {
            self.waits = (served, begun);
            self.between.stop();
        }
        let limit = if begun { self.limits.head_time } else { self.limits.keep_alive };
        self.between.passed(limit, cx)
    }
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        if this.ahead >= AHEAD && this.conn.active() {
            return Poll::Pending; // the end of the request under way wakes the connection
        }
        let before = buf.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buf) {
            Poll::Ready(done) => {
                let count = buf.filled().len() - before;
                if (count == 0 || done.is_err()) && this.conn.active() {
                    this.conn.leave();
                }
                this.came(count);
                Poll::Ready(done)
            }
            Poll::Pending if this.conn.is_closing() && this.idle() => Poll::Ready(Ok(())),
            Poll::Pending if this.stale(cx) => Poll::Ready(Err(timeout("no request came"))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let this = self.get_mut();
        let answered = this.conn.active() || this.conn.served() > this.written;
        if this.instead.is_none() && !answered {
            this.instead = error::instead(buf);
        }
        if let Some(rest) = &mut this.instead {
            while !rest.is_empty() {
                let count = ready!(Pin::new(&mut this.stream).poll_write(cx, rest))?;
                rest.drain(..count);
            }
            this.instead = None;
            return Poll::Ready(Ok(buf.len()));
        }
        match Pin::new(&mut this.stream).poll_write(cx, buf) {
            Poll::Ready(done) => {
                this.taken += done.as_ref().map_or(0, |count| *count);
                Poll::Ready(done)
            }
            Poll::Pending => {
                while this.reader.passed(this.limits.slow_reader, cx) {
                    if this.taken < LEAST {
                        return Poll::Ready(Err(timeout("the reader takes too little")));
                    }
                    this.taken = 0;
                    this.reader.stop();
                }
                Poll::Pending
            }
        }
    }

    /// Called once all that waited was taken.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        this.reader.stop();
        this.taken = 0;
        this.written = this.conn.served();
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

fn timeout(what: &'static str) -> Error {
    Error::new(ErrorKind::TimedOut, what)
}

/// A timer that costs nothing until something has to be waited for.
#[derive(Default)]
struct Timer(Option<Pin<Box<Sleep>>>);

impl Timer {
    fn stop(&mut self) {
        self.0 = None;
    }

    /// Whether `limit` passed since the first call after a stop.
    fn passed(&mut self, limit: Duration, cx: &mut Context<'_>) -> bool {
        let sleep = self.0.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        sleep.as_mut().poll(cx).is_ready()
    }
}
