//! HTTP/2 connections to backends; each runs in a task of its own. As in the other fronts, [`Connections`]
//! assigns calls to connections and decides when to open another one.

use super::limits::GrpcLimits;
use super::stream_slots::{StreamSlot, StreamSlots};
use crate::clock::{duration_from_ms, Clock};
use crate::state::connections::{ConnectionLimits, Connections, Placement};
use crate::state::ids::{AttemptId, ConnectionId};
use crate::wire::cache_connection::is_local_resource_error;
use crate::EndpointId;
use bytes::Bytes;
use h2::client::SendRequest;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};

/// How often a call that waits for a stream checks whether the backend has raised its limit, in milliseconds.
const STREAM_LIMIT_CHECK_MS: f64 = 50.0;

/// The state of a connection, watched by the calls assigned to it.
#[derive(Clone)]
enum ConnectionState {
    Connecting,
    Up(EstablishedConnection),
    /// The connection was not established or has ended. `local` means that the cause is not the backend.
    Down {
        local: bool,
    },
}

/// An established connection.
#[derive(Clone)]
struct EstablishedConnection {
    send: SendRequest<Bytes>,
    slots: Rc<StreamSlots>,
}

struct ConnectionHandle {
    state: watch::Receiver<ConnectionState>,
    /// Notified to close the connection.
    close: Rc<Notify>,
}

/// A backend, at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendAddress {
    /// The backend's id.
    pub id: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// All connections to backends.
pub struct Upstream {
    clock: Clock,
    limits: GrpcLimits,
    connections: RefCell<Connections>,
    handles: RefCell<HashMap<ConnectionId, ConnectionHandle>>,
    /// The endpoint id in `connections` of each backend. A backend at the address of one that has gone is another
    /// process, which must not get its calls on the former one's connections.
    backends: RefCell<HashMap<BackendAddress, EndpointId>>,
    last_endpoint_id: Cell<EndpointId>,
}

/// A call's reservation of a stream on a connection, released on drop.
pub struct StreamPermit {
    upstream: Rc<Upstream>,
    conn: ConnectionId,
    call: u64,
    state: watch::Receiver<ConnectionState>,
}

impl Upstream {
    /// Creates an instance without connections.
    pub fn new(clock: Clock, limits: GrpcLimits, connection_limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(Self {
            clock,
            limits,
            connections: RefCell::new(Connections::new(connection_limits)),
            handles: RefCell::default(),
            backends: RefCell::default(),
            last_endpoint_id: Cell::new(0),
        })
    }

    /// The number of connections, including those being established.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn endpoint_id(&self, backend: BackendAddress) -> EndpointId {
        let mut backends = self.backends.borrow_mut();
        let next = self.last_endpoint_id.get() + 1;
        *backends.entry(backend).or_insert_with(|| {
            self.last_endpoint_id.set(next);
            next
        })
    }

    /// Reserves a stream on a connection to a backend, opening a connection if needed. At the connection
    /// limit, an idle connection to another backend is closed if this one has none. Returns `None` if no
    /// stream is available.
    pub fn reserve_stream(
        self: &Rc<Self>,
        to: BackendAddress,
        call: u64,
        attempt: u32,
    ) -> Option<StreamPermit> {
        let (now, backend) = (self.clock.now(), self.endpoint_id(to));
        let mut connections = self.connections.borrow_mut();
        let mut placement = connections.place(backend, call, now);
        if placement == Placement::Unavailable {
            if let Some(idle) = connections.evict(backend) {
                self.handles.borrow().get(&idle).inspect(|handle| handle.close.notify_one());
                placement = connections.place(backend, call, now);
            }
        }
        let conn = match placement {
            Placement::Unavailable => return None,
            Placement::Existing(conn) => conn,
            Placement::New(conn) => {
                let (sender, state) = watch::channel(ConnectionState::Connecting);
                let close = Rc::new(Notify::new());
                self.handles.borrow_mut().insert(conn, ConnectionHandle { state, close: close.clone() });
                let upstream = self.clone();
                tokio::task::spawn_local(async move {
                    let _guard = ConnectionGuard { upstream: upstream.clone(), conn };
                    upstream.run_connection(conn, to.address, sender, close).await;
                });
                conn
            }
        };
        let connection = connections.get_mut(conn)?;
        connection.in_flight.insert(call, AttemptId { request: call, number: attempt });
        connection.last_active_ms = now;
        let state = self.handles.borrow().get(&conn)?.state.clone();
        Some(StreamPermit { upstream: self.clone(), conn, call, state })
    }

    /// Stops using a backend: its connections are closed once they have no open streams.
    pub fn retire(&self, backend: BackendAddress) {
        let Some(backend) = self.backends.borrow_mut().remove(&backend) else { return };
        for (conn, connection) in
            self.connections.borrow_mut().iter_mut().filter(|(_, connection)| connection.endpoint == backend)
        {
            connection.closing = true;
            self.close_if_done(*conn, connection.load());
        }
    }

    /// Closes connections that were idle for longer than `idle_ms`.
    pub fn close_idle(&self, idle_ms: f64) {
        let now = self.clock.now();
        for (conn, connection) in self.connections.borrow_mut().iter_mut() {
            connection.closing |=
                connection.established && connection.load() == 0 && now - connection.last_active_ms > idle_ms;
            if connection.closing {
                self.close_if_done(*conn, connection.load());
            }
        }
    }

    fn close_if_done(&self, conn: ConnectionId, load: usize) {
        if load == 0 {
            self.handles.borrow().get(&conn).inspect(|handle| handle.close.notify_one());
        }
    }

    /// Marks a connection that accepts no more streams.
    fn mark_exhausted(&self, conn: ConnectionId) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(conn) {
            connection.closing = true;
        }
    }

    async fn run_connection(
        &self,
        conn: ConnectionId,
        address: SocketAddr,
        sender: watch::Sender<ConnectionState>,
        close: Rc<Notify>,
    ) {
        let connect = async {
            let stream = TcpStream::connect(address).await.map_err(|e| is_local_resource_error(&e))?;
            let _ = stream.set_nodelay(true);
            let limits = &self.limits;
            let mut builder = h2::client::Builder::new();
            builder
                .enable_push(false)
                .initial_window_size(limits.window_bytes)
                .initial_connection_window_size(limits.connection_window_bytes())
                .max_header_list_size(limits.header_bytes)
                .max_send_buffer_size(limits.window_bytes as usize);
            builder.handshake::<_, Bytes>(stream).await.map_err(|_| false)
        };
        let (send, mut connection) = match timeout(duration_from_ms(self.limits.connect_ms), connect).await {
            Ok(Ok(up)) => up,
            Ok(Err(local)) => return drop(sender.send(ConnectionState::Down { local })),
            Err(_) => return drop(sender.send(ConnectionState::Down { local: false })),
        };
        let ping = connection.ping_pong();
        if let Some(entry) = self.connections.borrow_mut().get_mut(conn) {
            entry.established = true;
        }
        let slots = StreamSlots::new(self.limits.streams_per_connection);
        let _ = sender.send(ConnectionState::Up(EstablishedConnection { send, slots }));
        tokio::select! {
            ended = &mut connection => if let Err(error) = ended {
                tracing::debug!(%address, %error, "gRPC backend connection ended with an error");
            },
            () = self.ping_until_unanswered(ping) => {
                tracing::warn!(%address, "gRPC backend connection closed: no response to a keepalive ping");
            }
            () = close.notified() => {}
        }
        // Dropping the connection ends its open streams with an error.
        let _ = sender.send(ConnectionState::Down { local: false });
    }

    /// Sends keepalive pings, and returns when one is not answered in time. Detects dead connections whose
    /// streams are idle.
    async fn ping_until_unanswered(&self, ping: Option<h2::PingPong>) {
        let Some(mut ping) = ping else { return std::future::pending().await };
        loop {
            sleep(duration_from_ms(self.limits.keepalive_ms)).await;
            let answer =
                timeout(duration_from_ms(self.limits.keepalive_timeout_ms), ping.ping(h2::Ping::opaque()))
                    .await;
            match answer {
                Ok(Ok(_)) => {}
                // The connection's future reports this error.
                Ok(Err(_)) => return std::future::pending().await,
                Err(_) => return,
            }
        }
    }
}

