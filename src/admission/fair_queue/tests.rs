//! A model test: random arrivals, completions, expiries, disconnects and reloads leave every index of
//! [`FairQueue`] consistent with its tables of queued and admitted requests.

use super::*;
use crate::admission::concurrency_limit::LimitSettings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const CLIENTS: u128 = 5;
const TENANTS: u32 = 3;
const CONCURRENCY_LIMIT: usize = 3;
const MAX_QUEUED: usize = 24;
const MAX_QUEUED_PER_CLIENT: usize = 6;
const MAX_QUEUED_BYTES: usize = 400;
const MIN_SERVICE_MS: f64 = 20.0;

/// An operation. Requests are chosen by position among those queued or in flight.
#[derive(Clone, Debug)]
enum Operation {
    Arrive { client: ClientKey, tenant: TenantId, patience_ms: f64, body_bytes: usize },
    Complete { position: usize },
    Disconnect { position: usize },
    Expire,
    LimitDeadlines { after_ms: f64 },
    SetWeights { first_tenant: f64, default: f64 },
    Advance { ms: f64 },
    RebuildIndexes,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        8 => (0..CLIENTS, 0..TENANTS, 0.0..3_000.0, 0..40_usize).prop_map(
            |(client, tenant, patience_ms, body_bytes)| Operation::Arrive {
                client,
                tenant,
                patience_ms,
                body_bytes
            }
        ),
        4 => any::<usize>().prop_map(|position| Operation::Complete { position }),
        2 => any::<usize>().prop_map(|position| Operation::Disconnect { position }),
        2 => Just(Operation::Expire),
        1 => (0.0..2_000.0).prop_map(|after_ms| Operation::LimitDeadlines { after_ms }),
        1 => (0.01..4.0, 0.01..4.0)
            .prop_map(|(first_tenant, default)| Operation::SetWeights { first_tenant, default }),
        4 => (0.0..400.0).prop_map(|ms| Operation::Advance { ms }),
        1 => Just(Operation::RebuildIndexes),
    ]
}

fn new_queue(light_client_share: f64) -> FairQueue {
    let bounds = AdmissionBounds {
        max_queued: MAX_QUEUED,
        max_queued_per_client: MAX_QUEUED_PER_CLIENT,
        max_queued_per_tenant: MAX_QUEUED,
        max_queued_bytes: MAX_QUEUED_BYTES,
        max_reservations: 8,
        reservation_share: 0.25,
        light_client_share,
        min_retry_after_ms: 100.0,
        max_retry_after_ms: 2_000.0,
        min_service_ms: MIN_SERVICE_MS,
    };
    let limit = CONCURRENCY_LIMIT as f64;
    let limit = LimitSettings { initial: limit, min: 1.0, max: limit, adaptive: false };
    FairQueue::new(bounds, limit, Weights { default: 1.0, by_tenant: AHashMap::new() })
}

/// A queued request of the reference: its arrival, with the deadline that is in force.
type ExpectedQueued = BTreeMap<RequestId, Arrival>;

/// The reference: which requests are queued and in flight, in plain tables.
#[derive(Default)]
struct Reference {
    queued: ExpectedQueued,
    in_flight: BTreeMap<RequestId, ClientKey>,
}

impl Reference {
    fn release(&mut self, released: &[RequestId]) {
        for id in released {
            let arrival = self.queued.remove(id).expect("only queued requests are released");
            self.in_flight.insert(*id, arrival.client);
        }
    }

    /// The queued requests that have to be shed at `now`.
    fn due(&self, now: f64) -> Vec<RequestId> {
        let is_due = |arrival: &Arrival| (arrival.deadline_ms - MIN_SERVICE_MS).max(0.0) <= now;
        self.queued.iter().filter(|(_, arrival)| is_due(arrival)).map(|(id, _)| *id).collect()
    }
}

