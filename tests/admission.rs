//! The door's decisions, on a clock that the test sets: shares, bounds, come-back times that hold, and what a
//! client that leaves leaves behind.

use edge_proxy::admission::fair::{AdmissionBounds, Arrival, Ending, FairQueue, Limit, Refusal, Verdict};
use std::collections::HashMap;

fn bounds() -> AdmissionBounds {
    AdmissionBounds {
        queue_most: 256,
        per_client_most: 8,
        per_tenant_most: 128,
        bytes_most: 1 << 20,
        tickets_most: 64,
        ticket_share: 0.25,
        reserve_share: 0.0,
        come_back_least_ms: 100.0,
        come_back_most_ms: 10_000.0,
        least_service_ms: 20.0,
    }
}

fn door(limit: f64, weights: &[(u32, f64)]) -> FairQueue {
    let limit = Limit { first: limit, least: 1.0, most: limit, adaptive: false };
    FairQueue::new(bounds(), limit, 1.0, weights.iter().copied().collect())
}

fn arrival(id: u64, client: u128, tenant: u32, now: f64) -> Arrival {
    Arrival { id, client, tenant, give_up_ms: now + 60_000.0, bytes: 0 }
}

/// Ends the oldest open request each step and returns who was let in, in order.
fn drain(door: &mut FairQueue, open: &mut Vec<u64>, steps: usize, now: &mut f64) -> Vec<u64> {
    let mut order = Vec::new();
    for _ in 0..steps {
        *now += 10.0;
        let Some(id) = (!open.is_empty()).then(|| open.remove(0)) else { break };
        let released = door.ended(*now, id, Ending::Answered);
        open.extend(&released);
        order.extend(released);
    }
    order
}

#[test]
fn tenants_share_by_weight_and_a_tenants_clients_alike() {
    let mut door = door(1.0, &[(1, 2.0), (2, 1.0)]);
    let mut now = 1_000.0;
    assert_eq!(door.arrive(now, arrival(1, 99, 9, now)), Verdict::Admit);
    let mut open = vec![1];
    let mut tenant_of = HashMap::new();
    for k in 0..8u64 {
        // Tenant 1 has two clients, tenant 2 one.
        for (id, client, tenant) in [(100 + k, 10, 1), (200 + k, 11, 1), (300 + k, 20, 2)] {
            assert_eq!(door.arrive(now, arrival(id, client, tenant, now)), Verdict::Queue);
            tenant_of.insert(id, (client, tenant));
        }
    }
    let order = drain(&mut door, &mut open, 15, &mut now);
    let first12: Vec<_> = order[..12].iter().map(|id| tenant_of[id]).collect();
    let ones = first12.iter().filter(|(_, t)| *t == 1).count();
    assert_eq!(ones, 8, "weight 2 against 1: {first12:?}");
    let tenant1: Vec<u128> = first12.iter().filter(|(_, t)| *t == 1).map(|(c, _)| *c).collect();
    assert!(tenant1.windows(2).all(|w| w[0] != w[1]), "a tenant's clients take turns: {tenant1:?}");
}

