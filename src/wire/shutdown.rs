//! The state of a graceful shutdown, shared by a listener and its connections.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A graceful shutdown: whether it has begun, and the connections that it waits for.
#[derive(Default)]
pub struct GracefulShutdown {
    begun: Cell<bool>,
    close_after_response: Cell<bool>,
    rejects_incomplete: Cell<bool>,
    /// Wakes connections that wait for a request.
    wake: Notify,
    open: Cell<usize>,
    lingering: Cell<usize>,
}

impl GracefulShutdown {
    /// Counts a connection as open until the guard is dropped.
    pub fn track_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.open.set(self.open.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Counts a connection as lingering until the guard is dropped: the proxy has closed its side, and the
    /// client may still be reading the last bytes.
    pub(super) fn track_lingering(&self) -> LingeringGuard<'_> {
        self.lingering.set(self.lingering.get() + 1);
        LingeringGuard(self)
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// The number of open and lingering connections, which delay the end of the process.
    pub fn open_or_lingering(&self) -> usize {
        self.open.get() + self.lingering.get()
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Waits until the shutdown has begun.
    pub async fn wait_until_begun(&self) {
        while !self.begun.get() {
            self.wake.notified().await;
        }
    }

    /// Waits for the notification that the shutdown begins. Unlike [`Self::wait_until_begun`], does not return
    /// if the shutdown has begun already.
    pub(super) async fn begin_notified(&self) {
        self.wake.notified().await;
    }

    /// Whether connections are closed after their next response.
    pub fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Makes each connection close after its next response.
    pub fn set_close_after_response(&self) {
        self.close_after_response.set(true);
    }

    /// Whether requests that have arrived only in part are rejected.
    pub(super) fn rejects_incomplete_requests(&self) -> bool {
        self.rejects_incomplete.get()
    }

    /// Rejects all requests that have arrived only in part, since the process may soon be killed.
    pub fn reject_incomplete_requests(&self) {
        self.rejects_incomplete.set(true);
        self.wake.notify_waiters();
    }

    /// Begins the shutdown: connections with an open request are closed after its response, all others at
    /// once.
    pub fn begin(&self) {
        self.set_close_after_response();
        self.begun.set(true);
        self.wake.notify_waiters();
    }
}

/// An open connection, for which a shutdown waits.
pub struct ConnectionGuard(Rc<GracefulShutdown>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

/// A lingering connection, for which a shutdown waits.
pub(super) struct LingeringGuard<'a>(&'a GracefulShutdown);

impl Drop for LingeringGuard<'_> {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get().saturating_sub(1));
    }
}
