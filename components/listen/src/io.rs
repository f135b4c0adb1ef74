//! The byte stream of a connection, with the limits that the HTTP library has no setting for.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::TcpStream;
use buffers::Share;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::connection::Connection;
use crate::{Limits, error};

/// Bytes read ahead of the response in progress. The HTTP library reads on while a request is
/// served and, once its buffer is full of further requests, wakes itself in a busy loop: one caller
/// that pipelines requests would use a whole core.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Bytes that a caller must read within [`Limits::write_timeout`]; one that reads fewer occupies a
/// slot at an engine for as long as it likes.
const MIN_WRITE_BYTES: usize = 4 << 10;

/// A buffer that grows has room for up to so many times what it holds.
const GROWTH: usize = 2;

pub(crate) struct Io {
    pub(crate) stream: TcpStream,
    pub(crate) connection: Rc<Connection>,
    pub(crate) limits: Limits,
    /// What was read of a head that isn't whole yet.
    head: Head,
    /// Bytes that arrived ahead of the response in progress.
    read_ahead: usize,
    /// Number of requests served when bytes of a further head arrived.
    head_begun_at: Option<u64>,
    idle_timer: Timer,
    /// What the idle timer was started for: the number of requests served, and whether a further
    /// head had begun.
    idle_phase: (u64, bool),
    write_timer: Timer,
    /// Bytes written since the write timer began.
    written_bytes: usize,
    /// What is left to write in place of what the HTTP library wrote.
    replacement: Option<Vec<u8>>,
    /// Number of requests whose responses were written out. If more were served, the response now
    /// being written is the handler's.
    flushed: u64,
    /// The kernel resets the connection when it is closed.
    resets: bool,
}

impl Io {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Rc<Connection>,
        limits: Limits,
        share: Share,
    ) -> Self {
        let (idle_timer, write_timer) = (Timer::default(), Timer::default());
        let (head_begun_at, idle_phase) = (None, (0, false));
        Io {
            stream,
            connection,
            limits,
            head: Head { share, bytes: 0, room: Room::Left },
            read_ahead: 0,
            head_begun_at,
            idle_timer,
            idle_phase,
            write_timer,
            written_bytes: 0,
            replacement: None,
            flushed: 0,
            resets: false,
        }
    }

    /// Lets the kernel reset the connection when it is closed, as long as its regular end would make an incomplete
    /// response look complete. That also covers the end of the process.
    fn update_reset(&mut self) {
        let resets = self.connection.would_feign_completion();
        if resets == self.resets {
            return;
        }
        let linger = resets.then_some(Duration::ZERO);
        match rustix::net::sockopt::set_socket_linger(&self.stream, linger) {
            Ok(()) => self.resets = resets,
            Err(cause) => log::warn!(cause:% = cause; "the end of a connection can't be set"),
        }
    }

    fn record_read(&mut self, count: usize) {
        if !self.connection.is_active() {
            let served = Some(self.connection.served());
            if std::mem::replace(&mut self.head_begun_at, served) != served {
                self.head.clear();
            }
            self.head.record(count);
        } else if self.connection.is_body_received() {
            self.read_ahead += count;
        }
    }

    /// Whether no request is in progress and no byte of a further one arrived. A connection with
    /// bytes that were read but not yet parsed as a request mustn't be closed: their request would
    /// be served and its response lost.
    fn is_idle(&self) -> bool {
        !self.connection.is_active() && self.head_begun_at != Some(self.connection.served())
    }

    /// Whether the connection waited too long for its next request; called while no bytes can be
    /// read. The HTTP library itself limits the time of the first head only.
    fn poll_idle_timeout(&mut self, cx: &mut Context<'_>) -> bool {
        if self.connection.is_active() {
            return false;
        }
        self.read_ahead = 0;
        let served = self.connection.served();
        if served == 0 {
            return false;
        }
        let begun = self.head_begun_at == Some(served);
        if self.idle_phase != (served, begun) {
            self.idle_phase = (served, begun);
            self.idle_timer.stop();
        }
        let limit = if begun { self.limits.head_timeout } else { self.limits.keep_alive };
        self.idle_timer.poll_elapsed(limit, cx)
    }
}

