//! Additive increase and multiplicative decrease, as in TCP's congestion avoidance (Chiu and Jain, 1989).

/// A limit that grows by a step and is cut by a factor, within bounds.
#[derive(Clone, Copy, Debug)]
pub struct Aimd {
    /// The limit.
    pub value: f64,
    /// What an increase adds.
    pub step: f64,
    /// What a decrease leaves, as a part.
    pub factor: f64,
    /// The least limit.
    pub min: f64,
    /// The highest limit.
    pub max: f64,
}

impl Aimd {
    /// Grows by the step.
    pub fn increase(&mut self) {
        self.value = (self.value + self.step).min(self.max);
    }

    /// Cuts to the factor.
    pub fn decrease(&mut self) {
        self.value = (self.value * self.factor).max(self.min);
    }
}
