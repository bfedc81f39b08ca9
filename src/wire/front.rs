//! A front: what differs between the protocols that clients speak.

use super::http::{HttpRequest, HttpResponse};
use crate::engine::executor::Executor;
use crate::resumable_calls::call_registry::CallRegistry;
use crate::resumable_calls::response_store::SessionId;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use serde::Deserialize;
use std::rc::Rc;

/// Bounds of a front's connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConnectionLimits {
    /// Connections at once.
    pub connections: usize,
    /// Wait for a connection's whole first request, from when it was accepted.
    pub first_ms: f64,
    /// Wait for the first byte of a further request.
    pub idle_ms: f64,
    /// Wait for a whole head from its first byte.
    pub head_ms: f64,
    /// Wait for a whole body from its first byte.
    pub body_ms: f64,
    /// Wait for a client to take a whole answer.
    pub write_ms: f64,
    /// Clients send one request at a time and say how long they wait for its answer: none is written for longer than
    /// that and half a second, and what is sent far ahead of it is no request.
    #[serde(skip)]
    pub one_at_a_time: bool,
    /// The longest body.
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

/// What the answer to a request depends on besides its end.
#[derive(Clone, Debug, Default)]
pub struct ResponseContext {
    /// Only the head is wanted.
    pub head_only: bool,
    /// The range that is wanted, as it came.
    pub range: Option<String>,
    /// `If-Range`, as it came.
    pub if_range: Option<String>,
    /// `If-None-Match`, as it came.
    pub if_none_match: Option<String>,
    /// A cookie to be set with an answer that gives something.
    pub set_cookie: Option<String>,
    /// `If-Match`, as it came.
    pub if_match: Option<String>,
    /// The session that the request belongs to, where the front has sessions ...
    pub session: Option<SessionId>,
    /// ... and its token, where the client is to be told it.
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
    /// Its bounds.
    fn limits(&self) -> &ConnectionLimits;
    /// Parses and authenticates a request that was whole at `now`.
    fn interpret(&self, host: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition;
    /// Words a final answer.
    fn respond(&self, context: &ResponseContext, answer: FinalResponse) -> HttpResponse;
    /// Words that a request could not be taken.
    fn reject(&self, reason: AdmitError) -> HttpResponse;
    /// The calls that outlive their connections, if the front has sessions.
    fn resumable_calls(&self) -> Option<&Rc<CallRegistry>> {
        None
    }
}
