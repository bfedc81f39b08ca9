//! The driver of a connection to a pop cache.

use super::lines::LineCodec;
use super::WireError;
use crate::clock::span;
use crate::engine::host::Host;
use crate::engine::Next;
use crate::memory::connections::ConnId;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite};

/// How long one write may take, in milliseconds: a member that reads nothing for so long is as good as gone.
const WRITE_MS: f64 = 2_000.0;

/// How often a connection on which nothing whole comes is looked at, in milliseconds. An answer that has stopped in
/// its middle between two looks will not go on, and neither will those that wait behind it.
const STALL_LOOK_MS: f64 = 200.0;

/// Connects, writes what the engine has and hands it what comes, until either side ends.
pub async fn drive(host: &Rc<Host>, conn: ConnId, to: SocketAddrV4, within_ms: f64, waker: &Notify) {
    let stream = match timeout(span(within_ms), TcpStream::connect(to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return host.with(|engine| engine.connect_failed(conn, is_local(&error))),
        Err(_) => return host.with(|engine| engine.connect_failed(conn, false)),
    };
    let _ = stream.set_nodelay(true);
    host.with(|engine| engine.connected(conn));
    let (source, sink) = stream.into_split();
    let source = FramedRead::new(source, LineCodec::default());
    let sink = FramedWrite::new(sink, LineCodec::default());
    let end = tokio::select! {
        end = read(host, conn, source) => end,
        end = write(host, conn, sink, waker) => end,
    };
    match &end {
        Err(error @ (WireError::Malformed(_) | WireError::TooLarge(_))) => {
            let told = host.with(|engine| {
                engine.counters.malformed_members += 1;
                engine.counters.malformed_members
            });
            // Guards the log against members that spoil all they send: each doubling is told.
            if told.is_power_of_two() {
                tracing::warn!(member = %to, %error, told, "a member's connection failed");
            }
            host.with(|engine| engine.spoilt(conn));
        }
        Err(WireError::Stalled) => host.with(|engine| {
            engine.counters.stalled_members += 1;
            engine.spoilt(conn);
        }),
        Ok(()) | Err(WireError::Socket(_)) => host.with(|engine| engine.broken(conn)),
    }
}

/// Whether a connect failed for want of something on this machine, such as descriptors.
pub(crate) fn is_local(error: &std::io::Error) -> bool {
    // EMFILE, ENFILE, EADDRNOTAVAIL, ENOBUFS, ENOMEM.
    matches!(error.raw_os_error(), Some(24 | 23 | 99 | 105 | 12))
}

async fn read(
    host: &Rc<Host>,
    conn: ConnId,
    mut source: FramedRead<OwnedReadHalf, LineCodec>,
) -> Result<(), WireError> {
    // How much of an answer was there at the last look.
    let mut held = None;
    loop {
        match timeout(span(STALL_LOOK_MS), source.next()).await {
            Ok(Some(reply)) => {
                let reply = reply?;
                held = None;
                host.with(|engine| engine.answered(conn, reply));
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
    host: &Rc<Host>,
    conn: ConnId,
    mut sink: FramedWrite<OwnedWriteHalf, LineCodec>,
    waker: &Notify,
) -> Result<(), WireError> {
    loop {
        match host.with(|engine| engine.next_write(conn)) {
            Next::Write(command) => match timeout(span(WRITE_MS), sink.send(command)).await {
                Ok(sent) => sent?,
                Err(_) => return Ok(()),
            },
            Next::Idle => waker.notified().await,
            Next::Close => return Ok(()),
        }
    }
}
