//! Moving mean and mean deviation, as TCP estimates round-trip times (Jacobson, 1988; RFC 6298).

/// Exponentially weighted mean of a series and of its distance from that mean.
#[derive(Clone, Copy, Debug)]
pub struct MeanDeviation {
    mean: f64,
    deviation: f64,
}

impl MeanDeviation {
    /// Creates an estimate with initial values.
    pub fn new(mean: f64, deviation: f64) -> Self {
        Self { mean, deviation }
    }

    /// Adds a sample, with `gain` as its weight.
    pub fn add(&mut self, x: f64, gain: f64) {
        self.deviation += gain * ((x - self.mean).abs() - self.deviation);
        self.mean += gain * (x - self.mean);
    }

    /// The mean plus a number of deviations.
    pub fn mean_plus_deviations(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }
}
