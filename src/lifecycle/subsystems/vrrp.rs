//! A virtual router (VRRP): addresses that one of several instances serves at a time.

use crate::config_file::BoxError;
use crate::engine::executor::{Executor, MetricsSource};
use crate::grpc::server as grpc_server;
use crate::lifecycle::bind::bind_udp;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::reload::log_reload;
use crate::lifecycle::subsystem::{AdminCalls, Context, Starting, StopStage, Subsystem};
use crate::vrrp::config::{FrontKind, VrrpConfig};
use crate::vrrp::driver::{host_value, run, Accept, Ask, VirtualRouter};
use crate::vrrp::track::{Rate, What};
use crate::wire::listener::accept;
use futures_util::future::{ready, FutureExt};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Subsystems that a virtual router's file may refer to.
pub struct Prerequisites {
    /// Signed URLs are on.
    pub signed_urls: bool,
    /// The gRPC pools.
    pub grpc_pools: Vec<String>,
    /// Admission control is on.
    pub admission: bool,
    /// The registry client is on.
    pub registry: bool,
}

/// The virtual router.
pub struct Vrrp {
    config: VrrpConfig,
    prerequisites: Prerequisites,
    router: Option<Rc<VirtualRouter>>,
    resign: Rc<Notify>,
}

impl Vrrp {
    /// The router of an operator file.
    pub fn new(config: VrrpConfig, prerequisites: Prerequisites) -> Self {
        Self { config, prerequisites, router: None, resign: Rc::default() }
    }

    fn create_router(&mut self, context: &Context) -> Result<(), ServeError> {
        let on = &self.prerequisites;
        self.config
            .check_with(on.signed_urls, &on.grpc_pools, on.admission, on.registry)
            .map_err(ServeError::field("vrrp"))?;
        let executor = context.executor.clone();
        let router = VirtualRouter::new(
            executor,
            self.config.clone(),
            accept_at_virtual_address(context),
            tracked_values(context),
        );
        self.router = Some(router.map_err(ServeError::field("key_file"))?);
        Ok(())
    }

    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let Some(router) = self.router.clone() else { return Ok(()) };
        let socket = bind_udp(self.config.router().listen).await?;
        context.executor.spawn("the virtual router", run(router, socket, self.resign.clone()));
        Ok(())
    }

    fn reload_file(&self, router: &VirtualRouter) -> Result<(), BoxError> {
        Ok(router.reconfigure(self.config.again()?)?)
    }
}

/// Serves a virtual address's listener by the front of its kind.
fn accept_at_virtual_address(context: &Context) -> Accept {
    let (executor, fronts, grpc) =
        (context.executor.clone(), context.fronts.clone(), context.grpc.borrow().clone());
    Box::new(move |kind, listener, stop, closing| {
        if let (FrontKind::Grpc, Some(front)) = (kind, &grpc) {
            let accepting = grpc_server::accept(front.clone(), listener, stop, closing);
            return executor.spawn("accepting", accepting);
        }
        if let Some(front) = fronts.find(kind) {
            executor.spawn("accepting", accept(executor.clone(), front, listener, stop, closing));
        }
    })
}

/// The present values of what a virtual router tracks.
fn tracked_values(context: &Context) -> Ask {
    let (executor, rate) = (context.executor.clone(), RefCell::new(Rate::default()));
    let (registry, grpc) = (context.registry.borrow().clone(), context.grpc.borrow().clone());
    Box::new(move |what| match what {
        What::Registry => ms_since(&executor, registry.as_ref()?.borrow().last_answer_ms),
        What::Grpc(pool) => grpc.as_ref()?.usable_share(pool),
        what => host_value(&executor, &rate, what),
    })
}

/// Milliseconds since a time, which is 0 where there was none.
fn ms_since(executor: &Executor, at_ms: f64) -> Option<f64> {
    Some(executor.clock.now() - at_ms).filter(|_| at_ms > 0.0)
}

impl Subsystem for Vrrp {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
        ready(self.create_router(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
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
        match stage {
            StopStage::Announce => self.resign.notify_one(),
            StopStage::CloseListeners => {}
            StopStage::CloseRemaining => {
                if let Some(router) = &self.router {
                    router.close_all();
                }
            }
        }
    }

    fn open_connections(&self) -> usize {
        self.router.as_ref().map_or(0, |router| router.busy())
    }
}
