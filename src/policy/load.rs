//! The load of a cache, in concurrent transfers relative to its capacity, and the capacity learned from
//! responses.

use super::endpoints::KnownEndpoint;
use super::Router;
use crate::interface::*;

/// Concurrent transfers that a full cache gains in capacity for each capacity's worth of timely responses:
/// additive, as in TCP's congestion avoidance.
const CAPACITY_INCREASE: f64 = 1.0;
/// Part of its capacity that a cache retains after a late response.
const CAPACITY_DECREASE: f64 = 0.9;
/// Greatest learned capacity, in multiples of the listed one.
const MAX_CAPACITY_MULTIPLE: f64 = 16.0;
/// Least time between two reductions of a cache's capacity, in microseconds: late responses of one cause come
/// together.
const MIN_REDUCTION_GAP: Micros = 500_000;
/// Load below which a late response says nothing of the cache's own capacity.
const MIN_REDUCTION_LOAD: f64 = 0.5;
/// Transfers as which the location's mean counts in a cache's load, so that a few at once do not cause
/// spill-over.
const MEAN_WEIGHT: f64 = 1.5;

impl Router {
    /// Transfers of a cache over its capacity, estimated from this router's own attempts. A router among many
    /// sees few of them, so they are drawn to the location's mean, less a standard deviation (Poisson) of
    /// what this router does not see.
    pub(super) fn load(&self, now: Micros, id: EndpointId) -> f64 {
        let Some(endpoint) = self.endpoints.get(&id) else { return f64::MAX };
        let routers = f64::from(self.settings.local_fleet_size.max(1));
        let quota =
            |endpoint: &KnownEndpoint| endpoint.capacity * self.warm_fraction(now, endpoint) / routers;
        let caches = || self.endpoints.values().filter(|endpoint| endpoint.is_active_cache());
        let in_flight: f64 = caches().map(|cache| f64::from(cache.in_flight)).sum();
        let mean = (in_flight * quota(endpoint) / caches().map(quota).sum::<f64>()).max(0.0);
        let certainty = 1.0 - (1.0 - 1.0 / routers) / (in_flight + 1.0).sqrt();
        let own = f64::from(endpoint.in_flight);
        certainty * mean * (MEAN_WEIGHT + own) / (MEAN_WEIGHT + mean) / quota(endpoint)
    }

    /// Adjusts a cache's learned capacity after a response, where the list does not tell capacities: up while
    /// responses at full load are timely, down when they are late.
    pub(super) fn learn_capacity(&mut self, now: Micros, id: EndpointId, late: bool) {
        if self.settings.weights_known {
            return;
        }
        let load = self.load(now, id);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let gap_over = now >= endpoint.capacity_reduced_at + MIN_REDUCTION_GAP;
        let capacity = if late && load >= MIN_REDUCTION_LOAD && gap_over {
            endpoint.capacity_reduced_at = now;
            endpoint.capacity * CAPACITY_DECREASE
        } else if load >= 1.0 && !late {
            endpoint.capacity + CAPACITY_INCREASE / endpoint.capacity
        } else {
            endpoint.capacity
        };
        let listed = endpoint.listed.weight;
        endpoint.capacity = capacity.clamp(listed, MAX_CAPACITY_MULTIPLE * listed);
    }
}
