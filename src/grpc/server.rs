//! Clients' connections: HTTP/2 by the `h2` crate, with prior knowledge (RFC 9113, section 3.3), a task for each
//! connection and each call. What `h2` finds malformed ends the stream or the connection as RFC 9113 says.

use super::admission::CallAdmission;
use super::calls::{Backend, CallTable};
use super::config::{GrpcConfig, GrpcLimits};
use super::metrics::Metrics;
use super::relay::relay;
use super::routes::Routes;
use super::upstream::Upstream;
use crate::admission::control::AdmissionControl;
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::wire::http::{HttpAnswer, HttpRequest};
use crate::wire::listener::Stop;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;

/// The wait after an accept that failed, in milliseconds: most likely for want of descriptors.
const ACCEPT_RETRY_MS: u64 = 20;
/// How often idle connections to backends, and the list of members, are looked at, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: u64 = 100;
/// How long a connection to a backend may be without a call, in milliseconds.
const UPSTREAM_IDLE_MS: f64 = 60_000.0;

/// The front, as all its tasks share it.
pub struct GrpcFront {
    /// The host, for the clock and the list of members.
    pub host: Rc<Executor>,
    /// Connections to backends.
    pub upstream: Rc<Upstream>,
    calls: RefCell<CallTable>,
    routes: RefCell<Rc<Routes>>,
    config: RefCell<GrpcConfig>,
    limits: GrpcLimits,
    metrics: RefCell<Metrics>,
    /// Fair queues ahead of unary calls.
    pub door: Rc<CallAdmission>,
    /// The backends of each pool as last listed, by the pool's place.
    listed: RefCell<Vec<Vec<Backend>>>,
    roster_seen: Cell<u64>,
    not_grpc: Cell<u64>,
    unrouted: Cell<u64>,
    /// Calls under way end now.
    cut: Notify,
    cutting: Cell<bool>,
    /// A newcomer has no place: a connection without a call is to give up its own.
    crowded: Notify,
}

impl GrpcFront {
    /// A front of an operator file, with its backends listed.
    pub fn new(host: Rc<Executor>, config: GrpcConfig, seed: u64) -> Result<Rc<Self>, String> {
        let (routes, pools) = config.compile()?;
        let upstream = Upstream::new(host.clock.clone(), config.limits.clone(), config.connections());
        let front = Rc::new(Self {
            upstream,
            calls: RefCell::new(CallTable::new(pools, config.bounds(), seed)),
            routes: RefCell::new(Rc::new(routes)),
            limits: config.limits.clone(),
            config: RefCell::new(config),
            metrics: RefCell::default(),
            door: Rc::default(),
            listed: RefCell::default(),
            roster_seen: Cell::new(u64::MAX),
            not_grpc: Cell::new(0),
            unrouted: Cell::new(0),
            cut: Notify::new(),
            cutting: Cell::new(false),
            crowded: Notify::new(),
            host,
        });
        let door = front.config.borrow().admission.clone();
        front.door.set(door.map(|door| AdmissionControl::new(door, "grpc_door")));
        front.list();
        Ok(front)
    }

    /// The time.
    pub fn now(&self) -> f64 {
        self.host.clock.now()
    }

    /// The bounds.
    pub fn limits(&self) -> &GrpcLimits {
        &self.limits
    }

    /// The table of methods as it is by now.
    pub fn routes(&self) -> Rc<Routes> {
        self.routes.borrow().clone()
    }

    /// Lets the calls do something.
    pub fn with<R>(&self, act: impl FnOnce(&mut CallTable) -> R) -> R {
        act(&mut self.calls.borrow_mut())
    }

    /// Takes the operator file anew: backends, pools and methods. A file that can't be used changes nothing.
    pub fn reconfigure(&self, fresh: GrpcConfig) -> Result<(), String> {
        let (mut routes, pools) = fresh.compile()?;
        let names: Vec<String> = pools.iter().map(|p| p.name.clone()).collect();
        self.with(|calls| calls.reconfigure(pools));
        // Pools keep their places; those of the file may have moved.
        let places =
            names.iter().map(|name| self.with(|calls| calls.pool(name)).unwrap_or(0)).collect::<Vec<_>>();
        routes.renumber(|pool| places[pool]);
        *self.routes.borrow_mut() = Rc::new(routes);
        // Weights and exempt networks of the door hold from its next round; its bounds need a new process.
        fresh.admission.clone().map(|door| self.door.with(|gate| gate.reconfigure(door)));
        *self.config.borrow_mut() = fresh;
        self.list();
        Ok(())
    }

    /// Takes the list of members as it is by now, where it has changed.
    pub fn sync(&self) {
        if self.roster_seen.get() != self.host.roster_changes() {
            self.list();
        }
    }

