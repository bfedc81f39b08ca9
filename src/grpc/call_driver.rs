//! Drives one call from its request headers to its status: admission, then the attempts that
//! [`super::call_table`] directs.

use super::admission::{AdmissionPermit, AdmissionResult};
use super::attempt::{run_attempt, ClientStreams};
use super::attempt_result::AttemptResult;
use super::call::{affinity_hash, CallId, Directive, LocalStatus, NewCall};
use super::front::GrpcFront;
use super::headers::{add_pushback, is_grpc, single_value, status_trailers, TIMEOUT};
use super::request_stream::RequestStream;
use super::response_stream::ResponseStream;
use super::routes::MethodKind;
use super::status::{Code, Pushback};
use super::timeout;
use crate::panics::contain;
use crate::state::request_memory::{head_bytes, RequestReservation};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{request, HeaderMap, Method, Request, Response, StatusCode};
use std::net::IpAddr;
use std::rc::Rc;

/// A call that a client has sent.
pub struct ReceivedCall {
    /// Its head, and the stream of its messages.
    pub request: Request<RecvStream>,
    /// The stream of its response.
    pub respond: SendResponse<Bytes>,
    /// When its head arrived, in Unix milliseconds.
    pub arrived_ms: f64,
}

/// Forwards one call and sends its status.
pub async fn drive_call(front: Rc<GrpcFront>, call: ReceivedCall, client: IpAddr) {
    let ReceivedCall { request, mut respond, arrived_ms } = call;
    let (head, body) = request.into_parts();
    if head.method != Method::POST || !is_grpc(&head.headers) {
        reject_non_grpc_request(&head.method, &mut respond);
        return front.count_not_grpc();
    }
    let mut response = ResponseStream::NotStarted(respond);
    let answered = answer_call(&front, &head, body, arrived_ms, client, &mut response);
    if front.executor.contain("gRPC call", answered).await.is_none() {
        let status = LocalStatus::failed(Code::INTERNAL, "the proxy failed to handle the call");
        response.end(status_trailers(&status));
    }
}

/// Forwards one gRPC call and sends its status on `response`.
async fn answer_call(
    front: &Rc<GrpcFront>,
    head: &request::Parts,
    body: RecvStream,
    received_ms: f64,
    client: IpAddr,
    response: &mut ResponseStream,
) {
    let new_call = match parse_head(front, head, received_ms) {
        Ok(new_call) => new_call,
        Err(status) => {
            front.count_unrouted();
            return response.end(status_trailers(&status));
        }
    };
    let permit = match admit(front, head, &new_call, client, response).await {
        AdmissionOutcome::Admitted(permit) => permit,
        AdmissionOutcome::ClientDisconnected => return,
        AdmissionOutcome::Rejected { retry_after_ms } => {
            let retry_after_ms = (retry_after_ms > 0.0).then_some(retry_after_ms);
            let status = LocalStatus::rejected("refused at the door", retry_after_ms);
            return response.end(status_trailers(&status));
        }
    };
    front.sync_backends();
    let mut request = RequestStream::new(body, front.limits().message_bytes);
    let mut streams = ClientStreams { head, request: &mut request, response, received_ms };
    run_attempts(front, new_call, &mut streams, permit).await;
}

/// Reserves the memory of a request's head; `None` if there is not enough.
pub fn reserve_head_memory(front: &GrpcFront, request: &Request<RecvStream>) -> Option<RequestReservation> {
    let lengths = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len());
    let bytes = head_bytes(lengths.chain([request.uri().path().len()]));
    let reservation = front.executor.request_memory.reserve(bytes, Rc::default())?;
    reservation.complete();
    Some(reservation)
}

/// Responds to a call for which there is not enough memory.
pub fn reject_for_memory(front: &GrpcFront, respond: SendResponse<Bytes>) {
    front.count_out_of_memory();
    let status = LocalStatus::rejected("not enough memory for the call", None);
    ResponseStream::NotStarted(respond).end(status_trailers(&status));
}

/// Responds to a request that is not gRPC with an HTTP status.
fn reject_non_grpc_request(method: &Method, respond: &mut SendResponse<Bytes>) {
    let is_post = method == Method::POST;
    let status = if is_post { StatusCode::UNSUPPORTED_MEDIA_TYPE } else { StatusCode::METHOD_NOT_ALLOWED };
    let mut response = Response::new(());
    *response.status_mut() = status;
    let _ = respond.send_response(response, true);
}

