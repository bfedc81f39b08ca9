//! Placement: which cache a request goes to, which source fills its misses, and which path its retries take.
//!
//! Placement follows Canali et al. (SAINT 2005, sections 2.2 and 2.3): rendezvous hashing of the object over
//! all parents selects its home parent, from which the caches of every location fill; rendezvous hashing over
//! the location's caches selects its cache.

use super::outlier_detection::Candidate;
use super::pending_request::{AttemptPath, FillScope, PendingRequest};
use super::Router;
use crate::interface::*;
use crate::stats::{mix, rendezvous_first, rendezvous_order, unit_hash};

/// Load at or above which a cache's objects spill over to other caches, where they are misses.
const SPILL_OVER_LOAD: f64 = 4.0;
/// Minimum number of recent requests for an object to be spread over two caches.
const REQUESTS_FOR_TWO_CACHES: f32 = 2.0;
/// Minimum number of recent requests for an object to be spread over three caches.
const REQUESTS_FOR_THREE_CACHES: f32 = 4.0;
/// Duration of one generation of the request counts, in microseconds.
pub(super) const OBJECT_COUNT_SPAN: Micros = 10_000_000;
/// Maximum number of objects in one generation of the request counts.
pub(super) const MAX_COUNTED_OBJECTS: usize = 50_000;
/// Number of conclusive attempts after which a retry bypasses the caches.
const MAX_ATTEMPTS_THROUGH_CACHES: usize = 3;
/// Number of conclusive attempts after which retries avoid the fill sources already used.
const MAX_ATTEMPTS_WITH_SAME_SOURCE: usize = 2;
/// Every n-th attempt of a write is sent through a parent instead of directly to the origin.
const PARENT_WRITE_INTERVAL: usize = 3;

/// A cache in an object's hash order.
struct RankedCache {
    id: EndpointId,
    /// Fraction of its usual objects that the cache may get, in 0 to 1; reduced by slow start and outlier
    /// detection.
    share: f64,
}

impl RankedCache {
    /// Whether the object is within the cache's share.
    fn accepts(&self, object: ObjectId) -> bool {
        self.share > unit_hash(!object, u64::from(self.id))
    }
}

impl Router {
    /// The location's cache for a request's part: the first in the object's hash order that accepts the
    /// object and is below [`SPILL_OVER_LOAD`]; for popular objects one of the first two or three such
    /// caches; if there is none, the least loaded cache. The cache's slow-start budget must have room for
    /// `transfer_time` microseconds.
    pub(super) fn choose_cache(
        &self,
        now: Micros,
        request: &PendingRequest,
        transfer_time: f64,
    ) -> Option<EndpointId> {
        let ranked = self.ranked_caches(now, request, transfer_time);
        let accepting = ranked.iter().filter(|cache| cache.accepts(request.object));
        let below_limit = accepting.filter(|cache| self.load(now, cache.id) < SPILL_OVER_LOAD);
        // The part selects the cache within the spread, so that each part has one copy in the location.
        let hash_of_part =
            |cache: &&RankedCache| mix(request.object ^ u64::from(cache.id), u64::from(request.part));
        let chosen = below_limit.take(self.spread(request)).max_by_key(hash_of_part);
        chosen.map(|cache| cache.id).or_else(|| self.least_loaded(now, &ranked))
    }

    /// The caches that may get a request, in its object's hash order.
    fn ranked_caches(&self, now: Micros, request: &PendingRequest, transfer_time: f64) -> Vec<RankedCache> {
        let candidates = self.candidates(now, Tier::Cache).into_iter();
        let permitted = candidates.filter(|cache| request.may_use(cache.id));
        let with_budget = permitted.filter(|cache| self.has_warm_up_budget(now, cache.id, transfer_time));
        let weighted = with_budget.map(|cache| (cache.id, cache.endpoint.listed.weight, cache.share));
        let order = rendezvous_order(request.object, weighted);
        order.into_iter().map(|(id, share)| RankedCache { id, share }).collect()
    }

    /// The number of caches over which a request's object is spread. The local count is extrapolated to all
    /// routers of the location, as if each saw as many requests, so that they agree. The first part is not
    /// spread, so that an object of one part never moves.
    fn spread(&self, request: &PendingRequest) -> usize {
        if request.part == 0 {
            return 1;
        }
        let routers = self.settings.local_fleet_size.max(1) as f32;
        let requests = self.object_counts.get(request.object) * routers;
        let for_two = usize::from(requests >= REQUESTS_FOR_TWO_CACHES);
        let for_three = usize::from(requests >= REQUESTS_FOR_THREE_CACHES);
        1 + for_two + for_three
    }

