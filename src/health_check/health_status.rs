//! Tracks the health of each endpoint from the check results of all instances. An endpoint becomes unhealthy
//! after a number of consecutive failures, and healthy again after a number of consecutive passes. No I/O.

use super::lease::Slot;
use super::message::CheckResult;
use crate::EndpointId;
use std::collections::BTreeMap;

/// Numbers of consecutive results that change the health of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthThresholds {
    /// Failed checks after which a healthy endpoint becomes unhealthy.
    pub fall: u32,
    /// Passed checks after which an unhealthy endpoint becomes healthy.
    pub rise: u32,
}

/// Health of one endpoint, as the admin endpoint reports it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct EndpointHealth {
    /// Whether the endpoint is healthy.
    #[serde(rename = "up")]
    pub healthy: bool,
    /// Slot of the latest result.
    #[serde(rename = "slot")]
    pub last_slot: Slot,
    /// Number of consecutive results, up to the latest, that contradict `healthy`.
    #[serde(rename = "against")]
    pub contrary_results: u32,
    /// Time of the latest result, in Unix milliseconds.
    #[serde(rename = "heard_ms")]
    pub updated_ms: f64,
    /// Duration of the latest check, in milliseconds.
    #[serde(rename = "took_ms")]
    pub duration_ms: f64,
}

/// Health of the endpoints for which results have been received.
#[derive(Clone, Debug)]
pub struct HealthStatus {
    thresholds: HealthThresholds,
    endpoints: BTreeMap<EndpointId, EndpointHealth>,
}

impl HealthStatus {
    /// Creates an empty status. Endpoints count as healthy until `fall` consecutive checks fail.
    pub fn new(thresholds: HealthThresholds) -> Self {
        Self { thresholds, endpoints: BTreeMap::new() }
    }

    /// Applies a result and returns the new health if it changed.
    ///
    /// Ignores results whose slot is not after that of the latest result of the endpoint.
    pub fn apply(&mut self, now: f64, result: CheckResult) -> Option<bool> {
        let CheckResult { endpoint, slot, passed, duration_ms } = result;
        let initial =
            EndpointHealth { healthy: true, last_slot: 0, contrary_results: 0, updated_ms: now, duration_ms };
        let health = self.endpoints.entry(endpoint).or_insert(initial);
        if slot <= health.last_slot {
            return None;
        }
        (health.last_slot, health.updated_ms, health.duration_ms) = (slot, now, duration_ms);
        if passed == health.healthy {
            health.contrary_results = 0;
            return None;
        }
        health.contrary_results += 1;
        let threshold = if health.healthy { self.thresholds.fall } else { self.thresholds.rise };
        if health.contrary_results < threshold {
            return None;
        }
        (health.healthy, health.contrary_results) = (passed, 0);
        Some(passed)
    }

    /// Slot of the latest result of an endpoint, or 0 if there is none.
    pub fn last_slot(&self, endpoint: EndpointId) -> Slot {
        self.endpoints.get(&endpoint).map_or(0, |health| health.last_slot)
    }

    /// Iterates over the endpoints that have results.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointHealth)> {
        self.endpoints.iter().map(|(endpoint, health)| (*endpoint, health))
    }

    /// Number of unhealthy endpoints.
    pub fn unhealthy_count(&self) -> usize {
        self.endpoints.values().filter(|health| !health.healthy).count()
    }

    /// Drops all endpoints except those for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.endpoints.retain(|endpoint, _| keep(*endpoint));
    }
}

#[cfg(test)]
mod tests;
