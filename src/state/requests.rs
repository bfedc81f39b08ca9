//! The table of requests that are owed one final answer.

use super::deadlines::Deadlines;
use crate::RequestId;
use bytes::Bytes;
use std::collections::HashMap;

/// A client's request as a front hands it to the engine.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// Its id, new to this proxy.
    pub id: RequestId,
    /// The id as it is passed on.
    pub id_text: String,
    /// Place of its class in the settings.
    pub class: usize,
    /// The object.
    pub object: u64,
    /// The object as it is passed on.
    pub object_text: String,
    /// The part.
    pub part: u32,
    /// The object's group.
    pub group: u32,
    /// KB of the part; 0 where unknown.
    pub size_kb: f64,
    /// When the answer must be on its way, in Unix milliseconds.
    pub deadline_ms: f64,
    /// Idempotency key.
    pub key: Option<String>,
    /// Bare tag of the client's copy.
    pub client_etag: Option<String>,
    /// Body of a write.
    pub body: Bytes,
    /// The client's address, where the front knows it: the door shares by it.
    pub client: Option<std::net::IpAddr>,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The bytes of the part, from an endpoint's answer to this request.
    Served {
        /// Tag of the copy, where it has one.
        tag: Option<String>,
        /// The bytes.
        body: Bytes,
    },
    /// The client's copy would be served.
    NotModified {
        /// Tag of the copy.
        tag: String,
    },
    /// Refused: trying again does no harm.
    Rejected {
        /// How long to stay away, in milliseconds; 0 for no advice.
        retry_after_ms: f64,
        /// The request's time was over.
        overdue: bool,
    },
    /// Failed; nothing is promised.
    Failed {
        /// The request's time was over.
        overdue: bool,
    },
}

/// Why a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitError {
    /// Another with its id is open.
    Duplicate,
    /// The table is full.
    Full,
}

/// Requests that owe an answer, at most `most` of them.
#[derive(Debug)]
pub struct Requests {
    open: HashMap<RequestId, (IncomingRequest, u32)>,
    due: Deadlines<RequestId>,
    most: usize,
}

impl Requests {
    /// An empty table.
    pub fn new(most: usize) -> Self {
        Self { open: HashMap::new(), due: Deadlines::default(), most }
    }

    /// Takes a request in: from now on it owes an answer.
    pub fn admit(&mut self, ask: IncomingRequest) -> Result<(), AdmitError> {
        if self.open.contains_key(&ask.id) {
            return Err(AdmitError::Duplicate);
        }
        if self.open.len() >= self.most {
            return Err(AdmitError::Full);
        }
        self.due.push(ask.deadline_ms, ask.id);
        self.open.insert(ask.id, (ask, 0));
        Ok(())
    }

    /// A request that still owes its answer.
    pub fn get(&self, id: RequestId) -> Option<&IncomingRequest> {
        self.open.get(&id).map(|(ask, _)| ask)
    }

    /// The number of a request's next attempt, as the module counts them too.
    pub fn next_attempt_number(&mut self, id: RequestId) -> Option<u32> {
        let (_, next) = self.open.get_mut(&id)?;
        *next += 1;
        Some(*next - 1)
    }

    /// Whether a request of this class is open.
    pub fn uses_class(&self, class: usize) -> bool {
        self.open.values().any(|(ask, _)| ask.class == class)
    }

    /// When the next request's time is over.
    pub fn next_due(&mut self) -> Option<f64> {
        self.due.next_due(|id, at| Self::is_current(&self.open, id, at))
    }

    /// A request whose time was over by `now`; it is told once, and is to be ended then.
    pub fn pop_overdue(&mut self, now: f64) -> Option<RequestId> {
        self.due.pop_due(now, |id, at| Self::is_current(&self.open, id, at))
    }

    /// Guards against an id that comes again being ended at the time of the request that had it before.
    fn is_current(open: &HashMap<RequestId, (IncomingRequest, u32)>, id: RequestId, at: f64) -> bool {
        open.get(&id).is_some_and(|(ask, _)| ask.deadline_ms == at)
    }

    /// Ends a request. Only the first caller gets it, and with it the right to answer.
    pub fn remove(&mut self, id: RequestId) -> Option<IncomingRequest> {
        self.open.remove(&id).map(|(ask, _)| ask)
    }

    /// How many owe an answer.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

#[cfg(test)]
mod tests;