    fn least_loaded(&self, now: Micros, caches: &[RankedCache]) -> Option<EndpointId> {
        let usable = caches.iter().filter(|cache| cache.share > 0.0);
        let loads = usable.map(|cache| (self.load(now, cache.id), cache.id));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// The parent from which an object is filled: its home parent, or the next one by id that accepts it.
    fn choose_parent(
        &self,
        now: Micros,
        object: ObjectId,
        transfer_time: f64,
        avoided: &[EndpointId],
    ) -> Option<EndpointId> {
        let weights = self.parents.iter().map(|(id, weight)| (*id, *weight));
        let home = rendezvous_first(object, weights)?;
        let candidates = self.candidates(now, Tier::Parent);
        let from_home = self.parents.range(home..).chain(self.parents.range(..home)).map(|(id, _)| *id);
        let in_order = from_home.filter_map(|id| candidates.iter().find(|candidate| candidate.id == id));
        let may_fill = |parent: &&Candidate| {
            !avoided.contains(&parent.id) && self.has_warm_up_budget(now, parent.id, transfer_time)
        };
        let accepts = |parent: &&Candidate| parent.share > unit_hash(!object, u64::from(parent.id));
        let mut accepting = in_order.filter(may_fill).filter(accepts);
        accepting.next().map(|parent| parent.id)
    }

    /// The origin, if it is listed as active.
    pub(super) fn origin(&self) -> Option<EndpointId> {
        let active_origin =
            |endpoint: &Endpoint| endpoint.tier == Tier::Origin && endpoint.state == EndpointState::Active;
        self.endpoints.iter().find(|(_, endpoint)| active_origin(&endpoint.listed)).map(|(id, _)| *id)
    }

    /// The path of a request's next attempt; `None` if no endpoint may get it. Retries go up the tiers: the
    /// next cache, the next parent, a parent directly, the origin.
    pub(super) fn next_path(
        &self,
        now: Micros,
        request: &PendingRequest,
        transfer_time: f64,
    ) -> Option<AttemptPath> {
        if request.class.settings.uncacheable {
            return self.write_path(now, request, transfer_time);
        }
        if request.fill_scope == FillScope::CacheOnly {
            let cache = self.choose_cache(now, request, transfer_time)?;
            return Some(AttemptPath { to: cache, source: Some(cache) });
        }
        let through_caches =
            request.conclusive_attempts() < MAX_ATTEMPTS_THROUGH_CACHES || !self.settings.can_bypass_caches;
        let path = if through_caches { self.path_through_cache(now, request, transfer_time) } else { None };
        if path.is_some() || !self.settings.can_bypass_caches {
            return path;
        }
        self.path_bypassing_caches(now, request, transfer_time)
    }

    /// The path of a write, which runs at the origin.
    fn write_path(&self, now: Micros, request: &PendingRequest, transfer_time: f64) -> Option<AttemptPath> {
        let origin = self.origin();
        if !self.settings.can_bypass_caches {
            let cache = self.choose_cache(now, request, transfer_time)?;
            return Some(AttemptPath { to: cache, source: Some(origin?) });
        }
        let origin = origin?;
        let through_parent =
            request.conclusive_attempts() % PARENT_WRITE_INTERVAL == PARENT_WRITE_INTERVAL - 1;
        if through_parent {
            let parent = self.choose_parent(now, request.object, transfer_time, &[])?;
            return Some(AttemptPath { to: parent, source: Some(origin) });
        }
        Some(AttemptPath { to: origin, source: None })
    }

    /// A path through the request's cache, filled from a parent, else from the origin, else not filled.
    fn path_through_cache(
        &self,
        now: Micros,
        request: &PendingRequest,
        transfer_time: f64,
    ) -> Option<AttemptPath> {
        let cache = self.choose_cache(now, request, transfer_time)?;
        let sources = request.attempts.iter().filter_map(|attempt| attempt.path.source);
        let avoid_used = request.conclusive_attempts() >= MAX_ATTEMPTS_WITH_SAME_SOURCE;
        let avoided: Vec<EndpointId> = if avoid_used { sources.collect() } else { Vec::new() };
        let parent = self.choose_parent(now, request.object, transfer_time, &avoided);
        let source = parent.or_else(|| self.permitted_origin(request)).unwrap_or(cache);
        Some(AttemptPath { to: cache, source: Some(source) })
    }

    /// A path directly to a parent or to the origin, if the request was not sent there yet.
    fn path_bypassing_caches(
        &self,
        now: Micros,
        request: &PendingRequest,
        transfer_time: f64,
    ) -> Option<AttemptPath> {
        let origin = self.permitted_origin(request);
        let untried = |id: &EndpointId| !request.was_sent_to(*id);
        if let Some(parent) = self.choose_parent(now, request.object, transfer_time, &[]).filter(untried) {
            return Some(AttemptPath { to: parent, source: Some(origin.unwrap_or(parent)) });
        }
        let origin = origin.filter(untried)?;
        Some(AttemptPath { to: origin, source: Some(origin) })
    }

    /// The origin, if the request's fill scope includes it.
    fn permitted_origin(&self, request: &PendingRequest) -> Option<EndpointId> {
        self.origin().filter(|_| request.fill_scope == FillScope::Origin)
    }
}
