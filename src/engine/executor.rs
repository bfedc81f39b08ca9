//! Carries out the engine's effects on sockets: one thread, one engine, a task for each connection. It knows
//! no protocol: a [`ConnectionDriver`] speaks to endpoints.

use super::{Effect, EndpointOfKind, Engine};
use crate::admission::control::{AdmissionControl, NotAdmitted};
use crate::clock::{duration_from_ms, Clock};
use crate::settings::PlatformSettings;
use crate::state::ids::ConnectionId;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::{EndpointId, RequestId};
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// When a client is to retry because the table of requests is full, in milliseconds.
const FULL_RETRY_AFTER_MS: f64 = 300.0;

/// An endpoint as a backend of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its id, the same at every proxy.
    pub id: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it accepts new calls. A backend that does not completes those that are open.
    pub live: bool,
    /// Its weight relative to the other backends'.
    pub weight: f64,
}

/// A connection to an endpoint that the engine wants opened.
pub struct Dial {
    /// Its number.
    pub conn: ConnectionId,
    /// The endpoint's address.
    pub address: SocketAddrV4,
    /// Time within which it must be established, in milliseconds.
    pub within_ms: f64,
    /// Notified when [`Engine::next_write`] may have something.
    pub waker: Rc<Notify>,
}

/// Speaks to endpoints: opens a connection, writes the engine's commands and passes replies to it.
pub trait ConnectionDriver {
    /// Serves one connection until either side ends it, and reports to the executor's engine how it came up
    /// ([`Engine::connection_established`] or [`Engine::connection_failed`]) and how it ended
    /// ([`Engine::connection_lost`] or [`Engine::connection_malformed`]).
    fn drive(&self, executor: Rc<Executor>, dial: Dial) -> LocalBoxFuture<'static, ()>;
}

/// An engine with what its tasks share.
pub struct Executor {
    /// The clock of all.
    pub clock: Clock,
    engine: RefCell<Engine>,
    driver: Box<dyn ConnectionDriver>,
    wakers: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<FinalResponse>>>,
    due: Notify,
    /// Admission control, where it is on.
    admission: RefCell<Option<AdmissionControl>>,
    /// Metrics of other subsystems.
    metrics_sources: RefCell<Vec<MetricsSource>>,
}

/// Returns a subsystem's metrics in the Prometheus text format.
pub type MetricsSource = Box<dyn Fn() -> String>;

impl Executor {
    /// An executor for an engine, whose connections `driver` serves. It runs on a `LocalSet`.
    pub fn new(clock: Clock, engine: Engine, driver: impl ConnectionDriver + 'static) -> Rc<Self> {
        Rc::new(Self {
            clock,
            engine: RefCell::new(engine),
            driver: Box::new(driver),
            wakers: RefCell::default(),
            waiting: RefCell::default(),
            due: Notify::new(),
            admission: RefCell::default(),
            metrics_sources: RefCell::default(),
        })
    }

    /// Turns admission control on: from now on every request passes it.
    pub fn set_admission(&self, admission: AdmissionControl) {
        *self.admission.borrow_mut() = Some(admission);
    }

    /// Adds a subsystem's metrics to those that the platform reads.
    pub fn add_metrics(&self, source: MetricsSource) {
        self.metrics_sources.borrow_mut().push(source);
    }

    /// Runs `act` on admission control, where it is on.
    pub fn with_admission<R>(&self, act: impl FnOnce(&mut AdmissionControl) -> R) -> Option<R> {
        self.admission.borrow_mut().as_mut().map(act)
    }

    /// The metrics that the platform reads, of the engine and of all subsystems.
    pub fn metrics(self: &Rc<Self>) -> String {
        let engine = self.with(|engine| engine.metrics());
        let admission = self.with_admission(AdmissionControl::metrics).unwrap_or_default();
        let subsystems: String = self.metrics_sources.borrow().iter().map(|source| source()).collect();
        engine + &admission + &subsystems
    }

    /// Runs `act` on the engine, and carries out the effects.
    pub fn with<R>(self: &Rc<Self>, act: impl FnOnce(&mut Engine) -> R) -> R {
        let result = act(&mut self.engine.borrow_mut());
        self.run_effects();
        result
    }

    /// The present settings.
    pub fn settings(&self) -> Rc<PlatformSettings> {
        self.engine.borrow().settings()
    }

    /// How often the list of endpoints has changed.
    pub fn endpoint_list_changes(&self) -> u64 {
        self.engine.borrow().endpoint_list_changes()
    }

    /// The listed endpoints of a kind as backends, at their own addresses with `port`, by id.
    pub fn backends(&self, kind: &str, port: u16) -> Vec<Backend> {
        let engine = self.engine.borrow();
        let backends = engine.endpoints_of_kind(kind).map(|endpoint| Backend {
            id: endpoint.id,
            address: SocketAddr::new((*endpoint.address.ip()).into(), port),
            live: endpoint.usable,
            weight: 1.0,
        });
        let mut backends: Vec<Backend> = backends.collect();
        backends.sort_by_key(|backend| backend.id);
        backends
    }

    /// The listed endpoints of a kind, whatever their state, with their own addresses.
    pub fn endpoints_of_kind(&self, kind: &str) -> Vec<EndpointOfKind> {
        self.engine.borrow().endpoints_of_kind(kind).collect()
    }