#[test]
fn a_heavy_client_waits_its_turn_and_its_excess_is_refused_at_once() {
    let mut door = door(2.0, &[]);
    let mut now = 1_000.0;
    let mut open = Vec::new();
    for id in 1..=2 {
        assert_eq!(door.arrive(now, arrival(id, 1, 0, now)), Verdict::Admit);
        open.push(id);
    }
    let mut refused = 0;
    for id in 3..=40 {
        match door.arrive(now, arrival(id, 1, 0, now)) {
            Verdict::Queue => {}
            Verdict::Refuse { reason: Refusal::Client, come_back_ms } => {
                assert!(come_back_ms >= 100.0);
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(refused, 30, "eight may wait for one client");
    // Others come now: each goes ahead of the heavy client's backlog within one round.
    for (id, client) in [(100, 2), (101, 3), (102, 4)] {
        assert_eq!(door.arrive(now, arrival(id, client, 0, now)), Verdict::Queue);
    }
    let order = drain(&mut door, &mut open, 6, &mut now);
    let places: Vec<usize> =
        [100, 101, 102].iter().map(|id| order.iter().position(|o| o == id).unwrap()).collect();
    assert!(places.iter().all(|p| *p <= 6), "the others were let in by turn, at {places:?} of {order:?}");
}

#[test]
fn a_client_told_to_come_back_is_served_when_it_does() {
    let mut door = door(1.0, &[]);
    let mut now = 1_000.0;
    assert_eq!(door.arrive(now, arrival(1, 1, 0, now)), Verdict::Admit);
    for id in 2..=9 {
        door.arrive(now, arrival(id, 1, 0, now));
    }
    // A second client whose time is too short for its turn.
    let hurried = Arrival { give_up_ms: now + 30.0, ..arrival(50, 7, 0, now) };
    let Verdict::Refuse { come_back_ms, reason: Refusal::Time } = door.arrive(now, hurried) else { panic!() };
    // Meanwhile others keep the door full.
    for id in 60..=66 {
        door.arrive(now, arrival(id, 8, 0, now));
    }
    let early = now + come_back_ms - 200.0;
    let back = Arrival { id: 51, give_up_ms: early + 30.0, ..hurried };
    assert!(matches!(door.arrive(early, back), Verdict::Refuse { .. }), "before its time it gets no place");
    now += come_back_ms;
    let back = Arrival { id: 52, give_up_ms: now + 5_000.0, ..hurried };
    assert_eq!(door.arrive(now, back), Verdict::Queue);
    let next = door.ended(now + 1.0, 1, Ending::Answered);
    assert_eq!(next, [52], "the one with a ticket goes first");
    assert_eq!(door.figures.honoured, 1);
}

#[test]
fn what_waits_past_its_time_is_refused_then_and_a_client_that_leaves_frees_its_place() {
    let mut door = door(1.0, &[]);
    let now = 1_000.0;
    assert_eq!(door.arrive(now, arrival(1, 1, 0, now)), Verdict::Admit);
    let short = Arrival { give_up_ms: now + 500.0, ..arrival(2, 2, 0, now) };
    assert_eq!(door.arrive(now, short), Verdict::Queue);
    assert_eq!(door.arrive(now, arrival(3, 3, 0, now)), Verdict::Queue);
    assert_eq!(door.next_due(), Some(1_480.0));
    assert!(door.expired(1_479.0).is_empty());
    let expired = door.expired(1_480.0);
    assert_eq!(expired.iter().map(|e| e.0).collect::<Vec<_>>(), [2]);
    assert!(door.left(3));
    assert_eq!(door.queued(), 0);
    assert!(door.ended(1_500.0, 1, Ending::Answered).is_empty(), "nothing is let in for those");
}

#[test]
fn memory_stays_within_the_stated_bound_for_a_hundred_thousand_clients() {
    let bounds = bounds();
    let limit = Limit { first: 8.0, least: 1.0, most: 8.0, adaptive: false };
    let mut door = FairQueue::new(bounds, limit, 1.0, Default::default());
    let mut now = 1_000.0;
    let mut most = 0;
    for client in 0..100_000u64 {
        now += 0.05;
        door.arrive(now, arrival(client, u128::from(client), (client % 300) as u32, now));
        if client % 1_000 == 0 {
            most = most.max(door.heap_bytes());
            door.expired(now);
        }
    }
    most = most.max(door.heap_bytes());
    assert!(door.queued() <= bounds.queue_most && door.tickets() <= bounds.tickets_most);
    assert!(most <= bounds.bytes_bound(8), "{most} bytes against the bound {}", bounds.bytes_bound(8));
    // Once all is served, the clients' state is gone.
    for id in 0..100_000u64 {
        door.ended(now, id, Ending::Answered);
        door.left(id);
    }
    assert_eq!((door.queued(), door.open()), (0, 0));
}

#[test]
fn new_weights_hold_from_the_next_round_and_nothing_queued_is_lost() {
    let mut door = door(1.0, &[]);
    let mut now = 1_000.0;
    door.arrive(now, arrival(1, 99, 9, now));
    let mut open = vec![1];
    for k in 0..20u64 {
        assert_eq!(door.arrive(now, arrival(100 + k, 1_000 + u128::from(k), 1, now)), Verdict::Queue);
        assert_eq!(door.arrive(now, arrival(200 + k, 2_000 + u128::from(k), 2, now)), Verdict::Queue);
    }
    let even = drain(&mut door, &mut open, 6, &mut now);
    assert_eq!(even.iter().filter(|id| **id < 200).count(), 3);
    door.reweigh(1.0, [(1, 3.0)].into_iter().collect());
    let after = drain(&mut door, &mut open, 12, &mut now);
    let ones = after[2..10].iter().filter(|id| **id < 200).count();
    assert_eq!(ones, 6, "three to one after the change: {after:?}");
    let rest = drain(&mut door, &mut open, 100, &mut now);
    assert_eq!(even.len() + after.len() + rest.len(), 40, "every one queued was let in");
}

#[test]
fn a_light_client_takes_the_reserve_at_once_beside_a_heavy_backlog() {
    let limit = Limit { first: 4.0, least: 1.0, most: 4.0, adaptive: false };
    let mut door =
        FairQueue::new(AdmissionBounds { reserve_share: 0.25, ..bounds() }, limit, 1.0, Default::default());
    let now = 1_000.0;
    let verdicts: Vec<Verdict> = (1..=8).map(|id| door.arrive(now, arrival(id, 1, 0, now))).collect();
    assert_eq!(
        verdicts.iter().filter(|v| **v == Verdict::Admit).count(),
        3,
        "the heavy client keeps out of the reserve"
    );
    assert_eq!(door.arrive(now, arrival(50, 2, 0, now)), Verdict::Admit, "a light client goes in at once");
    assert_eq!(door.arrive(now, arrival(51, 2, 0, now)), Verdict::Queue, "its second waits its turn");
    // Places outside the reserve go by turn: the heavy client's next, then the light client's second.
    assert_eq!(door.ended(now + 5.0, 1, Ending::Answered), [4]);
    assert_eq!(door.ended(now + 6.0, 2, Ending::Answered), [51]);
}
