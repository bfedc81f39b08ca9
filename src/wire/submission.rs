//! The submission of a request, with an immediate or a pending result.

use crate::engine::executor::Executor;
use crate::panics::contain;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError};
use crate::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A submitted request, completed or pending.
pub enum Submission {
    /// The response is available immediately.
    Completed(FinalResponse),
    /// The response arrives later.
    Pending(PendingResponse),
}

impl Submission {
    /// Submits a request with an id of its own to the engine. Dropping the pending response reports a client
    /// disconnect to the engine.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if its id is that of an open request, or of a recent one that may have run and could take
    /// effect again; or if the request table is full.
    pub fn submit_to_engine(executor: &Rc<Executor>, request: IncomingRequest) -> Result<Self, SubmitError> {
        let id = request.id;
        if executor.with(|engine| engine.is_repeat(&request)) {
            return Err(SubmitError::Duplicate);
        }
        let receiver = executor.submit(request)?;
        let guard = EngineDisconnectGuard { executor: executor.clone(), id: Some(id) };
        Ok(Self::Pending(PendingResponse::new(receiver, Box::new(guard))))
    }
}

/// Guards a pending request: if it is dropped before [`DisconnectGuard::completed`] is called, the client
/// counts as disconnected.
pub trait DisconnectGuard {
    /// Disarms the guard: the result has arrived.
    fn completed(self: Box<Self>);
}

/// The pending result of a request. Dropping it early reports a client disconnect.
pub struct PendingResponse {
    receiver: oneshot::Receiver<FinalResponse>,
    guard: Box<dyn DisconnectGuard>,
}

impl PendingResponse {
    /// Creates a pending response whose result arrives on `receiver`.
    pub fn new(receiver: oneshot::Receiver<FinalResponse>, guard: Box<dyn DisconnectGuard>) -> Self {
        Self { receiver, guard }
    }

    /// Waits for the result. A dropped sender counts as a failure.
    pub async fn result(self) -> FinalResponse {
        let Self { receiver, guard } = self;
        let result = receiver.await;
        guard.completed();
        result.unwrap_or(FinalResponse::Failed { overdue: false })
    }
}

/// Reports a client disconnect to the engine if it is dropped before the result has arrived.
struct EngineDisconnectGuard {
    executor: Rc<Executor>,
    /// The request; `None` once its result has arrived.
    id: Option<RequestId>,
}

impl DisconnectGuard for EngineDisconnectGuard {
    fn completed(mut self: Box<Self>) {
        self.id = None;
    }
}

impl Drop for EngineDisconnectGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            let _ = contain(|| self.executor.client_disconnected(id));
        }
    }
}
