//! Decides whether the registry client reads all endpoints or watches next, and computes the delays of its
//! retries. No I/O.

use super::view::EndpointView;
use crate::backoff::{Backoff, BackoffDelay};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// An operation of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read all endpoints, because no valid list was read yet or a watch can't be resumed.
    ReadAll,
    /// Watch for changes.
    Watch {
        /// Revision of the first change to receive.
        from_revision: i64,
    },
}

/// Retry state of the client.
#[derive(Clone, Debug)]
pub struct Session {
    retry_delay: BackoffDelay,
    /// Consecutive failures since the last full read or watch message other than `Created`.
    pub failures: u32,
    /// Idle timeout of a watch, in milliseconds.
    pub idle_timeout_ms: f64,
    rng: SmallRng,
}

impl Session {
    /// Creates a session without failures. `seed` seeds the jitter.
    pub fn new(backoff: Backoff, idle_timeout_ms: f64, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { retry_delay: backoff.start(), failures: 0, idle_timeout_ms, rng }
    }

    /// Selects the next step from the state of the view.
    pub fn next_step(&self, view: &EndpointView) -> Step {
        view.next_watch_revision().map_or(Step::ReadAll, |from_revision| Step::Watch { from_revision })
    }

    /// Records a full read or a watch message, and resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_delay.reset();
    }

    /// Records a failed call or watch and returns the delay before the next attempt, in milliseconds. The
    /// delay is 0 for the first failure after a success, so that a watch canceled by the registry is reopened
    /// immediately.
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
