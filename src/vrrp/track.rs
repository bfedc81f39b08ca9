//! Tracked objects, and the priority and fault state of the router that result from them. The value of each
//! object is sampled periodically. An object fails when its value has been out of bounds for a configured
//! time, and recovers when the value has been within bounds for a configured time. No I/O.

use super::message::OWNER_PRIORITY;
use serde::Deserialize;
use std::collections::VecDeque;
use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// An object whose value is tracked. Its names in the configuration file and the admin call are kept for
/// compatibility.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TrackedObject {
    /// Fraction of this location's caches that accept new requests and are not ejected.
    #[serde(rename = "pool")]
    CachePool,
    /// Fill level of the admission queue, from 0 to 1.
    #[serde(rename = "door")]
    AdmissionQueue,
    /// Fraction of rejected or failed requests among those that ended within the last
    /// [`REJECTED_SHARE_WINDOW_MS`].
    #[serde(rename = "refused")]
    RejectedShare,
    /// Time since the last response of the registry, in milliseconds.
    Registry,
    /// Fraction of a gRPC pool's backends that accept calls and are not ejected.
    #[serde(rename = "grpc")]
    GrpcPool(String),
    /// 1 if a file exists, 0 otherwise: a manual switch for operators and scripts.
    File(PathBuf),
}

impl fmt::Display for TrackedObject {
    /// Writes the name that the admin call and the log use.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CachePool => f.write_str("Pool"),
            Self::AdmissionQueue => f.write_str("Door"),
            Self::RejectedShare => f.write_str("Refused"),
            Self::Registry => f.write_str("Registry"),
            Self::GrpcPool(pool) => write!(f, "Grpc({pool:?})"),
            Self::File(path) => write!(f, "File({path:?})"),
        }
    }
}

/// Source of the values of tracked objects.
pub trait TrackedValues {
    /// The current value of an object, or `None` if it is unknown.
    fn value(&self, object: &TrackedObject) -> Option<f64>;
}

/// Length of the sliding window of [`TrackedObject::RejectedShare`], in milliseconds.
pub const REJECTED_SHARE_WINDOW_MS: f64 = 3_000.0;
/// Minimum number of ended requests in the window; with fewer, the rejected share is unknown.
const MIN_ENDED_REQUESTS: u64 = 20;
/// Upper bound of the delays of a rule, in milliseconds.
const MAX_DELAY_MS: f64 = 3_600_000.0;

/// A tracking rule of the configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrackRule {
    /// The tracked object.
    #[serde(rename = "what")]
    pub object: TrackedObject,
    /// Lower bound of the value.
    #[serde(default)]
    pub below: Option<f64>,
    /// Upper bound of the value.
    #[serde(default)]
    pub above: Option<f64>,
    /// Reduction of the priority while the object is failed.
    #[serde(rename = "lower_by", default)]
    pub priority_reduction: u8,
    /// Whether the router is in the fault state while the object is failed.
    #[serde(default)]
    pub fault: bool,
    /// Time out of bounds after which the object is failed, in milliseconds.
    #[serde(rename = "after_ms", default = "default_fail_after_ms")]
    pub fail_after_ms: f64,
    /// Time within bounds after which the object has recovered, in milliseconds.
    #[serde(rename = "back_ms", default = "default_recover_after_ms")]
    pub recover_after_ms: f64,
}

fn default_fail_after_ms() -> f64 {
    500.0
}

fn default_recover_after_ms() -> f64 {
    3_000.0
}

/// An invalid tracking rule.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TrackRuleError {
    /// The rule has no bound, both bounds, or a bound that is not finite.
    #[error("{0}: exactly one of `below` and `above` must be set, to a finite number")]
    Bounds(TrackedObject),
    /// The rule has neither a priority reduction nor `fault`, or both.
    #[error("{0}: exactly one of `lower_by` and `fault` must be set")]
    Effect(TrackedObject),
    /// A delay is out of range.
    #[error("{0}: `after_ms` and `back_ms` must be between 0 and {MAX_DELAY_MS}")]
    Delay(TrackedObject),
}

impl TrackRule {
    /// Validates all fields.
    pub fn check(&self) -> Result<(), TrackRuleError> {
        let bounds = [self.below, self.above];
        if bounds.iter().flatten().count() != 1 || bounds.iter().flatten().any(|bound| !bound.is_finite()) {
            return Err(TrackRuleError::Bounds(self.object.clone()));
        }
        if (self.priority_reduction == 0) != self.fault {
            return Err(TrackRuleError::Effect(self.object.clone()));
        }
        let is_valid = |ms: f64| ms.is_finite() && (0.0..=MAX_DELAY_MS).contains(&ms);
        if !is_valid(self.fail_after_ms) || !is_valid(self.recover_after_ms) {
            return Err(TrackRuleError::Delay(self.object.clone()));
        }
        Ok(())
    }

