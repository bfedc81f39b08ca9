//! What the policy tests share: settings, a small fleet and a driver of event scripts.
#![allow(dead_code)]

use edge_proxy::*;

/// A second.
pub const S: Micros = 1_000_000;
/// A millisecond.
pub const MS: Micros = 1_000;

/// A number in (0, 1) of a seed's sequence, the same in every run.
pub fn draw(random: &mut u64) -> f64 {
    *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    ((*random >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// A class that may be repeated, without a fresh time.
pub fn safe() -> RequestClass {
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

/// Settings with everything allowed: class 0 safe, 1 safe with a fresh time, 2 keyed, 3 unsafe.
pub fn settings() -> PolicySettings {
    let fresh = RequestClass {
        fresh_lifetime: 5 * S,
        stale_while_revalidate: 20 * S,
        priority_weight: 1.0,
        ..safe()
    };
    let keyed =
        RequestClass { idempotency: Idempotency::WithKey, uncacheable: true, deadline: 3 * S, ..safe() };
    let unsafe_ = RequestClass { idempotency: Idempotency::NotIdempotent, ..keyed.clone() };
    let cold = SlowStart {
        initial_capacity: 0.2,
        ramp_duration: 15 * S,
        overload_multiple: 3.0,
        overload_window: 2 * S,
    };
    PolicySettings {
        classes: vec![safe(), fresh, keyed, unsafe_],
        fleet_size: 1,
        local_fleet_size: 1,
        client_kb_per_s: 5_000.0,
        weights_known: true,
        can_join_fills: true,
        can_bypass_caches: true,
        reports_cache_status: true,
        purge_completion: 6 * S,
        max_attempts: 6,
        can_cancel: true,
        can_check_health: true,
        max_retry_after: 500 * MS,
        watch_endpoints: false,
        cache_slow_start: cold,
        parent_slow_start: SlowStart {
            initial_capacity: 0.08,
            ramp_duration: 20 * S,
            overload_multiple: 2.0,
            overload_window: 2 * S,
        },
    }
}

/// A live endpoint that started long ago.
pub fn endpoint(id: EndpointId, tier: Tier) -> Endpoint {
    let weight = if tier == Tier::Parent { 20.0 } else { 6.0 };
    Endpoint { id, tier, state: EndpointState::Active, started_at: 0, weight, zone: 0, cell: id % 2 }
}

/// Caches 1 to 4, parents 11 to 13, origin 21.
pub fn fleet() -> Vec<Endpoint> {
    let caches = (1..=4).map(|id| endpoint(id, Tier::Cache));
    let parents = (11..=13).map(|id| endpoint(id, Tier::Parent));
    caches.chain(parents).chain([endpoint(21, Tier::Origin)]).collect()
}

/// A router with a clock and the actions of its last event.
pub struct Bench {
    pub router: Router,
    pub now: Micros,
    next: RequestId,
}

/// An attempt as the tests look at it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub id: RequestId,
    pub to: EndpointId,
    pub source: Option<EndpointId>,
    pub only_if_cached: bool,
    pub max_age: Micros,
    pub timeout: Micros,
}

/// The attempts among actions.
pub fn sent(actions: &[Action]) -> Vec<Sent> {
    let pick = |a: &Action| match a {
        Action::Forward { id, to, source, only_if_cached, max_age, timeout, .. } => Some(Sent {
            id: *id,
            to: *to,
            source: *source,
            only_if_cached: *only_if_cached,
            max_age: *max_age,
            timeout: *timeout,
        }),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// The final answers among actions: the request and whether it was refused.
pub fn final_responses(actions: &[Action]) -> Vec<(RequestId, bool)> {
    let pick = |a: &Action| match a {
        Action::Reject { id, .. } => Some((*id, true)),
        Action::Fail { id } => Some((*id, false)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

impl Bench {
    /// A router that has been told of a fleet.
    pub fn new(settings: PolicySettings, entries: Vec<Endpoint>) -> Self {
        let mut bench = Self { router: Router::new(settings, 7), now: 100 * S, next: 0 };
        bench.event(Event::EndpointsChanged { full: true, entries });
        bench
    }

    /// One event at the present time.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, &event, &mut actions);
        actions
    }

    /// A request of a class for an object; its deadline is three seconds away.
    pub fn request(&mut self, class: usize, object: ObjectId) -> Vec<Action> {
        self.next += 1;
        self.event(Event::Request {
            id: self.next,
            class,
            object,
            group: (object % 32) as u32,
            part: 0,
            size_kb: 500.0,
            deadline_at: self.now + 3 * S,
        })
    }

    /// The first attempt for an object, answered at once so that nothing stays out.
    pub fn path(&mut self, object: ObjectId) -> Sent {
        let actions = self.request(0, object);
        let first = sent(&actions).first().cloned().expect("an attempt");
        self.outcome(first.id, 0, AttemptOutcome::Served, true);
        first
    }

    /// An outcome, 100 ms after its attempt.
    pub fn outcome(
        &mut self,
        id: RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        closed: bool,
    ) -> Vec<Action> {
        let cache_status =
            if outcome == AttemptOutcome::Served { CacheStatus::Filled } else { CacheStatus::Unknown };
        self.event(Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed: 100 * MS, closed })
    }

    /// News of one endpoint.
    pub fn update_endpoint(&mut self, listing: Endpoint) -> Vec<Action> {
        self.event(Event::EndpointsChanged { full: false, entries: vec![listing] })
    }
}
