//! Carries out the effects of an engine on a single thread, with one task for each connection to an endpoint.
//! It is independent of the protocol, which a [`ConnectionDriver`] implements.

use super::{Effect, EndpointSummary, Engine};
use crate::admission::control::{AdmissionControl, NotAdmitted};
use crate::clock::{duration_from_ms, Clock};
use crate::settings::PlatformSettings;
use crate::state::ids::ConnectionId;
use crate::state::request_memory::RequestMemory;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError, FULL_RETRY_AFTER_MS};
use crate::{EndpointId, RequestId};
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// An endpoint as a backend of a load-balancing pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its id, the same at every proxy.
    pub id: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it accepts new calls. A backend that is not live still completes its open calls.
    pub live: bool,
    /// Its weight relative to the other backends'.
    pub weight: f64,
}

/// The parameters with which a [`ConnectionDriver`] opens and serves a connection to an endpoint.
pub struct Dial {
    /// Id of the connection.
    pub conn: ConnectionId,
    /// The endpoint's address.
    pub address: SocketAddrV4,
    /// Connect time-out, in milliseconds.
    pub connect_timeout_ms: f64,
    /// Notified when [`Engine::next_write`] may return something other than `Idle`.
    pub waker: Rc<Notify>,
}

/// Implements the protocol to endpoints: opens connections, writes the engine's commands and passes it the
/// replies.
pub trait ConnectionDriver {
    /// Serves one connection until either side closes it. Reports to the executor's engine whether it was
    /// established ([`Engine::connection_established`] or [`Engine::connection_failed`]) and how it ended
    /// ([`Engine::connection_lost`] or [`Engine::connection_dropped`]).
    fn drive(&self, executor: Rc<Executor>, dial: Dial) -> LocalBoxFuture<'static, ()>;
}

/// Owns an engine and carries out its effects: holds the connections' wakers and the channels to waiting
/// clients.
pub struct Executor {
    /// The clock that all subsystems share.
    pub clock: Clock,
    engine: RefCell<Engine>,
    driver: Box<dyn ConnectionDriver>,
    wakers: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// The clients that wait for a response, by the ids of their requests: those that are open in the engine and
    /// those that admission control has queued. An id belongs to one request at a time.
    responders: RefCell<HashMap<RequestId, oneshot::Sender<FinalResponse>>>,
    timers_changed: Notify,
    /// Admission control, if it is enabled.
    admission: RefCell<Option<AdmissionControl>>,
    /// The memory of the requests of all fronts; unlimited unless set.
    pub request_memory: Rc<RequestMemory>,
    /// Sources of the other subsystems' metrics.
    metrics_sources: RefCell<Vec<MetricsSource>>,
}

/// Returns a subsystem's metrics in the Prometheus text format.
pub type MetricsSource = Box<dyn Fn() -> String>;

impl Executor {
    /// Creates an executor for an engine, with `driver` for its connections. It must run on a `LocalSet`.
    pub fn new(clock: Clock, engine: Engine, driver: impl ConnectionDriver + 'static) -> Rc<Self> {
        Rc::new(Self {
            clock,
            engine: RefCell::new(engine),
            driver: Box::new(driver),
            wakers: RefCell::default(),
            responders: RefCell::default(),
            timers_changed: Notify::new(),
            admission: RefCell::default(),
            request_memory: RequestMemory::new(usize::MAX / 2),
            metrics_sources: RefCell::default(),
        })
    }

    /// Enables admission control for all requests from now on.
    pub fn set_admission(&self, admission: AdmissionControl) {
        *self.admission.borrow_mut() = Some(admission);
    }

    /// Adds the metrics of a subsystem to [`Self::metrics`].
    pub fn add_metrics(&self, source: MetricsSource) {
        self.metrics_sources.borrow_mut().push(source);
    }

    /// Runs `f` on admission control, if that is enabled.
    pub fn with_admission<R>(&self, f: impl FnOnce(&mut AdmissionControl) -> R) -> Option<R> {
        self.admission.borrow_mut().as_mut().map(f)
    }

