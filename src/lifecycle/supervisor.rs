//! Restarts long-running tasks that panic.

use crate::engine::executor::Executor;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Delay before a task that panicked is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(10);

/// Runs a task for the lifetime of the process. A panic is counted and logged, and `make` creates the task
/// again.
pub fn supervise<F, T>(executor: &Rc<Executor>, name: &'static str, make: F)
where
    F: Fn() -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let executor_handle = executor.clone();
    executor.spawn(name, async move {
        loop {
            let task = tokio::task::spawn_local(make());
            if task.await.is_err() {
                executor_handle.with(|engine| engine.counters.panics += 1);
                tracing::error!(task = name, "task panicked; restarting");
                tokio::time::sleep(RESTART_DELAY).await;
            }
        }
    });
}
