//! The HTTP/3 front. It wraps another front and adds sessions, so that a client can reconnect to a running
//! call, and range requests, so that a client can resume an interrupted response.

use super::call_registry::CallRegistry;
use super::session::SessionTokens;
use crate::engine::executor::Executor;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError};
use crate::wire::byte_range::ByteRange;
use crate::wire::front::{ConnectionLimits, Disposition, Front, ResponseContext, SessionId};
use crate::wire::http::{HttpRequest, HttpResponse};
use crate::wire::submission::Submission;
use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;

/// Response header that carries a session token.
pub const SESSION_HEADER: &str = "X-Session";
/// Request header that carries a session token; request header names are matched in lower case.
const SESSION_REQUEST_HEADER: &str = "x-session";

/// The session of a request.
struct RequestSession {
    id: SessionId,
    /// A token to return to the client, if it has none or its own needs renewal.
    new_token: Option<String>,
}

/// A front that adds sessions and range requests to `inner`.
pub struct Http3Front {
    inner: Rc<dyn Front>,
    limits: ConnectionLimits,
    tokens: RefCell<SessionTokens>,
    calls: Rc<CallRegistry>,
}

impl Http3Front {
    /// Creates a front that adds sessions and range requests to `inner`. `limits` replaces the limits of
    /// `inner`.
    pub fn new(
        inner: Rc<dyn Front>,
        limits: ConnectionLimits,
        tokens: SessionTokens,
        calls: Rc<CallRegistry>,
    ) -> Self {
        Self { inner, limits, tokens: RefCell::new(tokens), calls }
    }

    /// Replaces the issuer and verifier of session tokens, after their keys were reloaded.
    pub fn set_tokens(&self, tokens: SessionTokens) {
        *self.tokens.borrow_mut() = tokens;
    }

    /// Returns the session of a request, or a new session if the request has no valid token.
    fn session(&self, request: &HttpRequest, now: f64) -> RequestSession {
        let tokens = self.tokens.borrow();
        let token = request.single_value(SESSION_REQUEST_HEADER).ok().flatten();
        let verified = token.and_then(|token| tokens.verify(now, token).ok());
        let (id, needs_token) = match verified {
            Some(session) => (session.id, tokens.needs_renewal(now, &session)),
            None => (rand::random::<SessionId>(), true),
        };
        RequestSession { id, new_token: needs_token.then(|| tokens.issue(now, id)) }
    }
}

/// Reduces a complete response to the requested range, if `If-Range` permits it.
fn apply_range(context: &ResponseContext, response: HttpResponse) -> HttpResponse {
    let Some(requested) = context.range.as_deref().filter(|_| response.status == 200) else {
        return response;
    };
    let etag = response.headers.iter().find(|(name, _)| *name == "ETag").map(|(_, etag)| etag.as_str());
    // RFC 9110, section 13.1.5: a weak or different entity tag in `If-Range` disables the range.
    let is_mismatch = |if_range: &str| etag != Some(if_range) || if_range.starts_with("W/");
    if context.if_range.as_deref().is_some_and(is_mismatch) {
        return response;
    }
    let length = response.body.len();
    match ByteRange::parse(requested, length) {
        ByteRange::All => response,
        ByteRange::Part(start, end) => {
            let content_range = format!("bytes {start}-{}/{length}", end - 1);
            let body = response.body.slice(start..end);
            HttpResponse { status: 206, body, ..response }.with_header("Content-Range", content_range)
        }
        ByteRange::Unsatisfiable => {
            let not_satisfiable = HttpResponse { status: 416, body: Bytes::new(), ..response };
            not_satisfiable.with_header("Content-Range", format!("bytes */{length}"))
        }
    }
}

impl Front for Http3Front {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, executor: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition {
        let (incoming, mut context) = match self.inner.interpret(executor, request, now) {
            Disposition::Forward(incoming, context) => (incoming, context),
            other => return other,
        };
        if request.method == "GET" {
            let header = |name| request.single_value(name).ok().flatten().map(String::from);
            (context.range, context.if_range) = (header("range"), header("if-range"));
        }
        let session = self.session(request, now);
        (context.session, context.session_token) = (Some(session.id), session.new_token);
        Disposition::Forward(incoming, context)
    }

    fn respond(&self, context: &ResponseContext, response: FinalResponse) -> HttpResponse {
        let response =
            apply_range(context, self.inner.respond(context, response)).with_header("Accept-Ranges", "bytes");
        match &context.session_token {
            Some(token) => response.with_header(SESSION_HEADER, token.clone()),
            None => response,
        }
    }

    fn reject(&self, reason: SubmitError) -> HttpResponse {
        self.inner.reject(reason)
    }

    fn submit(
        &self,
        executor: &Rc<Executor>,
        context: &ResponseContext,
        request: IncomingRequest,
    ) -> Result<Submission, SubmitError> {
        match context.session {
            Some(session) => Ok(self.calls.submit(session, request)?.into()),
            None => Submission::submit_to_engine(executor, request),
        }
    }
}
