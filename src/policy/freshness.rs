//! Purges in force, and the oldest copy that an attempt may be served from.

use super::{PendingRequest, Router};
use crate::interface::*;

/// Taken off the age bound after a purge, us: the host's clock is coarse.
const PURGE_MARGIN: Micros = 10_000;
/// Kept beyond the stated end of a purge, us, for the same reason.
const PURGE_EXTRA: Micros = 500_000;
/// How long a purge is remembered beyond it, us, for caches that hang then and drop their old copies later.
const PURGE_KEPT: Micros = 60_000_000;

impl Router {
    pub(super) fn on_purged(&mut self, now: Micros, object: Option<ObjectId>, group: u32, ago: Micros) {
        self.purges.retain(|_, at| now < *at + self.set.purge_completion + PURGE_KEPT);
        let (at, key) = (now.saturating_sub(ago), (object, if object.is_some() { 0 } else { group }));
        let last = self.purges.entry(key).or_insert(at);
        *last = at.max(*last);
    }

    /// Guards the rule on purges: the oldest copy that will do, on every attempt; 0 for the class's own.
    /// `stale` also takes copies past their fresh time.
    pub(super) fn age_bound(&self, now: Micros, req: &PendingRequest, stale: bool, to: EndpointId) -> Micros {
        let class = &self.set.classes[req.class];
        let own = match class.fresh_lifetime {
            0 => 0,
            fresh => fresh + if stale { class.stale_while_revalidate } else { 0 },
        };
        let keys = [(Some(req.object), 0), (None, req.group)];
        let purged = keys.iter().filter_map(|k| self.purges.get(k)).max().copied();
        let heard = self.endpoints.get(&to).map_or(0, |m| m.health.heard);
        match purged.filter(|at| heard < at + self.set.purge_completion + PURGE_EXTRA) {
            Some(at) => {
                let age = now.saturating_sub(at + PURGE_MARGIN).max(1);
                age.min(if own == 0 { age } else { own })
            }
            None => own,
        }
    }
}