    fn list(&self) {
        self.roster_seen.set(self.host.roster_changes());
        let (now, config) = (self.now(), self.config.borrow());
        let mut listed = self.listed.borrow_mut();
        for pool in &config.pools {
            let Some(place) = self.with(|calls| calls.pool(&pool.name)) else { continue };
            let fresh = match &pool.discovered {
                None => config.backends(pool),
                Some(from) => self.host.backends(&from.model, from.port),
            };
            if listed.len() <= place {
                listed.resize_with(place + 1, Vec::new);
            }
            if listed[place] == fresh {
                continue;
            }
            self.with(|calls| calls.list(now, place, &fresh));
            let old = std::mem::replace(&mut listed[place], fresh);
            let live = |all: &[Backend], at| all.iter().any(|b| b.live && b.address == at);
            let gone: Vec<_> = old.iter().map(|b| b.address).collect();
            for at in gone.into_iter().filter(|at| !listed.iter().any(|all| live(all, *at))) {
                self.upstream.retire(at);
            }
            let (all, live) = (listed[place].len(), listed[place].iter().filter(|b| b.live).count());
            tracing::info!(pool = pool.name, backends = all, live, "gRPC: backends listed");
        }
    }

    /// The figures, in the Prometheus text format.
    pub fn figures(&self) -> String {
        let calls = self.calls.borrow();
        let text = self.metrics.borrow_mut().text(self.now(), &calls, self.upstream.len());
        let (other, unrouted) = (self.not_grpc.get(), self.unrouted.get());
        let text = text.trim_end().trim_end_matches("# EOF").to_string();
        let own = format!("grpc_not_grpc_total {other}\ngrpc_unrouted_total {unrouted}\n# EOF\n");
        text + &own + &self.door.with(AdmissionControl::metrics).unwrap_or_default()
    }

    /// The share of a pool's backends that take calls and that the module does not leave; none for no such pool.
    pub fn usable(&self, pool: &str) -> Option<f64> {
        let (now, calls) = (self.now(), self.calls.borrow());
        let place = calls.pool(pool)?;
        let (all, live) =
            calls.backends(place).fold((0, 0), |(all, live), b| (all + 1, live + usize::from(b.live)));
        Some(live.saturating_sub(calls.avoided(now, place)) as f64 / all.max(1) as f64)
    }

    /// The front's state for the second address, `GET /grpc`.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpAnswer> {
        if request.target != "/grpc" {
            return None;
        }
        if request.method != "GET" {
            return Some(HttpAnswer::status(405).with("Allow", "GET"));
        }
        let calls = self.calls.borrow();
        let pools = calls.counters().enumerate().map(|(place, (name, f, live))| PoolStatus {
            name: name.to_string(),
            live,
            avoided: calls.avoided(self.now(), place),
            backends: calls
                .backends(place)
                .map(|b| BackendStatus { address: b.address, live: b.live })
                .collect(),
            served: f.outcomes[0],
            refused: f.outcomes[1],
            failed: f.outcomes[2],
            left: f.outcomes[3],
            attempts: f.attempts,
        });
        let status = Status { open: calls.open(), connections: self.upstream.len(), pools: pools.collect() };
        let body = simd_json::to_vec(&status).unwrap_or_default();
        Some(
            HttpAnswer { body: body.into(), ..HttpAnswer::status(200) }
                .with("Content-Type", "application/json"),
        )
    }

    /// A call's tenant at the door, by its header or its route.
    pub fn tenant(&self, class: usize, header: impl Fn(&str) -> Option<u32>) -> u32 {
        match &self.config.borrow().tenant_header {
            Some(name) => header(name).filter(|n| *n <= 255).unwrap_or(0),
            None => class as u32,
        }
    }

    /// A request came that is not gRPC.
    pub fn not_grpc(&self) {
        self.not_grpc.set(self.not_grpc.get() + 1);
    }

    /// A call came that the table does not know, or whose head can't be used.
    pub fn unrouted(&self) {
        self.unrouted.set(self.unrouted.get() + 1);
    }

    /// A response's headers went out, this many milliseconds after the call's own.
    pub fn observe_head(&self, ms: f64) {
        self.metrics.borrow().first_head.observe(ms / 1_000.0);
    }

    /// Whether calls are to end now.
    pub fn is_cut(&self) -> bool {
        self.cutting.get()
    }

    /// Waits until they are.
    pub async fn cut(&self) {
        self.cut.notified().await;
    }

    fn cut_all(&self) {
        self.cutting.set(true);
        self.cut.notify_waiters();
    }
}

/// The front's state, in words for people.
#[derive(serde::Serialize)]
struct Status {
    open: usize,
    connections: usize,
    pools: Vec<PoolStatus>,
}

#[derive(serde::Serialize)]
struct PoolStatus {
    name: String,
    live: usize,
    avoided: usize,
    backends: Vec<BackendStatus>,
    served: u64,
    refused: u64,
    failed: u64,
    left: u64,
    attempts: u64,
}

