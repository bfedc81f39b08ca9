//! Submits calls to the engine, lets them continue while their clients reconnect, and delivers each response
//! to all clients that wait for it, on any connection.

use super::response_store::{AttachOutcome, CallKey, ResponseStore, StoreLimits, StoreMetrics};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::panics::contain;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError};
use crate::wire::front::SessionId;
use crate::wire::submission::{DisconnectGuard, PendingResponse, Submission};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Retry delay returned when the store is full, in milliseconds.
const STORE_FULL_RETRY_AFTER_MS: f64 = 500.0;
/// The response delivered for a call that ended without one.
const NO_RESPONSE: FinalResponse = FinalResponse::Failed { overdue: false };

/// Runs the resumable calls of all sessions, keeps their responses in a [`ResponseStore`] and wakes the
/// clients that wait for them.
pub struct CallRegistry {
    executor: Rc<Executor>,
    store: RefCell<ResponseStore>,
    waiting_clients: RefCell<HashMap<CallKey, Vec<oneshot::Sender<FinalResponse>>>>,
    hasher: ahash::RandomState,
    /// Notified when the time of the store's next expiry or cancellation may have changed.
    due_changed: Notify,
}

/// Result of submitting a call.
pub enum SubmittedCall {
    /// The call has completed.
    Completed(FinalResponse),
    /// The call is running.
    Running(PendingCall),
}

/// A running call whose response a client waits for. If it is dropped before the response arrives, the client
/// is detached and the call continues.
pub struct PendingCall {
    response: oneshot::Receiver<FinalResponse>,
    attached: AttachedClient,
}

/// Guard that keeps a client attached to a call until the response arrives or the guard is dropped.
struct AttachedClient {
    registry: Rc<CallRegistry>,
    key: CallKey,
    is_attached: bool,
}

/// Current size of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreUsage {
    /// Number of calls.
    pub calls: usize,
    /// Memory of all calls and responses, in bytes.
    pub bytes: usize,
}

impl CallRegistry {
    /// Creates an empty registry. Where the process has a memory limit, responses get at most as much of it as
    /// requests.
    pub fn new(executor: Rc<Executor>, limits: StoreLimits) -> Rc<Self> {
        let max_bytes = limits.max_bytes.min(executor.request_memory.max_bytes());
        let limits = StoreLimits { max_bytes, ..limits };
        Rc::new(Self {
            executor,
            store: RefCell::new(ResponseStore::new(limits)),
            waiting_clients: RefCell::default(),
            hasher: ahash::RandomState::new(),
            due_changed: Notify::new(),
        })
    }

    /// Submits a request of a session. A request with the id of a stored call is attached to that call.
    pub fn submit(
        self: &Rc<Self>,
        session: SessionId,
        request: IncomingRequest,
    ) -> Result<SubmittedCall, SubmitError> {
        let (key, now) = (CallKey { session, call: request.id }, self.executor.clock.now());
        let is_write = request.class.is_write();
        let digest = self.digest(&request);
        let outcome = self.store.borrow_mut().attach(now, key, digest, is_write);
        match outcome {
            AttachOutcome::Started => self.start(key, request)?,
            AttachOutcome::Restarted { repeatable_until_ms } => {
                let repeatable_until_ms = Some(repeatable_until_ms);
                self.start(key, IncomingRequest { repeatable_until_ms, ..request })?;
            }
            AttachOutcome::Running => {}
            AttachOutcome::Completed(response) => return Ok(SubmittedCall::Completed(response)),
            AttachOutcome::Conflict => return Err(SubmitError::Duplicate),
            AttachOutcome::Full => {
                let rejected = FinalResponse::not_run(STORE_FULL_RETRY_AFTER_MS);
                return Ok(SubmittedCall::Completed(rejected));
            }
        }
        let (sender, response) = oneshot::channel();
        self.waiting_clients.borrow_mut().entry(key).or_default().push(sender);
        let attached = AttachedClient { registry: self.clone(), key, is_attached: true };
        Ok(SubmittedCall::Running(PendingCall { response, attached }))
    }

