//! A leaky bucket used as a meter.

use crate::Micros;

/// A level that drains at a constant rate. The caller passes the rate, per microsecond, to each method.
#[derive(Clone, Copy, Debug)]
pub struct LeakyBucket {
    level: f64,
    at: Micros,
}

impl LeakyBucket {
    /// A bucket that holds `level` at `now`.
    pub fn new(now: Micros, level: f64) -> Self {
        Self { level, at: now }
    }

    /// The current level.
    pub fn level(&self, now: Micros, rate: f64) -> f64 {
        (self.level - now.saturating_sub(self.at) as f64 * rate).max(0.0)
    }

    /// Adds `amount` to the level.
    pub fn add(&mut self, now: Micros, rate: f64, amount: f64) {
        *self = Self { level: self.level(now, rate) + amount, at: now };
    }
}
