//! The driver of the link to the bulletin.

use super::discovery_codec::FrameCodec;
use super::WireError;
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Silence that says the link is broken, in milliseconds: a frame comes each second. Each link draws its own within
/// these bounds, so that a fleet whose watches fall silent together does not call for the list in step.
pub const SILENCE_MS: (f64, f64) = (1_600.0, 2_000.0);
/// How long a connect to the bulletin may take, in milliseconds.
const CONNECT_MS: f64 = 700.0;
/// The wait after a frame that can't be read, in milliseconds.
const MALFORMED_MS: f64 = 200.0;
/// The wait after a link that brought nothing, in milliseconds: it doubles with each such link ...
const AGAIN_MS: f64 = 50.0;
/// ... up to this: what the bulletin holds counts as told, and a drain binds within 250 ms. A random part of up to half
/// is taken off every wait.
const AGAIN_MOST_MS: f64 = 240.0;
/// How often the same frame may fail before it is skipped: one that was garbled on its way comes whole the next time.
const MAX_SAME_FRAME: u32 = 3;

/// How far the links have come, over all of them.
#[derive(Default)]
struct Progress {
    /// Links in a row that brought nothing.
    vain: u32,
    /// The number at which the last link failed ...
    stuck_at: u64,
    /// ... and how often.
    times: u32,
}

impl Progress {
    /// A link failed at this number; how often by now.
    fn stuck(&mut self, no: u64) -> u32 {
        self.times = if self.stuck_at == no { self.times + 1 } else { 1 };
        self.stuck_at = no;
        self.times
    }

    /// The wait before the next link, in milliseconds; `draw` is a random number in 0..1.
    fn wait_ms(&self, draw: f64) -> f64 {
        match self.vain {
            // One that has worked is made anew at once, but not by the whole fleet in the same moment.
            0 => AGAIN_MS * draw,
            vain => (AGAIN_MS * f64::from(1u32 << (vain - 1).min(8))).min(AGAIN_MOST_MS) * (1.0 - 0.5 * draw),
        }
    }
}

/// Keeps a link to the bulletin for ever. A link that ends is made anew from the last number: what the bulletin holds
/// counts as told, so every moment without a link is one in which a rule may be broken unseen. Where the bulletin
/// moves, the link goes to its new address at once: the old one tells nothing more.
pub async fn run(host: Rc<Executor>, mut address: watch::Receiver<SocketAddr>) {
    let mut progress = Progress::default();
    loop {
        let at = *address.borrow_and_update();
        let followed = tokio::select! {
            // What an old link still brings is not read under settings that may have come with the move.
            biased;
            Ok(()) = address.changed() => {
                host.with(|engine| engine.counters.bulletin_moves += 1);
                progress = Progress::default();
                continue;
            }
            followed = follow(&host, at, &mut progress) => followed,
        };
        let mut wait_ms = progress.wait_ms(rand::random());
        if let Err(error) = followed {
            host.with(|engine| engine.counters.bulletin_faults += 1);
            if !matches!(error, WireError::Socket(_)) {
                tracing::warn!(%error, "the bulletin's link failed");
                // What can't be read will most likely come again: not at full speed.
                wait_ms = wait_ms.max(MALFORMED_MS);
            }
        }
        tokio::select! {
            biased;
            Ok(()) = async { address.changed().await.map(|()| address.mark_changed()) } => {}
            () = sleep(duration_from_ms(wait_ms)) => {}
        }
    }
}

async fn follow(host: &Rc<Executor>, address: SocketAddr, progress: &mut Progress) -> Result<(), WireError> {
    let silent = || WireError::Socket(std::io::ErrorKind::TimedOut.into());
    progress.vain += 1;
    let stream =
        timeout(duration_from_ms(CONNECT_MS), TcpStream::connect(address)).await.map_err(|_| silent())??;
    let _ = stream.set_nodelay(true);
    let mut link = Framed::new(stream, FrameCodec);
    let last = host.with(|engine| {
        engine.counters.bulletin_links += 1;
        engine.last_event_number()
    });
    timeout(duration_from_ms(CONNECT_MS), link.send(last)).await.map_err(|_| silent())??;
    let silence_ms = SILENCE_MS.0 + (SILENCE_MS.1 - SILENCE_MS.0) * rand::random::<f64>();
    loop {
        let Some(frame) = timeout(duration_from_ms(silence_ms), link.next()).await.map_err(|_| silent())?
        else {
            return Ok(());
        };
        let frame = frame?;
        let (no, last) = (frame.no, host.with(|engine| engine.last_event_number()));
        // Guards against a number that was garbled, after which all that follows would count as old, and against events
        // that got lost: the numbers follow each other. One that stays is taken, and what is missing is missing.
        if frame.kind != 0 && no > last + 1 && progress.stuck(no) < MAX_SAME_FRAME {
            host.with(|engine| engine.counters.bulletin_gaps += 1);
            return Err(WireError::Malformed("a gap in the events' numbers"));
        }
        match frame.event(&host.settings()) {
            Ok(event) => {
                progress.vain = 0;
                host.with(|engine| {
                    engine.apply_event(event);
                    // The number of a kind of a later day counts too.
                    engine.skip_events_to(if frame.kind == 0 { 0 } else { no });
                });
            }
            Err(error) if no > last && progress.stuck(no) < MAX_SAME_FRAME => {
                // Guards the rule on drains: one that stands beside what can't be read was told all the same.
                host.with(|engine| engine.apply_readable_endpoints(frame.readable(&engine.settings())));
                return Err(error);
            }
            // Guards all that comes after it against one frame that nobody can read.
            Err(error) => {
                tracing::warn!(%error, no, "an event of the bulletin is skipped");
                host.with(|engine| {
                    engine.counters.bulletin_skipped += 1;
                    engine.skip_events_to(no);
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
