//! State shared by all tasks of the gRPC front: the call table, the routes, the connections to backends, and
//! the backend lists from the configuration file or discovery.

use super::admission::CallAdmission;
use super::call_table::CallTable;
use super::config::GrpcConfig;
use super::limits::GrpcLimits;
use super::metrics::Metrics;
use super::route_compiler::RouteError;
use super::routes::{Route, Routes};
use super::upstream::{BackendAddress, Upstream};
use crate::admission::control::AdmissionControl;
use crate::engine::executor::{Backend, Executor};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::sync::Notify;

/// Prefix of the names of this front's admission metrics.
const ADMISSION_METRICS_PREFIX: &str = "grpc_door";
/// Largest tenant number that the tenant header may hold.
const MAX_TENANT: u32 = 255;

/// The gRPC front.
pub struct GrpcFront {
    /// The executor; provides the clock, the endpoint list and task spawning.
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
    /// The current backends of each pool, by the pool's index.
    backends: RefCell<Vec<Vec<Backend>>>,
    /// The version of the endpoint list that the backends were last updated from.
    list_version: Cell<u64>,
    not_grpc: Cell<u64>,
    unrouted: Cell<u64>,
    out_of_memory: Cell<u64>,
    /// Notified when open calls must be aborted.
    abort: Notify,
    aborting: Cell<bool>,
    /// Notified when the client connection limit is reached, so that an idle connection closes to make room.
    pub(super) connection_limit_reached: Notify,
}

impl GrpcFront {
    /// Creates a front from its configuration.
    pub fn new(executor: Rc<Executor>, config: GrpcConfig, seed: u64) -> Result<Rc<Self>, RouteError> {
        let (routes, pools) = config.compile()?;
        let limits = config.limits.within_memory(&executor.request_memory);
        let upstream = Upstream::new(executor.clock.clone(), limits.clone(), limits.connection_limits());
        let admission = config.admission.clone();
        let front = Rc::new(Self {
            upstream,
            calls: RefCell::new(CallTable::new(pools, limits.call_table_limits(), seed)),
            routes: RefCell::new(Rc::new(routes)),
            limits,
            config: RefCell::new(config),
            metrics: RefCell::default(),
            admission: Rc::default(),
            backends: RefCell::default(),
            list_version: Cell::new(u64::MAX),
            not_grpc: Cell::new(0),
            unrouted: Cell::new(0),
            out_of_memory: Cell::new(0),
            abort: Notify::new(),
            aborting: Cell::new(false),
            connection_limit_reached: Notify::new(),
            executor,
        });
        front
            .admission
            .set_control(admission.map(|config| AdmissionControl::new(config, ADMISSION_METRICS_PREFIX)));
        front.update_backends();
        Ok(front)
    }