/// Removes a connection when its task ends, even by a panic.
struct ConnectionGuard {
    upstream: Rc<Upstream>,
    conn: ConnectionId,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.upstream.handles.borrow_mut().remove(&self.conn);
        self.upstream.connections.borrow_mut().remove(self.conn);
    }
}

/// The right to open one stream at once. Keep it for as long as the stream is open.
pub struct ReadyStream {
    /// Sends the request.
    pub send: SendRequest<Bytes>,
    _slot: StreamSlot,
}

/// The reason why a connection cannot be used for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionError {
    /// The connection was not established or has ended.
    #[error("the connection was not established or has ended")]
    NotConnected {
        /// Whether the cause is local and not the backend.
        local: bool,
    },
    /// The connection accepts no more streams, which is not an error of the backend.
    #[error("the connection accepts no more streams")]
    Exhausted,
}

impl StreamPermit {
    /// Waits until the connection is established and the backend allows another stream on it. A request sent
    /// then is not queued behind other streams. Waits in order of arrival; a cancelled wait loses its place.
    pub async fn ready(&mut self) -> Result<ReadyStream, ConnectionError> {
        let EstablishedConnection { send, slots } = self.established().await?;
        let mut slot = pin!(slots.acquire());
        let slot = loop {
            slots.set_limit(send.current_max_send_streams());
            tokio::select! {
                biased;
                slot = &mut slot => break slot,
                // An established connection changes its state only when it ends.
                _ = self.state.changed() => return Err(ConnectionError::NotConnected { local: false }),
                () = sleep(duration_from_ms(STREAM_LIMIT_CHECK_MS)) => {}
            }
        };
        match send.ready().await {
            Ok(send) => Ok(ReadyStream { send, _slot: slot }),
            Err(_) => {
                self.upstream.mark_exhausted(self.conn);
                Err(ConnectionError::Exhausted)
            }
        }
    }

    /// Waits until the connection is established.
    async fn established(&mut self) -> Result<EstablishedConnection, ConnectionError> {
        loop {
            let state = self.state.borrow_and_update().clone();
            match state {
                ConnectionState::Up(connection) => return Ok(connection),
                ConnectionState::Down { local } => return Err(ConnectionError::NotConnected { local }),
                ConnectionState::Connecting => {}
            }
            if self.state.changed().await.is_err() {
                return Err(ConnectionError::NotConnected { local: false });
            }
        }
    }

    /// Marks the connection as accepting no more streams.
    pub fn connection_exhausted(&self) {
        self.upstream.mark_exhausted(self.conn);
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        let now = self.upstream.clock.now();
        let mut connections = self.upstream.connections.borrow_mut();
        let Some(connection) = connections.get_mut(self.conn) else { return };
        connection.in_flight.remove(&self.call);
        connection.last_active_ms = now;
        if connection.closing {
            self.upstream.close_if_done(self.conn, connection.load());
        }
    }
}
