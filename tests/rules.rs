//! Guarantees of the router, as scripts of events: final responses, idempotency, draining, slow start and
//! purges.

mod common;

use common::*;
use edge_proxy::*;
use std::rc::Rc;

// ---- every request gets one final response ----

#[test]
fn every_kind_of_failure_ends_in_one_final_response() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Rejected,
        AttemptOutcome::NoConnection,
        AttemptOutcome::Error,
        AttemptOutcome::CacheMiss,
    ] {
        let mut harness = Harness::new(settings(), endpoints());
        let mut actions = harness.request(0, 5);
        let (mut attempts, mut responses) = (0, 0);
        while let Some(attempt) = sent_attempts(&actions).first().cloned() {
            harness.now += 50 * MS;
            actions = harness.end_attempt(attempt.id, attempts, outcome, false);
            attempts += 1;
            responses += final_responses(&actions).len();
        }
        assert_eq!(responses, 1, "{outcome:?}");
        assert!(attempts <= 6, "{outcome:?}: {attempts} attempts");
    }
}

#[test]
fn a_request_whose_attempt_times_out_at_the_deadline_is_rejected_at_once() {
    let mut harness = Harness::new(settings(), endpoints());
    let actions = harness.request(0, 5);
    let id = sent_attempts(&actions)[0].id;
    harness.now += 3 * S;
    let actions = harness.end_attempt(id, 0, AttemptOutcome::TimedOut, false);
    assert_eq!(final_responses(&actions), [(id, true)]);
    assert!(sent_attempts(&actions).is_empty());
}

#[test]
fn a_concluded_request_gets_no_attempt_and_no_response() {
    // The client disconnected: its attempt is cancelled, and the outcome of the attempt is ignored.
    let mut harness = Harness::new(settings(), endpoints());
    let actions = harness.request(0, 5);
    let id = sent_attempts(&actions)[0].id;
    assert_eq!(harness.handle(Event::ClientDisconnected { id }), [Action::Cancel { id, attempt: 0 }]);
    let actions = harness.end_attempt(id, 0, AttemptOutcome::Rejected, false);
    assert!(sent_attempts(&actions).is_empty() && final_responses(&actions).is_empty());
    // The request was served: a second outcome and an unknown timer are ignored.
    let actions = harness.request(0, 6);
    let id = sent_attempts(&actions)[0].id;
    assert!(harness.end_attempt(id, 0, AttemptOutcome::Served, true).is_empty());
    assert!(harness.end_attempt(id, 0, AttemptOutcome::TimedOut, false).is_empty());
    assert!(harness.handle(Event::Timer { token: 1 }).is_empty());
}

#[test]
fn without_endpoints_a_request_is_rejected_at_once() {
    let mut harness = Harness::new(settings(), Vec::new());
    let actions = harness.request(0, 5);
    assert_eq!(final_responses(&actions).len(), 1);
}

// ---- no request that is not idempotent runs twice ----

#[test]
fn a_request_that_is_not_idempotent_and_may_have_run_fails_and_is_never_repeated() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Error,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(), endpoints());
        let id = sent_attempts(&harness.request(3, 5))[0].id;
        let actions = harness.end_attempt(id, 0, outcome, false);
        assert!(sent_attempts(&actions).is_empty(), "{outcome:?}");
        assert_eq!(final_responses(&actions), [(id, false)], "{outcome:?}");
    }
}

#[test]
fn a_request_that_is_not_idempotent_and_never_ran_is_retried() {
    let mut harness = Harness::new(settings(), endpoints());
    let id = sent_attempts(&harness.request(3, 5))[0].id;
    assert_eq!(sent_attempts(&harness.end_attempt(id, 0, AttemptOutcome::NoConnection, false)).len(), 1);
}

/// Guards against a request that runs twice because a change of the settings gave it the class of others.
#[test]
fn a_request_keeps_its_class_over_a_change_of_the_settings() {
    let mut harness = Harness::new(settings(), endpoints());
    let [idempotent, not_idempotent] = [0, 3].map(|class| sent_attempts(&harness.request(class, 5))[0].id);
    // All classes change their places, and one of them is no longer listed.
    let classes = harness.classes.iter().rev().take(3).cloned().collect();
    harness.router.reconfigure(PolicySettings { classes, ..settings() });
    let repeated = sent_attempts(&harness.end_attempt(idempotent, 0, AttemptOutcome::TimedOut, false));
    assert_eq!(repeated.len(), 1, "it may be repeated");
    let actions = harness.end_attempt(not_idempotent, 0, AttemptOutcome::TimedOut, false);
    assert!(sent_attempts(&actions).is_empty());
    assert_eq!(final_responses(&actions), [(not_idempotent, false)], "it may have run");
}