    /// The metrics of the engine and of all subsystems, as exposed to the platform.
    pub fn metrics(self: &Rc<Self>) -> String {
        let engine = self.with(|engine| engine.metrics());
        let admission = self.with_admission(AdmissionControl::metrics).unwrap_or_default();
        let subsystems: String = self.metrics_sources.borrow().iter().map(|source| source()).collect();
        engine + &self.request_memory.metrics() + &admission + &subsystems
    }

    /// Runs `f` on the engine and carries out the resulting effects, also those before a panic of `f`: they may
    /// be the responses to other requests.
    pub fn with<R>(self: &Rc<Self>, f: impl FnOnce(&mut Engine) -> R) -> R {
        let result = catch_unwind(AssertUnwindSafe(|| f(&mut self.engine.borrow_mut())));
        self.run_effects();
        result.unwrap_or_else(|panic| resume_unwind(panic))
    }

    /// The current settings.
    pub fn settings(&self) -> Rc<PlatformSettings> {
        self.engine.borrow().settings()
    }

    /// See [`Engine::endpoint_list_changes`].
    pub fn endpoint_list_changes(&self) -> u64 {
        self.engine.borrow().endpoint_list_changes()
    }

    /// The listed endpoints of a kind as backends, at their own IP addresses with `port`, sorted by id.
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

    /// The listed endpoints of a kind in any state, with their published addresses.
    pub fn endpoints_of_kind(&self, kind: &str) -> Vec<EndpointSummary> {
        self.engine.borrow().endpoints_of_kind(kind).collect()
    }

    /// Carries out the pending effects of the engine.
    fn run_effects(self: &Rc<Self>) {
        loop {
            let effect = self.engine.borrow_mut().take_effect();
            match effect {
                None => break,
                Some(Effect::Open { conn, address, connect_timeout_ms }) => {
                    self.open_connection(conn, address, connect_timeout_ms);
                }
                Some(Effect::Wake(conn)) => {
                    if let Some(waker) = self.wakers.borrow().get(&conn) {
                        waker.notify_one();
                    }
                }
                Some(Effect::Respond(id, response)) => self.complete_request(id, response),
            }
        }
        self.timers_changed.notify_one();
    }

    /// Spawns the task that serves a connection.
    fn open_connection(self: &Rc<Self>, conn: ConnectionId, address: SocketAddrV4, connect_timeout_ms: f64) {
        let waker = Rc::new(Notify::new());
        self.wakers.borrow_mut().insert(conn, waker.clone());
        let dial = Dial { conn, address, connect_timeout_ms, waker };
        let executor = self.clone();
        self.spawn("endpoint connection", async move {
            let driven = executor.driver.drive(executor.clone(), dial);
            let has_ended = executor.contain("endpoint connection", driven).await;
            executor.wakers.borrow_mut().remove(&conn);
            if has_ended.is_none() {
                executor.with(|engine| engine.connection_lost(conn));
            }
        });
    }

    /// Delivers a final response, and submits the queued requests that admission control releases.
    fn complete_request(self: &Rc<Self>, id: RequestId, response: FinalResponse) {
        let now = self.clock.now();
        let admitted = self.with_admission(|admission| admission.complete(now, id, Some(&response)));
        self.deliver(id, response);
        admitted.into_iter().flatten().for_each(|request| self.admit_queued(request));
    }

    /// Sends a final response to the client that waits for it.
    fn deliver(&self, id: RequestId, response: FinalResponse) {
        if let Some(client) = self.responders.borrow_mut().remove(&id) {
            // The receiver is gone if the client has disconnected.
            let _ = client.send(response);
        }
    }

    /// Submits a request. The receiver gets its final response. Admission control may queue the request or
    /// reject it immediately.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if a request with its id is open or queued, or the request table is full.
    pub fn submit(
        self: &Rc<Self>,
        request: IncomingRequest,
    ) -> Result<oneshot::Receiver<FinalResponse>, SubmitError> {
        let id = request.id;
        if self.responders.borrow().contains_key(&id) {
            self.engine.borrow_mut().count_duplicate(&request.class);
            return Err(SubmitError::Duplicate);
        }
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let request = self.engine.borrow().with_limited_deadline(request);
        let decision = match self.admission.borrow_mut().as_mut() {
            Some(admission) => admission.submit(now, request),
            None => Ok(Some(request)),
        };
        match decision {
            Err(NotAdmitted::Duplicate) => Err(SubmitError::Duplicate),
            Err(NotAdmitted::Shed { retry_after_ms }) => {
                let _ = sender.send(FinalResponse::not_run(retry_after_ms));
                Ok(receiver)
            }
            Ok(None) => {
                self.responders.borrow_mut().insert(id, sender);
                // It may be the first one to expire in the queue.
                self.timers_changed.notify_one();
                Ok(receiver)
            }
            Ok(Some(request)) => {
                let accepted = self.engine.borrow_mut().submit(request);
                match accepted {
                    Ok(()) => drop(self.responders.borrow_mut().insert(id, sender)),
                    Err(_) => self.release_admission(id),
                }
                self.run_effects();
                accepted.map(|()| receiver)
            }
        }
    }