/// What was read of a head that isn't whole yet.
struct Head {
    share: Share,
    bytes: usize,
    room: Room,
}

/// Whether there is room for more of a head.
#[derive(Clone, Copy)]
enum Room {
    Left,
    /// What was read last had none, and may still be parsed.
    Missing,
    /// It was parsed, and the head isn't whole.
    Refused,
}

impl Head {
    fn record(&mut self, count: usize) {
        self.bytes += count;
        if self.share.resize(GROWTH * self.bytes).is_err() {
            self.room = Room::Missing;
        }
    }

    fn clear(&mut self) {
        (self.bytes, self.room) = (0, Room::Left);
        self.share.clear();
    }
}

impl Drop for Io {
    fn drop(&mut self) {
        self.update_reset();
    }
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        if this.read_ahead >= MAX_READ_AHEAD_BYTES && this.connection.is_active() {
            return Poll::Pending; // the end of the request in progress wakes the connection
        }
        match this.head.room {
            _ if this.connection.is_active() => this.head.clear(),
            Room::Left => {}
            Room::Missing => {
                // What was read may hold a whole head, and its request is begun before the next read.
                this.head.room = Room::Refused;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Room::Refused => {
                let cause = "all buffers together hold as many bytes as they may";
                return Poll::Ready(Err(Error::new(ErrorKind::OutOfMemory, cause)));
            }
        }
        let before = buf.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buf) {
            Poll::Ready(done) => {
                let count = buf.filled().len() - before;
                if (count == 0 || done.is_err()) && this.connection.is_active() {
                    this.connection.mark_peer_gone();
                }
                this.record_read(count);
                Poll::Ready(done)
            }
            Poll::Pending if this.connection.is_closing() && this.is_idle() => Poll::Ready(Ok(())),
            Poll::Pending if this.poll_idle_timeout(cx) => {
                Poll::Ready(Err(timeout("timed out waiting for the next request")))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let this = self.get_mut();
        let from_handler = this.connection.is_active() || this.connection.served() > this.flushed;
        if this.replacement.is_none() && !from_handler {
            this.replacement = error::library_response_replacement(buf);
        }
        if let Some(rest) = &mut this.replacement {
            while !rest.is_empty() {
                let count = ready!(Pin::new(&mut this.stream).poll_write(cx, rest))?;
                rest.drain(..count);
            }
            this.replacement = None;
            return Poll::Ready(Ok(buf.len()));
        }
        this.update_reset();
        match Pin::new(&mut this.stream).poll_write(cx, buf) {
            Poll::Ready(done) => {
                this.written_bytes += done.as_ref().map_or(0, |count| *count);
                Poll::Ready(done)
            }
            Poll::Pending => {
                while this.write_timer.poll_elapsed(this.limits.write_timeout, cx) {
                    if this.written_bytes < MIN_WRITE_BYTES {
                        return Poll::Ready(Err(timeout(
                            "the caller reads the response too slowly",
                        )));
                    }
                    this.written_bytes = 0;
                    this.write_timer.stop();
                }
                Poll::Pending
            }
        }
    }

    /// Called once everything buffered was written to the socket.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        this.write_timer.stop();
        this.written_bytes = 0;
        this.flushed = this.connection.served();
        this.connection.mark_written();
        this.update_reset();
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        if this.connection.would_feign_completion() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}

fn timeout(what: &'static str) -> Error {
    Error::new(ErrorKind::TimedOut, what)
}

/// A timer that is created when something first has to be waited for, so that a connection that
/// never waits doesn't pay for one.
#[derive(Default)]
struct Timer(Option<Pin<Box<Sleep>>>);

impl Timer {
    fn stop(&mut self) {
        self.0 = None;
    }

    /// Whether `limit` passed since the first call after a stop; if not, wakes the task when it has.
    fn poll_elapsed(&mut self, limit: Duration, cx: &mut Context<'_>) -> bool {
        let sleep = self.0.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        sleep.as_mut().poll(cx).is_ready()
    }
}
