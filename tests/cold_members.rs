//! Slow start over a whole fleet: the requests of all routers to a restarted parent stay below its overload
//! threshold, for many seeds and with uneven traffic.

mod common;

use common::*;
use edge_proxy::*;

/// The parent that restarts.
const RESTARTED_PARENT: EndpointId = 12;
/// Size of all requests.
const SIZE_KB: f64 = 500.0;
/// Transfer time of a request of that size.
const TRANSFER_TIME: Micros = 100 * MS;
/// Step of the simulated clock.
const STEP: Micros = 5 * MS;
/// Number of steps after the restart.
const STEPS: u64 = 1_600;
const SEEDS: u64 = 12;

/// A router and its share of the fleet's requests.
struct FleetMember {
    router: Router,
    traffic_share: f64,
}

/// A fleet with uneven traffic: one router in ten gets no requests, one in ten five times as many as the
/// others.
fn fleet_of(fleet_size: u32, seed: u64) -> (PolicySettings, Vec<FleetMember>) {
    let policy = PolicySettings {
        fleet_size,
        local_fleet_size: fleet_size / 6,
        can_check_health: false,
        ..settings()
    };
    let weight = |k: u32| match k % 10 {
        0 => 0.0,
        1 => 5.0,
        _ => 1.0,
    };
    let sum: f64 = (0..fleet_size).map(weight).sum();
    let members = (0..fleet_size).map(|k| {
        let mut router = Router::new(policy.clone(), seed * 1_000 + u64::from(k));
        router.handle(S, &Event::EndpointsChanged { full: true, entries: endpoints() }, &mut Vec::new());
        FleetMember { router, traffic_share: weight(k) / sum }
    });
    (policy.clone(), members.collect())
}

/// Simulates a restart of the parent. Returns the maximum, over all overload windows, of its requests divided
/// by the limit (N + 2 sqrt(N) + 2 at a threshold of N), and the total number of its requests.
fn worst_window(fleet_size: u32, seed: u64) -> (f64, usize) {
    let (policy, mut members) = fleet_of(fleet_size, seed);
    let mut random = seed;
    let (mut now, mut id) = (S, 0);
    let mut requested_at = Vec::new();
    let mut step = |members: &mut [FleetMember], now: Micros| {
        for member in members {
            // At most one request per router and step; 1,000 per second on average over the fleet.
            if draw(&mut random) >= member.traffic_share * 1_000.0 * STEP as f64 / S as f64 {
                continue;
            }
            id += 1;
            let object = (draw(&mut random) * 20_000.0) as u64;
            let (group, part, size_kb, deadline_at) = (0, 0, SIZE_KB, now + 3 * S);
            let mut actions = Vec::new();
            let request = Event::Request {
                id,
                class: policy.classes[0].clone(),
                object,
                group,
                part,
                size_kb,
                deadline_at,
                repeatable_until: Micros::MAX,
            };
            member.router.handle(now, &request, &mut actions);
            let Some(first) = sent_attempts(&actions).first().cloned() else { continue };
            if first.to == RESTARTED_PARENT || first.source == Some(RESTARTED_PARENT) {
                requested_at.push(now);
            }
            let (outcome, cache_status, elapsed) = (AttemptOutcome::Served, CacheStatus::Filled, 150 * MS);
            let outcome =
                Event::AttemptEnded { id, attempt: 0, outcome, cache_status, elapsed, closed: true };
            member.router.handle(now, &outcome, &mut actions);
        }
    };
    for _ in 0..200 {
        now += STEP;
        step(&mut members, now);
    }
    let started_at = now;
    for member in &mut members {
        let entry = Endpoint { started_at, ..endpoint(RESTARTED_PARENT, Tier::Parent) };
        member.router.handle(
            now,
            &Event::EndpointsChanged { full: false, entries: vec![entry] },
            &mut Vec::new(),
        );
    }
    for _ in 0..STEPS {
        now += STEP;
        step(&mut members, now);
    }
    let slow_start = policy.parent_slow_start;
    requested_at.retain(|at| *at > started_at);
    let ratios = requested_at.iter().enumerate().map(|(first, from)| {
        let window = requested_at[first..].iter().take_while(|at| **at < from + slow_start.overload_window);
        let share = slow_start.initial_capacity
            + (1.0 - slow_start.initial_capacity) * (from - started_at) as f64
                / slow_start.ramp_duration as f64;
        // 20 is the weight of a parent in `common::endpoint`.
        let allowed = slow_start.overload_multiple * share * 20.0 * slow_start.overload_window as f64
            / TRANSFER_TIME as f64;
        window.count() as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0)
    });
    (ratios.fold(0.0, f64::max), requested_at.len())
}

/// Checks the maximum over all seeds, and prints the distribution.
fn assert_below_overload_threshold(fleet_size: u32) {
    let mut all: Vec<(f64, usize)> = (1..=SEEDS).map(|seed| worst_window(fleet_size, seed)).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (min, median, max) = (all[0].0, all[all.len() / 2].0, all[all.len() - 1].0);
    println!(
        "{fleet_size} routers: worst window, relative to the limit: minimum {min:.2}, median {median:.2}, \
         maximum {max:.2}"
    );
    assert!(
        max <= 1.0,
        "{fleet_size} routers: a window exceeds the limit; sorted (ratio, requests) of all seeds: {all:?}"
    );
    // A budget of 0 would also satisfy the limit.
    assert!(
        all.iter().all(|(_, requests)| *requests > 20),
        "{fleet_size} routers: too few requests to the restarted parent: {all:?}"
    );
}

#[test]
fn requests_of_24_routers_stay_below_a_restarted_parents_overload_threshold() {
    assert_below_overload_threshold(24);
}

#[test]
fn requests_of_300_routers_stay_below_a_restarted_parents_overload_threshold() {
    assert_below_overload_threshold(300);
}
