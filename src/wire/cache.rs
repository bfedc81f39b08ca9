//! The driver of a connection to a pop cache.

use super::lines::LineCodec;
use super::WireError;
use crate::clock::span;
use crate::engine::host::Host;
use crate::engine::Next;
use crate::memory::connections::ConnId;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// How long one write may take, in milliseconds: a member that reads nothing for so long is as good as gone.
const WRITE_MS: f64 = 2_000.0;

type Line = Framed<TcpStream, LineCodec>;

/// Connects, writes what the engine has and hands it what comes, until either side ends.
pub async fn drive(host: &Rc<Host>, conn: ConnId, to: SocketAddrV4, within_ms: f64, waker: &Notify) {
    let stream = match timeout(span(within_ms), TcpStream::connect(to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return host.with(|engine| engine.connect_failed(conn, is_local(&error))),
        Err(_) => return host.with(|engine| engine.connect_failed(conn, false)),
    };
    let _ = stream.set_nodelay(true);
    host.with(|engine| engine.connected(conn));
    let (sink, source) = Framed::new(stream, LineCodec::default()).split();
    let end = tokio::select! {
        end = read(host, conn, source) => end,
        end = write(host, conn, sink, waker) => end,
    };
    if let Err(error @ (WireError::Malformed(_) | WireError::TooLarge(_))) = &end {
        eprintln!("calicobeam: the member at {to}: {error}");
        host.with(|engine| engine.counters.malformed_members += 1);
    }
    host.with(|engine| engine.broken(conn));
}

/// Whether a connect failed for want of something on this machine, such as descriptors.
fn is_local(error: &std::io::Error) -> bool {
    // EMFILE, ENFILE, EADDRNOTAVAIL, ENOBUFS, ENOMEM.
    matches!(error.raw_os_error(), Some(24 | 23 | 99 | 105 | 12))
}

async fn read(host: &Rc<Host>, conn: ConnId, mut source: SplitStream<Line>) -> Result<(), WireError> {
    while let Some(reply) = source.next().await {
        let reply = reply?;
        host.with(|engine| engine.answered(conn, reply));
    }
    Ok(())
}

async fn write(
    host: &Rc<Host>,
    conn: ConnId,
    mut sink: SplitSink<Line, super::lines::Command>,
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
