//! Attempts in flight: queued for a connection, or written to one.

use super::deadlines::Deadlines;
use super::ids::{AttemptId, ConnectionId};
use crate::EndpointId;
use std::collections::HashMap;

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// It waits for its connection; no byte has been written.
    Queued,
    /// Its first byte was written at this time, in Unix milliseconds.
    Written(f64),
}

/// An attempt, as the decision module ordered it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The text of its request's id, as it is forwarded.
    pub id_text: String,
    /// The endpoint to which it is sent.
    pub to: EndpointId,
    /// The endpoint from which a miss is filled, if any.
    pub source: Option<EndpointId>,
    /// Join a fill in progress.
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// Revalidate a stale copy in the background.
    pub revalidate: bool,
    /// Greatest age of a copy when the attempt was ordered, in milliseconds; 0 for the class's own limit.
    pub max_age_ms: f64,
    /// Rank at which a cache retains the copy.
    pub retention_rank: u8,
    /// When it was ordered, in Unix milliseconds.
    pub sent_ms: f64,
    /// When it times out, in Unix milliseconds.
    pub due_ms: f64,
    /// When its first byte must be written at the latest, in Unix milliseconds: later it might repeat a
    /// request that has taken effect.
    pub first_byte_by_ms: f64,
    /// Its connection.
    pub conn: ConnectionId,
    /// Its progress.
    pub stage: Stage,
    /// How often it changed to another connection before its first byte.
    pub migrations: u32,
}

/// All attempts in flight.
#[derive(Debug, Default)]
pub struct Attempts {
    in_flight: HashMap<AttemptId, Attempt>,
    timeouts: Deadlines<AttemptId>,
}

impl Attempts {
    /// Adds an attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.timeouts.push(attempt.due_ms, id);
        self.in_flight.insert(id, attempt);
    }

    /// An attempt in flight.
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.in_flight.get(&id)
    }

    /// An attempt in flight, mutably.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.in_flight.get_mut(&id)
    }

    /// Removes an attempt; only the first caller gets it.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.in_flight.remove(&id)
    }

    /// All attempts in flight.
    pub fn iter(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.in_flight.iter()
    }

    /// When the next attempt times out, in Unix milliseconds.
    pub fn next_due(&mut self) -> Option<f64> {
        self.timeouts.next_due(|id, _| self.in_flight.contains_key(&id))
    }

    /// An attempt that timed out by `now`; it stays in flight until it is removed.
    pub fn pop_overdue(&mut self, now: f64) -> Option<AttemptId> {
        self.timeouts.pop_due(now, |id, _| self.in_flight.contains_key(&id))
    }
}
