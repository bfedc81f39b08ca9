//! The five rules, each as scripts of events that fail when its guard is removed.

mod common;

use common::*;
use edge_proxy::*;

// ---- no request is lost ----

#[test]
fn every_way_of_failing_ends_in_one_final_answer() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Rejected,
        AttemptOutcome::NoConnection,
        AttemptOutcome::Error,
        AttemptOutcome::CacheMiss,
    ] {
        let mut bench = Bench::new(settings(), fleet());
        let mut actions = bench.request(0, 5);
        let (mut attempts, mut answers) = (0, 0);
        while let Some(attempt) = sent(&actions).first().cloned() {
            bench.now += 50 * MS;
            actions = bench.outcome(attempt.id, attempts, outcome, false);
            attempts += 1;
            answers += final_responses(&actions).len();
        }
        assert_eq!(answers, 1, "{outcome:?}");
        assert!(attempts <= 6, "{outcome:?}: {attempts} attempts");
    }
}

#[test]
fn the_time_out_at_the_deadline_is_answered_at_once() {
    let mut bench = Bench::new(settings(), fleet());
    let actions = bench.request(0, 5);
    let id = sent(&actions)[0].id;
    bench.now += 3 * S;
    let actions = bench.outcome(id, 0, AttemptOutcome::TimedOut, false);
    assert_eq!(final_responses(&actions), [(id, true)]);
    assert!(sent(&actions).is_empty());
}

#[test]
fn nothing_is_sent_or_answered_after_the_end() {
    // The client left: its attempt is called off, and its outcome changes nothing.
    let mut bench = Bench::new(settings(), fleet());
    let actions = bench.request(0, 5);
    let id = sent(&actions)[0].id;
    assert_eq!(bench.event(Event::ClientDisconnected { id }), [Action::Cancel { id, attempt: 0 }]);
    let actions = bench.outcome(id, 0, AttemptOutcome::Rejected, false);
    assert!(sent(&actions).is_empty() && final_responses(&actions).is_empty());
    // Served: a stray timer and a late outcome change nothing.
    let actions = bench.request(0, 6);
    let id = sent(&actions)[0].id;
    assert!(bench.outcome(id, 0, AttemptOutcome::Served, true).is_empty());
    assert!(bench.outcome(id, 0, AttemptOutcome::TimedOut, false).is_empty());
    assert!(bench.event(Event::Timer { token: 1 }).is_empty());
}

#[test]
fn an_empty_list_rejects_at_once() {
    let mut bench = Bench::new(settings(), Vec::new());
    let actions = bench.request(0, 5);
    assert_eq!(final_responses(&actions).len(), 1);
}

// ---- no effect happens twice ----

#[test]
fn a_request_that_is_not_idempotent_and_may_have_run_fails_and_is_never_repeated() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Error,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
    ] {
        let mut bench = Bench::new(settings(), fleet());
        let id = sent(&bench.request(3, 5))[0].id;
        let actions = bench.outcome(id, 0, outcome, false);
        assert!(sent(&actions).is_empty(), "{outcome:?}");
        assert_eq!(final_responses(&actions), [(id, false)], "{outcome:?}");
    }
}

#[test]
fn a_request_that_is_not_idempotent_and_never_ran_is_retried() {
    let mut bench = Bench::new(settings(), fleet());
    let id = sent(&bench.request(3, 5))[0].id;
    assert_eq!(sent(&bench.outcome(id, 0, AttemptOutcome::NoConnection, false)).len(), 1);
}

#[test]
fn a_request_with_a_key_is_repeated_only_in_its_scope_and_window() {
    // Every endpoint drops repeats, for two seconds: a repeat within them, none later.
    let mut set = settings();
    set.classes[2].key_window = 2 * S;
    let mut bench = Bench::new(set, fleet());
    let id = sent(&bench.request(2, 5))[0].id;
    bench.now += 100 * MS;
    assert_eq!(sent(&bench.outcome(id, 0, AttemptOutcome::TimedOut, false)).len(), 1);
    bench.now += 2 * S;
    let actions = bench.outcome(id, 1, AttemptOutcome::TimedOut, false);
    assert!(sent(&actions).is_empty());
    assert_eq!(
        final_responses(&actions),
        [(id, false)],
        "failed: nobody drops a client's repeat any more either"
    );
    // One cell drops repeats: a repeat only within the cell, and a failure instead of a refusal.
    let mut set = settings();
    set.can_bypass_caches = false;
    set.classes[2].key_scope = KeyScope::Cell;
    let mut bench = Bench::new(set, fleet());
    for object in 0..40 {
        let mut actions = bench.request(2, object);
        let first = sent(&actions)[0].clone();
        let mut attempts = 0;
        while let Some(attempt) = sent(&actions).first().cloned() {
            assert_eq!(attempt.to % 2, first.to % 2);
            actions = bench.outcome(attempt.id, attempts, AttemptOutcome::TimedOut, false);
            attempts += 1;
        }
        assert_eq!(final_responses(&actions), [(first.id, false)]);
    }
}

