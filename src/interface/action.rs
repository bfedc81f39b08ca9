//! The actions that a router returns to its host, and the reasons of those that end a request.

use super::{EndpointId, Micros, RequestId};

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
    /// Set a timer; the host passes an [`Event::Timer`](super::Event::Timer) with its token when it is due.
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
