//! Admission control of unary calls: the fair queues of [`crate::admission`], by tenant and client.
//!
//! Streams are not subject to it. They may last for hours, so that a limit on concurrent requests would be theirs alone; the
//! limits on calls and on a client's streams bound them.

use super::call::CallOutcome;
use crate::admission::control::{AdmissionControl, NotAdmitted};
use crate::clock::Clock;
use crate::state::requests::{FinalResponse, IncomingRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// A queued call's decision: none where it is admitted, else the retry pushback of its rejection in milliseconds.
type QueueDecision = Option<f64>;

/// Admission control, where it is on, and the calls that are queued.
#[derive(Default)]
pub struct CallAdmission {
    control: RefCell<Option<AdmissionControl>>,
    queued: RefCell<HashMap<u64, oneshot::Sender<QueueDecision>>>,
    last_id: Cell<u64>,
    /// Notified when a call is queued, since its time may be the next to be over.
    pub due: Notify,
}

/// How a call was received.
pub enum AdmissionResult {
    /// It goes on, and keeps the permit until its end.
    Admitted(AdmissionPermit),
    /// It waits for a decision.
    Queued(oneshot::Receiver<QueueDecision>, AdmissionPermit),
    /// It is rejected, with a retry pushback in milliseconds; 0 for none.
    Rejected(f64),
}

/// An admitted or queued call's permit, returned when it is dropped.
pub struct AdmissionPermit {
    admission: Rc<CallAdmission>,
    /// The call's id; none where admission control is off.
    id: Option<u64>,
    clock: Clock,
    outcome: Cell<Option<CallOutcome>>,
}

impl CallAdmission {
    /// Turns admission control on or off.
    pub fn set(&self, control: Option<AdmissionControl>) {
        *self.control.borrow_mut() = control;
    }

    /// Runs `act` on admission control, where it is on.
    pub fn with<R>(&self, act: impl FnOnce(&mut AdmissionControl) -> R) -> Option<R> {
        self.control.borrow_mut().as_mut().map(act)
    }

    /// Receives a call whose time is over at `deadline_ms`.
    pub fn enter(
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
        match self.with(|control| control.arrive(clock.now(), request)) {
            None => AdmissionResult::Admitted(permit(None)),
            Some(Ok(Some(_))) => AdmissionResult::Admitted(permit(Some(id))),
            Some(Ok(None)) => {
                let (sender, decision) = oneshot::channel();
                self.queued.borrow_mut().insert(id, sender);
                self.due.notify_one();
                AdmissionResult::Queued(decision, permit(Some(id)))
            }
            Some(Err(NotAdmitted::Shed { retry_after_ms })) => AdmissionResult::Rejected(retry_after_ms),
            // The ids are made here, so that none repeats.
            Some(Err(NotAdmitted::Duplicate)) => AdmissionResult::Rejected(0.0),
        }
    }

    /// Rejects queued calls whose time is nearly over.
    pub fn tick(&self, now: f64) {
        for expired in self.with(|control| control.expire(now)).unwrap_or_default() {
            self.decide(expired.id, Some(expired.retry_after_ms));
        }
    }

    /// When [`Self::tick`] has something to do.
    pub fn next_due(&self) -> f64 {
        self.with(|control| control.next_deadline()).flatten().unwrap_or(f64::INFINITY)
    }

    fn decide(&self, id: u64, decision: QueueDecision) {
        if let Some(call) = self.queued.borrow_mut().remove(&id) {
            // A call that has just ended needs no decision.
            let _ = call.send(decision);
        }
    }
}

impl AdmissionPermit {
    /// Records how the call ended: the adaptive limit follows it.
    pub fn ended(&self, outcome: CallOutcome) {
        self.outcome.set(Some(outcome));
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let (now, admission) = (self.clock.now(), &self.admission);
        if admission.queued.borrow_mut().remove(&id).is_some() {
            admission.with(|control| control.disconnected(id));
            return;
        }
        let response = match self.outcome.get() {
            Some(CallOutcome::Served) => Some(FinalResponse::Served { tag: None, body: Default::default() }),
            Some(CallOutcome::Rejected) => {
                Some(FinalResponse::Rejected { retry_after_ms: 0.0, overdue: false })
            }
            Some(CallOutcome::Failed) => Some(FinalResponse::Failed { overdue: false }),
            Some(CallOutcome::ClientDisconnected) | None => None,
        };
        let released = admission.with(|control| control.completed(now, id, response.as_ref()));
        released.into_iter().flatten().for_each(|request| admission.decide(request.id, None));
    }
}
