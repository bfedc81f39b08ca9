//! Connections to backends: HTTP/2 by the `h2` crate, one task each. Which connection a call goes onto, and when a
//! further one is opened, is [`Connections`]' decision, the same as for the other fronts' members.

use super::config::GrpcLimits;
use crate::clock::{duration_from_ms, Clock};
use crate::state::connections::{Bounds, ConnId, Connections, Place};
use crate::wire::cache_connection::is_local;
use crate::EndpointId;
use bytes::Bytes;
use h2::client::SendRequest;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::timeout;

/// A connection's state, as those see it who wait for it.
#[derive(Clone)]
enum State {
    Connecting,
    Up(SendRequest<Bytes>),
    /// It did not come up, or has ended; `local` says that the fault is this machine's own.
    Down {
        local: bool,
    },
}

struct Link {
    state: watch::Receiver<State>,
    /// Nothing is out on it, and nothing more will be.
    close: Rc<Notify>,
}

/// All connections to backends.
pub struct Upstream {
    clock: Clock,
    limits: GrpcLimits,
    connections: RefCell<Connections>,
    links: RefCell<HashMap<ConnId, Link>>,
    /// Addresses by the number under which their connections are held.
    addresses: RefCell<HashMap<SocketAddr, EndpointId>>,
}

/// A call's place on a connection; it is free again once this is dropped.
pub struct StreamPermit {
    upstream: Rc<Upstream>,
    conn: ConnId,
    call: u64,
    state: watch::Receiver<State>,
}

