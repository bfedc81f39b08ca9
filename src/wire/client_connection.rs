//! The task of a client's connection: reads requests one after another, answers each through its front or the
//! engine, and closes the connection.

use super::client_stream::{ArrivedRequest, ClientStream, Received};
use super::connection_slots::ConnectionSlot;
use super::front::{Disposition, Front};
use super::http::{HttpRequest, HttpResponse};
use super::http_codec::{ConnectionMemory, HttpCodec, Phase, RejectedRequest};
use super::shutdown::{ConnectionGuard, GracefulShutdown};
use super::submission::Submission;
use super::timestamped_stream::TimestampedStream;
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::state::requests::{FinalResponse, IncomingRequest};
use std::net::IpAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How often a connection that waits for bytes checks its deadlines, in milliseconds.
const DEADLINE_CHECK_MS: f64 = 250.0;
/// How long after its request's deadline a response may still be written before the connection is closed, in
/// milliseconds. Applies where clients send one request at a time.
const WRITE_GRACE_MS: f64 = 500.0;

/// How a connection ends.
enum ConnectionEnd {
    /// The client has disconnected, or cannot be written to.
    Disconnected,
    /// The proxy closes the connection gracefully.
    Close(CloseReason),
}

/// Why the proxy closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// Its response said so.
    AfterResponse,
    /// Its request was malformed.
    Malformed,
    /// Its request was not complete in time, or no request came in time.
    TimedOut,
    /// Another connection needs its slot.
    Evicted,
    /// Another request needs the memory of its incomplete one.
    Displaced,
    /// The process stops.
    Shutdown,
}

/// A wait that ended without a complete request.
struct Unfinished {
    phase: Phase,
    reason: CloseReason,
}

/// A response with the time limit of its write.
struct TimedResponse {
    response: HttpResponse,
    write_ms: f64,
}

pub(super) struct ClientConnection {
    executor: Rc<Executor>,
    front: Rc<dyn Front>,
    shutdown: Rc<GracefulShutdown>,
    stream: ClientStream,
    /// Declared after the stream, and so dropped after it: the slot is released once the socket is closed.
    slot: ConnectionSlot,
    peer: IpAddr,
    /// Notified when the memory of its incomplete request is taken for another one.
    on_displaced: Rc<Notify>,
}

impl ClientConnection {
    pub(super) fn new(
        executor: Rc<Executor>,
        front: Rc<dyn Front>,
        shutdown: Rc<GracefulShutdown>,
        slot: ConnectionSlot,
        stream: TimestampedStream,
        peer: IpAddr,
    ) -> Self {
        let limits = front.limits();
        let on_displaced: Rc<Notify> = Rc::default();
        let memory =
            ConnectionMemory { memory: executor.request_memory.clone(), on_displaced: on_displaced.clone() };
        let memory = Some(memory).filter(|_| !limits.exempt_from_request_memory);
        let codec = HttpCodec::new(executor.clock.clone(), limits.body_bytes).with_memory(memory);
        let stream = ClientStream::new(stream, codec, !limits.one_at_a_time);
        Self { executor, front, shutdown, slot, stream, peer, on_displaced }
    }

    /// Serves the connection until it ends. `guard` counts it as open until the last response is written; the
    /// lingering close after that is counted separately.
    pub(super) async fn serve(mut self, guard: ConnectionGuard) {
        let end = self.serve_requests().await;
        drop(guard);
        let ConnectionEnd::Close(reason) = end else {
            tracing::debug!(peer = %self.peer, "client connection ended: the client has disconnected");
            return;
        };
        tracing::debug!(peer = %self.peer, ?reason, "closing a client connection");
        let _lingering = self.shutdown.track_lingering();
        self.slot.set_lingering();
        let slot = &self.slot;
        let evicted = async {
            if !slot.is_evicted() {
                slot.evicted().await;
            }
        };
        self.stream.close(evicted).await;
    }

