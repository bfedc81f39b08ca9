//! The interface of the decision module: the settings, events and actions of a [`Router`](crate::Router).
//!
//! These types do not depend on a protocol. A host translates its own messages to [`Event`]s, passes them
//! with the current time, and carries out the [`Action`]s in order.

mod action;
mod event;

pub use action::{Action, EndReason};
pub use event::Event;

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
