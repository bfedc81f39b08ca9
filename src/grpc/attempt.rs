//! One attempt of a call: opens a stream to a backend and forwards both directions, subject to flow control
//! on each side, until one of them ends or the attempt times out.

use super::attempt_result::AttemptResult;
use super::call::{AttemptTarget, CallId, LocalStatus};
use super::front::GrpcFront;
use super::headers::{end_to_end, PREVIOUS_ATTEMPTS, TIMEOUT};
use super::request_stream::RequestStream;
use super::response_stream::ResponseStream;
use super::status::{AttemptEnd, Code};
use super::timeout;
use super::upstream::{BackendAddress, ConnectionError, ReadyStream, StreamPermit};
use crate::clock::duration_from_ms;
use h2::Reason;
use http::{request, HeaderName, HeaderValue, Method, Request, Uri, Version};
use std::pin::pin;
use std::rc::Rc;

/// How often an attempt that waits for a stream checks whether it may still be sent, in milliseconds.
const SEND_CHECK_MS: f64 = 50.0;

/// The client side of a call: its request head and both streams.
pub struct ClientStreams<'c> {
    /// The headers of the request.
    pub head: &'c request::Parts,
    /// The request body.
    pub request: &'c mut RequestStream,
    /// The response to the client.
    pub response: &'c mut ResponseStream,
    /// When the request headers arrived, in Unix milliseconds.
    pub received_ms: f64,
}

/// Runs one attempt until it ends or times out, or the proxy aborts open calls.
pub async fn run_attempt(
    front: &Rc<GrpcFront>,
    id: CallId,
    target: &AttemptTarget,
    client: &mut ClientStreams<'_>,
) -> AttemptResult {
    let aborted_result = || AttemptResult::Aborted(LocalStatus::failed(Code::UNAVAILABLE, "the proxy stops"));
    if front.is_aborting() {
        return aborted_result();
    }
    tokio::select! {
        biased;
        result = forward(front, id, target, client) => result,
        () = front.abort_requested() => aborted_result(),
        () = attempt_timeout(front, id) => AttemptResult::ended_without_status(AttemptEnd::TimedOut),
    }
}

/// Completes when the attempt times out. The timeout is read again after each sleep, because it is extended
/// to the call's deadline when the response begins.
async fn attempt_timeout(front: &GrpcFront, id: CallId) {
    loop {
        let remaining_ms = front.with_calls(|calls| calls.timeout_at_ms(id)) - front.now();
        if remaining_ms <= 0.0 {
            return;
        }
        tokio::time::sleep(duration_from_ms(remaining_ms)).await;
    }
}

/// Opens the stream and forwards both directions until one of them ends the attempt.
async fn forward(
    front: &Rc<GrpcFront>,
    id: CallId,
    target: &AttemptTarget,
    client: &mut ClientStreams<'_>,
) -> AttemptResult {
    let to = BackendAddress { id: target.backend, address: target.address };
    let Some(mut permit) = front.upstream.reserve_stream(to, id, target.attempt) else {
        return AttemptResult::ended_without_status(AttemptEnd::NoConnection { local: true });
    };
    let mut ready = match wait_for_stream(front, id, &mut permit, client.response).await {
        Ok(ready) => ready,
        Err(result) => return result,
    };
    let Some(remaining_ms) = remaining_attempt_ms(front, id) else {
        return AttemptResult::ended_without_status(AttemptEnd::NotSent);
    };
    let request = attempt_request(client.head, target, remaining_ms);
    let (response, mut stream) = match ready.send.send_request(request, false) {
        Ok(streams) => streams,
        Err(_) => {
            permit.connection_exhausted();
            return AttemptResult::ended_without_status(AttemptEnd::NotSent);
        }
    };
    let result = tokio::select! {
        biased;
        result = client.response.receive_from(front, id, response, client.received_ms) => result,
        result = client.request.send_to(front, id, &mut stream) => result,
    };
    if matches!(result, AttemptResult::Ended(AttemptEnd::Unprocessed, _)) {
        permit.connection_exhausted();
    }
    if !matches!(result, AttemptResult::Ended(AttemptEnd::Status(..), _)) {
        // Without a status the backend may still be working on this attempt.
        stream.send_reset(Reason::CANCEL);
    }
    result
}

/// The remaining time of an attempt, by the current list of backends; `None` if it must not be sent.
fn remaining_attempt_ms(front: &GrpcFront, id: CallId) -> Option<f64> {
    front.sync_backends();
    front.with_calls(|calls| calls.remaining_attempt_ms(front.now(), id))
}

/// Waits until a request can be sent at once on the permit's connection. The error is the result of an attempt
/// that is not sent: meanwhile its backend may begin to drain, its time may end, or its client may disconnect.
async fn wait_for_stream(
    front: &GrpcFront,
    id: CallId,
    permit: &mut StreamPermit,
    response: &mut ResponseStream,
) -> Result<ReadyStream, AttemptResult> {
    let mut ready = pin!(permit.ready());
    loop {
        tokio::select! {
            biased;
            ready = &mut ready => return ready.map_err(|error| {
                AttemptResult::ended_without_status(match error {
                    ConnectionError::NotConnected { local } => AttemptEnd::NoConnection { local },
                    ConnectionError::Exhausted => AttemptEnd::NotSent,
                })
            }),
            () = response.client_disconnected() => return Err(AttemptResult::ClientDisconnected),
            () = tokio::time::sleep(duration_from_ms(SEND_CHECK_MS)) => {}
        }
        if remaining_attempt_ms(front, id).is_none() {
            return Err(AttemptResult::ended_without_status(AttemptEnd::NotSent));
        }
    }
}

/// Builds the request headers for the backend.
fn attempt_request(head: &request::Parts, target: &AttemptTarget, remaining_ms: f64) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.version_mut() = Version::HTTP_2;
    *request.uri_mut() = backend_uri(&head.uri, target);
    *request.headers_mut() = end_to_end(&head.headers);
    let headers = request.headers_mut();
    headers.insert("te", HeaderValue::from_static("trailers"));
    if remaining_ms.is_finite() {
        if let Ok(value) = HeaderValue::from_str(&timeout::format(remaining_ms)) {
            headers.insert(TIMEOUT, value);
        }
    }
    if target.attempt > 0 {
        let name = HeaderName::from_static(PREVIOUS_ATTEMPTS);
        headers.insert(name, HeaderValue::from(target.attempt));
    }
    request
}

/// The client's URI, with the backend's address as authority if the client sent none.
fn backend_uri(uri: &Uri, target: &AttemptTarget) -> Uri {
    if uri.authority().is_some() {
        return uri.clone();
    }
    let authority = target.address.to_string();
    let uri = Uri::builder().scheme("http").authority(authority).path_and_query(uri.path());
    uri.build().unwrap_or_default()
}
