//! The inputs and results of admission decisions.

use crate::RequestId;

/// A client, identified by the network of its address at the configured prefix length.
pub type ClientKey = u128;

/// A tenant, identified by the first of its groups.
pub type TenantId = u32;

/// A newly received request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The id of the request, unique among queued and admitted requests.
    pub id: RequestId,
    /// The client that sent it.
    pub client: ClientKey,
    /// The tenant to which the requested object belongs.
    pub tenant: TenantId,
    /// The time after which the client no longer waits for a response, in Unix milliseconds.
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
    /// After the expected wait, less than the minimum service time would remain before the deadline.
    DeadlineTooClose,
    /// While the request was queued, the time left before its deadline fell to the minimum service time.
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
    /// The request is forwarded to the engine now.
    Admit,
    /// The request waits in the queue until capacity is available.
    Queue,
    /// The request is rejected without being forwarded, so that a retry is safe.
    Shed {
        /// When the client should retry, in milliseconds from now.
        retry_after_ms: f64,
        /// Why the request is shed.
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
    /// Served, or answered as not modified.
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
    /// Reservations used by a retry within their validity period.
    pub reservations_used: u64,
    /// Shed requests for which no slot could be reserved.
    pub unreserved: u64,
    /// Reservations that expired unused.
    pub reservations_expired: u64,
    /// Operations that panicked.
    pub panics: u64,
}

impl AdmissionCounters {
    /// The number of requests shed for `reason`.
    pub fn shed_for(&self, reason: ShedReason) -> u64 {
        self.shed[reason as usize]
    }
}
