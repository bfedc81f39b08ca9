//! A share in 0 to 1 that outcomes move in proportion to the time since the outcome before.

use crate::Micros;

/// How outcomes of one kind move a [`TimedShare`], for each second since the one before.
#[derive(Clone, Copy, Debug)]
pub struct Pressure {
    /// What a good outcome adds to the share.
    pub up: f64,
    /// The power of e by which a bad outcome divides the share.
    pub down: f64,
    /// Most seconds for which one outcome counts.
    pub max_gap: f64,
}

/// A share in 0 to 1, initially 1, that good outcomes raise and bad ones reduce. An outcome counts for the
/// time since the one before it of its kind, so that the mean share of a fleet does not depend on how many
/// endpoints share the same outcomes. `KINDS` kinds of outcomes are timed apart.
#[derive(Clone, Copy, Debug)]
pub struct TimedShare<const KINDS: usize> {
    value: f64,
    last: [Micros; KINDS],
}

impl<const KINDS: usize> Default for TimedShare<KINDS> {
    fn default() -> Self {
        Self { value: 1.0, last: [0; KINDS] }
    }
}

impl<const KINDS: usize> TimedShare<KINDS> {
    /// The share.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds an outcome of a kind: good, bad, or inconclusive, which only restarts the time. The share remains
    /// at `min` or above.
    pub fn add(&mut self, now: Micros, kind: usize, pressure: &Pressure, min: f64, good: Option<bool>) {
        let since = now.saturating_sub(self.last[kind]) as f64 / 1e6;
        let seconds = since.min(pressure.max_gap);
        self.last[kind] = now;
        match good {
            Some(true) => self.value = (self.value + pressure.up * seconds).min(1.0),
            Some(false) => self.value = (self.value * (-pressure.down * seconds).exp()).max(min),
            None => {}
        }
    }
}
