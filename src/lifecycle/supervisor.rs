//! Restart of tasks that must never end.

use crate::engine::executor::Executor;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// The wait before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(10);

/// Runs a task for the life of the process: a task that panics is counted, logged and started again by `make`.
pub fn supervise<F, T>(executor: &Rc<Executor>, name: &'static str, make: F)
where
    F: Fn() -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let supervisor = executor.clone();
    executor.spawn(name, async move {
        loop {
            let task = tokio::task::spawn_local(make());
            if task.await.is_err() {
                supervisor.with(|engine| engine.counters.panics += 1);
                tracing::error!(what = name, "a task panicked and is restarted");
                tokio::time::sleep(RESTART_DELAY).await;
            }
        }
    });
}
