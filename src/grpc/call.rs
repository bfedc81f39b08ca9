//! What a call is: what its client asks for, what its driver has to do next, and how it can end. No I/O.

use super::routes::{Affinity, Route};
use super::status::{Code, Pushback};
use crate::EndpointId;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call's number, which is never used again.
pub type CallId = u64;

/// The most that is taken off a client's time for the way back to it, in milliseconds.
const MAX_RETURN_MARGIN_MS: f64 = 40.0;
/// The most that is taken off a client's time for the way back to it, as a share of that time.
const MAX_RETURN_MARGIN_SHARE: f64 = 0.1;

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct NewCall {
    /// The route of its method.
    pub route: Rc<Route>,
    /// The affinity's hash; none for a call that may go to any backend.
    pub object: Option<u64>,
    /// The value of `grpc-timeout`, in milliseconds.
    pub timeout_ms: Option<f64>,
    /// When its headers arrived. Its deadline counts from there, also where it waited in the admission queue.
    pub received_ms: f64,
}

impl NewCall {
    /// The time that the call may take over all its attempts, in milliseconds: the shorter of its client's, less a
    /// margin for the way back, and its route's.
    pub fn allowed_ms(&self) -> f64 {
        let without_margin = |ms: f64| ms - MAX_RETURN_MARGIN_MS.min(MAX_RETURN_MARGIN_SHARE * ms);
        let client = self.timeout_ms.map_or(f64::INFINITY, without_margin);
        client.min(self.route.deadline_ms.unwrap_or(f64::INFINITY))
    }

    /// When the call's time is over, in Unix milliseconds.
    pub fn deadline_ms(&self) -> f64 {
        self.received_ms + self.allowed_ms()
    }
}

/// What a call's driver does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    /// Make this attempt.
    StartAttempt(AttemptTarget),
    /// Forward the status and the trailers with which the last attempt ended.
    ForwardStatus {
        /// How the call is counted.
        outcome: CallOutcome,
        /// The retry pushback to add where the backend gave none, in milliseconds.
        retry_after_ms: Option<f64>,
    },
    /// End the call with a status of the proxy's own.
    Respond(LocalStatus),
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptTarget {
    /// The attempt's number within the call, from 0.
    pub attempt: u32,
    /// The backend.
    pub backend: EndpointId,
    /// The backend's address.
    pub address: SocketAddr,
}

/// A status that the proxy itself gives.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalStatus {
    /// The status code.
    pub code: Code,
    /// The message for people.
    pub message: &'static str,
    /// The retry pushback, if any.
    pub pushback: Option<Pushback>,
    /// How the call is counted.
    pub outcome: CallOutcome,
}

impl LocalStatus {
    /// A failure without any pushback.
    pub fn failed(code: Code, message: &'static str) -> Self {
        Self { code, message, pushback: None, outcome: CallOutcome::Failed }
    }

    /// A rejection: a retry after `retry_after_ms`, where that is given, does no harm.
    pub fn rejected(message: &'static str, retry_after_ms: Option<f64>) -> Self {
        let pushback = retry_after_ms.map(Pushback::After);
        Self { code: Code::UNAVAILABLE, message, pushback, outcome: CallOutcome::Rejected }
    }

    /// The status of a call that has ended already.
    pub fn already_ended() -> Self {
        let pushback = Some(Pushback::Never);
        Self { pushback, ..Self::failed(Code::INTERNAL, "the call has ended") }
    }
}

/// How a call is counted once it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// Status OK with a complete response.
    Served,
    /// A retry does no harm.
    Rejected,
    /// Nothing is promised about a retry.
    Failed,
    /// The client disconnected or cancelled the call.
    ClientDisconnected,
}

/// The affinity's hash of a call, from its path and the header that decides.
pub fn affinity_hash(
    affinity: &Affinity,
    path: &str,
    header: impl Fn(&str) -> Option<Vec<u8>>,
) -> Option<u64> {
    match affinity {
        Affinity::Call => None,
        Affinity::Method => Some(super::routes::hash(path.as_bytes())),
        Affinity::Header(name) => header(name).map(|value| super::routes::hash(&value)),
    }
}
