//! A front: what differs between the protocols that clients speak.

use super::http::{HttpRequest, HttpResponse};
use super::submission::Submission;
use crate::engine::executor::Executor;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use serde::Deserialize;
use std::rc::Rc;

/// Bounds of a front's connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionLimits {
    /// Concurrent connections.
    pub connections: usize,
    /// Time limit of a connection's complete first request, from when it was accepted.
    pub first_ms: f64,
    /// Time limit of the first byte of a further request.
    pub idle_ms: f64,
    /// Time limit of a complete head, from its first byte.
    pub head_ms: f64,
    /// Time limit of a complete body, from its first byte.
    pub body_ms: f64,
    /// Time limit of the write of a complete response.
    pub write_ms: f64,
    /// Clients do not pipeline requests (RFC 9112, section 9.3.2), and state how long they wait for a response: none is
    /// written for longer than that and half a second, and what is sent far ahead of a response is no request.
    #[serde(skip)]
    pub one_at_a_time: bool,
    /// The longest body, in bytes.
    pub body_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            connections: 400,
            first_ms: 5_000.0,
            idle_ms: 30_000.0,
            head_ms: 5_000.0,
            body_ms: 5_000.0,
            write_ms: 10_000.0,
            one_at_a_time: false,
            body_bytes: 48_000,
        }
    }
}

/// The id of a client's session, in which calls outlive connections.
pub type SessionId = u128;

/// What the response to a request depends on besides its result.
#[derive(Clone, Debug, Default)]
pub struct ResponseContext {
    /// Only the head is sent: the method is HEAD.
    pub head_only: bool,
    /// The value of `Range`.
    pub range: Option<String>,
    /// The value of `If-Range`.
    pub if_range: Option<String>,
    /// The value of `If-None-Match`.
    pub if_none_match: Option<String>,
    /// The value of `If-Match`.
    pub if_match: Option<String>,
    /// A cookie that a successful response sets.
    pub set_cookie: Option<String>,
    /// The session that the request belongs to, where the front has sessions.
    pub session: Option<SessionId>,
    /// The session's token, where the client needs a new one.
    pub session_token: Option<String>,
}

/// What a front decides about a request.
pub enum Disposition {
    /// The front answers it without the engine.
    Respond(HttpResponse),
    /// The engine forwards it to the caches.
    Forward(Box<IncomingRequest>, ResponseContext),
}

/// A front: what differs between the protocols that clients speak.
pub trait Front {
    /// The bounds of its connections.
    fn limits(&self) -> &ConnectionLimits;

    /// Parses and authenticates a request that was complete at `now`, in Unix milliseconds.
    fn interpret(&self, executor: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition;

    /// Submits a request that [`Self::interpret`] forwards.
    fn submit(
        &self,
        executor: &Rc<Executor>,
        _context: &ResponseContext,
        request: IncomingRequest,
    ) -> Result<Submission, AdmitError> {
        Submission::to_engine(executor, request)
    }

    /// The response for a final result.
    fn respond(&self, context: &ResponseContext, result: FinalResponse) -> HttpResponse;

    /// The response to a request that was not admitted.
    fn reject(&self, reason: AdmitError) -> HttpResponse;
}
