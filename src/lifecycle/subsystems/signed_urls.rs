//! The front for signed URLs, its listener and its keys.

use crate::lifecycle::bind::serve_when_bound;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::signed_urls::{follow_key_file, SignedUrlConfig};
use crate::lifecycle::subsystem::{Context, StartFuture, StopStage, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::vrrp::config::FrontKind;
use crate::wire::closable_listener::ClosableListener;
use crate::wire::listener::accept;
use futures_util::FutureExt;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The subsystem of signed URLs.
pub struct SignedUrls {
    config: SignedUrlConfig,
    closing: Rc<Notify>,
    /// Triggers an immediate reload of the keys.
    reload: Rc<Notify>,
}

impl SignedUrls {
    /// Creates the subsystem from its configuration.
    pub fn new(config: SignedUrlConfig) -> Self {
        Self { config, closing: Rc::default(), reload: Rc::default() }
    }

    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let executor = &context.executor;
        let listen = self.config.listen().map_err(ServeError::field("listen"))?;
        let salt = executor.clock.now().to_bits() ^ context.seed;
        let front = Rc::new(self.config.front(salt).map_err(ServeError::field("keys"))?);
        context.fronts.add(FrontKind::Signed, front.clone());
        supervise(executor, "signed URL keys", {
            let (executor, config, reload) = (executor.clone(), self.config.clone(), self.reload.clone());
            let front = front.clone();
            move || follow_key_file(executor.clone(), config.clone(), front.clone(), reload.clone())
        });
        let (closing, stop, executor) = (self.closing.clone(), context.stop.clone(), executor.clone());
        let accept_clients = move |listener| {
            let listener = ClosableListener::new(listener, closing);
            executor.spawn("signed URL listener", accept(executor.clone(), front, listener, stop));
            tracing::info!(%listen, "signed URL listener started");
        };
        serve_when_bound(context, listen, move || TcpListener::bind(listen), accept_clients).await
    }
}

impl Subsystem for SignedUrls {
    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.open(context).boxed_local()
    }

    fn reload(&mut self, _: &Context) {
        self.reload.notify_one();
    }

    fn stop(&mut self, stage: StopStage) {
        if stage == StopStage::CloseListeners {
            self.closing.notify_one();
        }
    }
}
