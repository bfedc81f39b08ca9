//! Admission decisions, on a clock that the test sets: shares, bounds, reserved retry-after times, and what remains of a
//! client that disconnects.

use edge_proxy::admission::bounds::AdmissionBounds;
use edge_proxy::admission::concurrency_limit::LimitSettings;
use edge_proxy::admission::decision::{AdmissionDecision, Arrival, Completion, ShedReason};
use edge_proxy::admission::fair_queue::FairQueue;
use edge_proxy::admission::round_robin::Weights;
use std::collections::HashMap;

fn bounds() -> AdmissionBounds {
    AdmissionBounds {
        max_queued: 256,
        max_queued_per_client: 8,
        max_queued_per_tenant: 128,
        max_queued_bytes: 1 << 20,
        max_reservations: 64,
        reservation_share: 0.25,
        light_client_share: 0.0,
        min_retry_after_ms: 100.0,
        max_retry_after_ms: 10_000.0,
        min_service_ms: 20.0,
    }
}

fn fair_queue(limit: f64, weights: &[(u32, f64)]) -> FairQueue {
    let limit = LimitSettings { initial: limit, min: 1.0, max: limit, adaptive: false };
    FairQueue::new(bounds(), limit, equal_weights_but(weights))
}

/// A weight of 1 for every tenant that is not named.
fn equal_weights_but(named: &[(u32, f64)]) -> Weights {
    Weights { default: 1.0, by_tenant: named.iter().copied().collect() }
}

fn arrival(id: u64, client: u128, tenant: u32, now: f64) -> Arrival {
    Arrival { id, client, tenant, give_up_ms: now + 60_000.0, body_bytes: 0 }
}

/// Ends the oldest request in flight each step and returns which requests were released, in order.
fn drain(queue: &mut FairQueue, in_flight: &mut Vec<u64>, steps: usize, now: &mut f64) -> Vec<u64> {
    let mut order = Vec::new();
    for _ in 0..steps {
        *now += 10.0;
        let Some(id) = (!in_flight.is_empty()).then(|| in_flight.remove(0)) else { break };
        let released = queue.completed(*now, id, Completion::Succeeded);
        in_flight.extend(&released);
        order.extend(released);
    }
    order
}

#[test]
fn tenants_share_by_weight_and_clients_of_a_tenant_equally() {
    let mut queue = fair_queue(1.0, &[(1, 2.0), (2, 1.0)]);
    let mut now = 1_000.0;
    assert_eq!(queue.arrive(now, arrival(1, 99, 9, now)), AdmissionDecision::Admit);
    let mut in_flight = vec![1];
    let mut tenant_of = HashMap::new();
    for k in 0..8u64 {
        // Tenant 1 has two clients, tenant 2 one.
        for (id, client, tenant) in [(100 + k, 10, 1), (200 + k, 11, 1), (300 + k, 20, 2)] {
            assert_eq!(queue.arrive(now, arrival(id, client, tenant, now)), AdmissionDecision::Queue);
            tenant_of.insert(id, (client, tenant));
        }
    }
    let order = drain(&mut queue, &mut in_flight, 15, &mut now);
    let first12: Vec<_> = order[..12].iter().map(|id| tenant_of[id]).collect();
    let ones = first12.iter().filter(|(_, t)| *t == 1).count();
    assert_eq!(ones, 8, "weight 2 against 1: {first12:?}");
    let tenant1: Vec<u128> = first12.iter().filter(|(_, t)| *t == 1).map(|(c, _)| *c).collect();
    assert!(tenant1.windows(2).all(|w| w[0] != w[1]), "a tenant's clients take turns: {tenant1:?}");
}

