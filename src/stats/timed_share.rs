//! A share in 0 to 1 that each outcome changes in proportion to the time since the previous one.

use crate::Micros;

/// How outcomes of one kind change an [`AdaptiveShare`], per second since the previous outcome.
#[derive(Clone, Copy, Debug)]
pub struct ShareRates {
    /// Amount that a good outcome adds to the share, per second.
    pub increase_per_s: f64,
    /// Rate of the exponential decay by a bad outcome, per second.
    pub decay_per_s: f64,
    /// Maximum number of seconds for which one outcome counts.
    pub max_gap_s: f64,
}

/// A share in 0 to 1, initially 1, that good outcomes increase and bad ones reduce. An outcome counts for the
/// time since the previous one of its kind, so that the mean share of a fleet does not depend on the number
/// of routers among which the outcomes are distributed. The `KINDS` kinds of outcomes are timed separately.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveShare<const KINDS: usize> {
    value: f64,
    last: [Micros; KINDS],
}

impl<const KINDS: usize> Default for AdaptiveShare<KINDS> {
    fn default() -> Self {
        Self { value: 1.0, last: [0; KINDS] }
    }
}

impl<const KINDS: usize> AdaptiveShare<KINDS> {
    /// The current share.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds an outcome of a kind: good, bad, or inconclusive (`None`), which only updates the time of the
    /// last outcome. The share does not fall below `min`.
    pub fn add(&mut self, now: Micros, kind: usize, rates: &ShareRates, min: f64, good: Option<bool>) {
        let since = now.saturating_sub(self.last[kind]) as f64 / 1e6;
        let seconds = since.min(rates.max_gap_s);
        self.last[kind] = now;
        match good {
            Some(true) => self.value = (self.value + rates.increase_per_s * seconds).min(1.0),
            Some(false) => self.value = (self.value * (-rates.decay_per_s * seconds).exp()).max(min),
            None => {}
        }
    }
}
