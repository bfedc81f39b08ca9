//! Reserves capacity for the retries of shed requests, at the retry-after time returned to the client.
//!
//! Time is divided into slots of [`SLOT_MS`], and only a share of the requests that can be served in a slot
//! may be reserved, so that reservations cannot starve the queues. Reservations are stored in an LRU map of
//! bounded size, which evicts the oldest once all are valid.

use super::decision::ClientKey;
use lru::LruCache;
use std::collections::{BTreeSet, VecDeque};
use std::mem::size_of;
use std::num::NonZeroUsize;

/// The length of a slot, in milliseconds.
pub const SLOT_MS: f64 = 100.0;
/// How long before its reserved time a reservation may be used, in milliseconds. Allows for timer and network
/// jitter.
pub const EARLY_USE_TOLERANCE_MS: f64 = 50.0;
/// The minimum time for which a reservation stays valid after the reserved time, in milliseconds.
const MIN_VALIDITY_MS: f64 = 500.0;

/// A period in which one request of a client is served ahead of the queues.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// The reserved time, Unix milliseconds; a use up to [`EARLY_USE_TOLERANCE_MS`] earlier is accepted.
    pub from_ms: f64,
    /// When it expires, Unix milliseconds.
    pub until_ms: f64,
}

impl Reservation {
    /// Whether the reservation may be used at `now_ms`.
    pub fn is_usable(&self, now_ms: f64) -> bool {
        now_ms >= self.from_ms - EARLY_USE_TOLERANCE_MS && now_ms <= self.until_ms
    }

    /// Its entry in [`ReservationTable::by_expiry`].
    fn expiry_entry(&self, client: ClientKey) -> (u64, ClientKey) {
        (self.until_ms.max(0.0).to_bits(), client)
    }
}

/// The reservations by client, and their number by slot.
#[derive(Debug)]
pub struct ReservationTable {
    by_client: LruCache<ClientKey, Reservation>,
    /// The clients by the expiry of their reservations. Times are the bits of an `f64`, which have the same
    /// order as the values because none is negative.
    by_expiry: BTreeSet<(u64, ClientKey)>,
    /// The number of reservations in each slot.
    slot_counts: VecDeque<u32>,
    /// The start of the first slot, Unix milliseconds.
    first_slot_ms: f64,
}

/// The parameters of a new reservation.
#[derive(Clone, Copy, Debug)]
pub struct ReservationRequest {
    /// The client for which a slot is reserved.
    pub client: ClientKey,
    /// The earliest start of the slot, in milliseconds from now.
    pub earliest_ms: f64,
    /// The maximum number of reservations in a slot.
    pub slot_capacity: u32,
    /// The shortest retry-after time, in milliseconds.
    pub min_retry_after_ms: f64,
    /// The longest retry-after time, in milliseconds.
    pub max_retry_after_ms: f64,
}

impl ReservationTable {
    /// Bytes of an entry in the LRU map's hash table.
    pub const KEY_BYTES: usize = size_of::<(ClientKey, usize)>();
    /// Bytes of a node of the LRU map: key, value and two links.
    pub const NODE_BYTES: usize = size_of::<(ClientKey, Reservation)>() + 2 * size_of::<usize>();
    /// The maximum size of an entry by expiry, with its share of the B-tree's nodes.
    pub const EXPIRY_BYTES: usize = 2 * size_of::<(u64, ClientKey)>();

    /// Creates an empty table for at most `max` reservations. A `max` of 0 counts as 1.
    pub fn new(max: usize) -> Self {
        let capacity = NonZeroUsize::new(max).unwrap_or(NonZeroUsize::MIN);
        Self {
            by_client: LruCache::new(capacity),
            by_expiry: BTreeSet::new(),
            slot_counts: VecDeque::new(),
            first_slot_ms: 0.0,
        }
    }

    /// The number of reservations.
    pub fn len(&self) -> usize {
        self.by_client.len()
    }

    /// Whether there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.by_client.is_empty()
    }

    /// The reservation of `client`, without updating its recency.
    pub fn get(&self, client: ClientKey) -> Option<Reservation> {
        self.by_client.peek(&client).copied()
    }

    /// Removes the reservation of `client`.
    pub fn remove(&mut self, client: ClientKey) {
        if let Some(reservation) = self.by_client.pop(&client) {
            self.by_expiry.remove(&reservation.expiry_entry(client));
        }
    }

    /// Removes all expired reservations. Returns the number removed.
    pub fn expire(&mut self, now_ms: f64) -> u64 {
        let mut expired = 0;
        while let Some(&(until_bits, client)) = self.by_expiry.first() {
            if f64::from_bits(until_bits) >= now_ms {
                break;
            }
            self.by_expiry.pop_first();
            self.by_client.pop(&client);
            expired += 1;
        }
        expired
    }

    /// Reserves the first slot from `request.earliest_ms` on that has room. Returns the retry-after time in
    /// milliseconds, or `None` if all slots up to the longest retry-after time are full.
    pub fn reserve(&mut self, now_ms: f64, request: ReservationRequest) -> Option<f64> {
        self.drop_past_slots(now_ms);
        let first = ((now_ms + request.earliest_ms - self.first_slot_ms) / SLOT_MS).ceil() as usize;
        let last = ((request.max_retry_after_ms / SLOT_MS) as usize).max(first);
        let slot = (first..=last).find(|slot| self.reserved_in_slot(*slot) < request.slot_capacity);
        while self.slot_counts.len() <= slot.unwrap_or(last) {
            self.slot_counts.push_back(0);
        }
        let slot = slot?;
        self.slot_counts[slot] += 1;
        let slot_from_ms = self.first_slot_ms + slot as f64 * SLOT_MS;
        let wait_ms = (slot_from_ms - now_ms).clamp(request.min_retry_after_ms, request.max_retry_after_ms);
        let until_ms = now_ms + wait_ms + (wait_ms / 2.0).max(MIN_VALIDITY_MS);
        self.insert(request.client, Reservation { from_ms: now_ms + wait_ms, until_ms });
        Some(wait_ms)
    }

    /// Stores a reservation in place of the client's earlier one, or of the oldest if the table is full.
    fn insert(&mut self, client: ClientKey, reservation: Reservation) {
        if let Some((replaced_client, replaced)) = self.by_client.push(client, reservation) {
            self.by_expiry.remove(&replaced.expiry_entry(replaced_client));
        }
        self.by_expiry.insert(reservation.expiry_entry(client));
    }

    fn reserved_in_slot(&self, slot: usize) -> u32 {
        self.slot_counts.get(slot).copied().unwrap_or(0)
    }

    /// Drops the slots that have ended.
    fn drop_past_slots(&mut self, now_ms: f64) {
        if self.slot_counts.is_empty() {
            self.first_slot_ms = slot_start(now_ms);
        }
        while self.first_slot_ms + SLOT_MS <= now_ms {
            self.slot_counts.pop_front();
            self.first_slot_ms += SLOT_MS;
            if self.slot_counts.is_empty() {
                self.first_slot_ms = slot_start(now_ms);
            }
        }
    }

    /// An estimate of the heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.by_client.len() * (Self::NODE_BYTES + Self::KEY_BYTES + 1 + Self::EXPIRY_BYTES)
            + self.slot_counts.capacity() * size_of::<u32>()
    }
}

fn slot_start(now_ms: f64) -> f64 {
    (now_ms / SLOT_MS).floor() * SLOT_MS
}

#[cfg(test)]
mod tests;
