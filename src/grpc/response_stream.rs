//! The response stream of a call: forwards a backend's response, or ends the call with a status of the proxy.

use super::attempt_result::{attempt_end_from_error, AttemptResult};
use super::call::CallId;
use super::flow_control::send_chunk;
use super::frames::MessageTracker;
use super::front::GrpcFront;
use super::headers::{end_to_end, is_grpc, parse_status};
use super::status::{AttemptEnd, Code};
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Response};
use std::future::poll_fn;
use std::task::Poll;

/// The state of the response to the client.
pub enum ResponseStream {
    /// The headers have not been sent.
    NotStarted(SendResponse<Bytes>),
    /// The headers were sent.
    Streaming(SendStream<Bytes>),
    /// The response has ended.
    Ended,
}

impl ResponseStream {
    /// Completes when the client resets the call or its connection ends.
    pub async fn client_disconnected(&mut self) {
        poll_fn(|context| match self {
            Self::NotStarted(respond) => respond.poll_reset(context).map(drop),
            Self::Streaming(stream) => stream.poll_reset(context).map(drop),
            Self::Ended => Poll::Pending,
        })
        .await;
    }

    /// Sends the response headers. Returns false if the client has disconnected.
    fn start(&mut self, headers: HeaderMap) -> bool {
        let Self::NotStarted(respond) = self else { return false };
        match respond.send_response(response_head(headers), false) {
            Ok(stream) => {
                *self = Self::Streaming(stream);
                true
            }
            Err(_) => false,
        }
    }

    /// Ends the call with these trailers, or with a "Trailers-Only" response if no headers were sent.
    pub fn end(&mut self, trailers: HeaderMap) {
        match std::mem::replace(self, Self::Ended) {
            Self::NotStarted(mut respond) => {
                let _ = respond.send_response(response_head(trailers), true);
            }
            Self::Streaming(mut stream) => {
                let _ = stream.send_trailers(trailers);
            }
            Self::Ended => {}
        }
    }

    /// Forwards the response of an attempt, except for its trailers, which are returned with the result.
    pub async fn receive_from(
        &mut self,
        front: &GrpcFront,
        id: CallId,
        response: ResponseFuture,
        received_ms: f64,
    ) -> AttemptResult {
        let response = tokio::select! {
            biased;
            response = response => response,
            () = self.client_disconnected() => return AttemptResult::ClientDisconnected,
        };
        let (head, mut body) = match response {
            Ok(response) => response.into_parts(),
            Err(error) => return AttemptResult::ended_without_status(attempt_end_from_error(&error)),
        };
        let headers = end_to_end(&head.headers);
        if body.is_end_stream() {
            return trailers_only(head.status.as_u16(), headers);
        }
        if head.status != 200 || !is_grpc(&headers) {
            return AttemptResult::ended_without_status(AttemptEnd::HttpStatus(head.status.as_u16()));
        }
        if !self.start(headers) {
            return AttemptResult::ClientDisconnected;
        }
        front.with_calls(|calls| calls.commit(front.now(), id));
        front.observe_response_head(front.now() - received_ms);
        self.forward_body(front, &mut body).await
    }

    /// Forwards the messages and returns the status that follows them.
    async fn forward_body(&mut self, front: &GrpcFront, body: &mut RecvStream) -> AttemptResult {
        let mut tracker = MessageTracker::new(front.limits().message_bytes);
        loop {
            let chunk = tokio::select! {
                biased;
                chunk = body.data() => chunk,
                () = self.client_disconnected() => return AttemptResult::ClientDisconnected,
            };
            let chunk = match chunk {
                None => break,
                Some(Err(error)) => {
                    return AttemptResult::ended_without_status(attempt_end_from_error(&error))
                }
                Some(Ok(chunk)) => chunk,
            };
            if tracker.feed(&chunk).is_err() {
                return AttemptResult::ended_without_status(AttemptEnd::Malformed);
            }
            let length = chunk.len();
            let Self::Streaming(stream) = self else { return AttemptResult::ClientDisconnected };
            if !send_chunk(stream, chunk).await {
                return AttemptResult::ClientDisconnected;
            }
            let _ = body.flow_control().release_capacity(length);
        }
        let trailers = match body.trailers().await {
            Ok(Some(trailers)) => end_to_end(&trailers),
            Ok(None) => return AttemptResult::ended_without_status(AttemptEnd::Truncated),
            Err(error) => return AttemptResult::ended_without_status(attempt_end_from_error(&error)),
        };
        match parse_status(&trailers) {
            // A response that ends within a message is not a success, whatever its status.
            Some(AttemptEnd::Status(Code::OK, _)) if tracker.is_within_message() => {
                AttemptResult::ended_without_status(AttemptEnd::Truncated)
            }
            Some(end) => AttemptResult::Ended(end, Some(trailers)),
            None => AttemptResult::ended_without_status(AttemptEnd::Truncated),
        }
    }
}

/// The result of an attempt whose response is a single header block. Nothing of it was sent to the client.
fn trailers_only(http_status: u16, headers: HeaderMap) -> AttemptResult {
    match parse_status(&headers) {
        Some(end) => AttemptResult::Ended(end, Some(headers)),
        None if http_status != 200 => {
            AttemptResult::ended_without_status(AttemptEnd::HttpStatus(http_status))
        }
        None => AttemptResult::ended_without_status(AttemptEnd::Truncated),
    }
}

/// Builds the response headers, with the default content type if there is none.
fn response_head(headers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.headers_mut() = headers;
    response.headers_mut().entry("content-type").or_insert(HeaderValue::from_static("application/grpc"));
    response
}