/// No second copies are sent, also where settings would allow them: they doubled fills on full links.
#[test]
fn one_attempt_at_a_time() {
    let mut bench = Bench::new(settings(), fleet());
    let actions = bench.request(0, 5);
    assert_eq!(sent(&actions).len(), 1);
    assert!(!actions.iter().any(|a| matches!(a, Action::SetTimer { .. })), "no hedge is planned");
}

// ---- drains are kept ----

#[test]
fn nothing_new_goes_to_a_draining_or_removed_endpoint() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut bench = Bench::new(settings(), fleet());
        bench.update_endpoint(Endpoint { state, ..endpoint(2, Tier::Cache) });
        bench.update_endpoint(Endpoint { state, ..endpoint(12, Tier::Parent) });
        for object in 0..300 {
            let path = bench.path(object);
            assert_ne!(path.to, 2);
            assert_ne!(path.source, Some(12));
        }
    }
}

#[test]
fn a_retry_does_not_go_to_an_endpoint_that_drains_meanwhile() {
    for object in 0..100 {
        let mut bench = Bench::new(settings(), fleet());
        let first = sent(&bench.request(0, object))[0].clone();
        for id in (1..=4).filter(|id| *id != first.to) {
            bench.update_endpoint(Endpoint { state: EndpointState::Draining, ..endpoint(id, Tier::Cache) });
        }
        bench.update_endpoint(Endpoint {
            state: EndpointState::Draining,
            ..endpoint(first.source.unwrap(), Tier::Parent)
        });
        for again in sent(&bench.outcome(first.id, 0, AttemptOutcome::Rejected, false)) {
            assert!(again.to >= 11 && again.to != first.source.unwrap(), "{again:?}");
            assert_ne!(again.source, first.source);
        }
    }
}

#[test]
fn an_endpoint_absent_from_a_full_list_is_removed() {
    let mut bench = Bench::new(settings(), fleet());
    let entries = fleet().into_iter().filter(|e| e.id != 3 && e.id != 13).collect();
    bench.event(Event::EndpointsChanged { full: true, entries });
    for object in 0..300 {
        let path = bench.path(object);
        assert!(path.to != 3 && path.source != Some(13));
    }
}

// ---- no cold cache or parent is pushed over ----

/// Sending time in seconds that an endpoint is asked for over two seconds, its fills guessed at half.
fn asked_of(bench: &mut Bench, id: EndpointId, per_second: u64) -> f64 {
    let (mut total, step) = (0.0, S / per_second);
    for object in 0..2 * per_second {
        let path = bench.path(10_000 + object);
        total += if path.to == id { 0.1 } else { 0.0 };
        total += if path.source == Some(id) { 0.1 } else { 0.0 };
        bench.now += step;
    }
    total
}

#[test]
fn a_warming_endpoint_remains_within_its_budget() {
    for (id, tier, floor, multiple, weight) in
        [(2, Tier::Cache, 0.2, 3.0, 6.0), (12, Tier::Parent, 0.08, 2.0, 20.0)]
    {
        let mut bench = Bench::new(settings(), fleet());
        let started_at = bench.now;
        bench.update_endpoint(Endpoint { started_at, ..endpoint(id, tier) });
        // Far more than the location could ever serve.
        let asked = asked_of(&mut bench, id, 2_000);
        let limit = multiple * (floor + (1.0 - floor) * 0.1) * weight * 2.0;
        assert!(asked <= limit, "{tier:?}: {asked} of {limit}");
        assert!(asked > 0.0, "{tier:?} must get its first requests");
    }
}

