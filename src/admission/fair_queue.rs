//! Admission decisions: admit a request now, queue it, or shed it with a retry-after time. There is no I/O,
//! and callers pass the current time, in Unix milliseconds.
//!
//! **Fairness.** [`RoundRobin`] sets the order in which queued requests are released: by weight between
//! tenants, and equally between the clients of a tenant.
//!
//! **Light clients.** A share of the concurrency limit ([`AdmissionBounds::light_client_share`]) is kept for
//! clients with no request in flight or queued. Their requests are admitted immediately while the limit has
//! capacity and no request with a reservation is queued, and so do not wait behind the backlog of a heavy
//! client. Requests in the round-robin queues are released only into the rest of the limit.
//!
//! **Capacity.** A request is admitted only while fewer than [`ConcurrencyLimit::capacity`] requests are in
//! flight.
//!
//! **Memory.** Only clients with requests queued or in flight have state. The queue is bounded in requests
//! and body bytes, and the reservations in number: see [`FairQueue::heap_bytes`] and
//! [`AdmissionBounds::max_heap_bytes`].
//!
//! **Retry-after times.** A request that cannot be served before its deadline is shed immediately. Its
//! retry-after time is the start of the first slot with room after the expected wait. The slot is reserved in
//! [`ReservationTable`]: a retry at that time takes precedence over the round-robin queues. If no slot can be
//! reserved, the longest retry-after time is returned, and no capacity is promised at that time.

use super::bounds::AdmissionBounds;
use super::concurrency_limit::{ConcurrencyLimit, LimitSettings};
use super::decision::{
    AdmissionCounters, AdmissionDecision, Arrival, ClientKey, Completion, ExpiredRequest, ShedReason,
    TenantId,
};
use super::in_flight::{InFlight, InFlightRequests};
use super::reservations::{Reservation, ReservationRequest, ReservationTable, SLOT_MS};
use super::round_robin::{ExpectedShare, RoundRobin, Weights};
use crate::RequestId;
use ahash::AHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::mem::size_of;

/// The maximum size of an entry of the expiry set, with its share of the B-tree's nodes, in bytes.
pub const EXPIRY_BYTES: usize = 2 * size_of::<(u64, RequestId)>();
/// A lower bound on the service rate in wait estimates, in requests per millisecond. It avoids a division by
/// zero.
const MIN_RATE_PER_MS: f64 = 1e-9;

/// The queue in which a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// The FIFO queue of requests that use a reservation.
    Reserved,
    /// The round-robin queues.
    RoundRobin,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    client: ClientKey,
    tenant: TenantId,
    body_bytes: usize,
    queue: Queue,
    /// The request's key in [`FairQueue::expiries`].
    expiry_key: u64,
    /// The number of requests that were queued before it.
    sequence: u64,
}

/// Queues requests and makes admission decisions. See the [module documentation](self).
#[derive(Debug)]
pub struct FairQueue {
    bounds: AdmissionBounds,
    limit: ConcurrencyLimit,
    in_flight: InFlightRequests,
    queued: AHashMap<RequestId, QueuedRequest>,
    queued_bytes: usize,
    /// The number of requests that have been queued.
    last_sequence: u64,
    round_robin: RoundRobin,
    /// The queued requests that use a reservation.
    reserved_queue: VecDeque<RequestId>,
    /// The queued requests by the time at which they are shed, [`AdmissionBounds::min_service_ms`] before
    /// their deadlines. The times are stored as the bits of an `f64`, which have the same order as the
    /// values because none is negative.
    expiries: BTreeSet<(u64, RequestId)>,
    reservations: ReservationTable,
    /// Counters of decisions and reservations.
    pub counters: AdmissionCounters,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(bounds: AdmissionBounds, limit: LimitSettings, weights: Weights) -> Self {
        Self {
            bounds,
            limit: ConcurrencyLimit::new(limit),
            in_flight: InFlightRequests::default(),
            queued: AHashMap::new(),
            queued_bytes: 0,
            last_sequence: 0,
            round_robin: RoundRobin::new(weights),
            reserved_queue: VecDeque::new(),
            expiries: BTreeSet::new(),
            reservations: ReservationTable::new(bounds.max_reservations),
            counters: AdmissionCounters::default(),
        }
    }

    /// Replaces the weights. They apply from the next round; queued requests keep their place.
    pub fn set_weights(&mut self, weights: Weights) {
        self.round_robin.set_weights(weights);
    }

