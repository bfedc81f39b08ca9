//! Seeded pseudorandom numbers.

use super::hash::unit_hash;

/// A reproducible sequence of pseudorandom numbers.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    /// Creates the sequence of a seed.
    pub fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next number, strictly between 0 and 1; numbers for different purposes are independent.
    pub fn next(&mut self, purpose: u64) -> f64 {
        self.state = self.state.wrapping_add(1);
        unit_hash(self.state, purpose)
    }
}