    /// Carries out the engine's effects until there is none left.
    fn run_effects(self: &Rc<Self>) {
        loop {
            let effect = self.engine.borrow_mut().take_effect();
            match effect {
                None => break,
                Some(Effect::Open { conn, address, within_ms }) => {
                    self.open_connection(conn, address, within_ms);
                }
                Some(Effect::Wake(conn)) => {
                    if let Some(waker) = self.wakers.borrow().get(&conn) {
                        waker.notify_one();
                    }
                }
                Some(Effect::Respond(id, response)) => self.finish(id, response),
            }
        }
        self.due.notify_one();
    }

    /// Starts the task of a connection.
    fn open_connection(self: &Rc<Self>, conn: ConnectionId, address: SocketAddrV4, within_ms: f64) {
        let waker = Rc::new(Notify::new());
        self.wakers.borrow_mut().insert(conn, waker.clone());
        let dial = Dial { conn, address, within_ms, waker };
        let executor = self.clone();
        self.spawn("an endpoint's connection", async move {
            let _guard = ConnectionGuard { executor: executor.clone(), conn };
            executor.driver.drive(executor.clone(), dial).await;
        });
    }

    /// Delivers a final response, and admits the requests for which it makes room.
    fn finish(self: &Rc<Self>, id: RequestId, response: FinalResponse) {
        let now = self.clock.now();
        let admitted = self.with_admission(|admission| admission.completed(now, id, Some(&response)));
        self.deliver(id, response);
        admitted.into_iter().flatten().for_each(|request| self.admit_queued(request));
    }

    /// Sends a final response to the client that waits for it.
    fn deliver(&self, id: RequestId, response: FinalResponse) {
        if let Some(client) = self.waiting.borrow_mut().remove(&id) {
            // The client may have disconnected just now.
            let _ = client.send(response);
        }
    }

    /// Submits a request; its final response comes by the receiver. Admission control may queue it first, or
    /// reject it at once.
    ///
    /// # Errors
    ///
    /// [`AdmitError`] where its id is open already or the table of requests is full.
    pub fn submit(
        self: &Rc<Self>,
        request: IncomingRequest,
    ) -> Result<oneshot::Receiver<FinalResponse>, AdmitError> {
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let decision = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.arrive(now, request),
            None => Ok(Some(request)),
        };
        match decision {
            Err(NotAdmitted::Duplicate) => Err(AdmitError::Duplicate),
            Err(NotAdmitted::Shed { retry_after_ms }) => {
                let _ = sender.send(FinalResponse::Rejected { retry_after_ms, overdue: false });
                Ok(receiver)
            }
            Ok(None) => {
                self.waiting.borrow_mut().insert(id, sender);
                Ok(receiver)
            }
            Ok(Some(request)) => {
                let accepted = self.engine.borrow_mut().submit(request);
                match accepted {
                    Ok(()) => drop(self.waiting.borrow_mut().insert(id, sender)),
                    Err(_) => self.release_admission(id),
                }
                self.run_effects();
                accepted.map(|()| receiver)
            }
        }
    }

    /// Submits a request that admission control had queued to the engine.
    fn admit_queued(self: &Rc<Self>, request: IncomingRequest) {
        let id = request.id;
        if let Err(error) = self.engine.borrow_mut().submit(request) {
            let retry_after_ms = if error == AdmitError::Full { FULL_RETRY_AFTER_MS } else { 0.0 };
            self.deliver(id, FinalResponse::Rejected { retry_after_ms, overdue: false });
            self.release_admission(id);
        }
    }

    /// Notes that an admitted request ended without a response of the engine, and admits the next ones.
    fn release_admission(self: &Rc<Self>, id: RequestId) {
        let now = self.clock.now();
        let admitted = self.with_admission(|admission| admission.completed(now, id, None));
        admitted.into_iter().flatten().for_each(|request| self.admit_queued(request));
    }

    /// A client disconnected before its response. A request that was queued by admission control is dropped
    /// there.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.waiting.borrow_mut().remove(&id);
        if self.with_admission(|admission| admission.disconnected(id)) == Some(true) {
            return;
        }
        self.with(|engine| engine.client_disconnected(id));
        self.release_admission(id);
        self.run_effects();
    }

    /// Rejects the queued requests whose time is over.
    fn reject_expired(self: &Rc<Self>) {
        let now = self.clock.now();
        for expired in self.with_admission(|admission| admission.expire(now)).unwrap_or_default() {
            let retry_after_ms = expired.retry_after_ms;
            self.deliver(expired.id, FinalResponse::Rejected { retry_after_ms, overdue: false });
        }
    }

    /// Spawns a task. A panic in it is counted and affects no other task.
    pub fn spawn(self: &Rc<Self>, what: &'static str, task: impl Future<Output = ()> + 'static) {
        let task = tokio::task::spawn_local(task);
        let executor = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = task.await {
                if error.is_panic() {
                    executor.engine.borrow_mut().counters.panics += 1;
                    tracing::error!(what, "a task ended in a panic");
                }
            }
        });
    }

    /// Runs whatever is due, for ever.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let admission_due = self.with_admission(|admission| admission.next_deadline()).flatten();
            let engine_due = self.engine.borrow_mut().next_due();
            let due = engine_due.min(admission_due.unwrap_or(f64::INFINITY));
            let wait = duration_from_ms(due - self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => {
                    self.reject_expired();
                    self.with(Engine::tick);
                }
                () = self.due.notified() => {}
            }
        }
    }
}

/// Forgets a connection when its driver ends; after a panic of the driver, also ends its attempts at the
/// engine.
struct ConnectionGuard {
    executor: Rc<Executor>,
    conn: ConnectionId,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.executor.wakers.borrow_mut().remove(&self.conn);
        if std::thread::panicking() {
            self.executor.with(|engine| engine.connection_lost(self.conn));
        }
    }
}
