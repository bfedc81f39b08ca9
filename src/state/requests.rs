//! The table of requests that are owed one final response.

use super::deadlines::Deadlines;
use crate::RequestId;
use bytes::Bytes;
use std::collections::HashMap;
use std::net::IpAddr;

/// A client's request as a front submits it to the engine.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its id, new to this proxy.
    pub id: RequestId,
    /// The text of the id, as it is forwarded.
    pub id_text: String,
    /// Index of its class in the settings.
    pub class: usize,
    /// The object.
    pub object: u64,
    /// The text of the object, as it is forwarded.
    pub object_text: String,
    /// The part.
    pub part: u32,
    /// The object's group.
    pub group: u32,
    /// Size of the part in KB; 0 where unknown.
    pub size_kb: f64,
    /// When the response must be on its way, in Unix milliseconds.
    pub deadline_ms: f64,
    /// Idempotency key.
    pub key: Option<String>,
    /// Entity tag of the client's copy, without quotes.
    pub client_etag: Option<String>,
    /// Body of a write.
    pub body: Bytes,
    /// The client's address, where the front knows it; admission control is fair by it.
    pub client: Option<IpAddr>,
}

/// The one final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The bytes of the part, from an endpoint's response to this request.
    Served {
        /// Entity tag of the copy, without quotes, where it has one.
        tag: Option<String>,
        /// The bytes.
        body: Bytes,
    },
    /// The client's copy is current.
    NotModified {
        /// Entity tag of the copy, without quotes.
        tag: String,
    },
    /// Rejected: a retry of the client does no harm.
    Rejected {
        /// When the client is to retry, in milliseconds from now; 0 for no advice.
        retry_after_ms: f64,
        /// The request's time was over.
        overdue: bool,
    },
    /// Failed: the request may have taken effect.
    Failed {
        /// The request's time was over.
        overdue: bool,
    },
}

/// Why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// Another request with its id is open.
    Duplicate,
    /// The table is full.
    Full,
}

/// An open request.
#[derive(Debug)]
struct OpenRequest {
    request: IncomingRequest,
    /// Number of its next attempt.
    next_attempt: u32,
}

/// Requests that are owed a response.
#[derive(Debug)]
pub struct Requests {
    open: HashMap<RequestId, OpenRequest>,
    deadlines: Deadlines<RequestId>,
    max: usize,
}

impl Requests {
    /// An empty table of at most `max` requests.
    pub fn new(max: usize) -> Self {
        Self { open: HashMap::new(), deadlines: Deadlines::default(), max }
    }

    /// Adds a request, which is owed a response from now on.
    ///
    /// # Errors
    ///
    /// [`AdmitError`] where its id is open already or the table is full.
    pub fn admit(&mut self, request: IncomingRequest) -> Result<(), AdmitError> {
        if self.open.contains_key(&request.id) {
            return Err(AdmitError::Duplicate);
        }
        if self.open.len() >= self.max {
            return Err(AdmitError::Full);
        }
        self.deadlines.push(request.deadline_ms, request.id);
        self.open.insert(request.id, OpenRequest { request, next_attempt: 0 });
        Ok(())
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&IncomingRequest> {
        self.open.get(&id).map(|open| &open.request)
    }

    /// The number of a request's next attempt, counted as the decision module counts them.
    pub fn next_attempt_number(&mut self, id: RequestId) -> Option<u32> {
        let open = self.open.get_mut(&id)?;
        let number = open.next_attempt;
        open.next_attempt += 1;
        Some(number)
    }

    /// Whether a request of this class is open.
    pub fn uses_class(&self, class: usize) -> bool {
        self.open.values().any(|open| open.request.class == class)
    }

    /// When the next request's time is over, in Unix milliseconds.
    pub fn next_due(&mut self) -> Option<f64> {
        self.deadlines.next_due(|id, at| Self::is_current(&self.open, id, at))
    }

    /// A request whose time was over by `now`; the caller removes it.
    pub fn pop_overdue(&mut self, now: f64) -> Option<RequestId> {
        self.deadlines.pop_due(now, |id, at| Self::is_current(&self.open, id, at))
    }

    /// Whether a deadline is that of the request which has its id now: an id may be used again.
    fn is_current(open: &HashMap<RequestId, OpenRequest>, id: RequestId, at: f64) -> bool {
        open.get(&id).is_some_and(|open| open.request.deadline_ms == at)
    }

    /// Removes a request. Only the first caller gets it, and with it the right to respond.
    pub fn remove(&mut self, id: RequestId) -> Option<IncomingRequest> {
        self.open.remove(&id).map(|open| open.request)
    }

    /// How many requests are open.
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