    /// Submits a request that admission control had queued. It is rejected if the engine does not accept
    /// it.
    fn admit_queued(self: &Rc<Self>, request: IncomingRequest) {
        let id = request.id;
        if let Err(error) = self.engine.borrow_mut().submit(request) {
            let retry_after_ms = if error == SubmitError::Full { FULL_RETRY_AFTER_MS } else { 0.0 };
            self.deliver(id, FinalResponse::not_run(retry_after_ms));
            self.release_admission(id);
        }
    }

    /// Tells admission control that a request ended without a response from the engine, and submits the
    /// queued requests that this releases.
    fn release_admission(self: &Rc<Self>, id: RequestId) {
        let now = self.clock.now();
        let admitted = self.with_admission(|admission| admission.complete(now, id, None));
        admitted.into_iter().flatten().for_each(|request| self.admit_queued(request));
    }

    /// Drops a request whose client disconnected before the response, from the queue of admission control or
    /// from the engine.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.responders.borrow_mut().remove(&id);
        if self.with_admission(|admission| admission.remove_disconnected(id)) == Some(true) {
            return;
        }
        self.with(|engine| engine.client_disconnected(id));
        self.release_admission(id);
        self.run_effects();
    }

    /// Limits the deadlines of all open, queued and future requests to a time in Unix milliseconds, because the
    /// process stops.
    pub fn limit_deadlines(self: &Rc<Self>, limit_ms: f64) {
        self.with_admission(|admission| admission.limit_deadlines(limit_ms));
        self.with(|engine| engine.limit_deadlines(limit_ms));
    }

    /// Ends all open and queued requests with a final response, and all future ones at once. Depends on no
    /// timer: the wall clock may have stepped back since the deadlines were set.
    pub fn end_requests(self: &Rc<Self>) {
        self.limit_deadlines(self.clock.now());
        self.reject_expired();
        self.with(Engine::tick);
    }

    /// Rejects the requests that expired in the queue of admission control.
    fn reject_expired(self: &Rc<Self>) {
        let now = self.clock.now();
        for expired in self.with_admission(|admission| admission.expire(now)).unwrap_or_default() {
            let retry_after_ms = expired.retry_after_ms;
            self.deliver(expired.id, FinalResponse::not_run(retry_after_ms));
        }
    }

    /// Spawns a task. A panic in it is logged with `what` as the task's name, and counted; it does not affect
    /// other tasks.
    pub fn spawn(self: &Rc<Self>, what: &'static str, task: impl Future<Output = ()> + 'static) {
        let executor = self.clone();
        tokio::task::spawn_local(async move {
            executor.contain(what, task).await;
        });
    }

    /// Runs a future. A panic in it is logged with `what` as its name, and counted; the result is `None` then.
    pub async fn contain<T>(&self, what: &'static str, future: impl Future<Output = T>) -> Option<T> {
        let result = AssertUnwindSafe(future).catch_unwind().await;
        if result.is_err() {
            self.engine.borrow_mut().counters.panics += 1;
            tracing::error!(what, "panicked");
        }
        result.ok()
    }

    /// Runs the timers of the engine and of admission control. Never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let admission_due = self.with_admission(|admission| admission.next_expiry_ms()).flatten();
            let engine_due = self.engine.borrow_mut().next_due();
            let due = engine_due.min(admission_due.unwrap_or(f64::INFINITY));
            let wait = duration_from_ms(due - self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => {
                    self.reject_expired();
                    self.with(Engine::tick);
                }
                () = self.timers_changed.notified() => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