#[test]
fn a_request_with_an_idempotency_key_is_repeated_only_in_the_key_scope_and_window() {
    // All endpoints drop repeats for two seconds: the request is repeated within that time and not later.
    let mut policy = settings();
    Rc::make_mut(&mut policy.classes[2]).key_window = 2 * S;
    let mut harness = Harness::new(policy, endpoints());
    let id = sent_attempts(&harness.request(2, 5))[0].id;
    harness.now += 100 * MS;
    assert_eq!(sent_attempts(&harness.end_attempt(id, 0, AttemptOutcome::TimedOut, false)).len(), 1);
    harness.now += 2 * S;
    let actions = harness.end_attempt(id, 1, AttemptOutcome::TimedOut, false);
    assert!(sent_attempts(&actions).is_empty());
    assert_eq!(
        final_responses(&actions),
        [(id, false)],
        "after the key window, the request must fail: the endpoints would run a client's retry again"
    );
    // Only the cell drops repeats: the request is repeated within the cell, and fails instead of being
    // rejected.
    let mut policy = settings();
    policy.can_bypass_caches = false;
    Rc::make_mut(&mut policy.classes[2]).key_scope = KeyScope::Cell;
    let mut harness = Harness::new(policy, endpoints());
    for object in 0..40 {
        let mut actions = harness.request(2, object);
        let first = sent_attempts(&actions)[0].clone();
        let mut attempts = 0;
        while let Some(attempt) = sent_attempts(&actions).first().cloned() {
            assert_eq!(attempt.to % 2, first.to % 2);
            actions = harness.end_attempt(attempt.id, attempts, AttemptOutcome::TimedOut, false);
            attempts += 1;
        }
        assert_eq!(final_responses(&actions), [(first.id, false)]);
    }
}

/// Hedged attempts would double the fills over congested links.
#[test]
fn a_request_has_one_attempt_in_flight() {
    let mut harness = Harness::new(settings(), endpoints());
    let actions = harness.request(0, 5);
    assert_eq!(sent_attempts(&actions).len(), 1);
    assert!(!actions.iter().any(|a| matches!(a, Action::SetTimer { .. })), "no hedged attempt is scheduled");
}

// ---- draining and removed endpoints get no attempts ----

#[test]
fn draining_and_removed_endpoints_get_no_attempts_or_fills() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(), endpoints());
        harness.update_endpoint(Endpoint { state, ..endpoint(2, Tier::Cache) });
        harness.update_endpoint(Endpoint { state, ..endpoint(12, Tier::Parent) });
        for object in 0..300 {
            let path = harness.serve_request(object);
            assert_ne!(path.to, 2);
            assert_ne!(path.source, Some(12));
        }
    }
}

#[test]
fn a_retry_does_not_go_to_an_endpoint_that_started_draining() {
    for object in 0..100 {
        let mut harness = Harness::new(settings(), endpoints());
        let first = sent_attempts(&harness.request(0, object))[0].clone();
        for id in (1..=4).filter(|id| *id != first.to) {
            harness.update_endpoint(Endpoint { state: EndpointState::Draining, ..endpoint(id, Tier::Cache) });
        }
        harness.update_endpoint(Endpoint {
            state: EndpointState::Draining,
            ..endpoint(first.source.unwrap(), Tier::Parent)
        });
        for retry in sent_attempts(&harness.end_attempt(first.id, 0, AttemptOutcome::Rejected, false)) {
            assert!(retry.to >= 11 && retry.to != first.source.unwrap(), "{retry:?}");
            assert_ne!(retry.source, first.source);
        }
    }
}

#[test]
fn an_endpoint_absent_from_a_full_list_is_removed() {
    let mut harness = Harness::new(settings(), endpoints());
    let entries = endpoints().into_iter().filter(|e| e.id != 3 && e.id != 13).collect();
    harness.handle(Event::EndpointsChanged { full: true, entries });
    for object in 0..300 {
        let path = harness.serve_request(object);
        assert!(path.to != 3 && path.source != Some(13));
    }
}

// ---- slow start limits the load of restarted endpoints ----

/// Transfer time, in seconds, of the requests and fills that an endpoint gets within two seconds.
fn send_and_sum_transfer_time(harness: &mut Harness, id: EndpointId, per_second: u64) -> f64 {
    let (mut total, step) = (0.0, S / per_second);
    for object in 0..2 * per_second {
        let path = harness.serve_request(10_000 + object);
        total += if path.to == id { 0.1 } else { 0.0 };
        total += if path.source == Some(id) { 0.1 } else { 0.0 };
        harness.now += step;
    }
    total
}

#[test]
fn a_warming_endpoint_remains_within_its_budget() {
    for (id, tier, initial_capacity, overload_multiple, weight) in
        [(2, Tier::Cache, 0.2, 3.0, 6.0), (12, Tier::Parent, 0.08, 2.0, 20.0)]
    {
        let mut harness = Harness::new(settings(), endpoints());
        let started_at = harness.now;
        harness.update_endpoint(Endpoint { started_at, ..endpoint(id, tier) });
        // Far more requests than the location could serve.
        let assigned = send_and_sum_transfer_time(&mut harness, id, 2_000);
        let limit = overload_multiple * (initial_capacity + (1.0 - initial_capacity) * 0.1) * weight * 2.0;
        assert!(assigned <= limit, "{tier:?}: {assigned} of {limit}");
        assert!(assigned > 0.0, "{tier:?} gets some requests");
    }
}