    /// Hash of the fields by which a retry is recognized as the same request.
    fn digest(&self, request: &IncomingRequest) -> u64 {
        self.hasher.hash_one((
            request.class.name(),
            request.object,
            request.part,
            request.group,
            &request.idempotency_key,
            &request.client_etag,
            &request.body,
        ))
    }

    /// Submits a new call to the engine.
    fn start(self: &Rc<Self>, key: CallKey, request: IncomingRequest) -> Result<(), SubmitError> {
        let now = self.executor.clock.now();
        let response =
            self.executor.submit(request).inspect_err(|_| self.store.borrow_mut().discard(now, key))?;
        let registry = self.clone();
        self.executor.spawn("resumable call", async move {
            // A cancelled call has no response and no waiting clients.
            let response = response.await.unwrap_or(NO_RESPONSE);
            registry.complete(key, &response);
        });
        Ok(())
    }

    fn complete(&self, key: CallKey, response: &FinalResponse) {
        let now = self.executor.clock.now();
        // Taken first: if the store panics, the clients learn that there is no response.
        let senders = self.waiting_clients.borrow_mut().remove(&key).unwrap_or_default();
        self.store.borrow_mut().complete(now, key, response);
        for sender in senders {
            // Sending fails if the client has disconnected; it gets the stored response on a retry.
            let _ = sender.send(response.clone());
        }
        self.due_changed.notify_one();
    }

    /// Cancels a read in the engine, after the store has removed it.
    fn cancel_in_engine(&self, key: CallKey) {
        self.waiting_clients.borrow_mut().remove(&key);
        self.executor.client_disconnected(key.call);
    }

    /// Removes expired responses and cancels reads that have been without clients for
    /// [`StoreLimits::cancel_after_ms`]. Never returns.
    pub async fn run_expiry(self: Rc<Self>) {
        loop {
            let wait_ms = self.store.borrow().next_due_ms() - self.executor.clock.now();
            tokio::select! {
                () = tokio::time::sleep(duration_from_ms(wait_ms)) => {
                    let cancelled = self.store.borrow_mut().tick(self.executor.clock.now());
                    cancelled.into_iter().for_each(|key| self.cancel_in_engine(key));
                }
                () = self.due_changed.notified() => {}
            }
        }
    }

    /// The counters of the store.
    pub fn metrics(&self) -> StoreMetrics {
        self.store.borrow().metrics()
    }

    /// The current size of the store.
    pub fn usage(&self) -> StoreUsage {
        let store = self.store.borrow();
        StoreUsage { calls: store.len(), bytes: store.bytes() }
    }
}

impl PendingCall {
    /// Waits for the response. This method is cancel safe.
    pub async fn response(&mut self) -> FinalResponse {
        let response = (&mut self.response).await.unwrap_or(NO_RESPONSE);
        self.attached.is_attached = false;
        response
    }

    /// Detaches a client that no longer wants the response. A read without other clients is cancelled.
    pub fn cancel(self) {
        self.attached.cancel();
    }
}

impl From<SubmittedCall> for Submission {
    fn from(call: SubmittedCall) -> Self {
        match call {
            SubmittedCall::Completed(response) => Self::Completed(response),
            SubmittedCall::Running(PendingCall { response, attached }) => {
                Self::Pending(PendingResponse::new(response, Box::new(attached)))
            }
        }
    }
}

impl AttachedClient {
    fn cancel(mut self) {
        self.is_attached = false;
        let now = self.registry.executor.clock.now();
        let is_cancelled = self.registry.store.borrow_mut().cancel(now, self.key);
        if is_cancelled {
            self.registry.cancel_in_engine(self.key);
        }
        self.registry.due_changed.notify_one();
    }
}

impl DisconnectGuard for AttachedClient {
    fn completed(mut self: Box<Self>) {
        self.is_attached = false;
    }
}

impl Drop for AttachedClient {
    fn drop(&mut self) {
        if self.is_attached {
            let now = self.registry.executor.clock.now();
            let _ = contain(|| self.registry.store.borrow_mut().detach(now, self.key));
            self.registry.due_changed.notify_one();
        }
    }
}
