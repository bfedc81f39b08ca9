//! Sends a response in chunks, scheduled by priority among the responses of its connection.

use super::connection::Connection;
use super::request::Stream;
use super::send_scheduler::{BodyId, Priority, RECHECK_INTERVAL_MS};
use crate::clock::duration_from_ms;
use bytes::Bytes;
use h3::error::StreamError;
use http::Response;
use tokio::time::timeout;

/// Sends a response's head and body.
pub(super) async fn send(
    connection: &Connection,
    head: Response<()>,
    mut body: Bytes,
    priority: Priority,
    stream: &mut Stream,
) -> Result<(), StreamError> {
    stream.send_response(head).await?;
    let scheduled = ScheduledBody::new(connection, priority);
    while !body.is_empty() {
        scheduled.wait_to_send().await;
        let chunk = body.split_to(body.len().min(connection.server.limits.chunk_bytes));
        stream.send_data(chunk).await?;
        scheduled.record_progress();
    }
    stream.finish().await
}

/// Guard that registers a body with the scheduler of its connection until it is dropped.
struct ScheduledBody<'a> {
    connection: &'a Connection,
    id: BodyId,
}

impl<'a> ScheduledBody<'a> {
    fn new(connection: &'a Connection, priority: Priority) -> Self {
        let now = connection.server.executor.clock.now();
        let id = connection.scheduler.borrow_mut().add(now, priority);
        Self { connection, id }
    }

    /// Waits until the scheduler permits the next chunk.
    async fn wait_to_send(&self) {
        let recheck = duration_from_ms(RECHECK_INTERVAL_MS);
        while !self.may_send() {
            let _ = timeout(recheck, self.connection.scheduler_changed.notified()).await;
        }
    }

    fn may_send(&self) -> bool {
        let now = self.connection.server.executor.clock.now();
        self.connection.scheduler.borrow().may_send(now, self.id)
    }

    fn record_progress(&self) {
        let now = self.connection.server.executor.clock.now();
        self.connection.scheduler.borrow_mut().record_progress(now, self.id);
    }
}

impl Drop for ScheduledBody<'_> {
    fn drop(&mut self) {
        self.connection.scheduler.borrow_mut().remove(self.id);
        self.connection.scheduler_changed.notify_waiters();
    }
}
