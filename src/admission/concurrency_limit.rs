//! The concurrency limit: the maximum number of admitted requests in flight.
//!
//! The limit is either fixed or adapts by additive increase and multiplicative decrease (AIMD): it increases
//! while requests succeed and others are queued, and decreases on overload, at most once per
//! [`DECREASE_INTERVAL_MS`].

use super::decision::Completion;
use serde::Deserialize;

/// The minimum time between two decreases of the limit, in milliseconds.
pub const DECREASE_INTERVAL_MS: f64 = 200.0;
/// The factor by which a decrease multiplies the limit.
pub const DECREASE_FACTOR: f64 = 0.9;
/// The weight of a new sample in the exponential moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 0.05;
/// The assumed mean service time before any request has succeeded, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 100.0;

/// The settings of the concurrency limit, in requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// The limit at startup.
    #[serde(rename = "first")]
    pub initial: f64,
    /// The lower bound.
    #[serde(rename = "least")]
    pub min: f64,
    /// The upper bound.
    #[serde(rename = "most")]
    pub max: f64,
    /// Whether the limit adapts; otherwise it is fixed.
    #[serde(default)]
    pub adaptive: bool,
}

/// The current limit, and the mean service time from which the service rate is estimated.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    current: f64,
    decreased_at_ms: f64,
    mean_service_ms: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit at its initial value.
    pub fn new(settings: LimitSettings) -> Self {
        Self {
            settings,
            current: settings.initial.clamp(settings.min, settings.max),
            decreased_at_ms: f64::NEG_INFINITY,
            mean_service_ms: INITIAL_SERVICE_MS,
        }
    }

    /// The current limit.
    pub fn current(&self) -> f64 {
        self.current
    }

    /// The current limit, rounded down to whole requests, but at least one.
    pub fn capacity(&self) -> usize {
        self.current.floor().max(1.0) as usize
    }

    /// The number of requests served per millisecond at the limit, by Little's law.
    pub fn rate_per_ms(&self) -> f64 {
        self.current / self.mean_service_ms.max(1.0)
    }

    /// Updates the limit and the mean service time after an admitted request ended. `has_queued` is
    /// whether other requests are queued.
    pub fn record_completion(
        &mut self,
        now_ms: f64,
        service_ms: f64,
        completion: Completion,
        has_queued: bool,
    ) {
        if completion == Completion::Succeeded {
            self.mean_service_ms += SERVICE_TIME_GAIN * (service_ms.max(0.0) - self.mean_service_ms);
        }
        if self.settings.adaptive {
            self.adapt(now_ms, completion, has_queued);
        }
    }

    fn adapt(&mut self, now_ms: f64, completion: Completion, has_queued: bool) {
        match completion {
            Completion::Overloaded if now_ms >= self.decreased_at_ms + DECREASE_INTERVAL_MS => {
                self.decreased_at_ms = now_ms;
                self.current = (self.current * DECREASE_FACTOR).max(self.settings.min);
            }
            Completion::Succeeded if has_queued => {
                self.current = (self.current + 1.0 / self.current).min(self.settings.max);
            }
            _ => {}
        }
    }
}
