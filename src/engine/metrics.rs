//! The engine's metrics, as exposed to the platform.

use super::Engine;
use crate::clock::micros_from_ms;
use crate::{EndpointId, EndpointState, Tier};
use std::fmt::Write as _;

impl Engine {
    /// The engine's metrics, as lines of `NAME NUMBER`.
    pub fn metrics(&mut self) -> String {
        // Lists every class, even before its first request.
        for class in self.settings.classes() {
            self.class_counters.class_mut(class.name());
        }
        let listed = self.membership.all_listed().map(|endpoint| &endpoint.record);
        let caches = listed.filter(|record| self.settings.is_cache(record)).map(|record| record.id);
        let caches: Vec<EndpointId> = caches.collect();
        let out_of_use = caches.iter().filter(|id| self.maintenance.is_out_of_use(**id)).count();
        let metrics = [
            ("active", self.requests.len() as u64),
            ("pool_size", caches.len() as u64),
            ("pool_ejected", (out_of_use + self.ejected_caches()) as u64),
            ("config_applied_total", self.counters.reloads),
            ("config_rejected_total", self.counters.reload_failures),
        ];
        let mut text = self.class_counters.to_string();
        for (name, value) in metrics {
            let _ = writeln!(text, "app_{name} {value}");
        }
        text + &self.end_reasons.to_string()
    }

    /// The share of this location's caches that get new attempts, in 0 to 1; `None` if it has no cache.
    pub fn usable_cache_share(&self) -> Option<f64> {
        let listed = self.membership.all_listed().map(|endpoint| &endpoint.record);
        let present = listed.filter(|record| record.state != EndpointState::Removed);
        let caches = present.filter(|record| self.settings.endpoint(record).tier == Tier::Cache);
        let caches: Vec<EndpointId> = caches.map(|record| record.id).collect();
        if caches.is_empty() {
            return None;
        }
        let usable = caches.iter().filter(|id| self.membership.is_usable(**id)).count();
        Some(usable.saturating_sub(self.ejected_caches()) as f64 / caches.len() as f64)
    }

    /// The number of caches that the router has ejected.
    fn ejected_caches(&self) -> usize {
        self.router.ejected_caches(micros_from_ms(self.clock.now()))
    }
}
