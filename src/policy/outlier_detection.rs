//! Outlier detection: exponentially decaying outcomes of each endpoint, and the share of new attempts that
//! they leave it.

use super::endpoints::TrackedEndpoint;
use super::Router;
use crate::interface::*;
use crate::stats::{DecayingOutcomes, DecayingSum};

/// Half-life of the outcomes of classes and of busy endpoints, in microseconds.
pub(super) const EVIDENCE_HALF_LIFE: f64 = 1_000_000.0;
/// Number of outcomes that a half-life spans: the fewer attempts an endpoint gets, the longer its half-life.
const OUTCOMES_PER_HALF_LIFE: f64 = 10.0;
/// Maximum half-life of outcomes, in microseconds.
pub(super) const MAX_HALF_LIFE: f64 = 10_000_000.0;
/// Minimum number of recent outcomes for an endpoint to count as a peer.
const MIN_OUTCOMES_OF_PEER: f64 = 0.5;
/// Number of good outcomes added to the observed ones when an endpoint's share of bad outcomes is computed.
const HEALTH_PRIOR: f64 = 1.5;
/// Difference from the best peer's share of bad outcomes up to which an endpoint is healthy.
const TOLERATED_BAD_SHARE: f64 = 0.15;
/// Difference from the best peer's share of bad outcomes at which an endpoint is ejected.
pub(super) const EJECTION_BAD_SHARE: f64 = 0.5;
/// Maximum sum of bad outcomes.
const MAX_BAD_OUTCOMES: f64 = 10.0;
/// Maximum time, in microseconds, for which an endpoint without new failures stays ejected; limits the sum of
/// bad outcomes.
const MAX_EJECTION: f64 = 5_000_000.0;
/// Maximum sum of good outcomes: a long series of them must not hide a sudden failure.
const MAX_GOOD_OUTCOMES: f64 = 15.0;
/// Factor on the sum of good outcomes after a failure of full weight.
const GOOD_FACTOR_PER_FAILURE: f64 = 0.8;

/// Observations of an endpoint.
#[derive(Default)]
pub(super) struct Health {
    outcomes: DecayingOutcomes,
    /// Number of outcomes, with the half-life [`MAX_HALF_LIFE`]; determines the half-life of `outcomes`.
    volume: DecayingSum,
    /// Consecutive failures of attempts with this endpoint on their path.
    pub(super) consecutive_failures: u32,
    /// Consecutive health checks without a response.
    pub(super) unanswered_checks: u32,
    /// When it was last checked after a failure.
    pub(super) checked_at: Micros,
    /// Its process does not respond: it gets no attempt until a health check succeeds.
    pub(super) down: bool,
    /// When it last responded again after being down, which counts as the start of a new process; 0 for
    /// never.
    pub(super) restarted_at: Micros,
    /// When it last responded to this router.
    pub(super) responded_at: Micros,
}

impl Health {
    /// Half-life of the outcomes in microseconds: the fewer attempts this router sends, the longer.
    fn half_life(&self, now: Micros) -> f64 {
        let outcomes_per_us = self.volume.rate(now, MAX_HALF_LIFE);
        (OUTCOMES_PER_HALF_LIFE / outcomes_per_us).clamp(EVIDENCE_HALF_LIFE, MAX_HALF_LIFE)
    }

    /// Share of bad outcomes.
    pub(super) fn bad_share(&self, now: Micros) -> f64 {
        self.outcomes.bad_share(now, self.half_life(now), HEALTH_PRIOR)
    }

    /// Adds a good outcome with a weight.
    pub(super) fn add_success(&mut self, now: Micros, weight: f64) {
        let half_life = self.half_life(now);
        self.volume.add(now, MAX_HALF_LIFE, weight.min(1.0));
        self.outcomes.good.add_up_to(now, half_life, weight, MAX_GOOD_OUTCOMES);
    }

    /// Adds a bad outcome with a weight, and reduces the sum of good ones.
    pub(super) fn add_failure(&mut self, now: Micros, weight: f64) {
        let half_life = self.half_life(now);
        self.volume.add(now, MAX_HALF_LIFE, weight.min(1.0));
        let max_bad = MAX_BAD_OUTCOMES.min(HEALTH_PRIOR * (MAX_EJECTION / half_life).exp2());
        self.outcomes.bad.add_up_to(now, half_life, weight, max_bad);
        self.outcomes.good.scale(now, half_life, GOOD_FACTOR_PER_FAILURE.powf(weight.min(1.0)));
    }

    /// Drops the outcomes of a process that has ended.
    pub(super) fn reset_outcomes(&mut self) {
        self.outcomes = DecayingOutcomes::default();
    }

    fn has_evidence(&self, now: Micros) -> bool {
        self.volume.value(now, MAX_HALF_LIFE) >= MIN_OUTCOMES_OF_PEER
    }
}

/// An endpoint that may get new attempts, with its share of them.
pub(super) struct Candidate<'a> {
    pub(super) id: EndpointId,
    pub(super) endpoint: &'a TrackedEndpoint,
    /// Fraction of its usual attempts that it may get, from 0 (ejected) to 1.
    pub(super) share: f64,
}

impl Router {
    /// The lowest share of bad outcomes among a tier's endpoints; 0 if none has enough outcomes. The origin
    /// is a peer of parents, as both are sources of fills.
    fn best_bad_share(&self, now: Micros, tier: Tier) -> f64 {
        let is_peer = |endpoint: &TrackedEndpoint| {
            let peer_tier = endpoint.listed.tier;
            peer_tier == tier || (tier == Tier::Parent && peer_tier == Tier::Origin)
        };
        let peers = self.endpoints.values().filter(|endpoint| endpoint.is_usable() && is_peer(endpoint));
        let with_evidence = peers.filter(|endpoint| endpoint.health.has_evidence(now));
        let shares = with_evidence.map(|endpoint| endpoint.health.bad_share(now));
        shares.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Whether an endpoint's share of bad outcomes exceeds its best peer's by more than is tolerated.
    pub(super) fn is_outlier(&self, now: Micros, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let best = self.best_bad_share(now, endpoint.listed.tier);
        endpoint.health.bad_share(now) > best + TOLERATED_BAD_SHARE
    }

    /// The endpoints of a tier that may get new attempts; their share is the lesser of slow start and health.
    /// Health is relative to the best peer: failures that all endpoints have in common are due to the origin,
    /// a link or overload, and must not eject the whole tier.
    pub(super) fn candidates(&self, now: Micros, tier: Tier) -> Vec<Candidate<'_>> {
        let best = self.best_bad_share(now, tier);
        let health = |endpoint: &TrackedEndpoint| {
            let excess = endpoint.health.bad_share(now) - best - TOLERATED_BAD_SHARE;
            1.0 - excess / (EJECTION_BAD_SHARE - TOLERATED_BAD_SHARE)
        };
        let of_tier = self.endpoints.iter().filter(|(_, endpoint)| endpoint.listed.tier == tier);
        let usable = of_tier.filter(|(_, endpoint)| endpoint.is_usable());
        let candidates = usable.map(|(id, endpoint)| {
            let share = self.warm_fraction(now, endpoint).min(health(endpoint)).max(0.0);
            Candidate { id: *id, endpoint, share }
        });
        candidates.collect()
    }

    /// The number of the location's caches that are listed as active but get no new attempts.
    pub fn ejected_caches(&self, now: Micros) -> usize {
        let active = self.endpoints.values().filter(|endpoint| endpoint.is_active_cache()).count();
        let candidates = self.candidates(now, Tier::Cache);
        active - candidates.iter().filter(|candidate| candidate.share > 0.0).count()
    }
}
