//! Listener and client connections: HTTP/2 with prior knowledge (RFC 9113, section 3.3), with one task per
//! connection and one per call. Protocol errors are handled by `h2`, which ends the stream or the connection.

use super::call_driver::{drive_call, reject_for_memory, reserve_head_memory, ReceivedCall};
use super::front::GrpcFront;
use crate::clock::duration_from_ms;
use crate::wire::closable_listener::{Accepted, ClosableListener};
use crate::wire::shutdown::GracefulShutdown;
use crate::wire::timestamped_stream::TimestampedStream;
use bytes::Bytes;
use std::cell::Cell;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Delay before the next accept after an accept error (usually file descriptor exhaustion) or at the
/// connection limit, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;
/// Interval of [`run_housekeeping`], in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: u64 = 100;
/// The most calls of a connection that count as arrived together.
const MAX_CALLS_AT_ONCE: usize = 256;
/// Time without calls after which a connection to a backend is closed, in milliseconds.
const UPSTREAM_IDLE_MS: f64 = 60_000.0;

/// Periodically updates the backends from the endpoint list and closes idle connections to backends. Never
/// returns.
pub async fn run_housekeeping(front: Rc<GrpcFront>) {
    loop {
        tokio::time::sleep(Duration::from_millis(HOUSEKEEPING_INTERVAL_MS)).await;
        front.sync_backends();
        front.upstream.close_idle(UPSTREAM_IDLE_MS);
    }
}

/// Rejects queued calls once they can no longer be served before their deadline. Never returns.
pub async fn expire_queued_calls(front: Rc<GrpcFront>) {
    loop {
        let wait_ms = front.admission.next_expiry_ms() - front.now();
        tokio::select! {
            () = tokio::time::sleep(duration_from_ms(wait_ms)) => front.admission.expire_queued(front.now()),
            () = front.admission.call_queued.notified() => {}
        }
    }
}

/// Aborts the calls that are still open when the grace period after the start of the shutdown is over.
pub async fn abort_calls_at_shutdown(front: Rc<GrpcFront>, stop: Rc<GracefulShutdown>) {
    stop.wait_until_begun().await;
    tokio::time::sleep(duration_from_ms(front.limits().stop_ms)).await;
    front.abort_calls();
}

