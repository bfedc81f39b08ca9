//! Connections to endpoints, with the attempts queued for them and in flight on them.

use super::ids::{AttemptId, ConnectionId};
use crate::{EndpointId, RequestId};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Maximum number of requests that a connection excludes; the oldest are dropped.
const MAX_EXCLUDED: usize = 256;

/// A connection to an endpoint; times in Unix milliseconds.
#[derive(Debug, Default)]
pub struct Connection {
    /// The endpoint at its other end.
    pub endpoint: EndpointId,
    /// Whether the connect has completed.
    pub established: bool,
    /// Whether it is to be closed once its attempts have ended; it gets no new ones.
    pub closing: bool,
    /// Attempts that have not been written yet.
    pub queue: VecDeque<AttemptId>,
    /// Attempts that were written, by the id of the request, which identifies them in the protocol.
    pub in_flight: HashMap<RequestId, AttemptId>,
    /// Ids of the requests that are to be cancelled at the endpoint, as text.
    pub pending_cancels: VecDeque<String>,
    /// Requests whose attempt on this connection has ended. They must not be sent on it again, because a late
    /// or duplicate reply to that attempt may still arrive.
    excluded: HashSet<RequestId>,
    /// The members of `excluded`, oldest first.
    excluded_order: VecDeque<RequestId>,
    /// When something was last written or read.
    pub last_active_ms: f64,
    /// Number of attempts that timed out since something was last read.
    pub timeouts_since_read: u32,
    /// When something was last read.
    pub last_read_ms: f64,
}

impl Connection {
    /// The number of attempts queued and in flight.
    pub fn load(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    /// Whether it can be closed now: it gets no new attempts, and none is queued or in flight.
    pub fn is_finished(&self) -> bool {
        self.closing && self.load() == 0
    }

    /// Whether a request can be sent on it. A request is sent at most once on a connection: all its attempts
    /// have the same id in the protocol, so a late or duplicate reply to one would be taken for the reply to
    /// another.
    fn accepts(&self, id: RequestId) -> bool {
        let is_queued = || self.queue.iter().any(|queued| queued.request == id);
        !self.closing && !self.in_flight.contains_key(&id) && !self.excluded.contains(&id) && !is_queued()
    }

    /// Excludes a request from this connection, because its attempt here has ended. Beyond `MAX_EXCLUDED`
    /// requests, the oldest is dropped.
    pub fn exclude(&mut self, id: RequestId) {
        if self.excluded.insert(id) {
            self.excluded_order.push_back(id);
        }
        while self.excluded_order.len() > MAX_EXCLUDED {
            if let Some(oldest) = self.excluded_order.pop_front() {
                self.excluded.remove(&oldest);
            }
        }
    }

    /// Queues the cancellation of a request at the endpoint, and excludes the request from this connection.
    pub fn cancel(&mut self, id: RequestId, id_text: String) {
        self.pending_cancels.push_back(id_text);
        self.exclude(id);
    }
}

/// Limits on the number of connections and on the requests of each.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections to all endpoints.
    pub total: usize,
    /// Maximum number of connections to one endpoint.
    pub per_endpoint: usize,
    /// Number of requests on a connection at which another connection is opened, if the limits allow it.
    pub spread_above: usize,
    /// Maximum number of concurrent requests on a connection.
    pub streams_per_connection: usize,
}

/// The connection chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// An existing connection.
    Existing(ConnectionId),
    /// A new connection, which the caller opens.
    New(ConnectionId),
    /// No connection has capacity, and the limits allow no new one.
    Unavailable,
}

/// All connections to endpoints.
#[derive(Debug)]
pub struct Connections {
    by_id: BTreeMap<ConnectionId, Connection>,
    last_id: ConnectionId,
    limits: ConnectionLimits,
}

impl Connections {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { by_id: BTreeMap::new(), last_id: 0, limits }
    }

    /// Chooses a connection to an endpoint for a request: the least loaded one, or a new one if each has at
    /// least `spread_above` requests and the limits allow another connection.
    pub fn place(&mut self, endpoint: EndpointId, id: RequestId, now: f64) -> Placement {
        let can_open = self.can_open(endpoint);
        let ConnectionLimits { spread_above, streams_per_connection, .. } = self.limits;
        match self.least_loaded(endpoint, id) {
            Some((conn, load)) if load < streams_per_connection && (load < spread_above || !can_open) => {
                Placement::Existing(conn)
            }
            _ if can_open => Placement::New(self.add(endpoint, now)),
            _ => Placement::Unavailable,
        }
    }

    /// The least loaded connection to an endpoint that accepts a request, with its load. At equal load an
    /// established connection is preferred.
    fn least_loaded(&self, endpoint: EndpointId, id: RequestId) -> Option<(ConnectionId, usize)> {
        let to_endpoint = self.by_id.iter().filter(|(_, connection)| connection.endpoint == endpoint);
        let accepting = to_endpoint.filter(|(_, connection)| connection.accepts(id));
        let least =
            accepting.min_by_key(|(id, connection)| (connection.load(), !connection.established, **id))?;
        Some((*least.0, least.1.load()))
    }

    /// Whether the limits allow another connection to an endpoint. Established connections that are finished
    /// are about to close and do not count towards the total.
    fn can_open(&self, endpoint: EndpointId) -> bool {
        let counted =
            self.by_id.values().filter(|connection| !(connection.is_finished() && connection.established));
        let to_endpoint = self.by_id.values().filter(|connection| connection.endpoint == endpoint);
        counted.count() < self.limits.total && to_endpoint.count() < self.limits.per_endpoint
    }

    fn add(&mut self, endpoint: EndpointId, now: f64) -> ConnectionId {
        self.last_id += 1;
        let connection =
            Connection { endpoint, last_active_ms: now, last_read_ms: now, ..Connection::default() };
        self.by_id.insert(self.last_id, connection);
        self.last_id
    }

    /// Marks the connection that has been idle for longest as closing, to make room for an endpoint without
    /// connections. Otherwise idle connections could use up the limit, and a new endpoint would get none.
    pub fn evict(&mut self, endpoint: EndpointId) -> Option<ConnectionId> {
        if self.by_id.values().any(|connection| connection.endpoint == endpoint) {
            return None;
        }
        let connections = self.by_id.iter_mut();
        let idle = connections.filter(|(_, connection)| {
            connection.established && !connection.closing && connection.load() == 0
        });
        let (id, connection) = idle.min_by(|a, b| a.1.last_active_ms.total_cmp(&b.1.last_active_ms))?;
        connection.closing = true;
        Some(*id)
    }

    /// Sets the maximum number of concurrent requests on a connection.
    pub fn set_stream_limit(&mut self, streams_per_connection: usize) {
        self.limits.streams_per_connection = streams_per_connection;
    }

    /// Returns a connection, mutably.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.by_id.remove(&id)
    }

    /// Iterates over all connections, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ConnectionId, &mut Connection)> {
        self.by_id.iter_mut()
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

#[cfg(test)]
mod tests;
