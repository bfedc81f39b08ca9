//! Which cache a request goes to, which source fills a miss, and which path further attempts take.
//!
//! The ordinary path is that of Canali et al. (SAINT 2005, section 2.2 and 2.3): a hash of the object's name
//! over all parents gives its home parent, from which every location's caches fill; a hash of the object
//! picks the location's cache.

use super::{KnownEndpoint, Path, PendingRequest, Reach, Router};
use crate::interface::*;
use crate::stats::{mix, rendezvous_first, rendezvous_order, unit};

/// Attempts at one cache that may break or be spoilt before the request goes elsewhere.
const MAX_SAME_CACHE: usize = 2;
/// Transfers at once, in multiples of what fits on a cache's link, up to which an object stays at its cache:
/// well above what aims allow, since a spilled object is a miss, and misses congest the location's link.
const LOAD_SPILL: f64 = 4.0;
/// Requests for an object in the counts from which on it uses two caches ...
const WIDEN_TWO: f32 = 2.0;
/// ... and three.
const WIDEN_THREE: f32 = 4.0;
/// Span of a generation of the counts of objects, us: parts of an object follow each other within seconds.
pub(super) const COUNT_SPAN: Micros = 10_000_000;
/// The most objects in a generation: bounds memory.
pub(super) const MAX_COUNTED: usize = 50_000;

impl PendingRequest {
    /// Attempts that tell where the next should go: a connection that ended says nothing of the path.
    fn tried(&self) -> usize {
        self.attempts.iter().filter(|a| !a.lost).count()
    }
    /// Whether a cache may still be asked: guards its copies against a request that leaves it for a reset.
    fn open_to(&self, id: EndpointId) -> bool {
        let there = || self.attempts.iter().filter(|a| a.to == id);
        there().all(|a| a.lost) && there().count() < MAX_SAME_CACHE
    }
}

impl Router {
    /// The location's cache for an object: the first in hash order whose share exceeds the object's hash,
    /// widened to two or three for objects often asked.
    pub(super) fn pick_cache(&self, now: Micros, req: &PendingRequest, work: f64) -> Option<EndpointId> {
        let open = self.shares(now, Tier::Cache).into_iter().filter(|(id, ..)| req.open_to(*id));
        let able = open.filter(|(id, ..)| self.budget_allows(now, *id, work));
        let order = rendezvous_order(req.object, able.map(|(id, m, share)| (id, m.line.weight, share)));
        // Every router of the location is taken to see as much of an object, so that they agree on its width.
        let often = self.counts.get(req.object) * self.set.local_fleet_size.max(1) as f32;
        let willing = order
            .iter()
            .filter(|(id, share)| *share > unit(!req.object, u64::from(*id)))
            .filter(|(id, _)| self.load(now, *id) < LOAD_SPILL)
            .map(|(id, _)| *id);
        // Within the widened set the part decides, so that each part still has one copy in the location.
        // The first part stays, so that an object of one part never moves for being asked.
        let wider = usize::from(often >= WIDEN_TWO) + usize::from(often >= WIDEN_THREE);
        let width = if req.part == 0 { 1 } else { 1 + wider };
        let chosen =
            willing.take(width).max_by_key(|id| mix(req.object ^ u64::from(*id), u64::from(req.part)));
        let rest = order.iter().filter(|(_, share)| *share > 0.0).map(|(id, _)| (self.load(now, *id), *id));
        chosen.or_else(|| rest.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id))
    }

    /// The source of an object's fills: its home parent, or the next listed one that takes the object.
    fn pick_parent(
        &self,
        now: Micros,
        object: ObjectId,
        work: f64,
        not: &[EndpointId],
    ) -> Option<EndpointId> {
        let home = rendezvous_first(object, self.parents.iter().map(|(id, weight)| (*id, *weight)))?;
        let shares = self.shares(now, Tier::Parent);
        let around = self.parents.range(home..).chain(self.parents.range(..home));
        let mut walk = around.filter_map(|(&id, _)| {
            let share = shares.iter().find(|(s, ..)| *s == id)?.2;
            (!not.contains(&id) && self.budget_allows(now, id, work)).then_some((id, share))
        });
        walk.find(|(id, share)| *share > unit(!object, u64::from(*id))).map(|(id, _)| id)
    }

    pub(super) fn origin(&self) -> Option<EndpointId> {
        let live = |m: &KnownEndpoint| m.line.tier == Tier::Origin && m.line.state == EndpointState::Active;
        self.endpoints.iter().find(|(_, m)| live(m)).map(|(id, _)| *id)
    }

    /// Where the next attempt goes and what it names as source. Further attempts climb: next cache, next
    /// parent, straight to a parent, the origin.
    pub(super) fn path(&self, now: Micros, req: &PendingRequest, work: f64) -> Option<Path> {
        let class = &self.set.classes[req.class];
        let origin = self.origin();
        let tried = req.tried();
        if class.uncacheable {
            if self.set.can_bypass_caches {
                let parent = || self.pick_parent(now, req.object, work, &[]);
                let by_parent = || Some((parent()?, Some(origin?)));
                return origin.map(|o| (o, None)).filter(|_| tried % 3 != 2).or_else(by_parent);
            }
            return self.pick_cache(now, req, work).zip(origin).map(|(c, o)| (c, Some(o)));
        }
        if req.reach == Reach::Cache {
            return self.pick_cache(now, req, work).map(|c| (c, Some(c)));
        }
        // What may not be fetched is not asked of the origin by any path.
        let fetch = origin.filter(|_| req.reach == Reach::Origin);
        let sources: Vec<EndpointId> = req.attempts.iter().filter_map(|a| a.source).collect();
        let avoid = if tried >= 2 { &sources[..] } else { &[] };
        let parent = self.pick_parent(now, req.object, work, avoid);
        if tried < 3 || !self.set.can_bypass_caches {
            if let Some(cache) = self.pick_cache(now, req, work) {
                return Some((cache, parent.or(fetch).or(Some(cache))));
            }
        }
        if !self.set.can_bypass_caches {
            return None;
        }
        let direct = |id: &EndpointId| !req.attempts.iter().any(|a| a.to == *id);
        let parent = self.pick_parent(now, req.object, work, &[]).filter(direct);
        let straight = || fetch.filter(direct).map(|o| (o, Some(o)));
        parent.map(|p| (p, Some(fetch.unwrap_or(p)))).or_else(straight)
    }
}
