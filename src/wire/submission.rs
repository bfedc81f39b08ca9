//! A request that was submitted: its result at once, or a wait for it.

use crate::engine::executor::Executor;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::RequestId;
use std::rc::Rc;
use tokio::sync::oneshot;

/// What a submitted request comes to.
pub enum Submission {
    /// It has its result.
    Completed(FinalResponse),
    /// Its result is waited for.
    Pending(PendingResponse),
}

impl Submission {
    /// Submits a request to the engine. Dropping the wait tells the engine that the client left.
    pub fn to_engine(executor: &Rc<Executor>, request: IncomingRequest) -> Result<Self, AdmitError> {
        let id = request.id;
        let receiver = executor.submit(request)?;
        let wait = EngineWait { executor: executor.clone(), id: Some(id) };
        Ok(Self::Pending(PendingResponse::new(receiver, Box::new(wait))))
    }
}

/// What happens to a request when the wait for its result ends. An implementation treats being dropped without
/// [`ResponseWait::completed`] as the loss of the client.
pub trait ResponseWait {
    /// The result has arrived.
    fn completed(self: Box<Self>);
}

/// A wait for the result of a request. Dropped before its end, the client counts as lost.
pub struct PendingResponse {
    receiver: oneshot::Receiver<FinalResponse>,
    wait: Box<dyn ResponseWait>,
}

impl PendingResponse {
    /// A wait for what `receiver` gets.
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

/// The wait for a request that the engine has.
struct EngineWait {
    executor: Rc<Executor>,
    /// The request; none once its result has arrived.
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
