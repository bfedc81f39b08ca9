//! Connections to members, with what waits for them and what is out on them.

use super::attempts::AttemptId;
use crate::{EndpointId, RequestId};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// A connection's number; never used again.
pub type ConnId = u64;

/// Requests whose attempt on a connection is over that are remembered there.
const MAX_OVER: usize = 256;

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
    pub out: HashMap<RequestId, AttemptId>,
    /// Requests to be given up.
    pub drops: VecDeque<String>,
    /// Requests whose attempt here is over while they may be asked again: an answer to it may still come, for the first
    /// time or once more.
    over: HashSet<RequestId>,
    over_order: VecDeque<RequestId>,
    /// When something was last written or read.
    pub used_ms: f64,
    /// Attempts that timed out here since something was last read.
    pub unheard: u32,
    /// When something was last read.
    pub read_ms: f64,
}

impl Connection {
    /// What it has to do.
    pub fn load(&self) -> usize {
        self.queue.len() + self.out.len()
    }

    /// Whether a request can go onto it: guards against an answer to an earlier attempt, late or a second time, being
    /// taken for that of a later attempt of the same request, which has the same id.
    fn takes(&self, id: RequestId) -> bool {
        let queued = || self.queue.iter().any(|(queued, _)| *queued == id);
        !self.closing && !self.out.contains_key(&id) && !self.over.contains(&id) && !queued()
    }

    /// Remembers that a request's attempt here is over.
    pub fn close_to(&mut self, id: RequestId) {
        if self.over.insert(id) {
            self.over_order.push_back(id);
        }
        while self.over_order.len() > MAX_OVER {
            if let Some(old) = self.over_order.pop_front() {
                self.over.remove(&old);
            }
        }
    }

    /// Remembers that a request was given up here, and that the endpoint is to be told.
    pub fn give_up(&mut self, id: RequestId, text: String) {
        self.drops.push_back(text);
        self.close_to(id);
    }
}

/// How many connections there may be, and how many requests on each.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections to all endpoints.
    pub total: usize,
    /// Connections to one endpoint.
    pub endpoint: usize,
    /// Requests on a connection from which on a further one is opened.
    pub spread: usize,
    /// Requests on a connection.
    pub streams: usize,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Onto this connection.
    On(ConnId),
    /// Onto a new one.
    New(ConnId),
    /// Nowhere: every connection is full.
    Nowhere,
}

/// All connections to endpoints.
#[derive(Debug)]
pub struct Connections {
    all: BTreeMap<ConnId, Connection>,
    next: ConnId,
    bounds: Bounds,
}

impl Connections {
    /// None yet.
    pub fn new(bounds: Bounds) -> Self {
        Self { all: BTreeMap::new(), next: 0, bounds }
    }

    /// Finds a connection to an endpoint for a request, the least busy one first.
    pub fn place(&mut self, endpoint: EndpointId, id: RequestId, now: f64) -> Place {
        let mine = || self.all.iter().filter(|(_, c)| c.endpoint == endpoint);
        let best = mine().filter(|(_, c)| c.takes(id)).min_by_key(|(k, c)| (c.load(), !c.up, **k));
        let best = best.map(|(k, c)| (*k, c.load()));
        let Bounds { spread, streams, .. } = self.bounds;
        // What is idle and closing ends at once, and counts no more.
        let held = self.all.values().filter(|c| !(c.closing && c.up && c.load() == 0)).count();
        let room = held < self.bounds.total && mine().count() < self.bounds.endpoint;
        match best {
            Some((conn, load)) if load < streams && (load < spread || !room) => Place::On(conn),
            _ if room => {
                self.next += 1;
                let fresh = Connection { endpoint, used_ms: now, read_ms: now, ..Connection::default() };
                self.all.insert(self.next, fresh);
                Place::New(self.next)
            }
            _ => Place::Nowhere,
        }
    }

    /// Makes room for an endpoint that has no connection: the one that was idle for longest is to be closed. Guards
    /// a cache that has just started against idle connections to all others holding every place.
    pub fn evict(&mut self, endpoint: EndpointId) -> Option<ConnId> {
        if self.all.values().any(|c| c.endpoint == endpoint) {
            return None;
        }
        let idle = self.all.iter_mut().filter(|(_, c)| c.up && !c.closing && c.load() == 0);
        let (conn, c) = idle.min_by(|a, b| a.1.used_ms.total_cmp(&b.1.used_ms))?;
        c.closing = true;
        Some(*conn)
    }

    /// Takes another bound on the requests of a connection.
    pub fn set_streams(&mut self, streams: usize) {
        self.bounds.streams = streams;
    }

    /// A connection.
    pub fn get_mut(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.all.get_mut(&conn)
    }

    /// Forgets a connection that has ended.
    pub fn remove(&mut self, conn: ConnId) -> Option<Connection> {
        self.all.remove(&conn)
    }

    /// All of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ConnId, &mut Connection)> {
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
