//! Requests in progress and their attempts.

use super::classes::TrackedClass;
use crate::interface::*;
use std::rc::Rc;

/// Number of lost connections and malformed responses at one cache after which a request is sent to another
/// cache.
const MAX_LOST_PER_CACHE: usize = 2;

/// The endpoints that an attempt involves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptPath {
    /// The endpoint to which the attempt is sent.
    pub(super) to: EndpointId,
    /// The endpoint from which a miss is filled. If it equals `to`, fills are forbidden; `None` forwards the
    /// request unchanged.
    pub(super) source: Option<EndpointId>,
}

impl AttemptPath {
    /// The fill source, if it is another endpoint than `to`.
    pub(super) fn fill_source(&self) -> Option<EndpointId> {
        self.source.filter(|source| *source != self.to)
    }
}

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) path: AttemptPath,
    pub(super) sent_at: Micros,
    pub(super) in_flight: bool,
    /// The endpoint may have run the request.
    pub(super) may_have_run: bool,
    /// The timeout was cut short by the request's deadline.
    pub(super) timeout_shortened: bool,
    /// The connection was lost or the response was malformed.
    pub(super) response_lost: bool,
}

/// An attempt that has ended.
#[derive(Clone, Copy)]
pub(super) struct EndedAttempt {
    pub(super) request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub(super) number: usize,
    pub(super) outcome: AttemptOutcome,
    pub(super) cache_status: CacheStatus,
    /// Time since it was sent.
    pub(super) elapsed: Micros,
    /// The request is concluded: it needs no further response.
    pub(super) closed: bool,
}

/// The farthest tier from which a request's miss may be filled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FillScope {
    /// No fill: the request is served from the cache's own copy or rejected.
    CacheOnly,
    /// A fill from a copy that the parent holds.
    ParentOnly,
    /// A fill from the parent, which fetches the object from the origin if it has no copy, or from the origin
    /// itself.
    Origin,
}

/// A request without a final response, or with attempts still in flight.
pub(super) struct PendingRequest {
    /// The class under which it arrived.
    pub(super) class: Rc<TrackedClass>,
    pub(super) object: ObjectId,
    pub(super) group: u32,
    pub(super) part: u32,
    /// Size of the part in KB; 0 if unknown.
    pub(super) size_kb: f64,
    pub(super) deadline_at: Micros,
    /// Time from which it must not be sent, as an earlier request with its key may have run.
    pub(super) repeatable_until: Micros,
    pub(super) attempts: Vec<Attempt>,
    pub(super) fill_scope: FillScope,
    /// The request has its final response, or its client has disconnected. It is kept until its attempts have
    /// ended.
    pub(super) concluded: bool,
}

impl PendingRequest {
    /// The first attempt that may have run.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// Whether any attempt is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Number of attempts, without those that lost their connection or got a malformed response.
    pub(super) fn conclusive_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| !attempt.response_lost).count()
    }

    /// Whether a cache may get the next attempt: every earlier attempt at it lost its connection or got a
    /// malformed response, and there were fewer than [`MAX_LOST_PER_CACHE`].
    pub(super) fn may_use(&self, id: EndpointId) -> bool {
        let attempts_at_cache = || self.attempts.iter().filter(|attempt| attempt.path.to == id);
        attempts_at_cache().all(|attempt| attempt.response_lost)
            && attempts_at_cache().count() < MAX_LOST_PER_CACHE
    }

    /// Whether an attempt was sent to this endpoint.
    pub(super) fn was_sent_to(&self, id: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.path.to == id)
    }
}
