//! Shared helpers of the policy tests: settings, a small fleet and a driver for scripts of events.
#![allow(dead_code)]

use edge_proxy::*;
use std::rc::Rc;

/// One second.
pub const S: Micros = 1_000_000;
/// One millisecond.
pub const MS: Micros = 1_000;

/// The next number in (0, 1) of a reproducible pseudorandom sequence.
pub fn draw(random: &mut u64) -> f64 {
    *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    ((*random >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// A class of idempotent requests without a fresh lifetime.
pub fn idempotent() -> RequestClass {
    RequestClass {
        latency_objective: 500 * MS,
        latency_stretch: 2.0,
        deadline: 5 * S,
        idempotency: Idempotency::Idempotent,
        key_scope: KeyScope::All,
        key_window: 5 * S,
        priority_weight: 2.0,
        fresh_lifetime: 0,
        stale_while_revalidate: 0,
        uncacheable: false,
    }
}

/// Settings with all permissions. Class 0 is idempotent; 1 is idempotent with a fresh lifetime; 2 (with
/// idempotency keys) and 3 (not idempotent) are uncacheable, so their requests are writes.
pub fn settings() -> PolicySettings {
    let fresh = RequestClass {
        fresh_lifetime: 5 * S,
        stale_while_revalidate: 20 * S,
        priority_weight: 1.0,
        ..idempotent()
    };
    let keyed = RequestClass {
        idempotency: Idempotency::WithKey,
        uncacheable: true,
        deadline: 3 * S,
        ..idempotent()
    };
    let not_idempotent = RequestClass { idempotency: Idempotency::NotIdempotent, ..keyed.clone() };
    let slow_start = SlowStart {
        initial_capacity: 0.2,
        ramp_duration: 15 * S,
        overload_multiple: 3.0,
        overload_window: 2 * S,
    };
    PolicySettings {
        classes: [idempotent(), fresh, keyed, not_idempotent].map(Rc::new).to_vec(),
        fleet_size: 1,
        local_fleet_size: 1,
        client_kb_per_s: 5_000.0,
        weights_are_capacities: true,
        can_join_fills: true,
        can_bypass_caches: true,
        reports_cache_status: true,
        purge_completion: 6 * S,
        max_attempts: 6,
        can_cancel: true,
        can_check_health: true,
        max_retry_after: 500 * MS,
        watch_endpoints: false,
        cache_slow_start: slow_start,
        parent_slow_start: SlowStart {
            initial_capacity: 0.08,
            ramp_duration: 20 * S,
            overload_multiple: 2.0,
            overload_window: 2 * S,
        },
    }
}

/// An active endpoint that started long ago.
pub fn endpoint(id: EndpointId, tier: Tier) -> Endpoint {
    let weight = if tier == Tier::Parent { 20.0 } else { 6.0 };
    Endpoint { id, tier, state: EndpointState::Active, started_at: 0, weight, zone: 0, cell: id % 2 }
}

/// Caches 1 to 4, parents 11 to 13 and origin 21.
pub fn endpoints() -> Vec<Endpoint> {
    let caches = (1..=4).map(|id| endpoint(id, Tier::Cache));
    let parents = (11..=13).map(|id| endpoint(id, Tier::Parent));
    caches.chain(parents).chain([endpoint(21, Tier::Origin)]).collect()
}

/// A router with a test clock.
pub struct Harness {
    pub router: Router,
    /// The classes of its settings.
    pub classes: Vec<Rc<RequestClass>>,
    pub now: Micros,
    last_id: RequestId,
}

/// The fields of [`Action::Forward`] that tests check.
#[derive(Clone, Debug, PartialEq)]
pub struct SentAttempt {
    pub id: RequestId,
    pub to: EndpointId,
    pub source: Option<EndpointId>,
    pub only_if_cached: bool,
    pub max_age: Micros,
    pub timeout: Micros,
}

/// The attempts among actions.
pub fn sent_attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let sent = |a: &Action| match a {
        Action::Forward { id, to, source, only_if_cached, max_age, timeout, .. } => Some(SentAttempt {
            id: *id,
            to: *to,
            source: *source,
            only_if_cached: *only_if_cached,
            max_age: *max_age,
            timeout: *timeout,
        }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// The final responses among actions: the request and whether it was rejected.
pub fn final_responses(actions: &[Action]) -> Vec<(RequestId, bool)> {
    let response = |a: &Action| match a {
        Action::Reject { id, .. } => Some((*id, true)),
        Action::Fail { id, .. } => Some((*id, false)),
        _ => None,
    };
    actions.iter().filter_map(response).collect()
}

impl Harness {
    /// Creates a router with a list of endpoints.
    pub fn new(settings: PolicySettings, entries: Vec<Endpoint>) -> Self {
        let classes = settings.classes.clone();
        let mut harness = Self { router: Router::new(settings, 7), classes, now: 100 * S, last_id: 0 };
        harness.handle(Event::EndpointsChanged { full: true, entries });
        harness
    }

    /// Handles an event at the current time.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        actions
    }

    /// Handles a new request, of the class at this place of the settings, with a deadline in three seconds.
    pub fn request(&mut self, class: usize, object: ObjectId) -> Vec<Action> {
        self.last_id += 1;
        self.handle(Event::Request {
            id: self.last_id,
            class: self.classes[class].clone(),
            object,
            group: (object % 32) as u32,
            part: 0,
            size_kb: 500.0,
            deadline_at: self.now + 3 * S,
            repeatable_until: Micros::MAX,
        })
    }

    /// Sends a request of class 0 and returns its first attempt, which is served at once.
    pub fn serve_request(&mut self, object: ObjectId) -> SentAttempt {
        let actions = self.request(0, object);
        let first = sent_attempts(&actions).first().cloned().expect("the router sends no attempt");
        self.end_attempt(first.id, 0, AttemptOutcome::Served, true);
        first
    }

    /// Ends an attempt, with an elapsed time of 100 ms.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        closed: bool,
    ) -> Vec<Action> {
        let cache_status =
            if outcome == AttemptOutcome::Served { CacheStatus::Filled } else { CacheStatus::Unknown };
        self.handle(Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed: 100 * MS, closed })
    }

    /// Handles a change of one endpoint.
    pub fn update_endpoint(&mut self, entry: Endpoint) -> Vec<Action> {
        self.handle(Event::EndpointsChanged { full: false, entries: vec![entry] })
    }
}
