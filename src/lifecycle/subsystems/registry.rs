//! The registry client: reads endpoints from a service registry instead of the discovery service.

use crate::lifecycle::subsystem::{AdminCalls, Context, StartFuture, Subsystem};
use crate::registry::config::RegistryConfig;
use crate::registry::service::{answer, run, RegistryStatus};
use futures_util::future::{ready, FutureExt};
use std::cell::RefCell;
use std::rc::Rc;

/// The registry client subsystem.
pub struct Registry {
    config: RegistryConfig,
    status: Rc<RefCell<RegistryStatus>>,
}

impl Registry {
    /// Creates the subsystem from its configuration.
    pub fn new(config: RegistryConfig) -> Self {
        Self { config, status: Rc::default() }
    }
}

impl Subsystem for Registry {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        let executor = &context.executor;
        *context.registry.borrow_mut() = Some(self.status.clone());
        executor.with(|engine| engine.use_registry());
        tracing::info!(address = self.config.address, "reading endpoints from the registry");
        let client = run(executor.clone(), self.config.clone(), self.status.clone(), context.seed);
        executor.spawn("registry client", client);
        ready(Ok(())).boxed_local()
    }

    fn admin_calls(&self) -> Option<AdminCalls> {
        let status = self.status.clone();
        Some(AdminCalls { handler: Box::new(move |call: &_| answer(&status, call)), max_body: 0 })
    }
}
