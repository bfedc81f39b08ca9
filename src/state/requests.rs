//! The table of open requests. Each gets exactly one final response.

use super::deadlines::Deadlines;
use super::request_memory::RequestReservation;
use crate::settings::PlatformClass;
use crate::RequestId;
use bytes::Bytes;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

/// A client request, as a front submits it to the engine.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Id of the request; must differ from those of all open requests.
    pub id: RequestId,
    /// The id as text, in the form that is forwarded.
    pub id_text: String,
    /// The class under which it arrived, which it keeps over changes of the settings.
    pub class: Rc<PlatformClass>,
    /// Id of the object.
    pub object: u64,
    /// The object's id as text, in the form that is forwarded.
    pub object_text: String,
    /// Part of the object.
    pub part: u32,
    /// The object's group.
    pub group: u32,
    /// Size of the part in KB; 0 if unknown.
    pub size_kb: f64,
    /// Deadline of the response, in Unix milliseconds.
    pub deadline_ms: f64,
    /// The client's idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
    /// Time from which it must not be sent any more, in Unix milliseconds, if an earlier request with its
    /// idempotency key may have run.
    pub repeatable_until_ms: Option<f64>,
    /// Entity tag of the client's copy (`If-None-Match`), without quotes.
    pub client_etag: Option<String>,
    /// Body of a write.
    pub body: Bytes,
    /// Its memory, if that is limited. Kept for as long as the request, also after its client has left.
    pub reservation: Option<Rc<RequestReservation>>,
    /// The client's address, if the front knows it. Admission control uses it for fairness between clients.
    pub client: Option<IpAddr>,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The content of the part, from an endpoint's reply to this request.
    Served {
        /// Entity tag of the copy, without quotes, if it has one.
        entity_tag: Option<String>,
        /// The content.
        body: Bytes,
    },
    /// The client's copy is current.
    NotModified {
        /// Entity tag of the copy, without quotes.
        entity_tag: String,
    },
    /// Rejected: the client may safely retry, as the request did not run or a repeat has no second effect.
    Rejected {
        /// Until when that is so, in Unix milliseconds, if the request may have run and has an idempotency key.
        repeatable_until_ms: Option<f64>,
        /// Time after which the client should retry, in milliseconds; 0 for no advice.
        retry_after_ms: f64,
        /// Whether the request ended because of its deadline.
        overdue: bool,
    },
    /// Failed: the request may have taken effect.
    Failed {
        /// Whether the request ended because of its deadline.
        overdue: bool,
    },
}

impl FinalResponse {
    /// The rejection of a request that did not run.
    pub fn not_run(retry_after_ms: f64) -> Self {
        Self::Rejected { repeatable_until_ms: None, retry_after_ms, overdue: false }
    }

    /// Its kind, as logged.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Served { .. } => "served",
            Self::NotModified { .. } => "not_modified",
            Self::Rejected { .. } => "rejected",
            Self::Failed { .. } => "failed",
        }
    }
}

/// The retry delay of a request that is rejected because the request table is full, in milliseconds.
pub const FULL_RETRY_AFTER_MS: f64 = 300.0;

/// Why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// Another request with its id is open.
    Duplicate,
    /// The request table is full.
    Full,
}

/// An open request.
#[derive(Debug)]
struct OpenRequest {
    request: IncomingRequest,
    /// Number of its next attempt.
    next_attempt: u32,
}

/// Requests without a final response.
#[derive(Debug)]
pub struct Requests {
    open: HashMap<RequestId, OpenRequest>,
    deadlines: Deadlines<RequestId>,
    capacity: usize,
}

impl Requests {
    /// Creates an empty table of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { open: HashMap::new(), deadlines: Deadlines::default(), capacity }
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] if a request with its id is open or the table is full.
    pub fn insert(&mut self, request: IncomingRequest) -> Result<(), SubmitError> {
        if self.open.contains_key(&request.id) {
            return Err(SubmitError::Duplicate);
        }
        if self.open.len() >= self.capacity {
            return Err(SubmitError::Full);
        }
        self.deadlines.push(request.deadline_ms, request.id);
        self.open.insert(request.id, OpenRequest { request, next_attempt: 0 });
        Ok(())
    }

    /// Returns an open request.
    pub fn get(&self, id: RequestId) -> Option<&IncomingRequest> {
        self.open.get(&id).map(|open| &open.request)
    }

    /// Limits all deadlines to a time in Unix milliseconds.
    pub fn limit_deadlines(&mut self, limit_ms: f64) {
        for (id, open) in self.open.iter_mut().filter(|(_, open)| open.request.deadline_ms > limit_ms) {
            open.request.deadline_ms = limit_ms;
            self.deadlines.push(limit_ms, *id);
        }
    }

    /// Iterates over the open requests.
    pub fn iter(&self) -> impl Iterator<Item = &IncomingRequest> {
        self.open.values().map(|open| &open.request)
    }

    /// Allocates the number of a request's next attempt; numbers start from 0. `None` if the request is not
    /// open.
    pub fn next_attempt_number(&mut self, id: RequestId) -> Option<u32> {
        let open = self.open.get_mut(&id)?;
        let number = open.next_attempt;
        open.next_attempt += 1;
        Some(number)
    }

    /// The earliest deadline of an open request, in Unix milliseconds.
    pub fn next_due(&mut self) -> Option<f64> {
        self.deadlines.next_due(|id, due_ms| Self::is_current(&self.open, id, due_ms))
    }

    /// Returns a request whose deadline has passed by `now`; the caller removes it.
    pub fn pop_overdue(&mut self, now: f64) -> Option<RequestId> {
        self.deadlines.pop_due(now, |id, due_ms| Self::is_current(&self.open, id, due_ms))
    }

    /// Whether a deadline belongs to the open request with this id, not to an earlier one with the same id.
    fn is_current(open: &HashMap<RequestId, OpenRequest>, id: RequestId, due_ms: f64) -> bool {
        open.get(&id).is_some_and(|open| open.request.deadline_ms == due_ms)
    }

    /// Removes and returns a request. Only the caller that gets it may respond to it.
    pub fn remove(&mut self, id: RequestId) -> Option<IncomingRequest> {
        self.open.remove(&id).map(|open| open.request)
    }

    /// The number of open requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

#[cfg(test)]
mod tests;