/// Checks every index of the queue against its tables, and the tables against the reference.
fn assert_consistent(queue: &FairQueue, reference: &Reference) {
    let mut queued: Vec<RequestId> = queue.queued.keys().copied().collect();
    queued.sort_unstable();
    assert_eq!(queued, reference.queued.keys().copied().collect::<Vec<_>>(), "queued requests");
    let mut in_flight: Vec<RequestId> = queue.in_flight.iter().map(|(id, _)| id).collect();
    in_flight.sort_unstable();
    assert_eq!(in_flight, reference.in_flight.keys().copied().collect::<Vec<_>>(), "requests in flight");
    assert!(queue.in_flight.len() <= CONCURRENCY_LIMIT, "too many requests are in flight");

    let bytes: usize = reference.queued.values().map(|arrival| arrival.body_bytes).sum();
    assert_eq!(queue.queued_bytes, bytes, "bytes of queued bodies");
    let expiries = queue.queued.iter().map(|(id, request)| (request.expiry_key, *id));
    assert_eq!(queue.expiries, expiries.collect::<BTreeSet<_>>(), "expiries");

    let light = queue.in_flight.iter().filter(|(_, request)| request.in_light_share).count();
    assert_eq!(queue.in_flight.light(), light, "requests in the share of light clients");
    let clients: BTreeSet<ClientKey> = reference.in_flight.values().copied().collect();
    assert_eq!(queue.in_flight.clients(), clients.len(), "clients with requests in flight");
    for client in 0..CLIENTS {
        let count = reference.in_flight.values().filter(|other| **other == client).count() as u32;
        assert_eq!(queue.in_flight.count_of(client), count, "in flight of client {client}");
    }

    let in_queue = |wanted: Queue| queue.queued.iter().filter(move |(_, request)| request.queue == wanted);
    let mut reserved: Vec<RequestId> = in_queue(Queue::Reserved).map(|(id, _)| *id).collect();
    reserved.sort_unstable();
    let mut reserved_queue: Vec<RequestId> = queue.reserved_queue.iter().copied().collect();
    reserved_queue.sort_unstable();
    assert_eq!(reserved_queue, reserved, "queue of reservations");
    for client in 0..CLIENTS {
        let depth = in_queue(Queue::RoundRobin).filter(|(_, request)| request.client == client).count();
        assert_eq!(queue.round_robin.client_depth(client), depth, "depth of client {client}");
    }
    for tenant in 0..TENANTS {
        let depth = in_queue(Queue::RoundRobin).filter(|(_, request)| request.tenant == tenant).count();
        assert_eq!(queue.round_robin.tenant_depth(tenant), depth, "depth of tenant {tenant}");
    }
    let next_expiry_ms = queue.queued.values().map(|request| f64::from_bits(request.expiry_key));
    assert_eq!(queue.next_expiry_ms(), next_expiry_ms.min_by(f64::total_cmp), "next expiry");
    // Otherwise a queued request would wait for an event that never comes.
    assert!(queue.queued.is_empty() || !queue.in_flight.is_empty(), "requests wait, and none is in flight");
}

/// Applies an operation to the queue and to the reference.
fn apply(
    operation: Operation,
    id: RequestId,
    now: &mut f64,
    queue: &mut FairQueue,
    reference: &mut Reference,
) {
    match operation {
        Operation::Arrive { client, tenant, patience_ms, body_bytes } => {
            let arrival = Arrival { id, client, tenant, deadline_ms: *now + patience_ms, body_bytes };
            match queue.submit(*now, arrival) {
                AdmissionDecision::Admit => drop(reference.in_flight.insert(id, client)),
                AdmissionDecision::Queue => drop(reference.queued.insert(id, arrival)),
                AdmissionDecision::Shed { .. } => {}
                AdmissionDecision::Duplicate => panic!("request {id} is new"),
            }
        }
        Operation::Complete { position } => {
            let Some(id) = nth(reference.in_flight.keys(), position) else { return };
            reference.in_flight.remove(&id);
            let released = queue.complete(*now, id, Completion::Succeeded);
            reference.release(&released);
        }
        Operation::Disconnect { position } => {
            let Some(id) = nth(reference.queued.keys(), position) else { return };
            reference.queued.remove(&id);
            assert!(queue.remove_disconnected(id), "request {id} was queued");
            assert!(!queue.remove_disconnected(id), "request {id} is gone");
        }
        Operation::Expire => {
            let due = reference.due(*now);
            let mut expired: Vec<RequestId> = queue.expire(*now).iter().map(|request| request.id).collect();
            expired.sort_unstable();
            assert_eq!(expired, due, "expired requests");
            reference.queued.retain(|id, _| !due.contains(id));
        }
        Operation::LimitDeadlines { after_ms } => {
            let limit_ms = *now + after_ms;
            queue.limit_deadlines(limit_ms);
            let arrivals = reference.queued.values_mut();
            arrivals.for_each(|arrival| arrival.deadline_ms = arrival.deadline_ms.min(limit_ms));
        }
        Operation::SetWeights { first_tenant, default } => {
            queue.set_weights(Weights { default, by_tenant: AHashMap::from_iter([(0, first_tenant)]) });
        }
        Operation::Advance { ms } => *now += ms,
        Operation::RebuildIndexes => queue.rebuild_indexes(),
    }
}

fn nth<'a>(ids: impl ExactSizeIterator<Item = &'a RequestId>, position: usize) -> Option<RequestId> {
    let count = ids.len().max(1);
    let mut ids = ids;
    ids.nth(position % count).copied()
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against an index of the queue that loses touch with the requests: a release panicked or a request
    /// was never released.
    #[test]
    fn every_index_is_consistent_after_each_operation(
        light_client_share in prop_oneof![Just(0.0), Just(0.4)],
        operations in prop::collection::vec(operation(), 0..150),
    ) {
        let (mut queue, mut reference) = (new_queue(light_client_share), Reference::default());
        let mut now = 1_000_000.0;
        for (id, operation) in (1..).zip(operations) {
            apply(operation, id, &mut now, &mut queue, &mut reference);
            assert_consistent(&queue, &reference);
        }
        // All that is queued is released once the requests in flight have ended.
        while let Some(id) = reference.in_flight.keys().next().copied() {
            reference.in_flight.remove(&id);
            let released = queue.complete(now, id, Completion::Succeeded);
            reference.release(&released);
            assert_consistent(&queue, &reference);
        }
        prop_assert!(reference.queued.is_empty());
    }
}

impl FairQueue {
    /// Makes the next release panic.
    pub(in crate::admission) fn corrupt(&mut self) {
        self.round_robin.corrupt();
    }

    /// Makes the next decision about a client that has a reservation panic.
    pub(in crate::admission) fn corrupt_bounds(&mut self) {
        self.bounds.min_retry_after_ms = f64::INFINITY;
    }
}
