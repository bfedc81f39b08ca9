//! The events that a host passes to a router.

use super::{AttemptOutcome, CacheStatus, Endpoint, EndpointId, Micros, ObjectId, RequestClass, RequestId};
use std::rc::Rc;

/// An input to a router. Each router gets its own events.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of endpoints, or changes to it.
    EndpointsChanged {
        /// The list is complete: endpoints absent from it are removed.
        full: bool,
        /// The endpoints.
        entries: Vec<Endpoint>,
    },
    /// The watch of the list of endpoints was lost.
    WatchLost,
    /// A client's request, which must get exactly one final response.
    Request {
        /// Its id, new to this router.
        id: RequestId,
        /// Its class: one of the settings, or of earlier settings under which it arrived.
        class: Rc<RequestClass>,
        /// The object.
        object: ObjectId,
        /// The object's group.
        group: u32,
        /// Number of the part.
        part: u32,
        /// Size of the part in KB; 0 if unknown.
        size_kb: f64,
        /// When the client stops waiting.
        deadline_at: Micros,
        /// Time from which it must not be sent any more, since an earlier request with its idempotency key may
        /// have run; `Micros::MAX` for no limit.
        repeatable_until: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order sent.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// How the cache handled it.
        cache_status: CacheStatus,
        /// Time since it was sent.
        elapsed: Micros,
        /// The request is concluded: it needs no further response.
        closed: bool,
    },
    /// The host has begun to send an attempt's response to the client; other attempts are cancelled.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client disconnected: its request needs no response.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The process stops: no request, open or future, may end after this time.
    DeadlinesLimited {
        /// The latest deadline.
        at: Micros,
    },
    /// A timer is due.
    Timer {
        /// The token of [`Action::SetTimer`](super::Action::SetTimer).
        token: u64,
    },
    /// An object or a group was purged; copies fetched before the purge must not be served.
    Purged {
        /// The object; `None` for the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// Time since the purge was issued.
        age: Micros,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
}

impl Event {
    /// The request that the event is about, if it is about one.
    pub fn request_id(&self) -> Option<RequestId> {
        match *self {
            Self::Request { id, .. }
            | Self::AttemptEnded { id, .. }
            | Self::ResponseStarted { id, .. }
            | Self::ClientDisconnected { id } => Some(id),
            Self::EndpointsChanged { .. }
            | Self::WatchLost
            | Self::DeadlinesLimited { .. }
            | Self::Timer { .. }
            | Self::Purged { .. }
            | Self::HealthChecked { .. } => None,
        }
    }
}
