//! A client's connection over TCP as one piece: what is read, whether the client has left, what is written, and the
//! one way in which a connection ends.

use super::http::{BadRequest, HttpCodec, HttpRequest, HttpResponse, Phase, MAX_HEAD, MAX_INLINE};
use super::WireError;
use crate::clock::duration_from_ms;
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Framed};

/// What is held of a client that goes on sending while its request is open, in bytes.
pub const MAX_AHEAD: usize = MAX_HEAD;
/// How often a client that goes on sending is looked at before its request is taken: the machine holds some hundreds of
/// kilobytes of one that nobody read yet, and a look takes in as many.
const MAX_LOOKS: u32 = 64;
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
    /// Bytes that came ahead of answers, held or thrown away.
    came_ahead: u64,
}

impl Link {
    /// A connection that was just accepted. Small writes leave at once (`TCP_NODELAY`). What clients send ahead of an
    /// answer beyond [`MAX_AHEAD`] is thrown away. Where they do not pipeline, the connection ends with that answer;
    /// where they do, with the answer to the last request that is held whole.
    pub fn new(stream: TcpStream, codec: HttpCodec, pipelines: bool) -> Self {
        let _ = stream.set_nodelay(true);
        Self { framed: Framed::new(stream, codec), pipelines, overrun: false, came_ahead: 0 }
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

    /// Whether more came ahead of an answer than is held, and no whole request is left of that: nothing that is read
    /// from now on can be understood.
    pub fn overrun(&self) -> bool {
        self.overrun && !self.holds_request()
    }

    /// Whether the next request is held whole, or a fault in its place. Decodes a copy.
    fn holds_request(&self) -> bool {
        let mut held = self.framed.read_buffer().clone();
        matches!(self.framed.codec().clone().decode(&mut held), Ok(Some(_)))
    }

    /// Whether bytes came ahead of an answer: another request is most likely among them.
    pub fn is_ahead(&self) -> bool {
        !self.framed.read_buffer().is_empty()
    }

    /// Waits until the client leaves: it closed or reset the connection, or ended its side. Whatever it sends
    /// meanwhile is held for the next request, within bounds, so that it neither hides the leaving nor counts as one.
    /// Reading never pauses: the end of the client's side arrives behind its last byte, which a full receive window
    /// would keep out. To be called between a request and its answer only. Cancel safe.
    pub async fn left(&mut self) {
        let mut scrap = [0u8; SCRAP];
        loop {
            let read = self.framed.get_mut().read(&mut scrap).await;
            let Ok(length @ 1..) = read else { return };
            self.hold(&scrap[..length]);
        }
    }

    /// Holds bytes that came ahead of an answer. After the first that find no room none are held any more, so that
    /// what is held has no gap.
    fn hold(&mut self, bytes: &[u8]) {
        self.came_ahead += bytes.len() as u64;
        let ahead = self.framed.read_buffer_mut();
        if !self.overrun && ahead.len() + bytes.len() <= MAX_AHEAD {
            ahead.extend_from_slice(bytes);
            return;
        }
        self.overrun = true;
        if !self.pipelines {
            ahead.clear();
        }
    }

    /// Whether the client has left by now, as far as the machine has been told: what waited for its place may have
    /// come from one that is long gone. Its end may stand behind more than one look takes in.
    pub async fn has_left(&mut self) -> bool {
        for _ in 0..MAX_LOOKS {
            // What came together with the request is told at the machine's next turn.
            tokio::task::yield_now().await;
            let before = self.came_ahead;
            if self.left().now_or_never().is_some() {
                return true;
            }
            if self.came_ahead == before {
                return false;
            }
        }
        false
    }

    /// Writes an answer whole, within `ms` milliseconds.
    pub async fn write(&mut self, answer: HttpResponse, ms: f64) -> Result<(), WireError> {
        let body = Some(answer.wire_body()).filter(|body| body.len() > MAX_INLINE);
        let all = async {
            self.framed.send(answer).await?;
            if let Some(body) = body {
                self.framed.get_mut().write_all(&body).await?;
            }
            Ok(())
        };
        let late = |_| Err(WireError::Socket(std::io::ErrorKind::TimedOut.into()));
        timeout(duration_from_ms(ms), all).await.unwrap_or_else(late)
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
            _ = timeout(duration_from_ms(LINGER_MS), drain) => {}
            () = sooner => {}
        }
    }
}