    /// The current time, in Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.executor.clock.now()
    }

    /// The configured limits. They do not change on a reload.
    pub fn limits(&self) -> &GrpcLimits {
        &self.limits
    }

    /// The current routing table.
    pub fn routes(&self) -> Rc<Routes> {
        self.routes.borrow().clone()
    }

    /// Runs `act` on the call table.
    pub fn with_calls<R>(&self, act: impl FnOnce(&mut CallTable) -> R) -> R {
        act(&mut self.calls.borrow_mut())
    }

    /// Applies a reloaded configuration: pools, backends, routes, the tenant header, and the weights and
    /// exempt networks of admission control. Other changes require a restart.
    pub fn reconfigure(&self, reloaded: GrpcConfig) -> Result<(), RouteError> {
        let (mut routes, pools) = reloaded.compile()?;
        let names: Vec<String> = pools.iter().map(|pool| pool.name.clone()).collect();
        self.with_calls(|calls| calls.reconfigure(pools));
        // Existing pools keep their index in the call table, whatever their order in the new file.
        let index = |name: &String| self.with_calls(|calls| calls.pool_index(name)).unwrap_or(0);
        let indices: Vec<usize> = names.iter().map(index).collect();
        routes.remap_pools(|pool| indices[pool]);
        *self.routes.borrow_mut() = Rc::new(routes);
        if let Some(admission) = reloaded.admission.clone() {
            self.admission.with(|control| control.reconfigure(admission));
        }
        *self.config.borrow_mut() = reloaded;
        self.update_backends();
        Ok(())
    }

    /// Updates the backends if the endpoint list has changed.
    pub fn sync_backends(&self) {
        if self.list_version.get() != self.executor.endpoint_list_changes() {
            self.update_backends();
        }
    }

    fn update_backends(&self) {
        self.list_version.set(self.executor.endpoint_list_changes());
        let config = self.config.borrow();
        for pool in &config.pools {
            let Some(index) = self.with_calls(|calls| calls.pool_index(&pool.name)) else { continue };
            let new_backends = match &pool.discovered {
                None => pool.listed_backends(),
                Some(discovered) => self.executor.backends(&discovered.model, discovered.port),
            };
            self.replace_backends(index, &pool.name, new_backends);
        }
    }

    /// Replaces a pool's backends if they differ, and closes connections to those that no pool uses any more.
    fn replace_backends(&self, index: usize, pool: &str, new_backends: Vec<Backend>) {
        let mut backends = self.backends.borrow_mut();
        if backends.len() <= index {
            backends.resize_with(index + 1, Vec::new);
        }
        if backends[index] == new_backends {
            return;
        }
        self.with_calls(|calls| calls.set_backends(self.now(), index, &new_backends));
        let former = std::mem::replace(&mut backends[index], new_backends);
        let live = backends.iter().flatten().filter(|backend| backend.live);
        let in_use: HashSet<BackendAddress> = live.map(backend_address).collect();
        for backend in former.iter().map(backend_address).filter(|backend| !in_use.contains(backend)) {
            self.upstream.retire(backend);
        }
        let backends = &backends[index];
        let live = backends.iter().filter(|backend| backend.live).count();
        tracing::info!(pool, backends = backends.len(), live, "gRPC pool backends updated");
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let calls = self.calls.borrow();
        let text = self.metrics.borrow_mut().encode(self.now(), &calls, self.upstream.len());
        let text = text.trim_end().trim_end_matches("# EOF").to_string();
        let (not_grpc, unrouted) = (self.not_grpc.get(), self.unrouted.get());
        let out_of_memory = self.out_of_memory.get();
        let request_counters = format!(
            "grpc_not_grpc_total {not_grpc}\ngrpc_unrouted_total {unrouted}\n\
             grpc_out_of_memory_total {out_of_memory}\n# EOF\n"
        );
        text + &request_counters + &self.admission.with(AdmissionControl::metrics).unwrap_or_default()
    }

    /// The share of a pool's backends that are live and not ejected by the policy. Returns `None` if there is
    /// no such pool.
    pub fn usable_share(&self, pool: &str) -> Option<f64> {
        let calls = self.calls.borrow();
        let pool = calls.pools().iter().find(|other| other.name() == pool)?;
        let usable = pool.active_backends().saturating_sub(pool.ejected_backends(self.now()));
        Some(usable as f64 / pool.backends().count().max(1) as f64)
    }

    /// A call's tenant for admission control: the number in the tenant header (0 if missing or invalid), or
    /// that of its route if no header is configured.
    pub fn tenant(&self, route: &Route, header: impl Fn(&str) -> Option<u32>) -> u32 {
        match &self.config.borrow().tenant_header {
            Some(name) => header(name).filter(|tenant| *tenant <= MAX_TENANT).unwrap_or(0),
            None => route.tenant,
        }
    }

    /// Counts a request that is not gRPC.
    pub fn count_not_grpc(&self) {
        self.not_grpc.set(self.not_grpc.get() + 1);
    }

    /// Counts a call without a route or with invalid request headers.
    pub fn count_unrouted(&self) {
        self.unrouted.set(self.unrouted.get() + 1);
    }

    /// Counts a call that is rejected because there is not enough memory for its headers.
    pub fn count_out_of_memory(&self) {
        self.out_of_memory.set(self.out_of_memory.get() + 1);
    }

    /// Records the time from request headers to response headers, in milliseconds.
    pub fn observe_response_head(&self, ms: f64) {
        self.metrics.borrow().response_head_seconds.observe(ms / 1_000.0);
    }

    /// Whether `abort_calls` was called.
    pub fn is_aborting(&self) -> bool {
        self.aborting.get()
    }

    /// Completes when `abort_calls` is called.
    pub async fn abort_requested(&self) {
        self.abort.notified().await;
    }

    /// Ends all open calls, and all future ones, with a status, because the process stops.
    pub fn abort_calls(&self) {
        self.aborting.set(true);
        self.abort.notify_waiters();
    }
}

fn backend_address(backend: &Backend) -> BackendAddress {
    BackendAddress { id: backend.id, address: backend.address }
}
