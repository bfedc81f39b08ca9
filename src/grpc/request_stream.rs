//! The request stream of a call: forwards the client's messages, and buffers them within limits for a retry.

use super::attempt_result::AttemptResult;
use super::call::{CallId, LocalStatus};
use super::flow_control::send_chunk;
use super::frames::{MessageError, MessageTracker};
use super::front::GrpcFront;
use super::status::Code;
use bytes::Bytes;
use h2::{RecvStream, SendStream};

/// The request stream of a call.
pub struct RequestStream {
    body: RecvStream,
    /// Whether the client has ended the stream.
    complete: bool,
    /// The chunks buffered for a retry.
    replay: Vec<Bytes>,
    replayable: bool,
    tracker: MessageTracker,
}

impl RequestStream {
    /// Creates a request stream that accepts messages of at most `max_message_bytes`.
    pub fn new(body: RecvStream, max_message_bytes: u32) -> Self {
        let tracker = MessageTracker::new(max_message_bytes);
        Self { body, complete: false, replay: Vec::new(), replayable: true, tracker }
    }

    /// Sends the buffered chunks, then those that the client sends, under the backend's flow control. Returns
    /// only if the client disconnects or its request is invalid.
    pub async fn send_to(
        &mut self,
        front: &GrpcFront,
        id: CallId,
        stream: &mut SendStream<Bytes>,
    ) -> AttemptResult {
        for chunk in self.replay.clone() {
            send_or_pend(stream, chunk).await;
        }
        while !self.complete {
            match self.body.data().await {
                None if self.tracker.is_within_message() => {
                    let status = LocalStatus::failed(Code::INTERNAL, "the request was cut within a message");
                    return AttemptResult::Aborted(status);
                }
                None => self.complete = true,
                Some(Err(_)) => return AttemptResult::ClientDisconnected,
                Some(Ok(chunk)) => {
                    if let Err(error) = self.tracker.feed(&chunk) {
                        return AttemptResult::Aborted(framing_status(error));
                    }
                    self.keep_for_retry(front, id, &chunk);
                    let length = chunk.len();
                    send_or_pend(stream, chunk).await;
                    let _ = self.body.flow_control().release_capacity(length);
                }
            }
        }
        let _ = stream.send_data(Bytes::new(), true);
        std::future::pending().await
    }

    /// Buffers a chunk for a retry, or drops the buffer if it would exceed a limit.
    fn keep_for_retry(&mut self, front: &GrpcFront, id: CallId, chunk: &Bytes) {
        let max_bytes = front.limits().replay_bytes;
        self.replayable =
            self.replayable && front.with_calls(|calls| calls.reserve_replay(id, chunk.len(), max_bytes));
        if self.replayable {
            self.replay.push(chunk.clone());
        } else {
            self.replay = Vec::new();
        }
    }
}

/// The status for a request that violates the framing.
fn framing_status(error: MessageError) -> LocalStatus {
    match error {
        MessageError::Flag(_) => LocalStatus::failed(Code::INTERNAL, "a message's prefix can't be read"),
        MessageError::TooLong(_) => LocalStatus::failed(Code::RESOURCE_EXHAUSTED, "a message is too long"),
    }
}

/// Sends a chunk. Never completes if the stream is closed, because the response stream reports the reason.
async fn send_or_pend(stream: &mut SendStream<Bytes>, chunk: Bytes) {
    if !send_chunk(stream, chunk).await {
        std::future::pending().await
    }
}
