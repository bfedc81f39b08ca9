//! The bounds of admission control, and an upper bound on its memory that follows from them.

use super::decision::{ClientKey, TenantId};
use super::fair_queue::{QueuedRequest, EXPIRY_BYTES};
use super::in_flight::InFlight;
use super::reservations::{ReservationTable, SLOT_MS};
use super::round_robin::{ClientQueue, ClientQueues, TenantQueue};
use crate::RequestId;
use std::mem::size_of;

/// The most places in a client's list of further queues for each of its requests. A list has at least four
/// places, and at most twice as many as it needs.
const OTHER_QUEUES_FACTOR: usize = 2;
/// The minimum capacity of a non-empty `VecDeque` of small items.
const MIN_DEQUE_CAPACITY: usize = 4;

/// Limits on the queues, reservations and retry-after times of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionBounds {
    /// The maximum number of queued requests.
    pub max_queued: usize,
    /// The maximum number of queued requests of one client.
    pub max_queued_per_client: usize,
    /// The maximum number of queued requests of one tenant.
    pub max_queued_per_tenant: usize,
    /// The maximum total size of the bodies of queued requests, in bytes.
    pub max_queued_bytes: usize,
    /// The maximum number of reservations.
    pub max_reservations: usize,
    /// The share of the capacity that may be reserved.
    pub reservation_share: f64,
    /// The share of the concurrency limit kept for clients with no request in flight or queued.
    pub light_client_share: f64,
    /// The shortest retry-after time, in milliseconds.
    pub min_retry_after_ms: f64,
    /// The longest retry-after time, in milliseconds.
    pub max_retry_after_ms: f64,
    /// The time that must remain before the deadline of a request when it leaves the queue, in milliseconds.
    /// A request is shed if it is not expected to meet this, or if it no longer meets it while queued.
    pub min_service_ms: f64,
}

impl AdmissionBounds {
    /// An upper bound on the heap memory of [`super::fair_queue::FairQueue`] with at most `max_in_flight`
    /// admitted requests, in bytes. It assumes the worst case, in which every queued request has a different
    /// client and tenant, and excludes bodies, which [`Self::max_queued_bytes`] bounds.
    pub fn max_heap_bytes(&self, max_in_flight: usize) -> usize {
        let queued = self.max_queued;
        table_bytes(queued, size_of::<(RequestId, QueuedRequest)>())
            + table_bytes(queued, size_of::<(ClientKey, ClientQueues)>())
            + queued * OTHER_QUEUES_FACTOR * size_of::<ClientQueue>()
            + queued * deque_bytes(1, size_of::<RequestId>())
            + table_bytes(queued, size_of::<(TenantId, TenantQueue)>())
            + queued * deque_bytes(1, size_of::<ClientKey>())
            + deque_bytes(queued, size_of::<TenantId>())
            + deque_bytes(queued, size_of::<RequestId>())
            + queued * EXPIRY_BYTES
            + table_bytes(max_in_flight, size_of::<(RequestId, InFlight)>())
            + table_bytes(max_in_flight, size_of::<(ClientKey, u32)>())
            + table_bytes(self.max_reservations, ReservationTable::KEY_BYTES)
            + self.max_reservations * (ReservationTable::NODE_BYTES + ReservationTable::EXPIRY_BYTES)
            + deque_bytes((self.max_retry_after_ms / SLOT_MS) as usize + 2, size_of::<u32>())
    }
}

/// The maximum size of a hash table of `entries` entries of `size` bytes: the number of buckets is a power of
/// two, the load factor is at most 7/8, and each bucket has a control byte.
fn table_bytes(entries: usize, size: usize) -> usize {
    (entries * 8 / 7 + 1).next_power_of_two() * (size + 1)
}

/// The maximum size of a deque of `items` items of `size` bytes.
fn deque_bytes(items: usize, size: usize) -> usize {
    items.max(MIN_DEQUE_CAPACITY).next_power_of_two() * size
}
