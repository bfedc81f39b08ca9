//! The byte stream of a client's connection over TCP: reads requests, detects the client's disconnect, writes
//! responses, and closes the connection so that the last response arrives.

use super::http::{HttpRequest, HttpResponse};
use super::http_codec::{HttpCodec, Phase, RejectedRequest, MAX_HEAD, MAX_INLINE};
use super::timestamped_stream::TimestampedStream;
use crate::clock::duration_from_ms;
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::future::Future;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Framed};

/// The most bytes that are buffered from a client that sends further bytes before the response to its
/// request.
pub const MAX_BYTES_AHEAD: usize = MAX_HEAD;
/// The most checks for a client's disconnect before its request is submitted, while more bytes arrive.
/// Together they read what the socket buffers hold, since the end of the stream follows its last byte.
const MAX_DISCONNECT_CHECKS: u32 = 64;
/// Time limit of a lingering close, in milliseconds.
const LINGER_MS: f64 = 1_500.0;
/// Initial size of the buffer for requests, in bytes; most have no body and fit.
const BUFFER_BYTES: usize = 2_048;
/// Size of the buffer for bytes that are read without being decoded.
const READ_CHUNK: usize = 2_048;

/// A request with its arrival.
#[derive(Debug)]
pub struct ArrivedRequest {
    /// The request.
    pub request: HttpRequest,
    /// When its last byte arrived, in Unix milliseconds.
    pub arrived_ms: f64,
}

/// The result of waiting for a request.
#[derive(Debug)]
pub enum Received {
    /// A request.
    Request(ArrivedRequest),
    /// A malformed request, after which nothing more is read.
    Rejected(RejectedRequest),
    /// The client closed or shut down its side, or the connection failed.
    End,
}

/// The byte stream of a client's connection.
#[derive(Debug)]
pub struct ClientStream {
    framed: Framed<TimestampedStream, HttpCodec>,
    /// Whether clients may pipeline requests (RFC 9112, section 9.3.2).
    pipelining: bool,
    /// Whether bytes that arrived ahead of a response exceeded the limit, so that some were discarded.
    overrun: bool,
    /// The number of bytes that arrived ahead of responses, buffered or discarded.
    bytes_ahead: u64,
}

impl ClientStream {
    /// The stream of an accepted connection. Sets `TCP_NODELAY`.
    ///
    /// Bytes that a client sends ahead of a response beyond [`MAX_BYTES_AHEAD`] are discarded. Without
    /// `pipelining`, the connection is closed after that response; with it, after the response to the last
    /// request that is buffered completely.
    pub fn new(stream: TimestampedStream, codec: HttpCodec, pipelining: bool) -> Self {
        stream.set_nodelay();
        Self {
            framed: Framed::with_capacity(stream, codec, BUFFER_BYTES),
            pipelining,
            overrun: false,
            bytes_ahead: 0,
        }
    }

    /// Waits for the next request. Cancel safe.
    pub async fn next(&mut self) -> Received {
        match self.framed.next().await {
            Some(Ok(Ok(request))) => Received::Request(self.with_arrival(request)),
            Some(Ok(Err(rejected))) => Received::Rejected(rejected),
            None | Some(Err(_)) => Received::End,
        }
    }

    /// Adds its arrival to a request that has just been decoded.
    fn with_arrival(&mut self, request: HttpRequest) -> ArrivedRequest {
        let unread = self.framed.read_buffer().len();
        let arrived_ms = self.framed.get_mut().arrival_of_request(unread);
        // Bytes of a request were read, so that its arrival is known.
        ArrivedRequest { request, arrived_ms: arrived_ms.unwrap_or_else(|| self.framed.codec().now()) }
    }

    /// The next request if it has arrived by now, for a caller whose wait has ended.
    pub async fn next_now(&mut self) -> Option<Received> {
        // Yields, so that the reactor polls the socket for bytes that arrived since its last poll.
        tokio::task::yield_now().await;
        self.next().now_or_never()
    }

    /// The phase of the current read, and when it began, in Unix milliseconds.
    pub fn phase(&self) -> (Phase, f64) {
        self.framed.codec().phase()
    }

    /// Whether the request whose body is arriving has lost its memory to others.
    pub fn is_displaced(&self) -> bool {
        self.framed.codec().is_displaced()
    }

