//! The concurrency limit: how many admitted requests may be in flight at once.
//!
//! It is fixed, or adapts as TCP's congestion window does: additive increase while it binds and requests succeed, and a
//! multiplicative decrease, at most once per [`DECREASE_INTERVAL_MS`], when they meet an overload.

use super::decision::Completion;
use serde::Deserialize;

/// The shortest time between two decreases of the limit, in milliseconds.
pub const DECREASE_INTERVAL_MS: f64 = 200.0;
/// The factor of a decrease.
pub const DECREASE_FACTOR: f64 = 0.9;
/// The weight of a new service time in the mean.
const SERVICE_TIME_GAIN: f64 = 0.05;
/// The mean service time until one is measured, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 100.0;

/// The settings of the limit, in requests in flight.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// Where it starts.
    #[serde(rename = "first")]
    pub initial: f64,
    /// The lower bound.
    #[serde(rename = "least")]
    pub min: f64,
    /// The upper bound.
    #[serde(rename = "most")]
    pub max: f64,
    /// Whether it adapts.
    #[serde(default)]
    pub adaptive: bool,
}

/// The limit and the service time by which a rate follows from it.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    current: f64,
    decreased_at_ms: f64,
    mean_service_ms: f64,
}

impl ConcurrencyLimit {
    /// A limit at its start.
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            current: settings.initial.clamp(settings.min, settings.max),
            decreased_at_ms: f64::NEG_INFINITY,
            mean_service_ms: INITIAL_SERVICE_MS,
        }
    }

    /// The limit as it stands.
    pub fn current(&self) -> f64 {
        self.current
    }

    /// The limit in whole requests, at least one.
    pub fn capacity(&self) -> usize {
        self.current.floor().max(1.0) as usize
    }

    /// The requests that are served in a millisecond at the limit, by Little's law.
    pub fn rate_per_ms(&self) -> f64 {
        self.current / self.mean_service_ms.max(1.0)
    }

    /// An admitted request ended after `service_ms`; `is_binding` where others are queued.
    pub fn completed(&mut self, now_ms: f64, service_ms: f64, completion: Completion, is_binding: bool) {
        if completion == Completion::Succeeded {
            self.mean_service_ms += SERVICE_TIME_GAIN * (service_ms.max(0.0) - self.mean_service_ms);
        }
        if self.settings.adaptive {
            self.adapt(now_ms, completion, is_binding);
        }
    }

    fn adapt(&mut self, now_ms: f64, completion: Completion, is_binding: bool) {
        match completion {
            Completion::Overloaded if now_ms >= self.decreased_at_ms + DECREASE_INTERVAL_MS => {
                self.decreased_at_ms = now_ms;
                self.current = (self.current * DECREASE_FACTOR).max(self.settings.min);
            }
            Completion::Succeeded if is_binding => {
                self.current = (self.current + 1.0 / self.current).min(self.settings.max);
            }
            _ => {}
        }
    }
}
