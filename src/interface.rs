//! What goes into a [`Router`](crate::Router) and what comes out of it.
//!
//! These types know nothing of any wire. A host translates its own messages to [`Event`]s, hands them
//! over with the time, and carries out the [`Action`]s in the order in which they were written.

/// A point in time or a span, in microseconds. Only differences matter; it never runs backwards.
pub type Micros = u64;
/// A cache, a parent or the origin, by the id that the host's list gives it.
pub type EndpointId = u32;
/// A client's request, as one try of the client.
pub type RequestId = u64;
/// An object, whatever its part.
pub type ObjectId = u64;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats do no harm.
    Idempotent,
    /// Carries a key by which the caches of the class's [`KeyScope`] drop repeats for a while.
    WithKey,
    /// May take effect once only.
    NotIdempotent,
}

/// Which endpoints drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every endpoint.
    All,
    /// Those of the zone of the first endpoint that may have run it.
    Zone,
    /// Those of that endpoint's cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Answers within this span earn the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's own sending time.
    pub latency_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Micros,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// Who drops repeats of a keyed request.
    pub key_scope: KeyScope,
    /// For how long repeats are dropped, from the first attempt that may have run.
    pub key_window: Micros,
    /// Worth of one answer in time.
    pub priority_weight: f64,
    /// How long a copy is fresh; 0 is without limit.
    pub fresh_lifetime: Micros,
    /// How long past that a copy may still be served.
    pub stale_while_revalidate: Micros,
    /// Never kept; it runs at the origin.
    pub uncacheable: bool,
}

/// How a kind of endpoint behaves after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Least share of its capacity at the start.
    pub initial_capacity: f64,
    /// When it is warm at the latest.
    pub ramp_duration: Micros,
    /// The multiple of its present capacity that pushes it over ...
    pub overload_multiple: f64,
    /// ... if it lasts this long.
    pub overload_window: Micros,
}

impl SlowStart {
    /// Share of its full capacity that it has `since_start` after its start.
    pub fn capacity(&self, since_start: Micros) -> f64 {
        if self.ramp_duration == 0 {
            return 1.0;
        }
        let t = since_start as f64 / self.ramp_duration as f64;
        (self.initial_capacity + (1.0 - self.initial_capacity) * t).clamp(0.0, 1.0)
    }
}

/// What a router is told once, at its start.
#[derive(Clone, Debug)]
pub struct PolicySettings {
    /// The request classes; requests name them by place.
    pub classes: Vec<RequestClass>,
    /// Routers in all.
    pub fleet_size: u32,
    /// Routers that serve this router's location.
    pub local_fleet_size: u32,
    /// KB a second of one transfer to a client; 0 where unknown.
    pub client_kb_per_s: f64,
    /// Endpoints' weights say how many transfers fit on their link.
    pub weights_known: bool,
    /// A request may join a fill under way.
    pub can_join_fills: bool,
    /// Requests may pass the caches by.
    pub can_bypass_caches: bool,
    /// Outcomes tell hits from fills.
    pub reports_cache_status: bool,
    /// When every older copy is gone, from the purge.
    pub purge_completion: Micros,
    /// The most attempts for a request.
    pub max_attempts: u32,
    /// Attempts may be called off.
    pub can_cancel: bool,
    /// Endpoints may be probed.
    pub can_check_health: bool,
    /// The longest wait hint that clients honour; 0 where they get none.
    pub max_retry_after: Micros,
    /// The list of endpoints must be subscribed to.
    pub watch_endpoints: bool,
    /// Caches after a start.
    pub cache_slow_start: SlowStart,
    /// Parents after a start.
    pub parent_slow_start: SlowStart,
}

impl PolicySettings {
    /// How an endpoint of a role behaves after its start; the origin's start is not told of.
    pub fn slow_start(&self, tier: Tier) -> &SlowStart {
        match tier {
            Tier::Parent => &self.parent_slow_start,
            _ => &self.cache_slow_start,
        }
    }

    /// Time that the sending of `size_kb` to a client takes, us; 0 where the size or the flow is unknown.
    pub fn sending_time(&self, size_kb: f64) -> f64 {
        if size_kb > 0.0 && self.client_kb_per_s > 0.0 {
            size_kb / self.client_kb_per_s * 1e6
        } else {
            0.0
        }
    }
}

/// What an endpoint is to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// A cache of this router's location.
    Cache,
    /// A cache elsewhere; never used.
    RemoteCache,
    /// A parent cache.
    Parent,
    /// The origin.
    Origin,
}

