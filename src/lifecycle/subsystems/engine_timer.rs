//! The engine's timer: carries out what is due.

use crate::lifecycle::subsystem::{Context, Starting, Subsystem};
use crate::lifecycle::supervisor::supervise;
use futures_util::future::{ready, FutureExt};

/// The engine's timer.
pub struct EngineTimer;

impl Subsystem for EngineTimer {
    fn start<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
        let executor = context.executor.clone();
        supervise(&context.executor, "the engine's timer", move || executor.clone().run_timers());
        ready(Ok(())).boxed_local()
    }
}
