//! Carries out the engine's effects on sockets: one thread, one engine, a task for each connection. It knows no
//! protocol: what speaks to members is a [`ConnectionDriver`] that it is given.

use super::{Effect, Engine};
use crate::admission::control::AdmissionControl;
use crate::admission::fair::Verdict;
use crate::clock::{duration_from_ms, Clock};
use crate::settings::PlatformSettings;
use crate::state::connections::ConnectionId;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::{EndpointId, RequestId};
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

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
    /// Where to.
    pub address: SocketAddrV4,
    /// How long it may take to come up, in milliseconds.
    pub within_ms: f64,
    /// Notified when there may be something to ask [`Engine::next_write`] for.
    pub waker: Rc<Notify>,
}

/// Speaks to endpoints: opens a connection, writes what the engine has and hands it what comes.
pub trait ConnectionDriver {
    /// Serves one connection until either side ends it, and reports to the executor's engine how it came up
    /// ([`Engine::connection_established`] or [`Engine::connection_failed`]) and how it ended ([`Engine::connection_lost`] or
    /// [`Engine::connection_malformed`]).
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
    /// The door's fair queues, where they are on.
    admission: RefCell<Option<AdmissionControl>>,
    figures: RefCell<Vec<Figures>>,
}

/// A subsystem's figures, in the Prometheus text format.
pub type Figures = Box<dyn Fn() -> String>;

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
            figures: RefCell::default(),
        })
    }

    /// Puts fair queues at the door: from now on every request goes through them.
    pub fn set_admission(&self, admission: AdmissionControl) {
        *self.admission.borrow_mut() = Some(admission);
    }

    /// Adds a subsystem's figures to those that the platform reads.
    pub fn add_metrics(&self, figures: Figures) {
        self.figures.borrow_mut().push(figures);
    }

    /// Lets the door's queues do something, where they are on.
    pub fn with_admission<R>(&self, act: impl FnOnce(&mut AdmissionControl) -> R) -> Option<R> {
        self.admission.borrow_mut().as_mut().map(act)
    }

    /// The figures that the platform reads, with the door's where it is on.
    pub fn metrics(self: &Rc<Self>) -> String {
        let engine = self.with(|engine| engine.metrics());
        let more: String = self.figures.borrow().iter().map(|figures| figures()).collect();
        engine + &self.with_admission(AdmissionControl::figures).unwrap_or_default() + &more
    }

    /// Lets the engine do something, and carries out what it wants.
    pub fn with<R>(self: &Rc<Self>, act: impl FnOnce(&mut Engine) -> R) -> R {
        let result = act(&mut self.engine.borrow_mut());
        self.run_effects();
        result
    }

    /// The settings as they are by now.
    pub fn settings(&self) -> Rc<PlatformSettings> {
        self.engine.borrow().settings()
    }

    /// How often the list of endpoints has changed.
    pub fn endpoint_list_changes(&self) -> u64 {
        self.engine.borrow().endpoint_list_changes()
    }

    /// The listed endpoints of a kind as backends, at their own addresses with `port`, by id.
    pub fn backends(&self, model: &str, port: u16) -> Vec<Backend> {
        let engine = self.engine.borrow();
        let mut all: Vec<Backend> = engine
            .endpoints_of_kind(model)
            .map(|(id, at, live)| Backend {
                id,
                address: SocketAddr::new((*at.ip()).into(), port),
                live,
                weight: 1.0,
            })
            .collect();
        all.sort_by_key(|b| b.id);
        all
    }

    /// The listed endpoints of a kind, whatever their state, with their own addresses.
    pub fn endpoints(&self, model: &str) -> Vec<(EndpointId, SocketAddr)> {
        let engine = self.engine.borrow();
        let endpoints = engine.endpoints_of_kind(model).map(|(id, at, _)| (id, SocketAddr::V4(at)));
        endpoints.collect()
    }

    fn run_effects(self: &Rc<Self>) {
        loop {
            let effect = self.engine.borrow_mut().take_effect();
            match effect {
                None => break,
                Some(Effect::Open { conn, address, within_ms }) => {
                    let waker = Rc::new(Notify::new());
                    self.wakers.borrow_mut().insert(conn, waker.clone());
                    let dial = Dial { conn, address, within_ms, waker };
                    let executor = self.clone();
                    self.spawn("a member's connection", async move {
                        // Guards against a panic in the driver leaving its attempts out for ever.
                        let _end = ConnectionGuard { executor: executor.clone(), conn };
                        executor.driver.drive(executor.clone(), dial).await;
                    });
                }
                Some(Effect::Wake(conn)) => {
                    if let Some(waker) = self.wakers.borrow().get(&conn) {
                        waker.notify_one();
                    }
                }
                Some(Effect::Respond(id, answer)) => {
                    let now = self.clock.now();
                    let released = self.with_admission(|admission| admission.ended(now, id, Some(&answer)));
                    self.deliver(id, answer);
                    released.into_iter().flatten().for_each(|ask| self.admit_queued(ask));
                }
            }
        }
        self.due.notify_one();
    }

    fn deliver(&self, id: RequestId, answer: FinalResponse) {
        if let Some(client) = self.waiting.borrow_mut().remove(&id) {
            // A client that has just left needs none.
            let _ = client.send(answer);
        }
    }

    /// Takes a request in and gives the place where its answer will be. Where the door's queues are on, it
    /// may wait there first, or be refused at once with a time to come back.
    pub fn submit(
        self: &Rc<Self>,
        ask: IncomingRequest,
    ) -> Result<oneshot::Receiver<FinalResponse>, AdmitError> {
        let (id, (sender, receiver)) = (ask.id, oneshot::channel());
        let now = self.clock.now();
        let mut admission = self.admission.borrow_mut();
        let (verdict, ask) = match admission.as_mut() {
            Some(admission) => admission.arrive(now, ask),
            None => (Verdict::Admit, Some(ask)),
        };
        drop(admission);
        match (verdict, ask) {
            (Verdict::Duplicate, _) => Err(AdmitError::Duplicate),
            (Verdict::Refuse { come_back_ms, .. }, _) => {
                let _ = sender.send(FinalResponse::Rejected { retry_after_ms: come_back_ms, overdue: false });
                Ok(receiver)
            }
            (Verdict::Queue, _) | (_, None) => {
                self.waiting.borrow_mut().insert(id, sender);
                Ok(receiver)
            }
            (Verdict::Admit, Some(ask)) => {
                let taken = self.engine.borrow_mut().submit(ask);
                match taken {
                    Ok(()) => drop(self.waiting.borrow_mut().insert(id, sender)),
                    Err(_) => self.release_admission(id, None),
                }
                self.run_effects();
                taken.map(|()| receiver)
            }
        }
    }

    /// Hands a request that waited at the door to the engine.
    fn admit_queued(self: &Rc<Self>, ask: IncomingRequest) {
        let id = ask.id;
        if let Err(reason) = self.engine.borrow_mut().submit(ask) {
            let retry_after_ms = if reason == AdmitError::Full { 300.0 } else { 0.0 };
            self.deliver(id, FinalResponse::Rejected { retry_after_ms, overdue: false });
            self.release_admission(id, None);
        }
    }

    /// Tells the door that an admitted request ended without an answer of the engine, and lets in who is next.
    fn release_admission(self: &Rc<Self>, id: RequestId, answer: Option<&FinalResponse>) {
        let now = self.clock.now();
        let released = self.with_admission(|admission| admission.ended(now, id, answer));
        released.into_iter().flatten().for_each(|ask| self.admit_queued(ask));
    }

    /// A client left before its answer. One that waited at the door is forgotten there; nothing was sent.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) {
        self.waiting.borrow_mut().remove(&id);
        if self.with_admission(|admission| admission.left(id)) == Some(true) {
            return;
        }
        self.with(|engine| engine.client_disconnected(id));
        self.release_admission(id, None);
        self.run_effects();
    }

    /// Refuses, at once, what waited at the door and whose time is over.
    fn admission_tick(self: &Rc<Self>) {
        let now = self.clock.now();
        for (id, come_back_ms) in self.with_admission(|admission| admission.expired(now)).unwrap_or_default()
        {
            self.deliver(id, FinalResponse::Rejected { retry_after_ms: come_back_ms, overdue: false });
        }
    }

    /// Runs a task beside the others. A panic in it is counted and ends nothing else.
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

    /// Keeps the engine's time: whatever is due is done.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let door =
                self.with_admission(|admission| admission.next_due()).flatten().unwrap_or(f64::INFINITY);
            let due = self.engine.borrow_mut().next_due().min(door);
            let wait = duration_from_ms(due - self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => {
                    self.admission_tick();
                    self.with(Engine::tick);
                }
                () = self.due.notified() => {}
            }
        }
    }
}

/// Ends a connection for the engine when its driver is gone, however that came.
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
