//! The HTTP/3 server: accepts QUIC connections up to a limit and serves each in its own task.

use super::call_registry::CallRegistry;
use super::connection;
use super::front::Http3Front;
use super::metrics::ServerMetrics;
use super::settings::Http3Limits;
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::wire::shutdown::{ConnectionGuard, GracefulShutdown};
use quinn::{Endpoint, Incoming};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Fraction of the connection limit at which new clients must validate their address.
const ADDRESS_VALIDATION_THRESHOLD: f64 = 0.5;
/// Interval at which a stopping server checks whether connections are still open, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: f64 = 50.0;

/// State of the server, shared by its tasks.
pub struct Http3Server {
    pub(super) executor: Rc<Executor>,
    pub(super) front: Rc<Http3Front>,
    pub(super) calls: Rc<CallRegistry>,
    pub(super) limits: Http3Limits,
    open_connections: Cell<usize>,
    metrics: Cell<ServerMetrics>,
}

impl Http3Server {
    /// Creates a server that passes requests to `front`.
    pub fn new(
        executor: Rc<Executor>,
        front: Rc<Http3Front>,
        calls: Rc<CallRegistry>,
        limits: Http3Limits,
    ) -> Rc<Self> {
        let (open_connections, metrics) = Default::default();
        Rc::new(Self { executor, front, calls, limits, open_connections, metrics })
    }

    pub(super) fn update_metrics(&self, update: impl FnOnce(&mut ServerMetrics)) {
        let mut metrics = self.metrics.get();
        update(&mut metrics);
        self.metrics.set(metrics);
    }

    /// Formats the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.get().to_prometheus(self.open_connections.get(), &self.calls)
    }

    /// Admits a connection, unless the limit is reached or the client must validate its address first.
    fn admit(
        self: &Rc<Self>,
        incoming: Incoming,
        stop: &Rc<GracefulShutdown>,
    ) -> Option<(Incoming, ConnectionSlot)> {
        let (open, limit) = (self.open_connections.get(), self.limits.connections);
        if open >= limit {
            self.update_metrics(|metrics| metrics.connections_rejected += 1);
            incoming.refuse();
            return None;
        }
        // A Retry packet guards against spoofed source addresses under load (RFC 9000, section 8.1.2).
        let is_under_load = open as f64 >= ADDRESS_VALIDATION_THRESHOLD * limit as f64;
        if is_under_load && !incoming.remote_address_validated() {
            // `retry` fails only if the address is already validated.
            let _ = incoming.retry();
            return None;
        }
        self.update_metrics(|metrics| metrics.connections_accepted += 1);
        self.executor.with(|engine| engine.counters.client_connections += 1);
        Some((incoming, ConnectionSlot::new(self.clone(), stop.track_connection())))
    }

    /// Spawns the task that serves a connection.
    fn spawn_connection(
        self: &Rc<Self>,
        incoming: Incoming,
        slot: ConnectionSlot,
        stop: Rc<GracefulShutdown>,
    ) {
        let server = self.clone();
        self.executor.spawn("QUIC connection", async move {
            let _slot = slot;
            let handshake = timeout(duration_from_ms(server.limits.handshake_ms), incoming).await;
            if let Ok(Ok(quic)) = handshake {
                connection::serve(&server, quic, &stop).await;
            }
        });
    }
}

/// Guard that counts a connection as open until it is dropped.
struct ConnectionSlot {
    server: Rc<Http3Server>,
    _guard: ConnectionGuard,
}

impl ConnectionSlot {
    fn new(server: Rc<Http3Server>, guard: ConnectionGuard) -> Self {
        server.open_connections.set(server.open_connections.get() + 1);
        Self { server, _guard: guard }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let open_connections = &self.server.open_connections;
        open_connections.set(open_connections.get() - 1);
    }
}

/// Accepts connections until `closing` is notified, then waits for the open ones to end. The caller ends
/// them with `stop`.
pub async fn accept(
    server: Rc<Http3Server>,
    endpoint: Endpoint,
    stop: Rc<GracefulShutdown>,
    closing: Rc<Notify>,
) {
    loop {
        let incoming = tokio::select! {
            biased;
            () = closing.notified() => break,
            incoming = endpoint.accept() => incoming,
        };
        let Some(incoming) = incoming else { return };
        if let Some((incoming, slot)) = server.admit(incoming, &stop) {
            server.spawn_connection(incoming, slot, stop.clone());
        }
    }
    // Without a server configuration, the endpoint refuses new connections and still serves the open ones.
    endpoint.set_server_config(None);
    while server.open_connections.get() > 0 {
        tokio::time::sleep(duration_from_ms(DRAIN_POLL_INTERVAL_MS)).await;
    }
    endpoint.wait_idle().await;
}
