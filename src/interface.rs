//! The interface of the decision module: the settings, events and actions of a [`Router`](crate::Router).
//!
//! These types do not depend on a protocol. A host translates its own messages to [`Event`]s, passes them
//! with the current time, and carries out the [`Action`]s in order.

use std::rc::Rc;

/// A point in time or a duration, in microseconds. Points in time are monotonic and relative to an
/// arbitrary fixed epoch.
pub type Micros = u64;
/// Id of a cache, a parent or the origin in the host's list of endpoints.
pub type EndpointId = u32;
/// Id of a client's request. A retry by the client is another request.
pub type RequestId = u64;
/// Id of an object. All parts of an object share it.
pub type ObjectId = u64;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated.
    Idempotent,
    /// It carries an idempotency key, by which the endpoints in the class's [`KeyScope`] drop repeats within
    /// the key window.
    WithKey,
    /// It must take effect at most once.
    #[default]
    NotIdempotent,
}

/// The endpoints that drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyScope {
    /// Every endpoint.
    All,
    /// The endpoints in the zone of the first endpoint that may have run it.
    Zone,
    /// The endpoints in the cell of the first endpoint that may have run it.
    #[default]
    Cell,
}

/// A request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Time after which a response is late, before the latency stretch is added.
    pub latency_objective: Micros,
    /// Multiple of the request's transfer time that is added to the latency objective.
    pub latency_stretch: f64,
    /// Time for which a client waits for the response, over all attempts of its request.
    pub deadline: Micros,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// The endpoints that drop repeats by the idempotency key.
    pub key_scope: KeyScope,
    /// Time for which repeats are dropped, from the first attempt that may have run.
    pub key_window: Micros,
    /// Value of a timely response relative to other classes.
    pub priority_weight: f64,
    /// Time for which a cached copy is fresh; 0 for no limit.
    pub fresh_lifetime: Micros,
    /// Time after `fresh_lifetime` for which a stale copy may be served while it is revalidated (RFC 5861).
    pub stale_while_revalidate: Micros,
    /// Responses are never cached: the requests are writes, which run at the origin.
    pub uncacheable: bool,
}

/// How the capacity of an endpoint grows after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its capacity at the start.
    pub initial_capacity: f64,
    /// Time after which it has its full capacity.
    pub ramp_duration: Micros,
    /// Multiple of its current capacity that makes it fail when sustained for the overload window.
    pub overload_multiple: f64,
    /// Duration of an overload that makes it fail.
    pub overload_window: Micros,
}

impl SlowStart {
    /// The fraction of its full capacity at `since_start` after its start, in 0 to 1.
    pub fn capacity(&self, since_start: Micros) -> f64 {
        if self.ramp_duration == 0 {
            return 1.0;
        }
        let t = since_start as f64 / self.ramp_duration as f64;
        (self.initial_capacity + (1.0 - self.initial_capacity) * t).clamp(0.0, 1.0)
    }
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// The request classes. Requests share them, and keep theirs when the settings change.
    pub classes: Vec<Rc<RequestClass>>,
    /// Number of routers in the fleet.
    pub fleet_size: u32,
    /// Number of routers that serve this router's location.
    pub local_fleet_size: u32,
    /// Rate of one transfer to a client, in KB per second; 0 if unknown.
    pub client_kb_per_s: f64,
    /// Whether the weights of endpoints are their capacities in concurrent transfers.
    pub weights_are_capacities: bool,
    /// A request may join a fill in progress.
    pub can_join_fills: bool,
    /// Requests may be sent to parents and the origin directly.
    pub can_bypass_caches: bool,
    /// Outcomes report whether a response was a hit or a fill.
    pub reports_cache_status: bool,
    /// Time after a purge by which all caches have dropped older copies.
    pub purge_completion: Micros,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Endpoints may be checked by [`Action::CheckHealth`].
    pub can_check_health: bool,
    /// Longest `retry_after` that clients honour; 0 if they get none.
    pub max_retry_after: Micros,
    /// The list of endpoints is published only after [`Action::Watch`].
    pub watch_endpoints: bool,
    /// Slow start of caches.
    pub cache_slow_start: SlowStart,
    /// Slow start of parents.
    pub parent_slow_start: SlowStart,
}

impl PolicySettings {
    /// The slow start of a tier's endpoints; the origin has none.
    pub fn slow_start(&self, tier: Tier) -> &SlowStart {
        match tier {
            Tier::Parent => &self.parent_slow_start,
            _ => &self.cache_slow_start,
        }
    }

    /// Time to send `size_kb` to a client, in microseconds; 0 if the size or the rate is unknown.
    pub fn sending_time(&self, size_kb: f64) -> f64 {
        if size_kb > 0.0 && self.client_kb_per_s > 0.0 {
            size_kb / self.client_kb_per_s * 1e6
        } else {
            0.0
        }
    }
}

