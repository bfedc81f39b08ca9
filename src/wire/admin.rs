//! The second address, for the platform and its staff: one call on a connection, and a 2xx means yes.

use super::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use super::http::{HttpRequest, HttpResponse};
use crate::engine::executor::Executor;
use crate::state::requests::{AdmitError, FinalResponse};
use crate::text::parse_endpoint_id;
use std::rc::Rc;

/// Connections at once. At the cap a caller that says nothing gives its place to the next.
pub const CALLERS: usize = 16;
/// Wait for a whole call, in milliseconds.
const CALL_MS: f64 = 6_000.0;
/// The longest body of a call; what it says is not looked at.
const MAX_BODY: usize = 4_096;

/// Writes maintenance down, so that it outlives this process.
pub type Keep = Box<dyn Fn(&Rc<Executor>) -> Result<(), std::io::Error>>;

/// Further calls of a subsystem that is on, such as fleet purges: an answer for the calls that are its own.
pub type Calls = Box<dyn Fn(&Rc<Executor>, &HttpRequest) -> Option<HttpResponse>>;

/// The front of the second address.
pub struct AdminFront {
    limits: ConnectionLimits,
    keep: Keep,
    calls: Vec<Calls>,
}

impl AdminFront {
    /// A front that writes maintenance down by `keep`.
    pub fn new(keep: Keep) -> Self {
        let (connections, body_bytes) = (CALLERS, MAX_BODY);
        let (first_ms, idle_ms, head_ms, body_ms) = (CALL_MS, CALL_MS, CALL_MS, CALL_MS);
        let limits = ConnectionLimits {
            connections,
            first_ms,
            idle_ms,
            head_ms,
            body_ms,
            body_bytes,
            ..ConnectionLimits::default()
        };
        Self { limits, keep, calls: Vec::new() }
    }

    /// Takes fewer callers at once, where descriptors are short.
    pub fn with_callers(mut self, callers: usize) -> Self {
        self.limits.connections = callers.min(CALLERS);
        self
    }

    /// Takes further calls, whose bodies may be as long as `body_bytes`.
    pub fn with_calls(mut self, calls: Calls, body_bytes: usize) -> Self {
        self.calls.push(calls);
        self.limits.body_bytes = self.limits.body_bytes.max(body_bytes);
        self
    }

    fn answer(&self, host: &Rc<Executor>, request: &HttpRequest) -> HttpResponse {
        if let Some(answer) = self.calls.iter().find_map(|calls| calls(host, request)) {
            return answer;
        }
        let path = request.target.split('?').next().unwrap_or_default();
        let steps: Vec<&str> = path.split('/').skip(1).collect();
        let allowed = match steps[..] {
            ["healthcheck" | "stats"] => "GET",
            ["pop-caches", _, "maint" | "ready"] => "POST",
            _ => return HttpResponse::status(404),
        };
        if request.method != allowed {
            return HttpResponse::status(405).with("Allow", allowed);
        }
        match steps[..] {
            ["pop-caches", id, word] => match parse_endpoint_id(id) {
                Some(id) => self.set_out_of_use(host, id, word == "maint"),
                None => HttpResponse::status(404),
            },
            ["stats"] => text(host.metrics()),
            _ => text("ok\n".into()),
        }
    }

    /// Takes an endpoint out of use, or puts it back; a yes says that this holds already, and is written down.
    fn set_out_of_use(&self, host: &Rc<Executor>, id: u32, out: bool) -> HttpResponse {
        if !host.with(|engine| engine.set_out_of_use(id, out)) {
            return HttpResponse::status(404);
        }
        match (self.keep)(host) {
            Ok(()) => text("ok\n".into()),
            Err(error) => {
                tracing::error!(%error, "maintenance can't be written down");
                HttpResponse::status(500)
            }
        }
    }
}

fn text(body: String) -> HttpResponse {
    let answer = HttpResponse { body: body.into(), ..HttpResponse::status(200) };
    answer.with("Content-Type", "text/plain; charset=utf-8")
}

impl Front for AdminFront {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, host: &Rc<Executor>, request: &HttpRequest, _: f64) -> Disposition {
        Disposition::Respond(HttpResponse { close: true, ..self.answer(host, request) })
    }

    fn respond(&self, _: &ResponseContext, _: FinalResponse) -> HttpResponse {
        HttpResponse::closing(404)
    }

    fn reject(&self, _: AdmitError) -> HttpResponse {
        HttpResponse::closing(404)
    }
}
