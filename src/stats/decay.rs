//! Sums that decay exponentially with time, and the share of one of two such sums.

use crate::Micros;

/// An exponentially decaying sum. The caller passes the half-life, in microseconds, to each method.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Micros,
}

impl DecayingSum {
    /// Creates a sum with an initial value, which decays from the first change on.
    pub fn starting_with(sum: f64) -> Self {
        Self { sum, at: Micros::MAX }
    }

    /// The decayed sum.
    pub fn value(&self, now: Micros, half_life: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / half_life).exp2()
    }

    /// The rate of additions, per microsecond, at which the sum would stay constant.
    pub fn rate(&self, now: Micros, half_life: f64) -> f64 {
        self.value(now, half_life) * std::f64::consts::LN_2 / half_life
    }

    /// Adds `x`, which may be negative.
    pub fn add(&mut self, now: Micros, half_life: f64, x: f64) {
        *self = Self { sum: self.value(now, half_life) + x, at: now };
    }

    /// Adds `x`, up to a sum of `max`.
    pub fn add_up_to(&mut self, now: Micros, half_life: f64, x: f64, max: f64) {
        *self = Self { sum: (self.value(now, half_life) + x).min(max), at: now };
    }

    /// Multiplies the decayed sum by `factor`.
    pub fn scale(&mut self, now: Micros, half_life: f64, factor: f64) {
        *self = Self { sum: self.value(now, half_life) * factor, at: now };
    }
}

/// Exponentially decaying sums of good and bad outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingOutcomes {
    /// Good outcomes.
    pub good: DecayingSum,
    /// Bad outcomes.
    pub bad: DecayingSum,
}

impl DecayingOutcomes {
    /// The share of bad outcomes, in 0 to 1, with `prior` added to the good ones.
    pub fn bad_share(&self, now: Micros, half_life: f64, prior: f64) -> f64 {
        let (good, bad) = (self.good.value(now, half_life), self.bad.value(now, half_life));
        bad / (good + bad + prior)
    }
}