    /// Restarts the wait for the next request, after a response.
    pub fn restart_wait(&mut self) {
        self.framed.codec_mut().restart_wait();
    }

    /// Whether bytes were discarded and no complete request is left in the buffer: later bytes cannot be
    /// parsed, since the start of their request is missing.
    pub fn is_overrun(&self) -> bool {
        self.overrun && !self.has_buffered_request()
    }

    /// Whether a complete or malformed request is buffered. Decodes a copy of the buffer.
    pub fn has_buffered_request(&self) -> bool {
        let mut buffer = self.framed.read_buffer().clone();
        matches!(self.framed.codec().clone().with_memory(None).decode(&mut buffer), Ok(Some(_)))
    }

    /// Whether bytes that arrived ahead of the response are buffered, usually the start of another request.
    pub fn has_bytes_ahead(&self) -> bool {
        !self.framed.read_buffer().is_empty()
    }

    /// Waits until the client closes, resets or shuts down its side. Bytes that it sends meanwhile are
    /// buffered for the next request, up to a limit. Reading continues beyond the limit, since a full receive
    /// window would hide the end of the stream. Call this only between a request and its response. Cancel
    /// safe.
    pub async fn disconnected(&mut self) {
        let mut chunk = [0u8; READ_CHUNK];
        loop {
            let read = self.framed.get_mut().read(&mut chunk).await;
            let Ok(length @ 1..) = read else { return };
            self.buffer_ahead(&chunk[..length]);
        }
    }

    /// Buffers bytes that arrived ahead of a response. From the first read that exceeds the limit, all bytes
    /// are discarded, so that the buffered bytes stay contiguous.
    fn buffer_ahead(&mut self, bytes: &[u8]) {
        self.bytes_ahead += bytes.len() as u64;
        let buffer = self.framed.read_buffer_mut();
        if !self.overrun && buffer.len() + bytes.len() <= MAX_BYTES_AHEAD {
            buffer.extend_from_slice(bytes);
            return;
        }
        self.overrun = true;
        if !self.pipelining {
            buffer.clear();
        }
    }

    /// Whether the client has already disconnected: one whose request waited for a connection slot may be long
    /// gone. Checks repeatedly, since the end of its stream may follow more bytes than one check reads.
    pub async fn has_disconnected(&mut self) -> bool {
        for _ in 0..MAX_DISCONNECT_CHECKS {
            // Yields, so that the reactor polls the socket for bytes that followed the request.
            tokio::task::yield_now().await;
            let before = self.bytes_ahead;
            if self.disconnected().now_or_never().is_some() {
                return true;
            }
            if self.bytes_ahead == before {
                return false;
            }
        }
        false
    }

    /// Writes a complete response, within `limit_ms` milliseconds.
    pub async fn write(&mut self, response: HttpResponse, limit_ms: f64) -> io::Result<()> {
        let body = Some(response.wire_body()).filter(|body| body.len() > MAX_INLINE);
        let write = async {
            self.framed.send(response).await?;
            if let Some(body) = body {
                self.framed.get_mut().write_all(&body).await?;
            }
            Ok(())
        };
        let timed_out = |_| Err(io::ErrorKind::TimedOut.into());
        timeout(duration_from_ms(limit_ms), write).await.unwrap_or_else(timed_out)
    }

    /// Closes the connection: shuts down this side and discards what the client still sends, so that no
    /// response is lost to a reset (lingering close, RFC 9112, section 9.6). Returns when the client closes,
    /// after `LINGER_MS`, or when `cancelled` completes. A request among the discarded bytes gets no
    /// response; the end of the connection tells its client so.
    pub async fn close(self, cancelled: impl Future<Output = ()>) {
        // Releases the buffers at once: what they hold is not needed any more.
        let mut stream = self.framed.into_inner();
        if stream.shutdown().await.is_err() {
            return;
        }
        let mut chunk = [0u8; READ_CHUNK];
        let drain = async { while matches!(stream.read(&mut chunk).await, Ok(1..)) {} };
        tokio::select! {
            biased;
            _ = timeout(duration_from_ms(LINGER_MS), drain) => {}
            () = cancelled => {}
        }
    }
}
