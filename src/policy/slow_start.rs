//! Slow start: the fraction of its capacity that an endpoint has while it warms up, and the per-router budget
//! that keeps the load from all routers together below its overload threshold.

use super::endpoints::TrackedEndpoint;
use super::Router;
use crate::interface::*;

/// Fraction of a warming endpoint's overload threshold that all routers together may use.
const BUDGET_FRACTION: f64 = 0.5;
/// Fraction of the budget of one overload window that may be used in a burst.
const BURST_FRACTION: f64 = 0.25;
/// Minimum burst as a multiple of the transfer time to be assigned, so that one request always fits an unused
/// budget.
const MIN_BURST_FACTOR: f64 = 1.01;

/// One router's budget for a warming endpoint.
struct WarmUpBudget {
    /// Transfer time that may be assigned per unit of time.
    rate: f64,
    /// Duration of an overload that makes the endpoint fail, in microseconds.
    window: Micros,
}

impl Router {
    /// The fraction of its capacity that an endpoint has reached since its start.
    pub(super) fn warm_fraction(&self, now: Micros, endpoint: &TrackedEndpoint) -> f64 {
        let started_at = endpoint.listed.started_at.max(endpoint.health.restarted_at);
        if started_at == 0 || endpoint.listed.tier == Tier::Origin {
            return 1.0;
        }
        self.settings.slow_start(endpoint.listed.tier).capacity(now.saturating_sub(started_at))
    }

    /// The load charged initially to a new process's budget: a random fraction of the longest mean transfer
    /// time of any class, so that the routers do not all send their first request at the same time, which
    /// together would exceed the sum of their budgets.
    pub(super) fn initial_warm_up_load(&mut self) -> f64 {
        let longest =
            self.classes.listed().map(|class| class.latency.borrow().transfer_time).fold(0.0, f64::max);
        // 3 is the purpose of these draws, which makes them independent of those of `retry_after`.
        longest * self.random.next(3)
    }

    /// Whether an endpoint has its full capacity, or its warm-up budget has room for another `transfer_time`
    /// microseconds.
    pub(super) fn has_warm_up_budget(&self, now: Micros, id: EndpointId, transfer_time: f64) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let warm_fraction = self.warm_fraction(now, endpoint);
        if warm_fraction >= 1.0 {
            return true;
        }
        let budget = self.warm_up_budget(endpoint, warm_fraction);
        let burst =
            (budget.window as f64 * budget.rate * BURST_FRACTION).max(transfer_time * MIN_BURST_FACTOR);
        endpoint.warm_up_load.level(now, budget.rate) + transfer_time <= burst
    }

    fn warm_up_budget(&self, endpoint: &TrackedEndpoint, warm_fraction: f64) -> WarmUpBudget {
        let tier = endpoint.listed.tier;
        let slow_start = self.settings.slow_start(tier);
        let routers = match tier {
            Tier::Parent => self.settings.fleet_size,
            _ => self.settings.local_fleet_size,
        };
        let fleet_rate =
            slow_start.overload_multiple * BUDGET_FRACTION * warm_fraction * endpoint.listed.weight;
        WarmUpBudget { rate: fleet_rate / f64::from(routers.max(1)), window: slow_start.overload_window }
    }

    /// Charges an endpoint's budget with `transfer_time` microseconds.
    pub(super) fn charge_warm_up_budget(&mut self, now: Micros, id: EndpointId, transfer_time: f64) {
        let Some(endpoint) = self.endpoints.get(&id) else { return };
        let rate = self.warm_up_budget(endpoint, self.warm_fraction(now, endpoint)).rate;
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.warm_up_load.add(now, rate, transfer_time);
        }
    }
}
