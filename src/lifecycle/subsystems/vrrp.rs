//! A virtual router (VRRP): addresses that one of several instances serves at a time.

use crate::config_file::BoxError;
use crate::engine::executor::{Executor, MetricsSource};
use crate::grpc::front::GrpcFront;
use crate::grpc::server as grpc_server;
use crate::lifecycle::bind::serve_when_bound;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::reload::log_reload;
use crate::lifecycle::subsystem::{AdminCalls, Context, FrontDirectory, StartFuture, StopStage, Subsystem};
use crate::registry::service::RegistryStatus;
use crate::vrrp::config::{EnabledSubsystems, FrontKind, VrrpConfig};
use crate::vrrp::driver::run;
use crate::vrrp::host_values::HostValues;
use crate::vrrp::router::VirtualRouter;
use crate::vrrp::track::{TrackedObject, TrackedValues};
use crate::vrrp::virtual_addresses::VirtualFronts;
use crate::wire::closable_listener::ClosableListener;
use crate::wire::listener::accept;
use crate::wire::shutdown::GracefulShutdown;
use futures_util::future::{ready, FutureExt};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;

/// The virtual router subsystem.
pub struct Vrrp {
    config: VrrpConfig,
    enabled: EnabledSubsystems,
    router: Option<Rc<VirtualRouter>>,
    stop_requested: Rc<Notify>,
}

impl Vrrp {
    /// Creates the subsystem from its configuration. `enabled` names the subsystems that it may refer to.
    pub fn new(config: VrrpConfig, enabled: EnabledSubsystems) -> Self {
        Self { config, enabled, router: None, stop_requested: Rc::default() }
    }

    fn create_router(&mut self, context: &Context) -> Result<(), ServeError> {
        self.config.check_dependencies(&self.enabled).map_err(ServeError::field("vrrp"))?;
        let executor = context.executor.clone();
        let router = VirtualRouter::new(
            executor,
            self.config.clone(),
            Box::new(SubsystemFronts::new(context)),
            Box::new(SubsystemValues::new(context)),
        );
        self.router = Some(router.map_err(ServeError::field("key_file"))?);
        Ok(())
    }

    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let Some(router) = self.router.clone() else { return Ok(()) };
        let listen = self.config.router_settings().listen;
        let (executor, stop_requested) = (context.executor.clone(), self.stop_requested.clone());
        let run_router = move |socket| executor.spawn("virtual router", run(router, socket, stop_requested));
        serve_when_bound(context, listen, move || UdpSocket::bind(listen), run_router).await
    }

    fn reload_file(&self, router: &VirtualRouter) -> Result<(), BoxError> {
        Ok(router.reconfigure(self.config.reload()?)?)
    }
}

/// Connects the listeners of virtual addresses to the fronts of the process.
struct SubsystemFronts {
    executor: Rc<Executor>,
    fronts: FrontDirectory,
    grpc: Option<Rc<GrpcFront>>,
}

impl SubsystemFronts {
    fn new(context: &Context) -> Self {
        let (executor, fronts) = (context.executor.clone(), context.fronts.clone());
        Self { executor, fronts, grpc: context.grpc.borrow().clone() }
    }
}

impl VirtualFronts for SubsystemFronts {
    fn serve(&self, kind: FrontKind, listener: TcpListener, stop: Rc<GracefulShutdown>, closing: Rc<Notify>) {
        let listener = ClosableListener::new(listener, closing);
        if let (FrontKind::Grpc, Some(front)) = (kind, &self.grpc) {
            let accepting = grpc_server::accept(front.clone(), listener, stop);
            return self.executor.spawn("virtual gRPC listener", accepting);
        }
        if let Some(front) = self.fronts.find(kind) {
            let accepting = accept(self.executor.clone(), front, listener, stop);
            self.executor.spawn("virtual listener", accepting);
        }
    }
}

/// Reads the values of tracked objects from all subsystems.
struct SubsystemValues {
    executor: Rc<Executor>,
    host: HostValues,
    registry: Option<Rc<RefCell<RegistryStatus>>>,
    grpc: Option<Rc<GrpcFront>>,
}

impl SubsystemValues {
    fn new(context: &Context) -> Self {
        let executor = context.executor.clone();
        let (registry, grpc) = (context.registry.borrow().clone(), context.grpc.borrow().clone());
        Self { host: HostValues::new(executor.clone()), executor, registry, grpc }
    }
}

impl TrackedValues for SubsystemValues {
    fn value(&self, object: &TrackedObject) -> Option<f64> {
        match object {
            TrackedObject::Registry => {
                ms_since(&self.executor, self.registry.as_ref()?.borrow().last_response_ms)
            }
            TrackedObject::GrpcPool(pool) => self.grpc.as_ref()?.usable_share(pool),
            object => self.host.value(object),
        }
    }
}

/// Milliseconds since `at_ms`; `None` if `at_ms` is 0, which means never.
fn ms_since(executor: &Executor, at_ms: f64) -> Option<f64> {
    Some(executor.clock.now() - at_ms).filter(|_| at_ms > 0.0)
}

impl Subsystem for Vrrp {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        ready(self.create_router(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.open(context).boxed_local()
    }

    fn metrics(&self) -> Option<MetricsSource> {
        let router = self.router.clone()?;
        Some(Box::new(move || router.metrics()))
    }

    fn admin_calls(&self) -> Option<AdminCalls> {
        let router = self.router.clone()?;
        Some(AdminCalls { handler: Box::new(move |call: &_| router.answer(call)), max_body: 0 })
    }

    fn reload(&mut self, _: &Context) {
        let Some(router) = &self.router else { return };
        log_reload("VRRP", &self.config.path, self.reload_file(router));
    }

    fn stop(&mut self, stage: StopStage) {
        let Some(router) = &self.router else { return };
        match stage {
            StopStage::Announce => self.stop_requested.notify_one(),
            StopStage::CloseListeners => {}
            StopStage::CloseRemaining => router.close_all(),
            StopStage::EndRequests => router.reject_incomplete_requests(),
        }
    }

    fn open_connections(&self) -> usize {
        self.router.as_ref().map_or(0, |router| router.open_connections())
    }
}
