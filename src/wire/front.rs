//! The [`Front`] trait, which implements one client protocol, and the types it uses.

use super::http::{HttpRequest, HttpResponse};
use super::submission::Submission;
use crate::engine::executor::Executor;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError};
use serde::Deserialize;
use std::rc::Rc;

/// Limits of a front's connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionLimits {
    /// The most concurrent connections.
    pub connections: usize,
    /// Time limit of the complete first request, from the accept of its connection.
    pub first_ms: f64,
    /// How long a connection may stay idle before the first byte of its next request.
    pub idle_ms: f64,
    /// Time limit of a complete head, from its first byte.
    pub head_ms: f64,
    /// Time limit of a complete body, from the end of its head.
    pub body_ms: f64,
    /// Time limit of the write of a complete response.
    pub write_ms: f64,
    /// Whether clients send one request at a time and state how long they wait for its response. Writing a
    /// response then ends half a second after the request's deadline at the latest, and a connection closes
    /// after the response if its client sent more than `client_stream::MAX_BYTES_AHEAD` bytes ahead of it.
    #[serde(skip)]
    pub one_at_a_time: bool,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// Whether requests are answered however much memory others use. For a front with few connections.
    #[serde(skip)]
    pub exempt_from_request_memory: bool,
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
            exempt_from_request_memory: false,
        }
    }
}

/// The id of a client's session, in which calls survive the loss of a connection.
pub type SessionId = u128;

/// The parts of a request that its response depends on.
#[derive(Clone, Debug, Default)]
pub struct ResponseContext {
    /// The method is HEAD: the response has no body.
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
    /// The session of the request, if the front has sessions.
    pub session: Option<SessionId>,
    /// The session's token, if the client needs a new one.
    pub session_token: Option<String>,
}

/// How a front handles a request.
pub enum Disposition {
    /// The front answers it without the engine.
    Respond(HttpResponse),
    /// The engine forwards it to the caches.
    Forward(Box<IncomingRequest>, ResponseContext),
}

/// Implements one client protocol: parses requests and builds responses.
pub trait Front {
    /// The limits of its connections.
    fn limits(&self) -> &ConnectionLimits;

    /// Parses and authenticates a request that was complete at `now`, in Unix milliseconds.
    fn interpret(&self, executor: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition;

    /// Submits a request for which [`Self::interpret`] returned [`Disposition::Forward`]; by default to the
    /// engine.
    fn submit(
        &self,
        executor: &Rc<Executor>,
        _context: &ResponseContext,
        request: IncomingRequest,
    ) -> Result<Submission, SubmitError> {
        Submission::submit_to_engine(executor, request)
    }

    /// The HTTP response for the engine's final response.
    fn respond(&self, context: &ResponseContext, result: FinalResponse) -> HttpResponse;

    /// The response to a request that was not admitted.
    fn reject(&self, reason: SubmitError) -> HttpResponse;
}
