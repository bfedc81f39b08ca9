//! The front of HTTP/3: the requests and responses of another front, with sessions, by which calls outlive their
//! connections, and with ranges, by which a client resumes a response that was interrupted.

use super::session::SessionTokens;
use crate::engine::executor::Executor;
use crate::resumable_calls::call_registry::CallRegistry;
use crate::resumable_calls::response_store::SessionId;
use crate::state::requests::{AdmitError, FinalResponse};
use crate::wire::http::{HttpAnswer, HttpRequest};
use crate::wire::listener::{Context, Front, Intake, Limits};
use crate::wire::signed::{range, Range};
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
    limits: Limits,
    tokens: RefCell<SessionTokens>,
    calls: Rc<CallRegistry>,
}

impl Http3Front {
    /// Creates a front for the requests of `inner`.
    pub fn new(inner: Rc<dyn Front>, limits: Limits, tokens: SessionTokens, calls: Rc<CallRegistry>) -> Self {
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
fn apply_range(context: &Context, answer: HttpAnswer) -> HttpAnswer {
    let Some(requested) = context.range.as_deref().filter(|_| answer.status == 200) else { return answer };
    let etag = answer.headers.iter().find(|(name, _)| *name == "ETag").map(|(_, etag)| etag.as_str());
    // RFC 9110, section 13.1.5: if the client has a part of another copy, it gets the complete response.
    let is_other_copy = |if_range: &str| etag != Some(if_range) || if_range.starts_with("W/");
    if context.if_range.as_deref().is_some_and(is_other_copy) {
        return answer;
    }
    let length = answer.body.len();
    match range(requested, length) {
        Range::All => answer,
        Range::Part(start, end) => {
            let content_range = format!("bytes {start}-{}/{length}", end - 1);
            let body = answer.body.slice(start..end);
            HttpAnswer { status: 206, body, ..answer }.with("Content-Range", content_range)
        }
        Range::Outside => {
            let unsatisfied = HttpAnswer { status: 416, body: Bytes::new(), ..answer };
            unsatisfied.with("Content-Range", format!("bytes */{length}"))
        }
    }
}

impl Front for Http3Front {
    fn limits(&self) -> &Limits {
        &self.limits
    }

    fn take(&self, host: &Rc<Executor>, request: &HttpRequest, now: f64) -> Intake {
        let (incoming, mut context) = match self.inner.take(host, request, now) {
            Intake::IncomingRequest(incoming, context) => (incoming, context),
            answered => return answered,
        };
        if request.method == "GET" {
            let header = |name| request.single(name).ok().flatten().map(String::from);
            (context.range, context.if_range) = (header("range"), header("if-range"));
        }
        let session = self.session(request, now);
        (context.session, context.session_token) = (Some(session.id), session.new_token);
        Intake::IncomingRequest(incoming, context)
    }

    fn word(&self, context: &Context, answer: FinalResponse) -> HttpAnswer {
        let answer = apply_range(context, self.inner.word(context, answer)).with("Accept-Ranges", "bytes");
        match &context.session_token {
            Some(token) => answer.with(SESSION_HEADER, token.clone()),
            None => answer,
        }
    }

    fn not_taken(&self, reason: AdmitError) -> HttpAnswer {
        self.inner.not_taken(reason)
    }

    fn resumable_calls(&self) -> Option<&Rc<CallRegistry>> {
        Some(&self.calls)
    }
}