#[test]
fn a_restarted_endpoint_gets_its_share_back_gradually() {
    for (id, tier) in [(2, Tier::Cache), (12, Tier::Parent)] {
        let mut bench = Bench::new(settings(), fleet());
        let slice = |bench: &mut Bench| {
            let hit = |p: Sent| p.to == id || p.source == Some(id);
            (0..1_000).filter(|o| hit(bench.path(*o * 7_919))).count()
        };
        let warm = slice(&mut bench);
        bench.now += 60 * S;
        let started_at = bench.now;
        bench.update_endpoint(Endpoint { started_at, ..endpoint(id, tier) });
        let mut last = 0;
        for wait in [1, 4, 8, 12, 22] {
            bench.now = started_at + wait * S;
            let now = slice(&mut bench);
            assert!(now >= last, "{tier:?} after {wait} s: {now} after {last}");
            last = now;
            if wait == 1 {
                assert!(now * 2 < warm, "{tier:?}: {now} of {warm} at once");
            }
        }
        // Objects asked for again are widened, so the slice is not the very same.
        assert!(last.abs_diff(warm) * 5 < warm, "{tier:?} has its slice back: {last} of {warm}");
    }
}

// ---- purges are kept ----

#[test]
fn every_attempt_after_a_purge_limits_the_age() {
    let mut bench = Bench::new(settings(), fleet());
    bench.event(Event::Purged { object: Some(5), group: 5, age: 100 * MS });
    for wait in [0, 200 * MS, S, 3 * S, 6 * S] {
        bench.now = 100 * S + wait;
        let mut actions = bench.request(0, 5);
        let mut attempts = 0;
        while let Some(attempt) = sent(&actions).first().cloned() {
            assert!(attempt.max_age > 0 && attempt.max_age <= wait + 100 * MS, "{attempt:?} after {wait}");
            actions = bench.outcome(attempt.id, attempts, AttemptOutcome::Rejected, false);
            attempts += 1;
        }
        assert!(attempts > 0);
    }
    // Six seconds are over, within which caches drop what is older. One that has not answered since may have hung, and still
    // hold it when it wakes: the bound stays for it, until it has answered, and is forgotten in the end.
    bench.now = 100 * S + 8 * S;
    let silent = bench.path(5);
    assert!(silent.max_age > 0 && silent.max_age <= 8 * S + 100 * MS, "{silent:?}");
    assert_eq!(bench.path(5).max_age, 0, "it has answered: older copies are surely gone by now");
    assert_eq!(bench.path(6).max_age, 0, "another object is not bound");
}

#[test]
fn a_group_purge_applies_to_all_its_objects_and_a_later_purge_counts() {
    let mut bench = Bench::new(settings(), fleet());
    bench.event(Event::Purged { object: None, group: 5, age: 2 * S });
    bench.now += S;
    let age = bench.path(5 + 32).max_age;
    assert!(age > 0 && age <= 3 * S);
    bench.event(Event::Purged { object: Some(5 + 32), group: 5, age: 50 * MS });
    assert!(bench.path(5 + 32).max_age <= 50 * MS);
    assert_eq!(bench.path(6).max_age, 0);
    // An older purge, told late, does not widen the bound; the first one's end does not end the second's.
    bench.event(Event::Purged { object: Some(5 + 32), group: 5, age: 4 * S });
    assert!(bench.path(5 + 32).max_age <= 50 * MS);
    bench.now += 5 * S;
    bench.event(Event::Purged { object: Some(1), group: 1, age: 0 });
    let age = bench.path(5 + 32).max_age;
    assert!(age > 0 && age <= 5 * S + 50 * MS);
}

#[test]
fn a_purge_also_limits_a_class_with_a_fresh_lifetime() {
    let mut bench = Bench::new(settings(), fleet());
    bench.event(Event::Purged { object: Some(5), group: 5, age: 0 });
    bench.now += 2 * S;
    let actions = bench.request(1, 5);
    let first = sent(&actions)[0].clone();
    assert!(first.max_age <= 2 * S);
    for again in sent(&bench.outcome(first.id, 0, AttemptOutcome::TimedOut, false)) {
        assert!(again.max_age <= 2 * S, "a retry that takes aged copies is bound too");
    }
}
