//! The endpoint watch on the discovery service.

use crate::lifecycle::subsystem::{Context, StartFuture, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::wire::discovery::run;
use futures_util::future::{ready, FutureExt};
use std::net::SocketAddr;
use tokio::sync::watch;

/// The endpoint watch subsystem.
pub struct Discovery {
    address: watch::Receiver<SocketAddr>,
}

impl Discovery {
    /// Creates a watch on the discovery service, whose address may change at run time.
    pub fn new(address: watch::Receiver<SocketAddr>) -> Self {
        Self { address }
    }
}

impl Subsystem for Discovery {
    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        let (executor, address) = (context.executor.clone(), self.address.clone());
        supervise(&context.executor, "endpoint watch", move || run(executor.clone(), address.clone()));
        ready(Ok(())).boxed_local()
    }
}
