//! Endpoint health checks that are shared between the instances of an installation.

use crate::engine::executor::MetricsSource;
use crate::health_check::config::HealthCheckConfig;
use crate::health_check::driver::{run, HealthChecker};
use crate::lifecycle::bind::serve_when_bound;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::subsystem::{AdminCalls, Context, StartFuture, Subsystem};
use crate::lifecycle::supervisor::supervise;
use futures_util::future::{ready, FutureExt};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The subsystem of shared health checks.
pub struct HealthChecks {
    config: HealthCheckConfig,
    checker: Option<Rc<HealthChecker>>,
}

impl HealthChecks {
    /// Creates the subsystem from its configuration.
    pub fn new(config: HealthCheckConfig) -> Self {
        Self { config, checker: None }
    }

    fn create_checker(&mut self, context: &Context) -> Result<(), ServeError> {
        let checker = HealthChecker::new(context.executor.clone(), self.config.clone());
        self.checker = Some(checker.map_err(ServeError::field("key_file"))?);
        Ok(())
    }

    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let Some(checker) = self.checker.clone() else { return Ok(()) };
        let (listen, executor) = (self.config.listen_address(), context.executor.clone());
        let run_checks = move |socket| {
            checker.set_socket(socket);
            supervise(&executor, "shared health checks", move || run(checker.clone()));
            tracing::info!(%listen, "shared health checks started");
        };
        serve_when_bound(context, listen, move || UdpSocket::bind(listen), run_checks).await
    }
}

impl Subsystem for HealthChecks {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        ready(self.create_checker(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.open(context).boxed_local()
    }

    fn metrics(&self) -> Option<MetricsSource> {
        let checker = self.checker.clone()?;
        Some(Box::new(move || checker.metrics()))
    }

    fn admin_calls(&self) -> Option<AdminCalls> {
        let checker = self.checker.clone()?;
        Some(AdminCalls { handler: Box::new(move |call: &_| checker.answer(call)), max_body: 0 })
    }

    fn reload(&mut self, _: &Context) {
        if let Some(Err(reason)) = self.checker.as_ref().map(|checker| checker.reload_keys()) {
            tracing::warn!(%reason, "health check keys not reloaded");
        }
    }
}
