//! What admission control is told of requests, and what it decides.

use crate::RequestId;

/// A client as admission control counts them: an address cut to the operator's prefix.
pub type ClientKey = u128;

/// A tenant: the first of the groups that make it up.
pub type TenantId = u32;

/// A request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its client.
    pub client: ClientKey,
    /// Its tenant.
    pub tenant: TenantId,
    /// When its client gives up, Unix milliseconds.
    pub give_up_ms: f64,
    /// Bytes of its body.
    pub body_bytes: usize,
}

/// Why a request was shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ShedReason {
    /// The client has as many requests queued as it may.
    ClientQueueFull,
    /// The tenant has as many requests queued as it may.
    TenantQueueFull,
    /// The queue is full, in requests or bytes.
    QueueFull,
    /// Its turn would come after its deadline.
    DeadlineTooClose,
    /// Its deadline came while it was queued.
    DeadlinePassed,
}

impl ShedReason {
    /// All reasons, in the order of [`AdmissionCounters::shed`].
    pub const ALL: [Self; 5] = [
        Self::ClientQueueFull,
        Self::TenantQueueFull,
        Self::QueueFull,
        Self::DeadlineTooClose,
        Self::DeadlinePassed,
    ];

    /// Its label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::ClientQueueFull => "client",
            Self::TenantQueueFull => "tenant",
            Self::QueueFull => "full",
            Self::DeadlineTooClose => "time",
            Self::DeadlinePassed => "waited",
        }
    }
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It goes to the engine now.
    Admit,
    /// It waits for its turn.
    Queue,
    /// It is rejected now; nothing was sent, so a retry does no harm.
    Shed {
        /// When the client should retry, in milliseconds from now.
        retry_after_ms: f64,
        /// Why.
        reason: ShedReason,
    },
    /// A request of that id is queued or in flight already.
    Duplicate,
}

/// A queued request that was shed because its deadline came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpiredRequest {
    /// Its id.
    pub id: RequestId,
    /// When its client should retry, in milliseconds from now.
    pub retry_after_ms: f64,
}

/// How an admitted request ended, as far as the concurrency limit cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Answered in time.
    Succeeded,
    /// Rejected by the engine, or past its deadline: more was admitted than can be served.
    Overloaded,
    /// Its client disconnected, or it failed for a reason of its own.
    Other,
}

/// Counters of admission control.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionCounters {
    /// Requests admitted at once.
    pub admitted: u64,
    /// Requests queued, then admitted.
    pub released: u64,
    /// Requests shed, by reason, in the order of [`ShedReason::ALL`].
    pub shed: [u64; 5],
    /// Requests whose client disconnected while they were queued.
    pub abandoned: u64,
    /// Reservations made.
    pub reserved: u64,
    /// Reservations used by their client in time.
    pub reservations_used: u64,
    /// Requests shed without a reservation.
    pub unreserved: u64,
    /// Reservations that expired unused.
    pub reservations_expired: u64,
}

impl AdmissionCounters {
    /// Requests shed for a reason.
    pub fn shed_for(&self, reason: ShedReason) -> u64 {
        self.shed[reason as usize]
    }
}
