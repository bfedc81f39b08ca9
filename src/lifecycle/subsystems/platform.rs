//! The platform's front, which is always enabled, and its listener: the inherited socket or one of its own.

use crate::lifecycle::bind::bind_tcp;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::subsystem::{Context, StartFuture, StopStage, Subsystem};
use crate::vrrp::config::FrontKind;
use crate::wire::closable_listener::{Backlog, ClosableListener};
use crate::wire::listener::accept;
use crate::wire::platform::{limits, Platform};
use futures_util::future::{ready, FutureExt};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The subsystem of the platform's front and its listener.
pub struct PlatformListener {
    inherited_listener: Option<std::net::TcpListener>,
    /// Number of listeners that share the client connection limit: this one and those of virtual addresses.
    listener_count: usize,
    closing: Rc<Notify>,
    /// The front and its listener, between [`Subsystem::prepare`] and [`Subsystem::start`].
    prepared: Option<(Rc<Platform>, ClosableListener)>,
}

impl PlatformListener {
    /// Creates a listener on the inherited socket, or on its own if there is none. `listener_count` listeners
    /// of the front share the client connection limit.
    pub fn new(inherited_listener: Option<std::net::TcpListener>, listener_count: usize) -> Self {
        Self { inherited_listener, listener_count, closing: Rc::default(), prepared: None }
    }

    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let address = context.config.listen_address().map_err(ServeError::field("listen"))?;
        let closing = self.closing.clone();
        let listener = match self.inherited_listener.take() {
            Some(listener) => {
                let listener = TcpListener::from_std(listener).map_err(ServeError::InheritedSocket)?;
                ClosableListener::new(listener, closing).with_backlog(Backlog::Leave)
            }
            None => ClosableListener::new(bind_tcp(address).await?, closing),
        };
        let connections = (context.budget.clients / self.listener_count).max(1);
        let front = Rc::new(Platform::new(limits(connections)));
        context.rules.attach(front.clone());
        context.fronts.add(FrontKind::Platform, front.clone());
        self.prepared = Some((front, listener));
        Ok(())
    }

    fn accept_clients(&mut self, context: &Context) {
        let Some((front, listener)) = self.prepared.take() else { return };
        let accepting = accept(context.executor.clone(), front, listener, context.stop.clone());
        context.executor.spawn("platform listener", accepting);
    }
}

impl Subsystem for PlatformListener {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.open(context).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.accept_clients(context);
        ready(Ok(())).boxed_local()
    }

    fn stop(&mut self, stage: StopStage) {
        if stage == StopStage::CloseListeners {
            self.closing.notify_one();
        }
    }
}
