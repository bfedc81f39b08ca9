//! Requests that are owed a response, with their attempts.

use crate::interface::*;

/// Attempts at one cache that may lose their connection before the request goes to another cache.
const MAX_LOST_PER_CACHE: usize = 2;

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptPath {
    /// The endpoint to which the attempt is sent.
    pub(super) to: EndpointId,
    /// The endpoint from which a miss is filled. `to` itself forbids fills; none forwards the request
    /// untouched.
    pub(super) source: Option<EndpointId>,
}

impl AttemptPath {
    /// The other endpoint that takes part in the attempt.
    pub(super) fn fill_source(&self) -> Option<EndpointId> {
        self.source.filter(|source| *source != self.to)
    }
}

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) path: AttemptPath,
    pub(super) sent_at: Micros,
    pub(super) in_flight: bool,
    /// It may have taken effect.
    pub(super) may_have_run: bool,
    /// The client's remaining time allowed less than the usual time-out.
    pub(super) timeout_shortened: bool,
    /// Its connection was lost or its response malformed.
    pub(super) connection_lost: bool,
}

/// An attempt that has ended.
#[derive(Clone, Copy)]
pub(super) struct EndedAttempt {
    pub(super) request: RequestId,
    /// Number of the attempt within its request.
    pub(super) number: usize,
    pub(super) outcome: AttemptOutcome,
    pub(super) cache_status: CacheStatus,
    /// Time since it was sent.
    pub(super) elapsed: Micros,
    /// The request is concluded: no response is owed.
    pub(super) closed: bool,
}

/// The farthest tier from which a request's miss may be filled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FillScope {
    /// No fill: the request is served from its cache's copy, else rejected.
    CacheOnly,
    /// A fill from what the parent holds.
    ParentOnly,
    /// A fill from the parent, which fetches from the origin what it lacks.
    Origin,
}

/// A request that is owed a response, or whose attempts are still in flight.
pub(super) struct PendingRequest {
    /// Index of its class in the settings.
    pub(super) class: usize,
    pub(super) object: ObjectId,
    pub(super) group: u32,
    pub(super) part: u32,
    /// Size of the part in KB; 0 where unknown.
    pub(super) size_kb: f64,
    pub(super) deadline_at: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) fill_scope: FillScope,
    /// No response is owed and no attempt is sent any more; it remains until its attempts have ended.
    pub(super) concluded: bool,
}

impl PendingRequest {
    /// The first attempt that may have taken effect.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// Whether any attempt is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Attempts that say something of their path: one whose connection was lost does not.
    pub(super) fn conclusive_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| !attempt.connection_lost).count()
    }

    /// Whether a cache may get an attempt: one that failed there goes elsewhere, a few lost connections do
    /// not.
    pub(super) fn may_use(&self, id: EndpointId) -> bool {
        let there = || self.attempts.iter().filter(|attempt| attempt.path.to == id);
        there().all(|attempt| attempt.connection_lost) && there().count() < MAX_LOST_PER_CACHE
    }

    /// Whether an attempt was sent to this endpoint.
    pub(super) fn was_sent_to(&self, id: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.path.to == id)
    }
}
