//! The driver of a connection to a cache, a parent or the origin: connects, writes the engine's commands, and
//! passes it the replies.

use super::cache_codec::{CacheCodec, ReplyError};
use crate::cache_message::CacheCommand;
use crate::clock::duration_from_ms;
use crate::engine::executor::{ConnectionDriver, Dial, Executor};
use crate::engine::NextWrite;
use crate::state::ids::ConnectionId;
use crate::text::parse_hex16;
use bytes::BytesMut;
use futures_util::future::LocalBoxFuture;
use futures_util::StreamExt;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::codec::{Encoder, FramedRead};

/// Time limit of one write, in milliseconds. The connection is closed if the write is not complete by then.
const WRITE_TIMEOUT_MS: f64 = 2_000.0;
/// How long replies that arrived before a connection broke are still read, in milliseconds.
const LAST_READ_MS: f64 = 100.0;
/// Interval of the stall check, in milliseconds. A partial reply that makes no progress between two checks
/// counts as stalled: it would block all later replies on the connection.
const STALL_CHECK_MS: f64 = 200.0;

/// Why a connection to a cache ended.
#[derive(Debug, Error)]
enum ConnectionError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A reply is malformed.
    #[error(transparent)]
    Reply(ReplyError),
    /// A partial reply made no progress.
    #[error("reply made no progress for {STALL_CHECK_MS} ms")]
    Stalled,
}

impl From<ReplyError> for ConnectionError {
    fn from(error: ReplyError) -> Self {
        match error {
            ReplyError::Io(error) => Self::Io(error),
            error => Self::Reply(error),
        }
    }
}

/// The driver of the cache protocol.
#[derive(Clone, Copy, Debug)]
pub struct CacheDriver;

impl ConnectionDriver for CacheDriver {
    fn drive(&self, executor: Rc<Executor>, dial: Dial) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move { drive(&executor, dial).await })
    }
}

/// Connects, and serves the connection until either side ends it.
async fn drive(executor: &Rc<Executor>, dial: Dial) {
    let Dial { conn, address, connect_timeout_ms, waker } = dial;
    let stream = match timeout(duration_from_ms(connect_timeout_ms), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            return executor.with(|engine| engine.connection_failed(conn, is_local_resource_error(&error)))
        }
        Err(_) => return executor.with(|engine| engine.connection_failed(conn, false)),
    };
    let _ = stream.set_nodelay(true);
    executor.with(|engine| engine.connection_established(conn));
    let ended = serve(executor, conn, stream, &waker).await;
    report_end(executor, conn, address, ended);
}

/// Reads and writes until either side ends the connection.
async fn serve(
    executor: &Rc<Executor>,
    conn: ConnectionId,
    stream: TcpStream,
    waker: &Notify,
) -> Result<(), ConnectionError> {
    let (source, sink) = stream.into_split();
    let source = FramedRead::new(source, CacheCodec::default());
    let mut reading = Box::pin(read(executor, conn, source));
    tokio::select! {
        biased;
        ended = &mut reading => ended,
        ended = write(executor, conn, sink, waker) => {
            let Err(connection_lost) = ended else { return Ok(()) };
            // Replies that arrived before the connection broke still count.
            match timeout(duration_from_ms(LAST_READ_MS), &mut reading).await {
                Ok(Err(error)) => Err(error),
                Ok(Ok(())) | Err(_) => Err(connection_lost),
            }
        }
    }
}

/// Reports to the engine how a connection ended.
fn report_end(
    executor: &Rc<Executor>,
    conn: ConnectionId,
    address: SocketAddrV4,
    ended: Result<(), ConnectionError>,
) {
    match ended {
        Ok(()) | Err(ConnectionError::Io(_)) => executor.with(|engine| engine.connection_lost(conn)),
        Err(ConnectionError::Stalled) => executor.with(|engine| {
            engine.counters.connections_stalled += 1;
            engine.connection_dropped(conn);
        }),
        Err(error @ ConnectionError::Reply(_)) => {
            let count = executor.with(|engine| {
                engine.counters.connections_malformed += 1;
                engine.counters.connections_malformed
            });
            // Logged only when the count is a power of two, which limits the log volume of an endpoint that
            // keeps sending malformed replies.
            if count.is_power_of_two() {
                tracing::warn!(endpoint = %address, %error, count, "malformed reply; closing the connection");
            }
            executor.with(|engine| engine.connection_dropped(conn));
        }
    }
}

/// Whether a connect failed for lack of a local resource, such as file descriptors.
pub(crate) fn is_local_resource_error(error: &std::io::Error) -> bool {
    // EMFILE, ENFILE, EADDRNOTAVAIL, ENOBUFS, ENOMEM.
    matches!(error.raw_os_error(), Some(24 | 23 | 99 | 105 | 12))
}

/// Passes replies to the engine until the endpoint closes the connection.
async fn read(
    executor: &Rc<Executor>,
    conn: ConnectionId,
    mut source: FramedRead<OwnedReadHalf, CacheCodec>,
) -> Result<(), ConnectionError> {
    // The number of buffered bytes at the last check; `None` between replies.
    let mut last_buffered_bytes = None;
    loop {
        match timeout(duration_from_ms(STALL_CHECK_MS), source.next()).await {
            Ok(Some(reply)) => {
                let reply = reply?;
                last_buffered_bytes = None;
                executor.with(|engine| engine.handle_reply(conn, reply));
            }
            Ok(None) => return Ok(()),
            Err(_) => {
                let buffer = source.read_buffer();
                let buffered_bytes = source.decoder().is_within_reply(buffer).then_some(buffer.len());
                if buffered_bytes.is_some() && buffered_bytes == last_buffered_bytes {
                    return Err(ConnectionError::Stalled);
                }
                last_buffered_bytes = buffered_bytes;
            }
        }
    }
}

/// Writes the engine's commands until the engine closes the connection.
async fn write(
    executor: &Rc<Executor>,
    conn: ConnectionId,
    mut sink: OwnedWriteHalf,
    waker: &Notify,
) -> Result<(), ConnectionError> {
    let (mut codec, mut bytes) = (CacheCodec::default(), BytesMut::new());
    loop {
        let command = match executor.with(|engine| engine.next_write(conn)) {
            NextWrite::Write(command) => command,
            NextWrite::Idle => {
                waker.notified().await;
                continue;
            }
            NextWrite::Close => return Ok(()),
        };
        let request_id = match &command {
            CacheCommand::Send(request) => parse_hex16(&request.id),
            CacheCommand::Cancel(_) => None,
        };
        codec.encode(command, &mut bytes)?;
        match (sink.try_write(&bytes), request_id) {
            (Ok(written), _) => drop(bytes.split_to(written)),
            // If no byte of a request was written, the engine queues it again and checks it again once the
            // socket is writable: by then its deadline may have passed, or its endpoint may be draining.
            (Err(error), Some(request_id)) if error.kind() == ErrorKind::WouldBlock => {
                bytes.clear();
                executor.with(|engine| engine.write_blocked(conn, request_id));
                match timeout(duration_from_ms(WRITE_TIMEOUT_MS), sink.writable()).await {
                    Ok(writable) => writable?,
                    Err(_) => return Ok(()),
                }
                continue;
            }
            (Err(error), _) if error.kind() == ErrorKind::WouldBlock => {}
            (Err(error), _) => return Err(error.into()),
        }
        match timeout(duration_from_ms(WRITE_TIMEOUT_MS), sink.write_all_buf(&mut bytes)).await {
            Ok(written) => written?,
            Err(_) => return Ok(()),
        }
    }
}
