//! The driver of the link to the bulletin.

use super::frames::FrameCodec;
use super::WireError;
use crate::clock::span;
use crate::engine::host::Host;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Silence that says the link is broken, in milliseconds: a frame comes each second.
pub const SILENCE_MS: f64 = 1_800.0;
/// How long a connect to the bulletin may take, in milliseconds.
const CONNECT_MS: f64 = 700.0;
/// The wait after a frame that can't be read, in milliseconds.
const MALFORMED_MS: f64 = 200.0;
/// The wait between links that fail at once, in milliseconds.
const AGAIN_MS: f64 = 50.0;

/// Keeps a link to the bulletin for ever. A link that ends is made anew at once from the last number: what the
/// bulletin holds counts as told, so every moment without a link is one in which a rule may be broken unseen.
/// Where the bulletin moves, the link goes to its new address at once: the old one tells nothing more.
pub async fn keep(host: Rc<Host>, mut address: watch::Receiver<SocketAddr>) {
    loop {
        let began = host.clock.now();
        let at = *address.borrow_and_update();
        let followed = tokio::select! {
            followed = follow(&host, at) => followed,
            Ok(()) = address.changed() => {
                host.with(|engine| engine.counters.bulletin_moves += 1);
                continue;
            }
        };
        if let Err(error) = followed {
            host.with(|engine| engine.counters.bulletin_faults += 1);
            if !matches!(error, WireError::Socket(_)) {
                tracing::warn!(%error, "the bulletin's link failed");
                // What can't be read will most likely come again: not at full speed.
                sleep(span(MALFORMED_MS)).await;
            }
        }
        if host.clock.now() - began < AGAIN_MS {
            sleep(span(AGAIN_MS)).await;
        }
    }
}

async fn follow(host: &Rc<Host>, address: SocketAddr) -> Result<(), WireError> {
    let silent = || WireError::Socket(std::io::ErrorKind::TimedOut.into());
    let stream = timeout(span(CONNECT_MS), TcpStream::connect(address)).await.map_err(|_| silent())??;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, FrameCodec);
    let last = host.with(|engine| {
        engine.counters.bulletin_links += 1;
        engine.last_no()
    });
    timeout(span(CONNECT_MS), link.send(last)).await.map_err(|_| silent())??;
    loop {
        match timeout(span(SILENCE_MS), link.next()).await.map_err(|_| silent())? {
            Some(frame) => {
                let event = frame?.event(&host.env())?;
                host.with(|engine| engine.news(event));
            }
            None => return Ok(()),
        }
    }
}
