//! The driver of a connection to a pop cache.

use super::cache_codec::{hex16, Command, LineCodec};
use super::WireError;
use crate::clock::duration_from_ms;
use crate::engine::executor::{ConnectionDriver, Dial, Executor};
use crate::engine::NextWrite;
use crate::state::connections::ConnectionId;
use bytes::BytesMut;
use futures_util::future::LocalBoxFuture;
use futures_util::StreamExt;
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::codec::{Encoder, FramedRead};

/// How long one write may take, in milliseconds: an endpoint that reads nothing for so long is as good as gone.
const WRITE_MS: f64 = 2_000.0;

/// How long, in milliseconds, what came before a connection broke is still read: the machine holds it already.
const LAST_READ_MS: f64 = 100.0;

/// How often a connection on which nothing whole comes is looked at, in milliseconds. An answer that has stopped in
/// its middle between two looks will not go on, and neither will those that wait behind it.
const STALL_LOOK_MS: f64 = 200.0;

/// Speaks the pop caches' protocol to endpoints.
#[derive(Clone, Copy, Debug)]
pub struct CacheDriver;

impl ConnectionDriver for CacheDriver {
    fn drive(&self, executor: Rc<Executor>, dial: Dial) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move { drive(&executor, dial).await })
    }
}

/// Connects, writes what the engine has and hands it what comes, until either side ends.
async fn drive(executor: &Rc<Executor>, dial: Dial) {
    let Dial { conn, address, within_ms, waker } = dial;
    let stream = match timeout(duration_from_ms(within_ms), TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return executor.with(|engine| engine.connection_failed(conn, is_local(&error))),
        Err(_) => return executor.with(|engine| engine.connection_failed(conn, false)),
    };
    let _ = stream.set_nodelay(true);
    executor.with(|engine| engine.connection_established(conn));
    let (source, sink) = stream.into_split();
    let source = FramedRead::new(source, LineCodec::default());
    let mut reading = Box::pin(read(executor, conn, source));
    let end = tokio::select! {
        biased;
        end = &mut reading => end,
        end = write(executor, conn, sink, &waker) => match end {
            Ok(()) => Ok(()),
            // Guards answers that came whole before the connection broke: what they answer has not been lost.
            Err(broken) => match timeout(duration_from_ms(LAST_READ_MS), &mut reading).await {
                Ok(Err(error)) => Err(error),
                Ok(Ok(())) | Err(_) => Err(broken),
            },
        },
    };
    match &end {
        Err(error @ (WireError::Malformed(_) | WireError::TooLarge(_))) => {
            let told = executor.with(|engine| {
                engine.counters.malformed_members += 1;
                engine.counters.malformed_members
            });
            // Guards the log against endpoints that spoil all they send: each doubling is told.
            if told.is_power_of_two() {
                tracing::warn!(endpoint = %address, %error, told, "a member's connection failed");
            }
            executor.with(|engine| engine.connection_malformed(conn));
        }
        Err(WireError::Stalled) => executor.with(|engine| {
            engine.counters.stalled_members += 1;
            engine.connection_malformed(conn);
        }),
        Ok(()) | Err(WireError::Socket(_)) => executor.with(|engine| engine.connection_lost(conn)),
    }
}

/// Whether a connect failed for want of something on this machine, such as descriptors.
pub(crate) fn is_local(error: &std::io::Error) -> bool {
    // EMFILE, ENFILE, EADDRNOTAVAIL, ENOBUFS, ENOMEM.
    matches!(error.raw_os_error(), Some(24 | 23 | 99 | 105 | 12))
}

async fn read(
    executor: &Rc<Executor>,
    conn: ConnectionId,
    mut source: FramedRead<OwnedReadHalf, LineCodec>,
) -> Result<(), WireError> {
    // How much of an answer was there at the last look.
    let mut held = None;
    loop {
        match timeout(duration_from_ms(STALL_LOOK_MS), source.next()).await {
            Ok(Some(reply)) => {
                let reply = reply?;
                held = None;
                executor.with(|engine| engine.handle_response(conn, reply));
            }
            Ok(None) => return Ok(()),
            // Guards all that waits on this connection against an answer that has stopped short.
            Err(_) => {
                let buffer = source.read_buffer();
                let now = source.decoder().within(buffer).then_some(buffer.len());
                if now.is_some() && now == held {
                    return Err(WireError::Stalled);
                }
                held = now;
            }
        }
    }
}

async fn write(
    executor: &Rc<Executor>,
    conn: ConnectionId,
    mut sink: OwnedWriteHalf,
    waker: &Notify,
) -> Result<(), WireError> {
    let (mut codec, mut bytes) = (LineCodec::default(), BytesMut::new());
    loop {
        let command = match executor.with(|engine| engine.next_write(conn)) {
            NextWrite::Write(command) => command,
            NextWrite::Idle => {
                waker.notified().await;
                continue;
            }
            NextWrite::Close => return Ok(()),
        };
        let request = match &command {
            Command::Get(get) => hex16(&get.id),
            Command::Drop(_) => None,
        };
        codec.encode(command, &mut bytes)?;
        match (sink.try_write(&bytes), request) {
            (Ok(written), _) => drop(bytes.split_to(written)),
            // Guards the rules on drains, leavings and deadlines against an endpoint that reads nothing: what has no byte
            // out yet goes back, and is looked at again when there is room for it.
            (Err(error), Some(request)) if error.kind() == ErrorKind::WouldBlock => {
                bytes.clear();
                executor.with(|engine| engine.write_blocked(conn, request));
                match timeout(duration_from_ms(WRITE_MS), sink.writable()).await {
                    Ok(room) => room?,
                    Err(_) => return Ok(()),
                }
                continue;
            }
            (Err(error), _) if error.kind() == ErrorKind::WouldBlock => {}
            (Err(error), _) => return Err(error.into()),
        }
        match timeout(duration_from_ms(WRITE_MS), sink.write_all_buf(&mut bytes)).await {
            Ok(written) => written?,
            Err(_) => return Ok(()),
        }
    }
}
