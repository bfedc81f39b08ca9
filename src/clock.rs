//! The proxy's clock: Unix time in milliseconds as a floating-point number. Tests use a manual clock.

use crate::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A clock shared by all parts of a proxy. Clones share the same time.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Rc<Source>,
}

#[derive(Debug)]
enum Source {
    /// The system clock, with the latest time that was read.
    System(Cell<f64>),
    /// A time that is set by a test.
    Manual(Cell<f64>),
}

impl Clock {
    /// The system's wall clock, made monotonic: if the system time steps back, the last time is returned.
    pub fn system() -> Self {
        Self { source: Rc::new(Source::System(Cell::new(0.0))) }
    }

    /// A clock that stays at `ms` until it is advanced.
    pub fn manual(ms: f64) -> Self {
        Self { source: Rc::new(Source::Manual(Cell::new(ms))) }
    }

    /// The current time in Unix milliseconds.
    pub fn now(&self) -> f64 {
        match &*self.source {
            Source::Manual(time) => time.get(),
            Source::System(last) => {
                let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
                let now = (unix_time.as_secs_f64() * 1_000.0).max(last.get());
                last.set(now);
                now
            }
        }
    }

    /// Whether its times can be compared with those of the system's wall clock.
    pub fn follows_system_time(&self) -> bool {
        matches!(*self.source, Source::System(_))
    }

    /// Advances a manual clock by `ms`. Has no effect on the system clock.
    pub fn advance(&self, ms: f64) {
        if let Source::Manual(time) = &*self.source {
            time.set(time.get() + ms.max(0.0));
        }
    }
}

/// Converts milliseconds to the microseconds of the decision module.
pub fn micros_from_ms(ms: f64) -> Micros {
    (ms.max(0.0) * 1_000.0) as Micros
}

/// Converts the microseconds of the decision module to milliseconds.
pub fn ms_from_micros(us: Micros) -> f64 {
    us as f64 / 1_000.0
}

/// Converts milliseconds to a duration for the runtime's timers, clamped to the range 0 to one day.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 86_400.0))
}

#[cfg(test)]
mod tests;
