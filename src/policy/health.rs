//! What outcomes say of each member: evidence that fades, blame for failures, probes, and the share of new
//! work that health and slow start leave.

use super::{Actions, KnownEndpoint, Reach, Router};
use crate::interface::*;
use crate::stats::{DecayingShare, DecayingSum, LeakyBucket};

/// Half-life of evidence on a router's classes and of often asked endpoints, us: tens of outcomes come in that
/// time, and what outlives its cause refuses what would be served.
pub(super) const EVIDENCE_HALF_LIFE: f64 = 1_000_000.0;
/// Outcomes that an endpoint's half-life should hold: where one router sends an endpoint less than one request a
/// second, evidence that fades by the clock alone never adds up to a verdict ...
const EVIDENCE_OUTCOMES: f64 = 10.0;
/// ... and the longest half-life for that, us.
pub(super) const MAX_HALF_LIFE: f64 = 10_000_000.0;
/// Outcomes, good or bad, from which on an endpoint is an example to its peers: a new process has none.
const MIN_EVIDENCE: f64 = 0.5;
/// Good outcomes that are taken for granted, so that one failure proves little.
const HEALTH_PRIOR: f64 = 1.5;
/// Share of bad outcomes above the best peer's up to which an endpoint counts as healthy.
const BAD_TOLERATED: f64 = 0.15;
/// The same, at which it gets nothing.
const BAD_OUT: f64 = 0.5;
/// Weight of an outcome that names its culprit by itself, such as no connection, in outcomes.
const PLAIN_FAILURE: f64 = 2.0;
/// Weight of a connection that broke, in outcomes: one alone is tolerated. Where its process died, the next
/// connect says so.
const BROKEN: f64 = 0.25;
/// Weight of an answer past its aim, in bad outcomes: slowness is a failure, but overload is slow too.
const LATE_FAILURE: f64 = 0.5;
/// What a served attempt says of its source where notes don't tell hits from fills, in good outcomes: most
/// were hits, and would hide a source that fails.
const SOURCE_CREDIT: f64 = 0.1;
/// The most bad evidence held, in outcomes ...
const MAX_BAD: f64 = 10.0;
/// ... and in time to fade, us: the longest wait of a recovered endpoint for its first trickle at any router.
const BAD_WAIT: f64 = 5_000_000.0;
/// The most good evidence held, in outcomes: a long good past must not hide a sudden failure.
const MAX_GOOD: f64 = 15.0;
/// What a full failure leaves of the good evidence: a run of failures tells more than their share.
const GOOD_LEFT: f64 = 0.8;
/// Suspicion of an endpoint without a bad outcome, beside the share of bad ones.
const MIN_SUSPICION: f64 = 0.1;
/// How much more suspect than the other an endpoint of a path that mostly fails must be to get all the
/// blame: a part of a failing cache's many errors would be enough to drown what its sources serve well.
const CULPRIT: f64 = 2.5;
/// Failures in a row from which on a cache is probed, and probes without an answer that say it is down.
const PROBE_RUN: u32 = 2;
/// Least time between probes of an endpoint that answers, us: probes have a price.
const MIN_PROBE_GAP: Micros = 3_000_000;
/// Time after a probe without an answer until the next, us ...
const PROBE_DOUBT: Micros = 300_000;
/// ... and once the endpoint is down: a successor should be met soon after it starts.
const PROBE_AGAIN: Micros = 1_000_000;
/// The timer tokens of those times, with the endpoint's id below.
const PROBE_TIMER: u64 = 1 << 32;

/// What outcomes and probes have said of an endpoint.
#[derive(Default)]
pub(super) struct Health {
    outcomes: DecayingShare,
    /// Outcomes of this router's over MAX_HALF_LIFE, for how fast evidence may fade.
    asked: DecayingSum,
    /// Failures in a row with it on the path, and unanswered probes in a row.
    pub(super) run: u32,
    misses: u32,
    probed_at: Micros,
    /// Its process does not answer: nothing goes there until a probe is answered ...
    pub(super) down: bool,
    /// ... which is then taken for its start, since the list tells of it seconds later.
    pub(super) revived: Micros,
    /// When it last answered this router: it did not hang then.
    pub(super) heard: Micros,
}

impl Health {
    /// Half-life of an endpoint's evidence: longer, the less this router asks of it.
    fn half_life(&self, now: Micros) -> f64 {
        let per_us = self.asked.rate(now, MAX_HALF_LIFE);
        (EVIDENCE_OUTCOMES / per_us).clamp(EVIDENCE_HALF_LIFE, MAX_HALF_LIFE)
    }
    /// Share of bad outcomes, as far as the evidence goes.
    fn bad_rate(&self, now: Micros) -> f64 {
        self.outcomes.bad_share(now, self.half_life(now), HEALTH_PRIOR)
    }
}

