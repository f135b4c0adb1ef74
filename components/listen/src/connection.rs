//! State of one connection, shared by its byte stream, its requests and the task that drives it.

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

derives::value! {
    /// What the regular end of a connection shows about its last response.
    #[derive(Default)]
    enum Ending {
        /// The response is complete, or its length or chunks tell where it ends.
        #[default]
        Complete,
        /// The response lasts until the connection ends, and its body isn't complete.
        Incomplete,
        /// As before, and its body is complete but not written to the end.
        Unwritten,
    }
}

/// State of one connection.
#[derive(Default)]
pub(crate) struct Connection {
    /// Requests whose responses the HTTP library hasn't taken over whole for writing.
    active_requests: Cell<u32>,
    /// Requests served before the one in progress.
    served: Cell<u64>,
    /// The body of the request in progress was read to its end.
    body_received: Cell<bool>,
    ending: Cell<Ending>,
    closing: Cell<bool>,
    peer_gone: Cell<bool>,
    /// Dropped with the connection.
    guard: RefCell<Option<Box<dyn Any>>>,
    /// Wakes the connection's task when a request ends or the caller disconnects.
    pub(crate) changed: Notify,
}

impl Connection {
    /// Whether a request is in progress.
    pub(crate) fn is_active(&self) -> bool {
        self.active_requests.get() > 0
    }

    /// Number of requests served so far, without the one in progress.
    pub(crate) fn served(&self) -> u64 {
        self.served.get()
    }

    /// Marks the body of the request in progress as read to its end.
    pub(crate) fn mark_body_received(&self) {
        self.body_received.set(true);
    }

    pub(crate) fn is_body_received(&self) -> bool {
        self.body_received.get()
    }

    /// Records that the response in progress lasts until the connection ends.
    pub(crate) fn begin_undelimited(&self) {
        self.ending.set(Ending::Incomplete);
    }

    /// Records that the body of the response was handed over whole for writing.
    pub(crate) fn mark_body_complete(&self) {
        if self.ending.get() == Ending::Incomplete {
            self.ending.set(Ending::Unwritten);
        }
    }

    /// Records that everything handed over for writing was written.
    pub(crate) fn mark_written(&self) {
        if self.ending.get() == Ending::Unwritten {
            self.ending.set(Ending::Complete);
        }
    }

    /// Whether the regular end of the connection would make an incomplete response look complete.
    pub(crate) fn would_feign_completion(&self) -> bool {
        self.ending.get() != Ending::Complete
    }

    /// Keeps a value until the connection has ended, in place of one that was kept before.
    pub(crate) fn keep(&self, guard: Box<dyn Any>) {
        self.guard.replace(Some(guard));
    }

    /// Makes the connection take no further request.
    pub(crate) fn close(&self) {
        self.closing.set(true);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Records that the caller disconnected while its request was being served.
    pub(crate) fn mark_peer_gone(&self) {
        self.peer_gone.set(true);
        self.changed.notify_one();
    }

    pub(crate) fn is_peer_gone(&self) -> bool {
        self.peer_gone.get()
    }
}

/// Counts one request as in progress while it lives.
pub(crate) struct ActiveRequest(Rc<Connection>);

impl ActiveRequest {
    pub(crate) fn new(connection: Rc<Connection>) -> Self {
        connection.active_requests.set(connection.active_requests.get() + 1);
        connection.body_received.set(false);
        ActiveRequest(connection)
    }

    /// The connection of the request.
    pub(crate) fn connection(&self) -> &Connection {
        &self.0
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
        self.0.served.set(self.0.served.get() + 1);
        self.0.changed.notify_one();
    }
}
