//! Clients' connections: HTTP/2 by the `h2` crate, with prior knowledge (RFC 9113, section 3.3), a task for each connection
//! and each call. What `h2` finds malformed ends the stream or the connection as RFC 9113 requires.

use super::call_driver::drive_call;
use super::flow_control::connection_window_bytes;
use super::front::GrpcFront;
use crate::clock::duration_from_ms;
use crate::wire::shutdown::GracefulShutdown;
use bytes::Bytes;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The wait after an accept that failed, most likely for want of descriptors, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;
/// How long an accept is tried after the stop, for connections that the system had accepted before it, in milliseconds.
const LAST_ACCEPT_MS: u64 = 1;
/// How often idle connections to backends, and the list of endpoints, are looked at, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: u64 = 100;
/// How long a connection to a backend may be without a call, in milliseconds.
const UPSTREAM_IDLE_MS: f64 = 60_000.0;
/// Follows the list of endpoints and closes idle connections to backends, for ever.
pub async fn run_housekeeping(front: Rc<GrpcFront>) {
    loop {
        tokio::time::sleep(Duration::from_millis(HOUSEKEEPING_INTERVAL_MS)).await;
        front.sync_backends();
        front.upstream.tidy(UPSTREAM_IDLE_MS);
    }
}

/// Rejects queued calls whose time is over, for ever.
pub async fn expire_queued_calls(front: Rc<GrpcFront>) {
    loop {
        let left = front.admission.next_due() - front.now();
        tokio::select! {
            () = tokio::time::sleep(duration_from_ms(left)) => front.admission.tick(front.now()),
            () = front.admission.due.notified() => {}
        }
    }
}

/// Aborts the calls that are still open some time after the stop has begun.
pub async fn abort_calls_at_shutdown(front: Rc<GrpcFront>, stop: Rc<GracefulShutdown>) {
    stop.begun().await;
    tokio::time::sleep(duration_from_ms(front.limits().stop_ms)).await;
    front.abort_calls();
}

/// Accepts clients until `closing` is notified.
pub async fn accept(
    front: Rc<GrpcFront>,
    listener: TcpListener,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
) {
    let slots = Arc::new(Semaphore::new(front.limits().clients));
    let mut last = false;
    loop {
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            // Above the limit one new connection waits here, and the others in the system's queue.
            front.connection_limit_reached.notify_one();
            let retry = Duration::from_millis(ACCEPT_RETRY_MS);
            last |= timeout(retry, closing.notified()).await.is_ok();
            continue;
        };
        let accepted = if last {
            match timeout(Duration::from_millis(LAST_ACCEPT_MS), listener.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => return,
            }
        } else {
            tokio::select! {
                biased;
                () = closing.notified() => {
                    last = true;
                    continue;
                }
                accepted = listener.accept() => accepted,
            }
        };
        match accepted {
            Ok((stream, peer)) => spawn_connection(&front, stream, peer.ip(), &stop, slot),
            Err(_) => {
                front.executor.with(|engine| engine.counters.accept_failures += 1);
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Serves a client's connection in a task of its own.
fn spawn_connection(
    front: &Rc<GrpcFront>,
    stream: TcpStream,
    peer: IpAddr,
    stop: &Rc<GracefulShutdown>,
    slot: OwnedSemaphorePermit,
) {
    front.executor.with(|engine| engine.counters.client_connections += 1);
    let (own, stop) = (front.clone(), stop.clone());
    let open = stop.track_connection();
    front.executor.spawn("a gRPC client's connection", async move {
        let (_open, _slot) = (open, slot);
        if let Err(error) = serve(&own, stream, peer, &stop).await {
            tracing::debug!(%error, "gRPC: a client's connection ended");
        }
    });
}

/// The open calls of a connection.
#[derive(Default)]
struct OpenCalls {
    count: Cell<usize>,
    /// Notified when a call ends.
    ended: Notify,
}

impl OpenCalls {
    /// Counts one more call until the guard is dropped.
    fn enter(self: &Rc<Self>) -> OpenCallGuard {
        self.count.set(self.count.get() + 1);
        OpenCallGuard(self.clone())
    }
}

/// Counts an open call until it is dropped.
struct OpenCallGuard(Rc<OpenCalls>);

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.ended.notify_one();
    }
}

/// Serves one client's connection until it has ended.
async fn serve(
    front: &Rc<GrpcFront>,
    stream: TcpStream,
    peer: IpAddr,
    stop: &Rc<GracefulShutdown>,
) -> Result<(), h2::Error> {
    let _ = stream.set_nodelay(true);
    let limits = front.limits();
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(limits.window_bytes)
        .initial_connection_window_size(connection_window_bytes(limits.window_bytes))
        .max_concurrent_streams(limits.streams_per_client)
        .max_header_list_size(limits.header_bytes)
        .max_send_buffer_size(limits.window_bytes as usize);
    // A client that never completes the handshake must not keep its slot.
    let handshake = builder.handshake::<_, Bytes>(stream);
    let Ok(connection) = timeout(duration_from_ms(limits.first_ms), handshake).await else { return Ok(()) };
    let mut connection = connection?;
    let open_calls = Rc::new(OpenCalls::default());
    let mut shutting_down = false;
    loop {
        let idle = open_calls.count.get() == 0 && !shutting_down;
        tokio::select! {
            biased;
            accepted = connection.accept() => match accepted {
                None => return Ok(()),
                Some(Err(error)) => return Err(error),
                Some(Ok((request, respond))) => {
                    let (call, own) = (open_calls.enter(), front.clone());
                    front.executor.spawn("a gRPC call", async move {
                        let _call = call;
                        drive_call(own, request, respond, peer).await;
                    });
                }
            },
            () = stop.begun(), if !shutting_down => {
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