    /// The number of admitted requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// The number of queued requests.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Whether a request is admitted and in flight.
    pub fn is_in_flight(&self, id: RequestId) -> bool {
        self.in_flight.contains(id)
    }

    /// Whether a request is queued.
    pub fn is_queued(&self, id: RequestId) -> bool {
        self.queued.contains_key(&id)
    }

    /// The number of queued requests as a fraction of its bound.
    pub fn fill(&self) -> f64 {
        self.queued.len() as f64 / self.bounds.max_queued.max(1) as f64
    }

    /// The number of reservations.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }

    /// The current concurrency limit.
    pub fn limit(&self) -> f64 {
        self.limit.current()
    }

    /// The number of queued requests by tenant.
    pub fn queued_by_tenant(&self) -> impl Iterator<Item = (TenantId, usize)> + '_ {
        self.round_robin.queued_by_tenant()
    }

    /// Decides on a newly received request.
    pub fn submit(&mut self, now_ms: f64, arrival: Arrival) -> AdmissionDecision {
        if self.queued.contains_key(&arrival.id) || self.in_flight.contains(arrival.id) {
            return AdmissionDecision::Duplicate;
        }
        self.counters.reservations_expired += self.reservations.expire(now_ms);
        let reservation = self.reservations.get(arrival.client);
        if reservation.is_some_and(|reservation| reservation.is_usable(now_ms)) {
            return self.use_reservation(now_ms, arrival);
        }
        if self.has_fair_capacity() && self.queued.is_empty() {
            return self.admit(now_ms, &arrival, false);
        }
        if self.is_light_client(arrival.client) && self.has_capacity() && self.reserved_queue.is_empty() {
            return self.admit(now_ms, &arrival, true);
        }
        match self.shed_reason(now_ms, &arrival) {
            None => self.enqueue(arrival, Queue::RoundRobin),
            Some(reason) => {
                let retry_after_ms = self.reserve(now_ms, arrival.client, arrival.tenant, reservation);
                self.counters.shed[reason as usize] += 1;
                AdmissionDecision::Shed { retry_after_ms, reason }
            }
        }
    }

    fn use_reservation(&mut self, now_ms: f64, arrival: Arrival) -> AdmissionDecision {
        self.reservations.remove(arrival.client);
        self.counters.reservations_used += 1;
        if self.has_capacity() {
            return self.admit(now_ms, &arrival, false);
        }
        self.enqueue(arrival, Queue::Reserved)
    }

    /// The reason to shed a request, or `None` if it can be queued.
    fn shed_reason(&self, now_ms: f64, arrival: &Arrival) -> Option<ShedReason> {
        let client_depth = self.round_robin.client_depth(arrival.client);
        let queue_depth = self.round_robin.queue_depth(arrival.client, arrival.tenant);
        let wait_ms = self.expected_wait_ms(arrival.client, arrival.tenant, queue_depth + 1);
        if client_depth >= self.bounds.max_queued_per_client {
            Some(ShedReason::ClientQueueFull)
        } else if self.round_robin.tenant_depth(arrival.tenant) >= self.bounds.max_queued_per_tenant {
            Some(ShedReason::TenantQueueFull)
        } else if self.queued.len() >= self.bounds.max_queued
            || self.queued_bytes + arrival.body_bytes > self.bounds.max_queued_bytes
        {
            Some(ShedReason::QueueFull)
        } else if now_ms + wait_ms + self.bounds.min_service_ms > arrival.deadline_ms {
            Some(ShedReason::DeadlineTooClose)
        } else {
            None
        }
    }

    fn admit(&mut self, now_ms: f64, arrival: &Arrival, in_light_share: bool) -> AdmissionDecision {
        self.record_in_flight(now_ms, arrival.id, arrival.client, in_light_share);
        self.counters.admitted += 1;
        AdmissionDecision::Admit
    }

    fn record_in_flight(&mut self, now_ms: f64, id: RequestId, client: ClientKey, in_light_share: bool) {
        self.in_flight.insert(id, InFlight { admitted_at_ms: now_ms, client, in_light_share });
    }

    /// Builds all indexes anew from the tables of queued and admitted requests, after a panic that may have left
    /// them inconsistent. Reservations are dropped.
    pub fn rebuild_indexes(&mut self) {
        self.in_flight.rebuild_counts();
        self.queued_bytes = 0;
        self.reserved_queue.clear();
        self.expiries.clear();
        self.round_robin = RoundRobin::new(self.round_robin.weights().clone());
        self.reservations = ReservationTable::new(self.bounds.max_reservations);
        let mut queued: Vec<_> = self.queued.iter().map(|(id, request)| (*id, *request)).collect();
        queued.sort_unstable_by_key(|(_, request)| request.sequence);
        queued.iter().for_each(|(id, request)| self.index_queued(*id, request));
    }

    /// Forgets a request, whether it is queued or in flight.
    pub fn forget(&mut self, id: RequestId) {
        self.queued.remove(&id);
        self.in_flight.remove(id);
        self.rebuild_indexes();
    }

    /// Forgets all queued requests.
    pub fn forget_queued(&mut self) {
        self.queued.clear();
        self.rebuild_indexes();
    }

    fn enqueue(&mut self, arrival: Arrival, queue: Queue) -> AdmissionDecision {
        let Arrival { id, client, tenant, deadline_ms, body_bytes } = arrival;
        let expiry_key = self.expiry_key(deadline_ms);
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let request = QueuedRequest { client, tenant, body_bytes, queue, expiry_key, sequence };
        self.queued.insert(id, request);
        self.index_queued(id, &request);
        AdmissionDecision::Queue
    }

    /// Adds a request of the table of queued requests to all indexes.
    fn index_queued(&mut self, id: RequestId, request: &QueuedRequest) {
        self.queued_bytes += request.body_bytes;
        self.expiries.insert((request.expiry_key, id));
        match request.queue {
            Queue::Reserved => self.reserved_queue.push_back(id),
            Queue::RoundRobin => self.round_robin.push(request.client, request.tenant, id),
        }
    }

    /// The key in [`Self::expiries`] of a request with this deadline.
    fn expiry_key(&self, deadline_ms: f64) -> u64 {
        (deadline_ms - self.bounds.min_service_ms).max(0.0).to_bits()
    }

    /// Limits the deadlines of all queued requests to a time in Unix milliseconds.
    pub fn limit_deadlines(&mut self, limit_ms: f64) {
        let limit_key = self.expiry_key(limit_ms);
        for (id, request) in self.queued.iter_mut().filter(|(_, request)| request.expiry_key > limit_key) {
            self.expiries.remove(&(request.expiry_key, *id));
            request.expiry_key = limit_key;
            self.expiries.insert((limit_key, *id));
        }
    }

    /// Whether a client has no request in flight or in the round-robin queues.
    fn is_light_client(&self, client: ClientKey) -> bool {
        self.in_flight.count_of(client) == 0 && self.round_robin.client_depth(client) == 0
    }

    fn has_capacity(&self) -> bool {
        self.in_flight.len() < self.limit.capacity()
    }

    /// Whether there is capacity outside the share of light clients.
    fn has_fair_capacity(&self) -> bool {
        let capacity = self.limit.capacity();
        let light_share = (self.bounds.light_client_share * capacity as f64).ceil() as usize;
        let fair_in_flight = self.in_flight.len() - self.in_flight.light();
        self.has_capacity() && fair_in_flight + light_share.min(capacity - 1) < capacity
    }

    /// The expected wait of a request at `position` of its client's queue at the tenant, counted from 1, in
    /// milliseconds.
    fn expected_wait_ms(&self, client: ClientKey, tenant: TenantId, position: usize) -> f64 {
        let ExpectedShare { tenant: tenant_share, clients } = self.round_robin.expected_share(client, tenant);
        let rate_per_ms = self.limit.rate_per_ms() * tenant_share / clients as f64;
        (position as f64 + self.reserved_queue.len() as f64 * tenant_share) / rate_per_ms.max(MIN_RATE_PER_MS)
    }

    /// Returns the retry-after time of a shed request in milliseconds, and reserves a slot for it if one has
    /// room. An unexpired reservation of the client (`existing`) is kept instead.
    fn reserve(
        &mut self,
        now_ms: f64,
        client: ClientKey,
        tenant: TenantId,
        existing: Option<Reservation>,
    ) -> f64 {
        let (min_retry_after_ms, max_retry_after_ms) =
            (self.bounds.min_retry_after_ms, self.bounds.max_retry_after_ms);
        if let Some(existing) = existing.filter(|existing| existing.until_ms >= now_ms) {
            return (existing.from_ms - now_ms).clamp(min_retry_after_ms, max_retry_after_ms);
        }
        let position = self.round_robin.queue_depth(client, tenant).max(1);
        let earliest_ms = self.expected_wait_ms(client, tenant, position).max(min_retry_after_ms);
        if earliest_ms > max_retry_after_ms {
            self.counters.unreserved += 1;
            return max_retry_after_ms;
        }
        let slot_rate = self.bounds.reservation_share * self.limit.rate_per_ms() * SLOT_MS;
        let slot_capacity = slot_rate.floor().max(1.0) as u32;
        match self.reservations.reserve(
            now_ms,
            ReservationRequest { client, earliest_ms, slot_capacity, min_retry_after_ms, max_retry_after_ms },
        ) {
            Some(wait_ms) => {
                self.counters.reserved += 1;
                wait_ms
            }
            None => {
                self.counters.unreserved += 1;
                max_retry_after_ms
            }
        }
    }

    /// Takes the next request to release from its queue: requests with a reservation first, then by round
    /// robin. The caller must remove it from `queued`.
    fn pop_next(&mut self) -> Option<RequestId> {
        if let Some(id) = self.reserved_queue.pop_front() {
            return Some(id);
        }
        if self.has_fair_capacity() {
            return self.round_robin.pop();
        }
        None
    }

    /// Removes a queued request from the queues and the expiry set, and last from the table.
    fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let request = *self.queued.get(&id)?;
        match request.queue {
            Queue::Reserved => self.reserved_queue.retain(|queued| *queued != id),
            Queue::RoundRobin => self.round_robin.remove(request.client, request.tenant, id),
        }
        self.expiries.remove(&(request.expiry_key, id));
        self.queued_bytes -= request.body_bytes;
        self.queued.remove(&id)
    }

    /// Removes a request from the queue after its client disconnected. Returns whether it was queued.
    pub fn remove_disconnected(&mut self, id: RequestId) -> bool {
        let was_queued = self.remove(id).is_some();
        self.counters.abandoned += u64::from(was_queued);
        was_queued
    }

    /// Handles the end of an admitted request. Returns the queued requests to forward to the engine now, in
    /// order.
    pub fn complete(&mut self, now_ms: f64, id: RequestId, completion: Completion) -> Vec<RequestId> {
        if let Some(InFlight { admitted_at_ms, .. }) = self.in_flight.remove(id) {
            self.limit.record_completion(
                now_ms,
                now_ms - admitted_at_ms,
                completion,
                !self.queued.is_empty(),
            );
        }
        self.release(now_ms)
    }

    /// Releases queued requests while there is capacity, and returns them in order.
    pub fn release(&mut self, now_ms: f64) -> Vec<RequestId> {
        let mut released = Vec::new();
        while self.has_capacity() {
            let Some(id) = self.pop_next() else { break };
            let Some(request) = self.queued.remove(&id) else { continue };
            self.queued_bytes -= request.body_bytes;
            self.expiries.remove(&(request.expiry_key, id));
            self.record_in_flight(now_ms, id, request.client, false);
            self.counters.released += 1;
            released.push(id);
        }
        released
    }

    /// Sheds the queued requests with no more than [`AdmissionBounds::min_service_ms`] left before their
    /// deadline. Returns each with its retry-after time.
    pub fn expire(&mut self, now_ms: f64) -> Vec<ExpiredRequest> {
        let mut expired = Vec::new();
        while let Some(&(expiry_key, id)) = self.expiries.first() {
            if f64::from_bits(expiry_key) > now_ms {
                break;
            }
            let Some(request) = self.remove(id) else {
                self.expiries.remove(&(expiry_key, id));
                continue;
            };
            let retry_after_ms = self.reserve(now_ms, request.client, request.tenant, None);
            self.counters.shed[ShedReason::ExpiredInQueue as usize] += 1;
            expired.push(ExpiredRequest { id, retry_after_ms });
        }
        expired
    }

    /// The earliest time at which [`Self::expire`] has a request to shed, Unix milliseconds.
    pub fn next_expiry_ms(&self) -> Option<f64> {
        self.expiries.first().map(|(expiry_key, _)| f64::from_bits(*expiry_key))
    }

    /// An estimate of the heap memory in use, excluding request bodies, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.in_flight.heap_bytes()
            + self.queued.capacity() * (size_of::<(RequestId, QueuedRequest)>() + 1)
            + self.round_robin.heap_bytes()
            + self.reserved_queue.capacity() * size_of::<RequestId>()
            + self.expiries.len() * EXPIRY_BYTES
            + self.reservations.heap_bytes()
    }
}

#[cfg(test)]
mod tests;