impl Router {
    /// The least share of bad outcomes among a role's peers. A lone parent, or all of them, may limp while
    /// the origin is healthy: it is their peer as a source. What nothing is known of is no example.
    fn least_bad(&self, now: Micros, tier: Tier) -> f64 {
        let peer =
            |m: &KnownEndpoint| m.line.tier == tier || (tier == Tier::Parent && m.line.tier == Tier::Origin);
        let known = |m: &&KnownEndpoint| m.health.asked.value(now, MAX_HALF_LIFE) >= MIN_EVIDENCE;
        let peers = self.endpoints.values().filter(|m| m.able() && peer(m)).filter(known);
        peers.map(|m| m.health.bad_rate(now)).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Whether an endpoint fails more than is tolerated beside its best peer.
    pub(super) fn stands_out(&self, now: Micros, id: EndpointId) -> bool {
        let worse =
            |m: &KnownEndpoint| m.health.bad_rate(now) > self.least_bad(now, m.line.tier) + BAD_TOLERATED;
        self.endpoints.get(&id).is_some_and(worse)
    }

    /// Endpoints of a role that may get new work, with their share: the lesser of slow start and health.
    /// Health counts what an endpoint does worse than its best peer: when all fail alike it is the origin, the
    /// link or overload, and no circuit breaker may answer that by emptying the fleet or moving its objects.
    pub(super) fn shares(&self, now: Micros, tier: Tier) -> Vec<(EndpointId, &KnownEndpoint, f64)> {
        let able = self.endpoints.iter().filter(|(_, m)| m.line.tier == tier && m.able());
        let best = self.least_bad(now, tier);
        let health = |m: &KnownEndpoint| {
            1.0 - (m.health.bad_rate(now) - best - BAD_TOLERATED) / (BAD_OUT - BAD_TOLERATED)
        };
        able.map(|(id, m)| (*id, m, self.warmth(now, m).min(health(m)).max(0.0))).collect()
    }

    /// How many caches of the location get nothing new though they are listed as live.
    pub fn ejected_caches(&self, now: Micros) -> usize {
        let shares = self.shares(now, Tier::Cache);
        let live = |m: &&KnownEndpoint| m.line.tier == Tier::Cache && m.line.state == EndpointState::Active;
        self.endpoints.values().filter(live).count()
            - shares.iter().filter(|(.., share)| *share > 0.0).count()
    }

    /// Learns from an outcome: the class's pace, what may be asked, and who on the path succeeded or failed.
    pub(super) fn learn(&mut self, now: Micros, outcome: &Event) {
        let Event::AttemptEnded { id, attempt, outcome, cache_status, elapsed, .. } = *outcome else {
            return;
        };
        let Some(req) = self.requests.get(&id) else { return };
        let (class, reach, a) = (req.class, req.reach, &req.attempts[attempt as usize]);
        let (to, source) = (a.to, a.source.filter(|s| *s != a.to));
        let (elapsed, work) = (elapsed as f64, self.set.sending_time(req.size_kb));
        let (late, held_only) = (elapsed > self.latency_objective(req), a.source == Some(to));
        // Guards the endpoints against impatient clients: a wait that its client cut short proves nothing.
        if outcome == AttemptOutcome::TimedOut && a.cut && !late {
            return;
        }
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::TimedOut) {
            self.learn_room(now, to, late);
            self.pace[class].learn(outcome, work, elapsed);
        }
        let cache_status =
            if held_only && outcome == AttemptOutcome::Served { CacheStatus::Hit } else { cache_status };
        if cache_status != CacheStatus::Hit && reach == Reach::Origin {
            self.learn_fill(now, id, (to, source), outcome, elapsed);
        }
        let answers = &mut self.pace[class].answers;
        match outcome {
            AttemptOutcome::Served if held_only => {}
            AttemptOutcome::Served if !late => answers.good.add(now, EVIDENCE_HALF_LIFE, 1.0),
            AttemptOutcome::Served | AttemptOutcome::TimedOut => {
                answers.bad.add(now, EVIDENCE_HALF_LIFE, 1.0)
            }
            _ => {}
        }
        match (outcome, cache_status) {
            (
                AttemptOutcome::Cancelled
                | AttemptOutcome::NotSent
                | AttemptOutcome::CacheMiss
                | AttemptOutcome::Malformed,
                _,
            ) => {}
            (_, CacheStatus::FillLimitReached) => {}
            (AttemptOutcome::Served, CacheStatus::Hit) => self.credit(now, to, !late, 1.0, LATE_FAILURE),
            (AttemptOutcome::Served, _) if !late => {
                self.credit(now, to, true, 1.0, 0.0);
                // Without notes most answers are hits, which say nothing of the source.
                let sure = if self.set.reports_cache_status { 1.0 } else { SOURCE_CREDIT };
                source.into_iter().for_each(|s| self.credit(now, s, true, sure, 0.0));
            }
            // Late without a note: it may be a hit on a full link, and a source must not be left for that.
            (AttemptOutcome::Served, CacheStatus::Unknown) => self.credit(now, to, false, 0.0, LATE_FAILURE),
            (AttemptOutcome::Served, _) => self.blame(now, to, source, LATE_FAILURE),
            (AttemptOutcome::NoConnection, CacheStatus::Unknown) => {
                self.credit(now, to, false, 0.0, PLAIN_FAILURE)
            }
            (AttemptOutcome::ConnectionLost, CacheStatus::Unknown) => {
                self.credit(now, to, false, 0.0, BROKEN)
            }
            (_, CacheStatus::SourceFailed) => self.blame(now, source.unwrap_or(to), None, PLAIN_FAILURE),
            (_, CacheStatus::OriginFailed) => {}
            _ => self.blame(now, to, source, 1.0),
        }
    }

