//! The byte stream of a client's connection over TCP: reads requests, notices when the client leaves, writes responses,
//! and closes the connection so that the last response arrives.

use super::http::{HttpRequest, HttpResponse};
use super::http_codec::{BadRequest, HttpCodec, Phase, MAX_HEAD, MAX_INLINE};
use crate::clock::duration_from_ms;
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::future::Future;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Framed};

/// The most bytes that are kept of a client that goes on sending while its request is open.
pub const MAX_AHEAD: usize = MAX_HEAD;
/// How often a client that goes on sending is checked for its end before its request is submitted. The machine buffers
/// some hundreds of kilobytes that nobody has read yet, and the checks together read as many.
const MAX_DISCONNECT_CHECKS: u32 = 64;
/// Time limit of a lingering close, in milliseconds.
const LINGER_MS: f64 = 1_500.0;
/// Bytes that are read at once while nothing is decoded.
const READ_CHUNK: usize = 2_048;

/// What arrives from a client.
#[derive(Debug)]
pub enum Received {
    /// A request.
    Request(HttpRequest),
    /// Bytes that are no request. Nothing after them can be read.
    Bad(BadRequest),
    /// The end of the client's side, or a connection that failed.
    End,
}

/// The byte stream of a client's connection.
#[derive(Debug)]
pub struct ClientStream {
    framed: Framed<TcpStream, HttpCodec>,
    /// Clients may pipeline requests (RFC 9112, section 9.3.2).
    pipelining: bool,
    /// More bytes came ahead of a response than are kept, and were discarded.
    overrun: bool,
    /// Bytes that came ahead of responses, kept or discarded.
    bytes_ahead: u64,
}

impl ClientStream {
    /// The stream of a connection that was just accepted. Small writes leave at once (`TCP_NODELAY`).
    ///
    /// Bytes that a client sends ahead of a response beyond [`MAX_AHEAD`] are discarded. Without `pipelining`, the
    /// connection ends with that response; with it, after the response to the last request that is kept complete.
    pub fn new(stream: TcpStream, codec: HttpCodec, pipelining: bool) -> Self {
        let _ = stream.set_nodelay(true);
        Self { framed: Framed::new(stream, codec), pipelining, overrun: false, bytes_ahead: 0 }
    }

    /// Waits for the next request. Cancel safe.
    pub async fn next(&mut self) -> Received {
        match self.framed.next().await {
            Some(Ok(Ok(request))) => Received::Request(request),
            Some(Ok(Err(bad))) => Received::Bad(bad),
            None | Some(Err(_)) => Received::End,
        }
    }

    /// What has arrived by now, for a reader that is about to give up.
    pub async fn next_now(&mut self) -> Option<Received> {
        // What arrived since the last poll is reported at the reactor's next turn.
        tokio::task::yield_now().await;
        self.next().now_or_never()
    }

    /// The phase of the current read, and since when it lasts, in Unix milliseconds.
    pub fn phase(&self) -> (Phase, f64) {
        self.framed.codec().phase()
    }

    /// Restarts the wait for the next request, after a response.
    pub fn restart_wait(&mut self) {
        self.framed.codec_mut().restart_wait();
    }

    /// Whether bytes were discarded and no complete request is left of those that were kept: what is read from now on
    /// cannot be understood.
    pub fn is_overrun(&self) -> bool {
        self.overrun && !self.has_buffered_request()
    }

    /// Whether the next request, or a bad one, is buffered complete. Decodes a copy of the buffer.
    fn has_buffered_request(&self) -> bool {
        let mut buffer = self.framed.read_buffer().clone();
        matches!(self.framed.codec().clone().decode(&mut buffer), Ok(Some(_)))
    }

    /// Whether bytes came ahead of a response: most likely the start of another request.
    pub fn has_bytes_ahead(&self) -> bool {
        !self.framed.read_buffer().is_empty()
    }

    /// Waits until the client leaves: it closed or reset the connection, or ended its side. Bytes that it sends
    /// meanwhile are kept for the next request, within bounds, so that they neither hide its leaving nor count as one.
    /// Reading never pauses: the end of the client's side arrives behind its last byte, which a full receive window
    /// would keep out. To be called between a request and its response only. Cancel safe.
    pub async fn left(&mut self) {
        let mut chunk = [0u8; READ_CHUNK];
        loop {
            let read = self.framed.get_mut().read(&mut chunk).await;
            let Ok(length @ 1..) = read else { return };
            self.buffer_ahead(&chunk[..length]);
        }
    }

    /// Keeps bytes that came ahead of a response. After the first that find no room none are kept any more, so that
    /// the kept bytes have no gap.
    fn buffer_ahead(&mut self, bytes: &[u8]) {
        self.bytes_ahead += bytes.len() as u64;
        let buffer = self.framed.read_buffer_mut();
        if !self.overrun && buffer.len() + bytes.len() <= MAX_AHEAD {
            buffer.extend_from_slice(bytes);
            return;
        }
        self.overrun = true;
        if !self.pipelining {
            buffer.clear();
        }
    }

    /// Whether the client has left by now. A request that waited for its connection's slot may have come from a client
    /// that is long gone, and the end may stand behind more bytes than one check reads.
    pub async fn has_left(&mut self) -> bool {
        for _ in 0..MAX_DISCONNECT_CHECKS {
            // What came together with the request is reported at the reactor's next turn.
            tokio::task::yield_now().await;
            let before = self.bytes_ahead;
            if self.left().now_or_never().is_some() {
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

    /// Closes the connection: sends nothing more, and discards what the client still sends, so that no response is lost
    /// to a reset (lingering close, RFC 9112, section 9.6). Ends after `LINGER_MS`, or when `cancelled` does.
    /// A request among the discarded bytes gets no response; the end of the connection tells its client so.
    pub async fn close(mut self, cancelled: impl Future<Output = ()>) {
        let stream = self.framed.get_mut();
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
