//! The front of the edge for poor links: another front's requests and answers, with a session by which a device's
//! calls outlive its connections, and with ranges, so that a clip that stopped halfway goes on from there.

use super::call_registry::{CallRegistry, Kept};
use super::response_store::SessionId;
use super::session::Sessions;
use crate::engine::executor::Executor;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::wire::byte_range::ByteRange;
use crate::wire::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use crate::wire::http::{HttpRequest, HttpResponse};
use crate::wire::submission::{PendingResponse, Submission};
use std::cell::RefCell;
use std::rc::Rc;

/// The header with a session's token.
pub const SESSION: &str = "X-Session";

/// The front.
pub struct Http3Front {
    inner: Rc<dyn Front>,
    limits: ConnectionLimits,
    sessions: RefCell<Sessions>,
    keeper: Rc<CallRegistry>,
}

impl Http3Front {
    /// A front for another one's requests.
    pub fn new(
        inner: Rc<dyn Front>,
        limits: ConnectionLimits,
        sessions: Sessions,
        keeper: Rc<CallRegistry>,
    ) -> Self {
        Self { inner, limits, sessions: RefCell::new(sessions), keeper }
    }

    /// Takes other keys for sessions.
    pub fn rekey(&self, sessions: Sessions) {
        *self.sessions.borrow_mut() = sessions;
    }

    /// The session of a request, with a token to be told where it is new or its token old.
    fn session(&self, request: &HttpRequest, now: f64) -> (SessionId, Option<String>) {
        let sessions = self.sessions.borrow();
        let token = request.single("x-session").ok().flatten();
        match token.map(|text| sessions.open(now, text)) {
            Some(Ok(session)) if sessions.is_old(now, &session) => {
                (session.id, Some(sessions.token(now, session.id)))
            }
            Some(Ok(session)) => (session.id, None),
            // One that opens nothing is no fault: its device gets a new one.
            _ => {
                let id = rand::random::<SessionId>();
                (id, Some(sessions.token(now, id)))
            }
        }
    }
}

/// A part of a whole answer, where one was asked for and the copy is still the same.
fn part(context: &ResponseContext, answer: HttpResponse) -> HttpResponse {
    let Some(text) = context.range.as_deref().filter(|_| answer.status == 200) else { return answer };
    let tag = answer.headers.iter().find(|(name, _)| *name == "ETag").map(|(_, tag)| tag.as_str());
    // RFC 9110, section 13.1.5: another copy than the one that the client has a part of is sent whole.
    if context.if_range.as_deref().is_some_and(|asked| tag != Some(asked) || asked.starts_with("W/")) {
        return answer;
    }
    let length = answer.body.len();
    match ByteRange::parse(text, length) {
        ByteRange::All => answer,
        ByteRange::Part(from, to) => {
            let body = answer.body.slice(from..to);
            let shown = format!("bytes {from}-{}/{length}", to - 1);
            HttpResponse { status: 206, body, ..answer }.with("Content-Range", shown)
        }
        ByteRange::Unsatisfiable => {
            let empty = HttpResponse { status: 416, body: Default::default(), ..answer };
            empty.with("Content-Range", format!("bytes */{length}"))
        }
    }
}

impl Front for Http3Front {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, host: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition {
        match self.inner.interpret(host, request, now) {
            Disposition::Forward(ask, mut context) => {
                let header = |name| request.single(name).ok().flatten().map(String::from);
                if request.method == "GET" {
                    (context.range, context.if_range) = (header("range"), header("if-range"));
                }
                let (id, token) = self.session(request, now);
                (context.session, context.session_token) = (Some(id), token);
                Disposition::Forward(ask, context)
            }
            now => now,
        }
    }

    fn respond(&self, context: &ResponseContext, answer: FinalResponse) -> HttpResponse {
        let answer = part(context, self.inner.respond(context, answer)).with("Accept-Ranges", "bytes");
        match &context.session_token {
            Some(token) => answer.with(SESSION, token.clone()),
            None => answer,
        }
    }

    fn reject(&self, reason: AdmitError) -> HttpResponse {
        self.inner.reject(reason)
    }

    fn submit(
        &self,
        host: &Rc<Executor>,
        context: &ResponseContext,
        request: IncomingRequest,
    ) -> Result<Submission, AdmitError> {
        let Some(session) = context.session else { return Submission::to_engine(host, request) };
        Ok(match self.keeper.ask(session, request)? {
            Kept::Now(result) => Submission::Completed(result),
            Kept::Wait(receiver, hold) => Submission::Pending(PendingResponse::new(receiver, Box::new(hold))),
        })
    }
}
