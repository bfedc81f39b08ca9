//! The next step of the registry client, and the backoff after failures. No I/O.

use super::view::EndpointView;
use crate::backoff::{Backoff, BackoffDelay};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// The next step of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read all endpoints: none were read yet, or changes since were compacted away.
    ReadAll,
    /// Watch for changes.
    Watch {
        /// The first revision of interest.
        from_revision: i64,
    },
}

/// Failures of the client and the time-out of a watch.
#[derive(Clone, Debug)]
pub struct Session {
    retry_delay: BackoffDelay,
    /// Failures since the registry last answered.
    pub failures: u32,
    /// The time without a message after which a watch counts as broken, in milliseconds.
    pub silence_timeout_ms: f64,
    rng: SmallRng,
}

impl Session {
    /// A session without failures.
    pub fn new(backoff: Backoff, silence_timeout_ms: f64, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { retry_delay: backoff.start(), failures: 0, silence_timeout_ms, rng }
    }

    /// The next step, by the state of the view.
    pub fn next_step(&self, view: &EndpointView) -> Step {
        view.resume_from().map_or(Step::ReadAll, |from_revision| Step::Watch { from_revision })
    }

    /// Records that the registry answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.retry_delay.reset();
    }

    /// Records that a call failed or a watch broke. Returns the delay before the next attempt, in milliseconds: none
    /// for the first failure after an answer, so that a watch which the registry ends is opened again at once.
    pub fn record_failure(&mut self) -> f64 {
        self.failures += 1;
        if self.failures == 1 {
            return 0.0;
        }
        self.retry_delay.next_ms(&mut self.rng)
    }
}

#[cfg(test)]
mod tests;
