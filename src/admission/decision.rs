//! The inputs and results of admission decisions.

use crate::RequestId;

/// A client, identified by the network of its address at the configured prefix length.
pub type ClientKey = u128;

/// A tenant, identified by the first of its groups.
pub type TenantId = u32;

/// A newly received request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The request's id.
    pub id: RequestId,
    /// The client that sent it.
    pub client: ClientKey,
    /// The tenant of the requested object.
    pub tenant: TenantId,
    /// When the client stops waiting, Unix milliseconds.
    pub deadline_ms: f64,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
}

/// Why a request was shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ShedReason {
    /// The client has reached its limit of queued requests.
    ClientQueueFull,
    /// The tenant has reached its limit of queued requests.
    TenantQueueFull,
    /// The queue has reached its limit of requests or of body bytes.
    QueueFull,
    /// By the expected wait, it cannot be served before its deadline.
    DeadlineTooClose,
    /// It was queued until too little time was left before its deadline.
    ExpiredInQueue,
}

impl ShedReason {
    /// All reasons, in the order of [`AdmissionCounters::shed`].
    pub const ALL: [Self; 5] = [
        Self::ClientQueueFull,
        Self::TenantQueueFull,
        Self::QueueFull,
        Self::DeadlineTooClose,
        Self::ExpiredInQueue,
    ];

    /// The label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::ClientQueueFull => "client",
            Self::TenantQueueFull => "tenant",
            Self::QueueFull => "full",
            Self::DeadlineTooClose => "time",
            Self::ExpiredInQueue => "waited",
        }
    }
}

/// The decision on a newly received request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It is forwarded to the engine now.
    Admit,
    /// It is queued until capacity is free.
    Queue,
    /// It is rejected now. Nothing was forwarded, so it is safe to retry.
    Shed {
        /// When the client should retry, in milliseconds from now.
        retry_after_ms: f64,
        /// The reason.
        reason: ShedReason,
    },
    /// A request with this id is already queued or in flight.
    Duplicate,
}

/// A queued request that was shed because of its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpiredRequest {
    /// The request's id.
    pub id: RequestId,
    /// When its client should retry, in milliseconds from now.
    pub retry_after_ms: f64,
}

/// How an admitted request ended, as input to the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Answered in time.
    Succeeded,
    /// Rejected by the engine or past its deadline, a sign of overload.
    Overloaded,
    /// Cancelled by its client, or failed for a reason other than overload.
    Other,
}

/// Counters of admission control.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionCounters {
    /// Requests admitted without queueing.
    pub admitted: u64,
    /// Requests admitted after queueing.
    pub released: u64,
    /// Requests shed, by reason, in the order of [`ShedReason::ALL`].
    pub shed: [u64; 5],
    /// Requests whose client disconnected while they were queued.
    pub abandoned: u64,
    /// Reservations made.
    pub reserved: u64,
    /// Reservations used by a retry in their validity period.
    pub reservations_used: u64,
    /// Requests shed whose client got no reservation.
    pub unreserved: u64,
    /// Reservations that expired unused.
    pub reservations_expired: u64,
}

impl AdmissionCounters {
    /// The number of requests shed for `reason`.
    pub fn shed_for(&self, reason: ShedReason) -> u64 {
        self.shed[reason as usize]
    }
}
