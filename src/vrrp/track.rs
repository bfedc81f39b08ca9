//! Tracked objects and the priority that follows from them. Each object has a value that is sampled over and over; it
//! counts as failed once the value was out of bounds for a while, and as recovered once it was back for a while. No I/O.

use super::message::OWNER_PRIORITY;
use serde::Deserialize;
use std::collections::VecDeque;
use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// An object whose value is tracked. The operator file and the admin call spell it as in the first version.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TrackedObject {
    /// Share of this location's caches that accept new requests and are not ejected.
    #[serde(rename = "pool")]
    CachePool,
    /// Fullness of the admission queue, from 0 to 1.
    #[serde(rename = "door")]
    AdmissionQueue,
    /// Share of rejected and failed requests among those that ended within [`SHARE_WINDOW_MS`].
    #[serde(rename = "refused")]
    RejectedShare,
    /// Milliseconds since the registry last answered.
    Registry,
    /// Share of a gRPC pool's backends that accept calls and are not ejected.
    #[serde(rename = "grpc")]
    GrpcPool(String),
    /// 1 if a file exists, 0 otherwise: a switch for operators.
    File(PathBuf),
}

impl fmt::Display for TrackedObject {
    /// Writes the name in the admin call.
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
    /// The current value of an object, or none if it is unknown.
    fn value(&self, object: &TrackedObject) -> Option<f64>;
}

/// Time over which [`TrackedObject::RejectedShare`] is measured, in milliseconds.
pub const SHARE_WINDOW_MS: f64 = 3_000.0;
/// Least number of ended requests from which a share is computed.
const MIN_ENDED_REQUESTS: u64 = 20;
/// Longest delay of a rule, in milliseconds.
const MAX_DELAY_MS: f64 = 3_600_000.0;

/// A tracking rule of the operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrackRule {
    /// The tracked object.
    #[serde(rename = "what")]
    pub object: TrackedObject,
    /// The object is out of bounds below this value.
    #[serde(default)]
    pub below: Option<f64>,
    /// The object is out of bounds above this value.
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

/// A tracking rule that cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TrackRuleError {
    /// The rule has no bound, both bounds, or one that is not a number.
    #[error("{0}: exactly one of `below` and `above` is needed")]
    Bounds(TrackedObject),
    /// The rule has no effect, or both effects.
    #[error("{0}: exactly one of `lower_by` and `fault` is needed")]
    Effect(TrackedObject),
    /// A delay is out of range.
    #[error("{0}: `after_ms` and `back_ms` must be within 0 to {MAX_DELAY_MS}")]
    Delay(TrackedObject),
}

impl TrackRule {
    /// Checks the values of all fields.
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

/// Tracks one object by its rule.
#[derive(Clone, Debug)]
pub struct Tracker {
    rule: TrackRule,
    failed: bool,
    value: Option<f64>,
    /// Since when the value contradicts `failed`, in milliseconds.
    contradicted_since_ms: Option<f64>,
}

impl Tracker {
    /// Creates a tracker whose object is not failed.
    pub fn new(rule: TrackRule) -> Self {
        Self::with_state(rule, false)
    }

    /// Creates a tracker whose object is failed or not, as under an earlier rule.
    pub fn with_state(rule: TrackRule, failed: bool) -> Self {
        Self { rule, failed, value: None, contradicted_since_ms: None }
    }

    /// The rule.
    pub fn rule(&self) -> &TrackRule {
        &self.rule
    }

    /// Whether the object is failed.
    pub fn is_failed(&self) -> bool {
        self.failed
    }

    /// The last value, or none if it was unknown.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Applies the value at `now`. Returns whether the object failed or recovered. An unknown value changes nothing and
    /// restarts the wait.
    pub fn sample(&mut self, now: f64, value: Option<f64>) -> bool {
        self.value = value;
        let out_of_bounds = value.map(|value| self.rule.is_out_of_bounds(value));
        let Some(out_of_bounds) = out_of_bounds.filter(|out_of_bounds| *out_of_bounds != self.failed) else {
            self.contradicted_since_ms = None;
            return false;
        };
        let since = *self.contradicted_since_ms.get_or_insert(now);
        let delay = if out_of_bounds { self.rule.fail_after_ms } else { self.rule.recover_after_ms };
        if now - since < delay {
            return false;
        }
        (self.failed, self.contradicted_since_ms) = (out_of_bounds, None);
        true
    }
}

/// What follows from the tracked objects for the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedPriority {
    /// Priority after all reductions, 1 at least.
    pub priority: u8,
    /// Whether the router is in the fault state.
    pub fault: bool,
}

impl TrackedPriority {
    /// Applies the failed objects to the configured priority. The owner's priority is not reduced.
    pub fn of(configured: u8, trackers: &[Tracker]) -> Self {
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

/// Counts of ended requests since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRequests {
    /// All requests that ended.
    pub total: u64,
    /// Rejected and failed requests among them.
    pub rejected: u64,
}

/// Share of rejected requests over a sliding window, from counts that only grow.
#[derive(Clone, Debug, Default)]
pub struct RejectedShare {
    /// Times in milliseconds, and the counts at these times.
    samples: VecDeque<(f64, EndedRequests)>,
}

impl RejectedShare {
    /// Adds the counts at `now`. Returns the share within [`SHARE_WINDOW_MS`], or none if too few requests ended.
    pub fn sample(&mut self, now: f64, ended: EndedRequests) -> Option<f64> {
        self.samples.push_back((now, ended));
        while self.samples.get(1).is_some_and(|(at, _)| now - at >= SHARE_WINDOW_MS) {
            self.samples.pop_front();
        }
        let (_, before) = *self.samples.front()?;
        let total = ended.total.saturating_sub(before.total);
        let rejected = ended.rejected.saturating_sub(before.rejected);
        (total >= MIN_ENDED_REQUESTS).then(|| rejected as f64 / total as f64)
    }
}

#[cfg(test)]
mod tests;