/// Where an endpoint stands in its life, as far as the list knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Active,
    /// Finishes what it has; must get nothing new.
    Draining,
    /// Withdrawn.
    Removed,
}

/// A line of the list of endpoints.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// What it is here.
    pub tier: Tier,
    /// Its state.
    pub state: EndpointState,
    /// When it started; 0 is long ago.
    pub started_at: Micros,
    /// Its size, comparable across endpoints.
    pub weight: f64,
    /// Number of its zone.
    pub zone: u32,
    /// Number of its cell.
    pub cell: u32,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered; the client has it.
    Served,
    /// An error; it may have run.
    Error,
    /// Not taken; it did not run.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it did not run.
    NoConnection,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// What came over its connection can't be used; it may have run.
    Malformed,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Nothing suitable held; it did not run.
    CacheMiss,
}

impl AttemptOutcome {
    /// Whether the attempt surely had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::NoConnection | Self::NotSent | Self::CacheMiss)
    }

    /// Whether the endpoint itself answered, whatever it said.
    pub fn is_answer(self) -> bool {
        matches!(self, Self::Served | Self::CacheMiss | Self::Rejected | Self::Error)
    }

    /// Whether the attempt was lost on its way to or from an endpoint, which proves no load and no fault
    /// there.
    pub fn is_lost(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::Malformed | Self::NoConnection | Self::NotSent)
    }
}

/// What an outcome says of the path it took, where the settings promise any such note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Nothing is told.
    Unknown,
    /// From the cache's own copy.
    Hit,
    /// Filled from the source, or joined such a fill.
    Filled,
    /// The source refused, was not reached, broke off, was too slow or failed.
    SourceFailed,
    /// The source lacks the object.
    NotAtSource,
    /// The cache has no place for a further fill.
    FillLimitReached,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// What a router is told. All of it is news to this router alone.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of endpoints: all of it, or what changed.
    EndpointsChanged {
        /// Endpoints that are absent have gone.
        full: bool,
        /// The lines.
        entries: Vec<Endpoint>,
    },
    /// A call to the list failed, or the subscription broke.
    WatchLost,
    /// A client's request, now owed one final answer.
    Request {
        /// Its id, new to this router.
        id: RequestId,
        /// Place of its class in the settings.
        class: usize,
        /// The object.
        object: ObjectId,
        /// The object's group.
        group: u32,
        /// Number of the part that is asked for.
        part: u32,
        /// KB of this part; 0 where unknown.
        size_kb: f64,
        /// When the client gives this try up.
        deadline_at: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order sent.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// What is told of the path.
        cache_status: CacheStatus,
        /// Time since it was sent.
        elapsed: Micros,
        /// The request is concluded; nothing is owed.
        closed: bool,
    },
    /// An attempt's answer has begun to stream; the attempt is the client's now.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client left; nothing is owed.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer came due.
    Timer {
        /// The token of [`Action::SetTimer`].
        token: u64,
    },
    /// Copies from before a moment are out of date.
    Purged {
        /// The object, or none for the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// How long ago the purge was.
        age: Micros,
    },
    /// A probe came back.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: AttemptOutcome,
    },
}

/// What the host is to do, at the time of the event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The next outcome number of the request belongs to it.
    Forward {
        /// The request.
        id: RequestId,
        /// Where to.
        to: EndpointId,
        /// Source of a fill; `None` for an attempt that passes through untouched.
        source: Option<EndpointId>,
        /// Join a fill under way.
        join_fill: bool,
        /// The source gives only what it holds, and asks nobody for what it lacks.
        only_if_cached: bool,
        /// Serve an ageing copy and renew it behind.
        revalidate: bool,
        /// Oldest copy that will do; 0 is the class's fresh time.
        max_age: Micros,
        /// Rank at which a copy is kept; 0 passes it through.
        retention_rank: u8,
        /// Time-out of the attempt.
        timeout: Micros,
        /// When its first byte must be out: later it could run again what has run. The host sends it no
        /// later.
        first_byte_by: Micros,
    },
    /// Final answer: refused; trying again does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Wait hint; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call off an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Probe an endpoint.
    CheckHealth {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Ask for [`Event::Timer`].
    SetTimer {
        /// Handed back.
        token: u64,
        /// When.
        at: Micros,
    },
    /// Subscribe to the list of endpoints.
    Watch,
}
