//! One HTTP/3 request: reads it, has it answered by the front or the engine, and sends the response.

use super::call_registry::SubmittedCall;
use super::connection::Connection;
use super::response_body;
use super::send_scheduler::Priority;
use crate::clock::duration_from_ms;
use crate::state::requests::{FinalResponse, IncomingRequest};
use crate::wire::front::{Disposition, Front};
use crate::wire::http::{HttpRequest, HttpResponse};
use bytes::{Buf, Bytes, BytesMut};
use h3::server::RequestStream;
use h3_quinn::BidiStream;
use http::request::Parts;
use http::{Method, Request, Response};
use std::rc::Rc;
use thiserror::Error;
use tokio::time::timeout;

/// The stream of a request and its response.
pub(super) type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Bytes in the KB of a request's size.
const BYTES_PER_KB: f64 = 1_024.0;

/// A request that cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum RequestError {
    /// The request is malformed, or its stream ended early.
    #[error("malformed request")]
    Malformed,
    /// The body did not arrive in time.
    #[error("the request body took too long")]
    Timeout,
    /// The body is too long.
    #[error("the request body is too long")]
    BodyTooLong,
}

impl RequestError {
    fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Timeout => 408,
            Self::BodyTooLong => 413,
        }
    }
}

/// A response with its priority.
struct PrioritizedResponse {
    response: HttpResponse,
    priority: Priority,
}

impl PrioritizedResponse {
    /// A response of the front itself, which is small.
    fn immediate(response: HttpResponse) -> Self {
        Self { response, priority: Priority::HIGHEST }
    }
}

/// Serves a request.
pub(super) async fn serve(connection: &Rc<Connection>, request: Request<()>, mut stream: Stream) {
    let server = &connection.server;
    server.count(|metrics| metrics.requests += 1);
    let is_head = request.method() == Method::HEAD;
    let answered = match read(connection, request, &mut stream).await {
        Ok(request) => match answer(connection, &request).await {
            Some(answered) => answered,
            None => return,
        },
        Err(error) => {
            server.count(|metrics| metrics.malformed_requests += 1);
            server.host.with(|engine| engine.counters.malformed_requests += 1);
            PrioritizedResponse::immediate(HttpResponse::status(error.status()))
        }
    };
    let PrioritizedResponse { response, priority } = answered;
    let body = if is_head { Bytes::new() } else { response.wire_body() };
    let Some(head) = response_head(&response) else { return };
    if response_body::send(connection, head, body, priority, &mut stream).await.is_err() {
        server.count(|metrics| metrics.unsent_responses += 1);
        server.host.with(|engine| engine.counters.responses_unwritten += 1);
    }
}

/// Reads a request with its body.
async fn read(
    connection: &Connection,
    request: Request<()>,
    stream: &mut Stream,
) -> Result<HttpRequest, RequestError> {
    let (parts, ()) = request.into_parts();
    let mut read = read_head(&parts)?;
    let limits = &connection.server.limits;
    let body = read_body(stream, limits.body_bytes);
    let body = timeout(duration_from_ms(limits.body_ms), body).await.map_err(|_| RequestError::Timeout)??;
    let content_length = read.single("content-length").map_err(|_| RequestError::Malformed)?;
    if content_length.is_some_and(|length| length.parse() != Ok(body.len())) {
        return Err(RequestError::Malformed);
    }
    read.body = body;
    Ok(read)
}

/// Converts the head of a request.
fn read_head(parts: &Parts) -> Result<HttpRequest, RequestError> {
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let mut request = HttpRequest {
        method: parts.method.as_str().to_string(),
        target: target.to_string(),
        keep_alive: true,
        ..HttpRequest::default()
    };
    for (name, value) in &parts.headers {
        let value = value.to_str().map_err(|_| RequestError::Malformed)?.trim();
        request.headers.push((name.as_str().to_string(), value.to_string()));
    }
    Ok(request)
}

async fn read_body(stream: &mut Stream, max_bytes: usize) -> Result<Bytes, RequestError> {
    let mut body = BytesMut::new();
    while let Some(mut chunk) = stream.recv_data().await.map_err(|_| RequestError::Malformed)? {
        if body.len() + chunk.remaining() > max_bytes {
            return Err(RequestError::BodyTooLong);
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(body.freeze())
}

/// Has a request answered. Returns none if the connection ended first.
async fn answer(connection: &Connection, request: &HttpRequest) -> Option<PrioritizedResponse> {
    let server = &connection.server;
    let now = server.host.clock.now();
    let (mut incoming, context) = match server.front.interpret(&server.host, request, now) {
        Disposition::Respond(response) => return Some(PrioritizedResponse::immediate(response)),
        Disposition::Forward(incoming, context) => (incoming, context),
    };
    let default_priority = default_priority(connection, &incoming);
    let requested = request.single("priority").ok().flatten();
    let priority = requested.map_or(default_priority, |text| Priority::parse(text, default_priority));
    incoming.client = Some(connection.peer);
    let response_bytes = incoming.size_kb * BYTES_PER_KB;
    incoming.deadline_ms =
        connection.estimate_path().send_deadline_ms(now, incoming.deadline_ms, response_bytes);
    let Some(session) = context.session else {
        return Some(PrioritizedResponse { response: HttpResponse::status(500), priority: default_priority });
    };
    let response = match server.calls.submit(session, *incoming) {
        Err(reason) => {
            return Some(PrioritizedResponse { response: server.front.reject(reason), priority });
        }
        Ok(call) => wait(connection, call).await?,
    };
    Some(PrioritizedResponse { response: server.front.respond(&context, response), priority })
}

/// Waits for the response of a call. Returns none if the connection ended first.
async fn wait(connection: &Connection, call: SubmittedCall) -> Option<FinalResponse> {
    let mut pending = match call {
        SubmittedCall::Completed(response) => return Some(response),
        SubmittedCall::Running(pending) => pending,
    };
    tokio::select! {
        biased;
        response = pending.response() => Some(response),
        _ = connection.quic.closed() => {
            if connection.is_closed_by_client() {
                pending.cancel();
            }
            None
        }
    }
}

/// The priority of a response without a `Priority` header: writes, then small objects, then parts of large objects,
/// which share the connection.
fn default_priority(connection: &Connection, incoming: &IncomingRequest) -> Priority {
    let is_write = connection.server.host.settings().is_write(incoming.class);
    match (is_write, incoming.part) {
        (true, _) => Priority { urgency: 1, incremental: false },
        (false, 0) => Priority { urgency: 2, incremental: false },
        (false, _) => Priority { urgency: 5, incremental: true },
    }
}

fn response_head(response: &HttpResponse) -> Option<Response<()>> {
    let mut head = Response::builder().status(response.status);
    for (name, value) in &response.headers {
        head = head.header(*name, value);
    }
    if response.status != 304 {
        head = head.header("content-length", response.body.len());
    }
    head.body(()).ok()
}
