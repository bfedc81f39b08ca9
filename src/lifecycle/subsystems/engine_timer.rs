//! The engine's timer, which fires due deadlines.

use crate::lifecycle::subsystem::{Context, StartFuture, Subsystem};
use crate::lifecycle::supervisor::supervise;
use futures_util::future::{ready, FutureExt};

/// The engine timer subsystem.
pub struct EngineTimer;

impl Subsystem for EngineTimer {
    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        let executor = context.executor.clone();
        supervise(&context.executor, "engine timer", move || executor.clone().run_timers());
        ready(Ok(())).boxed_local()
    }
}