#[test]
fn the_share_of_a_restarted_endpoint_grows_during_slow_start() {
    for (id, tier) in [(2, Tier::Cache), (12, Tier::Parent)] {
        let mut harness = Harness::new(settings(), endpoints());
        let share = |harness: &mut Harness| {
            let involves_endpoint = |p: SentAttempt| p.to == id || p.source == Some(id);
            (0..1_000).filter(|o| involves_endpoint(harness.serve_request(*o * 7_919))).count()
        };
        let warm = share(&mut harness);
        harness.now += 60 * S;
        let started_at = harness.now;
        harness.update_endpoint(Endpoint { started_at, ..endpoint(id, tier) });
        let mut last = 0;
        for wait in [1, 4, 8, 12, 22] {
            harness.now = started_at + wait * S;
            let now = share(&mut harness);
            assert!(now >= last, "{tier:?} after {wait} s: {now} after {last}");
            last = now;
            if wait == 1 {
                assert!(
                    now * 2 < warm,
                    "{tier:?}: {now} requests one second after the restart, {warm} before it"
                );
            }
        }
        // Objects requested repeatedly are spread over more caches, so the share is not exactly the same.
        assert!(
            last.abs_diff(warm) * 5 < warm,
            "{tier:?}: {last} requests after slow start, {warm} before the restart"
        );
    }
}

// ---- purged copies are not served ----

#[test]
fn a_purge_limits_the_maximum_age_of_every_attempt() {
    let mut harness = Harness::new(settings(), endpoints());
    harness.handle(Event::Purged { object: Some(5), group: 5, age: 100 * MS });
    for wait in [0, 200 * MS, S, 3 * S, 6 * S] {
        harness.now = 100 * S + wait;
        let mut actions = harness.request(0, 5);
        let mut attempts = 0;
        while let Some(attempt) = sent_attempts(&actions).first().cloned() {
            assert!(attempt.max_age > 0 && attempt.max_age <= wait + 100 * MS, "{attempt:?} after {wait}");
            actions = harness.end_attempt(attempt.id, attempts, AttemptOutcome::Rejected, false);
            attempts += 1;
        }
        assert!(attempts > 0);
    }
    // The purge is complete after six seconds, but a cache that has not responded since may have been paused
    // and still have the purged copy: the maximum age applies to it until it has responded.
    harness.now = 100 * S + 8 * S;
    let before_response = harness.serve_request(5);
    assert!(
        before_response.max_age > 0 && before_response.max_age <= 8 * S + 100 * MS,
        "{before_response:?}"
    );
    assert_eq!(harness.serve_request(5).max_age, 0, "the cache has responded after the purge's completion");
    assert_eq!(harness.serve_request(6).max_age, 0, "the purge does not apply to another object");
}

#[test]
fn a_group_purge_applies_to_all_objects_of_the_group_and_the_latest_purge_applies() {
    let mut harness = Harness::new(settings(), endpoints());
    harness.handle(Event::Purged { object: None, group: 5, age: 2 * S });
    harness.now += S;
    let age = harness.serve_request(5 + 32).max_age;
    assert!(age > 0 && age <= 3 * S, "{age} us");
    harness.handle(Event::Purged { object: Some(5 + 32), group: 5, age: 50 * MS });
    let age = harness.serve_request(5 + 32).max_age;
    assert!(age <= 50 * MS, "{age} us");
    assert_eq!(harness.serve_request(6).max_age, 0);
    // An older purge that arrives late does not raise the limit, and the end of the first purge does not end
    // the second one.
    harness.handle(Event::Purged { object: Some(5 + 32), group: 5, age: 4 * S });
    let age = harness.serve_request(5 + 32).max_age;
    assert!(age <= 50 * MS, "{age} us");
    harness.now += 5 * S;
    harness.handle(Event::Purged { object: Some(1), group: 1, age: 0 });
    let age = harness.serve_request(5 + 32).max_age;
    assert!(age > 0 && age <= 5 * S + 50 * MS, "{age} us");
}

#[test]
fn a_purge_also_limits_a_class_with_a_fresh_lifetime() {
    let mut harness = Harness::new(settings(), endpoints());
    harness.handle(Event::Purged { object: Some(5), group: 5, age: 0 });
    harness.now += 2 * S;
    let actions = harness.request(1, 5);
    let first = sent_attempts(&actions)[0].clone();
    assert!(first.max_age <= 2 * S, "{first:?}");
    for retry in sent_attempts(&harness.end_attempt(first.id, 0, AttemptOutcome::TimedOut, false)) {
        assert!(retry.max_age <= 2 * S, "the purge also limits a retry that accepts stale copies");
    }
}
