//! Attempts in progress: queued for a connection, or written to one.

use super::deadlines::Deadlines;
use super::ids::{AttemptId, ConnectionId};
use crate::EndpointId;
use std::collections::HashMap;

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Queued for its connection; no byte has been written.
    Queued,
    /// Passed to its connection's driver to be written, at this time in Unix milliseconds.
    Written(f64),
}

/// An attempt to get a response for a request from an endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The id of its request as text, in the form that is forwarded.
    pub id_text: String,
    /// The endpoint to which it is sent.
    pub to: EndpointId,
    /// The endpoint from which a cache miss is filled, if any.
    pub source: Option<EndpointId>,
    /// Whether it may join a fill in progress.
    pub join_fill: bool,
    /// Whether the source may fill the miss only from its own copy, without a fill of its own.
    pub only_if_cached: bool,
    /// Whether the endpoint may serve a stale copy and revalidate it in the background.
    pub revalidate: bool,
    /// Maximum age of a copy at the time when the attempt was created, in milliseconds; 0 for the limit of
    /// the class.
    pub max_age_ms: f64,
    /// Retention priority of the copy in the endpoint's cache; at 0 the copy is not retained.
    pub retention_rank: u8,
    /// When it was created, in Unix milliseconds.
    pub created_ms: f64,
    /// When it times out, in Unix milliseconds.
    pub timeout_at_ms: f64,
    /// Its first byte must be written before this time, in Unix milliseconds. A later write could run the
    /// request a second time.
    pub first_byte_by_ms: f64,
    /// The connection on which it is queued or written.
    pub conn: ConnectionId,
    /// Whether it is queued or written.
    pub stage: Stage,
    /// How often it moved to another connection before it was written.
    pub migrations: u32,
}

/// All attempts in progress.
#[derive(Debug, Default)]
pub struct Attempts {
    by_id: HashMap<AttemptId, Attempt>,
    timeouts: Deadlines<AttemptId>,
}

impl Attempts {
    /// Adds an attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.timeouts.push(attempt.timeout_at_ms, id);
        self.by_id.insert(id, attempt);
    }

    /// Returns an attempt in progress.
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    /// Returns an attempt in progress, mutably.
    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.by_id.get_mut(&id)
    }

    /// Removes and returns an attempt; `None` if it was removed before.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.by_id.remove(&id)
    }

    /// Limits all timeouts to a time in Unix milliseconds.
    pub fn limit_timeouts(&mut self, limit_ms: f64) {
        for (id, attempt) in self.by_id.iter_mut().filter(|(_, attempt)| attempt.timeout_at_ms > limit_ms) {
            attempt.timeout_at_ms = limit_ms;
            self.timeouts.push(limit_ms, *id);
        }
    }

    /// Iterates over all attempts in progress.
    pub fn iter(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.by_id.iter()
    }

    /// When the next attempt times out, in Unix milliseconds.
    pub fn next_due(&mut self) -> Option<f64> {
        self.timeouts.next_due(|id, _| self.by_id.contains_key(&id))
    }

    /// Returns an attempt that has timed out by `now`. It stays in the table until it is removed.
    pub fn pop_overdue(&mut self, now: f64) -> Option<AttemptId> {
        self.timeouts.pop_due(now, |id, _| self.by_id.contains_key(&id))
    }
}
