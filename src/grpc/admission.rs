//! The front's own door: the fair queues of [`crate::admission`] ahead of its unary calls, by tenant and client.
//! Streams do not go through it: they may last for hours, and a limit on what is under way would be theirs alone;
//! the bounds of calls and of streams a client hold them.

use super::calls::CallOutcome;
use crate::admission::control::{AdmissionControl, NotAdmitted};
use crate::state::requests::{FinalResponse, IncomingRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// The door, and the calls that wait at it.
#[derive(Default)]
pub struct CallAdmission {
    admission: RefCell<Option<AdmissionControl>>,
    /// Where a waiting call hears that it is let in (none), or refused with a time to come back.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Option<f64>>>>,
    next: Cell<u64>,
    /// Something waits whose time may be the next to be over.
    pub due: Notify,
}

/// What the door says to a call.
pub enum AdmissionResult {
    /// It goes on; the pass is kept until its end.
    Admitted(AdmissionPermit),
    /// It waits.
    Queued(oneshot::Receiver<Option<f64>>, AdmissionPermit),
    /// It is refused: the client is to come back after this many milliseconds.
    Rejected(f64),
}

/// An admitted or waiting call's hold on the door; given back when dropped.
pub struct AdmissionPermit {
    door: Rc<CallAdmission>,
    id: Option<u64>,
    now: Box<dyn Fn() -> f64>,
    outcome: Cell<Option<CallOutcome>>,
}

impl CallAdmission {
    /// Puts fair queues at the door, or takes their file anew where they are there.
    pub fn set(&self, admission: Option<AdmissionControl>) {
        *self.admission.borrow_mut() = admission;
    }

    /// Lets the queues do something, where they are on.
    pub fn with<R>(&self, act: impl FnOnce(&mut AdmissionControl) -> R) -> Option<R> {
        self.admission.borrow_mut().as_mut().map(act)
    }

    /// A call comes; `deadline_ms` is when its time is over.
    pub fn enter(
        self: &Rc<Self>,
        now: impl Fn() -> f64 + 'static,
        client: IpAddr,
        tenant: u32,
        deadline_ms: f64,
    ) -> AdmissionResult {
        let id = self.next.get() + 1;
        self.next.set(id);
        let ask = IncomingRequest {
            id,
            group: tenant,
            give_up_ms: deadline_ms,
            client: Some(client),
            ..IncomingRequest::default()
        };
        let at = now();
        let pass =
            |id| AdmissionPermit { door: self.clone(), id, now: Box::new(now), outcome: Cell::new(None) };
        match self.with(|admission| admission.arrive(at, ask)) {
            None => AdmissionResult::Admitted(pass(None)),
            Some(Ok(Some(_))) => AdmissionResult::Admitted(pass(Some(id))),
            Some(Ok(None)) => {
                let (tell, heard) = oneshot::channel();
                self.waiting.borrow_mut().insert(id, tell);
                self.due.notify_one();
                AdmissionResult::Queued(heard, pass(Some(id)))
            }
            Some(Err(NotAdmitted::Shed { retry_after_ms })) => AdmissionResult::Rejected(retry_after_ms),
            // Its ids are the door's own: none comes twice.
            Some(Err(NotAdmitted::Duplicate)) => AdmissionResult::Rejected(0.0),
        }
    }

    /// Refuses what waited until its time was nearly over.
    pub fn tick(&self, now: f64) {
        for expired in self.with(|admission| admission.expire(now)).unwrap_or_default() {
            self.tell(expired.id, Some(expired.retry_after_ms));
        }
    }

    /// When [`Self::tick`] has something to do.
    pub fn next_due(&self) -> f64 {
        self.with(|admission| admission.next_deadline()).flatten().unwrap_or(f64::INFINITY)
    }

    fn tell(&self, id: u64, refused: Option<f64>) {
        if let Some(call) = self.waiting.borrow_mut().remove(&id) {
            // One that has just left needs no word.
            let _ = call.send(refused);
        }
    }
}

impl AdmissionPermit {
    /// How the call ended: the door's limit moves by it.
    pub fn ended(&self, outcome: CallOutcome) {
        self.outcome.set(Some(outcome));
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let (now, door) = ((self.now)(), &self.door);
        if door.waiting.borrow_mut().remove(&id).is_some() {
            door.with(|admission| admission.disconnected(id));
            return;
        }
        let answer = match self.outcome.get() {
            Some(CallOutcome::Served) => Some(FinalResponse::Served { tag: None, body: Default::default() }),
            Some(CallOutcome::Rejected) => Some(FinalResponse::Rejected { wait_ms: 0.0, overdue: false }),
            Some(CallOutcome::Failed) => Some(FinalResponse::Failed { overdue: false }),
            _ => None,
        };
        let released =
            door.with(|admission| admission.completed(now, id, answer.as_ref())).unwrap_or_default();
        released.into_iter().for_each(|ask| door.tell(ask.id, None));
    }
}
