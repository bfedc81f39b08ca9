//! gRPC pass-through.

use crate::config_file::BoxError;
use crate::engine::executor::MetricsSource;
use crate::grpc::config::GrpcConfig;
use crate::grpc::front::GrpcFront;
use crate::grpc::server::{abort_calls_at_shutdown, accept, expire_queued_calls, run_housekeeping};
use crate::lifecycle::bind::serve_when_bound;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::reload::log_reload;
use crate::lifecycle::subsystem::{AdminCalls, Context, StartFuture, StopStage, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::wire::closable_listener::ClosableListener;
use futures_util::future::{ready, FutureExt};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The gRPC subsystem: the front and its listener.
pub struct Grpc {
    config: GrpcConfig,
    front: Option<Rc<GrpcFront>>,
    closing: Rc<Notify>,
}

impl Grpc {
    /// Creates the subsystem from its configuration.
    pub fn new(config: GrpcConfig) -> Self {
        Self { config, front: None, closing: Rc::default() }
    }

    fn create_front(&mut self, context: &Context) -> Result<(), ServeError> {
        let front = GrpcFront::new(context.executor.clone(), self.config.clone(), context.seed);
        let front = front.map_err(ServeError::field("routes"))?;
        *context.grpc.borrow_mut() = Some(front.clone());
        self.front = Some(front);
        Ok(())
    }

    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let Some(front) = self.front.clone() else { return Ok(()) };
        let executor = &context.executor;
        let listen = self.config.listen_address();
        let (housekeeping_front, admission_front) = (front.clone(), front.clone());
        supervise(executor, "gRPC housekeeping", move || run_housekeeping(housekeeping_front.clone()));
        supervise(executor, "gRPC admission", move || expire_queued_calls(admission_front.clone()));
        executor.spawn("gRPC call shutdown", abort_calls_at_shutdown(front.clone(), context.stop.clone()));
        let (closing, stop, executor) = (self.closing.clone(), context.stop.clone(), executor.clone());
        let accept_calls = move |listener| {
            let listener = ClosableListener::new(listener, closing);
            executor.spawn("gRPC listener", accept(front, listener, stop));
            tracing::info!(%listen, "gRPC listener started");
        };
        serve_when_bound(context, listen, move || TcpListener::bind(listen), accept_calls).await
    }

    fn reload_file(&self, front: &GrpcFront) -> Result<(), BoxError> {
        Ok(front.reconfigure(self.config.reload()?)?)
    }
}

impl Subsystem for Grpc {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        ready(self.create_front(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.open(context).boxed_local()
    }

    fn metrics(&self) -> Option<MetricsSource> {
        let front = self.front.clone()?;
        Some(Box::new(move || front.metrics()))
    }

    fn admin_calls(&self) -> Option<AdminCalls> {
        let front = self.front.clone()?;
        Some(AdminCalls { handler: Box::new(move |call: &_| front.answer(call)), max_body: 0 })
    }

    fn reload(&mut self, _: &Context) {
        let Some(front) = &self.front else { return };
        log_reload("gRPC", &self.config.path, self.reload_file(front));
    }

    fn stop(&mut self, stage: StopStage) {
        match (stage, &self.front) {
            (StopStage::CloseListeners, _) => self.closing.notify_one(),
            (StopStage::EndRequests, Some(front)) => front.abort_calls(),
            _ => {}
        }
    }
}