#[derive(serde::Serialize)]
struct BackendStatus {
    address: SocketAddr,
    live: bool,
}

/// Keeps the front's housekeeping.
pub async fn keep(front: Rc<GrpcFront>) {
    loop {
        tokio::time::sleep(Duration::from_millis(HOUSEKEEPING_INTERVAL_MS)).await;
        front.sync();
        front.upstream.tidy(UPSTREAM_IDLE_MS);
    }
}

/// Refuses, at once, what waited at the door and whose time is over.
pub async fn keep_admission(front: Rc<GrpcFront>) {
    loop {
        let left = front.door.next_due() - front.now();
        tokio::select! {
            () = tokio::time::sleep(duration_from_ms(left)) => front.door.tick(front.now()),
            () = front.door.due.notified() => {}
        }
    }
}

/// Ends what is still under way some time after the stop has begun.
pub async fn cut_at_stop(front: Rc<GrpcFront>, stop: Rc<Stop>) {
    stop.begun().await;
    tokio::time::sleep(duration_from_ms(front.limits.stop_ms)).await;
    front.cut_all();
}

/// Accepts clients until `closing`.
pub async fn accept(front: Rc<GrpcFront>, listener: TcpListener, stop: Rc<Stop>, closing: Rc<Notify>) {
    let places = std::sync::Arc::new(Semaphore::new(front.limits.clients));
    let mut last = false;
    loop {
        let place = match places.clone().try_acquire_owned() {
            Ok(place) => place,
            Err(_) => {
                // Above the cap one newcomer waits here, the others in the machine's queue.
                front.crowded.notify_one();
                let _ = timeout(Duration::from_millis(ACCEPT_RETRY_MS), closing.notified())
                    .await
                    .map(|()| last = true);
                continue;
            }
        };
        let accepted = if last {
            // What the machine had accepted before the stop counts as taken.
            match timeout(Duration::from_millis(1), listener.accept()).await {
                Ok(accepted) => accepted,
                Err(_) => return,
            }
        } else {
            tokio::select! {
                biased;
                () = closing.notified() => {
                    last = true;
                    continue;
                }
                accepted = listener.accept() => accepted,
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                front.host.with(|engine| engine.counters.clients += 1);
                let (own, stop) = (front.clone(), stop.clone());
                let open = stop.enter();
                front.host.spawn("a gRPC client's connection", async move {
                    let (_open, _place) = (open, place);
                    if let Err(error) = serve(&own, stream, peer.ip(), &stop).await {
                        tracing::debug!(%error, "gRPC: a client's connection ended");
                    }
                });
            }
            Err(_) => {
                // Guards against running out of descriptors: the clients wait, the process goes on.
                front.host.with(|engine| engine.counters.accept_failures += 1);
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// A call that is open on a connection, counted there until this is dropped.
struct OpenCall(Rc<Cell<usize>>, Rc<Notify>);

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
        self.1.notify_one();
    }
}

async fn serve(
    front: &Rc<GrpcFront>,
    stream: TcpStream,
    peer: IpAddr,
    stop: &Rc<Stop>,
) -> Result<(), h2::Error> {
    let _ = stream.set_nodelay(true);
    let l = &front.limits;
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(l.window_bytes)
        .initial_connection_window_size(l.window_bytes.saturating_mul(4).min(1 << 30))
        .max_concurrent_streams(l.streams_per_client)
        .max_header_list_size(l.header_bytes)
        .max_send_buffer_size(l.window_bytes as usize);
    // Guards the places against a client that never says what it speaks.
    let Ok(link) = timeout(duration_from_ms(l.first_ms), builder.handshake::<_, Bytes>(stream)).await else {
        return Ok(());
    };
    let mut link = link?;
    let (open, ended) = (Rc::new(Cell::new(0usize)), Rc::new(Notify::new()));
    let mut leaving = false;
    loop {
        let idle = open.get() == 0 && !leaving;
        tokio::select! {
            biased;
            accepted = link.accept() => match accepted {
                None => return Ok(()),
                Some(Err(error)) => return Err(error),
                Some(Ok((request, respond))) => {
                    open.set(open.get() + 1);
                    let call = OpenCall(open.clone(), ended.clone());
                    let own = front.clone();
                    front.host.spawn("a gRPC call", async move {
                        let _call = call;
                        relay(own, request, respond, peer).await;
                    });
                    // As soon as there is another call, the connection is looked at anew.
                }
            },
            () = stop.begun(), if !leaving => {
                leaving = true;
                link.graceful_shutdown();
            }
            () = front.crowded.notified(), if idle => {
                leaving = true;
                link.graceful_shutdown();
            }
            () = tokio::time::sleep(duration_from_ms(l.idle_ms)), if idle => {
                leaving = true;
                link.graceful_shutdown();
            }
            () = ended.notified(), if !idle => {}
        }
    }
}
