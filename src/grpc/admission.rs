//! Admission control of unary calls: the fair queues of [`crate::admission`], keyed by tenant and client.
//!
//! Streaming calls bypass it: they may last for hours and would use up the concurrency limit. They are
//! bounded by the limits on open calls and on streams per client instead.

use super::call::CallOutcome;
use crate::admission::control::{AdmissionControl, NotAdmitted};
use crate::clock::Clock;
use crate::state::requests::{FinalResponse, IncomingRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// The decision about a queued call: `None` if it is admitted, otherwise the retry pushback of its rejection,
/// in milliseconds.
type QueueDecision = Option<f64>;

/// Admission control, if configured, and the queued calls.
#[derive(Default)]
pub struct CallAdmission {
    control: RefCell<Option<AdmissionControl>>,
    queued: RefCell<HashMap<u64, oneshot::Sender<QueueDecision>>>,
    last_id: Cell<u64>,
    /// Notified when a call is queued: its deadline may be the earliest, so [`Self::next_expiry_ms`] must be
    /// read again.
    pub call_queued: Notify,
}

/// The immediate result of submitting a call to admission control.
pub enum AdmissionResult {
    /// The call may proceed and holds the permit until it ends.
    Admitted(AdmissionPermit),
    /// The call is queued; the receiver yields the decision.
    Queued(oneshot::Receiver<QueueDecision>, AdmissionPermit),
    /// The call is rejected, with a retry pushback in milliseconds (0 for none).
    Rejected(f64),
}

/// The permit of an admitted or queued call. Dropping it releases the call's slot or queue entry.
pub struct AdmissionPermit {
    admission: Rc<CallAdmission>,
    /// The call's id; `None` if admission control is off.
    id: Option<u64>,
    clock: Clock,
    outcome: Cell<Option<CallOutcome>>,
}

impl CallAdmission {
    /// Enables admission control, or disables it with `None`.
    pub fn set_control(&self, control: Option<AdmissionControl>) {
        *self.control.borrow_mut() = control;
    }

    /// Runs `act` on admission control, if it is enabled.
    pub fn with<R>(&self, act: impl FnOnce(&mut AdmissionControl) -> R) -> Option<R> {
        self.control.borrow_mut().as_mut().map(act)
    }

    /// Submits a call. If it is queued and can no longer be served before `deadline_ms`, it is rejected.
    pub fn submit(
        self: &Rc<Self>,
        clock: &Clock,
        client: IpAddr,
        tenant: u32,
        deadline_ms: f64,
    ) -> AdmissionResult {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let request = IncomingRequest {
            id,
            group: tenant,
            deadline_ms,
            client: Some(client),
            ..IncomingRequest::default()
        };
        let permit = |id| AdmissionPermit {
            admission: self.clone(),
            id,
            clock: clock.clone(),
            outcome: Cell::new(None),
        };
        match self.with(|control| control.submit(clock.now(), request)) {
            None => AdmissionResult::Admitted(permit(None)),
            Some(Ok(Some(_))) => AdmissionResult::Admitted(permit(Some(id))),
            Some(Ok(None)) => {
                let (sender, decision) = oneshot::channel();
                self.queued.borrow_mut().insert(id, sender);
                self.call_queued.notify_one();
                AdmissionResult::Queued(decision, permit(Some(id)))
            }
            Some(Err(NotAdmitted::Shed { retry_after_ms })) => AdmissionResult::Rejected(retry_after_ms),
            // Unreachable: ids are assigned above and never repeat.
            Some(Err(NotAdmitted::Duplicate)) => AdmissionResult::Rejected(0.0),
        }
    }

    /// Rejects the queued calls that can no longer be served before their deadline.
    pub fn expire_queued(&self, now: f64) {
        for expired in self.with(|control| control.expire(now)).unwrap_or_default() {
            self.decide(expired.id, Some(expired.retry_after_ms));
        }
    }

    /// The time at which [`Self::expire_queued`] is next due; infinite if no call is queued.
    pub fn next_expiry_ms(&self) -> f64 {
        self.with(|control| control.next_expiry_ms()).flatten().unwrap_or(f64::INFINITY)
    }

    fn decide(&self, id: u64, decision: QueueDecision) {
        if let Some(call) = self.queued.borrow_mut().remove(&id) {
            // Sending fails only if the call has just ended.
            let _ = call.send(decision);
        }
    }
}

impl AdmissionPermit {
    /// Records how the call ended. The adaptive concurrency limit depends on it.
    pub fn record_outcome(&self, outcome: CallOutcome) {
        self.outcome.set(Some(outcome));
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let (now, admission) = (self.clock.now(), &self.admission);
        if admission.queued.borrow_mut().remove(&id).is_some() {
            admission.with(|control| control.remove_disconnected(id));
            return;
        }
        let response = match self.outcome.get() {
            Some(CallOutcome::Served) => {
                Some(FinalResponse::Served { entity_tag: None, body: Default::default() })
            }
            Some(CallOutcome::Rejected) => Some(FinalResponse::not_run(0.0)),
            Some(CallOutcome::Failed) => Some(FinalResponse::Failed { overdue: false }),
            Some(CallOutcome::ClientDisconnected) | None => None,
        };
        let released = admission.with(|control| control.complete(now, id, response.as_ref()));
        released.into_iter().flatten().for_each(|request| admission.decide(request.id, None));
    }
}
