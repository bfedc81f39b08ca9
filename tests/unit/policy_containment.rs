//! Tests with a request whose state is corrupt, so that every decision about it panics.

use super::*;
use crate::policy::classes::TrackedClass;
use crate::policy::latency::LatencyEstimate;
use std::cell::RefCell;
use std::rc::Rc;

fn settings() -> PolicySettings {
    let no_slow_start =
        SlowStart { initial_capacity: 1.0, ramp_duration: 0, overload_multiple: 1.0, overload_window: 0 };
    let class = RequestClass {
        latency_objective: 400_000,
        latency_stretch: 2.0,
        deadline: 2_500_000,
        idempotency: Idempotency::Idempotent,
        key_scope: KeyScope::All,
        key_window: 0,
        priority_weight: 1.0,
        fresh_lifetime: 0,
        stale_while_revalidate: 0,
        uncacheable: false,
    };
    PolicySettings {
        classes: vec![Rc::new(class)],
        fleet_size: 1,
        local_fleet_size: 1,
        client_kb_per_s: 5_000.0,
        weights_are_capacities: true,
        can_join_fills: true,
        can_bypass_caches: true,
        reports_cache_status: false,
        purge_completion: 6_000_000,
        max_attempts: 6,
        can_cancel: true,
        can_check_health: false,
        max_retry_after: 500_000,
        watch_endpoints: false,
        cache_slow_start: no_slow_start,
        parent_slow_start: no_slow_start,
    }
}

fn endpoint(id: EndpointId, tier: Tier) -> Endpoint {
    Endpoint { id, tier, state: EndpointState::Active, started_at: 0, weight: 5.0, zone: 0, cell: 0 }
}

/// A router with endpoints of all tiers and the open requests 1 and 2, each with one attempt.
fn router_with_two_requests() -> Router {
    let mut router = Router::new(settings(), 7);
    let entries = vec![
        endpoint(1, Tier::Cache),
        endpoint(2, Tier::Cache),
        endpoint(8, Tier::Parent),
        endpoint(9, Tier::Origin),
    ];
    router.handle(0, &Event::EndpointsChanged { full: true, entries }, &mut Vec::new());
    for id in [1, 2] {
        let mut actions = Vec::new();
        let request = Event::Request {
            id,
            class: router.settings.classes[0].clone(),
            object: id,
            group: 0,
            part: 0,
            size_kb: 100.0,
            deadline_at: 2_500_000,
            repeatable_until: Micros::MAX,
        };
        router.handle(1_000, &request, &mut actions);
        assert!(matches!(actions[..], [Action::Forward { .. }]), "{actions:?}");
    }
    router
}

fn attempt_failed(id: RequestId) -> Event {
    Event::AttemptEnded {
        id,
        attempt: 0,
        outcome: AttemptOutcome::NoConnection,
        cache_status: CacheStatus::Unknown,
        elapsed: 2_000,
        closed: false,
    }
}

/// Guards against a panic that leaves a request without its final response, or touches another one.
#[test]
fn a_decision_that_panics_fails_its_request_and_leaves_the_others() {
    let mut router = router_with_two_requests();
    router.corrupt_request(1);
    let mut actions = Vec::new();
    assert_eq!(router.handle_contained(3_000, &attempt_failed(1), &mut actions), Err(Panicked));
    assert_eq!(actions, [Action::Fail { id: 1, reason: EndReason::InternalError }]);
    actions.clear();
    assert_eq!(router.handle_contained(3_000, &attempt_failed(2), &mut actions), Ok(()));
    assert!(matches!(actions[..], [Action::Forward { id: 2, .. }]), "{actions:?}");
    assert_eq!(router.requests.len(), 1);
}

/// Guards against load that an endpoint keeps for ever because of a forgotten request.
#[test]
fn the_attempts_of_a_forgotten_request_are_cancelled_and_no_longer_counted() {
    let mut router = router_with_two_requests();
    let in_flight = |router: &Router| -> usize {
        router.endpoints.values().map(|endpoint| endpoint.in_flight as usize).sum()
    };
    assert_eq!(in_flight(&router), 2);
    let mut actions = Vec::new();
    router.forget(1, &mut actions);
    assert_eq!(actions, [Action::Cancel { id: 1, attempt: 0 }]);
    assert_eq!((in_flight(&router), router.requests.len()), (1, 1));
}

impl Router {
    /// Makes every decision about an open request panic: the latency estimate of its class, which becomes one
    /// of its own, stays borrowed.
    pub(crate) fn corrupt_request(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("the request is open");
        let latency = RefCell::new(LatencyEstimate::initial(&request.class.settings));
        std::mem::forget(latency.borrow_mut());
        request.class = Rc::new(TrackedClass { settings: request.class.settings.clone(), latency });
    }
}
