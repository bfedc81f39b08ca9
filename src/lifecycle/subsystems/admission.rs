//! Admission control ahead of the engine: fair queues for the requests of all HTTP/1.1 and HTTP/3 fronts.

use crate::admission::config::AdmissionConfig;
use crate::admission::control::AdmissionControl;
use crate::config_file::BoxError;
use crate::engine::executor::Executor;
use crate::lifecycle::reload::log_reload;
use crate::lifecycle::subsystem::{Context, StartFuture, Subsystem};
use futures_util::future::{ready, FutureExt};
use std::rc::Rc;

/// Prefix of the metric names.
const METRICS_PREFIX: &str = "door";

/// The admission control subsystem.
pub struct Admission {
    config: AdmissionConfig,
}

impl Admission {
    /// Creates the subsystem from its configuration.
    pub fn new(config: AdmissionConfig) -> Self {
        Self { config }
    }
}

impl Subsystem for Admission {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        context.executor.set_admission(AdmissionControl::new(self.config.clone(), METRICS_PREFIX));
        ready(Ok(())).boxed_local()
    }

    fn reload(&mut self, context: &Context) {
        reload_admission(&context.executor, &self.config);
    }
}

/// Reloads the file of admission control. New weights take effect from the next round. An invalid file leaves
/// the configuration unchanged.
pub fn reload_admission(executor: &Rc<Executor>, config: &AdmissionConfig) {
    let reloaded = config.reload().map(|fresh| {
        executor.with_admission(|admission| admission.reconfigure(fresh));
    });
    log_reload("admission", &config.path, reloaded.map_err(BoxError::from));
}
