//! The load of a cache as a multiple of its capacity, and the estimate of that capacity.

use super::endpoints::TrackedEndpoint;
use super::Router;
use crate::interface::*;

/// Increase of a fully loaded cache's estimated capacity over as many timely responses as its capacity
/// (additive increase, as in TCP congestion avoidance, RFC 5681).
const CAPACITY_INCREASE: f64 = 1.0;
/// Multiplicative decrease of the capacity after a late response.
const CAPACITY_DECREASE: f64 = 0.9;
/// Maximum estimated capacity as a multiple of the listed one.
const MAX_CAPACITY_MULTIPLE: f64 = 16.0;
/// Minimum time between two reductions of a cache's capacity, in microseconds: late responses with a common
/// cause arrive together.
const MIN_REDUCTION_GAP: Micros = 500_000;
/// Load below which a late response does not reduce the cache's capacity.
const MIN_REDUCTION_LOAD: f64 = 0.5;
/// Pseudo-count, in transfers, with which a cache's own transfers are shrunk towards the location's mean, so
/// that a few concurrent ones do not cause spill-over.
const SHRINKAGE_PSEUDO_COUNT: f64 = 1.5;

impl Router {
    /// The transfers of a cache divided by its capacity, estimated from this router's own attempts. One
    /// router of many sees only a small sample, so the estimate is shrunk towards the location's mean and
    /// reduced by about one standard deviation (Poisson) of the unobserved transfers.
    pub(super) fn load(&self, now: Micros, id: EndpointId) -> f64 {
        let Some(endpoint) = self.endpoints.get(&id) else { return f64::MAX };
        let routers = f64::from(self.settings.local_fleet_size.max(1));
        let quota =
            |endpoint: &TrackedEndpoint| endpoint.capacity * self.warm_fraction(now, endpoint) / routers;
        let caches = || self.endpoints.values().filter(|endpoint| endpoint.is_active_cache());
        let in_flight: f64 = caches().map(|cache| f64::from(cache.in_flight)).sum();
        let mean = (in_flight * quota(endpoint) / caches().map(quota).sum::<f64>()).max(0.0);
        let certainty = 1.0 - (1.0 - 1.0 / routers) / (in_flight + 1.0).sqrt();
        let own = f64::from(endpoint.in_flight);
        certainty * mean * (SHRINKAGE_PSEUDO_COUNT + own) / (SHRINKAGE_PSEUDO_COUNT + mean) / quota(endpoint)
    }

    /// Adjusts the estimated capacity of a cache after a response if the list contains no capacities:
    /// increases it while responses at full load are timely, and reduces it when they are late.
    pub(super) fn update_capacity(&mut self, now: Micros, id: EndpointId, late: bool) {
        if self.settings.weights_are_capacities {
            return;
        }
        let load = self.load(now, id);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let may_reduce = now >= endpoint.capacity_reduced_at + MIN_REDUCTION_GAP;
        let capacity = if late && load >= MIN_REDUCTION_LOAD && may_reduce {
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
