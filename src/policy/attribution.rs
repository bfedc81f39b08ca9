//! Updates from the outcomes of attempts: the latency of classes, the capacity of caches, the origin fetch
//! share, and the health of the endpoints to which a success or failure is attributed.

use super::outlier_detection::EJECTION_BAD_SHARE;
use super::pending_request::{AttemptPath, EndedAttempt, FillScope};
use super::Router;
use crate::interface::*;

/// Weight of an ordinary outcome.
const FULL_WEIGHT: f64 = 1.0;
/// Weight of a failure that can only be the endpoint's own, such as a refused connection.
const CONCLUSIVE_FAILURE: f64 = 2.0;
/// Weight of a lost connection, which does not show whether the process has died. A single one is tolerated:
/// if the process died, the next connect fails.
const LOST_CONNECTION: f64 = 0.25;
/// Weight of a late response, which may also be due to overload.
const LATE_RESPONSE: f64 = 0.5;
/// Weight of a timely response for its fill source if the cache status is not reported, so that it may be a
/// hit. Most are.
const UNCONFIRMED_FILL: f64 = 0.1;
/// Suspicion of an endpoint without bad outcomes; the share of bad ones is added to it.
const MIN_SUSPICION: f64 = 0.1;
/// Minimum ratio of the suspicions of a path's two endpoints for a failure to be attributed to one of them
/// alone.
const SOLE_ATTRIBUTION_RATIO: f64 = 2.5;

impl Router {
    /// Updates all estimates from an attempt that has ended.
    pub(super) fn update_estimates(&mut self, now: Micros, ended: &EndedAttempt) {
        let Some(request) = self.requests.get(&ended.request) else { return };
        let attempt = &request.attempts[ended.number];
        let (class, path) = (request.class.clone(), attempt.path);
        let may_fetch_from_origin = request.fill_scope == FillScope::Origin;
        let transfer_time = self.settings.sending_time(request.size_kb);
        let elapsed = ended.elapsed as f64;
        let late = elapsed > self.latency_objective(request);
        // A timeout cut short by the client's deadline tells nothing about the endpoints.
        if ended.outcome == AttemptOutcome::TimedOut && attempt.timeout_shortened && !late {
            return;
        }
        if matches!(ended.outcome, AttemptOutcome::Served | AttemptOutcome::TimedOut) {
            self.update_capacity(now, path.to, late);
            class.latency.borrow_mut().add(ended.outcome, transfer_time, elapsed);
        }
        let cache_only = path.source == Some(path.to);
        let served_from_cache = cache_only && ended.outcome == AttemptOutcome::Served;
        let cache_status = if served_from_cache { CacheStatus::Hit } else { ended.cache_status };
        if cache_status != CacheStatus::Hit && may_fetch_from_origin {
            self.update_origin_fetch_share(now, ended, path);
        }
        self.update_congestion(now, &class, ended.outcome, late, cache_only);
        match ended.outcome {
            AttemptOutcome::Served => self.attribute_response(now, path, cache_status, late),
            outcome => self.attribute_failure(now, path, outcome, cache_status),
        }
    }

    /// Attributes a response to the endpoints of its path.
    fn attribute_response(&mut self, now: Micros, path: AttemptPath, cache_status: CacheStatus, late: bool) {
        match cache_status {
            CacheStatus::FillLimitReached => {}
            CacheStatus::Hit if late => self.add_failure(now, path.to, LATE_RESPONSE),
            CacheStatus::Hit => self.add_success(now, path.to, FULL_WEIGHT),
            _ if !late => {
                self.add_success(now, path.to, FULL_WEIGHT);
                let fills_reported = self.settings.reports_cache_status;
                let weight = if fills_reported { FULL_WEIGHT } else { UNCONFIRMED_FILL };
                if let Some(source) = path.fill_source() {
                    self.add_success(now, source, weight);
                }
            }
            // A late response of unknown status may be a hit, so it does not count against the fill source.
            CacheStatus::Unknown => self.add_failure(now, path.to, LATE_RESPONSE),
            _ => self.split_failure(now, path, LATE_RESPONSE),
        }
    }

    /// Attributes an attempt that was not served.
    fn attribute_failure(
        &mut self,
        now: Micros,
        path: AttemptPath,
        outcome: AttemptOutcome,
        cache_status: CacheStatus,
    ) {
        let inconclusive = matches!(
            outcome,
            AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::CacheMiss
                | AttemptOutcome::Malformed
        );
        if inconclusive {
            return;
        }
        match (outcome, cache_status) {
            (_, CacheStatus::FillLimitReached | CacheStatus::OriginFailed) => {}
            (AttemptOutcome::NoConnection, CacheStatus::Unknown) => {
                self.add_failure(now, path.to, CONCLUSIVE_FAILURE);
            }
            (AttemptOutcome::ConnectionLost, CacheStatus::Unknown) => {
                self.add_failure(now, path.to, LOST_CONNECTION);
            }
            (_, CacheStatus::SourceFailed) => {
                let source_only = AttemptPath { to: path.fill_source().unwrap_or(path.to), source: None };
                self.split_failure(now, source_only, CONCLUSIVE_FAILURE);
            }
            _ => self.split_failure(now, path, FULL_WEIGHT),
        }
    }

    fn add_success(&mut self, now: Micros, id: EndpointId, weight: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.health.add_success(now, weight);
        }
    }

    fn add_failure(&mut self, now: Micros, id: EndpointId, weight: f64) {
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.health.add_failure(now, weight);
        }
    }

    /// Splits a failure between a path's cache and fill source in proportion to their suspicion; if only one
    /// of them is clearly suspect, it gets the whole failure. Their outcomes on other paths tell them apart:
    /// a cache that fails with every source is at fault itself, as is a source that fails through every
    /// cache.
    fn split_failure(&mut self, now: Micros, path: AttemptPath, weight: f64) {
        let source = path.fill_source();
        let cache_suspicion = self.suspicion(now, path.to);
        let source_suspicion = source.map_or(0.0, |source| self.suspicion(now, source));
        let ratio = cache_suspicion / source_suspicion;
        let cache_share = if ratio >= SOLE_ATTRIBUTION_RATIO && cache_suspicion >= EJECTION_BAD_SHARE {
            1.0
        } else if ratio <= 1.0 / SOLE_ATTRIBUTION_RATIO && source_suspicion >= EJECTION_BAD_SHARE {
            0.0
        } else {
            cache_suspicion / (cache_suspicion + source_suspicion)
        };
        self.add_failure(now, path.to, weight * cache_share);
        if let Some(source) = source {
            self.add_failure(now, source, weight * (1.0 - cache_share));
        }
    }

    fn suspicion(&self, now: Micros, id: EndpointId) -> f64 {
        self.endpoints.get(&id).map_or(0.0, |endpoint| MIN_SUSPICION + endpoint.health.bad_share(now))
    }
}
