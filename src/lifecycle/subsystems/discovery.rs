//! The endpoint watch at the discovery service.

use crate::lifecycle::subsystem::{Context, Starting, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::wire::discovery::run;
use futures_util::future::{ready, FutureExt};
use std::net::SocketAddr;
use tokio::sync::watch;

/// The endpoint watch.
pub struct Discovery {
    address: watch::Receiver<SocketAddr>,
}

impl Discovery {
    /// A watch at the discovery service's address, which may change while it runs.
    pub fn new(address: watch::Receiver<SocketAddr>) -> Self {
        Self { address }
    }
}

impl Subsystem for Discovery {
    fn start<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
        let (executor, address) = (context.executor.clone(), self.address.clone());
        supervise(&context.executor, "the endpoint watch", move || run(executor.clone(), address.clone()));
        ready(Ok(())).boxed_local()
    }
}
