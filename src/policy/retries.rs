//! Conditions of retries: the retry budget, and when and at which endpoints a request may be repeated.

use super::endpoints::TrackedEndpoint;
use super::outlier_detection::MAX_HALF_LIFE;
use super::pending_request::{EndedAttempt, PendingRequest};
use super::Router;
use crate::interface::*;

/// Number of retries that each new request adds to the retry budget.
const RETRIES_PER_REQUEST: f64 = 0.05;
/// Maximum retry budget. The budget also decays with [`MAX_HALF_LIFE`], so that a fleet cannot send many
/// saved retries at once to the same failing source.
const MAX_RETRY_BUDGET: f64 = 20.0;
/// Initial retry budget.
pub(super) const INITIAL_RETRY_BUDGET: f64 = 5.0;

impl Router {
    /// Adds to the retry budget for a new request.
    pub(super) fn credit_retry_budget(&mut self, now: Micros) {
        self.retry_budget.add_up_to(now, MAX_HALF_LIFE, RETRIES_PER_REQUEST, MAX_RETRY_BUDGET);
    }

    /// Subtracts the cost of an attempt from the retry budget.
    pub(super) fn charge_retry_budget(&mut self, now: Micros, cost: f64) {
        self.retry_budget.add(now, MAX_HALF_LIFE, -cost);
    }

    /// Whether the retry budget covers the cost of an attempt.
    pub(super) fn has_retry_budget(&self, now: Micros, cost: f64) -> bool {
        self.retry_budget.value(now, MAX_HALF_LIFE) >= cost
    }

    /// The cost of a retry after this attempt, by the work that the attempt may have caused: 0 if it failed
    /// in transport; for an error, its elapsed time as a fraction of the latency objective, up to 1; else 1.
    pub(super) fn retry_cost(&self, request: &PendingRequest, ended: &EndedAttempt) -> f64 {
        match ended.outcome {
            outcome if outcome.is_transport_failure() => 0.0,
            AttemptOutcome::Error => (ended.elapsed as f64 / self.latency_objective(request)).min(1.0),
            _ => 1.0,
        }
    }

    /// The time until which a request may be repeated; 0 for never.
    pub(super) fn repeatable_until(&self, request: &PendingRequest) -> Micros {
        let class = &request.class.settings;
        let Some(first) = request.first_that_may_have_run() else { return request.repeatable_until };
        let until = match class.idempotency {
            Idempotency::Idempotent => Micros::MAX,
            Idempotency::WithKey => first.sent_at + class.key_window,
            Idempotency::NotIdempotent => 0,
        };
        until.min(request.repeatable_until)
    }

    /// Whether a request may be sent to an endpoint. A request that may have run is repeated only where the
    /// repeat has no second effect.
    pub(super) fn may_repeat_at(&self, now: Micros, request: &PendingRequest, to: EndpointId) -> bool {
        if now >= self.repeatable_until(request) {
            return false;
        }
        let Some(first) = request.first_that_may_have_run() else { return true };
        let class = &request.class.settings;
        class.idempotency == Idempotency::Idempotent
            || self.shares_idempotency_keys(class.key_scope, first.path.to, to)
    }

    /// Whether two endpoints share idempotency keys, so that one drops a repeat of a request that the other
    /// ran.
    fn shares_idempotency_keys(&self, scope: KeyScope, first: EndpointId, second: EndpointId) -> bool {
        let same = |number: fn(&TrackedEndpoint) -> u32| {
            let numbers = self.endpoints.get(&first).map(number).zip(self.endpoints.get(&second).map(number));
            numbers.is_some_and(|(first, second)| first == second)
        };
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => first == second || same(|endpoint| endpoint.listed.zone),
            KeyScope::Cell => first == second || same(|endpoint| endpoint.listed.cell),
        }
    }
}