impl Upstream {
    /// None yet.
    pub fn new(clock: Clock, limits: GrpcLimits, bounds: Bounds) -> Rc<Self> {
        Rc::new(Self {
            clock,
            limits,
            connections: RefCell::new(Connections::new(bounds)),
            links: RefCell::default(),
            addresses: RefCell::default(),
        })
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn number(&self, address: SocketAddr) -> EndpointId {
        let mut addresses = self.addresses.borrow_mut();
        let next = addresses.len() as EndpointId;
        *addresses.entry(address).or_insert(next)
    }

    /// Gives a call a place on a connection to a backend; none where all are full.
    pub fn place(self: &Rc<Self>, address: SocketAddr, call: u64, attempt: u32) -> Option<StreamPermit> {
        let (now, backend) = (self.clock.now(), self.number(address));
        let mut all = self.connections.borrow_mut();
        let mut place = all.place(backend, call, now);
        if place == Place::Nowhere {
            if let Some(idle) = all.evict(backend) {
                self.links.borrow().get(&idle).inspect(|link| link.close.notify_one());
                place = all.place(backend, call, now);
            }
        }
        let conn = match place {
            Place::Nowhere => return None,
            Place::On(conn) => conn,
            Place::New(conn) => {
                let (tell, state) = watch::channel(State::Connecting);
                let close = Rc::new(Notify::new());
                self.links.borrow_mut().insert(conn, Link { state, close: close.clone() });
                let own = self.clone();
                tokio::task::spawn_local(async move {
                    let _end = Ended { upstream: own.clone(), conn };
                    own.drive(conn, address, tell, close).await;
                });
                conn
            }
        };
        let c = all.get_mut(conn)?;
        c.out.insert(call, (call, attempt));
        c.used_ms = now;
        let state = self.links.borrow().get(&conn)?.state.clone();
        Some(StreamPermit { upstream: self.clone(), conn, call, state })
    }

    /// A backend takes nothing new: its connections end once nothing is out on them.
    pub fn retire(&self, address: SocketAddr) {
        let Some(backend) = self.addresses.borrow().get(&address).copied() else { return };
        for (conn, c) in self.connections.borrow_mut().iter_mut().filter(|(_, c)| c.endpoint == backend) {
            c.closing = true;
            self.close_if_done(*conn, c.load());
        }
    }

    /// Ends connections that were idle for `idle_ms`.
    pub fn tidy(&self, idle_ms: f64) {
        let now = self.clock.now();
        for (conn, c) in self.connections.borrow_mut().iter_mut() {
            c.closing |= c.up && c.load() == 0 && now - c.used_ms > idle_ms;
            if c.closing {
                self.close_if_done(*conn, c.load());
            }
        }
    }

    fn close_if_done(&self, conn: ConnId, load: usize) {
        if load == 0 {
            self.links.borrow().get(&conn).inspect(|link| link.close.notify_one());
        }
    }

    /// Nothing new goes onto a connection: its backend said so, or it no longer takes streams.
    fn spent(&self, conn: ConnId) {
        if let Some(c) = self.connections.borrow_mut().get_mut(conn) {
            c.closing = true;
        }
    }

    async fn drive(&self, conn: ConnId, address: SocketAddr, tell: watch::Sender<State>, close: Rc<Notify>) {
        let open = async {
            let stream = TcpStream::connect(address).await.map_err(|e| is_local(&e))?;
            let _ = stream.set_nodelay(true);
            let l = &self.limits;
            let mut builder = h2::client::Builder::new();
            builder
                .enable_push(false)
                .initial_window_size(l.window_bytes)
                .initial_connection_window_size(l.window_bytes.saturating_mul(4).min(1 << 30))
                .max_header_list_size(l.header_bytes)
                .max_send_buffer_size(l.window_bytes as usize);
            builder.handshake::<_, Bytes>(stream).await.map_err(|_| false)
        };
        let (send, mut connection) = match timeout(duration_from_ms(self.limits.connect_ms), open).await {
            Ok(Ok(up)) => up,
            Ok(Err(local)) => return drop(tell.send(State::Down { local })),
            Err(_) => return drop(tell.send(State::Down { local: false })),
        };
        let ping = connection.ping_pong();
        if let Some(c) = self.connections.borrow_mut().get_mut(conn) {
            c.up = true;
        }
        let _ = tell.send(State::Up(send));
        tokio::select! {
            ended = &mut connection => if let Err(error) = ended {
                tracing::debug!(%address, %error, "gRPC: a backend's connection ended");
            },
            () = self.keep_alive(ping) => {
                tracing::warn!(%address, "gRPC: a backend's connection fell silent");
            }
            () = close.notified() => {}
        }
        // With the connection dropped, what is still out on it ends as broken.
        let _ = tell.send(State::Down { local: false });
    }

    /// Pings until no answer comes in time: guards long streams against a path that is dead without a word.
    async fn keep_alive(&self, ping: Option<h2::PingPong>) {
        let Some(mut ping) = ping else { return std::future::pending().await };
        loop {
            tokio::time::sleep(duration_from_ms(self.limits.keepalive_ms)).await;
            let answer =
                timeout(duration_from_ms(self.limits.keepalive_timeout_ms), ping.ping(h2::Ping::opaque()))
                    .await;
            match answer {
                Ok(Ok(_)) => {}
                // The connection's own end tells of this one.
                Ok(Err(_)) => return std::future::pending().await,
                Err(_) => return,
            }
        }
    }
}

/// Forgets a connection when its task is gone, however that came.
struct Ended {
    upstream: Rc<Upstream>,
    conn: ConnId,
}

impl Drop for Ended {
    fn drop(&mut self) {
        self.upstream.links.borrow_mut().remove(&self.conn);
        self.upstream.connections.borrow_mut().remove(self.conn);
    }
}

/// Why a seat's connection takes no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// It did not come up; `local` says that the fault is this machine's own.
    NotConnected {
        /// This machine's own fault.
        local: bool,
    },
    /// It had come up and takes no more: that proves no fault.
    Exhausted,
}

impl StreamPermit {
    /// Waits for the connection to come up and to have room for a stream.
    pub async fn ready(&mut self) -> Result<SendRequest<Bytes>, ConnectionError> {
        let send = loop {
            let state = self.state.borrow_and_update().clone();
            match state {
                State::Up(send) => break send,
                State::Down { local } => return Err(ConnectionError::NotConnected { local }),
                State::Connecting => {}
            }
            if self.state.changed().await.is_err() {
                return Err(ConnectionError::NotConnected { local: false });
            }
        };
        send.ready().await.map_err(|_| {
            self.upstream.spent(self.conn);
            ConnectionError::Exhausted
        })
    }

    /// The connection takes nothing more.
    pub fn spent(&self) {
        self.upstream.spent(self.conn);
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        let now = self.upstream.clock.now();
        let mut all = self.upstream.connections.borrow_mut();
        let Some(c) = all.get_mut(self.conn) else { return };
        c.out.remove(&self.call);
        c.used_ms = now;
        if c.closing {
            self.upstream.close_if_done(self.conn, c.load());
        }
    }
}
