//! The shelf between the fronts' drivers and the engine: a call that is new goes to the engine, and its answer to all
//! that wait for it, on whatever connection they came.

use super::response_store::{Claim, Key, ResponseStore, SessionId, ShelfBounds, ShelfFigures};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// The come-back time, in milliseconds, where the shelf is full.
const FULL_WAIT_MS: f64 = 500.0;

/// The shelf in service.
pub struct CallRegistry {
    /// The host.
    pub host: Rc<Executor>,
    shelf: RefCell<ResponseStore>,
    waiting: RefCell<HashMap<Key, Vec<oneshot::Sender<FinalResponse>>>>,
    hasher: ahash::RandomState,
    due: Notify,
}

/// What an asked call comes to.
pub enum Kept {
    /// It has its answer.
    Now(FinalResponse),
    /// It is waited for.
    Wait(oneshot::Receiver<FinalResponse>, Hold),
}

/// One connection's wait for a call. Dropped without a word, the connection counts as lost, and the call goes on.
pub struct Hold {
    keeper: Rc<CallRegistry>,
    key: Option<Key>,
}

impl CallRegistry {
    /// A keeper with an empty shelf.
    pub fn new(host: Rc<Executor>, bounds: ShelfBounds) -> Rc<Self> {
        let (shelf, waiting) = (RefCell::new(ResponseStore::new(bounds)), RefCell::default());
        Rc::new(Self { host, shelf, waiting, hasher: ahash::RandomState::new(), due: Notify::new() })
    }

    /// A client asks for a call of its session.
    pub fn ask(self: &Rc<Self>, session: SessionId, ask: IncomingRequest) -> Result<Kept, AdmitError> {
        let (key, now) = ((session, ask.id), self.host.clock.now());
        let write = self.host.settings().is_write(ask.class);
        let same = (ask.class, ask.object, ask.part, ask.group, &ask.key, &ask.client_etag, &ask.body);
        let digest = self.hasher.hash_one(same);
        let claim = self.shelf.borrow_mut().claim(now, key, digest, write);
        match claim {
            Claim::Done(answer) => return Ok(Kept::Now(answer)),
            Claim::Conflict => return Err(AdmitError::Duplicate),
            Claim::Full => {
                return Ok(Kept::Now(FinalResponse::Rejected {
                    retry_after_ms: FULL_WAIT_MS,
                    overdue: false,
                }))
            }
            Claim::Joined => {}
            Claim::New => match self.host.submit(ask) {
                Ok(answer) => {
                    let own = self.clone();
                    self.host.spawn("a kept call", async move {
                        // A call that was called off has no answer, and nobody who waits for one.
                        let answer = answer.await.unwrap_or(FinalResponse::Failed { overdue: false });
                        own.finish(key, answer);
                    });
                }
                Err(reason) => {
                    self.shelf.borrow_mut().not_taken(key);
                    return Err(reason);
                }
            },
        }
        let (tell, heard) = oneshot::channel();
        self.waiting.borrow_mut().entry(key).or_default().push(tell);
        Ok(Kept::Wait(heard, Hold { keeper: self.clone(), key: Some(key) }))
    }

    fn finish(&self, key: Key, answer: FinalResponse) {
        let now = self.host.clock.now();
        self.shelf.borrow_mut().finished(now, key, &answer);
        for client in self.waiting.borrow_mut().remove(&key).unwrap_or_default() {
            let _ = client.send(answer.clone());
        }
        self.due.notify_one();
    }

    fn call_off(&self, key: Key) {
        self.waiting.borrow_mut().remove(&key);
        self.host.client_disconnected(key.1);
    }

    /// Calls off what ran on without a client for its time, for ever.
    pub async fn keep(self: Rc<Self>) {
        loop {
            let left = self.shelf.borrow().next_due() - self.host.clock.now();
            tokio::select! {
                () = tokio::time::sleep(duration_from_ms(left)) => {
                    let off = self.shelf.borrow_mut().tick(self.host.clock.now());
                    off.into_iter().for_each(|key| self.call_off(key));
                }
                () = self.due.notified() => {}
            }
        }
    }

    /// The shelf's figures, calls and bytes held.
    pub fn figures(&self) -> (ShelfFigures, usize, usize) {
        let shelf = self.shelf.borrow();
        (shelf.figures, shelf.len(), shelf.bytes())
    }
}

impl Hold {
    /// The answer was heard: nothing more is waited for.
    pub fn heard(mut self) {
        self.key = None;
    }

    /// The client said that it wants the call no more.
    pub fn cancelled(mut self) {
        let Some(key) = self.key.take() else { return };
        let now = self.keeper.host.clock.now();
        if self.keeper.shelf.borrow_mut().cancelled(now, key) {
            self.keeper.call_off(key);
        }
        self.keeper.due.notify_one();
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            let now = self.keeper.host.clock.now();
            self.keeper.shelf.borrow_mut().lost(now, key);
            self.keeper.due.notify_one();
        }
    }
}