/// The tier of an endpoint as seen by this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// A cache of this router's location.
    Cache,
    /// A cache of another location, which gets no requests.
    RemoteCache,
    /// A parent cache.
    Parent,
    /// The origin.
    Origin,
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Active,
    /// It completes its requests in progress and must get no new ones.
    Draining,
    /// It has left.
    Removed,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its tier.
    pub tier: Tier,
    /// Its state.
    pub state: EndpointState,
    /// When its process started; 0 if it started long ago.
    pub started_at: Micros,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its cell.
    pub cell: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A response was delivered to the client.
    Served,
    /// The endpoint returned an error; the request may have run.
    Error,
    /// The endpoint rejected the request; it did not run.
    Rejected,
    /// No response within the timeout; the request may have run.
    TimedOut,
    /// No connection could be established; the request did not run.
    NoConnection,
    /// The connection was lost; the request may have run.
    ConnectionLost,
    /// The response is malformed, incomplete or a purged copy; the request may have run.
    Malformed,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
    /// The endpoint has no suitable copy and did not fill one; the request did not run.
    CacheMiss,
}

impl AttemptOutcome {
    /// Whether the request certainly did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::NoConnection | Self::NotSent | Self::CacheMiss)
    }

    /// Whether the endpoint itself responded.
    pub fn is_response(self) -> bool {
        matches!(self, Self::Served | Self::CacheMiss | Self::Rejected | Self::Error)
    }

    /// Whether the attempt failed in transport, which indicates neither overload nor an error of the
    /// endpoint.
    pub fn is_transport_failure(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::Malformed | Self::NoConnection | Self::NotSent)
    }
}

/// How a cache handled an attempt, if it reports that (compare `Cache-Status`, RFC 9211).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Not reported.
    Unknown,
    /// Served from the cache's own copy.
    Hit,
    /// Filled from the source, or joined to such a fill.
    Filled,
    /// The source rejected the fill, could not be reached, was too slow or failed.
    SourceFailed,
    /// The source has no copy of the object.
    NotAtSource,
    /// The cache has reached its limit of concurrent fills.
    FillLimitReached,
    /// The parent's request to the origin failed.
    OriginFailed,
}

/// Why a request ended without a response of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// Load was shed: its cache has too much load for a request of this value.
    LoadShed,
    /// The cache and its fill source have no copy.
    CacheMiss,
    /// No endpoint may get an attempt.
    NoEndpoint,
    /// Too little time is left until its deadline.
    DeadlineReached,
    /// Too little time is left until the process may be killed.
    Shutdown,
    /// It is past its latency objective, and its class is congested.
    LatencyObjectiveMissed,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// It had the maximum number of attempts.
    MaxAttempts,
    /// It may have run, and a repeat could take effect twice.
    NotRepeatable,
    /// Its handling panicked, a fault of the program.
    InternalError,
}

impl EndReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::LoadShed => "load_shed",
            Self::CacheMiss => "cache_miss",
            Self::NoEndpoint => "no_endpoint",
            Self::DeadlineReached => "deadline_reached",
            Self::Shutdown => "shutdown",
            Self::LatencyObjectiveMissed => "latency_objective_missed",
            Self::RetryBudgetExhausted => "retry_budget_exhausted",
            Self::MaxAttempts => "max_attempts",
            Self::NotRepeatable => "not_repeatable",
            Self::InternalError => "internal_error",
        }
    }
}

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
        /// The token of [`Action::SetTimer`].
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

/// An instruction to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The host numbers a request's attempts from 0.
    Forward {
        /// The request.
        id: RequestId,
        /// The endpoint.
        to: EndpointId,
        /// The endpoint from which a miss is filled; equal to `to` if fills are forbidden; `None` if the
        /// request is forwarded unchanged.
        source: Option<EndpointId>,
        /// Whether the attempt may join a fill of the same object that is in progress.
        join_fill: bool,
        /// Whether the source must serve the fill from its own copy, without a fill of its own.
        only_if_cached: bool,
        /// Whether the cache may serve a stale copy and revalidate it in the background.
        revalidate: bool,
        /// Maximum age of a copy; 0 for the class's fresh lifetime.
        max_age: Micros,
        /// Retention priority of the copy in the cache; 0 if it is not retained.
        retention_rank: u8,
        /// Timeout of the attempt, from now.
        timeout: Micros,
        /// Time before which its first byte must be sent, since endpoints may no longer drop a later repeat;
        /// `Micros::MAX` for no limit.
        first_byte_by: Micros,
    },
    /// Final response: rejected. The client may retry.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client should retry; 0 if unspecified.
        retry_after: Micros,
        /// Time until which a retry has no second effect; `Micros::MAX` for no limit.
        repeatable_until: Micros,
        /// Why.
        reason: EndReason,
    },
    /// Final response: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Check whether an endpoint's process responds.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Set a timer; the host passes an [`Event::Timer`] with its token when it is due.
    SetTimer {
        /// Identifies the timer in its event.
        token: u64,
        /// When it is due.
        at: Micros,
    },
    /// Watch the list of endpoints.
    Watch,
}

impl Action {
    /// The request that the action is about, if it is about one.
    pub fn request_id(&self) -> Option<RequestId> {
        match *self {
            Self::Forward { id, .. }
            | Self::Reject { id, .. }
            | Self::Fail { id, .. }
            | Self::Cancel { id, .. } => Some(id),
            Self::CheckHealth { .. } | Self::SetTimer { .. } | Self::Watch => None,
        }
    }
}