#[test]
fn a_heavy_client_is_queued_and_its_excess_is_shed_at_once() {
    let mut queue = fair_queue(2.0, &[]);
    let mut now = 1_000.0;
    let mut in_flight = Vec::new();
    for id in 1..=2 {
        assert_eq!(queue.arrive(now, arrival(id, 1, 0, now)), AdmissionDecision::Admit);
        in_flight.push(id);
    }
    let mut shed = 0;
    for id in 3..=40 {
        match queue.arrive(now, arrival(id, 1, 0, now)) {
            AdmissionDecision::Queue => {}
            AdmissionDecision::Shed { reason: ShedReason::ClientQueueFull, retry_after_ms } => {
                assert!(retry_after_ms >= 100.0);
                shed += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(shed, 30, "eight may wait for one client");
    // Others come now: each goes ahead of the heavy client's backlog within one round.
    for (id, client) in [(100, 2), (101, 3), (102, 4)] {
        assert_eq!(queue.arrive(now, arrival(id, client, 0, now)), AdmissionDecision::Queue);
    }
    let order = drain(&mut queue, &mut in_flight, 6, &mut now);
    let places: Vec<usize> =
        [100, 101, 102].iter().map(|id| order.iter().position(|o| o == id).unwrap()).collect();
    assert!(places.iter().all(|p| *p <= 6), "the others were released by turn, at {places:?} of {order:?}");
}

#[test]
fn a_client_that_retries_at_its_reserved_time_is_served() {
    let mut queue = fair_queue(1.0, &[]);
    let mut now = 1_000.0;
    assert_eq!(queue.arrive(now, arrival(1, 1, 0, now)), AdmissionDecision::Admit);
    for id in 2..=9 {
        queue.arrive(now, arrival(id, 1, 0, now));
    }
    // A second client whose time is too short for its turn.
    let hurried = Arrival { give_up_ms: now + 30.0, ..arrival(50, 7, 0, now) };
    let AdmissionDecision::Shed { retry_after_ms, reason: ShedReason::DeadlineTooClose } =
        queue.arrive(now, hurried)
    else {
        panic!()
    };
    // Meanwhile others keep the queue full.
    for id in 60..=66 {
        queue.arrive(now, arrival(id, 8, 0, now));
    }
    let early = now + retry_after_ms - 200.0;
    let back = Arrival { id: 51, give_up_ms: early + 30.0, ..hurried };
    assert!(
        matches!(queue.arrive(early, back), AdmissionDecision::Shed { .. }),
        "before its time it gets no place"
    );
    now += retry_after_ms;
    let back = Arrival { id: 52, give_up_ms: now + 5_000.0, ..hurried };
    assert_eq!(queue.arrive(now, back), AdmissionDecision::Queue);
    let next = queue.completed(now + 1.0, 1, Completion::Succeeded);
    assert_eq!(next, [52], "the one with a ticket goes first");
    assert_eq!(queue.counters.reservations_used, 1);
}

#[test]
fn a_queued_request_is_shed_at_its_deadline_and_a_disconnected_client_frees_its_place() {
    let mut queue = fair_queue(1.0, &[]);
    let now = 1_000.0;
    assert_eq!(queue.arrive(now, arrival(1, 1, 0, now)), AdmissionDecision::Admit);
    let short = Arrival { give_up_ms: now + 500.0, ..arrival(2, 2, 0, now) };
    assert_eq!(queue.arrive(now, short), AdmissionDecision::Queue);
    assert_eq!(queue.arrive(now, arrival(3, 3, 0, now)), AdmissionDecision::Queue);
    assert_eq!(queue.next_deadline(), Some(1_480.0));
    assert!(queue.expire(1_479.0).is_empty());
    let expired = queue.expire(1_480.0);
    assert_eq!(expired.iter().map(|request| request.id).collect::<Vec<_>>(), [2]);
    assert!(queue.disconnected(3));
    assert_eq!(queue.queued(), 0);
    assert!(queue.completed(1_500.0, 1, Completion::Succeeded).is_empty(), "nothing is released for those");
}

#[test]
fn memory_stays_within_the_stated_bound_for_a_hundred_thousand_clients() {
    let bounds = bounds();
    let limit = LimitSettings { initial: 8.0, min: 1.0, max: 8.0, adaptive: false };
    let mut queue = FairQueue::new(bounds, limit, equal_weights_but(&[]));
    let mut now = 1_000.0;
    let mut most = 0;
    for client in 0..100_000u64 {
        now += 0.05;
        queue.arrive(now, arrival(client, u128::from(client), (client % 300) as u32, now));
        if client % 1_000 == 0 {
            most = most.max(queue.heap_bytes());
            queue.expire(now);
        }
    }
    most = most.max(queue.heap_bytes());
    assert!(queue.queued() <= bounds.max_queued && queue.reservations() <= bounds.max_reservations);
    assert!(most <= bounds.max_heap_bytes(8), "{most} bytes against the bound {}", bounds.max_heap_bytes(8));
    // Once all is served, the clients' state is gone.
    for id in 0..100_000u64 {
        queue.completed(now, id, Completion::Succeeded);
        queue.disconnected(id);
    }
    assert_eq!((queue.queued(), queue.in_flight()), (0, 0));
}

#[test]
fn new_weights_hold_from_the_next_round_and_nothing_queued_is_lost() {
    let mut queue = fair_queue(1.0, &[]);
    let mut now = 1_000.0;
    queue.arrive(now, arrival(1, 99, 9, now));
    let mut in_flight = vec![1];
    for k in 0..20u64 {
        assert_eq!(
            queue.arrive(now, arrival(100 + k, 1_000 + u128::from(k), 1, now)),
            AdmissionDecision::Queue
        );
        assert_eq!(
            queue.arrive(now, arrival(200 + k, 2_000 + u128::from(k), 2, now)),
            AdmissionDecision::Queue
        );
    }
    let even = drain(&mut queue, &mut in_flight, 6, &mut now);
    assert_eq!(even.iter().filter(|id| **id < 200).count(), 3);
    queue.set_weights(equal_weights_but(&[(1, 3.0)]));
    let after = drain(&mut queue, &mut in_flight, 12, &mut now);
    let ones = after[2..10].iter().filter(|id| **id < 200).count();
    assert_eq!(ones, 6, "three to one after the change: {after:?}");
    let rest = drain(&mut queue, &mut in_flight, 100, &mut now);
    assert_eq!(even.len() + after.len() + rest.len(), 40, "every queued request was released");
}

#[test]
fn a_light_client_is_admitted_at_once_beside_a_heavy_backlog() {
    let limit = LimitSettings { initial: 4.0, min: 1.0, max: 4.0, adaptive: false };
    let mut queue = FairQueue::new(
        AdmissionBounds { light_client_share: 0.25, ..bounds() },
        limit,
        equal_weights_but(&[]),
    );
    let now = 1_000.0;
    let decisions: Vec<AdmissionDecision> =
        (1..=8).map(|id| queue.arrive(now, arrival(id, 1, 0, now))).collect();
    assert_eq!(
        decisions.iter().filter(|v| **v == AdmissionDecision::Admit).count(),
        3,
        "the heavy client keeps out of the share of light clients"
    );
    assert_eq!(
        queue.arrive(now, arrival(50, 2, 0, now)),
        AdmissionDecision::Admit,
        "a light client is admitted at once"
    );
    assert_eq!(
        queue.arrive(now, arrival(51, 2, 0, now)),
        AdmissionDecision::Queue,
        "its second waits its turn"
    );
    // Capacity outside that share goes by turn: the heavy client's next, then the light client's second.
    assert_eq!(queue.completed(now + 5.0, 1, Completion::Succeeded), [4]);
    assert_eq!(queue.completed(now + 6.0, 2, Completion::Succeeded), [51]);
}
