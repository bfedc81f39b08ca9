//! The health of each endpoint by the results of its checks, from whatever instance ran them. An endpoint becomes
//! unhealthy after a number of consecutive failures and healthy after a number of consecutive passes. No I/O.

use super::lease::Slot;
use super::message::CheckResult;
use crate::EndpointId;
use std::collections::BTreeMap;

/// Consecutive results that change an endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthThresholds {
    /// Failed checks until a healthy endpoint is unhealthy.
    pub fall: u32,
    /// Passed checks until an unhealthy endpoint is healthy.
    pub rise: u32,
}

/// Health of one endpoint, as the admin call shows it.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct EndpointHealth {
    /// Whether the endpoint is healthy.
    #[serde(rename = "up")]
    pub healthy: bool,
    /// Slot of the last result.
    #[serde(rename = "slot")]
    pub last_slot: Slot,
    /// Consecutive results that contradict `healthy`.
    #[serde(rename = "against")]
    pub contrary_results: u32,
    /// When the last result was received, in Unix milliseconds.
    #[serde(rename = "heard_ms")]
    pub updated_ms: f64,
    /// Duration of the last check, in milliseconds.
    #[serde(rename = "took_ms")]
    pub duration_ms: f64,
}

/// Health of all endpoints with results.
#[derive(Clone, Debug)]
pub struct HealthStatus {
    thresholds: HealthThresholds,
    endpoints: BTreeMap<EndpointId, EndpointHealth>,
}

impl HealthStatus {
    /// Creates the status without any result: every endpoint counts as healthy.
    pub fn new(thresholds: HealthThresholds) -> Self {
        Self { thresholds, endpoints: BTreeMap::new() }
    }

    /// Applies a result. Returns the new health if it changed.
    ///
    /// A second result of the same slot, or one of an earlier slot, is ignored.
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

    /// Slot of an endpoint's last result, or 0.
    pub fn last_slot(&self, endpoint: EndpointId) -> Slot {
        self.endpoints.get(&endpoint).map_or(0, |health| health.last_slot)
    }

    /// All endpoints with results.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointHealth)> {
        self.endpoints.iter().map(|(endpoint, health)| (*endpoint, health))
    }

    /// Number of unhealthy endpoints.
    pub fn unhealthy_count(&self) -> usize {
        self.endpoints.values().filter(|health| !health.healthy).count()
    }

    /// Drops endpoints for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.endpoints.retain(|endpoint, _| keep(*endpoint));
    }
}

#[cfg(test)]
mod tests;
