//! The endpoints that may get attempts: their listed properties and this router's observations.

use super::outlier_detection::Health;
use super::{Actions, Router};
use crate::interface::*;
use crate::stats::LeakyBucket;
use std::collections::BTreeSet;

/// Capacity, in concurrent transfers, of an endpoint for which the list contains none: that of a
/// small machine.
const DEFAULT_CAPACITY: f64 = 4.0;

/// A listed endpoint with this router's observations since its process started.
pub(super) struct TrackedEndpoint {
    pub(super) listed: Endpoint,
    pub(super) health: Health,
    /// Estimated capacity in concurrent transfers.
    pub(super) capacity: f64,
    /// When `capacity` was last reduced.
    pub(super) capacity_reduced_at: Micros,
    /// This router's attempts in flight to it.
    pub(super) in_flight: u32,
    /// Transfer time charged to its slow-start budget, in microseconds; drains at the budget's rate.
    pub(super) warm_up_load: LeakyBucket,
}

impl TrackedEndpoint {
    /// Whether it is listed as active and not down by its health checks.
    pub(super) fn is_usable(&self) -> bool {
        self.listed.state == EndpointState::Active && !self.health.down
    }

    /// Whether it is listed as an active cache of this router's location.
    pub(super) fn is_active_cache(&self) -> bool {
        self.listed.tier == Tier::Cache && self.listed.state == EndpointState::Active
    }
}

impl Router {
    /// Applies a full list of endpoints or changes to it.
    pub(super) fn on_endpoints_changed(
        &mut self,
        now: Micros,
        full: bool,
        entries: &[Endpoint],
        actions: &mut Actions,
    ) {
        if full {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
            self.endpoints.retain(|id, _| listed.contains(id));
        }
        for entry in entries {
            self.apply_entry(now, entry);
        }
        if self.settings.watch_endpoints && !self.watching {
            self.watching = true;
            actions.push(Action::Watch);
        }
    }

    /// Applies one entry. Endpoints that never get attempts are not stored, so that the cost of a decision
    /// depends on the size of the location and not on that of the fleet.
    fn apply_entry(&mut self, now: Micros, entry: &Endpoint) {
        if entry.state == EndpointState::Removed || entry.tier == Tier::RemoteCache {
            self.endpoints.remove(&entry.id);
            return;
        }
        let has_capacity =
            self.settings.weights_are_capacities && entry.weight.is_finite() && entry.weight > 0.0;
        let weight = if has_capacity { entry.weight } else { DEFAULT_CAPACITY };
        let listed = Endpoint { weight, ..entry.clone() };
        if entry.tier == Tier::Parent {
            self.parents.insert(entry.id, listed.weight);
        }
        let same_process = |tracked: &&mut TrackedEndpoint| tracked.listed.started_at == entry.started_at;
        match self.endpoints.get_mut(&entry.id).filter(same_process) {
            Some(tracked) => tracked.listed = listed,
            // Observations of the previous process do not apply to the new one.
            None => self.add_endpoint(now, listed),
        }
    }

    fn add_endpoint(&mut self, now: Micros, listed: Endpoint) {
        let endpoint = TrackedEndpoint {
            health: Health::default(),
            capacity: listed.weight,
            capacity_reduced_at: 0,
            in_flight: self.endpoints.get(&listed.id).map_or(0, |tracked| tracked.in_flight),
            warm_up_load: LeakyBucket::new(now, self.initial_warm_up_load()),
            listed,
        };
        self.endpoints.insert(endpoint.listed.id, endpoint);
    }
}
