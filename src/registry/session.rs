//! When the registry client tries again, and when a link that says nothing counts as broken. No I/O.

use super::view::MemberView;
use crate::backoff::{Backoff, BackoffDelay};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// What the client does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read every endpoint: nothing is held yet, or the changes since were compacted away.
    Read,
    /// Watch for changes from this revision on.
    Watch(i64),
}

/// The link's state of mind.
#[derive(Clone, Debug)]
pub struct Session {
    retry_delay: BackoffDelay,
    /// Failures since the registry last answered.
    pub failures: u32,
    /// Silence on a watch after which it counts as broken, in milliseconds.
    pub stall_ms: f64,
    rng: SmallRng,
}

impl Session {
    /// A session that has not failed yet.
    pub fn new(backoff: Backoff, stall_ms: f64, seed: u64) -> Self {
        Self { retry_delay: backoff.start(), failures: 0, stall_ms, rng: SmallRng::seed_from_u64(seed) }
    }

    /// What comes next, by what the view holds.
    pub fn step(&self, view: &MemberView) -> Step {
        view.resume_from().map_or(Step::Read, Step::Watch)
    }

    /// The registry answered: the next failure waits the least again.
    pub fn heard(&mut self) {
        self.failures = 0;
        self.retry_delay.reset();
    }

    /// A call failed or a watch broke; how long to wait before the next, in milliseconds. The first failure
    /// after an answer waits not at all: a watch that a registry ends is made anew at once.
    pub fn failed(&mut self) -> f64 {
        self.failures += 1;
        if self.failures == 1 {
            return 0.0;
        }
        self.retry_delay.next_ms(&mut self.rng)
    }
}

#[cfg(test)]
mod tests;
