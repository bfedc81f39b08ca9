//! Random draws that a seed makes repeatable.

use super::hash::unit;

/// A sequence of draws; the same seed gives the same draws.
#[derive(Clone, Debug)]
pub struct SeededDraws {
    state: u64,
}

impl SeededDraws {
    /// The sequence of a seed.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next draw, strictly between 0 and 1; draws for different purposes are independent.
    pub fn next(&mut self, purpose: u64) -> f64 {
        self.state = self.state.wrapping_add(1);
        unit(self.state, purpose)
    }
}
