//! Connections to members, with what waits for them and what is out on them.

use super::attempts::AttemptId;
use crate::{EndpointId, RequestId};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// A connection's number; never used again.
pub type ConnectionId = u64;

/// Requests whose attempt on a connection is over that are remembered there.
const MAX_BARRED: usize = 256;

/// A connection as the engine sees it.
#[derive(Debug, Default)]
pub struct Connection {
    /// The endpoint at its other end.
    pub endpoint: EndpointId,
    /// It has come up.
    pub up: bool,
    /// Nothing new goes onto it; it is closed once nothing is out on it.
    pub closing: bool,
    /// Attempts that wait to be written.
    pub queue: VecDeque<AttemptId>,
    /// Attempts that were written, by the id on the wire.
    pub in_flight: HashMap<RequestId, AttemptId>,
    /// Requests to be given up.
    pub abandoned: VecDeque<String>,
    /// Requests whose attempt here is over while they may be asked again: an answer to it may still come, for the first
    /// time or once more.
    barred: HashSet<RequestId>,
    barred_order: VecDeque<RequestId>,
    /// When something was last written or read.
    pub used_ms: f64,
    /// Attempts that timed out here since something was last read.
    pub timeouts_since_read: u32,
    /// When something was last read.
    pub read_ms: f64,
}

impl Connection {
    /// What it has to do.
    pub fn load(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    /// Whether a request can go onto it: guards against an answer to an earlier attempt, late or a second time, being
    /// taken for that of a later attempt of the same request, which has the same id.
    fn accepts(&self, id: RequestId) -> bool {
        let queued = || self.queue.iter().any(|(queued, _)| *queued == id);
        !self.closing && !self.in_flight.contains_key(&id) && !self.barred.contains(&id) && !queued()
    }

    /// Remembers that a request's attempt here is over.
    pub fn bar(&mut self, id: RequestId) {
        if self.barred.insert(id) {
            self.barred_order.push_back(id);
        }
        while self.barred_order.len() > MAX_BARRED {
            if let Some(old) = self.barred_order.pop_front() {
                self.barred.remove(&old);
            }
        }
    }

    /// Remembers that a request was given up here, and that the endpoint is to be told.
    pub fn abandon(&mut self, id: RequestId, text: String) {
        self.abandoned.push_back(text);
        self.bar(id);
    }
}

/// How many connections there may be, and how many requests on each.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Connections to all endpoints.
    pub total: usize,
    /// Connections to one endpoint.
    pub per_endpoint: usize,
    /// Requests on a connection from which on a further one is opened.
    pub spread_above: usize,
    /// Requests on a connection.
    pub streams: usize,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Onto this connection.
    Existing(ConnectionId),
    /// Onto a new one.
    New(ConnectionId),
    /// Nowhere: every connection is full.
    Unavailable,
}

/// All connections to endpoints.
#[derive(Debug)]
pub struct Connections {
    all: BTreeMap<ConnectionId, Connection>,
    next: ConnectionId,
    limits: ConnectionLimits,
}

impl Connections {
    /// None yet.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { all: BTreeMap::new(), next: 0, limits }
    }

    /// Finds a connection to an endpoint for a request, the least busy one first.
    pub fn place(&mut self, endpoint: EndpointId, id: RequestId, now: f64) -> Placement {
        let mine = || self.all.iter().filter(|(_, c)| c.endpoint == endpoint);
        let best = mine().filter(|(_, c)| c.accepts(id)).min_by_key(|(k, c)| (c.load(), !c.up, **k));
        let best = best.map(|(k, c)| (*k, c.load()));
        let ConnectionLimits { spread_above, streams, .. } = self.limits;
        // What is idle and closing ends at once, and counts no more.
        let held = self.all.values().filter(|c| !(c.closing && c.up && c.load() == 0)).count();
        let room = held < self.limits.total && mine().count() < self.limits.per_endpoint;
        match best {
            Some((conn, load)) if load < streams && (load < spread_above || !room) => {
                Placement::Existing(conn)
            }
            _ if room => {
                self.next += 1;
                let fresh = Connection { endpoint, used_ms: now, read_ms: now, ..Connection::default() };
                self.all.insert(self.next, fresh);
                Placement::New(self.next)
            }
            _ => Placement::Unavailable,
        }
    }

    /// Makes room for an endpoint that has no connection: the one that was idle for longest is to be closed. Guards
    /// a cache that has just started against idle connections to all others holding every place.
    pub fn evict(&mut self, endpoint: EndpointId) -> Option<ConnectionId> {
        if self.all.values().any(|c| c.endpoint == endpoint) {
            return None;
        }
        let idle = self.all.iter_mut().filter(|(_, c)| c.up && !c.closing && c.load() == 0);
        let (conn, c) = idle.min_by(|a, b| a.1.used_ms.total_cmp(&b.1.used_ms))?;
        c.closing = true;
        Some(*conn)
    }

    /// Takes another bound on the requests of a connection.
    pub fn set_stream_limit(&mut self, streams: usize) {
        self.limits.streams = streams;
    }

    /// A connection.
    pub fn get_mut(&mut self, conn: ConnectionId) -> Option<&mut Connection> {
        self.all.get_mut(&conn)
    }

    /// Forgets a connection that has ended.
    pub fn remove(&mut self, conn: ConnectionId) -> Option<Connection> {
        self.all.remove(&conn)
    }

    /// All of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ConnectionId, &mut Connection)> {
        self.all.iter_mut()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

#[cfg(test)]
mod tests;
