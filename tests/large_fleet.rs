//! Many routers on one test clock, each with little traffic of its own: what each may do alone is summed up and
//! held against what the members can bear together.

mod common;

use common::*;
use edge_proxy::*;

/// Routers of a fleet, each with its own seed, all told of the same endpoints.
fn fleet_size(set: &PolicySettings, entries: &[Endpoint], count: u64) -> Vec<Bench> {
    let router = |k| {
        let mut bench = Bench::new(set.clone(), Vec::new());
        bench.router = Router::new(set.clone(), 1_000 * k);
        bench.event(Event::EndpointsChanged { full: true, entries: entries.to_vec() });
        bench
    };
    (0..count).map(router).collect()
}

/// A fleet's settings: nothing tells hits from fills, weights are not known, nobody may be probed.
fn large() -> PolicySettings {
    PolicySettings {
        fleet_size: 100,
        local_fleet_size: 8,
        weights_known: false,
        reports_cache_status: false,
        can_check_health: false,
        ..settings()
    }
}

/// A hundred routers that each had saved twenty retries spent them within a second on an origin that was already
/// asked too much, and pushed it over: what they may send beyond first attempts follows their traffic.
#[test]
fn a_hundred_quiet_routers_do_not_multiply_an_overload() {
    let mut fleet = fleet_size(&large(), &fleet(), 100);
    // Eight seconds of peace at eight requests a second each, in which retries are earned, then two of refusals.
    let (mut first, mut again) = (0, 0);
    for step in 0..80u64 {
        for (k, bench) in fleet.iter_mut().enumerate() {
            bench.now += 125 * MS;
            let object = step * 100 + k as u64;
            if step < 64 {
                bench.path(object);
                continue;
            }
            let mut actions = bench.request(2, object);
            let mut attempts = 0;
            while let Some(attempt) = sent(&actions).first().cloned() {
                actions = bench.outcome(attempt.id, attempts, AttemptOutcome::Rejected, false);
                attempts += 1;
            }
            first += 1;
            again += attempts.saturating_sub(1);
        }
    }
    assert_eq!(first, 1_600);
    assert!(again <= first / 2, "{again} retries for {first} requests of the whole fleet");
}

/// A router that meets a parent less than twice a second still held its failures against it half a minute after
/// it was well again, and with it the whole fleet stayed away.
#[test]
fn a_recovered_parent_gets_requests_within_seconds_also_at_quiet_routers() {
    let mut fleet = fleet_size(&large(), &fleet(), 20);
    let mut waited = Vec::new();
    for (k, bench) in fleet.iter_mut().enumerate() {
        let mut next = 1_000 * k as u64;
        // Five requests a second. For a minute every fill from parent 11 fails; then all is well.
        let mut turn = |failing: bool| {
            bench.now += 200 * MS;
            next += 1;
            let mut actions = bench.request(0, next);
            let (mut attempt, mut asked) = (0, false);
            while let Some(Sent { id, source, .. }) = sent(&actions).first().cloned() {
                asked |= source == Some(11);
                let ill = failing && source == Some(11);
                let (outcome, cache_status) = if ill {
                    (AttemptOutcome::Error, CacheStatus::SourceFailed)
                } else {
                    (AttemptOutcome::Served, CacheStatus::Filled)
                };
                let elapsed = 100 * MS;
                actions = bench.event(Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    cache_status,
                    elapsed,
                    closed: !ill,
                });
                attempt += 1;
            }
            asked
        };
        for _ in 0..300 {
            turn(true);
        }
        waited.push((0..300).position(|_| turn(false)).unwrap_or(300));
    }
    waited.sort_unstable();
    // Half of them ask within seven seconds: a third of the requests are for its objects.
    assert!(waited[10] <= 35, "turns until each of 20 routers asked it again: {waited:?}");
}

/// One of eight routers that had eleven answers out at a cache took them for a sample of ninety, and refused one request
/// in twenty on days without any fault: what a few tell by chance is not a load.
#[test]
fn a_few_concurrent_attempts_by_chance_are_no_load() {
    let mut one = fleet_size(&large(), &fleet(), 1).remove(0);
    let mut refused_at = None;
    for n in 1..=40 {
        one.now += MS;
        if sent(&one.request(0, 77)).is_empty() {
            refused_at = Some(n);
            break;
        }
    }
    // Forty would be 320 at a cache taken to bear four: that many are refused long before.
    assert!(refused_at.is_some_and(|n| (15..=25).contains(&n)), "{refused_at:?}");
}

/// The origin is slow and every copy is void: a hundred routers that each fill all that they are asked for push it over,
/// and with it goes what only it can do. The sum of their fills falls with late answers, and all of them leave out the
/// same objects, so that the others are filled once and kept; what is never kept goes on, and all comes back.
#[test]
fn the_fills_of_a_hundred_routers_fall_with_late_answers_and_leave_out_the_same_objects() {
    let mut fleet = fleet_size(&large(), &fleet(), 100);
    let answered = |bench: &mut Bench, class, object, elapsed| {
        let first = sent(&bench.request(class, object)).first().cloned()?;
        let (id, outcome, cache_status) = (first.id, AttemptOutcome::Served, CacheStatus::Unknown);
        bench.event(Event::AttemptEnded { id, attempt: 0, outcome, cache_status, elapsed, closed: true });
        Some(first)
    };
    // Whether each of 200 objects may be fetched from the origin; the others are asked for where they are held.
    let fills = |bench: &mut Bench, elapsed| -> Vec<bool> {
        let mut fetched = |k: u64| {
            let first = answered(bench, 0, 1_000 + k, elapsed).expect("an attempt");
            assert!(first.source.is_some_and(|s| s != first.to), "a parent may still hold it: {first:?}");
            !first.only_if_cached
        };
        (0..200).map(&mut fetched).collect()
    };
    // Three seconds of late answers at eight requests a second each.
    for step in 0..24u64 {
        for bench in &mut fleet {
            bench.now += 125 * MS;
            answered(bench, 0, step, 2 * S);
        }
    }
    let asked: Vec<Vec<bool>> = fleet.iter_mut().map(|bench| fills(bench, 2 * S)).collect();
    let sum = asked.iter().flatten().filter(|filled| **filled).count();
    assert!(sum < 100 * 200 / 5, "{sum} fills of {} requests", 100 * 200);
    assert!(sum > 100 * 200 / 50, "some are filled still: {sum}");
    let last = |k: usize| asked.iter().filter(|router| router[k]).count();
    let together = (100..200).filter(|k| last(*k) == 0 || last(*k) == 100).count();
    assert_eq!(together, 100, "all routers leave out the same objects");
    for bench in &mut fleet {
        assert!(answered(bench, 2, 5, 100 * MS).is_some_and(|a| a.to == 21), "a write goes to the origin");
    }
    // Well again: what comes back does so within ten seconds, at any router and whatever it is asked.
    for bench in &mut fleet {
        for step in 0..80u64 {
            bench.now += 125 * MS;
            answered(bench, 0, step, 50 * MS);
        }
        assert!(fills(bench, 50 * MS).iter().all(|filled| *filled), "all is filled again");
    }
}
