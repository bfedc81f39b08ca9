//! Reservations for clients whose requests were shed: the retry-after time that a client is given is reserved for it.
//!
//! A calendar of slots of [`SLOT_MS`] has room in each slot for a share of what is served in it, so that reservations
//! cannot crowd out the queues. Reservations are kept in an LRU of fixed size.

use super::decision::ClientKey;
use lru::LruCache;
use std::collections::VecDeque;
use std::mem::size_of;
use std::num::NonZeroUsize;

/// The length of a slot of the calendar, in milliseconds.
pub const SLOT_MS: f64 = 100.0;
/// How early a reservation may be used, in milliseconds: clients' clocks and network delays differ.
pub const EARLY_MS: f64 = 50.0;
/// The shortest time for which a reservation may be used after its time, in milliseconds.
const MIN_VALIDITY_MS: f64 = 500.0;

/// A time at which a client is served ahead of the queues.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// From when it may be used, but for [`EARLY_MS`], Unix milliseconds.
    pub from_ms: f64,
    /// Until when it may be used, Unix milliseconds.
    pub until_ms: f64,
}

impl Reservation {
    /// Whether it may be used at this time.
    pub fn is_valid(&self, now_ms: f64) -> bool {
        now_ms >= self.from_ms - EARLY_MS && now_ms <= self.until_ms
    }
}

/// The reservations of clients, and the calendar in which they are counted.
#[derive(Debug)]
pub struct ReservationTable {
    by_client: LruCache<ClientKey, Reservation>,
    /// Reservations by slot.
    calendar: VecDeque<u32>,
    /// The beginning of the calendar's first slot, Unix milliseconds.
    calendar_from_ms: f64,
}

/// A request for a reservation.
#[derive(Clone, Copy, Debug)]
pub struct ReservationRequest {
    /// The client.
    pub client: ClientKey,
    /// The earliest time from now, in milliseconds.
    pub earliest_ms: f64,
    /// Reservations that a slot has room for.
    pub slot_capacity: u32,
    /// The shortest time from now that may be reserved, in milliseconds.
    pub min_ms: f64,
    /// The longest time from now that may be reserved, in milliseconds.
    pub max_ms: f64,
}

impl ReservationTable {
    /// Bytes of a reservation in the LRU's hash table.
    pub const KEY_BYTES: usize = size_of::<(ClientKey, usize)>();
    /// Bytes of a reservation's node in the LRU: key, value and two links.
    pub const NODE_BYTES: usize = size_of::<(ClientKey, Reservation)>() + 2 * size_of::<usize>();

    /// A table for at most `max` reservations, and at least one.
    pub fn new(max: usize) -> Self {
        let capacity = NonZeroUsize::new(max).unwrap_or(NonZeroUsize::MIN);
        Self { by_client: LruCache::new(capacity), calendar: VecDeque::new(), calendar_from_ms: 0.0 }
    }

    /// Reservations held.
    pub fn len(&self) -> usize {
        self.by_client.len()
    }

    /// Whether no reservation is held.
    pub fn is_empty(&self) -> bool {
        self.by_client.is_empty()
    }

    /// The reservation of a client.
    pub fn get(&self, client: ClientKey) -> Option<Reservation> {
        self.by_client.peek(&client).copied()
    }

    /// Removes the reservation of a client, which uses it.
    pub fn remove(&mut self, client: ClientKey) {
        self.by_client.pop(&client);
    }

    /// Removes the least recent reservations while they have expired; returns how many.
    pub fn expire(&mut self, now_ms: f64) -> u64 {
        let mut expired = 0;
        while self.by_client.peek_lru().is_some_and(|(_, reservation)| reservation.until_ms < now_ms) {
            self.by_client.pop_lru();
            expired += 1;
        }
        expired
    }

    /// Reserves a time in the first slot with room; returns the time from now, in milliseconds, or `None` where all slots are full.
    pub fn reserve(&mut self, now_ms: f64, request: ReservationRequest) -> Option<f64> {
        self.advance_calendar(now_ms);
        let first = ((now_ms + request.earliest_ms - self.calendar_from_ms) / SLOT_MS).ceil() as usize;
        let last = ((request.max_ms / SLOT_MS) as usize).max(first);
        let slot = (first..=last).find(|slot| self.reserved(*slot) < request.slot_capacity);
        while self.calendar.len() <= slot.unwrap_or(last) {
            self.calendar.push_back(0);
        }
        let slot = slot?;
        self.calendar[slot] += 1;
        let slot_from_ms = self.calendar_from_ms + slot as f64 * SLOT_MS;
        let wait_ms = (slot_from_ms - now_ms).clamp(request.min_ms, request.max_ms);
        let until_ms = now_ms + wait_ms + (wait_ms / 2.0).max(MIN_VALIDITY_MS);
        self.by_client.put(request.client, Reservation { from_ms: now_ms + wait_ms, until_ms });
        Some(wait_ms)
    }

    fn reserved(&self, slot: usize) -> u32 {
        self.calendar.get(slot).copied().unwrap_or(0)
    }

    /// Drops the slots that are over.
    fn advance_calendar(&mut self, now_ms: f64) {
        if self.calendar.is_empty() {
            self.calendar_from_ms = slot_start(now_ms);
        }
        while self.calendar_from_ms + SLOT_MS <= now_ms {
            self.calendar.pop_front();
            self.calendar_from_ms += SLOT_MS;
            if self.calendar.is_empty() {
                self.calendar_from_ms = slot_start(now_ms);
            }
        }
    }

    /// A close estimate of the bytes held on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.by_client.len() * (Self::NODE_BYTES + Self::KEY_BYTES + 1)
            + self.calendar.capacity() * size_of::<u32>()
    }
}

fn slot_start(now_ms: f64) -> f64 {
    (now_ms / SLOT_MS).floor() * SLOT_MS
}
