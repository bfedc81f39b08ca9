//! Fleet purges: the purge log, the calls that issue and carry purges, and the leader's task.

use crate::lifecycle::error::ServeError;
use crate::lifecycle::subsystem::{AdminCalls, Context, Starting, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::purge::config::PurgeConfig;
use crate::purge::service::PurgeService;
use crate::purge::wire::MAX_BODY_BYTES;
use futures_util::future::{ready, FutureExt};
use std::rc::Rc;

/// Fleet purges.
pub struct Purges {
    config: PurgeConfig,
    service: Option<Rc<PurgeService>>,
}

impl Purges {
    /// Fleet purges of an operator file.
    pub fn new(config: PurgeConfig) -> Self {
        Self { config, service: None }
    }

    /// Reads the purge log, before anything is served: the purges that it holds bind.
    fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        if context.config.admin_address().map_err(ServeError::field("mgmt"))?.is_none() {
            let reason = "fleet purges are called at the second address, and there is none";
            return Err(ServeError::field("mgmt")(reason));
        }
        self.service = Some(PurgeService::open(&context.executor, self.config.clone(), context.seed)?);
        Ok(())
    }
}

impl Subsystem for Purges {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
        ready(self.open(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
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
