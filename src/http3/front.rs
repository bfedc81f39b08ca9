//! The front of HTTP/3: the requests and responses of another front, with sessions, by which calls outlive their
//! connections, and with ranges, by which a client resumes a response that was interrupted.

use super::call_registry::CallRegistry;
use super::session::SessionTokens;
use crate::engine::executor::Executor;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::wire::byte_range::ByteRange;
use crate::wire::front::{ConnectionLimits, Disposition, Front, ResponseContext, SessionId};
use crate::wire::http::{HttpRequest, HttpResponse};
use crate::wire::submission::Submission;
use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;

/// Response header with a session token.
pub const SESSION_HEADER: &str = "X-Session";
/// The same header in a request, in lower case.
const SESSION_REQUEST_HEADER: &str = "x-session";

/// The session of a request.
struct RequestSession {
    id: SessionId,
    /// A token that the client has to be given.
    new_token: Option<String>,
}

/// The front.
pub struct Http3Front {
    inner: Rc<dyn Front>,
    limits: ConnectionLimits,
    tokens: RefCell<SessionTokens>,
    calls: Rc<CallRegistry>,
}

impl Http3Front {
    /// Creates a front for the requests of `inner`.
    pub fn new(
        inner: Rc<dyn Front>,
        limits: ConnectionLimits,
        tokens: SessionTokens,
        calls: Rc<CallRegistry>,
    ) -> Self {
        Self { inner, limits, tokens: RefCell::new(tokens), calls }
    }

    /// Replaces the session tokens, after their keys were reloaded.
    pub fn set_tokens(&self, tokens: SessionTokens) {
        *self.tokens.borrow_mut() = tokens;
    }

    /// The session of a request. A request without a valid token gets a new session.
    fn session(&self, request: &HttpRequest, now: f64) -> RequestSession {
        let tokens = self.tokens.borrow();
        let token = request.single(SESSION_REQUEST_HEADER).ok().flatten();
        let verified = token.and_then(|token| tokens.verify(now, token).ok());
        let (id, is_token_due) = match verified {
            Some(session) => (session.id, tokens.needs_renewal(now, &session)),
            None => (rand::random::<SessionId>(), true),
        };
        RequestSession { id, new_token: is_token_due.then(|| tokens.issue(now, id)) }
    }
}

/// Reduces a complete response to the requested range, if the client's copy is still current.
fn apply_range(context: &ResponseContext, response: HttpResponse) -> HttpResponse {
    let Some(requested) = context.range.as_deref().filter(|_| response.status == 200) else {
        return response;
    };
    let etag = response.headers.iter().find(|(name, _)| *name == "ETag").map(|(_, etag)| etag.as_str());
    // RFC 9110, section 13.1.5: if the client has a part of another copy, it gets the complete response.
    let is_other_copy = |if_range: &str| etag != Some(if_range) || if_range.starts_with("W/");
    if context.if_range.as_deref().is_some_and(is_other_copy) {
        return response;
    }
    let length = response.body.len();
    match ByteRange::parse(requested, length) {
        ByteRange::All => response,
        ByteRange::Part(start, end) => {
            let content_range = format!("bytes {start}-{}/{length}", end - 1);
            let body = response.body.slice(start..end);
            HttpResponse { status: 206, body, ..response }.with("Content-Range", content_range)
        }
        ByteRange::Unsatisfiable => {
            let unsatisfied = HttpResponse { status: 416, body: Bytes::new(), ..response };
            unsatisfied.with("Content-Range", format!("bytes */{length}"))
        }
    }
}

impl Front for Http3Front {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, host: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition {
        let (incoming, mut context) = match self.inner.interpret(host, request, now) {
            Disposition::Forward(incoming, context) => (incoming, context),
            decided => return decided,
        };
        if request.method == "GET" {
            let header = |name| request.single(name).ok().flatten().map(String::from);
            (context.range, context.if_range) = (header("range"), header("if-range"));
        }
        let session = self.session(request, now);
        (context.session, context.session_token) = (Some(session.id), session.new_token);
        Disposition::Forward(incoming, context)
    }

    fn respond(&self, context: &ResponseContext, response: FinalResponse) -> HttpResponse {
        let response =
            apply_range(context, self.inner.respond(context, response)).with("Accept-Ranges", "bytes");
        match &context.session_token {
            Some(token) => response.with(SESSION_HEADER, token.clone()),
            None => response,
        }
    }

    fn reject(&self, reason: AdmitError) -> HttpResponse {
        self.inner.reject(reason)
    }

    fn submit(
        &self,
        executor: &Rc<Executor>,
        context: &ResponseContext,
        request: IncomingRequest,
    ) -> Result<Submission, AdmitError> {
        match context.session {
            Some(session) => Ok(self.calls.submit(session, request)?.into()),
            None => Submission::to_engine(executor, request),
        }
    }
}