    /// Serves requests until the connection ends.
    async fn serve_requests(&mut self) -> ConnectionEnd {
        // Bounds the first request, so that a client that sends nothing, or a byte at a time, does not keep
        // its slot.
        let mut first_deadline = Some(self.executor.clock.now() + self.front.limits().first_ms);
        loop {
            let ArrivedRequest { request, arrived_ms } = match self.next_request(first_deadline.take()).await
            {
                Ok(request) => request,
                Err(end) => return end,
            };
            self.slot.set_busy();
            let Some(TimedResponse { mut response, write_ms }) =
                self.respond_contained(&request, arrived_ms).await
            else {
                return ConnectionEnd::Disconnected;
            };
            // A request that was read behind this one is still answered.
            let closes_at_shutdown =
                self.shutdown.closes_after_response() && !self.stream.has_buffered_request();
            response.close |= !request.keep_alive || closes_at_shutdown || self.stream.is_overrun();
            // Releases its memory, which a slow reader of the response would keep.
            drop(request);
            let close = response.close;
            if !self.write(response, write_ms).await {
                return ConnectionEnd::Disconnected;
            }
            if close {
                return ConnectionEnd::Close(CloseReason::AfterResponse);
            }
            self.stream.restart_wait();
            let now = self.executor.clock.now();
            if self.stream.has_bytes_ahead() {
                self.slot.set_reading(now);
            } else {
                self.slot.set_idle(now);
            }
        }
    }

    /// The next request, or how the connection ends. A client that is too slow or sends a malformed request
    /// gets an error response first.
    async fn next_request(&mut self, deadline: Option<f64>) -> Result<ArrivedRequest, ConnectionEnd> {
        match self.receive(deadline).await {
            Ok(Received::Request(request)) => Ok(request),
            Ok(Received::Rejected(RejectedRequest(status))) => {
                self.executor.with(|engine| engine.counters.malformed_requests += 1);
                Err(self.send_error(status, CloseReason::Malformed).await)
            }
            Ok(Received::End) => Err(ConnectionEnd::Disconnected),
            Err(Unfinished { phase: Phase::Idle, reason }) => Err(self.close_idle(reason)),
            Err(Unfinished { reason: reason @ (CloseReason::Shutdown | CloseReason::Displaced), .. }) => {
                Err(self.send_error(503, reason).await)
            }
            Err(Unfinished { reason, .. }) => Err(self.send_error(408, reason).await),
        }
    }

    /// Counts the close of a connection without a request.
    fn close_idle(&self, reason: CloseReason) -> ConnectionEnd {
        self.executor.with(|engine| match reason {
            CloseReason::TimedOut => engine.counters.client_connections_idle += 1,
            CloseReason::Shutdown => engine.counters.client_connections_stopped += 1,
            _ => {}
        });
        ConnectionEnd::Close(reason)
    }

    /// Waits for the next request. `Err` if the wait ended without one: the client was too slow, its slot is
    /// needed, or the proxy shuts down.
    async fn receive(&mut self, deadline: Option<f64>) -> Result<Received, Unfinished> {
        loop {
            let now = self.executor.clock.now();
            let check_ms =
                deadline.map_or(DEADLINE_CHECK_MS, |due| (due - now).clamp(1.0, DEADLINE_CHECK_MS));
            tokio::select! {
                // Arrived bytes are read first: a request may have arrived just before its connection was
                // evicted.
                biased;
                received = timeout(duration_from_ms(check_ms), self.stream.next()) => if let Ok(received) = received {
                    return Ok(received);
                },
                () = self.shutdown.begin_notified() => {}
                () = self.slot.evicted() => {}
                () = self.on_displaced.notified() => {}
            }
            if self.stream.is_displaced() {
                return Err(Unfinished { phase: Phase::Body, reason: CloseReason::Displaced });
            }
            let (phase, since) = self.stream.phase();
            if phase != Phase::Idle {
                self.slot.set_reading(since);
            }
            if let Some(reason) = self.reason_to_stop_waiting(phase, since, deadline) {
                // The socket may hold a request that arrived since the last poll.
                return self.stream.next_now().await.ok_or(Unfinished { phase, reason });
            }
        }
    }

