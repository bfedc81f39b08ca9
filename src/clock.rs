//! The clock of the proxy: Unix time in milliseconds as a floating-point number. Tests set it by hand.

use crate::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A clock that all parts of a proxy share. Clones have the same time.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Rc<Source>,
}

#[derive(Debug)]
enum Source {
    /// The system's clock, with the latest time that was read.
    System(Cell<f64>),
    /// A time set by a test.
    Manual(Cell<f64>),
}

impl Clock {
    /// The system's Unix clock. It never runs backwards, also where the system's does.
    pub fn system() -> Self {
        Self { source: Rc::new(Source::System(Cell::new(0.0))) }
    }

    /// A clock that stands still at `ms` until it is set.
    pub fn manual(ms: f64) -> Self {
        Self { source: Rc::new(Source::Manual(Cell::new(ms))) }
    }

    /// Unix milliseconds.
    pub fn now(&self) -> f64 {
        match &*self.source {
            Source::Manual(at) => at.get(),
            Source::System(last) => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
                let now = (since.as_secs_f64() * 1_000.0).max(last.get());
                last.set(now);
                now
            }
        }
    }

    /// Advances a manual clock by `ms`; the system's clock is not affected.
    pub fn advance(&self, ms: f64) {
        if let Source::Manual(at) = &*self.source {
            at.set(at.get() + ms.max(0.0));
        }
    }
}

/// Converts milliseconds to the decision module's microseconds.
pub fn micros_from_ms(ms: f64) -> Micros {
    (ms.max(0.0) * 1_000.0) as Micros
}

/// Converts the decision module's microseconds to milliseconds.
pub fn ms_from_micros(us: Micros) -> f64 {
    us as f64 / 1_000.0
}

/// Converts milliseconds to a duration for the runtime's timers, clamped to between 0 and one day.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 86_400.0))
}

#[cfg(test)]
mod tests;
