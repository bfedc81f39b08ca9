//! When the registry client tries again, and when a link that says nothing counts as broken. No I/O.

use super::view::MemberView;
use crate::purge::fanout::Backoff;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

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
    backoff: Backoff,
    wait_ms: f64,
    /// Failures since the registry last answered.
    pub failures: u32,
    /// Silence on a watch after which it counts as broken, in milliseconds.
    pub stall_ms: f64,
    rng: SmallRng,
}

impl Session {
    /// A session that has not failed yet.
    pub fn new(backoff: Backoff, stall_ms: f64, seed: u64) -> Self {
        Self { wait_ms: backoff.first_ms, backoff, failures: 0, stall_ms, rng: SmallRng::seed_from_u64(seed) }
    }

    /// What comes next, by what the view holds.
    pub fn step(&self, view: &MemberView) -> Step {
        view.resume_from().map_or(Step::Read, Step::Watch)
    }

    /// The registry answered: the next failure waits the least again.
    pub fn heard(&mut self) {
        (self.failures, self.wait_ms) = (0, self.backoff.first_ms);
    }

    /// A call failed or a watch broke; how long to wait before the next, in milliseconds. The first failure
    /// after an answer waits not at all: a watch that a registry ends is made anew at once.
    pub fn failed(&mut self) -> f64 {
        self.failures += 1;
        if self.failures == 1 {
            return 0.0;
        }
        let jitter = self.backoff.jitter.clamp(0.0, 1.0);
        let wait = self.wait_ms * (1.0 - jitter + jitter * self.rng.random_range(0.0..1.0));
        self.wait_ms = (self.wait_ms * self.backoff.factor.max(1.0)).min(self.backoff.most_ms);
        wait
    }
}

#[cfg(test)]
mod tests;
