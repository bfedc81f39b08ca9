//! The front as all its tasks share it: the table of calls, the routes, the connections to backends, and the list of
//! backends that follows the operator file or discovery.

use super::admission::CallAdmission;
use super::call_table::CallTable;
use super::config::GrpcConfig;
use super::limits::GrpcLimits;
use super::metrics::Metrics;
use super::route_compiler::RouteError;
use super::routes::Routes;
use super::upstream::Upstream;
use crate::admission::control::AdmissionControl;
use crate::engine::executor::{Backend, Executor};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// The name that admission control's metrics have for this front.
const ADMISSION_METRICS_PREFIX: &str = "grpc_door";
/// The greatest tenant that a header may name.
const MAX_TENANT: u32 = 255;

/// The front.
pub struct GrpcFront {
    /// The executor, for the clock and the list of endpoints.
    pub executor: Rc<Executor>,
    /// Connections to backends.
    pub upstream: Rc<Upstream>,
    /// Admission control of unary calls.
    pub admission: Rc<CallAdmission>,
    calls: RefCell<CallTable>,
    routes: RefCell<Rc<Routes>>,
    config: RefCell<GrpcConfig>,
    limits: GrpcLimits,
    metrics: RefCell<Metrics>,
    /// The backends of each pool as last listed, by the pool's index.
    listed: RefCell<Vec<Vec<Backend>>>,
    /// The version of the endpoint list from which the backends were taken.
    list_version: Cell<u64>,
    not_grpc: Cell<u64>,
    unrouted: Cell<u64>,
    /// Notified when open calls are to end.
    abort: Notify,
    aborting: Cell<bool>,
    /// Notified when a new connection exceeds the limit, so that one without open calls makes room for it.
    pub(super) connection_limit_reached: Notify,
}

impl GrpcFront {
    /// The front of an operator file, with its backends listed.
    pub fn new(executor: Rc<Executor>, config: GrpcConfig, seed: u64) -> Result<Rc<Self>, RouteError> {
        let (routes, pools) = config.compile()?;
        let upstream =
            Upstream::new(executor.clock.clone(), config.limits.clone(), config.limits.of_connections());
        let admission = config.admission.clone();
        let front = Rc::new(Self {
            upstream,
            calls: RefCell::new(CallTable::new(pools, config.limits.of_calls(), seed)),
            routes: RefCell::new(Rc::new(routes)),
            limits: config.limits.clone(),
            config: RefCell::new(config),
            metrics: RefCell::default(),
            admission: Rc::default(),
            listed: RefCell::default(),
            list_version: Cell::new(u64::MAX),
            not_grpc: Cell::new(0),
            unrouted: Cell::new(0),
            abort: Notify::new(),
            aborting: Cell::new(false),
            connection_limit_reached: Notify::new(),
            executor,
        });
        front.admission.set(admission.map(|config| AdmissionControl::new(config, ADMISSION_METRICS_PREFIX)));
        front.list_backends();
        Ok(front)
    }

