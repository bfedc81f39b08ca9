//! Bounds of admission control, and the memory that they allow.

use super::decision::{ClientKey, TenantId};
use super::fair_queue::{InFlight, QueuedRequest, DEADLINE_BYTES};
use super::reservations::{ReservationTable, SLOT_MS};
use super::round_robin::{ClientQueue, TenantQueue};
use crate::RequestId;
use std::mem::size_of;

/// The smallest capacity of a deque that holds anything, in items.
const MIN_DEQUE_CAPACITY: usize = 4;

/// The bounds of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionBounds {
    /// Requests queued at most.
    pub max_queued: usize,
    /// Requests queued at most for one client.
    pub max_queued_per_client: usize,
    /// Requests queued at most for one tenant.
    pub max_queued_per_tenant: usize,
    /// Bytes of queued requests' bodies at most.
    pub max_queued_bytes: usize,
    /// Reservations held at most.
    pub max_reservations: usize,
    /// The share of the capacity that reservations may take.
    pub reservation_share: f64,
    /// The share of the limit that only clients with nothing in flight and nothing queued may take.
    pub light_client_share: f64,
    /// The shortest retry-after time, in milliseconds.
    pub min_retry_after_ms: f64,
    /// The longest retry-after time, in milliseconds.
    pub max_retry_after_ms: f64,
    /// A request is not queued beyond this time before its deadline, in milliseconds.
    pub min_service_ms: f64,
}

impl AdmissionBounds {
    /// The most bytes that admission control holds on the heap with at most `max_in_flight` admitted requests, without
    /// the bodies of queued requests, which [`Self::max_queued_bytes`] bounds. Every queued request may be of a client
    /// and a tenant of its own.
    pub fn max_heap_bytes(&self, max_in_flight: usize) -> usize {
        let queued = self.max_queued;
        table_bytes(queued, size_of::<(RequestId, QueuedRequest)>())
            + table_bytes(queued, size_of::<(ClientKey, ClientQueue)>())
            + queued * deque_bytes(1, size_of::<RequestId>())
            + table_bytes(queued, size_of::<(TenantId, TenantQueue)>())
            + queued * deque_bytes(1, size_of::<ClientKey>())
            + deque_bytes(queued, size_of::<TenantId>())
            + deque_bytes(queued, size_of::<RequestId>())
            + queued * DEADLINE_BYTES
            + table_bytes(max_in_flight, size_of::<(RequestId, InFlight)>())
            + table_bytes(max_in_flight, size_of::<(ClientKey, u32)>())
            + table_bytes(self.max_reservations, ReservationTable::KEY_BYTES)
            + self.max_reservations * ReservationTable::NODE_BYTES
            + deque_bytes((self.max_retry_after_ms / SLOT_MS) as usize + 2, size_of::<u32>())
    }
}

/// The most bytes of a hash table of `entries` entries of `size` bytes: its buckets are a power of two of at least
/// eight sevenths of its entries, and each has a control byte.
fn table_bytes(entries: usize, size: usize) -> usize {
    (entries * 8 / 7 + 1).next_power_of_two() * (size + 1)
}

/// The most bytes of a deque of `items` items of `size` bytes.
fn deque_bytes(items: usize, size: usize) -> usize {
    items.max(MIN_DEQUE_CAPACITY).next_power_of_two() * size
}
