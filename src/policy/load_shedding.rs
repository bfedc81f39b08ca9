//! Load shedding: which requests are admitted, from which tiers their misses may be filled, and which
//! fraction of the objects may be fetched from the origin.

use super::classes::TrackedClass;
use super::latency::HIT_OVERHEAD;
use super::outlier_detection::EVIDENCE_HALF_LIFE;
use super::pending_request::{AttemptPath, EndedAttempt, FillScope, PendingRequest};
use super::placement::OBJECT_COUNT_SPAN;
use super::Router;
use crate::interface::*;
use crate::stats::{unit_hash, ShareRates};

/// Rates at which outcomes of fills change the origin fetch share. Links and parents make fills late as well,
/// so a timely fill counts for little and a late one for much.
const FILL_RATES: ShareRates = ShareRates { increase_per_s: 0.1, decay_per_s: 6.0, max_gap_s: 1.0 };
/// Rates at which outcomes of writes change the origin fetch share. Writes are rare, so each may count for a
/// longer gap, but they always run at the origin.
const WRITE_RATES: ShareRates = ShareRates { increase_per_s: 1.0, decay_per_s: 2.0, max_gap_s: 3.0 };
/// Index of fills among the kinds of outcomes of the origin fetch share.
const FILL_OUTCOMES: usize = 0;
/// Index of writes among the kinds of outcomes of the origin fetch share.
const WRITE_OUTCOMES: usize = 1;
/// Minimum origin fetch share, so that recovery of the origin is detected.
const MIN_ORIGIN_FETCH_SHARE: f64 = 0.03;
/// Fraction of its latency objective above which a write indicates queueing at the origin.
const SLOW_WRITE_FRACTION: f64 = 0.6;
/// Number of timely responses added to the observed ones when a class's share of late responses is computed.
const CONGESTION_PRIOR: f64 = 3.0;
/// Share of late responses above which a class is congested.
pub(super) const CONGESTION_THRESHOLD: f64 = 0.1;
/// Load of a cache above which a request of mean value per transfer time is rejected.
const SHED_LOAD: f64 = 3.0;
/// Minimum factor on [`SHED_LOAD`], for requests of low value per transfer time.
const MIN_VALUE_FACTOR: f64 = 0.6;
/// Minimum factor on [`SHED_LOAD`] under congestion, where large transfers of low value are rejected first.
const MIN_VALUE_FACTOR_CONGESTED: f64 = 0.15;
/// Maximum factor on [`SHED_LOAD`], for requests of high value per transfer time.
const MAX_VALUE_FACTOR: f64 = 1.5;
/// Reduction of the admitted load for fills, as a multiple of the class's share of late responses.
const LATE_REDUCTION: f64 = 3.0;
/// Minimum fraction of the admitted load that remains for fills.
const MIN_FILL_LOAD_FRACTION: f64 = 0.3;

impl Router {
    /// The share of late responses of a class at this router.
    pub(super) fn congestion(&self, now: Micros, class: &TrackedClass) -> f64 {
        class.latency.borrow().timeliness.bad_share(now, EVIDENCE_HALF_LIFE, CONGESTION_PRIOR)
    }

    /// Whether the share of late responses of a class exceeds [`CONGESTION_THRESHOLD`].
    pub(super) fn is_congested(&self, now: Micros, class: &TrackedClass) -> bool {
        self.congestion(now, class) > CONGESTION_THRESHOLD
    }

    /// Counts a response towards its class's congestion. A hit of an attempt that forbids fills is ignored:
    /// it tells nothing about the fill sources.
    pub(super) fn update_congestion(
        &mut self,
        now: Micros,
        class: &TrackedClass,
        outcome: AttemptOutcome,
        late: bool,
        cache_only: bool,
    ) {
        let timeliness = &mut class.latency.borrow_mut().timeliness;
        match outcome {
            AttemptOutcome::Served if cache_only => {}
            AttemptOutcome::Served if !late => timeliness.good.add(now, EVIDENCE_HALF_LIFE, 1.0),
            AttemptOutcome::Served | AttemptOutcome::TimedOut => {
                timeliness.bad.add(now, EVIDENCE_HALF_LIFE, 1.0);
            }
            _ => {}
        }
    }

