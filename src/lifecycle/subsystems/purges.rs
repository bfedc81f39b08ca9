//! Fleet purges: the purge log, the admin calls that submit and replicate purges, and the leader's task.

use crate::lifecycle::error::ServeError;
use crate::lifecycle::subsystem::{AdminCalls, Context, StartFuture, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::purge::config::PurgeConfig;
use crate::purge::service::PurgeService;
use crate::purge::wire::MAX_BODY_BYTES;
use futures_util::future::{ready, FutureExt};
use std::rc::Rc;

/// The subsystem of fleet purges.
pub struct Purges {
    config: PurgeConfig,
    service: Option<Rc<PurgeService>>,
}

impl Purges {
    /// Creates the subsystem from its configuration.
    pub fn new(config: PurgeConfig) -> Self {
        Self { config, service: None }
    }

    /// Reads the purge log. Its purges must be in effect before the first request is served.
    fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        if context.config.admin_address().map_err(ServeError::field("mgmt"))?.is_none() {
            let reason = "fleet purges need an admin address, and none is configured";
            return Err(ServeError::field("mgmt")(reason));
        }
        self.service = Some(PurgeService::open(&context.executor, self.config.clone(), context.seed)?);
        Ok(())
    }
}

impl Subsystem for Purges {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        ready(self.open(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        if let Some(service) = self.service.clone() {
            supervise(&context.executor, "fleet purges", move || service.clone().run());
        }
        ready(Ok(())).boxed_local()
    }

    fn admin_calls(&self) -> Option<AdminCalls> {
        let service = self.service.clone()?;
        let handler = Box::new(move |call: &_| service.answer(call));
        Some(AdminCalls { handler, max_body: MAX_BODY_BYTES })
    }
}
