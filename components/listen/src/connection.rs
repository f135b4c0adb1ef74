//! State of one connection, shared by its byte stream, its requests and the task that drives it.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// State of one connection.
#[derive(Default)]
pub(crate) struct Connection {
    /// Requests whose responses the HTTP library hasn't taken over whole for writing.
    active_requests: Cell<u32>,
    /// Requests served before the one in progress.
    served: Cell<u64>,
    /// The body of the request in progress was read to its end.
    body_received: Cell<bool>,
    closing: Cell<bool>,
    peer_gone: Cell<bool>,
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
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
        self.0.served.set(self.0.served.get() + 1);
        self.0.changed.notify_one();
    }
}