    /// Why to stop waiting for a request, if at all, in a phase that began at `since`. Counts a client that
    /// missed the deadline of its first request.
    fn reason_to_stop_waiting(&self, phase: Phase, since: f64, deadline: Option<f64>) -> Option<CloseReason> {
        let limits = self.front.limits();
        let limit_ms = match phase {
            Phase::Idle => limits.idle_ms,
            Phase::Head => limits.head_ms,
            Phase::Body => limits.body_ms,
        };
        let now = self.executor.clock.now();
        let is_late = deadline.is_some_and(|due| now >= due);
        self.executor.with(|engine| engine.counters.client_connections_too_slow += u64::from(is_late));
        let is_idle_at_shutdown = phase == Phase::Idle && self.shutdown.has_begun();
        if is_idle_at_shutdown || self.shutdown.rejects_incomplete_requests() {
            Some(CloseReason::Shutdown)
        } else if self.slot.is_evicted() {
            Some(CloseReason::Evicted)
        } else if is_late || now - since > limit_ms {
            Some(CloseReason::TimedOut)
        } else {
            None
        }
    }

    /// The response to a request, an error if its handling panics; `None` where the client has disconnected.
    async fn respond_contained(&mut self, request: &HttpRequest, arrived_ms: f64) -> Option<TimedResponse> {
        let executor = self.executor.clone();
        let response = executor.contain("client request", self.respond(request, arrived_ms)).await;
        response.unwrap_or_else(|| {
            let write_ms = self.front.limits().write_ms;
            Some(TimedResponse { response: HttpResponse::status(500), write_ms })
        })
    }

    /// The response to a request, whose time counts from its arrival; `None` where the client has disconnected.
    async fn respond(&mut self, request: &HttpRequest, arrived_ms: f64) -> Option<TimedResponse> {
        let (executor, front) = (self.executor.clone(), self.front.clone());
        let mut write_ms = front.limits().write_ms;
        let (request, context) = match front.interpret(&executor, request, arrived_ms) {
            Disposition::Respond(response) => return Some(TimedResponse { response, write_ms }),
            Disposition::Forward(request, context) => {
                (IncomingRequest { client: Some(self.peer), ..*request }, context)
            }
        };
        let deadline_ms = request.deadline_ms;
        // The client may have disconnected while its request waited for a connection slot, or for the
        // response to an earlier pipelined request.
        if self.stream.has_disconnected().await {
            executor.with(|engine| engine.counters.clients_disconnected += 1);
            return None;
        }
        let response = match front.submit(&executor, &context, request) {
            Ok(submission) => front.respond(&context, self.wait_for_response(submission).await?),
            Err(reason) => front.reject(reason),
        };
        if front.limits().one_at_a_time {
            write_ms = (deadline_ms + WRITE_GRACE_MS - executor.clock.now()).clamp(1.0, write_ms);
        }
        Some(TimedResponse { response, write_ms })
    }

    /// Waits for the result of a request; `None` where the client disconnects first.
    async fn wait_for_response(&mut self, submission: Submission) -> Option<FinalResponse> {
        match submission {
            Submission::Completed(result) => Some(result),
            Submission::Pending(pending) => tokio::select! {
                biased;
                result = pending.result() => Some(result),
                () = self.stream.disconnected() => None,
            },
        }
    }

    /// Sends an error response, after which the connection is closed.
    async fn send_error(&mut self, status: u16, reason: CloseReason) -> ConnectionEnd {
        self.slot.set_busy();
        let write_ms = self.front.limits().write_ms;
        match self.write(HttpResponse::closing(status), write_ms).await {
            true => ConnectionEnd::Close(reason),
            false => ConnectionEnd::Disconnected,
        }
    }

    /// Writes a response; returns whether that succeeded.
    async fn write(&mut self, response: HttpResponse, limit_ms: f64) -> bool {
        let written = self.stream.write(response, limit_ms).await.is_ok();
        if !written {
            self.executor.with(|engine| engine.counters.responses_unwritten += 1);
        }
        written
    }
}