/// Accepts client connections until the listener has closed.
pub async fn accept(front: Rc<GrpcFront>, mut listener: ClosableListener, stop: Rc<GracefulShutdown>) {
    let slots = Arc::new(Semaphore::new(front.limits().clients));
    loop {
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            // At the limit, new connections wait in the listen backlog until a slot is free.
            front.connection_limit_reached.notify_one();
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        match listener.accept(&front.executor.clock).await {
            None => return,
            Some(Ok(Accepted { stream, peer })) => {
                spawn_connection(&front, stream, peer.ip(), &stop, slot);
            }
            Some(Err(_)) => {
                front.executor.with(|engine| engine.counters.accept_failures += 1);
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Spawns the task of a client connection.
fn spawn_connection(
    front: &Rc<GrpcFront>,
    stream: TimestampedStream,
    peer: IpAddr,
    stop: &Rc<GracefulShutdown>,
    slot: OwnedSemaphorePermit,
) {
    front.executor.with(|engine| engine.counters.client_connections += 1);
    let (task_front, stop) = (front.clone(), stop.clone());
    let open_connection = stop.track_connection();
    front.executor.spawn("gRPC client connection", async move {
        let (_open_connection, _slot) = (open_connection, slot);
        if let Err(error) = serve(&task_front, stream, peer, &stop).await {
            tracing::debug!(%error, "gRPC client connection ended with an error");
        }
    });
}

/// The number of open calls of a connection.
#[derive(Default)]
struct OpenCalls {
    count: Cell<usize>,
    /// Notified when a call ends.
    ended: Notify,
}

impl OpenCalls {
    /// Counts a call as open until the returned guard is dropped.
    fn track(self: &Rc<Self>) -> OpenCallGuard {
        self.count.set(self.count.get() + 1);
        OpenCallGuard(self.clone())
    }
}

/// Decrements the number of open calls on drop.
struct OpenCallGuard(Rc<OpenCalls>);

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}

/// The arrival of the calls that a connection accepts.
struct CallArrival {
    /// When the oldest bytes arrived that were read since there was last no call to accept.
    earliest_ms: Rc<Cell<f64>>,
    /// The number of calls accepted since.
    accepted: usize,
}

impl CallArrival {
    fn new(earliest_ms: Rc<Cell<f64>>) -> Self {
        Self { earliest_ms, accepted: 0 }
    }

    /// Polls for a call. What was read before belongs to earlier calls once there is none left to accept, and on a
    /// connection that is never without one after [`MAX_CALLS_AT_ONCE`].
    fn poll<T>(&mut self, poll_accept: impl FnOnce() -> Poll<T>) -> Poll<T> {
        if self.accepted >= MAX_CALLS_AT_ONCE {
            self.reset();
        }
        let accepted = poll_accept();
        match accepted {
            Poll::Ready(_) => self.accepted += 1,
            Poll::Pending => self.reset(),
        }
        accepted
    }

    fn reset(&mut self) {
        self.earliest_ms.set(f64::INFINITY);
        self.accepted = 0;
    }

    /// When a call arrived that was accepted at `now_ms`, or a little earlier, in Unix milliseconds.
    fn ms(&self, now_ms: f64) -> f64 {
        self.earliest_ms.get().min(now_ms)
    }
}

/// Spawns the task of a call, unless there is not enough memory for it.
fn spawn_call(front: &Rc<GrpcFront>, call: ReceivedCall, peer: IpAddr, open_calls: &Rc<OpenCalls>) {
    // Before the task is spawned: the heads that arrive until it runs would add up.
    let Some(reservation) = reserve_head_memory(front, &call.request) else {
        return reject_for_memory(front, call.respond);
    };
    let (open_call, task_front) = (open_calls.track(), front.clone());
    front.executor.spawn("gRPC call", async move {
        let (_open_call, _reservation) = (open_call, reservation);
        drive_call(task_front, call, peer).await;
    });
}

/// Serves a client connection until it ends.
async fn serve(
    front: &Rc<GrpcFront>,
    stream: TimestampedStream,
    peer: IpAddr,
    stop: &Rc<GracefulShutdown>,
) -> Result<(), h2::Error> {
    stream.set_nodelay();
    let mut arrival = CallArrival::new(stream.earliest_arrival_ms());
    let limits = front.limits();
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(limits.window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes())
        .max_concurrent_streams(limits.streams_per_client)
        .max_header_list_size(limits.header_bytes)
        .max_send_buffer_size(limits.window_bytes as usize);
    // A client that does not complete the handshake must not keep its connection slot.
    let handshake = builder.handshake::<_, Bytes>(stream);
    let Ok(connection) = timeout(duration_from_ms(limits.handshake_timeout_ms), handshake).await else {
        return Ok(());
    };
    let mut connection = connection?;
    let open_calls = Rc::new(OpenCalls::default());
    let mut shutting_down = false;
    loop {
        let idle = open_calls.count.get() == 0 && !shutting_down;
        tokio::select! {
            biased;
            accepted = poll_fn(|context| arrival.poll(|| connection.poll_accept(context))) => match accepted {
                None => return Ok(()),
                Some(Err(error)) => return Err(error),
                Some(Ok((request, respond))) => {
                    let call = ReceivedCall { request, respond, arrived_ms: arrival.ms(front.now()) };
                    spawn_call(front, call, peer, &open_calls);
                }
            },
            () = stop.wait_until_begun(), if !shutting_down => {
                shutting_down = true;
                connection.graceful_shutdown();
            }
            () = front.connection_limit_reached.notified(), if idle => {
                shutting_down = true;
                connection.graceful_shutdown();
            }
            () = tokio::time::sleep(duration_from_ms(limits.idle_ms)), if idle => {
                shutting_down = true;
                connection.graceful_shutdown();
            }
            () = open_calls.ended.notified(), if !idle => {}
        }
    }
}
