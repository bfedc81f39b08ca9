//! Carries out the engine's effects on sockets: one thread, one engine, a task for each connection.

use super::{Effect, Engine};
use crate::clock::{span, Clock};
use crate::memory::connections::ConnId;
use crate::memory::requests::{Ask, Final, NotTaken};
use crate::settings::Env;
use crate::wire::cache;
use crate::RequestId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// An engine with what its tasks share.
pub struct Host {
    /// The clock of all.
    pub clock: Clock,
    engine: RefCell<Engine>,
    wakers: RefCell<HashMap<ConnId, Rc<Notify>>>,
    waiting: RefCell<HashMap<RequestId, oneshot::Sender<Final>>>,
    due: Notify,
}

impl Host {
    /// A host for an engine. It runs on a `LocalSet`.
    pub fn new(clock: Clock, engine: Engine) -> Rc<Self> {
        Rc::new(Self {
            clock,
            engine: RefCell::new(engine),
            wakers: RefCell::default(),
            waiting: RefCell::default(),
            due: Notify::new(),
        })
    }

    /// Lets the engine do something, and carries out what it wants.
    pub fn with<R>(self: &Rc<Self>, act: impl FnOnce(&mut Engine) -> R) -> R {
        let result = act(&mut self.engine.borrow_mut());
        self.carry_out();
        result
    }

    /// The settings as they are by now.
    pub fn env(&self) -> Rc<Env> {
        self.engine.borrow().env()
    }

    fn carry_out(self: &Rc<Self>) {
        loop {
            let effect = self.engine.borrow_mut().take_effect();
            match effect {
                None => break,
                Some(Effect::Open { conn, address, within_ms }) => {
                    let waker = Rc::new(Notify::new());
                    self.wakers.borrow_mut().insert(conn, waker.clone());
                    let host = self.clone();
                    self.spawn("a member's connection", async move {
                        // Guards against a panic in the driver leaving its attempts out for ever.
                        let _end = Gone { host: host.clone(), conn };
                        cache::drive(&host, conn, address, within_ms, &waker).await;
                    });
                }
                Some(Effect::Wake(conn)) => {
                    if let Some(waker) = self.wakers.borrow().get(&conn) {
                        waker.notify_one();
                    }
                }
                Some(Effect::Answer(id, answer)) => {
                    if let Some(client) = self.waiting.borrow_mut().remove(&id) {
                        // A client that has just left needs none.
                        let _ = client.send(answer);
                    }
                }
            }
        }
        self.due.notify_one();
    }

    /// Takes a request in and gives the place where its answer will be.
    pub fn ask(self: &Rc<Self>, ask: Ask) -> Result<oneshot::Receiver<Final>, NotTaken> {
        let (id, (sender, receiver)) = (ask.id, oneshot::channel());
        let taken = self.engine.borrow_mut().request(ask);
        if taken.is_ok() {
            self.waiting.borrow_mut().insert(id, sender);
        }
        self.carry_out();
        taken.map(|()| receiver)
    }

    /// A client left before its answer.
    pub fn left(self: &Rc<Self>, id: RequestId) {
        self.waiting.borrow_mut().remove(&id);
        self.with(|engine| engine.left(id));
    }

    /// Runs a task beside the others. A panic in it is counted and ends nothing else.
    pub fn spawn(self: &Rc<Self>, what: &'static str, task: impl Future<Output = ()> + 'static) {
        let task = tokio::task::spawn_local(task);
        let host = self.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = task.await {
                if error.is_panic() {
                    host.engine.borrow_mut().counters.panics += 1;
                    tracing::error!(what, "a task ended in a panic");
                }
            }
        });
    }

    /// Keeps the engine's time: whatever is due is done.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let due = self.engine.borrow_mut().next_due();
            let wait = span(due - self.clock.now());
            tokio::select! {
                () = tokio::time::sleep(wait) => self.with(Engine::tick),
                () = self.due.notified() => {}
            }
        }
    }
}

/// Ends a connection for the engine when its driver is gone, however that came.
struct Gone {
    host: Rc<Host>,
    conn: ConnId,
}

impl Drop for Gone {
    fn drop(&mut self) {
        self.host.wakers.borrow_mut().remove(&self.conn);
        if std::thread::panicking() {
            self.host.with(|engine| engine.broken(self.conn));
        }
    }
}
