//! The admin address: health of the process, metrics, maintenance of endpoints, and the calls of other subsystems.

use crate::lifecycle::bind::bind_tcp;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::maintenance::MaintenanceFile;
use crate::lifecycle::subsystem::{Context, Starting, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::wire::admin::AdminFront;
use crate::wire::listener::accept;
use futures_util::FutureExt;
use std::rc::Rc;

/// The admin address, where the configuration names one.
pub struct AdminAddress;

impl AdminAddress {
    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let Some(mgmt) = context.config.admin_address().map_err(ServeError::field("mgmt"))? else {
            return Ok(());
        };
        let executor = &context.executor;
        let file = MaintenanceFile::of_proxy(&context.config.name);
        // Before this address and the other fronts open: an endpoint out of use stays so across an upgrade.
        file.load(executor);
        let front = Rc::new(admin_front(context, file.clone()));
        let listener = bind_tcp(mgmt).await?;
        // Open until the process ends: a stop neither closes it nor waits for its callers.
        let (uncounted, never_closing) = Default::default();
        executor.spawn("calls", accept(executor.clone(), front, listener, uncounted, never_closing));
        supervise(executor, "the maintenance file", {
            let executor = executor.clone();
            move || file.clone().follow(executor.clone())
        });
        tracing::info!(%mgmt, "admin calls are answered");
        Ok(())
    }
}

/// The front of the admin address, with the calls of all prepared subsystems.
fn admin_front(context: &Context, file: MaintenanceFile) -> AdminFront {
    let front = AdminFront::new(Box::new(move |executor: &_| {
        // Maintenance that another process wrote meanwhile is kept.
        file.load(executor);
        file.write(executor)
    }));
    let calls = context.admin_calls.take();
    calls.into_iter().fold(front.with_max_clients(context.budget.admin_clients), |front, calls| {
        front.with_handler(calls.handler, calls.max_body)
    })
}

impl Subsystem for AdminAddress {
    fn start<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
        self.open(context).boxed_local()
    }
}
