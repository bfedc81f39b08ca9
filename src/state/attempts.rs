//! Attempts that are out: queued for a connection, or written to one.

use super::connections::ConnectionId;
use super::deadlines::Deadlines;
use crate::{EndpointId, RequestId};
use std::collections::HashMap;

/// An attempt: its request and its number there.
pub type AttemptId = (RequestId, u32);

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// It waits for its connection; no byte has been written.
    Queued,
    /// Its first byte was written at this time.
    Written(f64),
}

/// An attempt with what the module asked of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its request's id as it is passed on.
    pub id_text: String,
    /// Where it goes.
    pub to: EndpointId,
    /// Where a miss is filled from, if anywhere.
    pub source: Option<EndpointId>,
    /// Join a fill under way.
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// Renew an ageing copy behind.
    pub revalidate: bool,
    /// Oldest copy that will do, in milliseconds from when it was asked for; 0 for the class's own bound.
    pub max_age_ms: f64,
    /// Rank at which a copy is kept.
    pub retention_rank: u8,
    /// When the module sent it.
    pub sent_ms: f64,
    /// When its time is over.
    pub due_ms: f64,
    /// When its first byte must be out: later it might run what has run before.
    pub first_byte_by_ms: f64,
    /// Its connection.
    pub conn: ConnectionId,
    /// Where it stands.
    pub stage: Stage,
    /// How often it went to another connection unwritten.
    pub migrations: u32,
}

/// All attempts that are out.
#[derive(Debug, Default)]
pub struct Attempts {
    out: HashMap<AttemptId, Attempt>,
    due: Deadlines<AttemptId>,
}

impl Attempts {
    /// Puts an attempt out.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.due.push(attempt.due_ms, id);
        self.out.insert(id, attempt);
    }

    /// An attempt that is out.
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.out.get(&id)
    }

    /// The same, to change it.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.out.get_mut(&id)
    }

    /// Ends an attempt; only the first caller gets it.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.out.remove(&id)
    }

    /// Attempts that are out.
    pub fn iter(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.out.iter()
    }

    /// When the next one's time is over.
    pub fn next_due(&mut self) -> Option<f64> {
        self.due.next_due(|id, _| self.out.contains_key(&id))
    }

    /// One whose time is over.
    pub fn pop_overdue(&mut self, now: f64) -> Option<AttemptId> {
        self.due.pop_due(now, |id, _| self.out.contains_key(&id))
    }
}
