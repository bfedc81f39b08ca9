//! Fleets of many routers on one test clock, each with little traffic: the sum of their attempts must not
//! overload the endpoints.

mod common;

use common::*;
use edge_proxy::*;

/// Creates the routers of a fleet, each with its own seed, with the same list of endpoints.
fn routers(policy: &PolicySettings, entries: &[Endpoint], count: u64) -> Vec<Harness> {
    let router = |k| {
        let mut harness = Harness::new(policy.clone(), Vec::new());
        harness.router = Router::new(policy.clone(), 1_000 * k);
        harness.handle(Event::EndpointsChanged { full: true, entries: entries.to_vec() });
        harness
    };
    (0..count).map(router).collect()
}

/// Settings without cache status, weights and health checks.
fn large_fleet_settings() -> PolicySettings {
    PolicySettings {
        fleet_size: 100,
        local_fleet_size: 8,
        weights_are_capacities: false,
        reports_cache_status: false,
        can_check_health: false,
        ..settings()
    }
}

/// If every router could send its saved retries at once, the fleet would overload a failing origin further: a
/// hundred routers that had saved twenty retries each once spent them within a second, and overloaded it.
#[test]
fn retries_of_a_hundred_routers_are_at_most_half_of_their_requests() {
    let mut fleet = routers(&large_fleet_settings(), &endpoints(), 100);
    // Each router gets eight requests per second: eight seconds of successes, then two seconds of rejections.
    let (mut first, mut retries) = (0, 0);
    for step in 0..80u64 {
        for (k, harness) in fleet.iter_mut().enumerate() {
            harness.now += 125 * MS;
            let object = step * 100 + k as u64;
            if step < 64 {
                harness.serve_request(object);
                continue;
            }
            let mut actions = harness.request(2, object);
            let mut attempts = 0;
            while let Some(attempt) = sent_attempts(&actions).first().cloned() {
                actions = harness.end_attempt(attempt.id, attempts, AttemptOutcome::Rejected, false);
                attempts += 1;
            }
            first += 1;
            retries += attempts.saturating_sub(1);
        }
    }
    assert_eq!(first, 1_600);
    assert!(retries <= first / 2, "{retries} retries for {first} requests to the whole fleet");
}

/// At a low request rate, failures must not keep a parent ejected long after it has recovered.
#[test]
fn a_recovered_parent_gets_requests_within_seconds_at_a_low_rate() {
    let mut fleet = routers(&large_fleet_settings(), &endpoints(), 20);
    let mut requests_until_use = Vec::new();
    for (k, harness) in fleet.iter_mut().enumerate() {
        let mut next = 1_000 * k as u64;
        // Five requests per second. Fills from parent 11 fail for a minute and succeed afterwards.
        let mut send = |failing: bool| {
            harness.now += 200 * MS;
            next += 1;
            let mut actions = harness.request(0, next);
            let (mut attempt, mut used_parent) = (0, false);
            while let Some(SentAttempt { id, source, .. }) = sent_attempts(&actions).first().cloned() {
                used_parent |= source == Some(11);
                let failing_attempt = failing && source == Some(11);
                let (outcome, cache_status) = if failing_attempt {
                    (AttemptOutcome::Error, CacheStatus::SourceFailed)
                } else {
                    (AttemptOutcome::Served, CacheStatus::Filled)
                };
                let elapsed = 100 * MS;
                actions = harness.handle(Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    cache_status,
                    elapsed,
                    closed: !failing_attempt,
                });
                attempt += 1;
            }
            used_parent
        };
        for _ in 0..300 {
            send(true);
        }
        requests_until_use.push((0..300).position(|_| send(false)).unwrap_or(300));
    }
    requests_until_use.sort_unstable();
    // A third of the requests are for objects of parent 11. Half of the routers must use it within seven
    // seconds of its recovery.
    assert!(
        requests_until_use[10] <= 35,
        "requests until each of 20 routers used the recovered parent: {requests_until_use:?}"
    );
}

/// A router must not take a few of its own concurrent attempts for an overload of the location. One of eight
/// routers with eleven attempts in flight to a cache once extrapolated them to ninety, and rejected one
/// request in twenty on days without any fault.
#[test]
fn a_few_concurrent_attempts_by_chance_cause_no_rejections() {
    let mut router = routers(&large_fleet_settings(), &endpoints(), 1).remove(0);
    let mut rejected_at = None;
    for n in 1..=40 {
        router.now += MS;
        if sent_attempts(&router.request(0, 77)).is_empty() {
            rejected_at = Some(n);
            break;
        }
    }
    // With eight routers, 40 attempts stand for 320 at a cache with a capacity of 4, so rejections must start
    // well before that.
    assert!(rejected_at.is_some_and(|n| (15..=25).contains(&n)), "{rejected_at:?}");
}

/// While the origin is slow, the fills of all routers decrease together, for the same objects, so that the
/// other objects are filled once and then cached. Writes continue, and fills resume after recovery. If each
/// router filled all that it is asked for, the fleet would overload the origin, which alone runs writes.
#[test]
fn late_responses_reduce_the_fills_of_all_routers_for_the_same_objects() {
    let mut fleet = routers(&large_fleet_settings(), &endpoints(), 100);
    let serve = |harness: &mut Harness, class, object, elapsed| {
        let first = sent_attempts(&harness.request(class, object)).first().cloned()?;
        let (id, outcome, cache_status) = (first.id, AttemptOutcome::Served, CacheStatus::Unknown);
        harness.handle(Event::AttemptEnded { id, attempt: 0, outcome, cache_status, elapsed, closed: true });
        Some(first)
    };
    // Requests 200 objects; returns for each whether its fill may be fetched from the origin.
    let may_fetch_from_origin = |harness: &mut Harness, elapsed| -> Vec<bool> {
        let mut fetched = |k: u64| {
            let first = serve(harness, 0, 1_000 + k, elapsed).expect("the request is rejected");
            assert!(
                first.source.is_some_and(|s| s != first.to),
                "the attempt forbids a fill from the parent: {first:?}"
            );
            !first.only_if_cached
        };
        (0..200).map(&mut fetched).collect()
    };
    // Three seconds of late responses at eight requests per second and router.
    for step in 0..24u64 {
        for harness in &mut fleet {
            harness.now += 125 * MS;
            serve(harness, 0, step, 2 * S);
        }
    }
    let filled: Vec<Vec<bool>> =
        fleet.iter_mut().map(|harness| may_fetch_from_origin(harness, 2 * S)).collect();
    let fetches = filled.iter().flatten().filter(|filled| **filled).count();
    assert!(fetches < 100 * 200 / 5, "{fetches} fills of {} requests", 100 * 200);
    assert!(fetches > 100 * 200 / 50, "some objects are still filled: {fetches}");
    let filling_routers = |k: usize| filled.iter().filter(|router| router[k]).count();
    let agreed = (100..200).filter(|k| filling_routers(*k) == 0 || filling_routers(*k) == 100).count();
    assert_eq!(agreed, 100, "all routers exclude the same objects");
    for harness in &mut fleet {
        assert!(serve(harness, 2, 5, 100 * MS).is_some_and(|a| a.to == 21), "a write goes to the origin");
    }
    // After ten seconds of timely responses, all routers fill all objects again.
    for harness in &mut fleet {
        for step in 0..80u64 {
            harness.now += 125 * MS;
            serve(harness, 0, step, 50 * MS);
        }
        assert!(
            may_fetch_from_origin(harness, 50 * MS).iter().all(|filled| *filled),
            "all objects are filled again"
        );
    }
}