/// Runs attempts until the call has ended.
async fn run_attempts(
    front: &Rc<GrpcFront>,
    new_call: NewCall,
    streams: &mut ClientStreams<'_>,
    permit: Option<AdmissionPermit>,
) {
    let (id, mut directive) = front.with_calls(|calls| calls.begin(front.now(), new_call));
    let mut open_call = CallTableGuard { front, id, ended: false };
    let mut last_headers: Option<HeaderMap> = None;
    loop {
        directive = match directive {
            Directive::StartAttempt(target) => {
                let result = run_attempt(front, id, &target, streams).await;
                front.sync_backends();
                match result {
                    AttemptResult::ClientDisconnected => return,
                    AttemptResult::Aborted(status) => {
                        front.with_calls(|calls| calls.abort(front.now(), id, status))
                    }
                    AttemptResult::Ended(end, headers) => {
                        last_headers = headers;
                        front.with_calls(|calls| calls.attempt_ended(front.now(), id, end))
                    }
                }
            }
            Directive::ForwardStatus { retry_after_ms, outcome } => {
                permit.iter().for_each(|permit| permit.record_outcome(outcome));
                let mut trailers = last_headers.take().unwrap_or_default();
                add_pushback(&mut trailers, retry_after_ms.map(Pushback::After));
                streams.response.end(trailers);
                break;
            }
            Directive::Respond(status) => {
                permit.iter().for_each(|permit| permit.record_outcome(status.outcome));
                streams.response.end(status_trailers(&status));
                break;
            }
        };
    }
    open_call.ended = true;
}

/// Parses the headers of a request. The error is the status for the client.
fn parse_head(front: &GrpcFront, head: &request::Parts, now: f64) -> Result<NewCall, LocalStatus> {
    let path = head.uri.path();
    let route = front.routes().find(path).cloned().map(Rc::new);
    let route = route.ok_or_else(|| LocalStatus::failed(Code::UNIMPLEMENTED, "no such method here"))?;
    let timeout_ms = parse_timeout(&head.headers)?;
    if let Some(name) = &route.key_header {
        // Without its key the backend could execute a retried call twice.
        let key = single_value(&head.headers, name).ok().flatten();
        if key.is_none_or(|key| key.is_empty()) {
            let message = "the method needs one idempotency key";
            return Err(LocalStatus::failed(Code::INVALID_ARGUMENT, message));
        }
    }
    let header = |name: &str| head.headers.get(name).map(|value| value.as_bytes().to_vec());
    let affinity_hash = affinity_hash(&route.affinity, path, header);
    Ok(NewCall { route, affinity_hash, timeout_ms, received_ms: now })
}

/// Parses the `grpc-timeout` header, if present, to milliseconds.
fn parse_timeout(headers: &HeaderMap) -> Result<Option<f64>, LocalStatus> {
    let value = single_value(headers, TIMEOUT);
    let value = value.map_err(|_| LocalStatus::failed(Code::INTERNAL, "grpc-timeout comes twice"))?;
    let Some(value) = value else { return Ok(None) };
    let timeout_ms = value.to_str().ok().and_then(timeout::parse);
    let unreadable = || LocalStatus::failed(Code::INTERNAL, "grpc-timeout can't be read");
    timeout_ms.map(Some).ok_or_else(unreadable)
}

/// The final decision of admission control about a call.
enum AdmissionOutcome {
    /// The call may proceed. Streaming calls have no permit.
    Admitted(Option<AdmissionPermit>),
    /// The call is rejected.
    Rejected {
        /// The retry pushback, in milliseconds (0 for none).
        retry_after_ms: f64,
    },
    /// The client disconnected while the call was queued.
    ClientDisconnected,
}

/// Waits for the decision of admission control about a unary call. Streaming calls bypass it.
async fn admit(
    front: &Rc<GrpcFront>,
    head: &request::Parts,
    new_call: &NewCall,
    client: IpAddr,
    response: &mut ResponseStream,
) -> AdmissionOutcome {
    if new_call.route.kind != MethodKind::Unary {
        return AdmissionOutcome::Admitted(None);
    }
    let numeric_header = |name: &str| head.headers.get(name)?.to_str().ok()?.parse().ok();
    let tenant = front.tenant(&new_call.route, numeric_header);
    match front.admission.submit(&front.executor.clock, client, tenant, new_call.deadline_ms()) {
        AdmissionResult::Admitted(permit) => AdmissionOutcome::Admitted(Some(permit)),
        AdmissionResult::Rejected(retry_after_ms) => AdmissionOutcome::Rejected { retry_after_ms },
        AdmissionResult::Queued(decision, permit) => tokio::select! {
            biased;
            decision = decision => match decision {
                Ok(None) => AdmissionOutcome::Admitted(Some(permit)),
                Ok(Some(retry_after_ms)) => AdmissionOutcome::Rejected { retry_after_ms },
                Err(_) => AdmissionOutcome::Rejected { retry_after_ms: 0.0 },
            },
            () = response.client_disconnected() => AdmissionOutcome::ClientDisconnected,
        },
    }
}

/// Removes a call from the table if its driver ends early: on a panic, or when the client disconnects.
struct CallTableGuard<'f> {
    front: &'f GrpcFront,
    id: CallId,
    ended: bool,
}

impl Drop for CallTableGuard<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let now = self.front.now();
            let _ = contain(|| self.front.with_calls(|calls| calls.client_disconnected(now, self.id)));
        }
    }
}
