//! Connections to endpoints, with the attempts that wait for them and those in flight on them.

use super::ids::{AttemptId, ConnectionId};
use crate::{EndpointId, RequestId};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Most requests that a connection bars.
const MAX_BARRED: usize = 256;

/// A connection to an endpoint; times in Unix milliseconds.
#[derive(Debug, Default)]
pub struct Connection {
    /// The endpoint at its other end.
    pub endpoint: EndpointId,
    /// It is established.
    pub up: bool,
    /// It gets no new attempts, and is closed once none is in flight.
    pub closing: bool,
    /// Attempts that wait to be written.
    pub queue: VecDeque<AttemptId>,
    /// Attempts that were written, by the request's id on the wire.
    pub in_flight: HashMap<RequestId, AttemptId>,
    /// Texts of the requests' ids that are to be cancelled at the endpoint.
    pub abandoned: VecDeque<String>,
    /// Requests whose attempt here has ended: a response to it may still come, for the first time or once
    /// more.
    barred: HashSet<RequestId>,
    /// The same, oldest first.
    barred_order: VecDeque<RequestId>,
    /// When something was last written or read.
    pub used_ms: f64,
    /// Attempts that timed out here since something was last read.
    pub timeouts_since_read: u32,
    /// When something was last read.
    pub read_ms: f64,
}

impl Connection {
    /// Attempts queued and in flight.
    pub fn load(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    /// Whether nothing is queued or in flight and no new attempt may come.
    pub fn is_finished(&self) -> bool {
        self.closing && self.load() == 0
    }

    /// Whether a request can be sent on it. A request is sent at most once on a connection, since its
    /// attempts have one id on the wire: a late or repeated response to one would pass for that of another.
    fn accepts(&self, id: RequestId) -> bool {
        let is_queued = || self.queue.iter().any(|queued| queued.request == id);
        !self.closing && !self.in_flight.contains_key(&id) && !self.barred.contains(&id) && !is_queued()
    }

    /// Bars a request from this connection, as its attempt here has ended. The oldest of too many is dropped.
    pub fn bar(&mut self, id: RequestId) {
        if self.barred.insert(id) {
            self.barred_order.push_back(id);
        }
        while self.barred_order.len() > MAX_BARRED {
            if let Some(oldest) = self.barred_order.pop_front() {
                self.barred.remove(&oldest);
            }
        }
    }

    /// Bars a request whose attempt here was abandoned, and has it cancelled at the endpoint.
    pub fn abandon(&mut self, id: RequestId, id_text: String) {
        self.abandoned.push_back(id_text);
        self.bar(id);
    }
}

/// Limits on the number of connections and on the requests of each.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections to all endpoints.
    pub total: usize,
    /// Connections to one endpoint.
    pub per_endpoint: usize,
    /// Requests on a connection from which on another one is opened.
    pub spread_above: usize,
    /// Requests on a connection.
    pub streams: usize,
}

/// The connection found for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// A connection that exists.
    Existing(ConnectionId),
    /// A new connection, which is to be opened.
    New(ConnectionId),
    /// None: every connection is full.
    Unavailable,
}

/// All connections to endpoints.
#[derive(Debug)]
pub struct Connections {
    all: BTreeMap<ConnectionId, Connection>,
    last: ConnectionId,
    limits: ConnectionLimits,
}

impl Connections {
    /// No connections yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { all: BTreeMap::new(), last: 0, limits }
    }

    /// Finds a connection to an endpoint for a request: the least loaded one, or a new one where that has
    /// many requests and the limits allow it.
    pub fn place(&mut self, endpoint: EndpointId, id: RequestId, now: f64) -> Placement {
        let can_open = self.can_open(endpoint);
        let ConnectionLimits { spread_above, streams, .. } = self.limits;
        match self.least_loaded(endpoint, id) {
            Some((conn, load)) if load < streams && (load < spread_above || !can_open) => {
                Placement::Existing(conn)
            }
            _ if can_open => Placement::New(self.add(endpoint, now)),
            _ => Placement::Unavailable,
        }
    }

    /// The least loaded connection to an endpoint that accepts a request, with its load; an established one
    /// first.
    fn least_loaded(&self, endpoint: EndpointId, id: RequestId) -> Option<(ConnectionId, usize)> {
        let to_endpoint = self.all.iter().filter(|(_, connection)| connection.endpoint == endpoint);
        let accepting = to_endpoint.filter(|(_, connection)| connection.accepts(id));
        let least = accepting.min_by_key(|(id, connection)| (connection.load(), !connection.up, **id))?;
        Some((*least.0, least.1.load()))
    }

    /// Whether the limits allow another connection to an endpoint. An established one that is finished closes
    /// at once and does not count in total.
    fn can_open(&self, endpoint: EndpointId) -> bool {
        let held = self.all.values().filter(|connection| !(connection.is_finished() && connection.up));
        let to_endpoint = self.all.values().filter(|connection| connection.endpoint == endpoint);
        held.count() < self.limits.total && to_endpoint.count() < self.limits.per_endpoint
    }

    fn add(&mut self, endpoint: EndpointId, now: f64) -> ConnectionId {
        self.last += 1;
        let connection = Connection { endpoint, used_ms: now, read_ms: now, ..Connection::default() };
        self.all.insert(self.last, connection);
        self.last
    }

    /// Closes the connection that was idle for longest, for an endpoint that has none: otherwise idle
    /// connections could keep a cache that has just started without any.
    pub fn evict(&mut self, endpoint: EndpointId) -> Option<ConnectionId> {
        if self.all.values().any(|connection| connection.endpoint == endpoint) {
            return None;
        }
        let all = self.all.iter_mut();
        let idle =
            all.filter(|(_, connection)| connection.up && !connection.closing && connection.load() == 0);
        let (id, connection) = idle.min_by(|a, b| a.1.used_ms.total_cmp(&b.1.used_ms))?;
        connection.closing = true;
        Some(*id)
    }

    /// Changes the limit on the requests of a connection.
    pub fn set_stream_limit(&mut self, streams: usize) {
        self.limits.streams = streams;
    }

    /// A connection.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.all.get_mut(&id)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.all.remove(&id)
    }

    /// All connections.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ConnectionId, &mut Connection)> {
        self.all.iter_mut()
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests;