    /// The time, in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.executor.clock.now()
    }

    /// The bounds.
    pub fn limits(&self) -> &GrpcLimits {
        &self.limits
    }

    /// The table of methods as it is by now.
    pub fn routes(&self) -> Rc<Routes> {
        self.routes.borrow().clone()
    }

    /// Runs `act` on the table of calls.
    pub fn with<R>(&self, act: impl FnOnce(&mut CallTable) -> R) -> R {
        act(&mut self.calls.borrow_mut())
    }

    /// Replaces the operator file: backends, pools, methods, and the weights of admission control, whose bounds need a new
    /// process.
    pub fn reconfigure(&self, fresh: GrpcConfig) -> Result<(), RouteError> {
        let (mut routes, pools) = fresh.compile()?;
        let names: Vec<String> = pools.iter().map(|pool| pool.name.clone()).collect();
        self.with(|calls| calls.reconfigure(pools));
        // Pools keep their index in the table of calls; their order in the file may differ.
        let index = |name: &String| self.with(|calls| calls.pool_index(name)).unwrap_or(0);
        let indices: Vec<usize> = names.iter().map(index).collect();
        routes.renumber(|pool| indices[pool]);
        *self.routes.borrow_mut() = Rc::new(routes);
        if let Some(admission) = fresh.admission.clone() {
            self.admission.with(|control| control.reconfigure(admission));
        }
        *self.config.borrow_mut() = fresh;
        self.list_backends();
        Ok(())
    }

    /// Takes the list of endpoints as it is by now, where it has changed.
    pub fn sync_backends(&self) {
        if self.list_version.get() != self.executor.endpoint_list_changes() {
            self.list_backends();
        }
    }

    fn list_backends(&self) {
        self.list_version.set(self.executor.endpoint_list_changes());
        let config = self.config.borrow();
        for pool in &config.pools {
            let Some(index) = self.with(|calls| calls.pool_index(&pool.name)) else { continue };
            let fresh = match &pool.discovered {
                None => pool.listed_backends(),
                Some(from) => self.executor.backends(&from.model, from.port),
            };
            self.replace_backends(index, &pool.name, fresh);
        }
    }

    /// Replaces a pool's list of backends where it differs, and closes connections that no pool uses any more.
    fn replace_backends(&self, index: usize, pool: &str, fresh: Vec<Backend>) {
        let mut listed = self.listed.borrow_mut();
        if listed.len() <= index {
            listed.resize_with(index + 1, Vec::new);
        }
        if listed[index] == fresh {
            return;
        }
        self.with(|calls| calls.set_backends(self.now(), index, &fresh));
        let former = std::mem::replace(&mut listed[index], fresh);
        let is_used = |address: SocketAddr| {
            listed.iter().flatten().any(|backend| backend.live && backend.address == address)
        };
        for address in former.iter().map(|backend| backend.address).filter(|address| !is_used(*address)) {
            self.upstream.retire(address);
        }
        let backends = &listed[index];
        let live = backends.iter().filter(|backend| backend.live).count();
        tracing::info!(pool, backends = backends.len(), live, "gRPC: backends listed");
    }

    /// The metrics, in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let calls = self.calls.borrow();
        let text = self.metrics.borrow_mut().text(self.now(), &calls, self.upstream.len());
        let text = text.trim_end().trim_end_matches("# EOF").to_string();
        let (not_grpc, unrouted) = (self.not_grpc.get(), self.unrouted.get());
        let own = format!("grpc_not_grpc_total {not_grpc}\ngrpc_unrouted_total {unrouted}\n# EOF\n");
        text + &own + &self.admission.with(AdmissionControl::metrics).unwrap_or_default()
    }

    /// The share of a pool's backends that accept calls and that the decision module does not avoid; none where there is no
    /// such pool.
    pub fn usable_share(&self, pool: &str) -> Option<f64> {
        let calls = self.calls.borrow();
        let pool = calls.pools().iter().find(|other| other.name() == pool)?;
        let usable = pool.active_backends().saturating_sub(pool.avoided_backends(self.now()));
        Some(usable as f64 / pool.backends().count().max(1) as f64)
    }

    /// A call's tenant for admission control: the number in the configured header, or else its request class.
    pub fn tenant(&self, class: usize, header: impl Fn(&str) -> Option<u32>) -> u32 {
        match &self.config.borrow().tenant_header {
            Some(name) => header(name).filter(|tenant| *tenant <= MAX_TENANT).unwrap_or(0),
            None => class as u32,
        }
    }

    /// Counts a request that is not gRPC.
    pub fn count_not_grpc(&self) {
        self.not_grpc.set(self.not_grpc.get() + 1);
    }

    /// Counts a call that has no route, or whose head cannot be used.
    pub fn count_unrouted(&self) {
        self.unrouted.set(self.unrouted.get() + 1);
    }

    /// Observes the time from a call's head to its response's headers, in milliseconds.
    pub fn observe_head(&self, ms: f64) {
        self.metrics.borrow().first_head.observe(ms / 1_000.0);
    }

    /// Whether open calls are being aborted.
    pub fn is_aborting(&self) -> bool {
        self.aborting.get()
    }

    /// Waits until open calls are to be aborted.
    pub async fn aborted(&self) {
        self.abort.notified().await;
    }

    pub(super) fn abort_calls(&self) {
        self.aborting.set(true);
        self.abort.notify_waiters();
    }
}
