//! The admin address: process health, metrics, endpoint maintenance, and the admin calls of other subsystems.

use crate::lifecycle::bind::bind_tcp;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::maintenance::MaintenanceFile;
use crate::lifecycle::subsystem::{Context, StartFuture, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::wire::admin::AdminFront;
use crate::wire::closable_listener::ClosableListener;
use crate::wire::listener::accept;
use futures_util::FutureExt;
use std::rc::Rc;

/// The admin address subsystem. Does nothing if no address is configured.
pub struct AdminAddress;

impl AdminAddress {
    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let Some(address) = context.config.admin_address().map_err(ServeError::field("mgmt"))? else {
            return Ok(());
        };
        let executor = &context.executor;
        let file = MaintenanceFile::of_proxy(&context.config.name);
        // Loaded before this listener and those of later subsystems open, so that maintenance persists across
        // an upgrade.
        file.load(executor);
        let front = Rc::new(admin_front(context, file.clone()));
        let listener = bind_tcp(address).await?;
        // Separate state that is never signalled: a shutdown neither closes this listener nor waits for its
        // clients.
        let listener = ClosableListener::new(listener, Rc::default());
        executor.spawn("admin listener", accept(executor.clone(), front, listener, Rc::default()));
        supervise(executor, "maintenance file", {
            let executor = executor.clone();
            move || file.clone().follow(executor.clone())
        });
        tracing::info!(%address, "admin listener started");
        Ok(())
    }
}

/// Creates the front of the admin address, with the calls of all prepared subsystems.
fn admin_front(context: &Context, file: MaintenanceFile) -> AdminFront {
    let front = AdminFront::new(Box::new(move |executor: &_| file.store(executor)), context.ready.clone());
    let calls = context.admin_calls.take();
    calls.into_iter().fold(front.with_max_connections(context.budget.admin_clients), |front, calls| {
        front.with_handler(calls.handler, calls.max_body)
    })
}

impl Subsystem for AdminAddress {
    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.open(context).boxed_local()
    }
}
