//! Exponential backoff with jitter for failed connections and calls. No I/O and no clock.

use rand::{Rng, RngExt};

/// Backoff parameters, as configured in operator files.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backoff {
    /// The delay after the first failure, in milliseconds.
    pub first_ms: f64,
    /// The factor by which the delay grows after each further failure.
    pub factor: f64,
    /// The maximum delay, in milliseconds.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
    /// The fraction of each delay that is random, from 0 to 1.
    pub jitter: f64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first_ms: 100.0, factor: 2.0, max_ms: 2_000.0, jitter: 0.2 }
    }
}

impl Backoff {
    /// The bounds that [`Self::is_valid`] checks, for error messages. Uses the field names of operator
    /// files.
    pub const BOUNDS: &'static str = "first_ms 1 to most_ms, factor 1 to 10, jitter 0 to 1";

    /// Whether every value is within its bounds.
    pub fn is_valid(&self) -> bool {
        self.first_ms >= 1.0
            && self.max_ms >= self.first_ms
            && (1.0..=10.0).contains(&self.factor)
            && (0.0..=1.0).contains(&self.jitter)
    }

    /// Starts the delay sequence of one target.
    pub fn start(&self) -> BackoffDelay {
        BackoffDelay { backoff: *self, base_ms: self.first_ms }
    }
}

/// The state of the delay sequence of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct BackoffDelay {
    backoff: Backoff,
    /// The next delay without jitter, in milliseconds.
    base_ms: f64,
}

impl BackoffDelay {
    /// Returns the delay before the next retry, in milliseconds, and increases the following one.
    pub fn next_ms(&mut self, rng: &mut impl Rng) -> f64 {
        let jitter = self.backoff.jitter.clamp(0.0, 1.0);
        let delay_ms = self.base_ms * (1.0 - jitter + jitter * rng.random_range(0.0..1.0));
        self.base_ms = (self.base_ms * self.backoff.factor.max(1.0)).min(self.backoff.max_ms);
        delay_ms
    }

    /// Resets the sequence to the first delay after a success.
    pub fn reset(&mut self) {
        self.base_ms = self.backoff.first_ms;
    }
}
