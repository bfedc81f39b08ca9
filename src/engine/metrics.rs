//! The figures that the platform reads.

use super::Engine;
use crate::clock::micros_from_ms;
use crate::endpoint_list::ListedEndpoint;
use crate::{EndpointId, EndpointState};

impl Engine {
    /// The figures that the platform reads.
    pub fn metrics(&mut self) -> String {
        for name in (0..).map_while(|k| self.settings.class_name(k)) {
            self.class_counters.of(name);
        }
        let pool: Vec<EndpointId> = self
            .membership
            .all_listed()
            .filter(|t| self.settings.is_cache(&t.record))
            .map(|t| t.record.id)
            .collect();
        let out = pool.iter().filter(|id| self.maintenance.is_out(**id)).count();
        let avoided = out + self.router.ejected_caches(micros_from_ms(self.clock.now()));
        let figures = [
            ("active", self.requests.len() as u64),
            ("pool_size", pool.len() as u64),
            ("pool_ejected", avoided as u64),
            ("config_applied_total", self.counters.reloads),
            ("config_rejected_total", self.counters.reload_faults),
        ];
        let lines = figures.map(|(name, figure)| format!("app_{name} {figure}\n"));
        self.class_counters.lines() + &lines.concat()
    }

    /// The share of this location's caches that take new work and that the module does not leave for their failures;
    /// none where it has none.
    pub fn usable_cache_share(&self) -> Option<f64> {
        let mine = |t: &&ListedEndpoint| {
            self.settings.endpoint(&t.record).tier == crate::Tier::Cache
                && t.record.state != EndpointState::Removed
        };
        let mine: Vec<&ListedEndpoint> = self.membership.all_listed().filter(mine).collect();
        let able = mine.iter().filter(|t| self.membership.address(t.record.id).is_some()).count();
        let avoided = self.router.ejected_caches(micros_from_ms(self.clock.now()));
        (!mine.is_empty()).then(|| able.saturating_sub(avoided) as f64 / mine.len() as f64)
    }
}