    /// The fill scope of a new request; `None` if the request is rejected. Requests of the least value per
    /// transfer time are rejected first. The more responses of the class are late, the lower the load above
    /// which fills are shed; hits are still served, as they need no fill source.
    pub(super) fn admit(&self, now: Micros, request: &PendingRequest) -> Option<FillScope> {
        if request.class.settings.uncacheable {
            return Some(FillScope::Origin);
        }
        let Some(cache) = self.choose_cache(now, request, 0.0) else { return Some(FillScope::Origin) };
        let limit = self.admitted_load(now, request);
        let load = self.load(now, cache);
        if load > limit {
            return None;
        }
        let late_share = self.congestion(now, &request.class);
        if load > limit * (1.0 - LATE_REDUCTION * late_share).max(MIN_FILL_LOAD_FRACTION) {
            return Some(FillScope::CacheOnly);
        }
        // All routers exclude the same objects during one `OBJECT_COUNT_SPAN`, so that the other objects are
        // fetched once and then cached.
        let excluded = self.origin_fetch_share.value() < unit_hash(request.object, now / OBJECT_COUNT_SPAN);
        Some(if excluded { FillScope::ParentOnly } else { FillScope::Origin })
    }

    /// The load of its cache up to which a request is admitted. It is proportional to the request's value per
    /// transfer time, relative to the mean of the cacheable classes.
    fn admitted_load(&self, now: Micros, request: &PendingRequest) -> f64 {
        let cacheable = || self.classes.listed().filter(|class| !class.settings.uncacheable);
        let values =
            cacheable().map(|class| class.settings.priority_weight / class.latency.borrow().transfer_time);
        let mean_value = values.sum::<f64>() / cacheable().count() as f64;
        let transfer_time = if request.size_kb > 0.0 {
            self.settings.sending_time(request.size_kb).max(HIT_OVERHEAD)
        } else {
            request.class.latency.borrow().transfer_time
        };
        let congested = self.is_congested(now, &request.class);
        let min_factor = if congested { MIN_VALUE_FACTOR_CONGESTED } else { MIN_VALUE_FACTOR };
        let class = &request.class.settings;
        let value = class.priority_weight / transfer_time / mean_value;
        SHED_LOAD * value.clamp(min_factor, MAX_VALUE_FACTOR)
    }

    /// Updates the origin fetch share with an outcome other than a hit.
    pub(super) fn update_origin_fetch_share(&mut self, now: Micros, ended: &EndedAttempt, path: AttemptPath) {
        let Some(request) = self.requests.get(&ended.request) else { return };
        let write = request.class.settings.uncacheable;
        let latency_objective = self.latency_objective(request);
        let limit = if write { SLOW_WRITE_FRACTION * latency_objective } else { latency_objective };
        let good = ended.outcome == AttemptOutcome::Served && ended.elapsed as f64 <= limit;
        // A failure on a path with an outlier is attributed to the outlier and not to the origin.
        let conclusive = self.concerns_origin(ended.outcome, path) && (good || !self.has_outlier(now, path));
        let good = conclusive.then_some(good);
        if write {
            self.origin_fetch_share.add(now, WRITE_OUTCOMES, &WRITE_RATES, MIN_ORIGIN_FETCH_SHARE, good);
        } else if path.fill_source().is_some() {
            self.origin_fetch_share.add(now, FILL_OUTCOMES, &FILL_RATES, MIN_ORIGIN_FETCH_SHARE, good);
        }
    }

    /// Whether an outcome may depend on the state of the origin.
    fn concerns_origin(&self, outcome: AttemptOutcome, path: AttemptPath) -> bool {
        let is_origin = |id: Option<EndpointId>| id.is_some() && id == self.origin();
        match outcome {
            AttemptOutcome::Served | AttemptOutcome::TimedOut => true,
            AttemptOutcome::Rejected | AttemptOutcome::Error => {
                is_origin(Some(path.to)) || is_origin(path.fill_source())
            }
            AttemptOutcome::NoConnection => is_origin(Some(path.to)),
            _ => false,
        }
    }

    /// Whether any endpoint of a path is an outlier among its peers.
    fn has_outlier(&self, now: Micros, path: AttemptPath) -> bool {
        [Some(path.to), path.fill_source()].into_iter().flatten().any(|id| self.is_outlier(now, id))
    }
}
