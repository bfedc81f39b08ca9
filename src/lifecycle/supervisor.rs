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
            if executor_handle.contain(name, make()).await.is_none() {
                tracing::error!(task = name, "restarting");
                tokio::time::sleep(RESTART_DELAY).await;
            }
        }
    });
}
