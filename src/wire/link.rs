//! A client's connection over TCP as one piece: what is read, whether the client has left, what is written, and the
//! one way in which a connection ends.

use super::http::{BadRequest, HttpAnswer, HttpCodec, HttpRequest, Phase, HEAD_MOST, INLINE_MOST};
use super::WireError;
use crate::clock::span;
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// What is held of a client that goes on sending while its request is open, in bytes.
pub const AHEAD_MOST: usize = HEAD_MOST;
/// How often it is looked whether a client has left behind more than that, in milliseconds.
const LEFT_LOOK_MS: f64 = 100.0;
/// How long, in milliseconds, what a client still sends after the end is taken in (lingering close).
const LINGER_MS: f64 = 1_500.0;
/// How much is read at once while nothing is decoded, in bytes.
const SCRAP: usize = 2_048;

/// A request, a fault in its place, or the end of what the client sends.
pub type Read = Option<Result<Result<HttpRequest, BadRequest>, WireError>>;

/// A client's connection.
#[derive(Debug)]
pub struct Link {
    framed: Framed<TcpStream, HttpCodec>,
    /// Clients may send requests ahead of their answers as they like (RFC 9112, section 9.3.2).
    pipelines: bool,
    /// More came ahead of an answer than is held, and was thrown away.
    overrun: bool,
}

impl Link {
    /// A connection that was just accepted. Small writes leave at once (`TCP_NODELAY`). Where clients do not pipeline, what
    /// they send beyond [`AHEAD_MOST`] is thrown away, and the connection ends with the answer; where they do, it waits
    /// in the machine's buffers.
    pub fn new(stream: TcpStream, codec: HttpCodec, pipelines: bool) -> Self {
        let _ = stream.set_nodelay(true);
        Self { framed: Framed::new(stream, codec), pipelines, overrun: false }
    }

    /// The next request. Cancel safe.
    pub async fn next(&mut self) -> Read {
        self.framed.next().await
    }

    /// What is whole by now, as far as the machine has been told, where the reader is about to give up.
    pub async fn last_look(&mut self) -> Option<Read> {
        // What came since the last look is told at the machine's next turn.
        tokio::task::yield_now().await;
        self.next().now_or_never()
    }

    /// What the reader waits for, and since when.
    pub fn phase(&self) -> (Phase, f64) {
        self.framed.codec().phase()
    }

    /// Starts the wait for the next request anew, once the last one is answered.
    pub fn answered(&mut self) {
        self.framed.codec_mut().answered();
    }

    /// Whether more came ahead of an answer than is held: nothing after it can be understood.
    pub fn overrun(&self) -> bool {
        self.overrun
    }

    /// Whether bytes came ahead of an answer: another request is most likely among them.
    pub fn is_ahead(&self) -> bool {
        !self.framed.read_buffer().is_empty()
    }

    /// Waits until the client leaves: it closed or reset the connection, or ended its side. Whatever it sends
    /// meanwhile is held for the next request, within bounds, so that it neither hides the leaving nor counts as one.
    /// To be called between a request and its answer only. Cancel safe.
    pub async fn left(&mut self) {
        let mut scrap = [0u8; SCRAP];
        loop {
            if self.pipelines && self.framed.read_buffer().len() + SCRAP > AHEAD_MOST {
                // No more is read: the end of the client's side shows beside what the machine holds.
                let ready = self.framed.get_ref().ready(Interest::READABLE).await;
                if ready.map_or(true, |ready| ready.is_read_closed()) {
                    return;
                }
                sleep(span(LEFT_LOOK_MS)).await;
                continue;
            }
            let read = self.framed.get_mut().read(&mut scrap).await;
            let Ok(length @ 1..) = read else { return };
            let ahead = self.framed.read_buffer_mut();
            if self.overrun || ahead.len() + length > AHEAD_MOST {
                self.overrun = true;
                ahead.clear();
            } else {
                ahead.extend_from_slice(&scrap[..length]);
            }
        }
    }

    /// Whether the client has left by now, as far as the machine has been told: what waited for its place may have
    /// come from one that is long gone.
    pub async fn has_left(&mut self) -> bool {
        // What came together with the request is told at the machine's next turn.
        tokio::task::yield_now().await;
        self.left().now_or_never().is_some()
    }

    /// Writes an answer whole, within `ms` milliseconds.
    pub async fn write(&mut self, answer: HttpAnswer, ms: f64) -> Result<(), WireError> {
        let body = Some(answer.wire_body()).filter(|body| body.len() > INLINE_MOST);
        let all = async {
            self.framed.send(answer).await?;
            if let Some(body) = body {
                self.framed.get_mut().write_all(&body).await?;
            }
            Ok(())
        };
        let late = |_| Err(WireError::Socket(std::io::ErrorKind::TimedOut.into()));
        timeout(span(ms), all).await.unwrap_or_else(late)
    }

    /// Ends the connection: nothing more is sent, and what the client still sends is taken in unread, so that no
    /// answer is lost to a reset (RFC 9112, section 9.6). Bounded in time, and by `sooner`. What is taken in here is
    /// never a request: its client gets no answer and is told so by the end of the connection.
    pub async fn end(mut self, sooner: impl Future<Output = ()>) {
        let stream = self.framed.get_mut();
        if stream.shutdown().await.is_err() {
            return;
        }
        let mut scrap = [0u8; SCRAP];
        let drain = async { while matches!(stream.read(&mut scrap).await, Ok(1..)) {} };
        tokio::select! {
            biased;
            _ = timeout(span(LINGER_MS), drain) => {}
            () = sooner => {}
        }
    }
}
