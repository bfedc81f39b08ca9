//! One QUIC connection: accepts its requests and serves each in its own task. If the client closes the
//! connection, its running reads are cancelled; if the connection is lost, its calls continue and the client
//! can resume them.

use super::path_estimate::{PathEstimate, PathSample};
use super::request;
use super::send_scheduler::SendScheduler;
use super::server::Http3Server;
use crate::clock::duration_from_ms;
use crate::wire::shutdown::GracefulShutdown;
use bytes::Bytes;
use h3::server::RequestResolver;
use quinn::ConnectionError;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Error code of a connection that is closed without an error (RFC 9114, section 8.1).
const H3_NO_ERROR: u32 = 0x100;
/// Time to wait for the client to close the connection before the server does, in milliseconds.
const FLUSH_TIMEOUT_MS: f64 = 400.0;

type Http3Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// State of a connection, shared by the tasks of its requests.
pub(super) struct Connection {
    pub(super) server: Rc<Http3Server>,
    pub(super) quic: quinn::Connection,
    pub(super) peer: IpAddr,
    path: RefCell<PathEstimate>,
    pub(super) scheduler: RefCell<SendScheduler>,
    /// Notified when a body is removed, which may allow others to be sent.
    pub(super) scheduler_changed: Notify,
    open_requests: Cell<usize>,
    request_ended: Notify,
}

/// Serves a connection until it ends. Once `stop` has begun, closes it as soon as its open requests are
/// answered.
pub(super) async fn serve(server: &Rc<Http3Server>, quic: quinn::Connection, stop: &GracefulShutdown) {
    let connection = Rc::new(Connection {
        server: server.clone(),
        peer: quic.remote_address().ip(),
        quic,
        path: RefCell::default(),
        scheduler: RefCell::default(),
        scheduler_changed: Notify::new(),
        open_requests: Cell::new(0),
        request_ended: Notify::new(),
    });
    let mut builder = h3::server::builder();
    builder.max_field_section_size(server.limits.header_bytes);
    let transport = h3_quinn::Connection::new(connection.quic.clone());
    let Ok(mut http3) = builder.build::<_, Bytes>(transport).await else { return };
    connection.accept_requests(&mut http3, stop).await;
    while connection.open_requests.get() > 0 {
        connection.request_ended.notified().await;
    }
    connection.close().await;
}

impl Connection {
    /// Accepts requests until the connection ends or, once `stop` has begun, until the open requests are
    /// answered.
    async fn accept_requests(self: &Rc<Self>, http3: &mut Http3Connection, stop: &GracefulShutdown) {
        let mut stopping = false;
        loop {
            tokio::select! {
                biased;
                accepted = http3.accept() => match accepted {
                    Ok(Some(resolver)) => self.spawn_request(resolver),
                    Ok(None) | Err(_) => return,
                },
                () = stop.wait_until_begun(), if !stopping => {
                    stopping = true;
                    // Sends GOAWAY: accepted requests are still answered, and no new ones are accepted.
                    if http3.shutdown(0).await.is_err() {
                        return;
                    }
                }
                () = self.request_ended.notified(), if stopping => {}
            }
            if stopping && self.open_requests.get() == 0 {
                return;
            }
        }
    }

    fn spawn_request(self: &Rc<Self>, resolver: RequestResolver<h3_quinn::Connection, Bytes>) {
        let open_request = OpenRequest::new(self.clone());
        self.server.executor.spawn("HTTP/3 request", async move {
            let connection = &open_request.connection;
            let head_timeout = duration_from_ms(connection.server.limits.body_ms);
            match timeout(head_timeout, resolver.resolve_request()).await {
                Ok(Ok((request, stream))) => request::serve(connection, request, stream).await,
                _ => connection.server.update_metrics(|metrics| metrics.malformed_requests += 1),
            }
        });
    }

    /// Closes the connection if it is open, once the client has had time to receive the last bytes; counts it
    /// as lost if it failed.
    async fn close(&self) {
        match self.quic.close_reason() {
            None => {
                // Closing discards data that is not acknowledged yet, so the client is given time to close
                // first.
                let _ = timeout(duration_from_ms(FLUSH_TIMEOUT_MS), self.quic.closed()).await;
                self.quic.close(H3_NO_ERROR.into(), b"");
            }
            Some(ConnectionError::ApplicationClosed(_) | ConnectionError::LocallyClosed) => {}
            Some(reason) => {
                self.server.update_metrics(|metrics| metrics.connections_lost += 1);
                tracing::debug!(peer = %self.peer, %reason, "HTTP/3 connection lost");
            }
        }
    }

    /// Updates the path estimate from the transport's statistics and returns it.
    pub(super) fn estimate_path(&self) -> PathEstimate {
        let stats = self.quic.stats().path;
        let mut path = self.path.borrow_mut();
        path.update(PathSample {
            rtt_ms: self.quic.rtt().as_secs_f64() * 1_000.0,
            sent_packets: stats.sent_packets,
            lost_packets: stats.lost_packets,
            window_bytes: stats.cwnd,
        });
        *path
    }

    /// Whether the client closed the connection, as opposed to a timeout or an error.
    pub(super) fn is_closed_by_client(&self) -> bool {
        matches!(self.quic.close_reason(), Some(ConnectionError::ApplicationClosed(_)))
    }
}

/// Guard that counts a request as open until it is dropped.
struct OpenRequest {
    connection: Rc<Connection>,
}

impl OpenRequest {
    fn new(connection: Rc<Connection>) -> Self {
        connection.open_requests.set(connection.open_requests.get() + 1);
        Self { connection }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open_requests = &self.connection.open_requests;
        open_requests.set(open_requests.get() - 1);
        self.connection.request_ended.notify_one();
    }
}