    fn is_out_of_bounds(&self, value: f64) -> bool {
        self.below.is_some_and(|bound| value < bound) || self.above.is_some_and(|bound| value > bound)
    }
}

/// Tracks the value of one object against its rule.
#[derive(Clone, Debug)]
pub struct Tracker {
    rule: TrackRule,
    failed: bool,
    value: Option<f64>,
    /// Since when the samples have contradicted `failed`, in milliseconds; `None` if the last one did not.
    transition_pending_since_ms: Option<f64>,
}

impl Tracker {
    /// Creates a tracker of an object that has not failed.
    pub fn new(rule: TrackRule) -> Self {
        Self::with_state(rule, false)
    }

    /// Creates a tracker that keeps the state of the object under its previous rule.
    pub fn with_state(rule: TrackRule, failed: bool) -> Self {
        Self { rule, failed, value: None, transition_pending_since_ms: None }
    }

    /// The rule that applies to the object.
    pub fn rule(&self) -> &TrackRule {
        &self.rule
    }

    /// Whether the object has failed and not yet recovered.
    pub fn is_failed(&self) -> bool {
        self.failed
    }

    /// The last sampled value, or `None` if it was unknown.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Applies the value sampled at `now`. Returns whether the object failed or recovered. An unknown value
    /// keeps the state and restarts the delay.
    pub fn sample(&mut self, now: f64, value: Option<f64>) -> bool {
        self.value = value;
        let out_of_bounds = value.map(|value| self.rule.is_out_of_bounds(value));
        let Some(out_of_bounds) = out_of_bounds.filter(|out_of_bounds| *out_of_bounds != self.failed) else {
            self.transition_pending_since_ms = None;
            return false;
        };
        let since = *self.transition_pending_since_ms.get_or_insert(now);
        let delay = if out_of_bounds { self.rule.fail_after_ms } else { self.rule.recover_after_ms };
        if now - since < delay {
            return false;
        }
        (self.failed, self.transition_pending_since_ms) = (out_of_bounds, None);
        true
    }
}

/// The effect of the tracked objects on the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackingEffect {
    /// Priority after all reductions, at least 1.
    pub priority: u8,
    /// Whether the router must be in the fault state.
    pub fault: bool,
}

impl TrackingEffect {
    /// Reduces the configured priority by the rules of all failed objects. The owner's priority is never
    /// reduced.
    pub fn compute(configured: u8, trackers: &[Tracker]) -> Self {
        let failed_rules = || trackers.iter().filter(|tracker| tracker.failed).map(|tracker| &tracker.rule);
        let fault = failed_rules().any(|rule| rule.fault);
        if configured == OWNER_PRIORITY {
            return Self { priority: configured, fault };
        }
        let reduction: u32 = failed_rules().map(|rule| u32::from(rule.priority_reduction)).sum();
        let priority = u32::from(configured).saturating_sub(reduction).max(1) as u8;
        Self { priority, fault }
    }
}

/// Cumulative counts of ended requests since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRequests {
    /// All requests that ended.
    pub total: u64,
    /// Requests that were rejected or failed.
    pub rejected: u64,
}

/// Computes the share of rejected requests in a sliding window from cumulative counts.
#[derive(Clone, Debug, Default)]
pub struct RejectedShare {
    /// Sampling times in milliseconds, each with the counts at that time.
    samples: VecDeque<(f64, EndedRequests)>,
}

impl RejectedShare {
    /// Adds the counts at `now`. Returns the share within [`REJECTED_SHARE_WINDOW_MS`], or `None` if too few
    /// requests ended.
    pub fn sample(&mut self, now: f64, ended: EndedRequests) -> Option<f64> {
        self.samples.push_back((now, ended));
        while self.samples.get(1).is_some_and(|(at, _)| now - at >= REJECTED_SHARE_WINDOW_MS) {
            self.samples.pop_front();
        }
        let (_, oldest) = *self.samples.front()?;
        let total = ended.total.saturating_sub(oldest.total);
        let rejected = ended.rejected.saturating_sub(oldest.rejected);
        (total >= MIN_ENDED_REQUESTS).then(|| rejected as f64 / total as f64)
    }
}

#[cfg(test)]
mod tests;
