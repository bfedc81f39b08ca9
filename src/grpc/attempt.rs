//! One attempt of a call: a stream on a connection to its backend, with both directions forwarded under each side's flow
//! control, until it ends or its time is over.

use super::attempt_result::AttemptResult;
use super::call::{AttemptTarget, CallId, LocalStatus};
use super::front::GrpcFront;
use super::headers::{end_to_end, PREVIOUS_ATTEMPTS, TIMEOUT};
use super::request_stream::RequestStream;
use super::response_stream::ResponseStream;
use super::status::{AttemptEnd, Code};
use super::timeout;
use super::upstream::ConnectionError;
use crate::clock::duration_from_ms;
use h2::Reason;
use http::{request, HeaderName, HeaderValue, Method, Request, Uri, Version};
use std::rc::Rc;

/// The two halves of a call at its client, and the head of its request.
pub struct ClientStreams<'c> {
    /// The head of the request.
    pub head: &'c request::Parts,
    /// The request.
    pub request: &'c mut RequestStream,
    /// The response.
    pub response: &'c mut ResponseStream,
    /// When the head arrived, in Unix milliseconds.
    pub received_ms: f64,
}

/// Makes one attempt, as long as its time allows.
pub async fn run_attempt(
    front: &Rc<GrpcFront>,
    id: CallId,
    target: &AttemptTarget,
    client: &mut ClientStreams<'_>,
) -> AttemptResult {
    let stopping = || AttemptResult::Aborted(LocalStatus::failed(Code::UNAVAILABLE, "the proxy stops"));
    if front.is_aborting() {
        return stopping();
    }
    tokio::select! {
        biased;
        result = forward(front, id, target, client) => result,
        () = front.aborted() => stopping(),
        () = timed_out(front, id) => AttemptResult::ended(AttemptEnd::TimedOut),
    }
}

/// Waits until the attempt's time is over. It is extended when the response begins.
async fn timed_out(front: &GrpcFront, id: CallId) {
    loop {
        let left = front.with(|calls| calls.due_ms(id)) - front.now();
        if left <= 0.0 {
            return;
        }
        tokio::time::sleep(duration_from_ms(left)).await;
    }
}

/// Opens the stream and forwards both directions until one of them ends.
async fn forward(
    front: &Rc<GrpcFront>,
    id: CallId,
    target: &AttemptTarget,
    client: &mut ClientStreams<'_>,
) -> AttemptResult {
    let Some(mut permit) = front.upstream.reserve_stream(target.address, id, target.attempt) else {
        return AttemptResult::ended(AttemptEnd::NoConnection { local: true });
    };
    let ready = tokio::select! {
        biased;
        ready = permit.ready() => ready,
        () = client.response.client_disconnected() => return AttemptResult::ClientDisconnected,
    };
    let mut sender = match ready {
        Ok(sender) => sender,
        Err(ConnectionError::NotConnected { local }) => {
            return AttemptResult::ended(AttemptEnd::NoConnection { local })
        }
        Err(ConnectionError::Exhausted) => return AttemptResult::ended(AttemptEnd::NotSent),
    };
    // Just before the first byte: the list of backends as it is by now, and the time that is left.
    front.sync_backends();
    let Some(left_ms) = front.with(|calls| calls.may_start(front.now(), id)) else {
        return AttemptResult::ended(AttemptEnd::NotSent);
    };
    let request = attempt_head(client.head, target, left_ms);
    let (response, mut stream) = match sender.send_request(request, false) {
        Ok(streams) => streams,
        Err(_) => {
            permit.connection_exhausted();
            return AttemptResult::ended(AttemptEnd::NotSent);
        }
    };
    drop(sender);
    let result = tokio::select! {
        biased;
        result = client.response.receive_from(front, id, response, client.received_ms) => result,
        result = client.request.send_to(front, id, &mut stream) => result,
    };
    if matches!(result, AttemptResult::Ended(AttemptEnd::Unprocessed, _)) {
        permit.connection_exhausted();
    }
    if !matches!(result, AttemptResult::Ended(AttemptEnd::Status(..), _)) {
        // Nobody waits for what the backend may still do for this attempt.
        stream.send_reset(Reason::CANCEL);
    }
    result
}

/// The head of the request to the backend.
fn attempt_head(head: &request::Parts, target: &AttemptTarget, left_ms: f64) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.version_mut() = Version::HTTP_2;
    *request.uri_mut() = backend_uri(&head.uri, target);
    *request.headers_mut() = end_to_end(&head.headers);
    let headers = request.headers_mut();
    headers.insert("te", HeaderValue::from_static("trailers"));
    if left_ms.is_finite() {
        if let Ok(value) = HeaderValue::from_str(&timeout::format(left_ms)) {
            headers.insert(TIMEOUT, value);
        }
    }
    if target.attempt > 0 {
        let name = HeaderName::from_static(PREVIOUS_ATTEMPTS);
        headers.insert(name, HeaderValue::from(target.attempt));
    }
    request
}

/// The client's URI, with the backend's authority where the client gave none.
fn backend_uri(uri: &Uri, target: &AttemptTarget) -> Uri {
    if uri.authority().is_some() {
        return uri.clone();
    }
    let authority = target.address.to_string();
    let uri = Uri::builder().scheme("http").authority(authority).path_and_query(uri.path());
    uri.build().unwrap_or_default()
}