    fn credit(&mut self, now: Micros, id: EndpointId, ok: bool, good: f64, bad: f64) {
        let Some(health) = self.endpoints.get_mut(&id).map(|m| &mut m.health) else { return };
        let half = health.half_life(now);
        health.asked.add(now, MAX_HALF_LIFE, if ok { good } else { bad }.min(1.0));
        if ok {
            health.outcomes.good.add_up_to(now, half, good, MAX_GOOD);
        } else {
            let most = MAX_BAD.min(HEALTH_PRIOR * (BAD_WAIT / half).exp2());
            health.outcomes.bad.add_up_to(now, half, bad, most);
            health.outcomes.good.scale(now, half, GOOD_LEFT.powf(bad.min(1.0)));
        }
    }

    /// Splits the blame for a failure that names no culprit by what either has shown on its other paths: a
    /// cache that fails with every source is the cache, a source that fails through every cache the source.
    fn blame(&mut self, now: Micros, to: EndpointId, source: Option<EndpointId>, weight: f64) {
        let suspicion =
            |id: EndpointId| self.endpoints.get(&id).map_or(0.0, |m| MIN_SUSPICION + m.health.bad_rate(now));
        let (there, behind) = (suspicion(to), source.map_or(0.0, suspicion));
        let part = match there / behind {
            ratio if ratio >= CULPRIT && there >= BAD_OUT => 1.0,
            ratio if ratio <= 1.0 / CULPRIT && behind >= BAD_OUT => 0.0,
            _ => there / (there + behind),
        };
        self.credit(now, to, false, 0.0, weight * part);
        source.into_iter().for_each(|s| self.credit(now, s, false, 0.0, weight * (1.0 - part)));
    }

    /// Asks an endpoint that failed whether its process answers. One router alone sees too few failures to tell
    /// a dead parent from a full one, and none at all of a restart that is over before the list tells of it.
    pub(super) fn suspect(&mut self, now: Micros, id: EndpointId, plain: bool, actions: &mut Actions) {
        let can_check_health = self.set.can_check_health;
        let Some(m) = self.endpoints.get_mut(&id).filter(|m| m.line.tier != Tier::Origin) else { return };
        m.health.run += 1;
        let doubt = plain || m.line.tier == Tier::Parent || m.health.run >= PROBE_RUN;
        let due = m.health.misses == 0 && now >= m.health.probed_at + MIN_PROBE_GAP;
        if can_check_health && doubt && due && m.line.state == EndpointState::Active {
            m.health.probed_at = now;
            actions.push(Action::CheckHealth { endpoint: id });
        }
    }

    /// A probe's timer came due: asks again where the last probe was not answered.
    pub(super) fn on_probe_due(&self, token: u64, actions: &mut Actions) {
        let id = (token & u64::from(EndpointId::MAX)) as EndpointId;
        if self
            .endpoints
            .get(&id)
            .is_some_and(|m| m.health.misses > 0 && m.line.state == EndpointState::Active)
        {
            actions.push(Action::CheckHealth { endpoint: id });
        }
    }

    pub(super) fn on_probed(
        &mut self,
        now: Micros,
        id: EndpointId,
        outcome: AttemptOutcome,
        actions: &mut Actions,
    ) {
        let spent = self.initial_spent();
        let Some(m) = self.endpoints.get_mut(&id) else { return };
        let plain = matches!(outcome, AttemptOutcome::NoConnection | AttemptOutcome::ConnectionLost);
        if plain || outcome == AttemptOutcome::TimedOut {
            m.health.misses += 1;
            // A probe may meet a pause; two in a row rarely do.
            m.health.down |= plain || m.health.misses >= PROBE_RUN;
            let at = now + if m.health.down { PROBE_AGAIN } else { PROBE_DOUBT };
            actions.push(Action::SetTimer { token: PROBE_TIMER | u64::from(id), at });
        } else {
            if std::mem::replace(&mut m.health.down, false) {
                // Most likely a new process, cold and empty: guards it against all coming back at once.
                (m.health.revived, m.spent) = (now, LeakyBucket::new(now, spent));
                m.health.outcomes = DecayingShare::default();
            }
            m.health.misses = 0;
        }
    }
}
