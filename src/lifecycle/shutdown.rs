//! The graceful shutdown of the server process, in the stages of a [`ShutdownSchedule`].

use super::shutdown_schedule::ShutdownSchedule;
use super::subsystem::{Context, StopStage, Subsystem};
use crate::clock::duration_from_ms;
use tokio::time::{sleep, sleep_until, Instant};

/// Interval at which a shutdown checks whether all requests have completed, in milliseconds.
const DRAIN_CHECK_INTERVAL_MS: f64 = 5.0;
/// Minimum duration of the drain, in milliseconds, for connections that were still in the listen backlog.
const MIN_DRAIN_MS: f64 = 4.0 * DRAIN_CHECK_INTERVAL_MS;

/// A shutdown in progress. Its times are measured by the runtime's monotonic clock.
struct Shutdown<'a> {
    subsystems: &'a mut [Box<dyn Subsystem>],
    context: &'a Context,
    begun: Instant,
}

/// Shuts down gracefully: notifies peers, closes listeners and idle connections, answers every request before the
/// platform may kill the process, and waits until all responses are written.
pub async fn shut_down(subsystems: &mut [Box<dyn Subsystem>], context: &Context) {
    let longest_deadline_ms = context.executor.settings().longest_deadline_ms();
    let schedule = ShutdownSchedule::new(longest_deadline_ms, context.config.handed_over);
    tracing::info!("{} is shutting down", context.config.name);
    let mut shutdown = Shutdown { subsystems, context, begun: Instant::now() };
    shutdown.run(schedule).await;
}

impl Shutdown<'_> {
    async fn run(&mut self, schedule: ShutdownSchedule) {
        let Self { context, .. } = *self;
        tracing::info!(?schedule, "shutdown scheduled");
        self.advance(StopStage::Announce);
        let answer_by_ms = context.executor.clock.now() + schedule.answer_by_ms;
        context.executor.limit_deadlines(answer_by_ms);
        if context.config.handed_over {
            // New connections go to the new process, which keeps the shared listening socket open.
            context.stop.set_close_after_response();
        }
        self.wait_until(schedule.close_listeners_ms).await;
        self.advance(StopStage::CloseListeners);
        self.wait_until(schedule.close_idle_ms).await;
        self.advance(StopStage::CloseRemaining);
        context.stop.begin();
        sleep(duration_from_ms(MIN_DRAIN_MS)).await;
        self.drain_until(schedule.answer_by_ms).await;
        if self.is_drained() {
            return self.log_progress("shutdown complete");
        }
        self.advance(StopStage::EndRequests);
        context.executor.end_requests();
        context.stop.reject_incomplete_requests();
        self.drain_until(schedule.end_by_ms).await;
        self.log_progress("shutdown complete");
        context.executor.with(|engine| engine.log_open_requests());
    }

    fn advance(&mut self, stage: StopStage) {
        self.subsystems.iter_mut().for_each(|subsystem| subsystem.stop(stage));
        self.log_progress(&format!("shutdown: {stage:?}"));
    }

    /// Waits until a time in milliseconds after the stop signal.
    async fn wait_until(&self, after_ms: f64) {
        sleep_until(self.begun + duration_from_ms(after_ms)).await;
    }

    /// Waits until the shutdown is drained, or until a time in milliseconds after the stop signal.
    async fn drain_until(&self, after_ms: f64) {
        let end = self.begun + duration_from_ms(after_ms);
        while !self.is_drained() && Instant::now() < end {
            sleep(duration_from_ms(DRAIN_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Whether all requests have completed and all connections are closed.
    fn is_drained(&self) -> bool {
        let uncounted: usize = self.subsystems.iter().map(|subsystem| subsystem.open_connections()).sum();
        let open_requests = self.context.executor.with(|engine| engine.open_requests());
        uncounted + self.context.stop.open_or_lingering() + open_requests == 0
    }

    /// Logs what the shutdown still waits for.
    fn log_progress(&self, stage: &str) {
        tracing::info!(
            elapsed_ms = self.begun.elapsed().as_millis() as u64,
            open_requests = self.context.executor.with(|engine| engine.open_requests()),
            open_connections = self.context.stop.open_connections(),
            "{stage}"
        );
    }
}
