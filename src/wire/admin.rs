//! The front of the admin address: liveness, metrics, endpoint maintenance, and the admin calls of other
//! subsystems. A connection is closed after one call; a 2xx status means that the call took effect.

use super::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use super::http::{HttpRequest, HttpResponse};
use crate::engine::executor::Executor;
use crate::state::requests::{FinalResponse, SubmitError};
use crate::text::{format_endpoint_id, parse_endpoint_id};
use crate::EndpointId;
use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// The most concurrent connections. At the limit, an idle or slow connection is evicted for a new one.
pub const MAX_CONNECTIONS: usize = 16;
/// Time limit of a complete call, in milliseconds.
const CALL_TIMEOUT_MS: f64 = 6_000.0;
/// The longest body of a call, in bytes, unless a handler allows more. The calls of this module ignore their
/// bodies.
const MAX_BODY: usize = 4_096;

/// Persists the current maintenance state across restarts of the process.
pub trait MaintenanceStore {
    /// Stores the current maintenance state.
    fn save(&self, executor: &Rc<Executor>) -> io::Result<()>;
}

impl<F: Fn(&Rc<Executor>) -> io::Result<()>> MaintenanceStore for F {
    fn save(&self, executor: &Rc<Executor>) -> io::Result<()> {
        self(executor)
    }
}

/// The admin calls of a subsystem.
pub trait AdminHandler {
    /// The response to a call; `None` if the subsystem does not handle it.
    fn answer(&self, call: &HttpRequest) -> Option<HttpResponse>;
}

impl<F: Fn(&HttpRequest) -> Option<HttpResponse>> AdminHandler for F {
    fn answer(&self, call: &HttpRequest) -> Option<HttpResponse> {
        self(call)
    }
}

/// A call that this module answers itself.
enum AdminCall {
    /// Whether the process has started completely.
    HealthCheck,
    /// The metrics, in the Prometheus text format.
    Metrics,
    /// Puts an endpoint into maintenance, or ends its maintenance.
    Maintenance { endpoint: Option<EndpointId>, out_of_use: bool },
}

impl AdminCall {
    fn parse(path: &str) -> Option<Self> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match segments[..] {
            ["healthcheck"] => Some(Self::HealthCheck),
            ["stats"] => Some(Self::Metrics),
            ["pop-caches", id, action @ ("maint" | "ready")] => {
                Some(Self::Maintenance { endpoint: parse_endpoint_id(id), out_of_use: action == "maint" })
            }
            _ => None,
        }
    }

    fn method(&self) -> &'static str {
        match self {
            Self::HealthCheck | Self::Metrics => "GET",
            Self::Maintenance { .. } => "POST",
        }
    }
}

/// Answers admin calls itself or through the handlers of other subsystems.
pub struct AdminFront {
    limits: ConnectionLimits,
    store: Box<dyn MaintenanceStore>,
    /// Whether the process has started completely.
    ready: Rc<Cell<bool>>,
    handlers: Vec<Box<dyn AdminHandler>>,
}

impl AdminFront {
    /// A front that persists maintenance in `store`. The health check succeeds once `ready` is set.
    pub fn new(store: Box<dyn MaintenanceStore>, ready: Rc<Cell<bool>>) -> Self {
        let limits = ConnectionLimits {
            connections: MAX_CONNECTIONS,
            first_ms: CALL_TIMEOUT_MS,
            idle_ms: CALL_TIMEOUT_MS,
            head_ms: CALL_TIMEOUT_MS,
            body_ms: CALL_TIMEOUT_MS,
            body_bytes: MAX_BODY,
            exempt_from_request_memory: true,
            ..ConnectionLimits::default()
        };
        Self { limits, store, ready, handlers: Vec::new() }
    }

    /// Lowers the limit of concurrent connections, for a process with few file descriptors. A value above
    /// [`MAX_CONNECTIONS`] has no effect.
    pub fn with_max_connections(mut self, connections: usize) -> Self {
        self.limits.connections = connections.min(MAX_CONNECTIONS);
        self
    }

    /// Adds the calls of a subsystem, whose bodies may have `max_body` bytes.
    pub fn with_handler(mut self, handler: Box<dyn AdminHandler>, max_body: usize) -> Self {
        self.handlers.push(handler);
        self.limits.body_bytes = self.limits.body_bytes.max(max_body);
        self
    }

    fn answer(&self, executor: &Rc<Executor>, request: &HttpRequest) -> HttpResponse {
        if let Some(response) = self.handlers.iter().find_map(|handler| handler.answer(request)) {
            return response;
        }
        let Some(call) = AdminCall::parse(request.path()) else { return HttpResponse::status(404) };
        if request.method != call.method() {
            return HttpResponse::status(405).with_header("Allow", call.method());
        }
        match call {
            AdminCall::HealthCheck if !self.ready.get() => HttpResponse::status(503),
            AdminCall::HealthCheck => plain_text("ok\n".into()),
            AdminCall::Metrics => plain_text(executor.metrics()),
            AdminCall::Maintenance { endpoint: None, .. } => HttpResponse::status(404),
            AdminCall::Maintenance { endpoint: Some(id), out_of_use } => {
                self.set_out_of_use(executor, id, out_of_use)
            }
        }
    }

    /// Puts an endpoint into maintenance, or ends its maintenance. Succeeds only once the change is applied
    /// and stored.
    fn set_out_of_use(&self, executor: &Rc<Executor>, id: EndpointId, out_of_use: bool) -> HttpResponse {
        if !executor.with(|engine| engine.set_out_of_use(id, out_of_use)) {
            return HttpResponse::status(404);
        }
        match self.store.save(executor) {
            Ok(()) => plain_text("ok\n".into()),
            Err(error) => {
                let endpoint = format_endpoint_id(id);
                tracing::error!(%endpoint, %error, "cannot store the maintenance state");
                HttpResponse::status(500)
            }
        }
    }
}

fn plain_text(body: String) -> HttpResponse {
    let response = HttpResponse { body: body.into(), ..HttpResponse::status(200) };
    response.with_header("Content-Type", "text/plain; charset=utf-8")
}

impl Front for AdminFront {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, executor: &Rc<Executor>, request: &HttpRequest, _now: f64) -> Disposition {
        Disposition::Respond(HttpResponse { close: true, ..self.answer(executor, request) })
    }

    // `interpret` answers every request itself, so no request reaches the engine, and the two methods below
    // are not called.
    fn respond(&self, _: &ResponseContext, _: FinalResponse) -> HttpResponse {
        HttpResponse::closing(404)
    }

    fn reject(&self, _: SubmitError) -> HttpResponse {
        HttpResponse::closing(404)
    }
}
