//! The submission of a request, with an immediate or a pending result.

use crate::engine::executor::Executor;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError};
use crate::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The outcome of submitting a request.
pub enum Submission {
    /// The result is available.
    Completed(FinalResponse),
    /// The result is pending.
    Pending(PendingResponse),
}

impl Submission {
    /// Submits a request to the engine. Dropping the pending response reports a client disconnect to the
    /// engine.
    pub fn to_engine(executor: &Rc<Executor>, request: IncomingRequest) -> Result<Self, SubmitError> {
        let id = request.id;
        let receiver = executor.submit(request)?;
        let wait = EngineWait { executor: executor.clone(), id: Some(id) };
        Ok(Self::Pending(PendingResponse::new(receiver, Box::new(wait))))
    }
}

/// The end of the wait for a request's result. An implementation that is dropped without
/// [`ResponseWait::completed`] treats the client as disconnected.
pub trait ResponseWait {
    /// The result has arrived.
    fn completed(self: Box<Self>);
}

/// The pending result of a request. Dropping it early reports a client disconnect.
pub struct PendingResponse {
    receiver: oneshot::Receiver<FinalResponse>,
    wait: Box<dyn ResponseWait>,
}

impl PendingResponse {
    /// Waits for the result from `receiver`.
    pub fn new(receiver: oneshot::Receiver<FinalResponse>, wait: Box<dyn ResponseWait>) -> Self {
        Self { receiver, wait }
    }

    /// Waits for the result.
    pub async fn result(self) -> FinalResponse {
        let Self { receiver, wait } = self;
        let result = receiver.await;
        wait.completed();
        result.unwrap_or(FinalResponse::Failed { overdue: false })
    }
}

/// The wait for a request that was submitted to the engine.
struct EngineWait {
    executor: Rc<Executor>,
    /// The request; `None` once its result has arrived.
    id: Option<RequestId>,
}

impl ResponseWait for EngineWait {
    fn completed(mut self: Box<Self>) {
        self.id = None;
    }
}

impl Drop for EngineWait {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.executor.client_disconnected(id);
        }
    }
}
